"""The course of many sidecars' watches on a virtual clock: when they call is decided by the real CallClock.

The course itself (`Watch.run`: call, hold, pause) is written again here, as tens of thousands of real watches
would take hours; `watches.py` plays real ones against the same stand-in, and the tests hold the two together.
A sidecar whose watch stands is not played, its empty lines cost nothing here; `lines.py` has them.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from anisespool.discovery.clock import HEARTBEAT_INTERVAL_S, CallSchedule
from anisespool.discovery.deadline import CallFailure
from tests.scale_fleet.discovery import StandIn, Timeline

ASK_WITHIN_S = 10.0  # as in the settings of the tests
HORIZON_S = {True: 60.0, False: 240.0}  # after the return, by whether refusals cost: longer is as never
BEFORE_S = 20.0  # of a long cut: by then the pauses have grown to their longest


class Start(Enum):
    """What set the calls off."""

    ENDED = "all watches end at once"
    SILENT = "all watches fall silent, and calls hang"
    RESTARTED = "sidecars restart at once, with a stored list"
    NEW = "sidecars start at once, without a list"


class Play(NamedTuple):
    callers: int
    fleet_size: int
    per_s: float  # what discovery works off
    refusals_cost: bool
    start: Start = Start.ENDED
    down_s: float = 0.0  # discovery is back so long after the start

    @property
    def hangs(self) -> bool:
        return self.start is Start.SILENT


class Recovery(NamedTuple):
    """Times from when discovery could be reached; infinite where not so many were told by the horizon."""

    play: Play
    told: int
    p99_s: float
    last_s: float
    calls: int  # after discovery was back
    failed: int
    peak: int  # calls in a second


class _Sidecar:
    __slots__ = ("clock", "fleet", "told_at")

    def __init__(self, fleet: _Fleet) -> None:
        self.fleet, self.told_at = fleet, -1.0
        self.clock = CallSchedule(fleet.play.fleet_size, ASK_WITHIN_S, fleet.times.time())

    def call_in(self, delay_s: float) -> None:
        self.fleet.times.call_at(self.fleet.times.time() + delay_s, self.call)

    def call(self) -> None:
        call = _Call(self)
        self.fleet.times.call_at(self.clock.head_due_at(call.began_s), call.given_up)
        self.fleet.discovery.call(call)


class _Call:
    __slots__ = ("_open", "_sidecar", "began_s")

    def __init__(self, sidecar: _Sidecar) -> None:
        self._sidecar, self._open = sidecar, True
        self.began_s = sidecar.fleet.times.time()

    def answered(self) -> bool:
        was_open, self._open = self._open, False
        if was_open:
            self._sidecar.told_at = self._sidecar.fleet.times.time()
            self._sidecar.fleet.told += 1
        return was_open

    def failed(self) -> None:
        self._fail(CallFailure.REFUSED if self._sidecar.fleet.discovery.up else CallFailure.UNREACHABLE)

    def given_up(self) -> None:
        self._fail(CallFailure.HUNG)

    def _fail(self, failure: CallFailure) -> None:
        if self._open:
            self._open = False
            fleet, clock = self._sidecar.fleet, self._sidecar.clock
            fleet.failed += fleet.discovery.up
            self._sidecar.call_in(clock.call_failed(self.began_s, fleet.times.time(), failure))


class _Fleet:
    def __init__(self, play: Play) -> None:
        self.play, self.times = play, Timeline()
        self.discovery = StandIn(self.times, play.per_s, play.refusals_cost, play.hangs)
        self.told = self.failed = 0
        self.sidecars = [_Sidecar(self) for _ in range(play.callers)]

    def run(self, horizon_s: float) -> Recovery:
        play, back_s = self.play, min(self.play.down_s, BEFORE_S)
        for sidecar in self.sidecars:
            sidecar.call_in(_first_call(sidecar.clock, play.start))
        if back_s > 0:
            self.discovery.up = False
            self.times.call_at(back_s, self._back)
        self.times.run(back_s + horizon_s, lambda: self.told == play.callers)
        after = {at: count for at, count in self.discovery.calls.items() if at >= int(back_s)}
        times = [s.told_at - back_s for s in self.sidecars if s.told_at >= 0]
        return Recovery(play, self.told, *late(times, play.callers), sum(after.values()), self.failed,
                        max(after.values(), default=0))  # fmt: skip

    def _back(self) -> None:
        self.discovery.up = True


def _first_call(clock: CallSchedule, start: Start) -> float:
    if start is Start.SILENT:
        clock.line_received(-random.uniform(0.0, HEARTBEAT_INTERVAL_S))
        return clock.renewal_at()
    if start is Start.ENDED:
        return clock.watch_ended(0.0)
    return clock.start_delay(start is Start.RESTARTED)


def late(times: list[float], count: int) -> tuple[float, float]:
    """The time by which 99 in 100 of so many were told, and by which all were."""
    histogram = HdrHistogram(1, 3_600_000, 3)
    for time_s in times:
        histogram.record_value(max(1, round(time_s * 1000)))
    p99 = histogram.get_value_at_percentile(100 * min(1.0, 0.99 * count / max(1, len(times)))) / 1000
    return (p99 if len(times) >= 0.99 * count else float("inf"),
            max(times) if len(times) == count else float("inf"))  # fmt: skip


def recover(play: Play, seed: int, horizon_s: float = 0.0) -> Recovery:
    with seeded(seed):
        return _Fleet(play).run(horizon_s or HORIZON_S[play.refusals_cost])


def capacity_needed(play: Play, within_s: float, seed: int) -> float:
    """Calls a second with which all are told in time, by halving; to 5 %."""
    low, high = play.callers / (2 * within_s), 2.0 * play.callers
    while high > 1.05 * low:
        middle = (low * high) ** 0.5
        if recover(play._replace(per_s=middle), seed, within_s).told == play.callers:
            high = middle
        else:
            low = middle
    return high


@contextmanager
def seeded(seed: int) -> Iterator[None]:
    """CallClock draws from the module's generator."""
    state = random.getstate()
    random.seed(seed)
    try:
        yield
    finally:
        random.setstate(state)

"""Simulates the watches of many sidecars on a virtual clock, with the real `CallSchedule` timing their calls.

`Watch.run` (call, hold, pause) is reimplemented here, as tens of thousands of real watches would take hours.
`watches.py` runs real ones against the same simulated discovery, and the tests compare the two. A sidecar
with an open watch is not simulated: the cost of its empty lines is in `lines.py`.
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
from tests.scale_fleet.discovery import SimulatedDiscovery, Timeline

ASK_WITHIN_S = 10.0  # as in the settings of the tests
HORIZON_S = {True: 60.0, False: 240.0}  # after the return, by `refusals_cost`; anything later is never
MAX_SIMULATED_DOWN_S = 20.0  # enough for pauses to reach their maximum


class Start(Enum):
    """What triggers the calls."""

    ENDED = "all watches end at once"
    SILENT = "all watches fall silent, and calls hang"
    RESTARTED = "sidecars restart at once, with a stored list"
    NEW = "sidecars start at once, without a list"


class Params(NamedTuple):
    callers: int
    fleet_size: int
    per_s: float  # calls a second that discovery serves
    refusals_cost: bool
    start: Start = Start.ENDED
    down_s: float = 0.0  # from the start until discovery is back

    @property
    def hangs(self) -> bool:
        return self.start is Start.SILENT


class Recovery(NamedTuple):
    """Times count from when discovery was reachable; infinite if too few were updated by the horizon."""

    params: Params
    updated: int
    p99_s: float
    last_s: float
    calls: int  # after discovery was back
    failed: int
    peak: int  # calls in a second


class _Sidecar:
    __slots__ = ("clock", "fleet", "updated_at")

    def __init__(self, fleet: _Fleet) -> None:
        self.fleet, self.updated_at = fleet, -1.0
        self.clock = CallSchedule(fleet.params.fleet_size, ASK_WITHIN_S, fleet.times.time())

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
            self._sidecar.updated_at = self._sidecar.fleet.times.time()
            self._sidecar.fleet.updated += 1
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
    def __init__(self, params: Params) -> None:
        self.params, self.times = params, Timeline()
        self.discovery = SimulatedDiscovery(self.times, params.per_s, params.refusals_cost, params.hangs)
        self.updated = self.failed = 0
        self.sidecars = [_Sidecar(self) for _ in range(params.callers)]

    def run(self, horizon_s: float) -> Recovery:
        params, back_s = self.params, min(self.params.down_s, MAX_SIMULATED_DOWN_S)
        for sidecar in self.sidecars:
            sidecar.call_in(_first_call_delay(sidecar.clock, params.start))
        if back_s > 0:
            self.discovery.up = False
            self.times.call_at(back_s, self._back)
        self.times.run(back_s + horizon_s, lambda: self.updated == params.callers)
        after = {at: count for at, count in self.discovery.calls.items() if at >= int(back_s)}
        times = [s.updated_at - back_s for s in self.sidecars if s.updated_at >= 0]
        return Recovery(params, self.updated, *p99_and_last(times, params.callers), sum(after.values()),
                        self.failed, max(after.values(), default=0))  # fmt: skip

    def _back(self) -> None:
        self.discovery.up = True


def _first_call_delay(clock: CallSchedule, start: Start) -> float:
    if start is Start.SILENT:
        clock.line_received(-random.uniform(0.0, HEARTBEAT_INTERVAL_S))
        return clock.renewal_at()
    if start is Start.ENDED:
        return clock.watch_ended(0.0)
    return clock.start_delay(start is Start.RESTARTED)


def p99_and_last(times: list[float], count: int) -> tuple[float, float]:
    """The times by which 99 % of `count` sidecars, and all of them, were updated."""
    histogram = HdrHistogram(1, 3_600_000, 3)
    for time_s in times:
        histogram.record_value(max(1, round(time_s * 1000)))
    p99 = histogram.get_value_at_percentile(100 * min(1.0, 0.99 * count / max(1, len(times)))) / 1000
    return (p99 if len(times) >= 0.99 * count else float("inf"),
            max(times) if len(times) == count else float("inf"))  # fmt: skip


def recover(params: Params, seed: int, horizon_s: float = 0.0) -> Recovery:
    with seeded(seed):
        return _Fleet(params).run(horizon_s or HORIZON_S[params.refusals_cost])


def capacity_needed(params: Params, within_s: float, seed: int) -> float:
    """Calls a second needed for all to be updated in time, by bisection to within 5 %."""
    low, high = params.callers / (2 * within_s), 2.0 * params.callers
    while high > 1.05 * low:
        middle = (low * high) ** 0.5
        if recover(params._replace(per_s=middle), seed, within_s).updated == params.callers:
            high = middle
        else:
            low = middle
    return high


@contextmanager
def seeded(seed: int) -> Iterator[None]:
    """Seed the generator of the module `random`, from which `CallSchedule` draws."""
    state = random.getstate()
    random.seed(seed)
    try:
        yield
    finally:
        random.setstate(state)

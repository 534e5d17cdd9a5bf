"""Unix time that is not affected by steps of the wall clock.

The wall clock may step by an hour in either direction, while a process runs or between two processes.
Timestamps in the state store, and ages computed from them, therefore use a steady clock: monotonic time plus
an epoch. The epoch is taken from the wall clock once, and passed through the store to the next process of the
same boot (anisespool/state/clock.py). After a reboot, or if the boot cannot be identified, it is taken from
the wall clock again.

Other machines give the start times of servers by their own wall clocks, which may match any epoch that the
local wall clock has had. Each such time is converted with all known epochs, and the latest result in the past
is used.
"""

from __future__ import annotations

import time
from collections.abc import Iterable

from anisespool.log import log_info

STEP_NS = 250_000_000  # smaller differences between two readings are noise of a busy machine
SKEW_NS = 1_000_000_000  # between the clocks of two machines, without a step
MAX_EPOCHS = 4  # kept for conversions: the steady clock's, and the wall clock's most recent ones
READINGS = 3  # of the wall clock, for each measurement of its epoch


def wall_epoch_ns() -> int:
    """The wall clock's current epoch: Unix time minus monotonic time. Of several readings, the one that took
    the least time counts, as an interruption falsifies a reading."""
    readings = []
    for _ in range(READINGS):
        before_ns, wall_ns, after_ns = time.monotonic_ns(), time.time_ns(), time.monotonic_ns()
        readings.append((after_ns - before_ns, wall_ns - (before_ns + after_ns) // 2))
    return min(readings)[1]


class SteadyClock:
    """`epoch_ns`: Unix time minus monotonic time. `is_resumed`: the epoch comes from an earlier process."""

    def __init__(self) -> None:
        self.epoch_ns = wall_epoch_ns()
        self.epochs_ns = [self.epoch_ns]  # own epoch first, then those of the wall clock, latest last
        self.is_resumed = False

    def unix_ms(self) -> int:
        """Unix time by this clock."""
        return (time.monotonic_ns() + self.epoch_ns) // 1_000_000

    def resume_from(self, epochs_ns: Iterable[int]) -> None:
        """Continue the clock of an earlier process of the same boot. `epochs_ns`: that clock's own epoch
        first."""
        self.epochs_ns = list(epochs_ns)
        self.epoch_ns, self.is_resumed = self.epochs_ns[0], True
        self.detect_step()

    def detect_step(self) -> None:
        """Detect a step of the wall clock since the last call, and record its new epoch."""
        epoch_ns = wall_epoch_ns()
        if all(abs(epoch_ns - known_ns) >= STEP_NS for known_ns in self.epochs_ns):
            step_s = (epoch_ns - self.epochs_ns[-1]) / 1e9
            log_info(
                "anisespool", f"the wall clock stepped by {step_s:.1f} s; the steady clock is not affected"
            )
            self.epochs_ns = [self.epoch_ns, *self.epochs_ns[1:][2 - MAX_EPOCHS :], epoch_ns]

    def to_past_monotonic_ns(self, unix_ms: int) -> int:
        """Convert the Unix time of a past event to monotonic time, now at the latest. Of several possible
        times the latest is used: too early a start time would make a cold server count as warm."""
        now_ns, at_ns = time.monotonic_ns(), unix_ms * 1_000_000
        dates = [at_ns - epoch_ns for epoch_ns in self.epochs_ns if at_ns - epoch_ns <= now_ns + SKEW_NS]
        return min(max(dates, default=now_ns), now_ns)


CLOCK = SteadyClock()  # shared by the whole process

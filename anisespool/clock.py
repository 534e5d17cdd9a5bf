"""Unix time that no step of the wall clock moves.

The wall clock may step by an hour, either way, under a running process and between two of them. So what this
process writes to the state store, and the ages of what it reads there, go by one steady clock: monotonic time
plus an epoch, which is taken from the wall clock once and handed on through the store to the next process of
the same boot (anisespool/state/clock.py). After a reboot, and where the boot cannot be told, the epoch is the
wall clock's again.

What other machines date by their wall clocks (starts of servers) may be by any epoch that the wall clock has
had here: of the dates that these give, the latest that has passed is taken.
"""

from __future__ import annotations

import time
from collections.abc import Iterable

from anisespool.log import say

STEP_NS = 250_000_000  # two readings of an epoch on a busy machine differ by less, a step by more
SKEW_NS = 1_000_000_000  # by how much machines' clocks may differ with no step
MOST_EPOCHS = 4  # that dates may be by: the steady clock's, and the wall clock's latest
READINGS = 3


def wall_epoch_ns() -> int:
    """Unix time less monotonic time, by the wall clock as it is now. Of some readings the one that was
    interrupted least."""
    readings = []
    for _ in range(READINGS):
        before_ns, wall_ns, after_ns = time.monotonic_ns(), time.time_ns(), time.monotonic_ns()
        readings.append((after_ns - before_ns, wall_ns - (before_ns + after_ns) // 2))
    return min(readings)[1]


class SteadyClock:
    """`epoch_ns`: Unix time less monotonic time. `is_continued`: the earlier process's clock goes on here."""

    def __init__(self) -> None:
        self.epoch_ns = wall_epoch_ns()
        self.epochs_ns = [self.epoch_ns]  # all that the wall clock is known to have had, its latest last
        self.is_continued = False

    def unix_ms(self) -> int:
        return (time.monotonic_ns() + self.epoch_ns) // 1_000_000

    def continue_from(self, epochs_ns: Iterable[int]) -> None:
        """Go on as the clock of an earlier process of the same boot, with these epochs, its own first."""
        self.epochs_ns = list(epochs_ns)
        self.epoch_ns, self.is_continued = self.epochs_ns[0], True
        self.look()

    def look(self) -> None:
        """Notice a step of the wall clock since the last look."""
        epoch_ns = wall_epoch_ns()
        if all(abs(epoch_ns - known_ns) >= STEP_NS for known_ns in self.epochs_ns):
            step_s = (epoch_ns - self.epochs_ns[-1]) / 1e9
            say("anisespool", f"the wall clock stepped by {step_s:.1f} s; no time here depends on it")
            self.epochs_ns = [self.epoch_ns, *self.epochs_ns[1:][2 - MOST_EPOCHS :], epoch_ns]

    def passed_ns(self, unix_ms: int) -> int:
        """The monotonic time of what a wall clock dated, and which has happened: at the latest now.
        Too early a date makes a cold server pass for warm, so where there are several, it is the latest."""
        now_ns, at_ns = time.monotonic_ns(), unix_ms * 1_000_000
        dates = [at_ns - epoch_ns for epoch_ns in self.epochs_ns if at_ns - epoch_ns <= now_ns + SKEW_NS]
        return min(max(dates, default=now_ns), now_ns)


CLOCK = SteadyClock()  # this process's

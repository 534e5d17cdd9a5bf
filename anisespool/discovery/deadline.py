"""The one deadline for a fresh list. No socket, no clock here: times are the caller's monotonic seconds.

A change that discovery has counts as known to a sidecar TOLD_S after discovery had it and could be reached,
whatever failed meanwhile, and MOVED_TOLD_S after SIGHUP named another address. So a deadline starts with the
event after which the list may be out of date, and every timeout, pause and spread before the next whole line
is cut to it (`clock.py`). What a failed call does to it depends on what the call showed of discovery.
"""

from __future__ import annotations

from enum import Enum

TOLD_S = 6.0  # by the operators' terms
MOVED_TOLD_S = 4.0  # after SIGHUP


class Failure(Enum):
    """What a failed call showed."""

    REFUSED = "discovery answered, but with no list: it could be reached, so its 6 s run on"
    UNREACHABLE = "nobody took the call: the 6 s of what discovery has begin once it can be reached"
    HUNG = "no answer, or not a whole one, in time: nobody knows whether discovery could be reached"


class FreshListDeadline:
    """`at_s`: by then a fresh list has to be in force."""

    def __init__(self, now_s: float) -> None:
        """A process starts with an old list."""
        self.at_s = now_s + TOLD_S
        self._fixed = False  # whether it holds though discovery cannot be reached

    def left_s(self, now_s: float) -> float:
        """Negative once it has passed."""
        return self.at_s - now_s

    def fresh(self, now_s: float) -> None:
        """A whole line has come on the watch that stands. If it is the last one, the watch has fallen silent
        by then, and what it misses counts at the deadline even where discovery cannot be reached."""
        self.at_s, self._fixed = now_s + TOLD_S, True

    def ended(self, now_s: float) -> None:
        """A watch that was in order up to now has ended."""
        self.at_s, self._fixed = now_s + TOLD_S, False

    def moved(self, now_s: float) -> None:
        """SIGHUP. A deadline that runs is not put off, be it that of an earlier move."""
        moved_s = now_s + MOVED_TOLD_S
        self.at_s = min(self.at_s, moved_s) if self.left_s(now_s) > 0 else moved_s
        self._fixed = True

    def call_failed(self, began_s: float, now_s: float, failure: Failure) -> None:
        """Discovery may be reachable since the moment after a failed call began, at the earliest."""
        if self._fixed and self.left_s(now_s) > 0:
            return
        if failure is Failure.UNREACHABLE or failure is Failure.HUNG and self.left_s(now_s) <= 0:
            self.at_s, self._fixed = max(self.at_s, began_s + TOLD_S), False

"""The deadline by which an up-to-date list must be received from discovery. No I/O and no clock: times are
monotonic seconds from the caller.

A sidecar must apply a change within UPDATE_DEADLINE_S of the moment at which discovery has it and is
reachable, whatever has failed meanwhile, and within ADDRESS_CHANGE_DEADLINE_S of a SIGHUP that changes
discovery's address. The deadline starts with the event after which the list may be out of date. All
timeouts, pauses and random delays before the next complete line are limited by it (`clock.py`). How a failed
call moves the deadline depends on what the failure shows about discovery.
"""

from __future__ import annotations

from enum import Enum

UPDATE_DEADLINE_S = 6.0  # the operators' requirement
ADDRESS_CHANGE_DEADLINE_S = 4.0  # after SIGHUP


class CallFailure(Enum):
    """What a failed call shows about discovery."""

    REFUSED = "discovery answered without a list: it is reachable, so the deadline continues to run"
    UNREACHABLE = "no connection: the deadline starts anew once discovery is reachable"
    HUNG = "no response, or an incomplete one, in time: whether discovery was reachable is unknown"


class FreshListDeadline:
    """`at_s` is the time by which an up-to-date list must be in use."""

    def __init__(self, now_s: float) -> None:
        """The deadline runs from the start, as a process starts with an old list."""
        self.at_s = now_s + UPDATE_DEADLINE_S
        self._is_absolute = False  # whether it holds even if discovery is unreachable

    def remaining_s(self, now_s: float) -> float:
        """The time left; negative once the deadline has passed."""
        return self.at_s - now_s

    def line_received(self, now_s: float) -> None:
        """A complete line has been received on the current watch. If nothing follows, the watch has gone
        silent, and the changes that it misses are due at the deadline even if discovery is unreachable."""
        self.at_s, self._is_absolute = now_s + UPDATE_DEADLINE_S, True

    def watch_ended(self, now_s: float) -> None:
        """A watch that was working until now has ended."""
        self.at_s, self._is_absolute = now_s + UPDATE_DEADLINE_S, False

    def address_changed(self, now_s: float) -> None:
        """SIGHUP has changed discovery's address. A deadline that is running is never extended, not even that
        of an earlier address change."""
        changed_deadline_s = now_s + ADDRESS_CHANGE_DEADLINE_S
        self.at_s = min(self.at_s, changed_deadline_s) if self.remaining_s(now_s) > 0 else changed_deadline_s
        self._is_absolute = True

    def call_failed(self, began_s: float, now_s: float, failure: CallFailure) -> None:
        """A call that began at `began_s` has failed. If it could not reach discovery, discovery may have
        become reachable right after `began_s`, so the deadline runs from then."""
        if self._is_absolute and self.remaining_s(now_s) > 0:
            return
        if failure is CallFailure.UNREACHABLE or failure is CallFailure.HUNG and self.remaining_s(now_s) <= 0:
            self.at_s, self._is_absolute = max(self.at_s, began_s + UPDATE_DEADLINE_S), False

"""When discovery is called: the spacing of a whole fleet's calls, and what counts as silence. No socket here.

Two bounds meet here. A fresh list has to be in force by its deadline (`deadline.py`), in a fleet of 200 as in
one of 2. And all sidecars lose discovery at the same moment, and it serves few calls a second (some 80 for
200 sidecars, 3 for 5): one that waits over QUEUE_S there is answered 503, and cost it work in vain.

So calls are spread over the fleet, and each spread, pause and timeout is cut so that before the deadline
there is time for one more call, its wait in the queue included (NEXT_CALL_S). Two things are not cut. A call
is not given up before it can have waited its time in the queue. And no pause is cut so far that calls begin
closer together than the pause that was drawn, or, after a refusal, below LEAST_PART of it: a fleet whose
calls are refused would call faster than discovery can refuse. A call that hung has spaced itself. The way
not taken: pauses that grow with the fleet to the time that the settings allow for asking. In a fleet of 200
that was up to 10 s.
"""

from __future__ import annotations

import random

from anisespool.discovery.deadline import Failure, FreshListDeadline

SIGN_S = 2.0  # an empty line comes so often
LATE_S = 0.5  # it may be so late, on its way or in a busy process
QUEUE_S = 2.0  # a call waits so long in discovery's queue at most
CALL_S = 2.75  # from a call's start to its head, at most: after that it hangs
LEAST_CALL_S = 2.4  # ... and where the deadline is near
NEXT_CALL_S = QUEUE_S + 0.25  # kept free before the deadline for a further call
EACH_S = 0.1  # for each sidecar of the fleet, calls are spread over so long,
START_S = 1.3  # ... but where all start at once or lose their watches over no more than this,
RENEW_S = 1.0  # ... where watches fell silent over this (their empty lines came at different times, too)
LEAST_LONGEST_S, LONGEST_S = 0.5, 1.2  # ... and after failed calls over this, in a small and a large fleet
LEAST_PART = 0.5  # of a drawn pause after a quick failure, however near the deadline is
FIRST_SHARE = 0.4  # of the time that one may go without asking, at most
MOVE_S, MOVE_EACH_S = 1.4, 0.2  # of a move by SIGHUP: the old address ends its watches 1.5 s after it


class CallClock:
    """Times in monotonic seconds; `fleet_size` in sidecars, `ask_within_s` by the settings."""

    def __init__(self, fleet_size: int, ask_within_s: float, now_s: float) -> None:
        spread_s = min(EACH_S * fleet_size, FIRST_SHARE * ask_within_s)
        self._start_s, self._renew_s = min(spread_s, START_S), min(spread_s, RENEW_S)
        self._longest_s = min(max(spread_s, LEAST_LONGEST_S), LONGEST_S)
        self._first_s = min(spread_s, self._longest_s)
        self._move_s = min(MOVE_EACH_S * fleet_size, MOVE_S)
        self._pause_s = self._first_s
        self._heard_s = self._renewal_s = now_s
        self._deadline = FreshListDeadline(now_s)

    def cut(self, delay_s: float, now_s: float) -> float:
        """What the deadline leaves of a delay before a call."""
        return max(0.0, min(delay_s, self._deadline.left_s(now_s) - NEXT_CALL_S))

    def start_delay(self, has_list: bool) -> float:
        """A release starts many at once. With no list to serve by, there is nothing to wait with."""
        return random.uniform(0.0, self._start_s) if has_list else 0.0

    def moved(self, now_s: float) -> None:
        self._deadline.moved(now_s)

    def move_delay(self, now_s: float) -> float:
        """Before the first call to another address: all sidecars are told of it at once."""
        return random.uniform(0.0, self.cut(self._move_s, now_s))

    def heard(self, now_s: float) -> None:
        """The watch has brought a whole line, be it an empty one."""
        self._deadline.fresh(now_s)
        self._heard_s = now_s
        self._renewal_s = now_s + SIGN_S + LATE_S + random.uniform(0.0, self._renew_s)

    def renewal_at(self) -> float:
        """When a new watch is to be called for, if this one says nothing till then."""
        return self._renewal_s

    def silent_for(self, now_s: float) -> float:
        return now_s - self._heard_s

    def ended(self, now_s: float) -> float:
        """A watch ended by itself: how long until the next call."""
        self._pause_s = self._first_s
        if now_s < self._renewal_s:  # else it fell silent first, and its deadline runs since then
            self._deadline.ended(now_s)
        return random.uniform(0.0, self.cut(self._start_s, now_s))

    def head_due_at(self, began_s: float) -> float:
        """When a call that has had no head till then is given up."""
        latest_s = self._deadline.at_s - NEXT_CALL_S
        return min(began_s + CALL_S, max(began_s + LEAST_CALL_S, latest_s))

    def line_due_at(self, head_s: float) -> float:
        """When a call that was answered at `head_s`, but has brought no whole line till then, needs another
        one beside it. It may still be in order: where nothing has changed, an empty line is all, after
        SIGN_S."""
        latest_s = self._deadline.at_s - NEXT_CALL_S
        return min(head_s + SIGN_S + LATE_S, max(head_s + LATE_S, latest_s))

    def failed(self, began_s: float, now_s: float, failure: Failure) -> float:
        """A call did: how long until the next one."""
        self._deadline.call_failed(began_s, now_s, failure)
        pause_s = random.uniform(0.5, 1.0) * self._pause_s
        self._pause_s = min(2 * self._pause_s, self._longest_s)
        if self._deadline.left_s(now_s) <= 0:
            return pause_s
        least_s = pause_s - (now_s - began_s)  # so that calls begin no closer together than that
        if failure is not Failure.HUNG:
            least_s = max(least_s, LEAST_PART * pause_s)
        return max(least_s, self.cut(pause_s, now_s))

"""When discovery is called: the spacing of a whole fleet's calls, and what counts as silence. No socket here.

Two bounds meet here. What discovery has to tell counts as told TOLD_S after a watch fell silent, and TOLD_S
after it could be reached again where calls failed, hung or were given up meanwhile: by then a fresh answer
has to be in force, in a fleet of 200 as in one of 2. And all sidecars lose discovery at the same moment, and
it serves few calls a second: one that waits too long in its queue is answered 503, and cost it work in vain.

So no call is waited for longer than CALL_S, and no pause after a failed one is longer than LONGEST_S: a call
that hung when discovery came back is given up, the pause is over and the next one has waited 2 s in the queue
within TOLD_S. Over the pauses the calls of a fleet are spread. The way not taken: pauses that grow with the
fleet to the time that the settings allow for asking. In a fleet of 200 that was up to 10 s.
"""

from __future__ import annotations

import random

TOLD_S = 6.0  # by the operators' terms
SIGN_S = 2.0  # an empty line comes so often
LATE_S = 0.5  # it may be so late, on its way or in a busy process
CALL_S = 2.75  # a call has waited its time in discovery's queue by then (2 s), or hangs
EACH_S = 0.1  # for each sidecar of the fleet, calls are spread over so long,
START_S = 2.0  # ... but where all start at once or lose their watches over no more than this,
RENEW_S = 1.0  # ... where watches fell silent over this (their empty lines came at different times, too)
LEAST_LONGEST_S, LONGEST_S = 0.5, 1.2  # ... and after failed calls over this, in a small and a large fleet
FIRST_SHARE = 0.4  # of the time that one may go without asking, at most
MOVE_S, MOVE_EACH_S = 1.0, 0.005  # of a move by SIGHUP: the old address ends its watches 1.5 s after it


class CallClock:
    """Times in seconds, of any one clock; `fleet_size` in sidecars, `ask_within_s` by the settings."""

    def __init__(self, fleet_size: int, ask_within_s: float) -> None:
        spread_s = min(EACH_S * fleet_size, FIRST_SHARE * ask_within_s)
        self._start_s, self._renew_s = min(spread_s, START_S), min(spread_s, RENEW_S)
        self._longest_s = min(max(spread_s, LEAST_LONGEST_S), LONGEST_S)
        self._first_s = min(spread_s, self._longest_s)
        self._move_s = min(MOVE_EACH_S * fleet_size, MOVE_S)
        self._pause_s = self._first_s
        self._heard_s = self._renewal_s = 0.0

    def start_delay(self, has_list: bool) -> float:
        """Danger: a release starts many at once. With no list to serve by, there is nothing to wait with."""
        return random.uniform(0.0, self._start_s) if has_list else 0.0

    def move_delay(self) -> float:
        """Before the first call to another address: all sidecars are told of it at once."""
        return random.uniform(0.0, self._move_s)

    def heard(self, now_s: float) -> None:
        """The watch has said something, be it an empty line."""
        self._heard_s = now_s
        self._renewal_s = now_s + SIGN_S + LATE_S + random.uniform(0.0, self._renew_s)

    def renewal_at(self) -> float:
        """When a new watch is to be called for, if this one says nothing till then."""
        return self._renewal_s

    def silent_for(self, now_s: float) -> float:
        return now_s - self._heard_s

    def ended(self) -> float:
        """A watch ended by itself: how long until the next call."""
        self._pause_s = self._first_s
        return random.uniform(0.0, self._start_s)

    def failed(self) -> float:
        """A call did, whatever way: how long until the next one."""
        pause_s = random.uniform(0.5, 1.0) * self._pause_s
        self._pause_s = min(2 * self._pause_s, self._longest_s)
        return pause_s

"""When to call discovery: random delays that spread the calls of a fleet, timeouts, and when a watch counts
as silent. No I/O.

The schedule has to meet two limits. Every sidecar must have an up-to-date list by its deadline
(`deadline.py`), in a fleet of 200 as in one of 2. But all sidecars lose discovery at the same moment, and
discovery serves few calls per second (some 80 for 200 sidecars, 3 for 5): a call that waits longer than
QUEUE_TIMEOUT_S in its queue is answered 503, which costs discovery work for nothing.

So calls are spread over the fleet by random delays, and every delay, pause and timeout is shortened so that
one more call fits before the deadline, including its wait in the queue (NEXT_CALL_RESERVE_S). There are two
exceptions. A call is not abandoned before its maximum wait in the queue has passed. And a pause is not
shortened so far that calls begin closer together than the pause drawn or, unless the call hung, below
MIN_PAUSE_SHARE of that pause: otherwise a fleet whose calls are refused would call faster than discovery can
refuse them. A call that hung was itself a pause. Pauses that grow with the fleet up to the configured
`ask-within-ns` were rejected: they reached 10 s in a fleet of 200.
"""

from __future__ import annotations

import random

from anisespool.discovery.deadline import CallFailure, FreshListDeadline

HEARTBEAT_INTERVAL_S = 2.0  # discovery writes an empty line to a watch this often
HEARTBEAT_SLACK_S = 0.5  # allowed delay of a heartbeat on the network or in a busy process
QUEUE_TIMEOUT_S = 2.0  # maximum wait of a call in discovery's queue
CALL_TIMEOUT_S = 2.75  # from the start of a call to the response head
MIN_CALL_TIMEOUT_S = 2.4  # the same when the deadline is near
NEXT_CALL_RESERVE_S = QUEUE_TIMEOUT_S + 0.25  # time reserved before the deadline for one more call
SPREAD_PER_SIDECAR_S = 0.1  # calls are spread over this times the fleet size, up to one of these:
START_SPREAD_S = 1.3  # when all sidecars start, or lose their watches, at the same time
RENEWAL_SPREAD_S = 1.0  # when watches go silent; their heartbeats came at different times already
SMALL_FLEET_MAX_PAUSE_S, MAX_PAUSE_S = 0.5, 1.2  # after failed calls, in a small and in a large fleet
MIN_PAUSE_SHARE = 0.5  # of the pause drawn after a quick failure, however near the deadline is
MAX_SPREAD_SHARE = 0.4  # of `ask-within-ns`, the longest time allowed without a call
# After a change of discovery's address by SIGHUP; the old address ends its watches 1.5 s after it.
ADDRESS_CHANGE_SPREAD_S, ADDRESS_CHANGE_SPREAD_PER_SIDECAR_S = 1.4, 0.2


class CallSchedule:
    """Times are in monotonic seconds. `fleet_size` is the number of sidecars; `ask_within_s` is the
    configured longest time without a call."""

    def __init__(self, fleet_size: int, ask_within_s: float, now_s: float) -> None:
        spread_s = min(SPREAD_PER_SIDECAR_S * fleet_size, MAX_SPREAD_SHARE * ask_within_s)
        self._start_spread_s, self._renewal_spread_s = (
            min(spread_s, START_SPREAD_S),
            min(spread_s, RENEWAL_SPREAD_S),
        )
        self._max_pause_s = min(max(spread_s, SMALL_FLEET_MAX_PAUSE_S), MAX_PAUSE_S)
        self._first_pause_s = min(spread_s, self._max_pause_s)
        self._address_change_spread_s = min(
            ADDRESS_CHANGE_SPREAD_PER_SIDECAR_S * fleet_size, ADDRESS_CHANGE_SPREAD_S
        )
        self._pause_s = self._first_pause_s
        self._last_line_s = self._renewal_s = now_s
        self._deadline = FreshListDeadline(now_s)

    def limit_to_deadline(self, delay_s: float, now_s: float) -> float:
        """Shortens a delay before a call so that the call can complete before the deadline."""
        return max(0.0, min(delay_s, self._deadline.remaining_s(now_s) - NEXT_CALL_RESERVE_S))

    def start_delay(self, has_list: bool) -> float:
        """The delay of the first call: random if there is a list to start with, as a release restarts many
        sidecars at once; 0 if there is none, as nothing can be served without."""
        return random.uniform(0.0, self._start_spread_s) if has_list else 0.0

    def address_changed(self, now_s: float) -> None:
        """Discovery's address was changed by a SIGHUP at `now_s`."""
        self._deadline.address_changed(now_s)

    def address_change_delay(self, now_s: float) -> float:
        """The delay before the first call to a new address, as all sidecars get a new address at once."""
        return random.uniform(0.0, self.limit_to_deadline(self._address_change_spread_s, now_s))

    def line_received(self, now_s: float) -> None:
        """The watch has received a complete line, which may be empty."""
        self._deadline.line_received(now_s)
        self._last_line_s = now_s
        self._renewal_s = (
            now_s + HEARTBEAT_INTERVAL_S + HEARTBEAT_SLACK_S + random.uniform(0.0, self._renewal_spread_s)
        )

    def renewal_at(self) -> float:
        """When to open a new watch unless this one receives a line before."""
        return self._renewal_s

    def silent_for(self, now_s: float) -> float:
        """Seconds since the last line of the watch."""
        return now_s - self._last_line_s

    def watch_ended(self, now_s: float) -> float:
        """A watch was closed by discovery. Returns the delay before the next call."""
        self._pause_s = self._first_pause_s
        if now_s < self._renewal_s:  # otherwise it went silent first, and the deadline runs since then
            self._deadline.watch_ended(now_s)
        return random.uniform(0.0, self.limit_to_deadline(self._start_spread_s, now_s))

    def head_due_at(self, began_s: float) -> float:
        """When to abandon a call that has received no response head."""
        latest_s = self._deadline.at_s - NEXT_CALL_RESERVE_S
        return min(began_s + CALL_TIMEOUT_S, max(began_s + MIN_CALL_TIMEOUT_S, latest_s))

    def line_due_at(self, head_received_s: float) -> float:
        """When to open another call beside one that has received a response head but no complete line. The
        first call may still be working: if nothing has changed, the first line is an empty one after
        HEARTBEAT_INTERVAL_S."""
        latest_s = self._deadline.at_s - NEXT_CALL_RESERVE_S
        return min(
            head_received_s + HEARTBEAT_INTERVAL_S + HEARTBEAT_SLACK_S,
            max(head_received_s + HEARTBEAT_SLACK_S, latest_s),
        )

    def call_failed(self, began_s: float, now_s: float, failure: CallFailure) -> float:
        """A call has failed. Returns the pause before the next one."""
        self._deadline.call_failed(began_s, now_s, failure)
        pause_s = random.uniform(0.5, 1.0) * self._pause_s
        self._pause_s = min(2 * self._pause_s, self._max_pause_s)
        if self._deadline.remaining_s(now_s) <= 0:
            return pause_s
        min_pause_s = pause_s - (now_s - began_s)  # calls begin at least `pause_s` apart
        if failure is not CallFailure.HUNG:
            min_pause_s = max(min_pause_s, MIN_PAUSE_SHARE * pause_s)
        return max(min_pause_s, self.limit_to_deadline(pause_s, now_s))

"""The schedule of a planned shutdown: how long clients' connections stay, when the last answer is due.

The platform sends SIGTERM and, no sooner than KILL_AFTER_NS past the longest deadline, SIGKILL. A request
that came late and is unanswered by then is lost. One schedule, fixed at SIGTERM, bounds everything: the
driver caps all deadlines by `answer_by_ns`, the listener ends connections by `stays_until_ns`.

All times are nanoseconds of the monotonic clock. No socket here.
"""

from __future__ import annotations

from enum import StrEnum

SECOND_NS = 1_000_000_000
LONGEST_COUNTED_NS = 3 * SECOND_NS  # a longer deadline delays SIGKILL no further
KILL_AFTER_NS = 700_000_000  # past the longest deadline
# Before SIGKILL: the signal and the last timer may each be handled 0.15 s late, and answers take time.
ANSWER_RESERVE_NS = 350_000_000
ACCEPT_NS = 500_000_000  # new connections go on coming for up to 0.4 s after SIGTERM
QUEUE_NS = 100_000_000  # to take what still waits in the listener's queue after that
FIRST_REQUEST_NS = 100_000_000  # for the first request of a connection that was accepted last
HALF_WRITTEN_NS = 1_500_000_000  # after SIGTERM, for the rest of a request that has begun
CLOSE_NS = 100_000_000  # after the last answer, for connections to flush and close
STREAM_RESERVE_NS = 1_000_000_000  # past the longest deadline, for long answers to end if no SIGKILL comes


class Stage(StrEnum):
    """What a client's connection is at."""

    SILENT = "silent"  # no request has begun on it yet
    BETWEEN_REQUESTS = "between requests"
    HALF_WRITTEN = "half-written"
    UPLOADING = "uploading"  # a body too long to hold passes through as it comes
    BUSY = "busy"
    ANSWERING_AT_LENGTH = "answering at length"
    CLOSING = "closing"


class Shutdown:
    """The schedule of one shutdown, from SIGTERM on."""

    def __init__(self, began_ns: int, longest_deadline_ns: int, is_listener_shared: bool) -> None:
        """`is_listener_shared`: another process accepts the clients that come from now on."""
        counted_ns = min(longest_deadline_ns, LONGEST_COUNTED_NS)
        self.kill_ns = began_ns + counted_ns + KILL_AFTER_NS
        self.answer_by_ns = self.kill_ns - ANSWER_RESERVE_NS
        self.accept_until_ns = min(began_ns + ACCEPT_NS, self.answer_by_ns)
        self.queue_until_ns = self.accept_until_ns + QUEUE_NS
        self.close_by_ns = self.answer_by_ns + CLOSE_NS
        streams_until_ns = max(self.close_by_ns, began_ns + longest_deadline_ns + STREAM_RESERVE_NS)
        # Clients of our own listener still reach it on a new connection; those of a shared one bring their
        # next request on the old connection, and leave with its answer.
        idle_until_ns = self.accept_until_ns if is_listener_shared else began_ns
        self._stays_until_ns = {
            Stage.SILENT: self.accept_until_ns + FIRST_REQUEST_NS,
            Stage.BETWEEN_REQUESTS: idle_until_ns,
            Stage.HALF_WRITTEN: min(began_ns + HALF_WRITTEN_NS, self.answer_by_ns),
            Stage.UPLOADING: self.answer_by_ns,
            Stage.BUSY: self.close_by_ns,
            Stage.ANSWERING_AT_LENGTH: streams_until_ns,
            Stage.CLOSING: self.close_by_ns,
        }

        self.ends_by_ns = streams_until_ns + CLOSE_NS  # whatever is open then

    def stays_until_ns(self, stage: Stage) -> int:
        """When a connection that is still at this stage is to be ended."""
        return self._stays_until_ns[stage]

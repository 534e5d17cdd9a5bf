"""The schedule of a planned shutdown: how long client connections stay, and when the last response is due.

The platform sends SIGTERM and, no sooner than KILL_GRACE_NS after the longest deadline, SIGKILL. A request
that arrived late and is unanswered by then is lost. The schedule is fixed at SIGTERM: the driver limits all
deadlines to `answer_by_ns`, and the server closes connections at `stage_deadline_ns`. Responses that have
begun are not part of it: SIGKILL may come much later, so each goes on for as long as its bytes move.

All times are nanoseconds of the monotonic clock. This module does no I/O.
"""

from __future__ import annotations

from enum import StrEnum

SECOND_NS = 1_000_000_000
MAX_COUNTED_DEADLINE_NS = 3 * SECOND_NS  # longer deadlines do not delay SIGKILL any further
KILL_GRACE_NS = 700_000_000  # from the longest deadline to SIGKILL
# Before SIGKILL: the signal and the last timer may each be handled 0.15 s late, and sending takes time.
ANSWER_RESERVE_NS = 350_000_000
ACCEPT_PERIOD_NS = 500_000_000  # new connections keep arriving for up to 0.4 s after SIGTERM
ACCEPT_QUEUE_DRAIN_NS = 100_000_000  # after that, to accept what is left in the accept queue
FIRST_REQUEST_TIMEOUT_NS = 100_000_000  # on the connections that were accepted last
CLOSE_PERIOD_NS = 100_000_000  # after the last response, to flush and close connections


class Stage(StrEnum):
    """The state of a client connection, as the shutdown schedule and the log distinguish it."""

    SILENT = "silent"  # no request has been started on it yet
    BETWEEN_REQUESTS = "between requests"
    HALF_WRITTEN = "half-written"
    UPLOADING = "uploading"  # streams a request body that is too long to buffer
    BUSY = "busy"  # a request is in progress, or its response is being sent
    ANSWERING_AT_LENGTH = "answering at length"  # streams a response body
    CLOSING = "closing"


class Shutdown:
    """The schedule of one shutdown, starting at SIGTERM."""

    def __init__(self, started_ns: int, longest_deadline_ns: int, is_listener_shared: bool) -> None:
        """`is_listener_shared`: another process accepts the clients that connect from now on."""
        counted_deadline_ns = min(longest_deadline_ns, MAX_COUNTED_DEADLINE_NS)
        self.kill_ns = started_ns + counted_deadline_ns + KILL_GRACE_NS
        self.answer_by_ns = self.kill_ns - ANSWER_RESERVE_NS
        self.accept_until_ns = min(started_ns + ACCEPT_PERIOD_NS, self.answer_by_ns)
        self.queue_until_ns = self.accept_until_ns + ACCEPT_QUEUE_DRAIN_NS
        self.close_by_ns = self.answer_by_ns + CLOSE_PERIOD_NS
        self.ends_by_ns = (
            self.close_by_ns + CLOSE_PERIOD_NS
        )  # then only responses that have begun are waited for
        # Clients of an unshared listener can still reach this process on a new connection, so idle ones are
        # closed at once. With a shared listener, idle connections stay for one more request.
        idle_until_ns = self.accept_until_ns if is_listener_shared else started_ns
        self._stage_deadlines_ns = {
            Stage.SILENT: self.accept_until_ns + FIRST_REQUEST_TIMEOUT_NS,
            Stage.BETWEEN_REQUESTS: idle_until_ns,
            Stage.HALF_WRITTEN: self.answer_by_ns,
            Stage.UPLOADING: self.answer_by_ns,
            Stage.BUSY: self.close_by_ns,
            Stage.CLOSING: self.close_by_ns,
        }

    def stage_deadline_ns(self, stage: Stage) -> int:
        """When a connection in this stage is to be closed, unless it is sending a response."""
        return self._stage_deadlines_ns[stage]

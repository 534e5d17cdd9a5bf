"""The state kept for each endpoint, attempt and pending request. The other modules make decisions with it."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Context, stable_hash
from shuntlead.interface import EndpointState

# Longest wait for an eligible endpoint, as a share of the request's time: a client that is refused by then
# still has time for a retry.
MAX_HOLD_SHARE = 0.4


class Endpoint:
    """What is known of one endpoint. Times are monotonic nanoseconds."""

    __slots__ = ("row", "id", "zone", "weight", "ready", "in_flight", "transferring", "slowdown",
                 "slowdown_at", "class_slowdowns", "queue", "queue_at", "sent_since_report", "cold_from",
                 "warm_at", "ramp", "answered_sent_at", "connections", "connection_used_at", "ejected",
                 "turns_due", "turns_due_at", "turns_used", "util", "rank")  # fmt: skip

    def __init__(self, row: api.ListedEndpoint, ctx: Context) -> None:
        # The endpoint's position in this sidecar's own pseudo-random order. Each sidecar uses the first
        # endpoints of its order: if hundreds of sidecars connected to every endpoint, the endpoints'
        # connection tables would fill up.
        self.rank = stable_hash(ctx.salt, row.endpoint)
        # Open attempts by (request id, number of the attempt), in the order in which they were sent.
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.transferring = 0  # open attempts of which only a long body is still being transferred
        self.slowdown = 1.0  # x_i: response time as a multiple of what the same requests usually take
        self.class_slowdowns: dict[int, tuple[float, int]] = {}  # class -> (slowdown in it, time of update)
        self.queue = 0.0  # requests queued or running there, by its last report
        self.slowdown_at = self.queue_at = self.sent_since_report = 0  # times of update, 0: never; a count
        # Connections believed to be open, and when one of them last proved usable.
        self.connections = self.connection_used_at = 0
        self.answered_sent_at = 0  # of the attempts that it has answered, when the latest one was sent
        self.cold_from = row.started_ns  # start of its warm-up: process start, or return from an ejection
        self.warm_at = row.started_ns + ctx.settings.cold_ns if row.started_ns else 0
        self.ramp = 1.0  # guaranteed share of its full capacity while it warms up
        # During the warm-up each sidecar sends one request per turn: turns accrued so far (fractional, with a
        # different initial phase at each sidecar), the time up to which, and how many are used or expired.
        self.turns_due = ctx.settings.self_index / ctx.settings.fleet_size
        self.turns_due_at, self.turns_used = 0, -1
        self.ejected, self.util = False, 0.0  # util: CPU utilization (0 to 1) by its last report
        self.update(row)

    def update(self, row: api.ListedEndpoint) -> None:
        """Takes over the endpoint's current row in the list."""
        self.row, self.id, self.zone = row, row.endpoint, row.zone
        self.weight = row.weight if 1e-6 < row.weight < 1e9 else 1.0
        self.ready = row.state == EndpointState.READY


class Attempt:
    """One attempt of a request at one endpoint."""

    __slots__ = ("answer_begun", "endpoint", "may_have_run", "body_started_at", "open", "transferring",
                 "sent_at", "ready_weight", "expected_ns")  # fmt: skip

    def __init__(self, endpoint: Endpoint, sent_at: int, expected_ns: float, ready_weight: float) -> None:
        self.endpoint, self.sent_at, self.expected_ns, self.ready_weight = (
            endpoint,
            sent_at,
            expected_ns,
            ready_weight,
        )
        self.open = self.may_have_run = True
        # answer_begun: the first byte of a long answer has arrived; transferring: a long request body or
        # answer is being transferred, so the endpoint's processing time is not what is being waited for.
        self.answer_begun = self.transferring = False
        self.body_started_at = 0  # when the transfer of a long request body began; 0: none is under way


class Pending:
    """A request, from its arrival until its last attempt has ended."""

    __slots__ = ("target_at", "attempts", "cls", "done", "process_end", "event", "client_deadline",
                 "hold_until", "id", "key", "useful_until", "streaming")  # fmt: skip

    def __init__(self, event: api.Request, cls: api.RequestClass, now: int, waited_ns: int) -> None:
        self.id, self.event, self.cls = event.request, event, cls
        target = cls.target_ns + int(cls.aim_stretch * (event.hint_ns or 0))
        self.client_deadline, self.target_at = (
            now + event.left_ns,
            now + min(target - waited_ns, event.left_ns),
        )
        # A later answer has no value.
        self.useful_until = self.client_deadline if cls.late_worth else self.target_at
        self.key = event.key if cls.in_order else 0  # not 0: requests with this key run one at a time
        self.hold_until = now + int(MAX_HOLD_SHARE * event.left_ns)  # limit of waiting for an endpoint
        self.attempts: list[Attempt] = []
        self.process_end: int | None = None  # when this process ends, if it is shutting down
        # streaming: bytes of a long request body or answer have been passed on and cannot be sent again.
        self.done = self.streaming = False

    def limit_deadlines(self, process_end: int) -> None:
        """Moves all deadlines to `process_end` or earlier."""
        self.process_end = process_end
        self.useful_until, self.client_deadline = (
            min(self.useful_until, process_end),
            min(self.client_deadline, process_end),
        )
        self.hold_until = min(self.hold_until, process_end)

    def extend_deadlines(self, transfer_ns: int) -> None:
        """Excludes the time in which a long request body was transferred, which is no wait for an answer."""
        self.target_at, self.useful_until, self.client_deadline = (
            self.target_at + transfer_ns,
            self.useful_until + transfer_ns,
            self.client_deadline + transfer_ns,
        )
        if self.process_end is not None:
            self.limit_deadlines(self.process_end)

    def has_time(self) -> bool:
        """Whether a process that is shutting down leaves the request its full target time."""
        return self.process_end is None or self.target_at <= self.process_end

    def maybe_ran(self) -> list[Attempt]:
        """The attempts that may have been executed by an endpoint."""
        return [a for a in self.attempts if a.may_have_run]

    def transferring(self) -> bool:
        """Whether only a long body of the last attempt is still being transferred."""
        return bool(self.attempts) and self.attempts[-1].transferring

    def is_waiting(self) -> bool:
        """Whether an attempt is open."""
        return bool(self.attempts) and self.attempts[-1].open

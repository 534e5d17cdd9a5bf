"""What is held of an endpoint, an attempt and a request on its way. State alone: the rooms decide by it."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Desk, mix
from shuntlead.interface import EndpointState

HOLD_SHARE = 0.4  # of a request's time: refused then, its client still has the time for a retry


class Endpoint:
    __slots__ = ("row", "id", "zone", "weight", "ready", "out", "passing", "slow", "slow_at", "by_class",
                 "queue", "queue_at", "since", "cold_from", "warm_at", "ramp", "answered", "held",
                 "held_at", "ejected", "phase", "phase_at", "turn", "util", "order")  # fmt: skip

    def __init__(self, row: api.Listed, desk: Desk) -> None:
        # Hundreds of sidecars with a connection to every endpoint fill its table. Each has an order.
        self.order = mix(desk.salt, row.endpoint)
        self.out: dict[tuple[int, int], Attempt] = {}  # by request and number
        self.passing = 0  # of those
        self.slow = 1.0  # x_i: response times over what their requests usually take
        self.by_class: dict[int, tuple[float, int]] = {}  # the same of one class, and when
        self.queue = 0.0
        self.slow_at = self.queue_at = self.since = 0  # since: own sends since the last report
        self.held = self.held_at = 0  # connections as far as is known, and when one was last of use
        self.answered = 0  # when the latest sent of the attempts that it has answered was sent
        self.cold_from = row.started_ns  # when its ramp began: its start, or its return from an ejection
        self.warm_at = row.started_ns + desk.settings.cold_ns if row.started_ns else 0
        self.ramp = 1.0  # part of its capacity that it is sure to have, while it is cold
        self.phase = desk.settings.self_index / desk.settings.fleet_size  # while cold: turns that have come,
        self.phase_at, self.turn = 0, -1  # until when, and how many of them were used or lapsed
        self.ejected, self.util = False, 0.0  # util: part of its cores in use, by its last report
        self.update(row)

    def update(self, row: api.Listed) -> None:
        self.row, self.id, self.zone = row, row.endpoint, row.zone
        self.weight = row.weight if 1e-6 < row.weight < 1e9 else 1.0
        self.ready = row.state == EndpointState.READY


class Attempt:
    __slots__ = ("begun", "endpoint", "may_have_run", "moving_since", "open", "passing", "sent", "size",
                 "usual")  # fmt: skip

    def __init__(self, endpoint: Endpoint, sent: int, usual: float, size: float) -> None:
        self.endpoint, self.sent, self.usual, self.size = endpoint, sent, usual, size
        self.open = self.may_have_run = True
        self.begun = self.passing = False  # a long answer has begun; it, or a body, is merely on its way
        self.moving_since = 0  # a long body is on its way to the endpoint


class Pending:  # a request from its arrival until its last attempt has ended
    __slots__ = ("aim", "attempts", "cls", "done", "end", "event", "give_up", "hold_until", "id", "key",
                 "limit", "streaming")  # fmt: skip

    def __init__(self, event: api.Request, cls: api.RequestClass, now: int, waited: int) -> None:
        self.id, self.event, self.cls = event.request, event, cls
        target = cls.target_ns + int(cls.aim_stretch * (event.hint_ns or 0))
        self.give_up, self.aim = now + event.left_ns, now + min(target - waited, event.left_ns)
        self.limit = self.give_up if cls.late_worth else self.aim  # an answer past it is worth nothing
        self.key = event.key if cls.in_order else 0  # not 0: it takes turns with others of the key
        self.hold_until = now + int(HOLD_SHARE * event.left_ns)  # with no endpoint that it may be sent to
        self.attempts: list[Attempt] = []
        self.end: int | None = None  # the process ends then
        self.done = self.streaming = False  # streaming: bytes of a long body are gone, this way or that

    def cap(self, end: int) -> None:
        """The process ends at `end`: no later deadline holds."""
        self.end = end
        self.limit, self.give_up = min(self.limit, end), min(self.give_up, end)
        self.hold_until = min(self.hold_until, end)

    def extend(self, took: int) -> None:
        """Its body took so long to pass through, which is no wait for an answer."""
        self.aim, self.limit, self.give_up = self.aim + took, self.limit + took, self.give_up + took
        if self.end is not None:
            self.cap(self.end)

    def has_room(self) -> bool:
        """Whether a process that ends leaves it the time that its class wants."""
        return self.end is None or self.aim <= self.end

    def risky(self) -> list[Attempt]:
        return [a for a in self.attempts if a.may_have_run]

    def passing(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].passing

    def waits(self) -> bool:
        return bool(self.attempts) and self.attempts[-1].open

"""Requests with keys. Requests of an in-order class with the same key run one at a time; and repeats of a
request with an idempotency key may only go to its dedup group, the zone or cell whose endpoints drop repeats.

This module keeps its own tables and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.interface import Effect
from shuntlead.records import Endpoint, Pending


class Keys:
    """The queues of requests with the same key, and the pins of idempotency keys to dedup groups."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        # Dedup key -> (zone, cell, expiry, id of the request that was sent there first), oldest first.
        self._pins: dict[int, tuple[int, int, int, int]] = {}
        self.queues: dict[int, list[Pending]] = {}  # key -> requests in order of arrival
        self._cooldowns: dict[int, int] = {}  # key -> end of the pause, earliest first
        self.woken: list[Pending] = []  # requests that have become the first of their key

    def eligible(
        self, req: Pending, usual_endpoints: list[Endpoint], ready: list[Endpoint]
    ) -> list[Endpoint]:
        """The endpoints that the request may be sent to: from `usual_endpoints`, or from all `ready` ones if
        an earlier process has pinned its key to a group."""
        maybe_ran, s, now, scope = req.maybe_ran(), self._ctx.settings, self._ctx.now, req.cls.dedup_scope
        zone, cell, until, _ = self._pins.get(req.event.dedup_key, (0, 0, 0, 0))
        candidates = ready
        if maybe_ran and req.cls.effect is Effect.BY_KEY:
            # Outside the dedup group of the first attempt, or after its window, a repeat would run a second
            # time. A repeat may take a connect timeout and a few intervals of the clock resolution to
            # arrive.
            first, candidates = maybe_ran[0].endpoint.row, usual_endpoints
            travel = s.connect_timeout_ns + 4 * s.resolution_ns + s.answer_slack_ns
            if now + travel >= maybe_ran[0].sent_at + req.cls.dedup_window_ns:
                return []
            zone, cell = first.zone, first.cell
        elif maybe_ran or until <= now:
            return usual_endpoints
        if scope == "all":
            return usual_endpoints
        return [e for e in candidates if (e.zone == zone if scope == "zone" else e.row.cell == cell)]

    def pin(self, req: Pending, endpoint: Endpoint) -> None:
        """Records the dedup group of a key, also in the store: if this process is killed, the client retries
        at the next one with the same key, and outside the group the request would run a second time."""
        cls, key, now = req.cls, req.event.dedup_key, self._ctx.now
        if not key or cls.effect is not Effect.BY_KEY or cls.dedup_scope == "all":
            return
        if key in self._pins and self._pins[key][2] > now:
            return
        while self._pins and next(iter(self._pins.values()))[2] <= now:
            del self._pins[next(iter(self._pins))]
        left, row = cls.dedup_window_ns, endpoint.row
        self._pins[key] = (row.zone, row.cell, now + left, req.id)
        self._ctx.emit(api.SavePin(api.KeyPin(key, req.event.cls, row.zone, row.cell, left)))

    def unpin(self, req: Pending) -> None:
        """Removes the pin of a request that never ran, so that it may be sent anywhere."""
        if not req.maybe_ran() and self._pins.get(req.event.dedup_key, (0, 0, 0, 0))[3] == req.id:
            del self._pins[req.event.dedup_key]

    def restore_pin(self, pin: api.KeyPin) -> None:
        """Restores a pin of an earlier process."""
        # Empty if the settings now have fewer classes.
        known = self._ctx.settings.classes[pin.cls : pin.cls + 1]
        window = known[0].dedup_window_ns if known else 0
        self._pins[pin.key] = (pin.zone, pin.cell, self._ctx.now + min(pin.left_ns, window), 0)

    # Requests in order ---------------------------------------------------------------------------

    def enqueue(self, req: Pending) -> None:
        """Adds a request to the queue of its key, if it has one."""
        if req.key:
            self.queues.setdefault(req.key, []).append(req)

    def count_ahead(self, req: Pending) -> int:
        """How many requests with the same key come before it."""
        return self.queues[req.key].index(req) if req.key else 0

    def cooldown_ns(self, req: Pending) -> int:
        """How long a first attempt must still wait for the pause of its key to end."""
        if not req.key or req.attempts:
            return 0
        return max(0, self._cooldowns.get(req.key, 0) - self._ctx.now)

    def start_cooldown(self, key: int) -> None:
        """Pauses a key after an attempt that timed out or broke off, which may still be running at its
        endpoint and must not overlap with the next request."""
        self._cooldowns.pop(key, None)
        self._cooldowns[key] = self._ctx.now + self._ctx.settings.order_settle_ns
        while next(iter(self._cooldowns.values())) < self._ctx.now:
            del self._cooldowns[next(iter(self._cooldowns))]

    def remove_request(self, req: Pending) -> None:
        """Removes a finished request and wakes the next one with its key."""
        if req.key:
            queue = self.queues[req.key]
            queue.remove(req)
            self.woken += queue[:1]
            if not queue:
                del self.queues[req.key]

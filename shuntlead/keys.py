"""Requests with keys: those that take turns, and those whose repeats only one group of endpoints drops.

It keeps its own tables and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.interface import Effect
from shuntlead.records import Endpoint, Pending


class Keys:
    def __init__(self, desk: Desk) -> None:
        self._desk = desk
        # By dedup key: zone, cell, until when, and the request that went there first; the oldest first.
        self._pins: dict[int, tuple[int, int, int, int]] = {}
        self.turns: dict[int, list[Pending]] = {}  # by key, in the order taken
        self._rests: dict[int, int] = {}  # key -> until when, the first to end first
        self.woken: list[Pending] = []  # their turn has come

    def group(self, req: Pending, usual: list[Endpoint], ready: list[Endpoint]) -> list[Endpoint]:
        """Where the request may go: of the usual endpoints, or of all that are ready where an earlier process
        sent its key."""
        risky, s, now, scope = req.risky(), self._desk.settings, self._desk.now, req.cls.dedup_scope
        zone, cell, until, _ = self._pins.get(req.event.dedup_key, (0, 0, 0, 0))
        among = ready
        if risky and req.cls.effect is Effect.BY_KEY:
            # Outside the group, or past its memory, a repeat is a second effect. A copy may need
            # a connection's time-out and some batches to arrive.
            first, among = risky[0].endpoint.row, usual
            travel = s.connect_timeout_ns + 4 * s.resolution_ns + s.answer_slack_ns
            if now + travel >= risky[0].sent + req.cls.dedup_window_ns:
                return []
            zone, cell = first.zone, first.cell
        elif risky or until <= now:
            return usual
        if scope == "all":
            return usual
        return [e for e in among if (e.zone == zone if scope == "zone" else e.row.cell == cell)]

    def pin(self, req: Pending, endpoint: Endpoint) -> None:
        """A client whose sidecar was killed asks the next process with the same key, and outside the
        first attempt's group it would have a second effect."""
        cls, key, now = req.cls, req.event.dedup_key, self._desk.now
        if not key or cls.effect is not Effect.BY_KEY or cls.dedup_scope == "all":
            return
        if key in self._pins and self._pins[key][2] > now:
            return
        while self._pins and next(iter(self._pins.values()))[2] <= now:
            del self._pins[next(iter(self._pins))]
        left, row = cls.dedup_window_ns, endpoint.row
        self._pins[key] = (row.zone, row.cell, now + left, req.id)
        self._desk.act(api.Pin(api.Pinned(key, req.event.cls, row.zone, row.cell, left)))

    def unpin(self, req: Pending) -> None:
        """It never ran, so it may go anywhere."""
        if not req.risky() and self._pins.get(req.event.dedup_key, (0, 0, 0, 0))[3] == req.id:
            del self._pins[req.event.dedup_key]

    def recall(self, pin: api.Pinned) -> None:
        """From an earlier process."""
        known = self._desk.settings.classes[pin.cls : pin.cls + 1]  # else it has other classes now
        window = known[0].dedup_window_ns if known else 0
        self._pins[pin.key] = (pin.zone, pin.cell, self._desk.now + min(pin.left_ns, window), 0)

    # Turns ---------------------------------------------------------------------------------------

    def queue(self, req: Pending) -> None:
        if req.key:
            self.turns.setdefault(req.key, []).append(req)

    def ahead(self, req: Pending) -> int:
        """How many of its key come before it."""
        return self.turns[req.key].index(req) if req.key else 0

    def rest_ns(self, req: Pending) -> int:
        """For how long its key has to rest yet, before a first attempt."""
        if not req.key or req.attempts:
            return 0
        return max(0, self._rests.get(req.key, 0) - self._desk.now)

    def rest(self, key: int) -> None:
        """What timed out or broke may run on beside the next request of its key."""
        self._rests.pop(key, None)
        self._rests[key] = self._desk.now + self._desk.settings.order_settle_ns
        while next(iter(self._rests.values())) < self._desk.now:
            del self._rests[next(iter(self._rests))]

    def leave(self, req: Pending) -> None:
        """It is over: the next of its key is woken."""
        if req.key:
            queue = self.turns[req.key]
            queue.remove(req)
            self.woken += queue[:1]
            if not queue:
                del self.turns[req.key]

"""The design's rule: w_i = (L_i + 1) * x_i for each eligible endpoint i, and a random draw with odds 1 / w_i.

It writes the ramp of cold Endpoint records, and nothing else outside itself."""

from __future__ import annotations

from math import exp2, floor

from shuntlead.context import Desk, mix
from shuntlead.estimates import Estimates
from shuntlead.keys import Keys
from shuntlead.rate import Rate
from shuntlead.records import Endpoint, Pending
from shuntlead.shedding import Shedding

FEWEST = 12  # endpoints in a sidecar's draw, however little it sends: some of each zone and kind
FEW = 0.3  # of the memory of a rate: from less of it no rate is told
PRICE_WAIT = 20.0  # a price of a whole request's worth weighs like waiting this many targets
WARM_KEY = 0.6  # odds of the endpoint likely to have met a key, against those of all others together
OPEN, PLAN = 0.75, 0.9  # a turn's length, in spans of the rule: so many more turns reach into a span


class Draw:
    def __init__(self, desk: Desk, estimates: Estimates, shedding: Shedding, keys: Keys) -> None:
        self._desk, self._estimates, self._shedding, self._keys = desk, estimates, shedding, keys
        self.asked = Rate(4 * desk.forget_ns)  # a small sidecar's rate over less is mere chance
        self.carried = Rate(desk.settings.fall_ns)  # requests answered, for each unit of ready weight
        self.size = self._among = 1.0  # ready weight, as far as it is warm, and the part of it drawn from

    def _eligible(self, req: Pending, ready: list[Endpoint]) -> list[Endpoint]:
        # The first of this sidecar's own order: as many as it sends to within a longest target. With
        # more it opens connections to all, and each server's table fills with those of all sidecars.
        usual = ready[: FEWEST + int(self.asked.read(self._desk.now) * self._desk.longest_ns)]
        group = self._keys.group(req, usual, ready)
        tried = {a.endpoint.id for a in req.attempts}
        return ([e for e in group if e.id not in tried] or group) if tried else group

    def draw(self, req: Pending, ready: list[Endpoint], usual: float) -> Endpoint | None:
        """One endpoint, by odds inverse to w_i, raised by what the settings price. None: nowhere for now."""
        if not (candidates := self._eligible(req, ready)):
            return None
        s, now, kinds = self._desk.settings, self._desk.now, self._estimates.kind_slow
        took = usual * max(1.0, sum(kinds.values()) / max(1, len(kinds)))  # of late
        away = 1 + s.price_cross_zone * PRICE_WAIT * req.cls.target_ns / took
        fresh = 1 + s.price_handshake * PRICE_WAIT * req.cls.target_ns / took
        warm, gather = self._warm(req.event.key, candidates), max(1.0, WARM_KEY * len(candidates))
        odds, size = [], 0.0
        for e in candidates:
            w = (self._estimates.load(e) + 1) * self._estimates.slowdown(e, req.event.cls)
            turn = e.ramp = 1.0
            if now < e.warm_at:  # the slowest ramp that is guaranteed
                age = max(0, now - e.cold_from)
                e.ramp = s.start_capacity + (1 - s.start_capacity) * age / s.cold_ns
                if not e.slow_at:  # else its answers tell how much slower it is
                    w /= e.ramp
                turn = self.turn(e)
            if e.zone != s.zone:
                w *= away
            if len(e.out) >= e.held * s.streams_per_conn or now - e.held_at >= s.keepalive_ns / 2:
                w *= fresh  # Handshakes and full tables of connections take the endpoints' capacity
            size += e.weight * e.ramp
            odds.append(turn / max(w / gather if e is warm else w, 1e-9))
        self._among = len(candidates) / len(ready)
        self.size = size / self._among or 1.0
        return self._desk.random.choices(candidates, odds)[0] if any(odds) else None

    def _warm(self, key: int, candidates: list[Endpoint]) -> Endpoint | None:
        """The endpoint at which all sidecars of a zone gather a key, by highest-random-weight hashing."""
        if not key or not self._desk.settings.warm_keys:
            return None
        near = [e for e in candidates if e.zone == self._desk.settings.zone] or candidates
        return max(near, key=lambda e: mix(key, e.id))

    def turn(self, e: Endpoint) -> float:
        """A cold endpoint falls over under the sum of what all sidecars send. So each sends it one
        request a turn, and its turns come at its part of what the rule allows: as much as a warm endpoint
        of the size is seen to carry here, times the ramp and the rule's multiple. Phases are dealt evenly.
        By how much its odds rise while it has a turn, to get its due over all; 0: it has none."""
        s, now = self._desk.settings, self._desk.now
        rate = PLAN * s.fall_multiple * e.weight * e.ramp * self._carried(now) / self._among
        e.phase, e.phase_at = e.phase + rate * (now - (e.phase_at or now)), now
        lasting = rate * s.fall_ns * OPEN
        e.turn = max(e.turn, floor(e.phase - lasting))
        return 1 / min(1.0, lasting) if e.turn < floor(e.phase) else 0.0

    def _carried(self, now: int) -> float:
        """Requests per ns that one unit of ready weight answers to this sidecar. In its first seconds
        it has seen none, and where all are cold would never see any: then its part of what a core that serves
        one at a time does."""
        desk, rate, usual = self._desk, self.carried, self._estimates.class_ns
        carried = rate.read(now) / max(FEW, 1 - exp2((desk.started - now) / rate.half_ns))
        if now >= desk.started + desk.forget_ns:
            return carried
        return max(carried, len(usual) / sum(usual) / self._estimates.mean_weight / desk.settings.fleet_size)

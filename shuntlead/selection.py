"""Endpoint selection: each eligible endpoint i has the weight w_i = (L_i + 1) * x_i, from its load L_i and
its slowdown x_i, and is chosen at random with odds 1 / w_i.

This module writes the warm-up state of Endpoint records, and nothing else outside itself."""

from __future__ import annotations

from math import exp2, floor

from shuntlead.context import Context, stable_hash
from shuntlead.estimates import Estimates
from shuntlead.keys import Keys
from shuntlead.rate import Rate
from shuntlead.records import Endpoint, Pending
from shuntlead.shedding import Shedding

MIN_CANDIDATES = 12  # endpoints to choose from, however low the traffic: some of each zone and machine kind
MIN_RATE_MEMORY = 0.3  # least part of a rate's averaging time that is assumed to have passed
PRICE_TARGETS = 20.0  # a price of 1 in the settings counts like waiting for this many targets
WARM_KEY_ODDS = 0.6  # odds of the endpoint likely to have a key cached, relative to all others together
# Turns of endpoints that are warming up, see turn_odds(): a turn's length in multiples of fall_ns, and the
# rate of turns relative to the allowed one. Turns accrued before the start of a fall_ns interval may still be
# used in it, so the rate is below the allowed one.
TURN_LENGTH, TURN_RATE_FACTOR = 0.75, 0.9


class EndpointSelector:
    """Chooses the endpoint of each attempt."""

    def __init__(self, ctx: Context, estimates: Estimates, shedding: Shedding, keys: Keys) -> None:
        self._ctx, self._estimates, self._shedding, self._keys = ctx, estimates, shedding, keys
        self.request_rate = Rate(4 * ctx.half_life_ns)  # of requests; shorter would be noise at low traffic
        self.answer_rate = Rate(ctx.settings.fall_ns)  # answers per unit of ready weight
        # Weight of the ready endpoints, reduced for those that are warming up, and the share of the ready
        # endpoints that were candidates, both as of the last selection.
        self.ready_weight = self._candidate_share = 1.0

    def _eligible(self, req: Pending, ready: list[Endpoint]) -> list[Endpoint]:
        # The first endpoints by rank: the minimum, plus one for each request that arrives within the longest
        # target. With more, each sidecar would open connections to all endpoints, and the connection tables
        # of the endpoints would fill up.
        usual_endpoints = ready[
            : MIN_CANDIDATES + int(self.request_rate.read(self._ctx.now) * self._ctx.max_target_ns)
        ]
        group = self._keys.eligible(req, usual_endpoints, ready)
        tried = {a.endpoint.id for a in req.attempts}
        return ([e for e in group if e.id not in tried] or group) if tried else group

    def select(self, req: Pending, ready: list[Endpoint], expected_ns: float) -> Endpoint | None:
        """Chooses an endpoint with odds 1 / w_i, where the prices in the settings increase w_i. None: no
        endpoint may get the request now."""
        if not (candidates := self._eligible(req, ready)):
            return None
        s, now, slowdowns = self._ctx.settings, self._ctx.now, self._estimates.kind_slowdowns
        # Usual response time at present, with the mean slowdown of the machine kinds.
        usual_ns = expected_ns * max(1.0, sum(slowdowns.values()) / max(1, len(slowdowns)))
        cross_zone_factor = 1 + s.price_cross_zone * PRICE_TARGETS * req.cls.target_ns / usual_ns
        handshake_factor = 1 + s.price_handshake * PRICE_TARGETS * req.cls.target_ns / usual_ns
        warm_endpoint, warm_boost = (
            self._warm_endpoint(req.event.key, candidates),
            max(1.0, WARM_KEY_ODDS * len(candidates)),
        )
        odds, ready_weight = [], 0.0
        for e in candidates:
            w = (self._estimates.load(e) + 1) * self._estimates.slowdown(e, req.event.cls)
            odds_factor = e.ramp = 1.0
            if now < e.warm_at:  # by the slowest warm-up that the settings guarantee
                age = max(0, now - e.cold_from)
                e.ramp = s.start_capacity + (1 - s.start_capacity) * age / s.cold_ns
                if not e.slowdown_at:  # otherwise its slowdown reflects the warm-up already
                    w /= e.ramp
                odds_factor = self.turn_odds(e)
            if e.zone != s.zone:
                w *= cross_zone_factor
            # A new connection is needed: handshakes and large connection tables cost the endpoint capacity.
            if (
                len(e.in_flight) >= e.connections * s.streams_per_conn
                or now - e.connection_used_at >= s.keepalive_ns / 2
            ):
                w *= handshake_factor
            ready_weight += e.weight * e.ramp
            odds.append(odds_factor / max(w / warm_boost if e is warm_endpoint else w, 1e-9))
        self._candidate_share = len(candidates) / len(ready)
        self.ready_weight = ready_weight / self._candidate_share or 1.0
        return self._ctx.random.choices(candidates, odds)[0] if any(odds) else None

    def _warm_endpoint(self, key: int, candidates: list[Endpoint]) -> Endpoint | None:
        """The endpoint that all sidecars of a zone prefer for a key, by highest-random-weight hashing: it is
        likely to have the key cached."""
        if not key or not self._ctx.settings.warm_keys:
            return None
        near = [e for e in candidates if e.zone == self._ctx.settings.zone] or candidates
        return max(near, key=lambda e: stable_hash(key, e.id))

    def turn_odds(self, e: Endpoint) -> float:
        """The factor by which the odds of a warming-up endpoint change: 0 without a turn, and with one at
        least 1, so that it gets its share over time in spite of the pauses between turns.

        The sum of what all sidecars send could overload an endpoint that is still cold, so each sends it one
        request per turn. Turns come at this sidecar's share of the allowed rate: the rate of a warm endpoint
        of the same weight, times `ramp` and the setting fall-multiple. The sidecars' phases are spread
        evenly."""
        s, now = self._ctx.settings, self._ctx.now
        rate = (
            TURN_RATE_FACTOR
            * s.fall_multiple
            * e.weight
            * e.ramp
            * self._answers_per_weight(now)
            / self._candidate_share
        )
        e.turns_due, e.turns_due_at = e.turns_due + rate * (now - (e.turns_due_at or now)), now
        turn_length = rate * s.fall_ns * TURN_LENGTH
        e.turns_used = max(e.turns_used, floor(e.turns_due - turn_length))
        return 1 / min(1.0, turn_length) if e.turns_used < floor(e.turns_due) else 0.0

    def _answers_per_weight(self, now: int) -> float:
        """Answers per nanosecond that one unit of ready weight gives to this sidecar. At first there are
        none, and if all endpoints are cold there would never be any: until half_life_ns after the start it is
        at least this sidecar's share of the answers of one core that serves one request at a time."""
        ctx, rate, class_ns = self._ctx, self.answer_rate, self._estimates.class_ns
        per_weight = rate.read(now) / max(MIN_RATE_MEMORY, 1 - exp2((ctx.started - now) / rate.half_ns))
        if now >= ctx.started + ctx.half_life_ns:
            return per_weight
        return max(
            per_weight, len(class_ns) / sum(class_ns) / self._estimates.mean_weight / ctx.settings.fleet_size
        )

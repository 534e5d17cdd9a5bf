"""The four rules on generated event sequences that are valid on the wire (see checker.py)."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count
from typing import Any

from hypothesis import HealthCheck, given, settings, strategies

from shuntlead import interface as api
from shuntlead.balancer import Balancer
from shuntlead.interface import EndpointState, Status
from tests.checker import Checker
from tests.support import MS, SECOND, raw_settings

TICK = 5 * MS
STATUSES = list(Status)


class Simulation:
    """Valid events drawn from a seed: arrivals, outcomes of every kind, list changes and timers."""

    def __init__(self, seed: int, cfg: api.Settings, length_ns: int) -> None:
        self.draw = random.Random(seed)
        self.cfg = cfg
        self.checker = Checker(cfg)
        self.balancer = Balancer(cfg, seed)
        self.now = self.draw.choice((10 * SECOND, 10**15))
        self.end = self.now + length_ns
        self.order = count()
        self.queue: list[tuple[int, int, str, Any]] = []
        self.ids = count(1)
        self.outstanding: dict[tuple[int, int], api.Send] = {}
        self.outcome_mix = self.draw.choice(("calm", "errors", "silent", "mixed"))

    def at(self, when: int, kind: str, data: Any = None) -> None:
        heappush(self.queue, (-(-when // TICK) * TICK, next(self.order), kind, data))

    def run(self) -> Checker:
        self.dispatch(api.EndpointList(1, api.ListForm.CACHED, tuple(self.rows())))
        self.at(self.now + TICK, "arrive")
        self.at(self.now + SECOND, "roster")
        self.at(self.now + 2 * TICK, "peer")
        while self.queue:
            when, _, kind, data = heappop(self.queue)
            if when > self.end + 10 * SECOND and not self.outstanding and kind == "timer":
                break
            self.now = max(self.now, when)
            self.checker.check_all_answered(self.now)
            getattr(self, "do_" + kind)(data)
        self.checker.check_all_answered(self.now + 60 * SECOND)
        assert not self.balancer.pending, "state left over from finished requests"
        assert not self.balancer.keys.queues, "state left over from idle keys"
        return self.checker

    def rows(self) -> list[api.ListedEndpoint]:
        draw = self.draw
        started = (0, self.now, self.now - SECOND)
        return [
            api.ListedEndpoint(n * 7919, draw.choice((0.0, 1.0, 4.0)), n % 3, draw.randrange(2),
                       n % 2, draw.choice((0, 1, 1, 1, 2)), draw.choice(started))
            for n in draw.sample(range(1, 9), draw.randrange(0, 8))
        ]  # fmt: skip

    def dispatch(self, event: api.Event) -> None:
        self.checker.on_event(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.checker.on_actions(self.now, actions)
        for action in actions:
            if isinstance(action, api.Send):
                self.on_send(action)
            elif isinstance(action, api.SetTimer):
                self.at(self.now + max(action.delay_ns, TICK), "timer", action.token)
            elif isinstance(action, api.Cancel):
                self.at(self.now + TICK, "cancelled", (action.request, action.attempt))

    def on_send(self, send: api.Send) -> None:
        record = self.checker.requests[send.request]
        attempt = len(record.attempts) - 1
        self.outstanding[send.request, attempt] = send
        limit = min(self.now + send.timeout_ns, record.due) if send.timeout_ns else record.due
        self.at(limit, "outcome", (send.request, attempt, Status.TIMEOUT))
        status = self.draw_status()
        if status is not None:
            wait = self.draw.choice((1, 30, 200, 900)) * MS
            if self.now + wait < limit:
                self.at(self.now + wait, "outcome", (send.request, attempt, status))

    def draw_status(self) -> Status | None:
        if self.outcome_mix == "calm":
            return Status.OK
        if self.outcome_mix == "silent":
            return None
        weights = (5, 1, 2, 0, 2, 2, 0, 0) if self.outcome_mix == "errors" else (2, 4, 1, 0, 1, 1, 0, 0)
        return self.draw.choices(STATUSES, weights)[0]

    def do_arrive(self, _: Any) -> None:
        if self.now >= self.end:
            return
        draw = self.draw
        left = draw.choice((0, TICK, 300 * MS, 2 * SECOND))
        hint = draw.choice((None, 0, 30 * MS, 2**63))
        cls = draw.randrange(len(self.cfg.classes))
        request = api.Request(next(self.ids), cls, left, hint, draw.choice((0, 5, 2**64 - 1)))
        self.at(self.now + draw.choice((TICK, 20 * MS, 400 * MS)), "arrive")
        self.dispatch(request)
        record = self.checker.requests[request.request]
        if draw.random() < 0.1:
            self.at(self.now + 50 * MS, "leave", request.request)
        self.at(record.due + TICK, "deadline", request.request)

    def do_leave(self, request: int) -> None:
        if not self.checker.requests[request].answered:
            self.dispatch(api.ClientGone(request))

    def do_deadline(self, request: int) -> None:
        record = self.checker.requests[request]
        assert record.answered or any(c.open for c in record.attempts), "rule 1: held after its deadline"

    def do_cancelled(self, attempt: tuple[int, int]) -> None:
        self.do_outcome((*attempt, Status.CANCELLED))

    def do_outcome(self, data: tuple[int, int, Status]) -> None:
        request, attempt, status = data
        send = self.outstanding.pop((request, attempt), None)
        if send is None:
            return
        finished = self.checker.requests[request].answered or status is Status.OK
        latency = self.now - self.checker.requests[request].attempts[attempt].sent
        load = self.draw.choice(((), (0.0,), (9.0,), (float("nan"),), (float("inf"),), (-1.0,)))
        self.dispatch(api.Outcome(request, send.endpoint, attempt, latency, status, finished, load))

    def do_roster(self, _: Any) -> None:
        form = self.draw.choice((api.ListForm.DELTA, api.ListForm.FULL, api.ListForm.FAILED))
        rows = () if form is api.ListForm.FAILED else tuple(self.rows())
        if form is not api.ListForm.DELTA:
            rows = tuple(row for row in rows if row.state != EndpointState.GONE)
        if self.now < self.end:
            self.at(self.now + self.draw.choice((TICK, SECOND)), "roster")
        self.dispatch(api.EndpointList(2, form, rows))

    def do_peer(self, _: Any) -> None:
        draw = self.draw
        slow, queue = draw.choice((0.1, 1.0, 50.0)), draw.choice((0.0, 9.0))
        seen = [api.Observation(n * 7919, slow, queue, draw.randrange(SECOND)) for n in range(1, 9)]
        if self.now < self.end and self.cfg.may_message:
            self.at(self.now + draw.choice((TICK, SECOND)), "peer")
            self.dispatch(api.PeerMessage(1, draw.random(), tuple(seen)))
            self.send_peer_ejections()

    def send_peer_ejections(self) -> None:
        """Sends ejections by peers and from stored state, for listed and unlisted endpoints."""
        draw, numbers = self.draw, [n * 7919 for n in range(1, 9)]
        up = draw.sample(numbers, draw.randrange(9))
        left_ns = draw.choice((0, 300 * MS, 5 * SECOND))
        ejections = tuple(api.Ejection(n, left_ns, Status.RESET) for n in up if draw.random() < 0.3)
        for sender in (1, 2):
            self.dispatch(api.PeerEjections(sender, ejections))
        if draw.random() < 0.2:
            self.dispatch(api.Restore((), ejections, (api.KeyPin(5, 1, draw.randrange(2), 0, SECOND),)))

    def do_timer(self, token: int) -> None:
        self.dispatch(api.Timer(token))


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    seed=strategies.integers(0, 2**32),
    scope=strategies.sampled_from(["all", "zone", "cell"]),
    duplicate=strategies.booleans(),
    cancel=strategies.booleans(),
    cap=strategies.integers(1, 5),
    window=strategies.sampled_from([50 * MS, 400 * MS, 5 * SECOND]),
    late_worth=strategies.sampled_from([0.0, 0.3]),
    peers=strategies.booleans(),
    in_order=strategies.sampled_from([(), (2,), (0, 1, 2)]),
    settle=strategies.sampled_from([0, 100 * MS, SECOND]),
    ejection=strategies.booleans(),
)
def test_rules_hold_for_any_valid_event_sequence(
    seed: int,
    scope: str,
    duplicate: bool,
    cancel: bool,
    cap: int,
    window: int,
    late_worth: float,
    peers: bool,
    in_order: tuple[int, ...],
    settle: int,
    ejection: bool,
) -> None:
    raw = raw_settings(
        allowed__may_duplicate=duplicate, allowed__cancel=cancel, allowed__attempts_cap=cap,
        allowed__peers=peers, guarantees__order_settle_ns=settle, ejection=ejection,
    )  # fmt: skip
    raw["request-classes"][1].update({"dedup-scope": scope, "dedup-window-ns": window})
    for cls in raw["request-classes"]:
        cls["late-worth"] = late_worth
    for n in in_order:
        raw["request-classes"][n]["in-order"] = True
    checker = Simulation(seed, api.Settings.from_dict(raw), 8 * SECOND).run()
    assert checker.requests

"""Cold endpoints get no more than they bear."""

from __future__ import annotations

import sys
from typing import Any

import pytest

from shuntlead import interface as api
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    one_pending,
    sends,
    share,
)


def cold_work(rows: list[api.ListedEndpoint], cold: set[int], rate_ns: int, length_ns: int = SECOND) -> float:
    car = Sidecar(rows)
    car.serve(200, latency_ns=rate_ns)
    car.roster([listed(n, started_ns=car.now) for n in cold])
    end, hits = car.now + length_ns, 0
    while car.now < end:
        for send in sends(car.request()):
            hits += send.endpoint in cold
            car.outcome(send, latency_ns=20 * MS)
        car.now += rate_ns
    return hits / (length_ns / rate_ns)


def test_a_cold_endpoint_gets_no_more_than_its_part() -> None:
    """It falls over. At a quarter of its capacity it may have 2.5 times that of a fair share."""
    fair = 1 / 5
    got = cold_work([listed(n) for n in range(1, 6)], {5}, 5 * MS)
    assert got < 2.5 * 0.5 * fair


def test_a_cold_endpoint_is_weighed_by_its_answers_once_there_are_some() -> None:
    """Its coldness would count twice, and replacements idle beside endpoints that are full."""
    rows, chosen = [listed(n) for n in range(1, 6)], []
    for seed in range(4):
        car = Sidecar(rows, seed)
        car.serve(200, latency_ns=5 * MS)
        car.roster([listed(5, started_ns=car.now - 5 * SECOND)])  # half its time to warm up
        car.balancer.endpoints[5].slowdown, car.balancer.endpoints[5].slowdown_at = 1.0, car.now
        chosen += car.serve(300, latency_ns=5 * MS)
    # As fast as the others, a fifth is its due; by the slowest ramp, 0.7 of its capacity, it would have 0.14.
    assert share(chosen, 5) > 0.17


def test_a_zone_back_cold_does_not_draw_all_local_traffic() -> None:
    rows = [listed(n, zone=n % 2) for n in range(1, 9)]
    got = cold_work(rows, {2, 4, 6, 8}, 5 * MS)
    assert got < 0.5


def test_the_cold_budget_holds_where_the_draw_prefers_the_cold_endpoint() -> None:
    """Beside slow warm endpoints a cold one looks best, and would take what pushes it over."""
    car = Sidecar([listed(1), listed(2)])
    car.serve(100)
    car.roster([listed(2, started_ns=car.now)])
    chosen = []
    for _ in range(300):
        car.balancer.endpoints[1].slowdown, car.balancer.endpoints[1].slowdown_at = 10.0, car.now
        for send in sends(car.request()):
            chosen.append(send.endpoint)
            car.now += 5 * MS
            car.outcome(send, latency_ns=5 * MS)
    # By the odds alone 0.25 / (0.25 + 0.1) = 0.7; the plan is 0.4 x 2.5 times a fair share of 0.2 to 0.3.
    assert share(chosen, 2) < 0.45


def turns(car: Sidecar, seconds: float) -> int:
    """How many requests endpoint 4 would be sent in that time, were it drawn whenever it may be."""
    choice, e, used = car.balancer.selector, car.balancer.endpoints[4], 0
    for _ in range(int(seconds * 100)):
        car.now += 10 * MS
        car.balancer.ctx.now = car.now
        e.ramp = 0.25
        if choice.turn_odds(e):
            e.turns_used, used = e.turns_used + 1, used + 1
    return used


def test_what_is_sent_and_not_answered_does_not_raise_the_cold_budget() -> None:
    """Where far more is sent than can be done, a part of it is more than a cold one can take."""
    used = []
    for unanswered in (0, 3):  # for each request that is answered
        car = Sidecar([listed(n) for n in range(1, 5)])
        car.serve(200, latency_ns=10 * MS)
        car.roster([listed(4, started_ns=car.now)])
        for n in range(60 * unanswered):
            req = car.balancer.pending.setdefault(-n, one_pending(car))
            car.balancer._send(req, car.balancer.endpoints[1], 10e6)
            car.balancer.endpoints[1].in_flight.clear()
        used.append(turns(car, 1.0))
    assert used[0] > 5 and used[1] <= used[0]


def test_a_cold_endpoint_may_have_the_rules_multiple_of_its_part_and_no_more() -> None:
    """By what the others carry: 100 a second here, by 3.25 of a warm one; at a quarter, 2.5 times that."""
    car = Sidecar([listed(n) for n in range(1, 5)])
    car.serve(400, latency_ns=10 * MS)
    car.roster([listed(4, started_ns=car.now)])
    car.serve(100, latency_ns=10 * MS)
    allowed = 2.5 * 0.25 * 100 / 3.25
    assert 0.5 * allowed < turns(car, 1.0) <= allowed * 1.1


def test_a_sidecar_without_a_past_serves_by_cold_endpoints_alone() -> None:
    """Of a share of what was answered there is none before the first answer, till all are warm."""
    car = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(1, 5)])
    served = 0
    for _ in range(100):
        for send in sends(car.request()):
            served += 1
            car.outcome(send, latency_ns=20 * MS)
        car.now += 20 * MS
    assert served > 10


def test_sidecars_that_send_little_use_a_cold_endpoint_too() -> None:
    """A part of a request for each window is none at all, and replacements stand idle till warm."""
    hits = 0
    for seed in range(300):
        car = Sidecar([listed(n) for n in range(10)], seed=seed, fleet_size=300, self_index=seed)
        car.serve(5, latency_ns=300 * MS)
        car.roster([listed(9, started_ns=car.now)])
        car.now += SECOND
        hits += car.serve(3, latency_ns=300 * MS).count(9)
    # Even odds would give 90; at a quarter of its capacity, rising, it should have some 20.
    assert 8 < hits < 45


def test_an_overdue_attempt_counts_as_a_sample() -> None:
    car = Sidecar([listed(1)])
    car.serve(30)
    car.request(cls=2)
    usual = car.balancer.estimates.class_ns[2]
    car.balancer.ctx.now += int(8 * usual)
    assert car.balancer.estimates.slowdown(car.balancer.endpoints[1]) == pytest.approx(8, rel=0.01)


def test_a_whole_fleet_cold_at_once_costs_one_pass_a_request() -> None:
    """A fleet enlarged fivefold is mostly cold; work per request must stay linear in it."""

    def calls(size: int) -> int:
        car = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(size)])
        seen = 0

        def count(frame: Any, event: str, arg: Any) -> None:
            nonlocal seen
            seen += 1

        sys.setprofile(count)
        try:
            for _ in range(20):
                car.request()
        finally:
            sys.setprofile(None)
        return seen

    assert calls(400) < 6 * calls(100)

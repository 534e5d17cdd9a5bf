"""Cold (newly started) endpoints get no more requests than their guaranteed capacity allows."""

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


def cold_share(
    rows: list[api.ListedEndpoint], cold: set[int], rate_ns: int, length_ns: int = SECOND
) -> float:
    sidecar = Sidecar(rows)
    sidecar.serve(200, latency_ns=rate_ns)
    sidecar.apply_list([listed(n, started_ns=sidecar.now) for n in cold])
    end, sent_to_cold = sidecar.now + length_ns, 0
    while sidecar.now < end:
        for send in sends(sidecar.request()):
            sent_to_cold += send.endpoint in cold
            sidecar.outcome(send, latency_ns=20 * MS)
        sidecar.now += rate_ns
    return sent_to_cold / (length_ns / rate_ns)


def test_cold_endpoint_gets_no_more_than_its_budget() -> None:
    """It would be overloaded. At a quarter of its capacity it may get 2.5 times that part of a fair share."""
    fair = 1 / 5
    got = cold_share([listed(n) for n in range(1, 6)], {5}, 5 * MS)
    assert got < 2.5 * 0.5 * fair


def test_a_cold_endpoint_is_weighed_by_its_answers_once_there_are_some() -> None:
    """Otherwise the cold start would count twice, leaving replacements idle next to full endpoints."""
    rows, chosen = [listed(n) for n in range(1, 6)], []
    for seed in range(4):
        sidecar = Sidecar(rows, seed)
        sidecar.serve(200, latency_ns=5 * MS)
        sidecar.apply_list([listed(5, started_ns=sidecar.now - 5 * SECOND)])  # half of its warm-up time
        sidecar.balancer.endpoints[5].slowdown, sidecar.balancer.endpoints[5].slowdown_at = 1.0, sidecar.now
        chosen += sidecar.serve(300, latency_ns=5 * MS)
    # As fast as the others, it should get a fifth. By the slowest ramp, 0.7 of capacity, it would get 0.14.
    assert share(chosen, 5) > 0.17


def test_zone_that_returns_cold_does_not_get_all_local_traffic() -> None:
    rows = [listed(n, zone=n % 2) for n in range(1, 9)]
    got = cold_share(rows, {2, 4, 6, 8}, 5 * MS)
    assert got < 0.5


def test_cold_budget_holds_where_the_odds_prefer_the_cold_endpoint() -> None:
    """Next to slow warm endpoints a cold one looks fastest, and would be overloaded."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100)
    sidecar.apply_list([listed(2, started_ns=sidecar.now)])
    chosen = []
    for _ in range(300):
        sidecar.balancer.endpoints[1].slowdown, sidecar.balancer.endpoints[1].slowdown_at = 10.0, sidecar.now
        for send in sends(sidecar.request()):
            chosen.append(send.endpoint)
            sidecar.now += 5 * MS
            sidecar.outcome(send, latency_ns=5 * MS)
    # Without the budget 0.25 / (0.25 + 0.1) = 0.7; with it 0.4 x 2.5 times a fair share of 0.2 to 0.3.
    assert share(chosen, 2) < 0.45


def sends_allowed(sidecar: Sidecar, seconds: float) -> int:
    """Returns how many requests endpoint 4 would get if it were chosen whenever its budget allows."""
    choice, e, used = sidecar.balancer.selector, sidecar.balancer.endpoints[4], 0
    for _ in range(int(seconds * 100)):
        sidecar.now += 10 * MS
        sidecar.balancer.ctx.now = sidecar.now
        e.ramp = 0.25
        if choice.turn_odds(e):
            e.turns_used, used = e.turns_used + 1, used + 1
    return used


def test_unanswered_requests_do_not_raise_the_cold_budget() -> None:
    """Under overload, a share of what is sent is more than a cold endpoint can serve."""
    used = []
    for unanswered in (0, 3):  # per answered request
        sidecar = Sidecar([listed(n) for n in range(1, 5)])
        sidecar.serve(200, latency_ns=10 * MS)
        sidecar.apply_list([listed(4, started_ns=sidecar.now)])
        for n in range(60 * unanswered):
            req = sidecar.balancer.pending.setdefault(-n, one_pending(sidecar))
            sidecar.balancer._send(req, sidecar.balancer.endpoints[1], 10e6)
            sidecar.balancer.endpoints[1].in_flight.clear()
        used.append(sends_allowed(sidecar, 1.0))
    assert used[0] > 5 and used[1] <= used[0]


def test_cold_endpoint_gets_up_to_fall_multiple_times_its_capacity() -> None:
    """The others serve 100 requests/s, as 3.25 warm endpoints; the budget is 2.5 times a quarter of one."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)])
    sidecar.serve(400, latency_ns=10 * MS)
    sidecar.apply_list([listed(4, started_ns=sidecar.now)])
    sidecar.serve(100, latency_ns=10 * MS)
    allowed = 2.5 * 0.25 * 100 / 3.25
    assert 0.5 * allowed < sends_allowed(sidecar, 1.0) <= allowed * 1.1


def test_new_sidecar_serves_with_cold_endpoints_only() -> None:
    """A budget derived from answered requests would stay zero before the first answer."""
    sidecar = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(1, 5)])
    served = 0
    for _ in range(100):
        for send in sends(sidecar.request()):
            served += 1
            sidecar.outcome(send, latency_ns=20 * MS)
        sidecar.now += 20 * MS
    assert served > 10


def test_sidecars_that_send_little_use_a_cold_endpoint_too() -> None:
    """A budget of less than one request per window must not round to zero and leave replacements idle."""
    sent_to_cold = 0
    for seed in range(300):
        sidecar = Sidecar([listed(n) for n in range(10)], seed=seed, fleet_size=300, self_index=seed)
        sidecar.serve(5, latency_ns=300 * MS)
        sidecar.apply_list([listed(9, started_ns=sidecar.now)])
        sidecar.now += SECOND
        sent_to_cold += sidecar.serve(3, latency_ns=300 * MS).count(9)
    # An even choice would give 90; with capacity rising from a quarter it should get about 20.
    assert 8 < sent_to_cold < 45


def test_an_overdue_attempt_counts_as_a_sample() -> None:
    sidecar = Sidecar([listed(1)])
    sidecar.serve(30)
    sidecar.request(cls=2)
    usual = sidecar.balancer.estimates.class_ns[2]
    sidecar.balancer.ctx.now += int(8 * usual)
    assert sidecar.balancer.estimates.slowdown(sidecar.balancer.endpoints[1]) == pytest.approx(8, rel=0.01)


def test_cost_per_request_is_linear_when_the_whole_fleet_is_cold() -> None:
    """After a fivefold scale-up most endpoints are cold; work per request must stay linear."""

    def calls(size: int) -> int:
        sidecar = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(size)])
        seen = 0

        def count(frame: Any, event: str, arg: Any) -> None:
            nonlocal seen
            seen += 1

        sys.setprofile(count)
        try:
            for _ in range(20):
                sidecar.request()
        finally:
            sys.setprofile(None)
        return seen

    assert calls(400) < 6 * calls(100)

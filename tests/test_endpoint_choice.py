"""Endpoint selection: odds, subsets, warm keys, and the handshake price."""

from __future__ import annotations

from typing import Any

from shuntlead.interface import EndpointState, Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    share,
)


def test_endpoints_without_samples_have_equal_odds() -> None:
    counts = {1: 0, 2: 0, 3: 0, 4: 0}
    for seed in range(2000):
        sidecar = Sidecar([listed(n) for n in counts], seed=seed)
        counts[sends(sidecar.request())[0].endpoint] += 1
    # Binomial(2000, 1/4): five standard deviations are 97.
    assert all(abs(n - 500) < 97 for n in counts.values()), counts


def test_odds_are_the_inverse_of_load_plus_one_times_response_time() -> None:
    """Compares w_i = (L_i + 1) * x_i with the frequencies of 4000 draws for given queues and slowdowns."""
    queues, slow = {1: 0, 2: 1, 3: 4}, {1: 1.0, 2: 2.0, 3: 1.0}
    counts = dict.fromkeys(queues, 0)
    for seed in range(4000):
        sidecar = Sidecar([listed(n) for n in queues], seed=seed)
        for n, e in sidecar.balancer.endpoints.items():
            e.slowdown, e.slowdown_at = slow[n], sidecar.now
            e.queue, e.queue_at = queues[n], sidecar.now
        counts[sends(sidecar.request())[0].endpoint] += 1
    odds = {n: 1 / ((queues[n] + 1) * slow[n]) for n in queues}
    for n, odd in odds.items():
        p = odd / sum(odds.values())
        bound = 5 * (4000 * p * (1 - p)) ** 0.5  # five standard deviations
        assert abs(counts[n] - 4000 * p) < bound, (n, counts)


def test_a_faster_endpoint_gets_more() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    chosen = []
    for _ in range(400):
        [send] = sends(sidecar.request())
        chosen.append(send.endpoint)
        took = (20 if send.endpoint == 1 else 100) * MS
        sidecar.now += took
        sidecar.outcome(send, latency_ns=took)
    assert share(chosen, 1) > 0.65


def test_own_sends_since_the_report_count_as_load() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    counts = {1: 0, 2: 0}
    for _ in range(60):  # all at once; none is refused while the answer rate is unknown
        for send in sends(sidecar.request()):
            counts[send.endpoint] += 1
    assert min(counts.values()) > 20  # an unweighted choice falls below this for 1 in 200 seeds


def test_endpoint_without_samples_has_the_mean_of_its_kind() -> None:
    """Most of many endpoints have no samples; without this, a slow kind got the odds of a fast one."""
    fast = [listed(n, kind=0) for n in range(20)]
    slow = [listed(n, kind=1) for n in range(20, 40)]
    sidecar = Sidecar([*fast, *slow], seed=3)
    for _ in range(60):
        for send in sends(sidecar.request()):
            took = 50 * MS if send.endpoint < 20 else 200 * MS
            sidecar.now += took
            sidecar.outcome(send, latency_ns=took)
    sidecar.apply_list([listed(98, kind=0), listed(99, kind=1)])
    fresh_fast, fresh_slow = sidecar.balancer.endpoints[98], sidecar.balancer.endpoints[99]
    assert sidecar.balancer.estimates.slowdown(fresh_slow) > 1.5 * sidecar.balancer.estimates.slowdown(
        fresh_fast
    )


def test_a_sidecar_that_sends_little_keeps_to_few_endpoints_and_a_busy_one_does_not() -> None:
    """Connections of hundreds of sidecars to all endpoints would exhaust the endpoints' connection tables."""
    rows = [listed(n) for n in range(200)]
    little = Sidecar(rows)
    assert len(set(little.serve(300, latency_ns=900 * MS))) <= 20
    middling = Sidecar(rows)  # 25 requests/s, so about 18 within the target of 0.7 s
    assert 20 <= len(set(middling.serve(600, latency_ns=40 * MS))) <= 45
    busy = Sidecar(rows)
    assert len(set(busy.serve(6000, latency_ns=4 * MS))) > 130


def test_sidecars_use_different_subsets() -> None:
    rows, used = [listed(n) for n in range(60)], {n: 0 for n in range(60)}
    for seed in range(300):
        for n in set(Sidecar(rows, seed=seed).serve(40, latency_ns=SECOND)):
            used[n] += 1
    assert max(used.values()) < 2.5 * min(used.values())


def test_sidecar_whose_subset_is_gone_sends_to_other_endpoints() -> None:
    sidecar = Sidecar([listed(n) for n in range(60)])
    few = set(sidecar.serve(60, latency_ns=SECOND))
    sidecar.apply_list([listed(n, state=EndpointState.DRAINING) for n in few])
    assert sends(sidecar.request())[0].endpoint not in few


def test_popular_key_is_concentrated_alike_in_small_and_large_fleets() -> None:
    """Fixed odds would give the warm endpoint a third of the key among ten but a twelfth among 73."""
    for size in (10, 80):
        sidecar = Sidecar([listed(n) for n in range(size)], family_info__warm_keys=True)
        counts: dict[int, int] = {}
        for _ in range(400):
            for send in sends(sidecar.request(key=77)):
                counts[send.endpoint] = counts.get(send.endpoint, 0) + 1
                sidecar.now += 10 * MS
                sidecar.outcome(send, latency_ns=10 * MS)
        assert 100 < max(counts.values()) < 250


def count_repeats(busy: bool, status: Status = Status.OK, seeds: int = 60, **changes: Any) -> int:
    """Returns how many of `seeds` sidecars send their second request to the endpoint of the first."""
    same = 0
    for seed in range(seeds):
        sidecar = Sidecar([listed(1), listed(2)], seed, **changes)
        [first] = sends(sidecar.request(2))
        sidecar.now += 50 * MS
        if not busy:
            sidecar.outcome(first, status)
        [second] = sends(sidecar.request(2))
        same += second.endpoint == first.endpoint
    return same


def test_an_endpoint_with_a_free_connection_is_preferred_by_the_price_of_a_handshake() -> None:
    """In a large fleet the few requests of each sidecar would open connections to all endpoints."""
    assert 15 <= count_repeats(False) <= 45
    assert count_repeats(False, prices__handshake=0.08) > 50
    assert count_repeats(True, prices__handshake=0.08) < 45  # its only connection is busy
    assert count_repeats(False, Status.RESET, prices__handshake=0.08) < 45  # the connection is closed
    assert count_repeats(True, prices__handshake=0.08, allowed__streams_per_conn=2) > 40

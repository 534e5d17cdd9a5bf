"""How failures and missing answers change an endpoint's odds."""

from __future__ import annotations

import pytest

from shuntlead.interface import Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    share,
)


@pytest.mark.parametrize("status", [Status.ERROR, Status.RESET, Status.FULL, Status.CONNECT_FAILED])
def test_fast_failures_lower_the_odds_for_a_limited_time(status: Status) -> None:
    """An endpoint that fails immediately looks fast and would attract all traffic."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])

    def run_rounds(rounds: int, broken: bool) -> float:
        chosen = []
        for _ in range(rounds):
            [send] = sends(sidecar.request(cls=2))
            chosen.append(send.endpoint)
            sidecar.now += 20 * MS
            if broken and send.endpoint == 1:
                for again in sends(sidecar.outcome(send, status, latency_ns=MS)):
                    sidecar.outcome(again, attempt=1, latency_ns=40 * MS)
                sidecar.now += 20 * MS
            else:
                sidecar.outcome(send, latency_ns=40 * MS)
        return share(chosen, 1)

    run_rounds(100, broken=False)
    assert run_rounds(300, broken=True) < 0.1
    sidecar.now += 30 * SECOND
    run_rounds(100, broken=False)
    assert run_rounds(300, broken=False) > 0.1


def test_a_silent_endpoint_loses_its_share_before_anything_times_out() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    sidecar.serve(100)
    late = []
    for n in range(100):
        for send in sends(sidecar.request(cls=2)):
            if n >= 50:
                late.append(send.endpoint)
            sidecar.now += 10 * MS
            if send.endpoint != 1:
                sidecar.outcome(send, latency_ns=10 * MS)
    assert share(late, 1) < 0.08


def test_restart_of_an_endpoint_resets_its_estimates() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(20)
    sidecar.apply_list([listed(1, started_ns=sidecar.now)])
    assert not sidecar.balancer.endpoints[1].slowdown_at
    assert sidecar.balancer.endpoints[2].slowdown_at


def test_an_endpoint_that_fails_one_class_loses_that_class_only() -> None:
    """One estimate for all classes would hide the class that is not answered."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    late: dict[int, list[int]] = {0: [], 2: []}
    for n in range(600):
        cls = 2 * (n % 2)
        for send in sends(sidecar.request(cls)):
            bad = cls == 2 and send.endpoint == 1
            if n >= 100:
                late[cls].append(send.endpoint)
            sidecar.now += 40 * MS
            sidecar.outcome(send, Status.TIMEOUT if bad else Status.OK, latency_ns=40 * MS, finished=True)
    assert share(late[2], 1) < 0.1
    assert share(late[0], 1) > 0.12


def test_a_lost_request_is_no_stalled_endpoint_once_a_later_one_is_answered() -> None:
    """Otherwise each lost answer would shift traffic away from a healthy endpoint."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(200, cls=2)
    [lost] = sends(sidecar.request(cls=2))
    stalled = sidecar.balancer.endpoints[lost.endpoint]
    sidecar.now += 500 * MS
    sidecar.balancer.ctx.now = sidecar.now
    assert sidecar.balancer.estimates.slowdown(stalled) > 5  # no answer from it since
    while lost.endpoint not in sidecar.serve(1, cls=2):
        pass
    assert sidecar.balancer.estimates.slowdown(stalled) < 2


def test_a_failed_connect_repels_more_than_a_slow_answer() -> None:
    """In a zone outage, refused connections would use up the retries that requests need."""
    failed = 0
    for seed in range(10):
        sidecar = Sidecar([listed(n) for n in range(1, 5)], seed)
        sidecar.serve(100, latency_ns=500 * MS, cls=2)  # a quarter of the deadline, which a failure counts as
        for _ in range(40):
            sidecar.now += 5 * MS
            [send] = sends(sidecar.request(2))
            if send.endpoint == 4:
                failed += 1
                [again] = sends(sidecar.outcome(send, Status.CONNECT_FAILED, latency_ns=MS))
                sidecar.outcome(again, attempt=1, latency_ns=500 * MS)
            else:
                sidecar.outcome(send, latency_ns=500 * MS)
        unheard = sidecar.balancer.estimates.typical_slowdown(sidecar.balancer.endpoints[4])
        assert unheard == pytest.approx(1.0, abs=0.3)  # failures do not affect the mean of the kind
    assert 5 < failed < 20  # of 400; an even share would be 100

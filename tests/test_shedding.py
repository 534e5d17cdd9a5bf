"""Load shedding: which requests are refused under overload."""

from __future__ import annotations

import random
from typing import Any

import pytest

from shuntlead import interface as api
from shuntlead.interface import Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    final_answers,
    listed,
    sends,
)


def test_last_attempt_past_its_target_is_refused_at_once() -> None:
    """Under overload most work would go to retries that have missed their target. Clients usually send
    with 1.2 s of 2 s left; a request with 0.9 s left has waited 1.1 s, past the target of 0.7 s."""
    sidecar = Sidecar([listed(1), listed(2)])
    for _ in range(5):
        [send] = sends(sidecar.request(2, left_ns=1200 * MS))
        sidecar.outcome(send)
    assert [type(a) for a in sidecar.request(2, left_ns=900 * MS)] == [api.Refuse]
    [send] = sends(sidecar.request(2, left_ns=1200 * MS))
    assert send.timeout_ns == 700 * MS
    [send] = sends(sidecar.request(2, left_ns=1500 * MS))  # waited 0.5 s: 0.2 s of the target remain
    assert send.timeout_ns == 200 * MS


def test_more_open_requests_than_can_be_answered_in_time_are_refused() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100, latency_ns=100 * MS)  # 10 requests/s: about 7 can be answered in 0.7 s
    answers = [final_answers(sidecar.request()) for _ in range(30)]
    assert not any(answers[:2])
    assert all(answers[10:])


def test_a_burst_is_no_overload_while_the_reports_show_free_cores() -> None:
    """In a large fleet one sidecar's burst is little load, and its own rate does not indicate capacity."""
    for busy, refused in ((0.5, False), (1.0, True)):
        sidecar = Sidecar([listed(1), listed(2)], report__columns=["util", "queue"])
        for _ in range(100):
            [send] = sends(sidecar.request())
            sidecar.now += 100 * MS
            sidecar.outcome(send, latency_ns=100 * MS, load=(busy, 0.0))
        assert any(final_answers(sidecar.request()) for _ in range(30)) is refused


def test_a_process_that_has_just_started_refuses_nothing_before_reports_tell_of_an_overload() -> None:
    for util, refused in ((None, False), (0.3, False), (0.95, True)):
        sidecar = Sidecar([listed(1), listed(2)], report__columns=["util", "queue"])
        for _ in range(3):
            [send] = sends(sidecar.request())
            sidecar.now += 300 * MS
            sidecar.outcome(send, latency_ns=300 * MS, load=() if util is None else (util, 0.0))
        assert any(final_answers(sidecar.request()) for _ in range(30)) is refused


def refused_at_steady_load(took_ns: int, gap_ns: int, seconds: int = 20, **changes: Any) -> float:
    """Returns the refused fraction in the second half, where every answer takes `took_ns` at any load."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)], **changes)
    under_way: list[tuple[int, api.Send]] = []
    half, end = sidecar.now + seconds * SECOND // 2, sidecar.now + seconds * SECOND
    asked = refused = 0
    while sidecar.now < end:
        while under_way and under_way[0][0] <= sidecar.now:
            sidecar.outcome(under_way.pop(0)[1], latency_ns=took_ns)
        actions = sidecar.request()
        under_way += [(sidecar.now + took_ns, send) for send in sends(actions)]
        asked += sidecar.now > half
        refused += sidecar.now > half and bool(final_answers(actions))
        sidecar.now += gap_ns
    return refused / asked


def test_unloaded_answers_near_the_target_do_not_cause_refusals() -> None:
    """A queue limit from half the target would shrink to nearly zero if unloaded answers take longer."""
    assert refused_at_steady_load(600 * MS, 10 * MS, allowed__may_duplicate=False) < 0.02


def test_low_rate_sidecar_does_not_refuse_for_lack_of_samples() -> None:
    assert refused_at_steady_load(300 * MS, 900 * MS) == 0


def test_requests_past_their_target_do_not_count_toward_the_open_limit() -> None:
    """Attempts at a stalled endpoint would exhaust the open-request limit while others are idle."""
    late = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "late-worth": 0.5}]
    sidecar = Sidecar([listed(1), listed(2)], request_classes=late)
    sidecar.serve(200, latency_ns=100 * MS)
    stuck = [bool(sends(sidecar.request())) for _ in range(30)]
    assert not stuck[-1]  # the open-request limit is reached
    sidecar.now += 699 * MS
    assert final_answers(sidecar.request())
    sidecar.now += 2 * MS
    assert sends(sidecar.request())


def test_new_sidecar_does_not_refuse_while_its_rate_is_unknown() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    assert not any(final_answers(sidecar.request()) for _ in range(30))


def test_heavy_tailed_hints_do_not_cause_refusals_of_other_requests() -> None:
    """A mean hint that includes refused requests would drift from the usual time of answered ones."""
    sidecar = Sidecar([listed(1), listed(2)])
    draw = random.Random(4)
    refused = 0
    for n in range(600):
        heavy = n > 100 and draw.random() < 0.05
        actions = sidecar.request(hint_ns=(3000 if heavy else 100) * MS)
        refused += not heavy and bool(final_answers(actions))
        for send in sends(actions):
            sidecar.now += 120 * MS
            sidecar.outcome(send, latency_ns=120 * MS)
    assert refused == 0


def test_a_flooding_tenant_is_refused_before_those_within_their_share() -> None:
    """Otherwise one tenant's flood would use up the open-request limit for all others."""
    tenants = [{"share": 0.5, "quota-per-s": 9.0}, {"share": 0.5, "quota-per-s": 9.0}]
    sidecar = Sidecar([listed(1), listed(2)], tenants=tenants, over_share_worth=0.1)
    draw, waiting = random.Random(2), []
    offered, refused = [0, 0], [0, 0]
    for _ in range(3000):
        tenant = int(draw.random() < 0.2)  # tenant 0 sends four times as much as tenant 1
        actions = sidecar.request(tenant=tenant)
        offered[tenant] += 1
        refused[tenant] += bool(final_answers(actions))
        waiting += sends(actions)
        sidecar.now += 10 * MS
        if len(waiting) > 3 and draw.random() < 0.4:  # far fewer are answered than sent
            sidecar.outcome(waiting.pop(0), latency_ns=300 * MS)
    assert refused[0] / offered[0] > 1.2 * refused[1] / offered[1]


def test_low_rate_sidecar_refuses_by_observed_latency_and_recovers() -> None:
    """At one request per second the open-request limit is never reached."""
    sidecar = Sidecar([listed(n) for n in range(4)])
    for _ in range(20):
        for send in sends(sidecar.request()):
            sidecar.outcome(send, Status.TIMEOUT, latency_ns=700 * MS, finished=True)
        sidecar.now += SECOND
    refused = sum(bool(final_answers(sidecar.request())) for _ in range(200))
    assert 100 < refused < 200
    sidecar.now += 60 * SECOND
    for send in sends(sidecar.request()):
        sidecar.outcome(send)
    assert not final_answers(sidecar.request())


def test_one_bad_endpoint_among_others_is_no_overload() -> None:
    sidecar, refused = Sidecar([listed(n) for n in range(8)]), 0
    for _ in range(400):
        actions = sidecar.request()
        refused += len(final_answers(actions))
        for send in sends(actions):
            bad = send.endpoint == 0
            sidecar.now += 100 * MS
            sidecar.outcome(send, Status.TIMEOUT if bad else Status.OK,
                            latency_ns=700 * MS if bad else 60 * MS, finished=True)  # fmt: skip
    assert refused < 8


def test_idle_answers_near_the_target_are_no_overload() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=600 * MS)
    assert sum(len(final_answers(sidecar.request())) for _ in range(3)) == 0


def columns(util: float) -> tuple[float, ...]:
    return util, 0.0


REPORTS: dict[str, Any] = {"report__columns": ["util", "queue"], "allowed__attempts_cap": 3}


def test_timeouts_at_overloaded_endpoints_count_as_load_without_reports() -> None:
    """Reports arrive with answers, so by reports alone a collapsing fleet looks half idle."""
    sidecar = Sidecar([listed(1)], **REPORTS)
    for util in (*[0.2] * 10, 1.0):
        [send] = sends(sidecar.request(2))
        sidecar.outcome(send, load=columns(util))
    assert sidecar.balancer.shedding.utilization < 0.5
    for _ in range(20):
        sidecar.now += MS
        [send] = sends(sidecar.request(2))
        sidecar.outcome(send, Status.TIMEOUT, latency_ns=700 * MS, load=())
    assert sidecar.balancer.shedding.utilization > 0.75  # threshold above which requests may be refused
    silent = Sidecar([listed(1)], **REPORTS)  # its load is unknown: it may be down
    silent.outcome(sends(silent.request(2))[0], Status.TIMEOUT, latency_ns=700 * MS, load=())
    assert silent.balancer.shedding.utilization == 0.0


@pytest.mark.parametrize(("util", "early"), [(0.4, True), (0.95, False)])
def test_an_attempt_is_given_up_early_only_where_cores_are_free(util: float, early: bool) -> None:
    """Retries of requests that are only queued lengthen the queue, and each costs a connection."""
    sidecar = Sidecar([listed(1)], **REPORTS)
    for _ in range(60):
        [send] = sends(sidecar.request())
        sidecar.now += 50 * MS
        sidecar.outcome(send, load=columns(util))
    [send] = sends(sidecar.request())
    assert (0 < send.timeout_ns <= 300 * MS) is early

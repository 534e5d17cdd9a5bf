"""Endpoint states: drains, ejection, discovery, probes and extreme values."""

from __future__ import annotations

from itertools import pairwise

import pytest

from shuntlead import interface as api
from shuntlead.balancer import Balancer
from shuntlead.interface import EndpointState, ListForm, Status
from shuntlead.members import EJECTION_REPEAT_NS, EJECTION_RESEND_NS
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    settings,
    timers,
)


def test_nothing_goes_to_a_draining_or_gone_endpoint() -> None:
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    sidecar.apply_list([listed(1, state=EndpointState.DRAINING), listed(2, state=EndpointState.GONE)])
    assert set(sidecar.serve(50)) == {3}
    sidecar.apply_list([listed(4)], ListForm.FULL)
    assert set(sidecar.serve(50)) == {4}


def test_discovery_by_asking_subscribes_and_asks_again_after_a_failure() -> None:
    balancer = Balancer(settings(discovery="ask"), 1)
    assert api.Watch(True) in balancer.handle(SECOND, api.EndpointList(1, ListForm.CACHED, (listed(1),)))
    [timer] = timers(balancer.handle(2 * SECOND, api.EndpointList(1, ListForm.FAILED)))
    assert timer.delay_ns + 2 * SECOND < 6 * SECOND  # the call may be queued for 2 s at discovery
    again = balancer.handle(2 * SECOND + timer.delay_ns, api.Timer(timer.token))
    assert again == [api.Watch(True)]
    assert set(balancer.endpoints) == {1}


def test_pulled_reports_are_asked_for_only_where_probes_are_allowed() -> None:
    for allowed in (True, False):
        balancer = Balancer(settings(allowed__probes=allowed, report__how="pull"), 1)
        started = timers(balancer.handle(SECOND, api.EndpointList(1, ListForm.CACHED, (listed(1),))))
        assert len(started) == allowed
        for timer in started:
            actions = balancer.handle(SECOND + timer.delay_ns, api.Timer(timer.token))
            assert api.Probe(1) in actions
            balancer.handle(2 * SECOND, api.ProbeResult(1, Status.OK, MS, (6.0,)))
            assert balancer.endpoints[1].queue == 6.0


def test_no_resend_and_no_cancel_once_a_stream_has_begun() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    actions = sidecar.request()
    [send] = sends(actions)
    sidecar.balancer.handle(sidecar.now, api.FirstByte(send.request, send.endpoint, MS, 0))
    for timer in timers(actions):
        sidecar.now += timer.delay_ns
        assert sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)) == []


@pytest.mark.parametrize("hint", [0, 1, 2**64 - 1])
def test_hostile_but_legal_values_do_not_raise(hint: int) -> None:
    sidecar = Sidecar([listed(1, weight=0.0), listed(2, weight=float("inf")), listed(3, weight=-1.0)])
    for left in (0, 1, 2**63):
        for send in sends(sidecar.request(left_ns=left, hint_ns=hint, key=2**64 - 1)):
            sidecar.outcome(send, load=(float("nan"),), latency_ns=0)
    sidecar.now += 10**17
    sidecar.request(hint_ns=hint)


def test_extreme_weights_of_cold_endpoints_do_not_break_decisions() -> None:
    """An unbounded send rate would be infinite, and each choice would fail."""
    sidecar = Sidecar([listed(n, weight=5e-324) for n in range(4)])
    sidecar.serve(100, latency_ns=5 * MS)
    sidecar.apply_list([listed(4, weight=1e8, started_ns=sidecar.now)])
    assert len(sidecar.serve(100, latency_ns=5 * MS)) > 50


def test_at_most_three_in_ten_are_ejected_by_peer_quorum_and_return_cold() -> None:
    sidecar = Sidecar([listed(n) for n in range(10)], fleet_size=5, ejection=True)
    ejections = tuple(api.Ejection(n, 10 * SECOND, Status.RESET) for n in range(10))
    sidecar.balancer.handle(sidecar.now, api.PeerEjections(1, ejections))
    sidecar.balancer.handle(sidecar.now, api.PeerEjections(1, ejections))  # repeats from one peer count once
    assert len(sidecar.balancer.members.ready) == 10
    sidecar.balancer.handle(sidecar.now, api.PeerEjections(2, ejections))
    out = {e.id for e in sidecar.balancer.endpoints.values()} - {e.id for e in sidecar.balancer.members.ready}
    assert len(out) == 3
    sidecar.now += 11 * SECOND
    sidecar.request()
    assert len(sidecar.balancer.members.ready) == 10
    assert {e.id for e in sidecar.balancer.members.ready if sidecar.now < e.warm_at} == out


def test_restored_ejection_is_sent_to_all_peers_like_a_new_one() -> None:
    """The answer to a starting peer's query may be lost, and the query is not repeated."""
    sidecar = Sidecar([listed(n) for n in range(5)], fleet_size=5, ejection=True, allowed__peers=True)
    actions = sidecar.balancer.handle(
        sidecar.now, api.Restore((), (api.Ejection(1, 10 * SECOND, Status.RESET),), ())
    )
    told_at, end = [], sidecar.now + 12 * SECOND
    while sidecar.now < end:
        told = [a for a in actions if isinstance(a, api.SendEjections)]
        assert all(a.peer == -1 and a.ejections[0].endpoint == 1 for a in told)
        told_at += [sidecar.now] * len(told)
        if not (pending := timers(actions)):
            break
        sidecar.now += pending[0].delay_ns
        actions = sidecar.balancer.handle(sidecar.now, api.Timer(pending[0].token))
    assert [at - told_at[0] for at in told_at[:5]] == [n * EJECTION_REPEAT_NS for n in range(5)]
    assert max(b - a for a, b in pairwise(told_at)) == EJECTION_RESEND_NS
    assert told_at[-1] + EJECTION_RESEND_NS >= told_at[0] + 10 * SECOND  # for as long as the ejection lasts
    assert told_at[-1] < told_at[0] + 10 * SECOND

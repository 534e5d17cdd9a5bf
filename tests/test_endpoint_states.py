"""The list and its standing: drains, ejection, other settings."""

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
    car = Sidecar([listed(1), listed(2), listed(3)])
    car.roster([listed(1, state=EndpointState.DRAINING), listed(2, state=EndpointState.GONE)])
    assert set(car.serve(50)) == {3}
    car.roster([listed(4)], ListForm.FULL)
    assert set(car.serve(50)) == {4}


def test_discovery_by_asking_subscribes_and_asks_again_after_a_failure() -> None:
    balancer = Balancer(settings(discovery="ask"), 1)
    assert api.Watch(True) in balancer.handle(SECOND, api.EndpointList(1, ListForm.CACHED, (listed(1),)))
    [timer] = timers(balancer.handle(2 * SECOND, api.EndpointList(1, ListForm.FAILED)))
    assert timer.delay_ns + 2 * SECOND < 6 * SECOND  # the call may wait 2 s in discovery's queue
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
    car = Sidecar([listed(1), listed(2)])
    actions = car.request()
    [send] = sends(actions)
    car.balancer.handle(car.now, api.FirstByte(send.request, send.endpoint, MS, 0))
    for timer in timers(actions):
        car.now += timer.delay_ns
        assert car.balancer.handle(car.now, api.Timer(timer.token)) == []


@pytest.mark.parametrize("hint", [0, 1, 2**64 - 1])
def test_hostile_but_legal_values_do_not_raise(hint: int) -> None:
    car = Sidecar([listed(1, weight=0.0), listed(2, weight=float("inf")), listed(3, weight=-1.0)])
    for left in (0, 1, 2**63):
        for send in sends(car.request(left_ns=left, hint_ns=hint, key=2**64 - 1)):
            car.outcome(send, load=(float("nan"),), latency_ns=0)
    car.now += 10**17
    car.request(hint_ns=hint)


def test_cold_endpoints_of_weights_beyond_all_reason_cost_no_decision() -> None:
    """A rate of turns without bound is no number, and each draw would fail."""
    car = Sidecar([listed(n, weight=5e-324) for n in range(4)])
    car.serve(100, latency_ns=5 * MS)
    car.roster([listed(4, weight=1e8, started_ns=car.now)])
    assert len(car.serve(100, latency_ns=5 * MS)) > 50


def test_at_most_three_in_ten_are_ejected_whatever_a_quorum_of_peers_says_and_they_come_back_cold() -> None:
    car = Sidecar([listed(n) for n in range(10)], fleet_size=5, ejection=True)
    ejections = tuple(api.Ejection(n, 10 * SECOND, Status.RESET) for n in range(10))
    car.balancer.handle(car.now, api.PeerEjections(1, ejections))
    car.balancer.handle(car.now, api.PeerEjections(1, ejections))  # one peer's word, however often
    assert len(car.balancer.members.ready) == 10
    car.balancer.handle(car.now, api.PeerEjections(2, ejections))
    out = {e.id for e in car.balancer.endpoints.values()} - {e.id for e in car.balancer.members.ready}
    assert len(out) == 3
    car.now += 11 * SECOND
    car.request()
    assert len(car.balancer.members.ready) == 10
    assert {e.id for e in car.balancer.members.ready if car.now < e.warm_at} == out


def test_a_verdict_recalled_after_a_restart_is_told_to_all_peers_like_one_just_found() -> None:
    """The answer to a peer that asks at its start may be lost, and nobody asks again."""
    car = Sidecar([listed(n) for n in range(5)], fleet_size=5, ejection=True, allowed__peers=True)
    actions = car.balancer.handle(car.now, api.Restore((), (api.Ejection(1, 10 * SECOND, Status.RESET),), ()))
    told_at, end = [], car.now + 12 * SECOND
    while car.now < end:
        told = [a for a in actions if isinstance(a, api.SendEjections)]
        assert all(a.peer == -1 and a.ejections[0].endpoint == 1 for a in told)
        told_at += [car.now] * len(told)
        if not (pending := timers(actions)):
            break
        car.now += pending[0].delay_ns
        actions = car.balancer.handle(car.now, api.Timer(pending[0].token))
    assert [at - told_at[0] for at in told_at[:5]] == [n * EJECTION_REPEAT_NS for n in range(5)]
    assert max(b - a for a, b in pairwise(told_at)) == EJECTION_RESEND_NS
    assert told_at[-1] + EJECTION_RESEND_NS >= told_at[0] + 10 * SECOND  # as long as it stands, and no longer
    assert told_at[-1] < told_at[0] + 10 * SECOND

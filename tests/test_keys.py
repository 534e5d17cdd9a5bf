"""In-order requests with the same key run one at a time."""

from __future__ import annotations

from typing import Any

from shuntlead import interface as api
from shuntlead.interface import Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    final_answers,
    listed,
    sends,
    timers,
    without_logs,
)

IN_ORDER = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "in-order": True}]


def ordered_sidecar() -> Sidecar:
    changes: dict[str, Any] = {"request_classes": IN_ORDER, "guarantees__order_settle_ns": 100 * MS}
    return Sidecar([listed(n) for n in range(1, 5)], **changes)


def fire_timer(sidecar: Sidecar, actions: list[api.Action]) -> list[api.Action]:
    """Fires the first timer set by the actions."""
    timer = timers(actions)[0]
    sidecar.now += timer.delay_ns
    return without_logs(sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)))


def test_requests_of_one_key_run_one_at_a_time_in_order() -> None:
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    second, third = sidecar.request(key=9), sidecar.request(key=9)
    assert not sends(second) and not sends(third)
    assert sends(sidecar.request(key=8))
    assert sends(sidecar.request())
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(first))
    assert send.request == 2
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(send))
    assert send.request == 3
    assert sends(fire_timer(sidecar, second)) == []  # the request was sent before its timer fired


def test_key_waits_for_settle_time_after_an_attempt_that_may_still_run() -> None:
    for status in (Status.TIMEOUT, Status.RESET):
        sidecar = ordered_sidecar()
        [first] = sends(sidecar.request(key=9))
        sidecar.request(key=9)
        sidecar.now += 50 * MS
        actions = sidecar.outcome(first, status)
        assert final_answers(actions) and not sends(actions)
        [again] = [t for t in timers(actions) if t.delay_ns == 100 * MS]
        sidecar.now += again.delay_ns
        [send] = sends(sidecar.balancer.handle(sidecar.now, api.Timer(again.token)))
        assert send.request == 2


def test_key_waits_for_a_cancelled_attempts_outcome_and_settle_time() -> None:
    """The client has disconnected, but the attempt may still be running."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(first.request)) == [
        api.Cancel(first.request, 0)
    ]
    assert not sends(sidecar.request(key=9))
    sidecar.now += 20 * MS
    actions = sidecar.outcome(first, Status.CANCELLED, finished=True)
    assert not sends(actions)
    [send] = sends(fire_timer(sidecar, actions))
    assert send.request == 2


def test_requests_queued_behind_a_stuck_one_are_refused_in_time() -> None:
    """Otherwise the queue of a popular key would grow until every request in it is late."""
    sidecar = ordered_sidecar()
    sidecar.serve(60, latency_ns=200 * MS)
    sidecar.request(key=9)
    waiting = [sidecar.request(key=9) for _ in range(6)]
    assert [bool(final_answers(actions)) for actions in waiting] == [False, False, False, True, True, True]
    start, request = sidecar.now, 62
    actions = fire_timer(sidecar, waiting[2])
    assert request + 2 in [a.request for a in actions if isinstance(a, api.Refuse)]
    assert sidecar.now < start + 700 * MS


def test_cancelling_a_queued_request_does_not_resend_the_first() -> None:
    """An unsafe request resumed both by its timer and by its turn was sent twice."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    sidecar.request(key=9)
    actions = without_logs(sidecar.balancer.handle(sidecar.now, api.ClientGone(2)))
    assert not sends(actions)
    sidecar.now += 50 * MS
    assert not sends(sidecar.outcome(first))
    assert not sidecar.balancer.keys.queues

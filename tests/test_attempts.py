"""Attempts: what is retried, where, and when a request is answered."""

from __future__ import annotations

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
)


def test_an_attempt_that_never_ran_is_sent_elsewhere() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [first] = sends(sidecar.request(cls=2))
    sidecar.now += 5 * MS
    [second] = sends(sidecar.outcome(first, Status.FULL))
    assert second.endpoint != first.endpoint


def test_an_unsafe_request_that_may_have_run_is_failed_not_refused() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request(cls=2))
    assert sidecar.outcome(send, Status.ERROR) == [api.Fail(send.request)]


def test_a_keyed_request_stays_in_its_zone_and_window() -> None:
    rows = [listed(1), listed(2), listed(3, zone=1), listed(4, zone=1)]
    zone = {row.endpoint: row.zone for row in rows}
    for seed in range(40):
        sidecar = Sidecar(rows, seed=seed)
        [first] = sends(sidecar.request(cls=1))
        [second] = sends(sidecar.outcome(first, Status.RESET))
        assert zone[second.endpoint] == zone[first.endpoint]
    sidecar = Sidecar(rows)
    [first] = sends(sidecar.request(cls=1))
    sidecar.now += SECOND - 30 * MS  # the retry could arrive after the window has closed
    assert sends(sidecar.outcome(first, Status.RESET)) == []


def test_every_attempts_cap_is_kept_and_ends_in_an_answer() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 9)])
    actions = sidecar.request()
    for attempt in range(3):
        [send] = sends(actions)
        sidecar.now += 5 * MS
        actions = sidecar.outcome(send, Status.CONNECT_FAILED, attempt=attempt)
    assert sends(actions) == []
    assert len(final_answers(actions)) == 1


def test_an_empty_fleet_holds_and_then_refuses_in_time() -> None:
    sidecar = Sidecar([])
    start = sidecar.now
    pending = timers(sidecar.request(left_ns=300 * MS))
    answers: list[api.Action] = []
    while pending and sidecar.now < start + SECOND:
        timer = pending.pop()
        sidecar.now += timer.delay_ns
        actions = sidecar.balancer.handle(sidecar.now, api.Timer(timer.token))
        pending += timers(actions)
        answers += final_answers(actions)
    assert [type(answer) for answer in answers] == [api.Refuse]
    assert 50 * MS < sidecar.now - start < 150 * MS  # leaves the client time for a retry


def test_refusal_carries_retry_after_where_settings_allow_it() -> None:
    waits = []
    for seed in range(20):
        sidecar = Sidecar([listed(1)], seed, allowed__attempts_cap=1)
        [send] = sends(sidecar.request())
        [refusal] = final_answers(sidecar.outcome(send, Status.FULL))
        assert isinstance(refusal, api.Refuse)
        waits.append(refusal.retry_after_ns)
    spare = 700 * MS - sidecar.balancer.estimates.class_ns[0]
    assert all(0 < wait < spare for wait in waits)  # a retry after the wait can meet the target
    assert len(set(waits)) == 20  # jitter keeps the retries apart
    for changes in ({"allowed__retry_after": False}, {"allowed__max_retry_after_ns": 0}):
        sidecar = Sidecar([listed(1)], allowed__attempts_cap=1, **changes)
        [send] = sends(sidecar.request())
        assert final_answers(sidecar.outcome(send, Status.FULL)) == [api.Refuse(send.request)]
    sidecar = Sidecar([listed(1)], allowed__attempts_cap=1, allowed__max_retry_after_ns=2 * MS)
    [send] = sends(sidecar.request())
    assert final_answers(sidecar.outcome(send, Status.FULL)) == [api.Refuse(send.request, 2 * MS)]


def test_keyed_request_past_its_dedup_window_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1), listed(2)], allowed__connect_timeout_ns=400 * MS)
    [first] = sends(sidecar.request(cls=1))
    sidecar.now += 600 * MS  # before the deadline, but a retry with a slow connect would miss the window
    assert sidecar.outcome(first, Status.RESET) == [api.Fail(first.request)]


def test_held_request_is_sent_when_an_endpoint_appears() -> None:
    sidecar = Sidecar([])
    [timer] = timers(sidecar.request())
    sidecar.apply_list([listed(1)])
    sidecar.now += timer.delay_ns
    assert sends(sidecar.balancer.handle(sidecar.now, api.Timer(timer.token)))[0].endpoint == 1


def test_a_timeout_at_the_deadline_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1)])
    [send] = sends(sidecar.request(cls=2))
    sidecar.now += 2 * SECOND
    assert sidecar.outcome(send, Status.TIMEOUT, latency_ns=2 * SECOND) == [api.Fail(send.request)]


def test_stale_and_unknown_events_do_nothing() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request())
    sidecar.outcome(send)
    assert sidecar.outcome(send) == []
    assert sidecar.outcome(api.Send(77, 1)) == []
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(send.request)) == []
    assert sidecar.balancer.handle(sidecar.now, api.Timer(4_000_000)) == []
    assert sidecar.balancer.handle(sidecar.now, api.ProbeResult(99, Status.OK, 5, (1.0,))) == []
    assert (
        sidecar.balancer.handle(sidecar.now, api.PeerMessage(3, 0.2, (api.Observation(99, 1.0, 0.0, 0),)))
        == []
    )


def test_a_request_has_one_attempt_at_a_time_and_it_is_cancelled_when_the_client_goes() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    actions = sidecar.request()
    [send] = sends(actions)
    assert timers(actions) == []  # no hedging: it had no measurable benefit in any deployment or incident
    sidecar.now += 600 * MS
    assert sidecar.balancer.handle(sidecar.now, api.ClientGone(send.request)) == [api.Cancel(send.request, 0)]


def test_unusually_slow_attempt_times_out_while_there_is_time_for_a_retry() -> None:
    """With a silent endpoint or lost answers, waiting longer would leave no time for a retry."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=50 * MS)
    [send] = sends(sidecar.request())
    assert 100 * MS < send.timeout_ns <= 300 * MS
    sidecar.now += send.timeout_ns
    [again] = sends(sidecar.outcome(send, Status.TIMEOUT, latency_ns=send.timeout_ns))
    assert again.endpoint != send.endpoint
    [unsafe] = sends(sidecar.request(cls=2))
    assert unsafe.timeout_ns == 700 * MS


def test_no_early_timeout_where_little_time_would_be_left() -> None:
    """Under load a retry is no more likely to succeed than waiting, and adds load."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=150 * MS)
    [send] = sends(sidecar.request())
    assert send.timeout_ns == 700 * MS

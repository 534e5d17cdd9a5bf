"""Bodies too long to hold, in the decisions."""

from __future__ import annotations

import pytest

from shuntlead import interface as api
from shuntlead.interface import Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    finals,
    listed,
    quiet,
    sends,
)


def test_a_long_answer_is_learned_by_its_first_bytes_and_its_length_is_no_wait() -> None:
    car = Sidecar([listed(1), listed(2)])
    car.serve(40)
    [send] = sends(car.request())
    e = car.balancer.endpoints[send.endpoint]
    car.now += 40 * MS
    assert not quiet(car.balancer.handle(car.now, api.FirstByte(send.request, send.endpoint, 40 * MS, 0)))
    usual, slow = list(car.balancer.estimates.class_ns), car.balancer.estimates.slowdown(e)
    assert car.balancer.open_count == 0  # it holds no place among those that wait
    car.now = car.balancer.ctx.now = car.now + 5 * SECOND
    assert car.balancer.estimates.slowdown(e) < 1.5
    assert not car.outcome(send, latency_ns=40 * MS)
    assert (
        car.balancer.estimates.class_ns == usual and car.balancer.open_count == 0 and not car.balancer.pending
    )
    assert abs(car.balancer.estimates.slowdown(e) - slow) < 0.5


def test_long_bodies_on_their_way_are_no_load_at_their_endpoint() -> None:
    """Where slow clients read long answers, the draw would follow them and not the work."""
    car = Sidecar([listed(1), listed(2)])
    car.serve(40)
    e = car.balancer.endpoints[1]
    for kind in ("answer", "body"):
        out: list[api.Send] = []
        while len(out) < 6:
            [send] = sends(car.request(2, has_long_body=kind == "body"))
            if kind == "answer":
                event: api.Event = api.FirstByte(send.request, send.endpoint, 50 * MS, 0)
            else:
                event = api.BodyProgress(send.request, 0, False)
            if send.endpoint == 1:
                out.append(send)
                car.balancer.handle(car.now, event)
            else:
                car.outcome(send)
        assert car.balancer.estimates.load(e) == 0 and car.balancer.open_count == 0
        for n, send in enumerate(out):
            if n % 2:
                car.balancer.handle(car.now, api.ClientGone(send.request))
            car.outcome(send, Status.CANCELLED if n % 2 else Status.OK)
        assert (e.transferring, len(e.in_flight), car.balancer.open_count, len(car.balancer.pending)) == (
            0,
            0,
            0,
            0,
        )


def test_a_long_answer_that_breaks_off_is_not_asked_for_again() -> None:
    car = Sidecar([listed(1), listed(2)])
    [send] = sends(car.request())
    car.balancer.handle(car.now, api.FirstByte(send.request, send.endpoint, 40 * MS, 0))
    assert not sends(car.outcome(send, Status.RESET, finished=False))
    assert not car.balancer.pending and car.balancer.open_count == 0


def test_the_time_to_send_a_long_body_is_no_wait_for_its_endpoint_and_counts_for_no_deadline() -> None:
    car = Sidecar([listed(1), listed(2)])
    car.serve(40)
    [send] = sends(car.request(2, has_long_body=True))
    e = car.balancer.endpoints[send.endpoint]
    car.balancer.handle(car.now, api.BodyProgress(send.request, 0, False))
    assert car.balancer.open_count == 0
    car.now = car.balancer.ctx.now = car.now + 6 * SECOND
    assert car.balancer.estimates.slowdown(e) < 1.5
    car.balancer.handle(car.now, api.BodyProgress(send.request, 0, True))
    assert car.balancer.open_count == 1
    car.now = car.balancer.ctx.now = car.now + 3 * SECOND
    assert car.balancer.estimates.slowdown(e) > 5.0  # this is
    [final] = car.outcome(send, Status.TIMEOUT, latency_ns=3 * SECOND)
    assert isinstance(final, api.Fail) and car.balancer.open_count == 0


@pytest.mark.parametrize("cls", [0, 1, 2])
def test_of_a_long_body_nothing_is_sent_again_once_any_of_it_has_gone(cls: int) -> None:
    for gone in (False, True):
        car = Sidecar([listed(1), listed(2)])
        car.serve(40, cls=cls)
        [send] = sends(car.request(cls, has_long_body=True))
        if gone:
            car.balancer.handle(car.now, api.BodyProgress(send.request, 0, False))
        actions = car.outcome(send, Status.CONNECT_FAILED)
        assert (len(sends(actions)), len(finals(actions))) == ((0, 1) if gone else (1, 0))
        assert send.timeout_ns == 0 or send.timeout_ns > 500 * MS  # no early end, as there is no repeat


def test_events_of_requests_that_are_over_change_nothing() -> None:
    car = Sidecar([listed(1)])
    [send] = sends(car.request())
    car.outcome(send)
    for event in (api.FirstByte(send.request, 1, 1, 0), api.BodyProgress(send.request, 0, False)):
        assert not car.balancer.handle(car.now, event)
    [send] = sends(car.request())
    for event in (api.FirstByte(send.request, 1, 1, 7), api.BodyProgress(send.request, 7, False)):
        assert not car.balancer.handle(car.now, event)
    assert car.balancer.open_count == 1

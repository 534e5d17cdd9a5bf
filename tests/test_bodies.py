"""Decisions about requests and answers whose bodies are too long to buffer."""

from __future__ import annotations

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
    without_logs,
)


def test_long_answer_is_timed_to_its_first_byte() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    [send] = sends(sidecar.request())
    e = sidecar.balancer.endpoints[send.endpoint]
    sidecar.now += 40 * MS
    assert not without_logs(
        sidecar.balancer.handle(sidecar.now, api.FirstByte(send.request, send.endpoint, 40 * MS, 0))
    )
    usual, slow = list(sidecar.balancer.estimates.class_ns), sidecar.balancer.estimates.slowdown(e)
    assert sidecar.balancer.open_count == 0  # no longer counted as waiting for an answer
    sidecar.now = sidecar.balancer.ctx.now = sidecar.now + 5 * SECOND
    assert sidecar.balancer.estimates.slowdown(e) < 1.5
    assert not sidecar.outcome(send, latency_ns=40 * MS)
    assert (
        sidecar.balancer.estimates.class_ns == usual
        and sidecar.balancer.open_count == 0
        and not sidecar.balancer.pending
    )
    assert abs(sidecar.balancer.estimates.slowdown(e) - slow) < 0.5


def test_long_bodies_in_transfer_do_not_count_as_load() -> None:
    """Otherwise slow clients that read long answers, not the work, would determine the endpoint choice."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    e = sidecar.balancer.endpoints[1]
    for kind in ("answer", "body"):
        out: list[api.Send] = []
        while len(out) < 6:
            [send] = sends(sidecar.request(2, has_long_body=kind == "body"))
            if kind == "answer":
                event: api.Event = api.FirstByte(send.request, send.endpoint, 50 * MS, 0)
            else:
                event = api.BodyProgress(send.request, 0, False)
            if send.endpoint == 1:
                out.append(send)
                sidecar.balancer.handle(sidecar.now, event)
            else:
                sidecar.outcome(send)
        assert sidecar.balancer.estimates.load(e) == 0 and sidecar.balancer.open_count == 0
        for n, send in enumerate(out):
            if n % 2:
                sidecar.balancer.handle(sidecar.now, api.ClientGone(send.request))
            sidecar.outcome(send, Status.CANCELLED if n % 2 else Status.OK)
        assert (
            e.transferring,
            len(e.in_flight),
            sidecar.balancer.open_count,
            len(sidecar.balancer.pending),
        ) == (
            0,
            0,
            0,
            0,
        )


def test_interrupted_long_answer_is_not_retried() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request())
    sidecar.balancer.handle(sidecar.now, api.FirstByte(send.request, send.endpoint, 40 * MS, 0))
    assert not sends(sidecar.outcome(send, Status.RESET, finished=False))
    assert not sidecar.balancer.pending and sidecar.balancer.open_count == 0


def test_upload_time_of_a_long_body_counts_neither_as_latency_nor_toward_the_deadline() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    [send] = sends(sidecar.request(2, has_long_body=True))
    e = sidecar.balancer.endpoints[send.endpoint]
    sidecar.balancer.handle(sidecar.now, api.BodyProgress(send.request, 0, False))
    assert sidecar.balancer.open_count == 0
    sidecar.now = sidecar.balancer.ctx.now = sidecar.now + 6 * SECOND
    assert sidecar.balancer.estimates.slowdown(e) < 1.5
    sidecar.balancer.handle(sidecar.now, api.BodyProgress(send.request, 0, True))
    assert sidecar.balancer.open_count == 1
    sidecar.now = sidecar.balancer.ctx.now = sidecar.now + 3 * SECOND
    assert sidecar.balancer.estimates.slowdown(e) > 5.0  # waiting counts once the body is sent
    [final] = sidecar.outcome(send, Status.TIMEOUT, latency_ns=3 * SECOND)
    assert isinstance(final, api.Fail) and sidecar.balancer.open_count == 0


@pytest.mark.parametrize("cls", [0, 1, 2])
def test_long_body_is_not_retried_once_part_of_it_was_sent(cls: int) -> None:
    for gone in (False, True):
        sidecar = Sidecar([listed(1), listed(2)])
        sidecar.serve(40, cls=cls)
        [send] = sends(sidecar.request(cls, has_long_body=True))
        if gone:
            sidecar.balancer.handle(sidecar.now, api.BodyProgress(send.request, 0, False))
        actions = sidecar.outcome(send, Status.CONNECT_FAILED)
        assert (len(sends(actions)), len(final_answers(actions))) == ((0, 1) if gone else (1, 0))
        assert send.timeout_ns == 0 or send.timeout_ns > 500 * MS  # no early timeout, as there is no retry


def test_events_of_finished_requests_change_nothing() -> None:
    sidecar = Sidecar([listed(1)])
    [send] = sends(sidecar.request())
    sidecar.outcome(send)
    for event in (api.FirstByte(send.request, 1, 1, 0), api.BodyProgress(send.request, 0, False)):
        assert not sidecar.balancer.handle(sidecar.now, event)
    [send] = sends(sidecar.request())
    for event in (api.FirstByte(send.request, 1, 1, 7), api.BodyProgress(send.request, 7, False)):
        assert not sidecar.balancer.handle(sidecar.now, event)
    assert sidecar.balancer.open_count == 1

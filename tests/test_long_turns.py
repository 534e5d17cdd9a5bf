"""Input that stays unread while the process is stopped or while one event loop iteration takes long."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from anisespool.exchange import Call
from anisespool.front.request_decoding import InvalidRequest, ReceivedRequest, deduct_wait
from anisespool.http1 import Request
from tests.drain_scenario import drain_scenario
from tests.net import member_list, read_response, until
from tests.observer import GRACE_S
from tests.support import MS, SECOND

REQUESTS = 20


@pytest.mark.parametrize(
    ("unread_ms", "behind_ms", "stalled", "left_ms"),
    [
        (0, 0, True, 600),
        (0, 400, True, 200),  # queued behind pipelined requests of its client
        (380, 0, True, 220),
        (400, 0, True, None),
        (400, 0, False, 200),  # unread because of the pipelining limit
    ],
)
def test_a_call_is_worth_a_try_unless_a_stop_took_most_of_its_time(
    unread_ms: int, behind_ms: int, stalled: bool, left_ms: int | None
) -> None:
    call = Call(Request(b"GET", b"/look", {}, b"", True), 0, 0, 600 * MS, None, 0, False)
    read_ns = SECOND + unread_ms * MS
    arrival = ReceivedRequest(call.request, SECOND, read_ns, stalled, SECOND + call.left_ns, 0)
    now_ns = read_ns + behind_ms * MS
    if left_ms is None:
        with pytest.raises(InvalidRequest) as refused:
            deduct_wait(call, arrival, now_ns)
        assert refused.value.status == 503
    else:
        assert deduct_wait(call, arrival, now_ns).left_ns == left_ms * MS


@pytest.mark.parametrize(("left_ms", "status"), [(600, 503), (2000, 200)])
async def test_what_lay_unread_for_most_of_its_time_in_a_stop_is_refused_at_once(
    tmp_path: Path, left_ms: int, status: int
) -> None:
    """A process that is far behind rejects expired requests at once instead of trying each."""
    async with drain_scenario(tmp_path) as it:
        await until(lambda: bool(it.sidecar.discovery.connections))
        assert await it.call("warm") == 200
        reader, writer = await asyncio.open_connection(*it.sidecar.address)
        writer.write(it.observer.call("first"))
        assert (await read_response(reader)).status == 200
        writer.write(it.observer.call("late", left_ms=left_ms))
        time.sleep(0.4)  # blocks the event loop
        began_s = time.monotonic()
        assert (await read_response(reader)).status == status
        assert time.monotonic() - began_s < 0.2
        reached = "late" in it.observer.traces("s-0") + it.observer.traces("s-1")
        assert reached == (status == 200)
        writer.close()


async def test_requests_read_after_a_stop_go_by_the_change_that_was_written_meanwhile(tmp_path: Path) -> None:
    """The requests have waited longer than the grace period, and are read before the change."""
    async with drain_scenario(tmp_path) as it:
        await until(lambda: bool(it.sidecar.discovery.connections))
        assert await it.call("warm") == 200
        sockets = [socket.create_connection(it.sidecar.address) for _ in range(REQUESTS)]
        await it.wait_until_reusable()  # accepted by now
        for n, each in enumerate(sockets):
            each.sendall(it.observer.call(f"r{n}"))
        it.revision += 1
        it.observer.send_update(
            it.sidecar.discovery, member_list(it.revision, [it.row(0, "draining")], complete=False)
        )
        time.sleep(1.5 * GRACE_S)  # blocks the event loop
        await it.wait_until_applied()
        assert await it.call("after") == 200
        for each in sockets:
            each.close()
        assert len(it.observer.traces("s-0")) + len(it.observer.traces("s-1")) >= 2

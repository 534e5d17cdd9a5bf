"""Requests that wait unread in the kernel because their client exceeded the pipelining limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import pytest

from anisespool.exchange import Answer, Call
from anisespool.front.request_queue import MAX_PIPELINED_REQUESTS
from anisespool.sidecar import Sidecar
from tests.net import Endpoint, harness, held_until, raw_call, until


async def test_the_time_that_a_request_waited_unread_is_not_told_to_its_server(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    left_ms: dict[bytes, float] = {}
    take = Sidecar.submit

    def seen(self: Sidecar, call: Call, reply: Callable[[Answer], None], is_gone: Callable[[], bool]) -> int:
        left_ms[call.request.headers[b"x-trace-id"]] = call.left_ns / 1e6
        return take(self, call, reply, is_gone)

    monkeypatch.setattr(Sidecar, "submit", seen)
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        for n in range(MAX_PIPELINED_REQUESTS + 2):
            writer.write(raw_call("once", f"ahead{n}", left_ms=600, body=b"abc"))
        await until(lambda: len(endpoint.requests) == 1)  # the others are read and queued; reading is paused
        writer.write(raw_call("once", "unread", left_ms=600, body=b"abc"))
        sent = monotonic()
        await until(lambda: monotonic() > sent + 0.4)
        release.set()
        await until(lambda: b"unread" in left_ms)
        assert left_ms[b"ahead1"] < 400  # for comparison: this one was read and waited in the queue
        assert left_ms[b"unread"] < 400
        writer.close()

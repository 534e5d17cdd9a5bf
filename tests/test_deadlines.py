"""The remaining time that servers are told, and attempts whose time is over."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from anisespool.front.stall_detector import StallDetector
from anisespool.sidecar import Sidecar
from shuntlead import interface as api
from tests.drain_scenario import FULL, drain_scenario
from tests.net import held_until, until
from tests.support import SECOND

DELAY_S = 0.4  # well over the observer's tolerance
BODY, COUNT = 20_000, 20  # of pipelined requests: several times what is read at once and queued
LONG_DEADLINE = {"target-ns": 2 * SECOND, "deadline-ns": 2 * SECOND, "effect": "once", "worth": 1.0}


async def test_an_attempt_whose_time_is_over_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process stalls between decision and attempt until after the client's deadline."""
    send, stalls = Sidecar._send, list[float]()

    def stalled(self: Sidecar, action: api.Send) -> None:
        if stalls:
            time.sleep(stalls.pop())
        send(self, action)

    monkeypatch.setattr(Sidecar, "_send", stalled)
    async with drain_scenario(tmp_path) as it:
        await it.send_update(it.row(1, "draining"))
        assert await it.call("first", left_ms=200) == 200
        await it.wait_until_reusable()
        stalls.append(0.3)
        status = await it.call("late", left_ms=200)
        assert status == 503 and it.observer.traces("s-0") == ["first"]


async def test_attempt_whose_connection_opens_too_late_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    connect = loop.create_connection
    async with drain_scenario(tmp_path) as it:
        await it.send_update(it.row(1, "draining"))

        async def delayed_connect(factory: Any, host: str, port: int, **fields: Any) -> Any:
            made = await connect(factory, host, port, **fields)
            if port == it.servers[0].address.port:
                time.sleep(0.3)  # blocks the loop, so the attempt's timer has not fired yet
            return made

        monkeypatch.setattr(loop, "create_connection", delayed_connect)
        assert await it.call("late", left_ms=200) == 503
        assert not it.observer.receipts


@pytest.mark.parametrize("cls", ["look", "keyed", "once"])
async def test_retry_announces_the_remaining_time(tmp_path: Path, cls: str) -> None:
    async def reject_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(DELAY_S)
        writer.write(FULL)

    async with drain_scenario(tmp_path, reject_late, reject_late) as it:
        await it.call("again", cls=cls, left_ms=1900)
        told = [receipt.expires_in_ms for receipt in it.observer.receipts]
        assert len(told) > 1 and told[1] < 1900 - DELAY_S * 1000


@pytest.mark.parametrize("cls", ["look", "keyed", "once"])
async def test_held_request_announces_the_remaining_time(tmp_path: Path, cls: str) -> None:
    async with drain_scenario(tmp_path) as it:
        await it.send_update(it.row(0, "draining"), it.row(1, "draining"))
        held = it.start("held", cls=cls, left_ms=1900)
        await until(lambda: it.sidecar.service.open == 1)
        due = time.monotonic() + DELAY_S
        await until(lambda: time.monotonic() > due)
        await it.send_update(it.row(1))
        assert await held == 200
        assert it.observer.receipts[0].expires_in_ms < 1900 - DELAY_S * 1000


async def test_pipelined_requests_announce_the_remaining_time(tmp_path: Path) -> None:
    """Part of the pipelined requests is read ahead; the rest, more than one read, waits in the kernel."""
    release = asyncio.Event()
    async with drain_scenario(
        tmp_path, held_until(release), request_classes=[dict(LONG_DEADLINE) for _ in range(3)]
    ) as it:
        await it.send_update(it.row(1, "draining"))
        listener = it.sidecar.service._server._listener
        assert listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # inherited by the accepted
        reader, writer = await asyncio.open_connection(*it.sidecar.address)
        writer.write(b"".join(it.observer.call(f"t{n}", "once", body=bytes(BODY)) for n in range(COUNT)))
        await until(lambda: len(it.observer.receipts) == 1 and not writer.transport.get_write_buffer_size())
        due = time.monotonic() + DELAY_S
        await until(lambda: time.monotonic() > due)
        release.set()
        answers = b""
        while answers.count(b"HTTP/1.1") < COUNT:
            answers += await reader.read(65536)
        writer.close()
        assert answers.count(b"HTTP/1.1 200") == len(it.observer.receipts) == COUNT


@pytest.mark.parametrize("detected", [False, True])
@pytest.mark.parametrize("kept", [False, True])
async def test_request_received_during_a_stall_announces_the_remaining_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kept: bool, detected: bool
) -> None:
    """The request is unread on a keep-alive connection or on one that is not accepted yet. Its wait counts
    whether or not the stall was long enough to be detected."""
    if not detected:
        monkeypatch.setattr(StallDetector, "is_stalled", lambda self, now_ns: False)
    loop = asyncio.get_running_loop()
    async with drain_scenario(tmp_path, request_classes=[dict(LONG_DEADLINE) for _ in range(3)]) as it:
        await it.send_update(it.row(1, "draining"))
        with socket.create_connection(it.sidecar.address) as client:
            client.setblocking(False)
            if kept:
                await loop.sock_sendall(client, it.observer.call("first"))
                assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
            client.send(it.observer.call("late", "once"))
            time.sleep(DELAY_S)  # blocks the sidecar's event loop, so nothing is read
            assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
        assert it.observer.traces("s-0")[-1] == "late"

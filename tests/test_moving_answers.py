"""No time limit ends a connection while the bytes of an answer still move."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from time import monotonic
from types import ModuleType

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints
from anisespool.front import server, timeouts
from anisespool.front.listener import open_listener
from tests.net import Endpoint, Streams, exchange, harness, raw_call, read_head, until
from tests.planned_end import classes_with, sidecar
from tests.test_long import BodySink, chunked

DEADLINE_S = 0.3  # of all classes: the schedule of a shutdown is over 0.85 s after SIGTERM
PIECE, PIECES, PIECE_S = b"x" * 65536, 50, 0.05  # an answer that takes 2.5 s
BODY = b"y" * 60_000
SMALL_BUFFER_BYTES = 4096
STALL_TIMEOUT_S = 0.3
LONG_BYTES = 8 << 20  # more than the kernel's buffers hold
REQUESTS = 100  # sent at once; the answers do not fit into the kernel's buffers


async def give_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(PIECE) * PIECES))
    for _ in range(PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_S)


async def give_at_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES)
    writer.write(b"z" * LONG_BYTES)
    await writer.drain()


async def connect_with_small_buffer(address: Address) -> Streams:
    """A client whose kernel holds little, so that the answer waits at the sidecar."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, address)
    return await asyncio.open_connection(sock=client, limit=SMALL_BUFFER_BYTES)


async def read_slowly(reader: asyncio.StreamReader, slow_s: float, until_bytes: int = 1 << 62) -> bytes:
    """All that comes, or `until_bytes`: small pieces with pauses for `slow_s`, then the rest without."""
    received, until_s = b"", monotonic() + slow_s
    while len(received) < until_bytes and (data := await reader.read(SMALL_BUFFER_BYTES)):
        received += data
        if monotonic() < until_s:
            await asyncio.sleep(0.04)
    return received


async def test_a_long_answer_goes_on_in_a_planned_shutdown_for_as_long_as_it_moves(tmp_path: Path) -> None:
    """review/10: it was reset one second after the longest deadline, though no SIGKILL had come."""
    async with Endpoint(give_slowly).serve() as server:
        end = await sidecar(tmp_path, DEADLINE_S, server)
        reader, writer = await asyncio.open_connection(*end.address)
        writer.write(raw_call())
        await read_head(reader)
        end.process.send_signal(signal.SIGTERM)
        assert await reader.readexactly(len(PIECE) * PIECES)
        assert await end.wait_exit() == 0
        writer.close()


async def test_answers_that_a_client_still_reads_are_not_cut_off_by_a_planned_shutdown(
    tmp_path: Path,
) -> None:
    """Buffered answers were discarded at the end of the schedule, and the requests behind them unanswered."""
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
    async with Endpoint(answer).serve() as server:
        end = await sidecar(tmp_path, DEADLINE_S, server)
        reader, writer = await connect_with_small_buffer(end.address)
        writer.write(b"".join(raw_call("once", f"t{n}", left_ms=15_000) for n in range(REQUESTS)))
        await until(lambda: len(server.requests) > 1)
        await asyncio.sleep(1.0)  # until the sidecar waits for the client to read
        assert len(server.requests) < REQUESTS
        end.process.send_signal(signal.SIGTERM)
        received = await read_slowly(reader, 1.5)
        assert received.count(BODY) == len(server.requests)
        assert received.count(b"HTTP/1.1 200") + received.count(b"HTTP/1.1 503") == REQUESTS
        assert await end.wait_exit() == 0
        writer.close()


def accept_little(monkeypatch: pytest.MonkeyPatch, module: ModuleType, timeout: str) -> None:
    monkeypatch.setattr(module, timeout, STALL_TIMEOUT_S)
    for sweeping in (server, endpoints):
        monkeypatch.setattr(sweeping, "SWEEP_INTERVAL_S", 0.02)


async def test_a_client_that_reads_evenly_is_not_taken_for_one_that_has_stopped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """review/6: the kernel took nothing from the sidecar's buffer for longer than the timeout."""
    accept_little(monkeypatch, timeouts, "READ_STALL_TIMEOUT_S")
    async with Endpoint(give_at_once).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await connect_with_small_buffer(it.address)
        writer.write(raw_call())
        received = await read_slowly(reader, 2.0, until_bytes=LONG_BYTES)
        assert len(received.partition(b"\r\n\r\n")[2]) == LONG_BYTES
        writer.close()


async def test_a_server_that_reads_evenly_is_not_taken_for_one_that_has_stopped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same of a long request body, whose upload was given up."""
    accept_little(monkeypatch, endpoints, "STALL_S")

    class SlowSink(BodySink):
        receive_buffer_bytes = read_ahead_bytes = SMALL_BUFFER_BYTES

        async def _body(self, reader: asyncio.StreamReader, head: bytes) -> AsyncIterator[bytes]:
            until_s, left_bytes = monotonic() + 2.0, LONG_BYTES
            while left_bytes:
                data = await reader.read(min(left_bytes, SMALL_BUFFER_BYTES))
                left_bytes -= len(data)
                yield data
                await asyncio.sleep(0.04 if monotonic() < until_s else 0)

    async with SlowSink().serve() as endpoint, harness(tmp_path, endpoint) as it:
        answer = await exchange(it.address, raw_call("once", left_ms=15_000, body=b"z" * LONG_BYTES))
        assert answer.status == 200 and endpoint.bodies[0][0] == LONG_BYTES


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: %d" % len(BODY * 2), b"Transfer-Encoding: chunked", b"Connection: close"],
    ids=["length", "chunked", "to the end"],
)
async def test_a_long_answer_that_begins_in_time_is_not_cut_off_at_the_deadline(
    tmp_path: Path, framing: bytes
) -> None:
    """Fourth picture of issue 47: only the head had come by then, and the answer was taken for late."""

    async def give_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(DEADLINE_S - 0.04)
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
        await asyncio.sleep(0.5)
        writer.write(chunked(BODY * 2, 9000) if b"chunked" in framing else BODY * 2)
        writer.close()

    classes = classes_with(DEADLINE_S)
    async with (
        Endpoint(give_late).serve() as endpoint,
        harness(tmp_path, endpoint, request_classes=classes) as it,
    ):
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", left_ms=int(DEADLINE_S * 1000)))
        received = b""
        while received.count(b"y") < len(BODY * 2) and (data := await reader.read(65536)):
            received += data
        assert received.startswith(b"HTTP/1.1 200") and received.count(b"y") == len(BODY * 2)
        writer.close()
        assert len(endpoint.requests) == 1


async def test_a_long_answer_does_not_hold_the_operators_address_in_a_shutdown(tmp_path: Path) -> None:
    """A new process waits for that address for some seconds only."""
    classes = classes_with(DEADLINE_S)
    async with (
        Endpoint(give_slowly).serve() as endpoint,
        harness(tmp_path, endpoint, admin=True, request_classes=classes) as it,
    ):
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call())
        await read_head(reader)
        it.stop.set()
        await asyncio.sleep(1.2)  # the schedule is over
        assert it.admin and not it.task.done()
        open_listener(it.admin, backlog=1).close()
        assert await reader.readexactly(len(PIECE) * PIECES)
        await it.task
        writer.close()

"""A request whose body its server reads slowly is answered in time, counted from the client's last write."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address
from tests.net import Harness, Peer, harness, raw_call, read_response
from tests.planned_end import classes_with
from tests.test_long import chunked
from tests.test_time_limits import LATE_S, SlowSink

CLASSES = classes_with(5.0, 4.0)
BODY_BYTES = 896_900
CLIENT_BYTES_PER_S = 730_000
WRITE_INTERVAL_S = 0.02
SEGMENT_BYTES = 1400  # TCP_MAXSEG: of a network, where loopback has 64 KB
LEFT_MS = 700


class ThrottledSink(SlowSink):
    """Reads as slowly as the server of the incident, and its kernel takes little."""

    receive_buffer_bytes = 16384
    read_ahead_bytes = 4096
    bytes_per_s = 112_000

    def _listener(self) -> socket.socket:
        listener = super()._listener()
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        return listener


class ModerateSink(ThrottledSink):
    """Reads slower than the client writes, and fast enough to answer in time."""

    bytes_per_s = 450_000


async def write_steadily(address: Address, data: bytes) -> tuple[int, float]:
    """Write a request at the client's pace; the status, and how long after the last write the answer came, in
    seconds."""
    loop, client = asyncio.get_running_loop(), socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, address)
    reader, writer = await asyncio.open_connection(sock=client)
    answer = asyncio.create_task(read_response(reader))
    piece_bytes, began = int(CLIENT_BYTES_PER_S * WRITE_INTERVAL_S), monotonic()
    for n in range(0, len(data), piece_bytes):
        if answer.done():
            break
        writer.write(data[n : n + piece_bytes])
        await asyncio.sleep(max(0.0, began + n / CLIENT_BYTES_PER_S - monotonic()))
    written_at = monotonic()
    try:
        return (await answer).status, monotonic() - written_at
    finally:
        writer.transport.abort()


def start(folder: Path, endpoint: Peer) -> AbstractAsyncContextManager[Harness]:
    return harness(folder, endpoint, request_classes=CLASSES)


def long_request(framing: str, left_ms: int) -> bytes:
    body = b"x" * BODY_BYTES
    if framing == "length":
        return raw_call("once", left_ms=left_ms, body=body)
    head = raw_call("once", left_ms=left_ms)
    return head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunked(body, 8000)


@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_an_answer_comes_late_as_the_client_had_written_its_body_long_before_it_was_read(
    tmp_path: Path, framing: str
) -> None:
    async with (
        ThrottledSink().serve() as endpoint,
        start(tmp_path, endpoint) as it,
    ):
        _, took_s = await write_steadily(it.address, long_request(framing, LEFT_MS))
        assert took_s < LEFT_MS / 1000 + LATE_S


@pytest.mark.parametrize("framing", ["length", "chunked"])
async def test_a_body_that_its_server_reads_in_time_is_not_given_up_while_it_waits(
    tmp_path: Path, framing: str
) -> None:
    """The time of a request starts with the client's last write, whatever waits for the server by then."""
    left_ms = 2000
    async with ModerateSink().serve() as endpoint, start(tmp_path, endpoint) as it:
        status, took_s = await write_steadily(it.address, long_request(framing, left_ms))
        assert (status, [size for size, _ in endpoint.bodies]) == (200, [BODY_BYTES])
        assert took_s < left_ms / 1000

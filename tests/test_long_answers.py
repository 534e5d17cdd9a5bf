"""Streamed long responses, and servers and clients that stop in the middle of one."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints
from anisespool.front import server, timeouts
from anisespool.socket_state import unacknowledged_bytes
from tests.net import (
    Endpoint,
    free_port,
    harness,
    member,
    raw_call,
    read_head,
    reset,
    until,
    write_config,
)
from tests.test_long import CLASSES, FRAMINGS, LARGE_BODY_BYTES, LONG_BODY, BodySink, post
from tests.test_program import start


def respond(data: bytes, *, end: bool, wait_s: float = 0.0, size: int = 1 << 20) -> Callable[..., Any]:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for n in range(0, len(data), size):
            writer.write(data[n : n + size])
            await writer.drain()
            await asyncio.sleep(wait_s)
        if end:
            writer.close()

    return handler


async def read_all(address: Address, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await reader.read()
    finally:
        writer.close()


@pytest.mark.parametrize("way", FRAMINGS)
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
async def test_a_long_answer_arrives_unchanged_in_every_framing(
    tmp_path: Path, way: str, version: bytes
) -> None:
    handler = respond(FRAMINGS[way], end=way == "to the end")
    async with Endpoint(handler).serve() as endpoint, harness(tmp_path, endpoint) as it:
        ask = raw_call(headers="Connection: close\r\n").replace(b"HTTP/1.1", b"HTTP/" + version)
        head, _, rest = (await read_all(it.address, ask)).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 OK") and b"Connection: close" in head
        if b"chunked" in head:
            assert version == b"1.1"
            decoded = b""
            while rest:
                size, _, rest = rest.partition(b"\r\n")
                decoded, rest = decoded + rest[: int(size, 16)], rest[int(size, 16) + 2 :]
            rest = decoded
        assert rest == LONG_BODY


async def test_a_kept_connection_goes_on_after_a_long_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoints, "REUSE_DELAY_S", 0.0)  # so that the connection is reused at once
    async with Endpoint(FRAMINGS["told"]).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for n in range(3):
            writer.write(raw_call(trace=f"t{n}"))
            assert b"Content-Length: %d" % len(LONG_BODY) in await read_head(reader)
            assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
        assert len(endpoint.connections) == 1  # the server connection is reused too
        writer.close()


async def test_a_slow_answer_of_no_told_length_is_passed_on_as_it_comes(tmp_path: Path) -> None:
    """Buffering it until it is over the limit would delay its first bytes."""
    begun = asyncio.Event()

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
        await begun.wait()
        writer.write(b"1\r\nc\r\n0\r\n\r\n")

    async with Endpoint(handler).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call())
        await read_head(reader)
        assert await reader.readline() == b"2\r\n"
        begun.set()
        assert await reader.readuntil(b"0\r\n\r\n") == b"ab\r\n1\r\nc\r\n0\r\n\r\n"
        writer.close()


@pytest.mark.parametrize("way", ["told", "chunked", "to the end"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
async def test_an_answer_that_breaks_off_is_visibly_not_whole_and_nothing_is_sent_again(
    tmp_path: Path, way: str, version: bytes
) -> None:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(FRAMINGS[way][:200_000])
        descriptor, transport = writer.get_extra_info("socket").fileno(), writer.transport
        await until(lambda: not (transport.get_write_buffer_size() or unacknowledged_bytes(descriptor)))
        reset(writer)

    async with Endpoint(handler).serve() as endpoint, harness(tmp_path, endpoint) as it:
        with suppress(ConnectionResetError):
            got = await read_all(it.address, raw_call().replace(b"HTTP/1.1", b"HTTP/" + version))
            head, _, rest = got.partition(b"\r\n\r\n")
            if b"Content-Length" in head:
                assert len(rest) < len(LONG_BODY)
            else:
                assert b"chunked" in head and not rest.endswith(b"\r\n0\r\n\r\n")
        assert len(endpoint.requests) == 1


async def test_a_server_that_stops_in_the_midst_of_its_answer_ends_it_visibly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(endpoints, "STALL_S", 0.1)
    monkeypatch.setattr(endpoints, "SWEEP_INTERVAL_S", 0.01)
    release = asyncio.Event()

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(FRAMINGS["told"][:300_000])
        await release.wait()

    async with Endpoint(handler).serve() as endpoint, harness(tmp_path, endpoint) as it:
        with suppress(ConnectionResetError):
            got = await read_all(it.address, raw_call())
            assert 0 < len(got) < len(LONG_BODY)
        release.set()
        assert len(endpoint.requests) == 1


async def test_a_client_that_stops_reading_is_ended_and_its_server_let_go(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timeouts, "READ_STALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)
    ended = []

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES)
        try:
            for _ in range(LARGE_BODY_BYTES >> 16):
                writer.write(b"x" * 65536)
                await writer.drain()
        except ConnectionError:
            ended.append(1)

    async with Endpoint(handler).serve() as endpoint, harness(tmp_path, endpoint) as it:
        with socket.create_connection(it.address) as stalled:
            stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            stalled.sendall(raw_call())
            await until(lambda: bool(ended))


def resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()


@asynccontextmanager
async def process(folder: Path, endpoint: Endpoint) -> AsyncIterator[tuple[int, Address]]:
    listen = f"127.0.0.1:{free_port()}"
    rows = [member("s-0", endpoint.address)]
    env = write_config(folder, Address("127.0.0.1", 1), rows, listen, request_classes=CLASSES)
    running = await start(env)
    try:
        yield running.pid, Address.parse(listen)
    finally:
        with suppress(ProcessLookupError):  # the test may have ended it
            running.kill()
        await running.wait()


async def test_a_process_that_ends_first_hands_its_slow_clients_all_of_their_answers(tmp_path: Path) -> None:
    async with Endpoint(FRAMINGS["told"]).serve() as endpoint, process(tmp_path, endpoint) as (pid, address):
        with socket.socket() as slow_one:
            slow_one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow_one.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow_one, address)
            await loop.sock_sendall(slow_one, raw_call())
            got = await loop.sock_recv(slow_one, 4096)
            os.kill(pid, signal.SIGTERM)
            while data := await loop.sock_recv(slow_one, 8192):
                got += data
                await asyncio.sleep(0.003)
        assert got.partition(b"\r\n\r\n")[2] == LONG_BODY


async def test_32_mb_each_way_with_slow_peers_take_little_memory(tmp_path: Path) -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES

    class Slow(BodySink):
        async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.append((reader, writer))
            with suppress(OSError, EOFError):
                head = await reader.readuntil(b"\r\n\r\n")
                size = 0
                async for data in self._body(reader, head):
                    size += len(data)
                    await asyncio.sleep(0.0005)
                self.bodies.append((size, b""))
                writer.write(answer)
                for _ in range(LARGE_BODY_BYTES >> 16):
                    writer.write(b"y" * 65536)
                    await writer.drain()

    async with Slow().serve() as endpoint, process(tmp_path, endpoint) as (pid, address):
        peak = before = resident_bytes(pid)

        async def client(trace: str) -> None:
            nonlocal peak
            reader, writer = await asyncio.open_connection(*address)
            writer.write(post(b"", b"Content-Length: %d" % LARGE_BODY_BYTES, trace))
            for _ in range(LARGE_BODY_BYTES >> 16):
                writer.write(b"x" * 65536)
                await writer.drain()
            await read_head(reader)
            left = LARGE_BODY_BYTES
            while left:
                data = await reader.read(65536)
                assert data
                left -= len(data)
                peak = max(peak, resident_bytes(pid))
                await asyncio.sleep(0.0005)
            writer.close()

        await asyncio.gather(*(client(f"t{n}") for n in range(4)))
        assert endpoint.bodies == [(LARGE_BODY_BYTES, b"")] * 4
        assert peak - before < 8 << 20, f"{(peak - before) >> 10} KiB more"

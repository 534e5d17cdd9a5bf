"""Calls on a connection that is gone fail: it costs that connection, and nothing else."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from anisespool.front import server, timeouts
from tests.net import OK, Endpoint, World, exchange, raw_call, read_head, until, world
from tests.planned_end import end_now
from tests.syscalls import FailingCall, Matches, ShortCall, is_accepted_at, is_connected_to, no_traceback
from tests.test_admin import call

__all__ = ["no_traceback"]  # a fixture

GONE = [errno.ENOTCONN, errno.EINVAL, errno.ENOBUFS, errno.ECONNRESET]
BROKEN = [
    errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EPIPE,
    errno.ENOTCONN, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENOMEM,
]  # fmt: skip
HALF = raw_call("once", body=b"abc")[:-1]
LONG = 3_000_000  # bytes of an answer too long to hold


def code(number: int) -> str:
    return errno.errorcode[number]


def sets(option: int, matches: Matches) -> Matches:
    """Of those calls the ones that set that option."""
    return lambda sock, arguments: arguments[1] == option and matches(sock, arguments)


async def ended(reader: asyncio.StreamReader) -> bytes:
    """All that came until the other side ended the connection, in time."""
    async with asyncio.timeout(3.0):
        with suppress(ConnectionError):
            return await reader.read()
    return b""


async def nothing_is_held(it: World) -> None:
    """Until no client and no request is left, and what is connected to servers is idle."""
    service = it.service
    await until(lambda: not (service._server.connections or service.open or service._endpoints.busy))
    assert service._endpoints._opening == 0


class EarlyAnswer(Endpoint):
    """Answers as soon as it has a head, whatever of the body is still to come."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        with suppress(OSError, EOFError):
            await read_head(reader)
            writer.write(OK)
            await reader.read()


@pytest.fixture
def hurried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients that bring half a request are ended soon."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)


@pytest.mark.usefixtures("hurried")
@pytest.mark.parametrize("number", GONE, ids=code)
async def test_a_late_client_that_is_gone_as_it_is_ended_leaves_the_next_one_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.address))
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*it.address)
            writer.write(HALF)
            assert (await ended(reader)).startswith(b"HTTP/1.1 408")
            writer.close()
        assert failing.failed == 1
        await nothing_is_held(it)
        assert not endpoint.requests


async def test_a_client_that_resets_as_it_is_ended_leaves_the_next_one_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The real thing: the answer meets a closed socket, whose reset comes before our shutdown."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        client = socket.create_connection(it.address)
        client.sendall(HALF)
        await until(lambda: any(c.stage == "half-written" for c in it.service._server.connections))
        monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.0)
        monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.0)
        (connection,) = it.service._server.connections
        client.close()
        connection.enforce_timeouts(asyncio.get_running_loop().time())  # in the turn in which it closed
        await nothing_is_held(it)


async def test_a_client_that_is_gone_at_a_planned_end_costs_the_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        halves = [await asyncio.open_connection(*it.address) for _ in range(3)]
        for _, writer in halves:
            writer.write(HALF)
        await until(lambda: sum(c.stage == "half-written" for c in it.service._server.connections) == 3)
        failing = FailingCall(monkeypatch, "shutdown", errno.ENOTCONN, 1, is_accepted_at(it.address))
        await it.service._server.stop(end_now())
        assert failing.failed == 1
        for reader, writer in halves:
            assert (await ended(reader)).startswith(b"HTTP/1.1 408")
            writer.close()


@pytest.mark.parametrize("number", GONE, ids=code)
async def test_an_answer_before_the_end_of_its_requests_body_counts_though_the_client_is_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Its outcome is told, else the request would stay open and its server be held for busy."""
    async with EarlyAnswer().serve() as endpoint, world(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.address))
        reader, writer = await asyncio.open_connection(*it.address)
        head = raw_call("once").replace(b"Content-Length: 0", b"Content-Length: 9000000")
        writer.write(head + b"x" * 500_000)
        await ended(reader)
        assert failing.failed == 1
        writer.close()
        await nothing_is_held(it)
        assert (await exchange(it.address, raw_call())).status == 200


@pytest.mark.parametrize("number", GONE, ids=code)
async def test_an_operators_answer_on_a_connection_that_is_gone_costs_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.admin))
        await call(it.admin, b"READY\n")
        await until(lambda: not it.service._admin.connections)
        assert (await call(it.admin, b"READY\n")).startswith(b"SUCCESS")


@pytest.mark.usefixtures("hurried")
async def test_our_sides_end_behind_unsent_bytes_may_fail_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Then it is the loop that calls shutdown, once the rest has gone."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        ShortCall(monkeypatch, "send", 10, is_accepted_at(it.address))
        failing = FailingCall(monkeypatch, "shutdown", errno.ENOTCONN, 1, is_accepted_at(it.address))
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*it.address)
            writer.write(HALF)
            assert (await ended(reader)).startswith(b"HTTP/1.1 408")
            writer.close()
        assert failing.failed == 1
        await nothing_is_held(it)


def long_answer(length: int, sent: int) -> Callable[..., Any]:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"x" * sent)
        await writer.drain()
        if sent < length:
            writer.transport.abort()

    return answer


@pytest.mark.parametrize("number", GONE, ids=code)
async def test_a_long_answer_arrives_whole_though_its_buffer_cannot_be_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint(long_answer(LONG, LONG)).serve() as endpoint, world(tmp_path, endpoint) as it:
        failing = FailingCall(
            monkeypatch, "setsockopt", number, 1, sets(socket.SO_SNDBUF, is_accepted_at(it.address))
        )
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        async with asyncio.timeout(5.0):
            assert b"200 OK" in await read_head(reader)
            assert len(await reader.readexactly(LONG)) == LONG
        assert failing.failed == 1
        writer.close()
        await nothing_is_held(it)


@pytest.mark.parametrize("number", GONE, ids=code)
async def test_a_long_answer_that_breaks_off_ends_its_client_though_that_is_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint(long_answer(LONG, LONG // 2)).serve() as endpoint, world(tmp_path, endpoint) as it:
        failing = FailingCall(
            monkeypatch, "setsockopt", number, 1, sets(socket.SO_LINGER, is_accepted_at(it.address))
        )
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        assert len(await ended(reader)) < LONG
        assert failing.failed == 1
        writer.close()
        await nothing_is_held(it)


@pytest.mark.parametrize("name", ["recv_into", "send"])
@pytest.mark.parametrize("number", BROKEN, ids=code)
async def test_a_servers_connection_that_breaks_in_any_way_costs_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int, name: str
) -> None:
    """What was not written has not run, and goes out again whatever its class."""
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, name, number, 1, is_connected_to(endpoint.address))
        cls = "once" if name == "send" else "look"
        assert (await exchange(it.address, raw_call(cls))).status == 200
        assert failing.failed == 1
        assert len(endpoint.requests) == (1 if name == "send" else 2)
        await nothing_is_held(it)
        assert len(it.service._endpoints.connections) == 1
    lines = capfd.readouterr().err.splitlines()
    assert sum(line.startswith("broken:") for line in lines) == 1


@pytest.mark.parametrize("name", ["recv_into", "send"])
@pytest.mark.parametrize("number", BROKEN, ids=code)
async def test_a_clients_connection_that_breaks_in_any_way_ends_that_one_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, name: str
) -> None:
    async with Endpoint().serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        failing = FailingCall(monkeypatch, name, number, 1, is_accepted_at(it.address))
        writer.write(raw_call())
        assert await ended(reader) == b""
        assert failing.failed == 1
        writer.close()
        assert (await exchange(it.address, raw_call())).status == 200
        await nothing_is_held(it)

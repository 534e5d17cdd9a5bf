"""System calls that fail on a closed connection affect only that connection."""

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
from tests.net import OK, Endpoint, Harness, exchange, harness, raw_call, read_head, until
from tests.planned_end import immediate_shutdown
from tests.syscalls import FailingCall, Matches, ShortCall, is_accepted_at, is_connected_to, no_traceback
from tests.test_admin import call

__all__ = ["no_traceback"]  # a fixture

DISCONNECT_ERRNOS = [errno.ENOTCONN, errno.EINVAL, errno.ENOBUFS, errno.ECONNRESET]
CONNECTION_ERRNOS = [
    errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EPIPE,
    errno.ENOTCONN, errno.ECONNREFUSED, errno.ENOBUFS, errno.ENOMEM,
]  # fmt: skip
PARTIAL_REQUEST = raw_call("once", body=b"abc")[:-1]
NBYTES = 3_000_000  # length of an answer over the buffering limit


def code(number: int) -> str:
    return errno.errorcode[number]


def sets_option(option: int, matches: Matches) -> Matches:
    """Matches the setsockopt calls for this option."""
    return lambda sock, arguments: arguments[1] == option and matches(sock, arguments)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the other side closes the connection, within 3 s."""
    async with asyncio.timeout(3.0):
        with suppress(ConnectionError):
            return await reader.read()
    return b""


async def wait_until_idle(it: Harness) -> None:
    """Wait until no client or request is left and all server connections are idle."""
    service = it.service
    await until(lambda: not (service._server.connections or service.open or service._endpoints.busy))
    assert service._endpoints._opening == 0


class EarlyAnswer(Endpoint):
    """Responds as soon as it has read the head, before the body is complete."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        with suppress(OSError, EOFError):
            await read_head(reader)
            writer.write(OK)
            await reader.read()


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens the timeouts for clients with a partial request."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("number", DISCONNECT_ERRNOS, ids=code)
async def test_a_late_client_that_is_gone_as_it_is_ended_leaves_the_next_one_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.address))
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*it.address)
            writer.write(PARTIAL_REQUEST)
            assert (await read_to_end(reader)).startswith(b"HTTP/1.1 408")
            writer.close()
        assert failing.failed == 1
        await wait_until_idle(it)
        assert not endpoint.requests


async def test_a_client_that_resets_as_it_is_ended_leaves_the_next_one_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without fault injection: the response meets a closed socket, whose RST precedes our shutdown."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        client = socket.create_connection(it.address)
        client.sendall(PARTIAL_REQUEST)
        await until(lambda: any(c.stage == "half-written" for c in it.service._server.connections))
        monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.0)
        monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.0)
        (connection,) = it.service._server.connections
        client.close()
        connection.enforce_timeouts(asyncio.get_running_loop().time())  # in the iteration in which it closed
        await wait_until_idle(it)


async def test_a_client_that_is_gone_at_a_planned_end_costs_the_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        halves = [await asyncio.open_connection(*it.address) for _ in range(3)]
        for _, writer in halves:
            writer.write(PARTIAL_REQUEST)
        await until(lambda: sum(c.stage == "half-written" for c in it.service._server.connections) == 3)
        failing = FailingCall(monkeypatch, "shutdown", errno.ENOTCONN, 1, is_accepted_at(it.address))
        await it.service._server.stop(immediate_shutdown())
        assert failing.failed == 1
        for reader, writer in halves:
            assert (await read_to_end(reader)).startswith(b"HTTP/1.1 408")
            writer.close()


@pytest.mark.parametrize("number", DISCONNECT_ERRNOS, ids=code)
async def test_an_answer_before_the_end_of_its_requests_body_counts_though_the_client_is_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Its outcome is reported; otherwise the request would stay open and its server count as busy."""
    async with EarlyAnswer().serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.address))
        reader, writer = await asyncio.open_connection(*it.address)
        head = raw_call("once").replace(b"Content-Length: 0", b"Content-Length: 9000000")
        writer.write(head + b"x" * 500_000)
        await read_to_end(reader)
        assert failing.failed == 1
        writer.close()
        await wait_until_idle(it)
        assert (await exchange(it.address, raw_call())).status == 200


@pytest.mark.parametrize("number", DISCONNECT_ERRNOS, ids=code)
async def test_an_operators_answer_on_a_connection_that_is_gone_costs_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        FailingCall(monkeypatch, "shutdown", number, 1, is_accepted_at(it.admin))
        await call(it.admin, b"READY\n")
        await until(lambda: not it.service._admin.connections)
        assert (await call(it.admin, b"READY\n")).startswith(b"SUCCESS")


@pytest.mark.usefixtures("short_timeouts")
async def test_our_sides_end_behind_unsent_bytes_may_fail_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop then calls shutdown itself, once the rest has been sent."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        ShortCall(monkeypatch, "send", 10, is_accepted_at(it.address))
        failing = FailingCall(monkeypatch, "shutdown", errno.ENOTCONN, 1, is_accepted_at(it.address))
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*it.address)
            writer.write(PARTIAL_REQUEST)
            assert (await read_to_end(reader)).startswith(b"HTTP/1.1 408")
            writer.close()
        assert failing.failed == 1
        await wait_until_idle(it)


def long_answer(length: int, sent: int) -> Callable[..., Any]:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"x" * sent)
        await writer.drain()
        if sent < length:
            writer.transport.abort()

    return answer


@pytest.mark.parametrize("number", DISCONNECT_ERRNOS, ids=code)
async def test_a_long_answer_arrives_whole_though_its_buffer_cannot_be_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint(long_answer(NBYTES, NBYTES)).serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(
            monkeypatch, "setsockopt", number, 1, sets_option(socket.SO_SNDBUF, is_accepted_at(it.address))
        )
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        async with asyncio.timeout(5.0):
            assert b"200 OK" in await read_head(reader)
            assert len(await reader.readexactly(NBYTES)) == NBYTES
        assert failing.failed == 1
        writer.close()
        await wait_until_idle(it)


@pytest.mark.parametrize("number", DISCONNECT_ERRNOS, ids=code)
async def test_a_long_answer_that_breaks_off_ends_its_client_though_that_is_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with (
        Endpoint(long_answer(NBYTES, NBYTES // 2)).serve() as endpoint,
        harness(tmp_path, endpoint) as it,
    ):
        failing = FailingCall(
            monkeypatch, "setsockopt", number, 1, sets_option(socket.SO_LINGER, is_accepted_at(it.address))
        )
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        assert len(await read_to_end(reader)) < NBYTES
        assert failing.failed == 1
        writer.close()
        await wait_until_idle(it)


@pytest.mark.parametrize("name", ["recv_into", "send"])
@pytest.mark.parametrize("number", CONNECTION_ERRNOS, ids=code)
async def test_a_servers_connection_that_breaks_in_any_way_costs_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int, name: str
) -> None:
    """A request that was not written can't have run, and is retried whatever its class."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, name, number, 1, is_connected_to(endpoint.address))
        cls = "once" if name == "send" else "look"
        assert (await exchange(it.address, raw_call(cls))).status == 200
        assert failing.failed == 1
        assert len(endpoint.requests) == (1 if name == "send" else 2)
        await wait_until_idle(it)
        assert len(it.service._endpoints.connections) == 1
    lines = capfd.readouterr().err.splitlines()
    assert sum(line.startswith("broken:") for line in lines) == 1


@pytest.mark.parametrize("name", ["recv_into", "send"])
@pytest.mark.parametrize("number", CONNECTION_ERRNOS, ids=code)
async def test_a_clients_connection_that_breaks_in_any_way_ends_that_one_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, name: str
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        failing = FailingCall(monkeypatch, name, number, 1, is_accepted_at(it.address))
        writer.write(raw_call())
        assert await read_to_end(reader) == b""
        assert failing.failed == 1
        writer.close()
        assert (await exchange(it.address, raw_call())).status == 200
        await wait_until_idle(it)

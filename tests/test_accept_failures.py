"""The listeners recover from every error that the accept(2) manual page lists."""

from __future__ import annotations

import asyncio
import errno
import socket
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from anisespool import admin
from anisespool.config import Address
from anisespool.front import listener, server, timeouts
from tests.net import Endpoint, exchange, harness, raw_call, read_response, until
from tests.planned_end import immediate_shutdown
from tests.syscalls import FailingCall, accept_and_close, is_accepted_at, listens_at
from tests.test_admin import call

CONNECTION_ERRNOS = [
    errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET,
    errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ECONNRESET, errno.EPERM,
]  # fmt: skip
RESOURCE_ERRNOS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
OTHER_ERRNOS = [errno.EINVAL, errno.EIO, errno.ENOSR, 4095]
DRAIN_ERRNOS = [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EMFILE]
RETRY_DELAY_S = 30.0  # long, so that a test notices an unwanted pause


def errno_names(numbers: list[int]) -> list[str]:
    return [errno.errorcode.get(number, str(number)) for number in numbers]


@pytest.fixture(autouse=True)
def long_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps idle clients from timing out, which would look like a failed accept."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 60.0)


async def is_served(address: Address) -> bool:
    return (await exchange(address, raw_call())).status == 200


@pytest.mark.parametrize("number", CONNECTION_ERRNOS, ids=errno_names(CONNECTION_ERRNOS))
async def test_a_connection_that_is_gone_as_it_is_accepted_delays_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    monkeypatch.setattr(server, "ACCEPT_RETRY_DELAY_S", RETRY_DELAY_S)
    monkeypatch.setattr(admin, "ACCEPT_PAUSE_S", RETRY_DELAY_S)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        for address in (it.address, it.admin):
            failing = FailingCall(monkeypatch, "accept", number, 1, listens_at(address), accept_and_close)
            with socket.create_connection(address) as aborted:
                await until(lambda f=failing: f.failed == 1)  # type: ignore[misc]
                aborted.setblocking(False)
                with suppress(ConnectionError):
                    assert await asyncio.get_running_loop().sock_recv(aborted, 1) == b""
            async with asyncio.timeout(5.0):
                if address is it.admin:
                    assert (await call(address, b"READY\n")).startswith(b"SUCCESS")
                else:
                    assert await is_served(address)
        assert len(endpoint.requests) == 1
    log = capfd.readouterr().err
    assert "Traceback" not in log and "NoDescriptors" not in log


@pytest.mark.parametrize("number", DRAIN_ERRNOS, ids=errno_names(DRAIN_ERRNOS))
async def test_a_failed_accept_ends_no_drain_of_the_listeners_queue(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """At a planned shutdown all connections in the listen queue are answered."""
    monkeypatch.setattr(server, "ACCEPT_RETRY_DELAY_S", RETRY_DELAY_S)
    count = server.MAX_ACCEPTS_PER_TURN + 4
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        clients = [socket.create_connection(it.address) for _ in range(count)]  # none is accepted yet
        for client in clients:
            client.sendall(raw_call(left_ms=9000))
            client.setblocking(False)
        failing = FailingCall(monkeypatch, "accept", number, 3, listens_at(it.address))
        await it.service._server.stop(immediate_shutdown())
        assert failing.failed == 3
        statuses = []
        for client in clients:
            reader, writer = await asyncio.open_connection(sock=client)
            statuses.append((await read_response(reader)).status)
            writer.close()
        assert statuses == [200] * count


@pytest.mark.parametrize("number", RESOURCE_ERRNOS, ids=errno_names(RESOURCE_ERRNOS))
async def test_short_of_descriptors_or_buffers_an_idle_client_makes_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        idle_reader, idle_writer = await asyncio.open_connection(*it.address)
        idle_writer.write(raw_call())
        assert (await read_response(idle_reader)).status == 200
        failing = FailingCall(monkeypatch, "accept", number, 1, listens_at(it.address))
        began = monotonic()
        assert await is_served(it.address)
        assert failing.failed == 1 and monotonic() - began >= server.ACCEPT_RETRY_DELAY_S / 2
        async with asyncio.timeout(5.0):
            assert await idle_reader.read() == b""
        idle_writer.close()
        assert len(endpoint.requests) == 2
    lines = capfd.readouterr().err.splitlines()
    assert sum("NoDescriptors" in line for line in lines) == 1 and not any("Traceback" in x for x in lines)


@pytest.mark.parametrize(
    "number", [*RESOURCE_ERRNOS, *OTHER_ERRNOS], ids=errno_names([*RESOURCE_ERRNOS, *OTHER_ERRNOS])
)
async def test_while_accept_goes_on_failing_it_neither_spins_nor_floods_the_log_nor_ends_for_good(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    times = 6
    monkeypatch.setattr(server, "ACCEPT_RETRY_DELAY_S", 0.02)
    monkeypatch.setattr(listener, "ACCEPT_LOG_INTERVAL_S", 60.0)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        for address in (it.address, it.admin):
            failing = FailingCall(monkeypatch, "accept", number, times, listens_at(address))
            began = monotonic()
            if address is it.admin:
                assert (await call(address, b"READY\n")).startswith(b"SUCCESS")
            else:
                assert await is_served(address)
            assert failing.failed == times and monotonic() - began > (times - 1) * 0.02 / 2
    lines = [line for line in capfd.readouterr().err.splitlines() if line.startswith(("server:", "admin:"))]
    assert len(lines) == 2  # one per listener
    assert all(("NoDescriptors" in line) == (number in RESOURCE_ERRNOS) for line in lines)


async def test_a_run_of_failures_that_takes_nothing_off_the_queue_does_not_spin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """EPERM from a firewall is reported before the connection is removed from the queue."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        runs = 5
        failing = FailingCall(
            monkeypatch, "accept", errno.EPERM, runs * server.MAX_ACCEPTS_PER_TURN, listens_at(it.address)
        )
        began = monotonic()
        assert await is_served(it.address)
        assert failing.failed == runs * server.MAX_ACCEPTS_PER_TURN
        assert monotonic() - began > runs * server.ACCEPT_RETRY_DELAY_S / 2


@pytest.mark.parametrize("number", [errno.EINVAL, errno.ENOTCONN, errno.ENOBUFS])
async def test_a_connection_that_cannot_be_set_up_is_closed_and_delays_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        for address in (it.address, it.admin):
            failing = FailingCall(monkeypatch, "setblocking", number, 1, is_accepted_at(address))
            with socket.create_connection(address) as client:
                await until(lambda f=failing: f.failed == 1)  # type: ignore[misc]
                client.setblocking(False)
                async with asyncio.timeout(5.0):
                    assert await asyncio.get_running_loop().sock_recv(client, 1) == b""
        assert await is_served(it.address)
        assert (await call(it.admin, b"READY\n")).startswith(b"SUCCESS")
        assert not it.service._server._accept_tasks
    assert "Traceback" not in capfd.readouterr().err

"""socket(2) and connect(2) fail in every way that their pages list: what it says of the server."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from time import monotonic, monotonic_ns

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints
from shuntlead.interface import Status
from tests.net import Endpoint, exchange, harness, raw_call, read_response, until
from tests.support import SECOND
from tests.syscalls import FailingCall, always, connects_to, no_traceback
from tests.test_endpoints import CONNECT_NS, Driver

__all__ = ["no_traceback"]  # a fixture

SHORT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
NO_PORT = [errno.EADDRNOTAVAIL, errno.EADDRINUSE]
UNREACHABLE = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ENETDOWN,
               errno.ECONNRESET, errno.ECONNABORTED, errno.EPERM, errno.EACCES]  # fmt: skip
OTHERS = [errno.EAFNOSUPPORT, errno.EIO, errno.EAGAIN]


def code(number: int) -> str:
    return errno.errorcode[number]


async def is_settled(driver: Driver) -> None:
    """Until nothing is being opened, and all connections are idle."""
    it = driver.endpoints
    await until(lambda: not (it._opening or it.busy or it._tasks))


@pytest.mark.parametrize("number", [*SHORT, *NO_PORT], ids=code)
@pytest.mark.parametrize("name", ["connect", "__init__"])
async def test_a_short_lack_at_this_machine_is_waited_out_and_says_nothing_of_the_server(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int, name: str
) -> None:
    monkeypatch.setattr(endpoints, "LOG_INTERVAL_S", 60.0)
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        matches = connects_to(endpoint.address) if name == "connect" else always
        failing = FailingCall(monkeypatch, name, number, 3, matches)
        attempt = await driver.result()
        assert (attempt.status, failing.failed) == (Status.OK, 3)
        assert len(endpoint.requests) == 1
        await is_settled(driver)
        assert len(driver.endpoints.connections) == 1
    (line,) = [line for line in capfd.readouterr().err.splitlines() if line.startswith("broken:")]
    assert ("NoDescriptors" in line) == (number in SHORT)


@pytest.mark.parametrize("number", [*SHORT, *NO_PORT], ids=code)
async def test_a_lasting_lack_at_this_machine_ends_an_attempt_as_one_that_never_ran_and_is_nobodys_fault(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        monkeypatch.setattr(driver.endpoints, "_connect_timeout_s", 0.1)
        failing = FailingCall(monkeypatch, "connect", number, 1_000_000, connects_to(endpoint.address))
        began = monotonic()
        attempts = [driver.send() for _ in range(8)]
        await until(lambda: all(a.status is not None for a in attempts))
        assert {a.status for a in attempts} == {Status.MOOT}
        assert monotonic() - began >= 0.1
        assert failing.failed <= 8 * (0.1 / endpoints.SHORTAGE_PAUSE_S + 2)  # it does not spin
        assert len(driver.ends) == 8 and not endpoint.requests
        await is_settled(driver)
        assert not driver.endpoints.connections


@pytest.mark.parametrize("number", [*SHORT, *NO_PORT], ids=code)
async def test_while_nothing_can_be_dialled_an_idle_connection_carries_the_request(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Also one that comes back only meanwhile."""
    release = asyncio.Event()
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        await driver.result()

        async def held(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        endpoint.answer = held
        (connection,) = driver.endpoints.connections
        FailingCall(monkeypatch, "connect", number, 1_000_000, connects_to(endpoint.address))
        first = driver.send()  # its idle connection has hardly rested
        await until(lambda: len(endpoint.requests) == 2)
        second = driver.send()
        release.set()
        await until(lambda: second.status is not None)
        assert (first.status, second.status) == (Status.OK, Status.OK)
        assert driver.endpoints.connections == {connection}
        await is_settled(driver)


@pytest.mark.parametrize("number", SHORT, ids=code)
async def test_for_want_of_descriptors_the_longest_idle_connection_elsewhere_goes_and_then_an_idle_client(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, Endpoint().serve() as other:
        driver = Driver(endpoint.address)
        driver.endpoints.update(2, "s-2", other.address, 0, True)
        asked: list[float] = []
        driver.endpoints.make_room = lambda: asked.append(monotonic())
        attempt = driver.send(endpoint=2)
        await until(lambda: attempt.status is Status.OK)
        (elsewhere,) = driver.endpoints.connections
        FailingCall(monkeypatch, "connect", number, 2, connects_to(endpoint.address))
        assert (await driver.result()).status is Status.OK
        assert elsewhere not in driver.endpoints.connections and len(asked) == 1
        await is_settled(driver)


@pytest.mark.parametrize("number", UNREACHABLE, ids=code)
async def test_a_server_that_cannot_be_reached_has_not_run_the_request_and_is_known_at_once(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        FailingCall(monkeypatch, "connect", number, 1, connects_to(endpoint.address))
        began = monotonic_ns()
        attempt = await driver.result()
        assert attempt.status is Status.CONNECT_FAILED and monotonic_ns() - began < CONNECT_NS / 2
        assert driver.ends == [attempt]
        await is_settled(driver)
        assert (await driver.result()).status is Status.OK


@pytest.mark.parametrize("number", [*SHORT, *NO_PORT, *UNREACHABLE, *OTHERS], ids=code)
async def test_whatever_one_connect_fails_with_the_request_is_answered_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        failing = FailingCall(monkeypatch, "connect", number, 1, connects_to(endpoint.address))
        writer.write(raw_call("once", left_ms=5000))
        assert (await read_response(reader)).status == 200
        assert failing.failed == 1 and len(endpoint.requests) == 1
        writer.close()
        service = it.service
        await until(lambda: not (service.open or service._endpoints.busy))
        assert (service._endpoints._opening, len(service._endpoints.connections)) == (0, 1)


@pytest.mark.parametrize("host", ["a..b", "x" * 70 + ".local", "\udcff.local"])
async def test_a_servers_name_that_is_none_is_a_server_that_cannot_be_reached(host: str) -> None:
    driver = Driver(Address(host, 80))
    attempt = await driver.result()
    assert attempt.status is Status.CONNECT_FAILED and attempt.latency_ns < SECOND
    await is_settled(driver)


@pytest.mark.parametrize("number", [*SHORT, *UNREACHABLE], ids=code)
async def test_a_call_to_discovery_that_fails_is_one_line_and_made_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        await until(lambda: len(it.discovery.connections) == 1)
        asked: list[float] = []
        monkeypatch.setattr(it.service._watch, "make_room", lambda: asked.append(monotonic()))
        failing = FailingCall(monkeypatch, "connect", number, 1, connects_to(it.discovery.address))
        it.discovery.connections[0][1].transport.abort()
        await until(lambda: len(it.discovery.connections) == 2)
        assert failing.failed == 1 and len(asked) == (number in SHORT)
        assert (await exchange(it.address, raw_call())).status == 200
    lines = [line for line in capfd.readouterr().err.splitlines() if line.startswith("discovery:")]
    (line,) = [line for line in lines if "Unreachable" in line or "NoDescriptors" in line or "Silent" in line]
    assert ("NoDescriptors" in line) == (number in SHORT)

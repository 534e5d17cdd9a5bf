"""Failures of socket(2) and connect(2), with each errno in their man pages, and how attempts end."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from time import monotonic, monotonic_ns

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints, shortage
from shuntlead.interface import Status
from tests.net import Endpoint, exchange, harness, raw_call, read_response, until
from tests.support import SECOND
from tests.syscalls import FailingCall, always, connects_to, no_traceback
from tests.test_endpoints import CONNECT_NS, Driver

__all__ = ["no_traceback"]  # a fixture

OUT_OF_RESOURCES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
NO_PORT = [errno.EADDRNOTAVAIL, errno.EADDRINUSE]
UNREACHABLE = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ENETDOWN,
               errno.ECONNRESET, errno.ECONNABORTED, errno.EPERM, errno.EACCES]  # fmt: skip
OTHERS = [errno.EAFNOSUPPORT, errno.EIO, errno.EAGAIN]


def code(number: int) -> str:
    return errno.errorcode[number]


async def wait_until_idle(driver: Driver) -> None:
    """Wait until no connection is being opened and all are idle."""
    pool = driver.endpoints
    await until(lambda: not (pool._opening or pool.busy or pool._tasks))


@pytest.mark.parametrize("number", [*OUT_OF_RESOURCES, *NO_PORT], ids=code)
@pytest.mark.parametrize("name", ["connect", "__init__"])
async def test_a_brief_resource_shortage_is_waited_out_and_not_blamed_on_the_server(
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
        await wait_until_idle(driver)
        assert len(driver.endpoints.connections) == 1
    (line,) = [line for line in capfd.readouterr().err.splitlines() if line.startswith("broken:")]
    assert ("NoDescriptors" in line) == (number in OUT_OF_RESOURCES)


@pytest.mark.parametrize("number", [*OUT_OF_RESOURCES, *NO_PORT], ids=code)
async def test_a_lasting_resource_shortage_ends_an_attempt_as_not_run_and_not_a_failure_of_the_server(
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
        assert failing.failed <= 8 * (0.1 / shortage.SHORTAGE_PAUSE_S + 2)  # no busy loop
        assert len(driver.ends) == 8 and not endpoint.requests
        await wait_until_idle(driver)
        assert not driver.endpoints.connections


@pytest.mark.parametrize("number", [*OUT_OF_RESOURCES, *NO_PORT], ids=code)
async def test_while_no_connection_can_be_opened_an_idle_one_carries_the_request(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    """Also a connection that becomes idle only while the request waits."""
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
        first = driver.send()  # the idle connection was used just before
        await until(lambda: len(endpoint.requests) == 2)
        second = driver.send()
        release.set()
        await until(lambda: second.status is not None)
        assert (first.status, second.status) == (Status.OK, Status.OK)
        assert driver.endpoints.connections == {connection}
        await wait_until_idle(driver)


@pytest.mark.parametrize("number", OUT_OF_RESOURCES, ids=code)
async def test_without_descriptors_the_longest_idle_connection_is_closed_and_then_an_idle_client(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, Endpoint().serve() as other:
        driver = Driver(endpoint.address)
        driver.endpoints.update(2, "s-2", other.address, 0, True)
        asked: list[float] = []
        driver.endpoints.on_shortage(lambda: asked.append(monotonic()), lambda: None)
        attempt = driver.send(endpoint=2)
        await until(lambda: attempt.status is Status.OK)
        (elsewhere,) = driver.endpoints.connections
        FailingCall(monkeypatch, "connect", number, 2, connects_to(endpoint.address))
        assert (await driver.result()).status is Status.OK
        assert elsewhere not in driver.endpoints.connections and len(asked) == 1
        await wait_until_idle(driver)


@pytest.mark.parametrize("number", UNREACHABLE, ids=code)
async def test_an_unreachable_server_fails_the_attempt_at_once_as_not_run(
    monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        FailingCall(monkeypatch, "connect", number, 1, connects_to(endpoint.address))
        began = monotonic_ns()
        attempt = await driver.result()
        assert attempt.status is Status.CONNECT_FAILED and monotonic_ns() - began < CONNECT_NS / 2
        assert driver.ends == [attempt]
        await wait_until_idle(driver)
        assert (await driver.result()).status is Status.OK


@pytest.mark.parametrize("number", [*OUT_OF_RESOURCES, *NO_PORT, *UNREACHABLE, *OTHERS], ids=code)
async def test_the_request_is_answered_once_whatever_error_one_connect_fails_with(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        failing = FailingCall(monkeypatch, "connect", number, 1, connects_to(endpoint.address))
        writer.write(raw_call("once", left_ms=5000))
        assert (await read_response(reader)).status == 200
        assert failing.failed == 1 and len(endpoint.requests) == 1
        writer.close()
        service = sidecar.service
        await until(lambda: not (service.open or service._endpoints.busy))
        assert (service._endpoints._opening, len(service._endpoints.connections)) == (0, 1)


@pytest.mark.parametrize("host", ["a..b", "x" * 70 + ".local", "\udcff.local"])
async def test_a_server_with_an_invalid_host_name_is_unreachable(host: str) -> None:
    driver = Driver(Address(host, 80))
    attempt = await driver.result()
    assert attempt.status is Status.CONNECT_FAILED and attempt.latency_ns < SECOND
    await wait_until_idle(driver)


@pytest.mark.parametrize("number", [*OUT_OF_RESOURCES, *UNREACHABLE], ids=code)
async def test_a_failed_call_to_discovery_is_logged_once_and_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        await until(lambda: len(sidecar.discovery.connections) == 1)
        asked: list[float] = []
        monkeypatch.setattr(sidecar.service._watch, "make_room", lambda: asked.append(monotonic()))
        failing = FailingCall(monkeypatch, "connect", number, 1, connects_to(sidecar.discovery.address))
        sidecar.discovery.connections[0][1].transport.abort()
        await until(lambda: len(sidecar.discovery.connections) == 2)
        assert failing.failed == 1 and len(asked) == (number in OUT_OF_RESOURCES)
        assert (await exchange(sidecar.address, raw_call())).status == 200
    lines = [line for line in capfd.readouterr().err.splitlines() if line.startswith("discovery:")]
    (line,) = [line for line in lines if "Unreachable" in line or "NoDescriptors" in line or "Silent" in line]
    assert ("NoDescriptors" in line) == (number in OUT_OF_RESOURCES)


async def test_as_many_connections_to_servers_are_opened_at_once_as_the_limit_allows(tmp_path: Path) -> None:
    """Those that were open and not yet taken over counted twice, and attempts failed for it."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        limit = sidecar.service._endpoints._max_connections
        calls = [raw_call("once", f"t{n}", 15_000) for n in range(limit)]
        answers = await asyncio.gather(*(exchange(sidecar.address, call) for call in calls))
        assert {answer.status for answer in answers} == {200}
        assert sidecar.service._endpoints._opening == 0

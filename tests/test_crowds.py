"""Which client connections are kept when there are many, idle ones, or ones that don't read."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address, load
from anisespool.endpoints import Endpoints
from anisespool.front import listener, server, timeouts
from anisespool.sidecar import Sidecar
from shuntlead.interface import ListForm
from tests.net import (
    Endpoint,
    exchange,
    free_port,
    harness,
    held_until,
    member,
    raw_call,
    read_response,
    until,
    write_config,
)
from tests.planned_end import immediate_shutdown
from tests.test_admin import call
from tests.test_driver import scripted, send_once
from tests.test_endpoints import never_respond
from tests.test_program import start


async def test_without_descriptors_connections_wait_and_the_loop_does_not_spin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(listener, "ACCEPT_LOG_INTERVAL_S", 0.0)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        assert (await exchange(sidecar.address, raw_call())).status == 200
        release = asyncio.Event()
        endpoint.answer = held_until(release)
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(raw_call("once", left_ms=15_000))
        await until(lambda: len(endpoint.requests) == 2)
        await until(lambda: len(sidecar.service._server.connections) == 1)  # none idle, to evict
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        client = socket.socket()
        client.setblocking(False)
        resource.setrlimit(resource.RLIMIT_NOFILE, (client.fileno() + 1, hard))
        fillers = []
        try:
            with suppress(OSError):
                while True:
                    fillers.append(os.open(os.devnull, os.O_RDONLY))
            log, began = "", monotonic()
            await asyncio.get_running_loop().sock_connect(client, sidecar.address)
            while log.count("Too many open files") < 3:
                await asyncio.sleep(0.002)
                log += capfd.readouterr().err
            assert monotonic() - began > 0.05  # it paused between the accept attempts
            release.set()  # requests in flight are still served
            assert (await read_response(reader)).status == 200
        finally:
            for fd in fillers:
                os.close(fd)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(raw_call())
        assert (await read_response(reader)).status == 200
        writer.close()


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the other side closes the connection."""
    with suppress(ConnectionError):
        return await reader.read()
    return b""


async def test_a_peer_that_brings_no_request_is_ended_and_one_that_waits_for_its_answer_is_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert timeouts.REQUEST_TIMEOUT_S + 2 * server.SWEEP_INTERVAL_S < 3  # required: closed within 3 s
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        waiting = asyncio.create_task(exchange(sidecar.address, raw_call(left_ms=15_000)))
        await until(lambda: len(endpoint.requests) == 1)
        idle_reader, _ = await asyncio.open_connection(*sidecar.address)
        half, half_writer = await asyncio.open_connection(*sidecar.address)
        half_writer.write(raw_call("once", body=b"abc")[:-1])
        after_one, after_writer = await asyncio.open_connection(*sidecar.address)
        after_writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await read_response(after_one)).status == 200
        after_writer.write(b"GET /look/1 HTTP/1.1\r\n")

        slow_one, drip = await asyncio.open_connection(*sidecar.address)
        dripping = asyncio.create_task(_drip(drip))
        assert await read_to_end(idle_reader) == b""
        assert (await read_to_end(half)).startswith(b"HTTP/1.1 408")
        assert (await read_to_end(after_one)).startswith(b"HTTP/1.1 408")
        assert (await read_to_end(slow_one)).startswith(b"HTTP/1.1 408")
        dripping.cancel()
        release.set()
        assert (await waiting).status == 200
        assert len(endpoint.requests) == 1


async def _drip(writer: asyncio.StreamWriter) -> None:
    """Send a request that never ends, one header at a time."""
    writer.write(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: t1\r\n")
    while not writer.is_closing():
        writer.write(b"X-More: 1\r\n")
        await asyncio.sleep(0.02)


async def test_in_a_crowd_a_slow_client_keeps_its_place_before_those_that_have_been_served(
    tmp_path: Path,
) -> None:
    data = raw_call("once", body=b"abc")
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        slow_one, writer = await asyncio.open_connection(*sidecar.address)
        crowd = []
        for n in range(300):  # twice the connection limit
            if n % 20 == 0:
                writer.write(data[n // 20 * 10 : n // 20 * 10 + 10])
            reader, other = await asyncio.open_connection(*sidecar.address)
            crowd.append(other)
            other.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert (await read_response(reader)).status == 200  # each new one is accepted
        writer.write(data[150:])
        assert (await read_response(slow_one)).status == 200
        for other in (*crowd, writer):
            other.close()


async def test_a_lower_limit_ends_idle_connections_at_once_and_none_that_is_owed_an_answer(
    tmp_path: Path,
) -> None:
    """The limit is lowered when the other process of an upgrade needs its share of the descriptors."""
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint:
        config = load(write_config(tmp_path, endpoint.address, [member("s-0", endpoint.address)]))
        sidecar = Sidecar(config, Endpoints((), 10**9, 10**10, 16))
        sidecar.apply_list(config.known, ListForm.CACHED)
        listening = server.Server(sidecar, config.names, config.settings, 50)
        address = listening.listen(Address("127.0.0.1", 0))
        asking = [asyncio.create_task(exchange(address, raw_call(left_ms=15_000))) for _ in range(3)]
        await until(lambda: len(endpoint.requests) == 3)
        idle = [await asyncio.open_connection(*address) for _ in range(20)]
        await until(lambda: len(listening.connections) == 23)
        listening.set_connection_limit(5)
        assert len(listening.connections) == 5
        ends = asyncio.gather(*(reader.read() for reader, _ in idle[:18]))
        assert await ends == [b""] * 18
        release.set()
        assert [(await answer).status for answer in asking] == [200] * 3
        await listening.stop(immediate_shutdown())


async def test_operators_are_answered_in_time_with_a_crowd_at_the_door(tmp_path: Path) -> None:
    """A separate process whose descriptor limit is below the number of client connections."""
    async with Endpoint().serve() as endpoint:
        listen, admin = (Address("127.0.0.1", free_port()) for _ in range(2))
        env = write_config(
            tmp_path, endpoint.address, [member("s-0", endpoint.address)], "{}:{}".format(*listen)
        )
        process = await start(env | {"LB_ADMIN_ADDR": "{}:{}".format(*admin)}, descriptors=256)
        crowd = []
        for n in range(20):
            crowd += [socket.create_connection(listen) for _ in range(25)]
            if n % 2:
                crowd.append(socket.create_connection(admin))
            began = monotonic()
            assert (await call(admin, b"READY\n")).startswith(b"SUCCESS")
            assert monotonic() - began < 1.0
        assert (await exchange(listen, raw_call())).status == 200
        for each in crowd:
            each.close()
        process.kill()
        await process.wait()


async def test_silent_peers_take_no_descriptors_from_those_that_bring_requests(tmp_path: Path) -> None:
    """The limit of 256 descriptors leaves 147 to clients."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(raw_call())
        assert (await read_response(reader)).status == 200
        idle_clients = [await asyncio.open_connection(*sidecar.address) for _ in range(250)]
        assert (await exchange(sidecar.address, raw_call())).status == 200  # so all earlier ones are accepted
        await until(lambda: sum(r.at_eof() or r.exception() is not None for r, _ in idle_clients) >= 100)
        for _ in range(3):
            writer.write(raw_call())
            assert (await read_response(reader)).status == 200
        for _, silent_writer in [*idle_clients, (reader, writer)]:
            silent_writer.close()


async def test_a_client_that_reads_no_answers_is_ended_before_they_fill_the_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)
    asked, body = 1000, b"x" * 65536
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    async with Endpoint(reply).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, sidecar.address)
        with pytest.raises(ConnectionError):
            for n in range(asked):
                await loop.sock_sendall(client, raw_call(trace=f"t{n}", left_ms=15_000))
            while True:  # all are sent; wait for the close
                await loop.sock_sendall(client, b"x")
                await asyncio.sleep(0.01)
        client.close()
        assert len(endpoint.requests) < asked / 2
        assert (await exchange(sidecar.address, raw_call())).status == 200


async def test_who_finds_all_places_taken_is_told_when_to_come_back(tmp_path: Path) -> None:
    async with Endpoint(never_respond).serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listening = server.Server(it.sidecar, config.names, config.settings, 1)
        address = listening.listen(Address("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        writer.write(raw_call(left_ms=15_000))
        await until(lambda: len(endpoint.requests) == 1)
        refused = await exchange(address, raw_call())
        assert refused.status == 503 and 0 < float(refused.headers[b"retry-after"]) < 0.7
        writer.close()
        await listening.stop(immediate_shutdown())

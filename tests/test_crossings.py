"""Races between events on real connections, forced into the unfavourable order."""

from __future__ import annotations

import asyncio
import errno
import signal
import socket
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address, load
from anisespool.endpoints import endpoints, pool
from anisespool.front.server import Server
from tests.net import (
    OK,
    WAIT_TIMEOUT_S,
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
from tests.support import SECOND
from tests.syscalls import FailingCall, connects_to
from tests.test_driver import scripted, send_once
from tests.test_gone import DelayedAccept
from tests.test_program import NOWHERE, start


async def test_a_long_body_whose_end_waits_for_its_server_does_not_leave_its_client_unread(
    tmp_path: Path,
) -> None:
    """Guards against reading that stays paused after the end of the body: the client's next request is then
    never read, and is lost when its connection times out as idle."""
    go_on = asyncio.Event()

    class Slow(Endpoint):
        """Reads nothing until `go_on` is set, with a small receive buffer."""

        receive_buffer_bytes = 4096

        async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.append((reader, writer))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await go_on.wait()
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            with suppress(OSError, EOFError):
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
                writer.write(OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n", 1))

    async with Slow().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for size in range(2_740_000, 2_960_000, 10_000):  # for one of these sizes the last part has to wait
            go_on.clear()
            writer.write(raw_call("once", f"t{size}", left_ms=5000, body=bytes(size)))
            await until(lambda: not writer.transport.get_write_buffer_size())
            for _ in range(30):  # each event loop iteration reads all that is ready
                assert (await exchange(it.address, b"GET /healthz HTTP/1.1\r\n\r\n")).status == 200
            go_on.set()
            assert (await read_response(reader)).status == 200
            writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(1.0):
                assert (await read_response(reader)).status == 200, size
        writer.close()


@pytest.mark.parametrize("closes", ["room", "sweep", "stop"])
async def test_an_idle_connection_on_which_a_request_has_just_come_is_not_closed(
    tmp_path: Path, closes: str
) -> None:
    """The request is in the kernel buffer, unread by the event loop; a close now would reset it."""
    async with Endpoint().serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 8)
        address = listener.listen(Address("127.0.0.1", 0))
        with socket.create_connection(address) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
            await until(lambda: any(c.stage == "between requests" for c in listener.connections))
            client.recv(65536)
            [connection] = listener.connections
            client.sendall(raw_call("once"))  # and in the same event loop iteration:
            if closes == "room":
                assert not listener.make_room()
            elif closes == "sweep":
                connection.enforce_timeouts(monotonic() + 60.0)
            else:
                stopping = asyncio.create_task(listener.stop(immediate_shutdown()))
                await asyncio.sleep(0)
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 65536)
            assert answer.startswith(b"HTTP/1.1 200")
        if closes != "stop":
            stopping = asyncio.create_task(listener.stop(immediate_shutdown()))
        await stopping


async def test_a_request_whose_last_byte_comes_after_a_planned_end_is_not_sent_on(tmp_path: Path) -> None:
    """It would be in flight when the process exits, and lost."""
    async with Endpoint().serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 8)
        reader, writer = await asyncio.open_connection(*listener.listen(Address("127.0.0.1", 0)))
        data = raw_call("once", body=b"abc")
        writer.write(data[:-1])
        await until(lambda: any(c.stage == "half-written" for c in listener.connections))
        stopping = asyncio.create_task(listener.stop(immediate_shutdown()))
        assert (await read_response(reader)).status == 408
        writer.write(data[-1:])
        assert await reader.read() == b"" and not endpoint.requests
        await stopping


async def test_signals_that_come_together_leave_what_was_taken_its_answer(tmp_path: Path) -> None:
    """SIGTERM twice and SIGHUP arrive while a response, a connect and a partial request are in progress."""
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, DelayedAccept().serve() as late:
        listen = Address("127.0.0.1", free_port())
        rows = [member("s-0", endpoint.address), member("s-1", late.address)]
        env = write_config(tmp_path, NOWHERE, rows, "{}:{}".format(*listen),
                           allowed__connect_timeout_ns=5 * SECOND)  # fmt: skip
        process = await start(env)
        answers = [asyncio.create_task(exchange(listen, raw_call("look", f"t{n}"))) for n in range(8)]
        reader, half = await asyncio.open_connection(*listen)
        data = raw_call("look", "half")
        half.write(data[:20])
        await until(lambda: bool(endpoint.requests))
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        half.write(data[20:])
        release.set()
        statuses = {(await answer).status for answer in answers} | {(await read_response(reader)).status}
        assert statuses <= {200, 503} and 200 in statuses
        await process.communicate()
        assert process.returncode == 0
        half.close()


@pytest.mark.parametrize("shortage", ["none", "at the limit", "no descriptor"])
async def test_a_late_second_answer_is_not_the_answer_to_the_next_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, shortage: str
) -> None:
    """It arrives on the first request's connection just after the next request has arrived. review/1: at the
    limit of connections to servers, and without descriptors, that connection carried the next request."""
    assert pool.REUSE_DELAY_S >= 0.03  # covers a duplicate response 30 ms late; longer below
    monkeypatch.setattr(endpoints, "REUSE_DELAY_S", WAIT_TIMEOUT_S)
    stray = OK.replace(b"ok", b"no")
    arrived: list[asyncio.StreamWriter] = []

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived.append(writer)
        if len(arrived) % 2 == 0:
            arrived[-2].write(stray)
            with suppress(OSError):
                await arrived[-2].drain()
            await asyncio.sleep(0)
        writer.write(OK)

    async with Endpoint(respond).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        if shortage == "at the limit":
            it.service._endpoints.limit(1)
        for n in range(20):
            if shortage == "no descriptor":
                FailingCall(monkeypatch, "connect", errno.EMFILE, 1, connects_to(endpoint.address))
            writer.write(raw_call("once", f"t{n}"))
            assert (await read_response(reader)).body == b"ok"
        await until(lambda: it.service.connections == 0)
        writer.close()

"""Events that cross: with real connections, held in the bad order by events."""

from __future__ import annotations

import asyncio
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
    UNTIL_S,
    Endpoint,
    exchange,
    free_port,
    held_until,
    member,
    raw_call,
    read_response,
    until,
    world,
    write_config,
)
from tests.planned_end import end_now
from tests.support import SECOND
from tests.test_driver import driven, send_once
from tests.test_gone import SlowDial
from tests.test_program import NOWHERE, start


async def test_a_long_body_whose_end_waits_for_its_server_does_not_leave_its_client_unread(
    tmp_path: Path,
) -> None:
    """Reading stays paused though the body has ended; the client's next request is never read, and
    lost when its connection has stood idle for too long."""
    go_on = asyncio.Event()

    class Slow(Endpoint):
        """It reads nothing before it is told to, and holds little."""

        holds = 4096

        async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.append((reader, writer))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await go_on.wait()
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            with suppress(OSError, EOFError):
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0]))
                writer.write(OK.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n", 1))

    async with Slow().serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for size in range(2_740_000, 2_960_000, 10_000):  # of one of these the last piece is what has to wait
            go_on.clear()
            writer.write(raw_call("once", f"t{size}", left_ms=5000, body=bytes(size)))
            await until(lambda: not writer.transport.get_write_buffer_size())
            for _ in range(30):  # all that is ready is read in a turn of the loop
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
    """The request is in the kernel, and the loop has not read it yet. Closed now, it would be reset."""
    async with Endpoint().serve() as endpoint, driven(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 8)
        address = listener.listen(Address("127.0.0.1", 0))
        with socket.create_connection(address) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
            await until(lambda: any(c.stage == "between requests" for c in listener.connections))
            client.recv(65536)
            [connection] = listener.connections
            client.sendall(raw_call("once"))  # and in the same turn of the loop:
            if closes == "room":
                assert not listener.make_room()
            elif closes == "sweep":
                connection.enforce_timeouts(monotonic() + 60.0)
            else:
                stopping = asyncio.create_task(listener.stop(end_now()))
                await asyncio.sleep(0)
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 65536)
            assert answer.startswith(b"HTTP/1.1 200")
        if closes != "stop":
            stopping = asyncio.create_task(listener.stop(end_now()))
        await stopping


async def test_a_request_whose_last_byte_comes_after_a_planned_end_is_not_sent_on(tmp_path: Path) -> None:
    """It would be under way when the process ends, and lost."""
    async with Endpoint().serve() as endpoint, driven(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 8)
        reader, writer = await asyncio.open_connection(*listener.listen(Address("127.0.0.1", 0)))
        data = raw_call("once", body=b"abc")
        writer.write(data[:-1])
        await until(lambda: any(c.stage == "half-written" for c in listener.connections))
        stopping = asyncio.create_task(listener.stop(end_now()))
        assert (await read_response(reader)).status == 408
        writer.write(data[-1:])
        assert await reader.read() == b"" and not endpoint.requests
        await stopping


async def test_signals_that_come_together_leave_what_was_taken_its_answer(tmp_path: Path) -> None:
    """SIGTERM twice, and SIGHUP with them, while an answer, a dial and a half request are under way."""
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, SlowDial().serve() as late:
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


async def test_a_late_second_answer_is_not_the_answer_to_the_next_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It comes just when the next request has: on the connection of the first, wherever the next one is."""
    assert pool.REUSE_DELAY_S >= 0.03  # as long as a second answer is late; here, as a busy machine may be
    monkeypatch.setattr(endpoints, "REUSE_DELAY_S", UNTIL_S)
    stray = OK.replace(b"ok", b"no")
    arrived: list[asyncio.StreamWriter] = []

    async def play(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrived.append(writer)
        if len(arrived) % 2 == 0:
            arrived[-2].write(stray)
            with suppress(OSError):
                await arrived[-2].drain()
            await asyncio.sleep(0)
        writer.write(OK)

    async with Endpoint(play).serve() as endpoint, world(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for n in range(20):
            writer.write(raw_call("once", f"t{n}"))
            assert (await read_response(reader)).body == b"ok"
        await until(lambda: it.service.connections == 0)
        writer.close()

"""Reserves when everything fails at once: descriptors, and the time to READY."""

from __future__ import annotations

import asyncio
import os
from contextlib import AsyncExitStack
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address, load
from anisespool.discovery.deadline import UPDATE_DEADLINE_S
from anisespool.front.server import Server
from anisespool.front.timeouts import RECEIVE_IDLE_TIMEOUT_S
from tests.fleet import Fleet, Relay
from tests.net import (
    Discovery,
    Endpoint,
    Peer,
    Streams,
    exchange,
    free_port,
    member,
    member_list,
    raw_call,
    read_request,
    read_response,
    until,
    write_config,
)
from tests.planned_end import immediate_shutdown
from tests.test_driver import scripted, send_once
from tests.test_program import start

DESCRIPTORS, CROWD = 160, 220
READY_S = 10.0  # for 9 of 10 restarted processes


async def idle_client(address: Address) -> Streams:
    """Connect a client that has been served once and is then idle."""
    streams = await asyncio.open_connection(*address)
    streams[1].write(b"GET /healthz HTTP/1.1\r\n\r\n")
    assert (await read_response(streams[0])).status == 200
    return streams


async def test_idle_clients_fill_the_descriptors_and_discovery_servers_and_requests_have_theirs(
    tmp_path: Path,
) -> None:
    """With no descriptor left, discovery could not reconnect and no new server could be connected to."""
    discovery = Discovery()
    listen, place = (Address("127.0.0.1", free_port()) for _ in range(2))
    async with Endpoint().serve() as old, Endpoint().serve() as new:
        env = write_config(tmp_path, place, [member("s-0", old.address)], "{}:{}".format(*listen))
        process = await start(env, descriptors=DESCRIPTORS)
        data, crowd = (
            raw_call("once", "slow", body=b"abc"),
            [await idle_client(listen) for _ in range(CROWD // 2)],
        )
        _, reading = slow = await asyncio.open_connection(*listen)
        for _ in range(CROWD // 2):  # over the connection limit, while one request is being received
            reading.write(data[:1])
            data = data[1:]
            crowd.append(await idle_client(listen))
        assert len(os.listdir(f"/proc/{process.pid}/fd")) <= DESCRIPTORS
        reading.write(data)
        assert (await read_response(slow[0])).status == 200
        kept = [not reader.at_eof() for reader, _ in crowd]
        assert not kept[0] and kept[-1]  # those idle for longest were closed
        server = await asyncio.start_server(discovery._connected, *place)
        async with asyncio.timeout(UPDATE_DEADLINE_S):
            await until(lambda: bool(discovery.connections))
        discovery.say(member_list(9, [member("s-1", new.address)]))
        async with asyncio.timeout(2.0):
            while not new.requests:  # a new connection, whatever the idle clients hold
                assert (await exchange(listen, raw_call())).status == 200
        for _, writer in [*crowd, slow]:
            writer.close()
        server.close()
        process.kill()
        await process.wait()


async def test_a_request_that_is_being_read_keeps_its_place_before_all_that_are_idle(tmp_path: Path) -> None:
    """Idle connections are evicted first, though the request's last byte is older than their last use."""
    async with Endpoint().serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 4)
        address = listener.listen(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        data = raw_call("once", "half", body=b"abc")
        writer.write(data[:-1])
        await until(lambda: any(c.stage == "half-written" for c in listener.connections))
        began = monotonic()
        await until(lambda: monotonic() > began + RECEIVE_IDLE_TIMEOUT_S / 2)
        crowd = [await idle_client(address) for _ in range(8)]  # 3 fit under the limit
        writer.write(data[-1:])
        assert (await read_response(reader)).status == 200
        for _, each in [*crowd, (reader, writer)]:
            each.close()
        await listener.stop(immediate_shutdown())


class SilentDiscovery(Peer):
    """A discovery server that answers with a fixed text: nothing, a head only, or an error."""

    def __init__(self, says: bytes) -> None:
        super().__init__()
        self._says = says

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        await read_request(reader)
        writer.write(self._says)


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    "says", [None, b"", RESPONSE_HEAD, BUSY], ids=["down", "silent", "half open", "crowded"]
)
async def test_processes_restarted_all_at_once_are_ready_in_time_whatever_they_meet(
    tmp_path: Path, says: bytes | None
) -> None:
    """Peers don't answer, and every store is damaged."""
    count = 10
    relay = Relay(count)
    relay.cut = lambda x, y: True
    await relay.open()
    it = Fleet(tmp_path, relay)
    async with AsyncExitStack() as stack:
        stack.callback(relay.close)
        server = await stack.enter_async_context(Endpoint().serve())
        discovery = await stack.enter_async_context(SilentDiscovery(says or b"").serve())
        address = Address("127.0.0.1", free_port()) if says is None else discovery.address
        for n in range(count):
            it.home(n).mkdir()
            (it.home(n) / f"sailbridge-n{n}.sqlite").write_bytes(b"SQLite format 3\0" + os.urandom(5000))
        rows = [member("s-0", server.address)]
        try:
            took = await asyncio.gather(*(it.start(n, address, rows) for n in range(count)))
            assert sorted(took)[count * 9 // 10 - 1] < READY_S
            print(f"READY after {sorted(took)[count // 2]:.2f} s, {max(took):.2f} s at most")
            statuses = await asyncio.gather(*(it.request(n, f"t{n}") for n in range(count)))
            assert statuses == [200] * count
        finally:
            for n in list(it.processes):
                await it.kill(n)

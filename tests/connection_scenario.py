"""A sidecar in this process whose accepted sockets a test compares with the server's set of connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from anisespool import memory_budget
from anisespool.bounded_socket import BoundedSocket
from anisespool.front import server, timeouts
from anisespool.front.server import Server
from anisespool.front.shutdown import Stage
from tests.net import Endpoint, Harness, Streams, harness, held_until, raw_call, until

BODY = b"x" * 60_000  # an answer that is written at once, and is under the high-water mark
SMALL_BUFFER_BYTES = 4096  # of the kernel, at both ends
LONG_TIME_S = 60.0
SETTLING_TURNS = 4  # of the event loop, in which an aborted transport closes its socket


class AcceptedSockets:
    """All sockets that servers of this process have accepted."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sockets: list[socket.socket] = []
        self._monkeypatch = monkeypatch
        real = Server._serve

        async def record(accepting: Server, connected: BoundedSocket) -> None:
            self.sockets.append(connected)
            await real(accepting, connected)

        monkeypatch.setattr(Server, "_serve", record)
        self.limit_send_buffers(SMALL_BUFFER_BYTES)

    def limit_send_buffers(self, nbytes: int) -> None:
        """Of all that write something from now on."""
        self._monkeypatch.setattr(memory_budget, "MAX_BUFFER_BYTES", nbytes)

    def open(self) -> set[int]:
        """The descriptors of those that are open."""
        return {each.fileno() for each in self.sockets} - {-1}


@dataclass
class Scenario:
    """A sidecar with one endpoint, whose answers wait for `release`."""

    sidecar: Harness
    endpoint: Endpoint
    accepted: AcceptedSockets
    release: asyncio.Event
    clients: list[Streams] = field(default_factory=list)  # otherwise the garbage collector closes them

    @property
    def server(self) -> Server:
        return self.sidecar.service._server

    async def connect(self, data: bytes = b"") -> Streams:
        """A client with a small receive buffer, which has sent `data`; it reads only what a test reads."""
        count = len(self.accepted.sockets) + 1
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, self.sidecar.address)
        streams = await asyncio.open_connection(sock=client, limit=1)
        streams[1].write(data)
        self.clients.append(streams)
        await until(lambda: len(self.accepted.sockets) == count and len(self.server.connections) > 0)
        return streams

    async def connect_slow_reader(self, headers: str = "") -> Streams:
        """A client whose answer does not fit into the kernel's buffers."""
        self.release.set()
        self.endpoint.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
        streams = await self.connect(raw_call("once", left_ms=15_000, headers=headers))
        await until(lambda: any(c._writer.unsent_bytes for c in self.server.connections))
        return streams

    async def check(self) -> None:
        for _ in range(SETTLING_TURNS):
            await asyncio.sleep(0)
        known = {
            c._transport.get_extra_info("socket").fileno() for c in self.server.connections if c._transport
        }
        assert known == self.accepted.open()

    def enforce_timeouts(self, after_s: float) -> None:
        """As the periodic sweep does, `after_s` from now."""
        for connection in list(self.server.connections):
            connection.enforce_timeouts(monotonic() + after_s)

    async def enforce_read_timeout(self) -> None:
        """Let so much time pass for all connections that a client which reads nothing is ended."""
        after_s = 0.0
        while self.server.connections:
            self.enforce_timeouts(after_s)
            after_s += LONG_TIME_S  # the kernel may have taken some bytes since the last time
            await asyncio.sleep(0.01)

    async def wait_for_stage(self, stage: Stage) -> None:
        await until(lambda: [c.stage for c in self.server.connections] == [stage])
        await until(lambda: not any(c.has_unread() for c in self.server.connections))


@asynccontextmanager
async def scenario(folder: Path, monkeypatch: pytest.MonkeyPatch, **changes: Any) -> AsyncIterator[Scenario]:
    """`changes`: of the settings."""
    accepted, release = AcceptedSockets(monkeypatch), asyncio.Event()
    monkeypatch.setattr(timeouts, "RECEIVE_IDLE_TIMEOUT_S", 0.0)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", LONG_TIME_S)  # the tests enforce the timeouts
    async with (
        Endpoint(held_until(release)).serve() as endpoint,
        harness(folder, endpoint, **changes) as sidecar,
    ):
        yield Scenario(sidecar, endpoint, accepted, release)

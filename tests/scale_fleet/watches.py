"""Real watches with the simulated discovery, over in-memory streams on a virtual clock.

They check `simulation.py`, which reimplements their behaviour.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace
from typing import Any
from unittest import mock

from anisespool.config import Address, MemberList, NameIndex
from anisespool.discovery import stream, watch
from anisespool.discovery.clock import HEARTBEAT_INTERVAL_S
from tests.scale_fleet import virtual
from tests.scale_fleet.discovery import SimulatedDiscovery
from tests.scale_fleet.simulation import ASK_WITHIN_S, HORIZON_S, Params, p99_and_last, seeded
from tests.virtual_channel import channel_opener

ADDRESS = Address("discovery", 80)
NAMES = NameIndex({}, {}, {}, {}, 0)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
EMPTY_LINE = b"1\r\n\n\r\n"
SETTLE_S = 10.0  # until all watches are open


def line(revision: int) -> bytes:
    data = json.dumps({"revision": revision, "complete": False, "members": []}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Connection:
    """Both ends of a call: the watch's writer, and the caller of the simulated discovery."""

    def __init__(self, discovery: _Discovery) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = self  # in place of StreamWriter.transport
        self._discovery, self._open = discovery, True

    def write(self, data: bytes) -> None:
        self._discovery.simulated_discovery.call(self)

    def abort(self) -> None:
        self._open = False
        self._discovery.watches_open.discard(self)

    def send(self, data: bytes) -> None:
        if self._open:
            self.reader.feed_data(data)

    def answered(self) -> bool:
        self.send(RESPONSE_HEAD + line(self._discovery.revision))
        if self._open:
            self._discovery.watches_open.add(self)
        return self._open

    def failed(self) -> None:
        self.send(SERVICE_UNAVAILABLE)

    def reset(self) -> None:
        if self._open:
            self.reader.set_exception(ConnectionResetError())


class _Discovery:
    def __init__(self, params: Params) -> None:
        self.simulated_discovery = SimulatedDiscovery(asyncio.get_running_loop(), 1e6, params.refusals_cost)
        self.revision = 1
        self.watches_open: set[_Connection] = set()

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, _Connection]:
        connection = _Connection(self)
        return connection.reader, connection

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for connection in list(self.watches_open):
                connection.send(EMPTY_LINE)


async def _recover(params: Params) -> tuple[float, float]:
    """End all watches at once; the times from discovery's return until 99 % and all have a list."""
    loop = asyncio.get_running_loop()
    discovery, updated_at = _Discovery(params), dict[int, float]()

    def on_list(n: int, update: MemberList) -> None:
        if update.revision == 2:
            updated_at.setdefault(n, loop.time())

    with _in_memory(loop, discovery):
        heartbeats = asyncio.create_task(discovery.send_heartbeats())
        watches = [watch.Watch(ADDRESS, NAMES, MemberList(0, True, ()), params.fleet_size,
                               int(ASK_WITHIN_S * 1e9), partial(on_list, n))
                   for n in range(params.callers)]  # fmt: skip
        tasks = [asyncio.create_task(each.run(0.0)) for each in watches]
        await asyncio.sleep(SETTLE_S)
        assert len(discovery.watches_open) == params.callers
        simulated_discovery, discovery.revision = discovery.simulated_discovery, 2
        simulated_discovery.per_s, simulated_discovery.up = params.per_s, params.down_s <= 0
        for connection in list(discovery.watches_open):
            connection.reset()
        discovery.watches_open.clear()
        await asyncio.sleep(params.down_s)
        simulated_discovery.up, back_s = True, loop.time()
        while len(updated_at) < params.callers and loop.time() < back_s + HORIZON_S[params.refusals_cost]:
            await asyncio.sleep(0.01)
        for task in (heartbeats, *tasks):
            task.cancel()
        await asyncio.gather(heartbeats, *tasks, return_exceptions=True)
    return p99_and_last([at - back_s for at in updated_at.values()], params.callers)


@contextmanager
def _in_memory(loop: asyncio.AbstractEventLoop, discovery: _Discovery) -> Iterator[None]:
    """Replaces only the clock, the connection and the log."""
    patch: Any = mock.patch.multiple
    stand_ins: dict[str, Any] = {"time": SimpleNamespace(monotonic=loop.time), "log_error": lambda *_: None}
    with (patch(watch, **stand_ins), patch(stream, **stand_ins),
          mock.patch.object(stream, "open_channel", channel_opener(discovery.connect))):  # fmt: skip
        yield


def recover(params: Params, seed: int) -> tuple[float, float]:
    with seeded(seed):
        result: tuple[float, float] = virtual.run(_recover(params))
    return result

"""Real watches against the stand-in: with streams in memory on a virtual clock, or over sockets on loopback.

They hold `course.py`, which writes their course again, to what they do.
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
from tests.scale_fleet.course import ASK_WITHIN_S, HORIZON_S, Play, late, seeded
from tests.scale_fleet.discovery import StandIn
from tests.virtual_channel import opening

ADDRESS = Address("discovery", 80)
NAMES = NameIndex({}, {}, {}, {}, 0)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"
SETTLED_S = 10.0  # before the loss: all watch


def line(revision: int) -> bytes:
    data = json.dumps({"revision": revision, "complete": False, "members": []}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Connection:
    """Both ends of a call: the writer that a watch has, and the stand-in's caller."""

    def __init__(self, discovery: _Discovery) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = self  # as of a StreamWriter
        self._discovery, self._open = discovery, True

    def write(self, data: bytes) -> None:
        self._discovery.stand_in.call(self)

    def abort(self) -> None:
        self._open = False
        self._discovery.watching.discard(self)

    def say(self, data: bytes) -> None:
        if self._open:
            self.reader.feed_data(data)

    def answered(self) -> bool:
        self.say(HEAD + line(self._discovery.revision))
        if self._open:
            self._discovery.watching.add(self)
        return self._open

    def failed(self) -> None:
        self.say(BUSY)

    def reset(self) -> None:
        if self._open:
            self.reader.set_exception(ConnectionResetError())


class _Discovery:
    def __init__(self, play: Play) -> None:
        self.stand_in = StandIn(asyncio.get_running_loop(), 1e6, play.refusals_cost)
        self.revision = 1
        self.watching: set[_Connection] = set()

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, _Connection]:
        connection = _Connection(self)
        return connection.reader, connection

    async def sign(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for connection in list(self.watching):
                connection.say(EMPTY)


async def _recover(play: Play) -> tuple[float, float]:
    """All watches end at once; the time from discovery's return until 99 in 100 and all have a list."""
    loop = asyncio.get_running_loop()
    discovery, told = _Discovery(play), dict[int, float]()

    def on_list(n: int, update: MemberList) -> None:
        if update.revision == 2:
            told.setdefault(n, loop.time())

    with _in_memory(loop, discovery):
        signs = asyncio.create_task(discovery.sign())
        watches = [watch.Watch(ADDRESS, NAMES, MemberList(0, True, ()), play.fleet_size,
                               int(ASK_WITHIN_S * 1e9), partial(on_list, n))
                   for n in range(play.callers)]  # fmt: skip
        tasks = [asyncio.create_task(each.run(0.0)) for each in watches]
        await asyncio.sleep(SETTLED_S)
        assert len(discovery.watching) == play.callers
        stand_in, discovery.revision = discovery.stand_in, 2
        stand_in.per_s, stand_in.up = play.per_s, play.down_s <= 0
        for connection in list(discovery.watching):
            connection.reset()
        discovery.watching.clear()
        await asyncio.sleep(play.down_s)
        stand_in.up, back_s = True, loop.time()
        while len(told) < play.callers and loop.time() < back_s + HORIZON_S[play.refusals_cost]:
            await asyncio.sleep(0.01)
        for task in (signs, *tasks):
            task.cancel()
        await asyncio.gather(signs, *tasks, return_exceptions=True)
    return late([at - back_s for at in told.values()], play.callers)


@contextmanager
def _in_memory(loop: asyncio.AbstractEventLoop, discovery: _Discovery) -> Iterator[None]:
    """Only the clock, the connection and the log are replaced."""
    patch: Any = mock.patch.multiple
    stand_ins: dict[str, Any] = {"time": SimpleNamespace(monotonic=loop.time), "log_error": lambda *_: None}
    with (patch(watch, **stand_ins), patch(stream, **stand_ins),
          mock.patch.object(stream, "open_channel", opening(discovery.connect))):  # fmt: skip
        yield


def recover(play: Play, seed: int) -> tuple[float, float]:
    with seeded(seed):
        result: tuple[float, float] = virtual.run(_recover(play))
    return result

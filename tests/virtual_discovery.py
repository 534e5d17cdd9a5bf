"""Discovery in memory on a virtual clock: real watches against faults that come and go at set times."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager, suppress
from enum import Enum
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import mock

from anisespool.config import Address, MemberList, NameIndex
from anisespool.discovery import stream
from anisespool.discovery.watch import AddressChange, Watch
from tests.net import member, member_list
from tests.scale_fleet import virtual
from tests.virtual_channel import opening

ADDRESS = Address("discovery", 80)
NAMES = NameIndex({}, {}, {}, {}, 0)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
EMPTY = b"1\r\n\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ASK_WITHIN_S = 10.0  # by the settings
SIGN_S = 2.0  # between two empty lines of a watch
QUEUE_S = 2.0  # a call waits no longer


class Fault(Enum):
    """What becomes of a call."""

    NONE = "answered, after its time in the queue"
    REFUSED = "503 at once"
    REFUSED_LATE = "503 after the longest wait in the queue"
    RESET = "reset at once"
    HANG = "no byte, ever"
    HEAD_ONLY = "a head, and then nothing"
    MID_OBJECT = "half an object, and then nothing"
    TRICKLE = "an object that comes a byte a second"
    CLEAN_END = "a head and the last chunk"


class Phase(NamedTuple):
    """So long each call meets this fault."""

    fault: Fault
    duration_s: float


def change(revision: int) -> bytes:
    return json.dumps({"revision": revision, "complete": False, "members": []}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Connection:
    """Both ends of one call."""

    def __init__(self, discovery: VirtualDiscovery, address: Address) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = self  # as of a StreamWriter
        self.address, self._discovery, self.open = address, discovery, True

    def write(self, data: bytes) -> None:
        self._discovery.take(self)

    def abort(self) -> None:
        self.open = False
        self._discovery.watching.discard(self)

    def say(self, data: bytes) -> None:
        if self.open:
            self.reader.feed_data(data)

    def end(self) -> None:
        if self.open:
            self.reader.feed_eof()

    def reset(self) -> None:
        if self.open:
            self.reader.set_exception(ConnectionResetError())


class VirtualDiscovery:
    def __init__(self, queue_s: float = 0.0) -> None:
        """Each call that is answered has waited `queue_s`."""
        self.queue_s, self.revision = queue_s, 1
        self.phases: list[Phase] = []
        self.phases_from_s = 0.0
        self.calls: list[float] = []
        self.watching: set[Connection] = set()
        self.closed: set[Address] = set()  # no new connection there
        self.silent = False  # the watches of now

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, Connection]:
        if Address(host, port) in self.closed:
            raise ConnectionRefusedError
        connection = Connection(self, Address(host, port))
        return connection.reader, connection

    def fails(self, phases: list[Phase]) -> float:
        """From now on, one after the other; the seconds until discovery can be reached again."""
        self.phases, self.phases_from_s = phases, asyncio.get_running_loop().time()
        return sum(phase.duration_s for phase in phases)

    def _fault(self) -> Fault:
        since_s = asyncio.get_running_loop().time() - self.phases_from_s
        for fault, duration_s in self.phases:
            if since_s < duration_s:
                return fault
            since_s -= duration_s
        return Fault.NONE

    def take(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        fault = self._fault()
        if fault is Fault.NONE:
            self.serve(connection)
        elif fault is Fault.REFUSED:
            connection.say(BUSY)
        elif fault is Fault.REFUSED_LATE:
            loop.call_later(QUEUE_S, connection.say, BUSY)
        elif fault is Fault.RESET:
            connection.reset()
        elif fault is Fault.HEAD_ONLY:
            connection.say(HEAD)
        elif fault is Fault.MID_OBJECT:
            connection.say(HEAD + chunk(change(self.revision)[:20]))
        elif fault is Fault.TRICKLE:
            connection.say(HEAD)
            for n in range(60):
                loop.call_later(n, connection.say, chunk(b'{"revision": '[n : n + 1] or b" "))
        elif fault is Fault.CLEAN_END:
            connection.say(HEAD + LAST_CHUNK)
            connection.end()

    def serve(self, connection: Connection) -> None:
        asyncio.get_running_loop().call_later(self.queue_s, self.answer, connection)

    def answer(self, connection: Connection) -> None:
        if connection.open:
            connection.say(HEAD + chunk(change(self.revision)))
            self.watching.add(connection)

    def changes(self) -> None:
        """A change, written at once to each watch that is not silent."""
        self.revision += 1
        if not self.silent:
            for connection in self.watching:
                connection.say(chunk(change(self.revision)))

    def fall_silent(self) -> None:
        self.watching.clear()

    def reset_all(self) -> None:
        for connection in list(self.watching):
            connection.reset()
        self.watching.clear()

    def end_all(self) -> None:
        for connection in list(self.watching):
            connection.say(LAST_CHUNK)
            connection.end()
        self.watching.clear()

    async def sign(self) -> None:
        while True:
            await asyncio.sleep(SIGN_S)
            for connection in list(self.watching):
                connection.say(EMPTY)


class Sidecar:
    """A real watch, and when each revision came into force."""

    def __init__(self, fleet_size: int) -> None:
        self.at: dict[int, float] = {}
        self._news = asyncio.Event()
        known = NAMES.member_list(member_list(1, [member("s-0", Address("127.0.0.1", 1))]))
        self.watch = Watch(ADDRESS, NAMES, known, fleet_size, int(ASK_WITHIN_S * 1e9), self._on_list)
        self.moves = asyncio.Queue[AddressChange]()
        self.task = asyncio.create_task(self.watch.follow(self.moves))

    def move(self, address: Address) -> None:
        self.moves.put_nowait(AddressChange(address, asyncio.get_running_loop().time()))

    def _on_list(self, update: MemberList) -> None:
        self.at.setdefault(update.revision, asyncio.get_running_loop().time())

        self._news.set()

    async def told(self, revision: int, by_s: float) -> float:
        """When it had that list, or infinity where not by then."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(by_s):
                while revision not in self.at:
                    self._news.clear()
                    await self._news.wait()
        return self.at.get(revision, float("inf"))


@contextmanager
def _in_memory(discovery: VirtualDiscovery) -> Iterator[None]:
    """Only the clock, the connections and the log are replaced."""
    loop = asyncio.get_running_loop()
    with ExitStack() as stack:
        for name, module in list(sys.modules.items()):
            if name.startswith("anisespool.discovery."):
                for attribute, stand_in in (("time", SimpleNamespace(monotonic=loop.time)),
                                            ("log_error", lambda *_: None)):  # fmt: skip
                    if hasattr(module, attribute):
                        stack.enter_context(mock.patch.object(module, attribute, stand_in))
        stack.enter_context(mock.patch.object(stream, "open_channel", opening(discovery.connect)))
        yield


def play(scene: Callable[[Any], Coroutine[Any, Any, Any]], seed: int = 1,
         discovery_of: Callable[[], VirtualDiscovery] = VirtualDiscovery) -> Any:  # fmt: skip
    """The result of the scene, on a clock of its own, with all draws from `seed`."""

    async def main() -> Any:
        discovery = discovery_of()
        with _in_memory(discovery):
            signs = asyncio.create_task(discovery.sign())
            result = await scene(discovery)
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(signs, *others, return_exceptions=True)
        return result

    state = random.getstate()
    random.seed(seed)
    try:
        return virtual.run(main())
    finally:
        random.setstate(state)

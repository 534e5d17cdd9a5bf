"""In-memory discovery on a virtual clock: real watches against faults that start and end at set times."""

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
from tests.virtual_channel import channel_opener

ADDRESS = Address("discovery", 80)
NAMES = NameIndex({}, {}, {}, {}, 0)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SERVICE_UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
EMPTY_LINE = b"1\r\n\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ASK_WITHIN_S = 10.0  # the setting ask-within-ns
HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines of a watch
MAX_QUEUE_S = 2.0  # longest time that a call spends in the queue


class Fault(Enum):
    """How discovery responds to a call."""

    NONE = "answered, after its time in the queue"
    REFUSED = "503 at once"
    REFUSED_LATE = "503 after the longest time in the queue"
    RESET = "reset at once"
    HANG = "no response at all"
    HEAD_ONLY = "only the response head"
    MID_OBJECT = "half an object and no more"
    TRICKLE = "an object sent at one byte a second"
    CLEAN_END = "the response head and the last chunk"


class Phase(NamedTuple):
    """A period in which each call meets this fault."""

    fault: Fault
    duration_s: float


def change(revision: int) -> bytes:
    return json.dumps({"revision": revision, "complete": False, "members": []}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Connection:
    """Both ends of one call to discovery."""

    def __init__(self, discovery: VirtualDiscovery, address: Address) -> None:
        self.reader = asyncio.StreamReader()
        self.transport = self  # in place of StreamWriter.transport
        self.address, self._discovery, self.open = address, discovery, True

    def write(self, data: bytes) -> None:
        self._discovery.handle_call(self)

    def abort(self) -> None:
        self.open = False
        self._discovery.watches.discard(self)

    def send(self, data: bytes) -> None:
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
        """`queue_s`: time that each answered call spends in the queue."""
        self.queue_s, self.revision = queue_s, 1
        self.phases: list[Phase] = []
        self.phases_began_s = 0.0
        self.calls: list[float] = []
        self.watches: set[Connection] = set()
        self.closed_addresses: set[Address] = set()  # refuse new connections
        self.silent = False  # whether open watches get no changes

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, Connection]:
        if Address(host, port) in self.closed_addresses:
            raise ConnectionRefusedError
        connection = Connection(self, Address(host, port))
        return connection.reader, connection

    def set_faults(self, phases: list[Phase]) -> float:
        """Start these phases, one after the other; returns the seconds until discovery is reachable again."""
        self.phases, self.phases_began_s = phases, asyncio.get_running_loop().time()
        return sum(phase.duration_s for phase in phases)

    def _fault(self) -> Fault:
        elapsed_s = asyncio.get_running_loop().time() - self.phases_began_s
        for fault, duration_s in self.phases:
            if elapsed_s < duration_s:
                return fault
            elapsed_s -= duration_s
        return Fault.NONE

    def handle_call(self, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        self.calls.append(loop.time())
        fault = self._fault()
        if fault is Fault.NONE:
            self.serve(connection)
        elif fault is Fault.REFUSED:
            connection.send(SERVICE_UNAVAILABLE)
        elif fault is Fault.REFUSED_LATE:
            loop.call_later(MAX_QUEUE_S, connection.send, SERVICE_UNAVAILABLE)
        elif fault is Fault.RESET:
            connection.reset()
        elif fault is Fault.HEAD_ONLY:
            connection.send(RESPONSE_HEAD)
        elif fault is Fault.MID_OBJECT:
            connection.send(RESPONSE_HEAD + chunk(change(self.revision)[:20]))
        elif fault is Fault.TRICKLE:
            connection.send(RESPONSE_HEAD)
            for n in range(60):
                loop.call_later(n, connection.send, chunk(b'{"revision": '[n : n + 1] or b" "))
        elif fault is Fault.CLEAN_END:
            connection.send(RESPONSE_HEAD + LAST_CHUNK)
            connection.end()

    def serve(self, connection: Connection) -> None:
        asyncio.get_running_loop().call_later(self.queue_s, self.answer, connection)

    def answer(self, connection: Connection) -> None:
        if connection.open:
            connection.send(RESPONSE_HEAD + chunk(change(self.revision)))
            self.watches.add(connection)

    def publish_change(self) -> None:
        """Send a change at once to each watch that is not silent."""
        self.revision += 1
        if not self.silent:
            for connection in self.watches:
                connection.send(chunk(change(self.revision)))

    def fall_silent(self) -> None:
        self.watches.clear()

    def reset_all(self) -> None:
        for connection in list(self.watches):
            connection.reset()
        self.watches.clear()

    def end_all(self) -> None:
        for connection in list(self.watches):
            connection.send(LAST_CHUNK)
            connection.end()
        self.watches.clear()

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for connection in list(self.watches):
                connection.send(EMPTY_LINE)


class Sidecar:
    """A real watch, and when each revision was applied."""

    def __init__(self, fleet_size: int) -> None:
        self.applied_at: dict[int, float] = {}
        self._updated = asyncio.Event()
        known = NAMES.member_list(member_list(1, [member("s-0", Address("127.0.0.1", 1))]))
        self.watch = Watch(ADDRESS, NAMES, known, fleet_size, int(ASK_WITHIN_S * 1e9), self._on_list)
        self.moves = asyncio.Queue[AddressChange]()
        self.task = asyncio.create_task(self.watch.follow(self.moves))

    def move(self, address: Address) -> None:
        self.moves.put_nowait(AddressChange(address, asyncio.get_running_loop().time()))

    def _on_list(self, update: MemberList) -> None:
        self.applied_at.setdefault(update.revision, asyncio.get_running_loop().time())
        self._updated.set()

    async def wait_for_revision(self, revision: int, by_s: float) -> float:
        """The time at which this revision was applied, or infinity if it was not by `by_s`."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(by_s):
                while revision not in self.applied_at:
                    self._updated.clear()
                    await self._updated.wait()
        return self.applied_at.get(revision, float("inf"))


@contextmanager
def _in_memory(discovery: VirtualDiscovery) -> Iterator[None]:
    """Replaces only the clock, the connections and the log."""
    loop = asyncio.get_running_loop()
    with ExitStack() as stack:
        for name, module in list(sys.modules.items()):
            if name.startswith("anisespool.discovery."):
                for attribute, stand_in in (("time", SimpleNamespace(monotonic=loop.time)),
                                            ("log_error", lambda *_: None)):  # fmt: skip
                    if hasattr(module, attribute):
                        stack.enter_context(mock.patch.object(module, attribute, stand_in))
        stack.enter_context(mock.patch.object(stream, "open_channel", channel_opener(discovery.connect)))
        yield


def run_virtual(scenario: Callable[[Any], Coroutine[Any, Any, Any]], seed: int = 1,
         make_discovery: Callable[[], VirtualDiscovery] = VirtualDiscovery) -> Any:  # fmt: skip
    """The result of the scenario, on its own virtual clock, with all random draws from `seed`."""

    async def main() -> Any:
        discovery = make_discovery()
        with _in_memory(discovery):
            heartbeats = asyncio.create_task(discovery.send_heartbeats())
            result = await scenario(discovery)
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(heartbeats, *others, return_exceptions=True)
        return result

    state = random.getstate()
    random.seed(seed)
    try:
        return virtual.run(main())
    finally:
        random.setstate(state)

"""Real sidecar processes against the stand-in over loopback sockets: the check on what is simulated."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import psutil

from anisespool.config import Address
from anisespool.discovery.clock import HEARTBEAT_INTERVAL_S
from tests.net import Peer, member, member_list, read_request, reset, until, write_config
from tests.scale_fleet.course import Play, late
from tests.scale_fleet.discovery import StandIn
from tests.scale_fleet.watches import BUSY, EMPTY, HEAD

START_S, WAIT_S = 30.0, 60.0
HELD_S = 3.0  # all watch, before they are lost again


class Checked(NamedTuple):
    play: Play
    p99_s: float  # until the fresh list is in force, as the sidecars' logs say
    last_s: float
    calls: int
    resident_mb: float  # of a sidecar, the mean


class _Connection:
    def __init__(self, discovery: Discovery, writer: asyncio.StreamWriter) -> None:
        self.discovery, self.writer = discovery, writer

    def answered(self) -> bool:
        if self.writer.is_closing():
            return False
        data = json.dumps(self.discovery.list).encode() + b"\n"
        self.writer.write(HEAD + b"%x\r\n%s\r\n" % (len(data), data))
        self.discovery.watching.add(self.writer)
        return True

    def failed(self) -> None:
        self.writer.write(BUSY)


class Discovery(Peer):
    """The stand-in behind a listening socket. While it is down calls and watches are reset."""

    def __init__(self, per_s: float, refusals_cost: bool) -> None:
        super().__init__()
        self.stand_in = StandIn(asyncio.get_running_loop(), per_s, refusals_cost)
        self.watching: set[asyncio.StreamWriter] = set()
        self.list: dict[str, Any] = {}

    def publish(self, revision: int) -> str:
        """A list with a server that no earlier one has; its id."""
        name = f"fresh-{revision}"
        self.list = member_list(revision, [member(name, Address("127.0.0.1", 1))])
        return name

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        if not self.stand_in.up:
            reset(writer)
            return
        with suppress(EOFError, OSError):
            await read_request(reader)
            self.stand_in.call(_Connection(self, writer))
            await reader.read()  # given up, or ended
        self.watching.discard(writer)
        writer.transport.abort()

    async def sign(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for writer in self.watching:
                writer.write(EMPTY)

    def lose(self) -> None:
        for writer in list(self.watching):
            reset(writer)
        self.watching.clear()


class _Processes:
    def __init__(self, folder: Path, count: int) -> None:
        self._folders = [folder / str(n) for n in range(count)]
        self.running: list[asyncio.subprocess.Process] = []

    async def start(self, discovery: Address) -> None:
        for n, folder in enumerate(self._folders):
            folder.mkdir()
            env = write_config(folder, discovery, [], fleet_size=len(self._folders), self_index=n)
            with open(folder / "log", "wb") as log:
                self.running.append(await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "anisespool", env=os.environ | env | {"TMPDIR": str(folder)},
                    stderr=log))  # fmt: skip

    def have(self, server: str) -> set[int]:
        return {n for n, folder in enumerate(self._folders) if server in (folder / "log").read_text()}

    def resident_mb(self) -> float:
        return sum(psutil.Process(p.pid).memory_info().rss for p in self.running) / len(self.running) / 2**20

    async def end(self) -> None:
        for process in self.running:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def _lose(play: Play, discovery: Discovery, processes: _Processes, revision: int) -> Checked:
    """All watches end; from discovery's return until the logs say that the new list is in force."""
    loop, stand_in, told = asyncio.get_running_loop(), discovery.stand_in, dict[int, float]()
    await asyncio.sleep(HELD_S)
    stand_in.per_s, stand_in.up, before = play.per_s, play.down_s <= 0, stand_in.calls.total()
    discovery.lose()
    server = discovery.publish(revision)
    await asyncio.sleep(play.down_s)
    before = stand_in.calls.total() if play.down_s else before
    stand_in.up, back_s = True, loop.time()
    while len(told) < play.callers and loop.time() < back_s + WAIT_S:
        for n in processes.have(server):
            told.setdefault(n, loop.time() - back_s)
        await asyncio.sleep(0.01)
    calls = stand_in.calls.total() - before
    stand_in.per_s = 1000.0
    return Checked(play, *late(list(told.values()), play.callers), calls, processes.resident_mb())


async def _check(plays: list[Play]) -> list[Checked]:
    count = plays[0].callers
    with TemporaryDirectory() as folder:
        async with Discovery(1000.0, plays[0].refusals_cost).serve() as discovery:
            discovery.publish(1)
            processes, signs = _Processes(Path(folder), count), asyncio.create_task(discovery.sign())
            try:
                await processes.start(discovery.address)
                async with asyncio.timeout(START_S):
                    await until(lambda: len(discovery.watching) == count)
                return [await _lose(play, discovery, processes, n + 2) for n, play in enumerate(plays)]
            finally:
                signs.cancel()
                await processes.end()


def check(plays: list[Play]) -> list[Checked]:
    """All of one size and one cost of refusals, one after the other with the same processes."""
    return asyncio.run(_check(plays))

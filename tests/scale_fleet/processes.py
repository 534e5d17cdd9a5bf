"""Real sidecar processes with the simulated discovery on loopback sockets, to check the simulation."""

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
from tests.scale_fleet.discovery import SimulatedDiscovery
from tests.scale_fleet.simulation import Params, p99_and_last
from tests.scale_fleet.watches import EMPTY_LINE, RESPONSE_HEAD, SERVICE_UNAVAILABLE

START_S, WAIT_S = 30.0, 60.0
SETTLE_S = 3.0  # all watches are open for so long before they are lost again


class Checked(NamedTuple):
    params: Params
    p99_s: float  # until the sidecars' logs show the fresh list as applied
    last_s: float
    calls: int
    resident_mb: float  # mean per sidecar


class _Connection:
    def __init__(self, discovery: Discovery, writer: asyncio.StreamWriter) -> None:
        self.discovery, self.writer = discovery, writer

    def answered(self) -> bool:
        if self.writer.is_closing():
            return False
        data = json.dumps(self.discovery.list).encode() + b"\n"
        self.writer.write(RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(data), data))
        self.discovery.watches_open.add(self.writer)
        return True

    def failed(self) -> None:
        self.writer.write(SERVICE_UNAVAILABLE)


class Discovery(Peer):
    """The simulated discovery behind a socket. While it is down, calls and watches are reset."""

    def __init__(self, per_s: float, refusals_cost: bool) -> None:
        super().__init__()
        self.simulated_discovery = SimulatedDiscovery(asyncio.get_running_loop(), per_s, refusals_cost)
        self.watches_open: set[asyncio.StreamWriter] = set()
        self.list: dict[str, Any] = {}

    def publish(self, revision: int) -> str:
        """Set a list with a server that is new in it; returns the server's id."""
        name = f"fresh-{revision}"
        self.list = member_list(revision, [member(name, Address("127.0.0.1", 1))])
        return name

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        if not self.simulated_discovery.up:
            reset(writer)
            return
        with suppress(EOFError, OSError):
            await read_request(reader)
            self.simulated_discovery.call(_Connection(self, writer))
            await reader.read()  # until the sidecar closes the connection
        self.watches_open.discard(writer)
        writer.transport.abort()

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for writer in self.watches_open:
                writer.write(EMPTY_LINE)

    def end_watches(self) -> None:
        for writer in list(self.watches_open):
            reset(writer)
        self.watches_open.clear()


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

    def having_listed(self, server: str) -> set[int]:
        return {n for n, folder in enumerate(self._folders) if server in (folder / "log").read_text()}

    def resident_mb(self) -> float:
        return sum(psutil.Process(p.pid).memory_info().rss for p in self.running) / len(self.running) / 2**20

    async def stop(self) -> None:
        for process in self.running:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def _recover(params: Params, discovery: Discovery, processes: _Processes, revision: int) -> Checked:
    """End all watches; measure from discovery's return until the logs show the new list as applied."""
    loop, simulated_discovery, updated_at = (
        asyncio.get_running_loop(),
        discovery.simulated_discovery,
        dict[int, float](),
    )
    await asyncio.sleep(SETTLE_S)
    simulated_discovery.per_s, simulated_discovery.up, before = (
        params.per_s,
        params.down_s <= 0,
        simulated_discovery.calls.total(),
    )
    discovery.end_watches()
    server = discovery.publish(revision)
    await asyncio.sleep(params.down_s)
    before = simulated_discovery.calls.total() if params.down_s else before
    simulated_discovery.up, back_s = True, loop.time()
    while len(updated_at) < params.callers and loop.time() < back_s + WAIT_S:
        for n in processes.having_listed(server):
            updated_at.setdefault(n, loop.time() - back_s)
        await asyncio.sleep(0.01)
    calls = simulated_discovery.calls.total() - before
    simulated_discovery.per_s = 1000.0
    return Checked(
        params,
        *p99_and_last(list(updated_at.values()), params.callers),
        calls,
        processes.resident_mb(),
    )


async def _check(params_list: list[Params]) -> list[Checked]:
    count = params_list[0].callers
    with TemporaryDirectory() as folder:
        async with Discovery(1000.0, params_list[0].refusals_cost).serve() as discovery:
            discovery.publish(1)
            processes, heartbeats = (
                _Processes(Path(folder), count),
                asyncio.create_task(discovery.send_heartbeats()),
            )
            try:
                await processes.start(discovery.address)
                async with asyncio.timeout(START_S):
                    await until(lambda: len(discovery.watches_open) == count)
                return [
                    await _recover(params, discovery, processes, n + 2)
                    for n, params in enumerate(params_list)
                ]
            finally:
                heartbeats.cancel()
                await processes.stop()


def check(params_list: list[Params]) -> list[Checked]:
    """Runs with the same fleet size and refusal cost, one after the other with the same processes."""
    return asyncio.run(_check(params_list))

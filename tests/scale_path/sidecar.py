"""One real sidecar process with test order servers, a discovery that lists them, and calls to it."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import psutil

from anisespool.config import Address
from tests.net import StaticDiscovery, exchange, free_port, member, member_list, write_config
from tests.scale_path.figures import ResourceUsage
from tests.scale_path.generator import Plan, Result

ROOT = Path(__file__).parents[2]
PROGRAM = ["-m", "anisespool"]  # after the interpreter
HEARTBEAT_INTERVAL_S = 1.0  # between the empty lines of a watch; at most 2 s are allowed
FLEET = 9_100
REPORT = "queue=0, util=0.3"
START_S = 30.0


@dataclass(frozen=True)
class Setting:
    """The conditions of a measurement."""

    real: int = 15  # listening order servers; the mean of a service
    listed: int = 15  # servers beyond `real` share the real ones' addresses
    changes_per_s: float = 0.0  # rows of the list, one at a time
    store: bool = False  # whether there is a state store, set by TMPDIR
    report: str = REPORT  # load report of each answer; empty for none
    fleet: int = FLEET  # sidecars
    peers: bool = False  # whether to send datagrams to peers; none are read


class ChangingDiscovery(StaticDiscovery):
    """A discovery whose watches get empty lines and, if requested, changes."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        super().__init__(member_list(2, rows))
        self._rows, self._draw, self.revision = rows, random.Random(25), 2

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if self.connections:
                self.say(b"")

    async def send_changes(self, per_s: float) -> None:
        """Drain one row at a time, and bring it up again with the next change. Times count from the first
        change, so that slow writes do not lower the rate."""
        loop, row, began, n = asyncio.get_running_loop(), self._rows[0], asyncio.get_running_loop().time(), 0
        while True:
            n += 1
            await asyncio.sleep(max(0.0, began + n / per_s - loop.time()))
            drains = row["phase"] == "up"
            row = self._draw.choice(self._rows) if drains else row
            row["phase"] = "draining" if drains else "up"
            self.revision += 1
            if self.connections:
                self.say(member_list(self.revision, [row], complete=False))


class SidecarUnderLoad:
    def __init__(
        self, address: Address, ports: list[int], process: psutil.Process, discovery: ChangingDiscovery
    ) -> None:
        self.address, self.ports, self.discovery = address, ports, discovery
        self._process = process

    def usage(self) -> ResourceUsage:
        """Totals since the start."""
        own, machine = self._process.cpu_times(), psutil.cpu_times()
        waited_ns = int(Path(f"/proc/{self._process.pid}/schedstat").read_text().split()[1])
        cores_s = sum(machine) - machine.guest - machine.guest_nice  # already included in user and nice
        return ResourceUsage(time.monotonic(), own.user + own.system, waited_ns / 1e9, cores_s, machine.idle,
                    machine.steal)  # fmt: skip

    async def through(self, rate: float, seconds: float, seed: int, arrivals: str = "poisson") -> Result:
        return await generate(Plan([self.address.port], rate, seconds, seed, arrivals, connections=4))

    async def direct(self, rate: float, seconds: float, seed: int, arrivals: str = "poisson") -> Result:
        return await generate(Plan(self.ports, rate, seconds, seed, arrivals))


async def generate(plan: Plan) -> Result:
    """Run the plan with a generator in a separate process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.scale_path.generator", json.dumps(asdict(plan)),
        cwd=ROOT, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, _ = await process.communicate()
    assert process.returncode == 0, "the load generator failed; see its standard error"
    return Result(**json.loads(out))


@asynccontextmanager
async def order_servers(count: int, report: str) -> AsyncIterator[list[int]]:
    """Run order servers; yields their ports."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.scale_path.order_servers", str(count), report,
        cwd=ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        assert process.stdout and process.stdin
        yield json.loads(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


def rows(setting: Setting, ports: list[int]) -> list[dict[str, Any]]:
    return [member(f"s-{n:08x}", Address("127.0.0.1", ports[n % len(ports)])) for n in range(setting.listed)]


def environment(
    folder: Path, setting: Setting, discovery: Address, known: list[dict[str, Any]]
) -> dict[str, str]:
    """The environment that the platform gives a sidecar in a fleet of the planned size."""
    listen, columns = f"127.0.0.1:{free_port()}", ["queue", "util"]
    env = write_config(folder, discovery, known, listen, fleet_size=setting.fleet, self_index=1,
                       report={"columns": columns, "how": "piggyback"},
                       allowed__peers=setting.peers)  # fmt: skip
    file = Path(env["LB_CONFIG"])
    raw = json.loads(file.read_text()) | {"limits": {"sockets": 4096, "memory_mb": 256}}
    if setting.peers:
        own, nobody = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        raw |= {"peer_listen": own, "peers": [nobody] * setting.fleet, "peers_all": nobody}
    file.write_text(json.dumps(raw))
    kept = {k: v for k, v in os.environ.items() if not k.startswith("LB_") and k != "TMPDIR"}
    return kept | env | ({"TMPDIR": str(folder)} if setting.store else {})


async def until_healthy(address: Address, process: asyncio.subprocess.Process) -> None:
    async with asyncio.timeout(START_S):
        while process.returncode is None:
            with suppress(OSError):
                if (await exchange(address, b"GET /healthz HTTP/1.1\r\n\r\n")).status == 200:
                    return
            await asyncio.sleep(0.02)
    raise AssertionError(
        f"the sidecar exited with status {process.returncode}; see the file log in its folder"
    )


@asynccontextmanager
async def sidecar(folder: Path, setting: Setting) -> AsyncIterator[SidecarUnderLoad]:
    """A started sidecar with an open watch; list changes, if any, begin at once."""
    async with order_servers(setting.real, setting.report) as ports:
        listed = rows(setting, ports)
        async with ChangingDiscovery(listed).serve() as discovery, asyncio.TaskGroup() as works:
            env = environment(folder, setting, discovery.address, listed)
            with open(folder / "log", "wb") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, *PROGRAM, env=env, cwd=ROOT, stderr=log
                )
            tasks = [works.create_task(discovery.send_heartbeats())]
            try:
                address = Address.parse(env["LB_LISTEN"])
                await until_healthy(address, process)
                async with asyncio.timeout(START_S):
                    while not discovery.connections:
                        await asyncio.sleep(0.02)
                if setting.changes_per_s:
                    tasks.append(works.create_task(discovery.send_changes(setting.changes_per_s)))
                yield SidecarUnderLoad(address, ports, psutil.Process(process.pid), discovery)
            finally:
                for task in tasks:
                    task.cancel()
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGTERM)
                await process.wait()

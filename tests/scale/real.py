"""One real sidecar process, and the discovery that sends it the generated list."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sqlite3
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path

from anisespool.config import Address
from anisespool.state.store import store_path
from tests.net import Discovery, free_port
from tests.scale.hollow import write_config
from tests.scale.listing import Row
from tests.scale.measure import Meter
from tests.test_admin import until_ready

START_S = 20.0
HEARTBEAT_INTERVAL_S = 1.0  # between empty lines; after 2.5 s without one a sidecar calls again
POLL_S = 0.005  # between reads of what the sidecar has written


class HeartbeatDiscovery(Discovery):
    """Sends the lines that the test gives it, and empty lines in between."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super()._connected(reader, writer)
        with suppress(asyncio.CancelledError):  # cancelled when the loop ends; nothing awaits this task
            while not writer.is_closing():
                self.write_line(writer, b"")
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)


class RealSidecar:
    def __init__(self, process: asyncio.subprocess.Process, discovery: HeartbeatDiscovery, admin: Address,
                 home: Path) -> None:  # fmt: skip
        self.process, self.discovery, self.admin, self.home = process, discovery, admin, home
        self.meter = Meter(process.pid)
        self._log = open(home / "log", "rb")  # noqa: SIM115  # open as long as the process runs
        self._log_tail = b""
        self._reader: sqlite3.Connection | None = None

    async def send_line(self, line: bytes) -> None:
        writer = self.discovery.connections[-1][1]
        self.discovery.write_line(writer, line.rstrip(b"\n"))
        await writer.drain()

    async def wait_until_listed(self, member_id: str) -> None:
        """Wait until a server new to the sidecar appears in its log. The sidecar then finishes the update
        before it answers a call."""
        name = f" is {member_id} at ".encode()
        while name not in self._log_tail:
            self._log_tail = self._log_tail[-200:] + self._log.read()
            await asyncio.sleep(POLL_S)
        await until_ready(self.admin)

    async def wait_until_saved(self, revision: int) -> None:
        """Wait until the list of that revision is in the state store."""
        if self._reader is None:
            self._reader = sqlite3.connect(store_path(self.home, "n0"))
        while self._reader.execute("SELECT max(revision) FROM list_heads").fetchone()[0] != revision:
            await asyncio.sleep(POLL_S)

    @contextmanager
    def peer(self) -> Iterator[Callable[[bytes], object]]:
        """A function that sends the sidecar a datagram from sidecar 1 of the fleet."""
        config = json.loads((self.home / "config.json").read_text())
        here, there = Address.parse(config["peers"][1]), Address.parse(config["peer_listen"])
        with socket.socket(type=socket.SOCK_DGRAM) as sock:
            sock.bind(here)
            yield lambda data: sock.sendto(data, there)

    async def stop(self) -> None:
        self._log.close()
        if self._reader:
            self._reader.close()
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


@asynccontextmanager
async def real_sidecar(
    home: Path, size: int, seed: int, known: Row, store: bool
) -> AsyncIterator[RealSidecar]:
    """A ready process with an open watch and one known server."""
    async with HeartbeatDiscovery().serve() as discovery:
        config = write_config(home, size, seed, [known], free_port())
        admin = Address("127.0.0.1", free_port())
        env = {name: value for name, value in os.environ.items() if name not in ("TMPDIR", "LB_STATE_DIR")}
        env |= {"LB_NAME": "n0", "LB_LISTEN": f"127.0.0.1:{free_port()}", "LB_CONFIG": str(config),
                "LB_DISCOVERY": "{}:{}".format(*discovery.address),
                "LB_ADMIN_ADDR": "{}:{}".format(*admin)}  # fmt: skip
        env |= {"TMPDIR": str(home)} if store else {}
        with open(home / "log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "anisespool", env=env, stderr=log
            )
        sidecar = RealSidecar(process, discovery, admin, home)
        try:
            async with asyncio.timeout(START_S):
                await until_ready(admin)
                while not discovery.connections:
                    await asyncio.sleep(POLL_S)
            yield sidecar
        finally:
            await sidecar.stop()

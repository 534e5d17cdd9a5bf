"""Several real sidecar processes on loopback, with a fault relay for the datagrams between them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

from anisespool.config import Address
from tests.net import exchange, free_port, member_list, raw_call, settings_json
from tests.test_admin import call, until_ready

START_S = 8.0  # for a start to say READY, on a busy machine


class Relay:
    """Carries each datagram of sidecar X to Y by way of a socket of its own, so that Y sees it come from
    where it reaches X. Faults are drawn from a seed."""

    def __init__(self, count: int, seed: int = 7) -> None:
        self.count, self._draw = count, random.Random(seed)
        self.listen = [Address("127.0.0.1", 0)] * count
        self.loss = self.duplicate = self.delay_s = 0.0
        self.cut: Callable[[int, int], bool] = lambda x, y: False
        self.sent = [Counter[int]() for _ in range(count)]  # datagrams by their first byte
        self._ways: dict[tuple[int, int], asyncio.DatagramTransport] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.listen = [Address("127.0.0.1", free_port()) for _ in range(self.count)]
        for x in range(self.count):
            for y in range(-1, self.count):  # -1: the address that reaches all
                make = partial(_Way, self, x, y)
                way, _ = await loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                self._ways[x, y] = way

    def peers(self, x: int) -> dict[str, Any]:
        """The addresses at which X reaches each sidecar, and all, as the configuration has them."""
        ways = ["{}:{}".format(*self._ways[x, y].get_extra_info("sockname")) for y in range(-1, self.count)]
        return {"peer_listen": "{}:{}".format(*self.listen[x]), "peers": ways[1:], "peers_all": ways[0]}

    def sent_by(self, x: int, data: bytes, y: int) -> None:
        self.sent[x][data[0]] += 1
        for each in range(self.count) if y < 0 else (y,):
            if each != x:
                self.carry(x, each, data)

    def carry(self, x: int, y: int, data: bytes) -> None:
        if self.cut(x, y) or self._draw.random() < self.loss:
            return
        for _ in range(1 + (self._draw.random() < self.duplicate)):
            delay_s = self._draw.uniform(0.0, self.delay_s)  # so that datagrams overtake each other
            asyncio.get_running_loop().call_later(delay_s, self.deliver, x, y, data)

    def deliver(self, x: int, y: int, data: bytes) -> None:
        if not self._ways[y, x].is_closing():
            self._ways[y, x].sendto(data, self.listen[y])

    def close(self) -> None:
        for way in self._ways.values():
            way.abort()


class _Way(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, x: int, y: int) -> None:
        self._relay, self._x, self._y = relay, x, y

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._relay.sent_by(self._x, data, self._y)


class Fleet:
    """Sidecars n0, n1, ... by number: each with its own state folder, address and operators' address."""

    def __init__(self, folder: Path, relay: Relay) -> None:
        self._folder, self.relay, self._starts = folder, relay, 0
        self.module, self.env = "anisespool", dict[str, str]()  # what is run, and variables beside its own
        self.program: Path | None = None  # the checkout that is run; None: this one
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.listen: dict[int, Address] = {}
        self.admin: dict[int, Address] = {}
        self.discovery, self.rows = Address("", 0), list[dict[str, Any]]()  # as a test keeps them

    async def start(self, n: int, discovery: Address, known: list[dict[str, Any]], revision: int = 1,
                    file_limit: int = 0, beside: int | None = None,
                    inherited: socket.socket | None = None, **changes: Any) -> float:  # fmt: skip
        """Start sidecar N, or process N beside the one of that sidecar; the seconds from exec to READY."""
        process, n = n, n if beside is None else beside
        home = self.home(n)
        home.mkdir(exist_ok=True)
        settings = settings_json(allowed__peers=True, fleet_size=self.relay.count, self_index=n, **changes)
        self._starts += 1  # each start has a seed of its own
        raw = {"seed": f"{self._starts:x}", "limits": {"sockets": 256}, "known": member_list(revision, known),
               "settings": settings} | self.relay.peers(n)  # fmt: skip
        (home / "config.json").write_text(json.dumps(raw))
        self.listen[process] = Address("127.0.0.1", free_port())
        self.admin[process] = Address("127.0.0.1", free_port())
        env = {"LB_NAME": f"n{n}", "LB_LISTEN": "{}:{}".format(*self.listen[process]), "TMPDIR": str(home),
               "LB_DISCOVERY": "{}:{}".format(*discovery), "LB_CONFIG": str(home / "config.json"),
               "LB_ADMIN_ADDR": "{}:{}".format(*self.admin[process])}  # fmt: skip
        kept: tuple[int, ...] = ()
        if inherited:
            self.listen[process], kept = Address(*inherited.getsockname()), (inherited.fileno(),)
            env["LB_INHERITED_FD"] = str(inherited.fileno())

        def limit() -> None:
            if file_limit:
                resource.setrlimit(resource.RLIMIT_FSIZE, (file_limit, resource.RLIM_INFINITY))

        began = asyncio.get_running_loop().time()
        with open(home / "log", "ab") as log:
            self.processes[process] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self.module, env=os.environ | self.env | env, stderr=log,
                preexec_fn=limit, pass_fds=kept, cwd=self.program,
            )  # fmt: skip
        async with asyncio.timeout(START_S):
            await until_ready(self.admin[process])
        return asyncio.get_running_loop().time() - began

    async def kill(self, n: int, wipe: bool = False) -> None:
        """SIGKILL, and with `wipe` the loss of its disk."""
        process = self.processes.pop(n)
        process.send_signal(signal.SIGKILL)
        await process.wait()
        if wipe:
            shutil.rmtree(self.home(n))

    async def ask(self, n: int, line: str) -> str:
        return (await call(self.admin[n], line.encode() + b"\n")).decode().strip()

    async def request(self, n: int, trace: str, **fields: Any) -> int:
        return (await exchange(self.listen[n], raw_call(trace=trace, **fields))).status

    def log(self, n: int) -> str:
        return (self.home(n) / "log").read_text()

    def home(self, n: int) -> Path:
        """Its TMPDIR, which holds the state store."""
        return self._folder / f"n{n}"


@asynccontextmanager
async def fleet(folder: Path, count: int) -> AsyncIterator[Fleet]:
    relay = Relay(count)
    await relay.open()
    it = Fleet(folder, relay)
    try:
        yield it
    finally:
        for n in list(it.processes):
            await it.kill(n)
        relay.close()

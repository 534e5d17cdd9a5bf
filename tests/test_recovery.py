"""Recovery, with real sidecar processes: SIGKILL at any moment of the operators' orders loses no yes."""

from __future__ import annotations

import asyncio
import os
import random
import re
import signal
import sqlite3
import sys
from contextlib import closing, suppress
from pathlib import Path

from anisespool.config import Address
from anisespool.state.store import place
from tests.net import (
    OK,
    Endpoint,
    TellingDiscovery,
    exchange,
    free_port,
    limited,
    member,
    member_list,
    raw_call,
    until,
    write_config,
)
from tests.test_admin import call, until_ready

KILLS = int(os.environ.get("SAILBRIDGE_KILLS", "25"))  # 200 by hand; each takes a start, some 0.4 s
SERVERS = 8
BOUND_S = 5.0  # for a start to say READY, and for one call


class Kills:
    """One sidecar name, started again and again on one state directory; its orders and their answers."""

    def __init__(self, folder: Path, env: dict[str, str]) -> None:
        self.env = env | {"LB_STATE_DIR": str(folder)}
        self.promised: dict[str, bool] = {}  # the server, and whether its last yes was for out
        self.unsure: set[str] = set()  # an order that was under way at a kill may or may not hold

    async def start(self) -> tuple[asyncio.subprocess.Process, Address]:
        admin, self.listen = Address("127.0.0.1", free_port()), Address("127.0.0.1", free_port())
        env = self.env | {"LB_ADMIN_ADDR": "{}:{}".format(*admin), "LB_LISTEN": "{}:{}".format(*self.listen)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "anisespool", env=os.environ | env, stderr=asyncio.subprocess.DEVNULL
        )
        async with asyncio.timeout(BOUND_S):
            await until_ready(admin)
        return process, admin

    async def order(self, admin: Address, draw: random.Random) -> None:
        server, out = f"s-{draw.randrange(SERVERS)}", draw.random() < 0.6
        self.unsure.add(server)
        answer = await call(admin, f"{'DISABLE' if out else 'ENABLE'} {server}\n".encode())
        assert answer.startswith(b"SUCCESS"), answer
        self.promised[server] = out
        self.unsure.discard(server)


    async def out(self, admin: Address) -> set[str]:
        answer = (await call(admin, b"STATE\n")).decode()
        found = re.fullmatch(r"SUCCESS store \S+ schema 2; (\d+) out:(.*)\n", answer)
        assert found, answer
        servers = set(found[2].split())
        assert len(servers) == int(found[1])
        return servers

    def check(self, out: set[str]) -> None:
        """Every yes holds; an order that had none is taken as the start shows it."""
        for server, promised in self.promised.items():
            if server not in self.unsure:
                assert (server in out) == promised, (server, promised, out)
        self.promised.update({server: server in out for server in self.unsure})
        self.unsure.clear()


async def _orders_until_killed(kills: Kills, admin: Address, process: asyncio.subprocess.Process,
                               draw: random.Random) -> None:  # fmt: skip
    async def ordering() -> None:
        while True:
            await kills.order(admin, draw)

    task = asyncio.create_task(ordering())
    await asyncio.sleep(draw.uniform(0.0, 0.3))
    process.send_signal(signal.SIGKILL)
    await process.wait()
    with suppress(OSError, AssertionError):  # the answer under way was lost with the process
        await task


def test_no_yes_is_lost_to_sigkill_at_any_moment(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(_kill_loop(tmp_path), 30 + KILLS * BOUND_S / 4))


async def _kill_loop(folder: Path) -> None:
    rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(SERVERS)]
    async with TellingDiscovery(member_list(2, rows)).serve() as discovery:
        kills = Kills(folder, write_config(folder, discovery.address, rows))
        draw = random.Random(7)
        for _ in range(KILLS):
            process, admin = await kills.start()
            kills.check(await kills.out(admin))
            await _orders_until_killed(kills, admin, process, draw)
        process, admin = await kills.start()
        kills.check(await kills.out(admin))
        assert len(kills.promised) == SERVERS
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@limited
async def test_a_restart_with_discovery_down_sends_nothing_to_what_drained_before_the_kill(
    tmp_path: Path,
) -> None:
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve():
        rows = [member("s-0", drains.address), member("s-1", stays.address)]
        later = member_list(3, [member("s-0", drains.address, "draining"), rows[1]])
        async with TellingDiscovery(later).serve() as discovery:
            kills = Kills(tmp_path, write_config(tmp_path, discovery.address, rows))  # known: both up
            process, _ = await kills.start()
            await until(lambda: _stored_revision(tmp_path) == 3)
            process.send_signal(signal.SIGKILL)
            await process.wait()
        process, _ = await kills.start()  # discovery now refuses every call
        for n in range(20):
            assert (await exchange(kills.listen, raw_call(trace=f"r{n}"))).status == 200
        assert not drains.requests and len(stays.requests) == 20
        process.kill()
        await process.wait()


def _stored_revision(folder: Path) -> int:
    try:
        with closing(sqlite3.connect(f"file:{place(folder, 'n0')}?mode=ro", uri=True)) as connection:
            row = connection.execute("SELECT revision FROM lists").fetchone()
    except sqlite3.Error:
        return 0
    return int(row[0]) if row else 0

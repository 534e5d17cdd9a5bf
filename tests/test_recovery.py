"""Recovery, with real sidecar processes: SIGKILL at any moment of the operators' orders loses no yes."""

from __future__ import annotations

import asyncio
import os
import random
import re
import signal
import sys
from contextlib import suppress
from pathlib import Path

from anisespool.config import Address
from tests.net import TellingDiscovery, free_port, member, member_list, write_config
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
        admin = Address("127.0.0.1", free_port())
        env = self.env | {"LB_ADMIN_ADDR": "{}:{}".format(*admin), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
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
        found = re.fullmatch(r"SUCCESS store \S+ schema 1; (\d+) out:(.*)\n", answer)
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

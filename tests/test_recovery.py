"""Recovery, with real sidecar processes: SIGKILL at any moment of the operators' orders loses no yes."""

from __future__ import annotations

import asyncio
import os
import random
import re
import signal
import sqlite3
import statistics
import sys
from contextlib import closing, suppress
from pathlib import Path

import pytest

from anisespool.config import Address
from anisespool.state.peer_lists import MAX_WAIT_S
from anisespool.state.store import ListHead, Record, Store, now_ms, store_path
from tests.fleet import START_S, Fleet, fleet
from tests.net import (
    OK,
    Endpoint,
    StaticDiscovery,
    exchange,
    free_port,
    member,
    member_list,
    raw_call,
    until,
    write_config,
)
from tests.test_admin import call, until_ready

KILLS = int(os.environ.get("SAILBRIDGE_KILLS", "25"))  # 200 by hand; each takes a start, some 0.4 s
STARTS = int(os.environ.get("SAILBRIDGE_STARTS", "1"))  # 7 by hand, for the figures in docs/
SERVERS = 8
NOWHERE = Address("127.0.0.1", 9)
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


@pytest.mark.timeout(120)
def test_no_yes_is_lost_to_sigkill_at_any_moment(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(_kill_loop(tmp_path), 30 + KILLS * BOUND_S / 4))


async def _kill_loop(folder: Path) -> None:
    rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(SERVERS)]
    async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
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


@pytest.mark.parametrize("complete", [True, False])  # discovery's first line: all, or what has changed
async def test_a_restart_with_discovery_down_sends_nothing_to_what_drained_before_the_kill(
    tmp_path: Path, complete: bool
) -> None:
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve():
        rows = [member("s-0", drains.address), member("s-1", stays.address)]
        drained = member("s-0", drains.address, "draining")
        later = member_list(3, [drained, *(rows[1:] if complete else ())], complete)
        async with StaticDiscovery(later).serve() as discovery:
            kills = Kills(tmp_path, write_config(tmp_path, discovery.address, rows))  # known: both up
            process, _ = await kills.start()
            await until(lambda: _stored_revision(tmp_path) == 3)
            process.send_signal(signal.SIGKILL)
            await process.wait()
        process, _ = await kills.start()  # discovery now refuses every call
        for n in range(20):
            assert (await exchange(kills.listen, raw_call(trace=f"r{n}"))).status == 200
        assert not drains.requests and len({r.headers[b"x-trace-id"] for r in stays.requests}) == 20
        process.kill()
        await process.wait()


async def test_two_processes_of_an_upgrade_write_at_once_and_the_first_is_killed_mid_write(
    tmp_path: Path,
) -> None:
    rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(SERVERS)]
    promised: dict[str, bool] = {}

    async def ordering(it: Fleet, process: int, servers: list[str]) -> None:
        draw = random.Random(process)
        while True:
            server, out = draw.choice(servers), draw.random() < 0.6
            promised.pop(server, None)  # at a kill, it may or may not hold
            answer = await it.ask(process, f"{'DISABLE' if out else 'ENABLE'} {server}")
            assert answer.startswith("SUCCESS"), answer
            promised[server] = out

    async with StaticDiscovery(member_list(2, rows)).serve() as discovery, fleet(tmp_path, 1) as it:
        await it.start(0, discovery.address, rows)
        await it.start(1, discovery.address, rows, beside=0)
        ids = [row["id"] for row in rows]
        first, second = (asyncio.create_task(ordering(it, n, ids[n::2])) for n in (0, 1))
        await until(lambda: len(promised) >= SERVERS - 2)  # all, but for the two under way
        await it.kill(0)
        with suppress(OSError, AssertionError):  # the answer under way was lost with the process
            await first
        mark = dict(promised)
        await until(lambda: any(promised.get(s) not in (None, mark.get(s)) for s in ids[1::2]))
        second.cancel()
        for server in ids[1::2]:  # the order that was cut off may hold
            assert (await it.ask(1, f"DISABLE {server}")).startswith("SUCCESS")
            promised[server] = True
        state = (await it.ask(1, "STATE")).split()
        assert all((server in state) == out for server, out in promised.items()), (state, promised)
        assert "set aside" not in it.log(0)


async def test_on_a_full_disk_a_sidecar_serves_and_says_which_orders_a_restart_will_not_know(
    tmp_path: Path,
) -> None:
    """The limit on a file's size stands for a full disk: the store opens, or does not, and cannot grow."""
    async with Endpoint(OK).serve() as server, fleet(tmp_path, 1) as it:
        rows = [member(f"s-{n}", server.address) for n in range(2)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            for limit, opens in ((50_000, True), (3_000, False)):
                await it.start(0, discovery.address, rows, file_limit=limit)
                last = ""
                for n in range(40):
                    last = await it.ask(0, f"{'ENABLE' if n % 2 else 'DISABLE'} s-0")
                    assert last.startswith("SUCCESS") or "in this process only" in last
                    assert await it.request(0, f"r{limit}-{n}") == 200
                assert last.startswith("FAILURE"), last
                assert ("starting without stored state" in it.log(0)) != opens
                await it.kill(0, wipe=True)


@pytest.mark.parametrize("stored", [0, 60, 600])
@pytest.mark.parametrize("answering", [True, False])
async def test_service_resumes_within_its_bound(tmp_path: Path, stored: int, answering: bool) -> None:
    async with Endpoint(OK).serve() as server, fleet(tmp_path, 4) as it:
        rows = [member(f"s-{n}", server.address) for n in range(max(stored, 1))]
        async with StaticDiscovery(member_list(3, rows)).serve() as discovery:
            for n in (1, 2, 3) if answering else ():
                await it.start(n, discovery.address, rows)
            ready, served = [], []
            for turn in range(STARTS):
                it.home(0).mkdir()
                if stored and (store := Store.open(it.home(0), "n0")):
                    now = now_ms()
                    await store.replace_list(ListHead(2, "a"), {row["id"]: row for row in rows})
                    await store.put([Record("learned", row["id"], now, now + 60_000, "[1.5, 0.0]")
                                     for row in rows])  # fmt: skip
                    store.close()
                began = asyncio.get_running_loop().time()
                ready.append(await it.start(0, NOWHERE, rows[:1]))
                assert await it.request(0, f"f{turn}") == 200
                served.append(asyncio.get_running_loop().time() - began)
                await it.kill(0, wipe=True)
    told = "answer" if answering else "silent"
    print(
        f"{stored} stored, peers {told}: READY {statistics.median(ready):.3f}, most {max(ready):.3f} s; "
        f"first served {statistics.median(served):.3f}, most {max(served):.3f} s"
    )
    assert max(ready) < MAX_WAIT_S + START_S and max(served) < max(ready) + 1.0


def _stored_revision(folder: Path) -> int:
    try:
        with closing(sqlite3.connect(f"file:{store_path(folder, 'n0')}?mode=ro", uri=True)) as connection:
            row = connection.execute("SELECT revision FROM list_heads").fetchone()
    except sqlite3.Error:
        return 0
    return int(row[0]) if row else 0

"""Recovery of sidecar processes: SIGKILL at any moment loses no acknowledged operator order."""

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

KILLS = int(os.environ.get("SAILBRIDGE_KILLS", "25"))  # one start each, about 0.4 s; 200 for a long run
STARTS = int(os.environ.get("SAILBRIDGE_STARTS", "1"))  # 7 for the figures in docs/
SERVERS = 8
CLOSED_PORT = Address("127.0.0.1", 9)
TIMEOUT_S = 5.0  # for a start to report READY, and for one call


class RestartedSidecar:
    """A sidecar restarted repeatedly on one state directory, with its orders and their answers."""

    def __init__(self, folder: Path, env: dict[str, str]) -> None:
        self.env = env | {"LB_STATE_DIR": str(folder)}
        self.confirmed: dict[str, bool] = {}  # whether the last acknowledged order put the server out
        self.uncertain: set[str] = set()  # a kill interrupted an order, which may or may not be stored

    async def start(self) -> tuple[asyncio.subprocess.Process, Address]:
        admin, self.listen = Address("127.0.0.1", free_port()), Address("127.0.0.1", free_port())
        env = self.env | {"LB_ADMIN_ADDR": "{}:{}".format(*admin), "LB_LISTEN": "{}:{}".format(*self.listen)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "anisespool", env=os.environ | env, stderr=asyncio.subprocess.DEVNULL
        )
        async with asyncio.timeout(TIMEOUT_S):
            await until_ready(admin)
        return process, admin

    async def order(self, admin: Address, rng: random.Random) -> None:
        server, out = f"s-{rng.randrange(SERVERS)}", rng.random() < 0.6
        self.uncertain.add(server)
        answer = await call(admin, f"{'DISABLE' if out else 'ENABLE'} {server}\n".encode())
        assert answer.startswith(b"SUCCESS"), answer
        self.confirmed[server] = out
        self.uncertain.discard(server)

    async def disabled(self, admin: Address) -> set[str]:
        answer = (await call(admin, b"STATE\n")).decode()
        found = re.fullmatch(r"SUCCESS store \S+ schema 2; (\d+) out:(.*)\n", answer)
        assert found, answer
        servers = set(found[2].split())
        assert len(servers) == int(found[1])
        return servers

    def check(self, out: set[str]) -> None:
        """Checks that every acknowledged order survived; adopts the state of interrupted ones."""
        for server, expected_out in self.confirmed.items():
            if server not in self.uncertain:
                assert (server in out) == expected_out, (server, expected_out, out)
        self.confirmed.update({server: server in out for server in self.uncertain})
        self.uncertain.clear()


async def _send_until_killed(restarted: RestartedSidecar, admin: Address, process: asyncio.subprocess.Process,
                             rng: random.Random) -> None:  # fmt: skip
    async def ordering() -> None:
        while True:
            await restarted.order(admin, rng)

    task = asyncio.create_task(ordering())
    await asyncio.sleep(rng.uniform(0.0, 0.3))
    process.send_signal(signal.SIGKILL)
    await process.wait()
    with suppress(OSError, AssertionError):  # the answer under way was lost with the process
        await task


@pytest.mark.timeout(120)
def test_sigkill_at_any_moment_loses_no_acknowledged_order(tmp_path: Path) -> None:
    asyncio.run(asyncio.wait_for(_kill_loop(tmp_path), 30 + KILLS * TIMEOUT_S / 4))


async def _kill_loop(folder: Path) -> None:
    rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(SERVERS)]
    async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
        restarted = RestartedSidecar(folder, write_config(folder, discovery.address, rows))
        rng = random.Random(7)
        for _ in range(KILLS):
            process, admin = await restarted.start()
            restarted.check(await restarted.disabled(admin))
            await _send_until_killed(restarted, admin, process, rng)
        process, admin = await restarted.start()
        restarted.check(await restarted.disabled(admin))
        assert len(restarted.confirmed) == SERVERS
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@pytest.mark.parametrize("complete", [True, False])  # discovery's first line: full list or changes only
async def test_a_restart_without_discovery_sends_nothing_to_servers_draining_before_the_kill(
    tmp_path: Path, complete: bool
) -> None:
    draining, healthy = Endpoint(OK), Endpoint(OK)
    async with draining.serve(), healthy.serve():
        rows = [member("s-0", draining.address), member("s-1", healthy.address)]
        drained = member("s-0", draining.address, "draining")
        later = member_list(3, [drained, *(rows[1:] if complete else ())], complete)
        async with StaticDiscovery(later).serve() as discovery:
            # The configured list shows both servers as up.
            restarted = RestartedSidecar(tmp_path, write_config(tmp_path, discovery.address, rows))
            process, _ = await restarted.start()
            await until(lambda: _read_stored_revision(tmp_path) == 3)
            process.send_signal(signal.SIGKILL)
            await process.wait()
        process, _ = await restarted.start()  # discovery now refuses all connections
        for n in range(20):
            assert (await exchange(restarted.listen, raw_call(trace=f"r{n}"))).status == 200
        assert not draining.requests and len({r.headers[b"x-trace-id"] for r in healthy.requests}) == 20
        process.kill()
        await process.wait()


async def test_two_processes_of_an_upgrade_write_at_once_and_the_first_is_killed_mid_write(
    tmp_path: Path,
) -> None:
    rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(SERVERS)]
    confirmed: dict[str, bool] = {}

    async def ordering(sidecars: Fleet, process: int, servers: list[str]) -> None:
        rng = random.Random(process)
        while True:
            server, out = rng.choice(servers), rng.random() < 0.6
            confirmed.pop(server, None)  # may or may not be stored if killed now
            answer = await sidecars.ask(process, f"{'DISABLE' if out else 'ENABLE'} {server}")
            assert answer.startswith("SUCCESS"), answer
            confirmed[server] = out

    async with StaticDiscovery(member_list(2, rows)).serve() as discovery, fleet(tmp_path, 1) as sidecars:
        await sidecars.start(0, discovery.address, rows)
        await sidecars.start(1, discovery.address, rows, beside=0)
        ids = [row["id"] for row in rows]
        first, second = (asyncio.create_task(ordering(sidecars, n, ids[n::2])) for n in (0, 1))
        await until(lambda: len(confirmed) >= SERVERS - 2)  # all except the two in progress
        await sidecars.kill(0)
        with suppress(OSError, AssertionError):  # the answer under way was lost with the process
            await first
        confirmed_at_kill = dict(confirmed)
        await until(lambda: any(confirmed.get(s) not in (None, confirmed_at_kill.get(s)) for s in ids[1::2]))
        second.cancel()
        for server in ids[1::2]:  # the interrupted order may be stored
            assert (await sidecars.ask(1, f"DISABLE {server}")).startswith("SUCCESS")
            confirmed[server] = True
        state = (await sidecars.ask(1, "STATE")).split()
        assert all((server in state) == out for server, out in confirmed.items()), (state, confirmed)
        assert "set aside" not in sidecars.log(0)


async def test_on_a_full_disk_a_sidecar_serves_and_reports_which_orders_are_not_stored(
    tmp_path: Path,
) -> None:
    """A file size limit simulates a full disk: the store opens but cannot grow, or does not open."""
    async with Endpoint(OK).serve() as server, fleet(tmp_path, 1) as sidecars:
        rows = [member(f"s-{n}", server.address) for n in range(2)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            for limit, opens in ((50_000, True), (3_000, False)):
                await sidecars.start(0, discovery.address, rows, file_limit=limit)
                last = ""
                for n in range(40):
                    last = await sidecars.ask(0, f"{'ENABLE' if n % 2 else 'DISABLE'} s-0")
                    assert last.startswith("SUCCESS") or "in this process only" in last
                    assert await sidecars.request(0, f"r{limit}-{n}") == 200
                assert last.startswith("FAILURE"), last
                assert ("starting without stored state" in sidecars.log(0)) != opens
                await sidecars.kill(0, wipe=True)


@pytest.mark.parametrize("stored", [0, 60, 600])
@pytest.mark.parametrize("answering", [True, False])
async def test_service_resumes_within_the_time_limit(tmp_path: Path, stored: int, answering: bool) -> None:
    async with Endpoint(OK).serve() as server, fleet(tmp_path, 4) as sidecars:
        rows = [member(f"s-{n}", server.address) for n in range(max(stored, 1))]
        async with StaticDiscovery(member_list(3, rows)).serve() as discovery:
            for n in (1, 2, 3) if answering else ():
                await sidecars.start(n, discovery.address, rows)
            ready, served = [], []
            for round_number in range(STARTS):
                sidecars.home(0).mkdir()
                if stored and (store := Store.open(sidecars.home(0), "n0")):
                    now = now_ms()
                    await store.replace_list(ListHead(2, "a"), {row["id"]: row for row in rows})
                    await store.put([Record("learned", row["id"], now, now + 60_000, "[1.5, 0.0]")
                                     for row in rows])  # fmt: skip
                    store.close()
                began = asyncio.get_running_loop().time()
                ready.append(await sidecars.start(0, CLOSED_PORT, rows[:1]))
                assert await sidecars.request(0, f"f{round_number}") == 200
                served.append(asyncio.get_running_loop().time() - began)
                await sidecars.kill(0, wipe=True)
    peers = "answer" if answering else "silent"
    print(
        f"{stored} stored, peers {peers}: READY {statistics.median(ready):.3f}, most {max(ready):.3f} s; "
        f"first served {statistics.median(served):.3f}, most {max(served):.3f} s"
    )
    assert max(ready) < MAX_WAIT_S + START_S and max(served) < max(ready) + 1.0


def _read_stored_revision(folder: Path) -> int:
    try:
        with closing(sqlite3.connect(f"file:{store_path(folder, 'n0')}?mode=ro", uri=True)) as connection:
            row = connection.execute("SELECT revision FROM list_heads").fetchone()
    except sqlite3.Error:
        return 0
    return int(row[0]) if row else 0

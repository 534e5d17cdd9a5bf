"""Real sidecar processes on a disk that is full for a while: what they took on meanwhile is stored once it
has room again, so that a restart knows it, though nobody asks for it again."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from anisespool.state.store import store_path
from tests.disk import fill, free, stored_orders
from tests.fleet import Fleet, fleet
from tests.net import OK, WAIT_TIMEOUT_S, Endpoint, StaticDiscovery, member, member_list, until
from tests.test_stored_list import stored

SERVERS = 3
TURNS = int(os.environ.get("SAILBRIDGE_TURNS", "2"))  # 40 by hand; each takes a start
REQUESTS = 20  # all draw from three servers: one that is in use gets some


class Site:
    """One sidecar, started again and again, its discovery and its servers."""

    def __init__(self, it: Fleet, discovery: StaticDiscovery, servers: list[Endpoint]) -> None:
        self.fleet, self.discovery, self.servers = it, discovery, servers
        self.rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        discovery.line = member_list(2, self.rows)

    async def start(self, file_limit: int = 0) -> None:
        await self.fleet.start(0, self.discovery.address, self.rows, file_limit=file_limit)

    async def restart(self, file_limit: int = 0) -> None:
        await self.fleet.kill(0)
        await self.start(file_limit)

    async def ask(self, line: str) -> str:
        return await self.fleet.ask(0, line)

    async def out(self) -> str:
        return (await self.ask("STATE")).partition("; ")[2]

    async def until_out(self, servers: Collection[str]) -> None:
        """The sidecar's own STATE has just these out, in time."""
        expected = f"{len(servers)} out: {' '.join(sorted(servers))}"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self.out() != expected:
                await asyncio.sleep(0.01)

    def path(self) -> Path:
        return store_path(self.fleet.home(0), "n0")

    def orders(self) -> dict[str, bool]:
        return stored_orders(self.path())

    async def used(self) -> set[int]:
        """The servers that get some of REQUESTS."""
        before = [len(server.requests) for server in self.servers]
        for n in range(REQUESTS):
            assert await self.fleet.request(0, f"r{n}") == 200
        return {n for n, server in enumerate(self.servers) if len(server.requests) > before[n]}


@asynccontextmanager
async def site(folder: Path) -> AsyncIterator[Site]:
    servers = [Endpoint(OK) for _ in range(SERVERS)]
    async with (
        servers[0].serve(), servers[1].serve(), servers[2].serve(),
        StaticDiscovery({}).serve() as discovery, fleet(folder, 1) as it,
    ):  # fmt: skip
        yield Site(it, discovery, servers)


async def test_an_order_given_on_a_full_disk_is_stored_once_there_is_room(tmp_path: Path) -> None:
    async with site(tmp_path) as it:
        await it.start()
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        fill(it.fleet, 0)
        assert "in this process only" in await it.ask("DISABLE s-0")
        assert 0 not in await it.used()
        assert it.orders() == {}
        free(it.fleet, 0)
        await until(lambda: it.orders() == {"s-0": True})
        await until(lambda: "maintenance: the orders are stored and read again\n" in it.fleet.log(0))
        await it.restart()
        assert await it.out() == "1 out: s-0"
        assert 0 not in await it.used()
        assert it.fleet.log(0).count("maintenance: the orders cannot be stored or read") == 1


async def test_of_orders_given_on_a_full_disk_the_last_of_each_server_is_stored(tmp_path: Path) -> None:
    async with site(tmp_path) as it:
        await it.start()
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        fill(it.fleet, 0)
        for line in ("DISABLE s-0", "DISABLE s-1", "ENABLE s-0", "ENABLE s-2"):
            assert "in this process only" in await it.ask(line)
        free(it.fleet, 0)
        await until(lambda: it.orders() == {"s-0": False, "s-1": True, "s-2": False})
        await it.restart()
        assert await it.out() == "1 out: s-1"


async def test_a_kill_while_the_disk_is_full_costs_nothing_that_had_its_yes(tmp_path: Path) -> None:
    async with site(tmp_path) as it:
        await it.start()
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        assert (await it.ask("DISABLE s-1")).startswith("SUCCESS")
        fill(it.fleet, 0)
        assert "in this process only" in await it.ask("ENABLE s-1")
        it.discovery.say(member_list(3, [it.rows[0] | {"phase": "draining"}], False))
        await until(lambda: "the list is not stored" in it.fleet.log(0))
        await it.restart()
        assert await it.out() == "1 out: s-1"
        assert "set aside" not in it.fleet.log(0)
        assert "starting from the stored list of revision 2\n" in it.fleet.log(0)


async def test_a_call_back_after_an_order_that_was_not_stored_is_in_force_with_its_yes(
    tmp_path: Path,
) -> None:
    """The store, which knew of no order out, took it for one that it had."""
    async with site(tmp_path) as it:
        await it.start()
        for line in ("DISABLE s-0", "ENABLE s-0"):
            assert (await it.ask(line)).startswith("SUCCESS")
        fill(it.fleet, 0)
        assert "in this process only" in await it.ask("DISABLE s-0")
        free(it.fleet, 0)
        assert await it.ask("ENABLE s-0") == "SUCCESS s-0 may serve"
        assert await it.out() == "0 out:"
        assert it.orders() == {"s-0": False}
        await it.restart()
        assert await it.out() == "0 out:"


async def test_a_repeated_order_gets_its_yes_once_it_is_stored(tmp_path: Path) -> None:
    async with site(tmp_path) as it:
        await it.start()
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        fill(it.fleet, 0)
        assert "in this process only" in await it.ask("DISABLE s-0")
        assert "in this process only" in await it.ask("DISABLE s-0")
        free(it.fleet, 0)
        assert await it.ask("DISABLE s-0") == "SUCCESS s-0 takes nothing new"
        assert it.orders() == {"s-0": True}


async def test_a_list_told_on_a_full_disk_is_stored_once_there_is_room(tmp_path: Path) -> None:
    async with site(tmp_path) as it:
        await it.start()
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        fill(it.fleet, 0)
        drained: dict[str, Any] = it.rows[0] | {"phase": "draining"}
        it.discovery.say(member_list(3, [drained], False))
        await until(lambda: "the list is not stored" in it.fleet.log(0))
        free(it.fleet, 0)
        await until(lambda: stored(it.fleet.home(0))[0] == 3)  # though discovery says nothing more
        assert stored(it.fleet.home(0))[1] == {row["id"]: row for row in [drained, *it.rows[1:]]}
        assert it.fleet.log(0).count("the list is not stored") == 1
        await until(lambda: "the list is stored again" in it.fleet.log(0))


@pytest.mark.parametrize("has_orders", [False, True])
async def test_a_store_that_could_not_be_opened_is_opened_once_there_is_room(
    tmp_path: Path, has_orders: bool
) -> None:
    """Each start fails to open it, and none has crashed: it is not set aside for that."""
    async with site(tmp_path) as it:
        if has_orders:
            await it.start()
            assert (await it.ask("DISABLE s-1")).startswith("SUCCESS")
            await it.fleet.kill(0)
        for turn in range(3):
            it.path().with_name(it.path().name + "-shm").unlink(missing_ok=True)  # to be made anew
            await it.start(file_limit=3_000)
            assert (await it.ask("STATE")).startswith("FAILURE")
            if turn < 2:
                await it.fleet.kill(0)
        assert "in this process only" in await it.ask("DISABLE s-0")
        free(it.fleet, 0)
        expected = {"s-0": True} | ({"s-1": True} if has_orders else {})
        await until(lambda: it.orders() == expected)
        await it.until_out(expected)
        assert await it.used() == {n for n in range(SERVERS) if f"s-{n}" not in expected}
        await until(lambda: stored(it.fleet.home(0))[0] == 2)
        await it.restart()
        assert await it.out() == f"{len(expected)} out: {' '.join(sorted(expected))}"
        assert "set aside" not in it.fleet.log(0)


@pytest.mark.timeout(20 + TURNS * 5)
async def test_orders_on_a_disk_that_comes_and_goes_hold_over_kills_and_end_up_stored(tmp_path: Path) -> None:
    """A yes holds over a kill; one without a yes may or may not; what is in force is stored in the end."""
    draw = random.Random(23)
    promised: dict[str, bool] = {}
    async with site(tmp_path) as it:
        await it.start()
        for _ in range(TURNS):
            await until(lambda: stored(it.fleet.home(0))[0] == 2)
            for _ in range(8):
                (fill if draw.random() < 0.5 else free)(it.fleet, 0)
                server, out = f"s-{draw.randrange(SERVERS)}", draw.random() < 0.6
                answer = await it.ask(f"{'DISABLE' if out else 'ENABLE'} {server}")
                promised.pop(server, None)
                if answer.startswith("SUCCESS"):
                    promised[server] = out
                else:
                    assert "in this process only" in answer
                    assert (server in (await it.out()).split()) == out
            await it.restart()
            held = (await it.out()).split()
            assert all((server in held) == out for server, out in promised.items()), (promised, held)
        fill(it.fleet, 0)
        in_force = {f"s-{n}": n != 1 for n in range(SERVERS)}
        for server, out in in_force.items():
            await it.ask(f"{'DISABLE' if out else 'ENABLE'} {server}")
        free(it.fleet, 0)
        await until(lambda: it.orders() == in_force)
        assert "set aside" not in it.fleet.log(0)

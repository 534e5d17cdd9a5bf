"""Sidecar processes on a temporarily full disk: orders and lists received meanwhile are stored once there is
room, without being sent again, so that a restart loads them."""

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
from tests.disk import fill_disk, free_disk, stored_orders
from tests.fleet import Fleet, fleet
from tests.net import OK, WAIT_TIMEOUT_S, Endpoint, StaticDiscovery, member, member_list, until
from tests.test_stored_list import stored_list

SERVERS = 3
ROUNDS = int(os.environ.get("SAILBRIDGE_TURNS", "2"))  # each starts a process; 40 for a long run
REQUESTS = 20  # spread over three servers, so each server in use gets some


class SidecarSetup:
    """One sidecar that can be restarted, with its discovery and its servers."""

    def __init__(self, sidecars: Fleet, discovery: StaticDiscovery, servers: list[Endpoint]) -> None:
        self.fleet, self.discovery, self.servers = sidecars, discovery, servers
        self.rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        discovery.line = member_list(2, self.rows)

    async def start(self, file_limit: int = 0) -> None:
        await self.fleet.start(0, self.discovery.address, self.rows, file_limit=file_limit)

    async def restart(self, file_limit: int = 0) -> None:
        await self.fleet.kill(0)
        await self.start(file_limit)

    async def ask(self, line: str) -> str:
        return await self.fleet.ask(0, line)

    async def disabled(self) -> str:
        return (await self.ask("STATE")).partition("; ")[2]

    async def until_disabled(self, servers: Collection[str]) -> None:
        """Waits until STATE of the sidecar reports exactly these servers as out."""
        expected = f"{len(servers)} out: {' '.join(sorted(servers))}"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self.disabled() != expected:
                await asyncio.sleep(0.01)

    def store_file(self) -> Path:
        return store_path(self.fleet.home(0), "n0")

    def orders(self) -> dict[str, bool]:
        return stored_orders(self.store_file())

    async def used_servers(self) -> set[int]:
        """Sends REQUESTS requests and returns the servers that received any."""
        before = [len(server.requests) for server in self.servers]
        for n in range(REQUESTS):
            assert await self.fleet.request(0, f"r{n}") == 200
        return {n for n, server in enumerate(self.servers) if len(server.requests) > before[n]}


@asynccontextmanager
async def sidecar_setup(folder: Path) -> AsyncIterator[SidecarSetup]:
    servers = [Endpoint(OK) for _ in range(SERVERS)]
    async with (
        servers[0].serve(), servers[1].serve(), servers[2].serve(),
        StaticDiscovery({}).serve() as discovery, fleet(folder, 1) as sidecars,
    ):  # fmt: skip
        yield SidecarSetup(sidecars, discovery, servers)


async def test_an_order_given_on_a_full_disk_is_stored_once_there_is_room(tmp_path: Path) -> None:
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        fill_disk(setup.fleet, 0)
        assert "in this process only" in await setup.ask("DISABLE s-0")
        assert 0 not in await setup.used_servers()
        assert setup.orders() == {}
        free_disk(setup.fleet, 0)
        await until(lambda: setup.orders() == {"s-0": True})
        await until(lambda: "maintenance: the orders are stored and read again\n" in setup.fleet.log(0))
        await setup.restart()
        assert await setup.disabled() == "1 out: s-0"
        assert 0 not in await setup.used_servers()
        assert setup.fleet.log(0).count("maintenance: the orders cannot be stored or read") == 1


async def test_the_last_order_of_each_server_given_on_a_full_disk_is_stored(tmp_path: Path) -> None:
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        fill_disk(setup.fleet, 0)
        for line in ("DISABLE s-0", "DISABLE s-1", "ENABLE s-0", "ENABLE s-2"):
            assert "in this process only" in await setup.ask(line)
        free_disk(setup.fleet, 0)
        await until(lambda: setup.orders() == {"s-0": False, "s-1": True, "s-2": False})
        await setup.restart()
        assert await setup.disabled() == "1 out: s-1"


async def test_a_kill_on_a_full_disk_loses_no_acknowledged_order(tmp_path: Path) -> None:
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        assert (await setup.ask("DISABLE s-1")).startswith("SUCCESS")
        fill_disk(setup.fleet, 0)
        assert "in this process only" in await setup.ask("ENABLE s-1")
        setup.discovery.say(member_list(3, [setup.rows[0] | {"phase": "draining"}], False))
        await until(lambda: "the list is not stored" in setup.fleet.log(0))
        await setup.restart()
        assert await setup.disabled() == "1 out: s-1"
        assert "set aside" not in setup.fleet.log(0)
        assert "starting from the stored list of revision 2\n" in setup.fleet.log(0)


async def test_enabling_a_server_after_an_unstored_disable_takes_effect(
    tmp_path: Path,
) -> None:
    """The store had not stored the DISABLE, so it took the ENABLE for an order that it already held."""
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        for line in ("DISABLE s-0", "ENABLE s-0"):
            assert (await setup.ask(line)).startswith("SUCCESS")
        fill_disk(setup.fleet, 0)
        assert "in this process only" in await setup.ask("DISABLE s-0")
        free_disk(setup.fleet, 0)
        assert await setup.ask("ENABLE s-0") == "SUCCESS s-0 may serve"
        assert await setup.disabled() == "0 out:"
        assert setup.orders() == {"s-0": False}
        await setup.restart()
        assert await setup.disabled() == "0 out:"


async def test_a_repeated_order_succeeds_once_it_is_stored(tmp_path: Path) -> None:
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        fill_disk(setup.fleet, 0)
        assert "in this process only" in await setup.ask("DISABLE s-0")
        assert "in this process only" in await setup.ask("DISABLE s-0")
        free_disk(setup.fleet, 0)
        assert await setup.ask("DISABLE s-0") == "SUCCESS s-0 takes nothing new"
        assert setup.orders() == {"s-0": True}


async def test_a_list_received_on_a_full_disk_is_stored_once_there_is_room(tmp_path: Path) -> None:
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        fill_disk(setup.fleet, 0)
        drained: dict[str, Any] = setup.rows[0] | {"phase": "draining"}
        setup.discovery.say(member_list(3, [drained], False))
        await until(lambda: "the list is not stored" in setup.fleet.log(0))
        free_disk(setup.fleet, 0)
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 3)  # without a further update
        assert stored_list(setup.fleet.home(0))[1] == {row["id"]: row for row in [drained, *setup.rows[1:]]}
        assert setup.fleet.log(0).count("the list is not stored") == 1
        await until(lambda: "the list is stored again" in setup.fleet.log(0))


@pytest.mark.parametrize("has_orders", [False, True])
async def test_a_store_that_could_not_be_opened_is_opened_once_there_is_room(
    tmp_path: Path, has_orders: bool
) -> None:
    """Each start fails to open the store without crashing, so the store must not be set aside."""
    async with sidecar_setup(tmp_path) as setup:
        if has_orders:
            await setup.start()
            assert (await setup.ask("DISABLE s-1")).startswith("SUCCESS")
            await setup.fleet.kill(0)
        for turn in range(3):
            # The start must recreate this file.
            setup.store_file().with_name(setup.store_file().name + "-shm").unlink(missing_ok=True)
            await setup.start(file_limit=3_000)
            assert (await setup.ask("STATE")).startswith("FAILURE")
            if turn < 2:
                await setup.fleet.kill(0)
        assert "in this process only" in await setup.ask("DISABLE s-0")
        free_disk(setup.fleet, 0)
        expected = {"s-0": True} | ({"s-1": True} if has_orders else {})
        await until(lambda: setup.orders() == expected)
        await setup.until_disabled(expected)
        assert await setup.used_servers() == {n for n in range(SERVERS) if f"s-{n}" not in expected}
        await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
        await setup.restart()
        assert await setup.disabled() == f"{len(expected)} out: {' '.join(sorted(expected))}"
        assert "set aside" not in setup.fleet.log(0)


@pytest.mark.timeout(20 + ROUNDS * 5)
async def test_orders_on_an_intermittently_full_disk_survive_kills_and_are_stored(tmp_path: Path) -> None:
    """Acknowledged orders survive a kill, others may; the orders in effect are stored in the end."""
    rng = random.Random(23)
    confirmed: dict[str, bool] = {}
    async with sidecar_setup(tmp_path) as setup:
        await setup.start()
        for _ in range(ROUNDS):
            await until(lambda: stored_list(setup.fleet.home(0))[0] == 2)
            for _ in range(8):
                (fill_disk if rng.random() < 0.5 else free_disk)(setup.fleet, 0)
                server, out = f"s-{rng.randrange(SERVERS)}", rng.random() < 0.6
                answer = await setup.ask(f"{'DISABLE' if out else 'ENABLE'} {server}")
                confirmed.pop(server, None)
                if answer.startswith("SUCCESS"):
                    confirmed[server] = out
                else:
                    assert "in this process only" in answer
                    assert (server in (await setup.disabled()).split()) == out
            await setup.restart()
            disabled = (await setup.disabled()).split()
            assert all((server in disabled) == out for server, out in confirmed.items()), (
                confirmed,
                disabled,
            )
        fill_disk(setup.fleet, 0)
        final_orders = {f"s-{n}": n != 1 for n in range(SERVERS)}
        for server, out in final_orders.items():
            await setup.ask(f"{'DISABLE' if out else 'ENABLE'} {server}")
        free_disk(setup.fleet, 0)
        await until(lambda: setup.orders() == final_orders)
        assert "set aside" not in setup.fleet.log(0)

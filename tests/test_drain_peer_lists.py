"""Peers' lists and operators' orders, before and after this sidecar's first list from discovery."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import load
from anisespool.endpoints import Endpoints
from anisespool.exchange import Answer, Call
from anisespool.peers import shared_id
from anisespool.sidecar import Sidecar
from anisespool.state.peer_lists import MAX_SHARED_ID
from anisespool.state.records import Order
from shuntlead import interface as api
from shuntlead.interface import ListForm, Status
from tests.net import Endpoint, member, member_list, until, write_config
from tests.test_endpoints import GET

COUNT, CALLS = 4, 40
NOW_MS = 10**12
PEER_REVISION = 9  # of the peers' lists


class PeerListScenario:
    """A sidecar that has started from a list with all servers up, and whose peers' lists are newer."""

    def __init__(self, folder: Path, servers: list[Endpoint]) -> None:
        self.servers, self.orders = servers, dict[str, Order]()
        self.rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        changes: dict[str, Any] = {"fleet_size": COUNT, "allowed__peers": True, "ejection": True}
        config = load(write_config(folder, servers[0].address, self.rows, **changes))
        self.names = config.names
        self.sidecar = Sidecar(config, Endpoints((), 10**9, 10**10, 64), self.orders)
        self.sidecar.apply_list(config.known, ListForm.CACHED)

    def report_peer_lists(self, *up: str) -> None:
        """Lists of two peers, which cover all servers, including those that this sidecar does not list."""
        ids = {shared_id(name) for name in up}
        for peer in (1, 2):
            self.sidecar.external.on_peer_list(
                peer, PEER_REVISION, 0, MAX_SHARED_ID, lambda shared: shared in ids
            )

    def apply_list(self, *rows: dict[str, object], complete: bool = False, revision: int = 3) -> None:
        self.sidecar.apply_list(self.names.member_list(member_list(revision, list(rows), complete)))

    async def servers_reached(self) -> set[int]:
        """The servers that receive any of the calls; all are answered."""
        before = [len(server.requests) for server in self.servers]
        answers: list[Answer] = []
        for _ in range(CALLS):
            self.sidecar.submit(Call(GET, 0, 0, 10**9, None, 0, False), answers.append)
        await until(lambda: len(answers) == CALLS)
        assert {answer.status for answer in answers} == {200}
        return {n for n, server in enumerate(self.servers) if len(server.requests) > before[n]}


async def start_scenario(stack: AsyncExitStack, folder: Path) -> PeerListScenario:
    return PeerListScenario(
        folder, [await stack.enter_async_context(Endpoint().serve()) for _ in range(COUNT)]
    )


async def test_an_order_leaves_the_peers_lists_in_force(tmp_path: Path) -> None:
    """No list has come from discovery, and an operator's order does not count as one."""
    async with AsyncExitStack() as stack:
        scenario = await start_scenario(stack, tmp_path)
        scenario.report_peer_lists("s-1", "s-2", "s-3")
        assert await scenario.servers_reached() == {1, 2, 3}
        scenario.orders["s-3"] = Order(True, NOW_MS)
        scenario.sidecar.refresh(["s-3"])
        assert await scenario.servers_reached() == {1, 2}
        scenario.apply_list(scenario.rows[0])  # discovery's list, older than the peers'
        assert await scenario.servers_reached() == {1, 2}
        scenario.apply_list(
            scenario.rows[0], revision=PEER_REVISION
        )  # discovery's list has reached the peers' revision
        assert await scenario.servers_reached() == {0, 1, 2}


@pytest.mark.parametrize("complete", [False, True])
async def test_peers_make_no_server_usable_that_the_own_list_does_not_have_as_up(
    tmp_path: Path, complete: bool
) -> None:
    async with AsyncExitStack() as stack:
        scenario = await start_scenario(stack, tmp_path)
        drains, stays = scenario.rows[0] | {"phase": "draining"}, scenario.rows[2:]
        if complete:
            scenario.apply_list(drains, *stays, complete=True)  # without s-1
        else:
            scenario.apply_list(drains, {"id": "s-1", "phase": "removed"})
        gone = scenario.sidecar.servers
        scenario.report_peer_lists("s-0", "s-1", "s-2", "s-3", "s-unlisted")
        for name in ("s-0", "s-1", "s-unlisted"):
            for peer in (1, 2):
                verdict = api.Ejection(shared_id(name), 1, Status.RESET)
                scenario.sidecar.external.on_peer_ejections(peer, [verdict])
        assert await scenario.servers_reached() == {2, 3}
        scenario.orders["s-0"] = Order(False, NOW_MS)
        scenario.orders["s-1"] = Order(False, NOW_MS)
        scenario.sidecar.refresh(["s-0", "s-1", "s-unlisted"])
        assert await scenario.servers_reached() == {2, 3} and "s-1" not in gone.numbers

"""What peers say and what operators order, before this sidecar's own first list and after it."""

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
PEERS = 9  # the revision of the peers' lists


class Scene:
    """A sidecar that has started from a list with all servers up; its peers know s-0 as not up."""

    def __init__(self, folder: Path, servers: list[Endpoint]) -> None:
        self.servers, self.orders = servers, dict[str, Order]()
        self.rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        changes: dict[str, Any] = {"fleet_size": COUNT, "allowed__peers": True, "ejection": True}
        config = load(write_config(folder, servers[0].address, self.rows, **changes))
        self.names = config.names
        self.sidecar = Sidecar(config, Endpoints((), 10**9, 10**10, 64), self.orders)
        self.sidecar.apply_list(config.known, ListForm.CACHED)

    def peers_say(self, *up: str) -> None:
        """Two peers, of all servers, those that this sidecar has not listed too."""
        ids = {shared_id(name) for name in up}
        for peer in (1, 2):
            self.sidecar.external.on_peer_list(peer, PEERS, 0, MAX_SHARED_ID, lambda shared: shared in ids)

    def list(self, *rows: dict[str, object], complete: bool = False, revision: int = 3) -> None:
        self.sidecar.apply_list(self.names.member_list(member_list(revision, list(rows), complete)))

    async def reached(self) -> set[int]:
        """The servers that some calls go to; all are answered."""
        before = [len(server.requests) for server in self.servers]
        answers: list[Answer] = []
        for _ in range(CALLS):
            self.sidecar.submit(Call(GET, 0, 0, 10**9, None, 0, False), answers.append)
        await until(lambda: len(answers) == CALLS)
        assert {answer.status for answer in answers} == {200}
        return {n for n, server in enumerate(self.servers) if len(server.requests) > before[n]}


async def started(stack: AsyncExitStack, folder: Path) -> Scene:
    return Scene(folder, [await stack.enter_async_context(Endpoint().serve()) for _ in range(COUNT)])


async def test_an_order_leaves_what_peers_lists_say_in_force(tmp_path: Path) -> None:
    """Discovery has not spoken: an operators' order is no word of its."""
    async with AsyncExitStack() as stack:
        it = await started(stack, tmp_path)
        it.peers_say("s-1", "s-2", "s-3")
        assert await it.reached() == {1, 2, 3}
        it.orders["s-3"] = Order(True, NOW_MS)
        it.sidecar.refresh(["s-3"])
        assert await it.reached() == {1, 2}
        it.list(it.rows[0])  # discovery's list, older than theirs
        assert await it.reached() == {1, 2}
        it.list(it.rows[0], revision=PEERS)  # from now on it holds
        assert await it.reached() == {0, 1, 2}


@pytest.mark.parametrize("complete", [False, True])
async def test_peers_make_nothing_usable_that_the_own_list_has_not_as_up(
    tmp_path: Path, complete: bool
) -> None:
    async with AsyncExitStack() as stack:
        it = await started(stack, tmp_path)
        drains, stays = it.rows[0] | {"phase": "draining"}, it.rows[2:]
        if complete:
            it.list(drains, *stays, complete=True)  # without s-1
        else:
            it.list(drains, {"id": "s-1", "phase": "removed"})
        gone = it.sidecar.servers
        it.peers_say("s-0", "s-1", "s-2", "s-3", "s-unlisted")
        for name in ("s-0", "s-1", "s-unlisted"):
            for peer in (1, 2):
                verdict = api.Ejection(shared_id(name), 1, Status.RESET)
                it.sidecar.external.on_peer_ejections(peer, [verdict])
        assert await it.reached() == {2, 3}
        it.orders["s-0"] = Order(False, NOW_MS)
        it.orders["s-1"] = Order(False, NOW_MS)
        it.sidecar.refresh(["s-0", "s-1", "s-unlisted"])
        assert await it.reached() == {2, 3} and "s-1" not in gone.numbers

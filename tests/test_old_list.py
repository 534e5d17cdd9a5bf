"""Sidecars whose list is stale ask their peers which servers are no longer up. Uses real processes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.fleet import fleet
from tests.net import OK, Discovery, Endpoint, StaticDiscovery, member, member_list, until

SERVED = 20


class StallingDiscovery(StaticDiscovery):
    """Its first watch sends one list and falls silent; no later call is answered."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.connections:
            self.connections.append((reader, writer))
        else:
            await super()._connected(reader, writer)


@pytest.mark.timeout(40)
async def test_a_sidecar_without_a_fresh_list_asks_its_peers_which_servers_are_down(tmp_path: Path) -> None:
    """Discovery answers its peers and hangs for it: it still applies the drain by its deadline."""
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve(), fleet(tmp_path, 3) as it:
        rows = [member("s-0", drains.address), *(member(f"s-{n}", stays.address) for n in range(1, 6))]
        async with StaticDiscovery(member_list(2, rows)).serve() as working, \
                   StallingDiscovery(member_list(2, rows)).serve() as stalling:  # fmt: skip
            for n, discovery in ((0, stalling), (1, working), (2, working)):
                await it.start(n, discovery.address, rows)
            await until(lambda: bool(stalling.connections) and len(working.connections) == 2)
            silent_at = time.monotonic()
            draining = member("s-0", drains.address, "draining")
            working.line = member_list(3, [draining, *rows[1:]])  # sent to later calls
            for _, writer in working.connections:
                Discovery.write_line(writer, member_list(3, [draining], complete=False))
            await until(lambda: "hearsay: 5 endpoints left" in it.log(0))
            heard_s = time.monotonic() - silent_at
            drains.requests.clear()
            for n in range(SERVED):
                assert await it.request(0, f"r{n}") == 200
            print(f"heard from peers {heard_s:.1f} s after the silence began")
            assert not drains.requests
            assert heard_s < 6.0

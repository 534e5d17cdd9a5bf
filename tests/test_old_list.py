"""Sidecars whose list has become old ask their peers what is no longer up. Real processes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.fleet import fleet
from tests.net import OK, Discovery, Endpoint, StaticDiscovery, member, member_list, until

SERVED = 20


class Stalls(StaticDiscovery):
    """Its first watch says one list and falls silent; no later call is answered."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.connections:
            self.connections.append((reader, writer))
        else:
            await super()._connected(reader, writer)


@pytest.mark.timeout(40)
async def test_a_sidecar_that_gets_no_fresh_list_asks_its_peers_what_is_no_longer_up(tmp_path: Path) -> None:
    """Discovery answers its peers and hangs for it: by the time at which the drain counts, it has heard."""
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve(), fleet(tmp_path, 3) as it:
        rows = [member("s-0", drains.address), *(member(f"s-{n}", stays.address) for n in range(1, 6))]
        async with StaticDiscovery(member_list(2, rows)).serve() as works, \
                   Stalls(member_list(2, rows)).serve() as stalls:  # fmt: skip
            for n, discovery in ((0, stalls), (1, works), (2, works)):
                await it.start(n, discovery.address, rows)
            await until(lambda: bool(stalls.connections) and len(works.connections) == 2)
            silent_at = time.monotonic()
            draining = member("s-0", drains.address, "draining")
            works.line = member_list(3, [draining, *rows[1:]])  # to later calls
            for _, writer in works.connections:
                Discovery.write_line(writer, member_list(3, [draining], complete=False))
            await until(lambda: "hearsay: 5 endpoints left" in it.log(0))
            heard_s = time.monotonic() - silent_at
            drains.requests.clear()
            for n in range(SERVED):
                assert await it.request(0, f"r{n}") == 200
            print(f"heard of peers {heard_s:.1f} s after the silence")
            assert not drains.requests
            assert heard_s < 6.0

"""A sidecar in this process with two servers and discovery, whose traffic an observer checks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from time import monotonic
from typing import Any

from anisespool.endpoints.pool import REUSE_DELAY_S
from tests.net import OK, Harness, Peer, exchange, harness, member, member_list, until
from tests.observer import Observer, Server

FULL = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


class DrainScenario:
    """Two servers, s-0 and s-1, and the list that the test sends."""

    def __init__(self, sidecar: Harness, observer: Observer, servers: tuple[Peer, Peer]) -> None:
        self.sidecar, self.observer, self.servers, self.revision = sidecar, observer, servers, 1

    def row(self, n: int, phase: str = "up", **fields: Any) -> dict[str, Any]:
        return member(f"s-{n}", self.servers[n].address, phase, **fields)

    async def send_update(self, *rows: dict[str, Any], complete: bool = False) -> None:
        """Send a change, or a full list, and wait until the sidecar has applied it."""
        await until(lambda: bool(self.sidecar.discovery.connections))
        self.revision += 1
        self.observer.send_update(self.sidecar.discovery, member_list(self.revision, list(rows), complete))
        await self.wait_until_applied()

    async def wait_until_applied(self) -> None:
        await until(lambda: self.sidecar.service._sidecar.servers.revision == self.revision)

    async def drain(self, n: int) -> None:
        """Drain server N and wait until the grace period is over."""
        await self.send_update(self.row(n, "draining"))
        await self.wait_for_grace()

    async def wait_for_grace(self) -> None:
        await until(lambda: self.observer.grace_is_over)

    async def wait_until_reusable(self) -> None:
        """Wait until the connections that are idle now may be reused."""
        due = monotonic() + REUSE_DELAY_S
        await until(lambda: monotonic() > due)

    async def call(self, trace: str, **fields: Any) -> int:
        """Send one request and return the status of its answer."""
        return (await exchange(self.sidecar.address, self.observer.call(trace, **fields))).status

    def start(self, trace: str, **fields: Any) -> asyncio.Task[int]:
        return asyncio.create_task(self.call(trace, **fields))

    def check(self) -> None:
        violations = self.observer.violations()
        assert not violations, violations


@asynccontextmanager
async def drain_scenario(
    folder: Path, first: Peer | Any = OK, second: Peer | Any = OK, **changes: Any
) -> AsyncIterator[DrainScenario]:
    """`first`, `second`: what the servers answer, or test servers that are already listening."""
    observer = Observer()
    async with AsyncExitStack() as stack:
        peers = [
            server if isinstance(server, Peer)
            else await stack.enter_async_context(Server(observer, f"s-{n}", server).serve())
            for n, server in enumerate((first, second))
        ]  # fmt: skip
        sidecar = await stack.enter_async_context(harness(folder, *peers, **changes))
        scenario = DrainScenario(sidecar, observer, (peers[0], peers[1]))
        observer.record_list(member_list(1, [scenario.row(0), scenario.row(1)]))
        yield scenario
        scenario.check()

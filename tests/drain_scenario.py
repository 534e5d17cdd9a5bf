"""A sidecar in this process with two servers and discovery, under the eyes of an observer."""

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


class Scene:
    """Two servers, s-0 and s-1, and the list as the test tells it."""

    def __init__(self, it: Harness, seen: Observer, servers: tuple[Peer, Peer]) -> None:
        self.it, self.seen, self.servers, self.revision = it, seen, servers, 1

    def row(self, n: int, phase: str = "up", **fields: Any) -> dict[str, Any]:
        return member(f"s-{n}", self.servers[n].address, phase, **fields)

    async def tell(self, *rows: dict[str, Any], complete: bool = False) -> None:
        """Write a change, or a whole list, and wait until the sidecar has read it."""
        await until(lambda: bool(self.it.discovery.connections))
        self.revision += 1
        self.seen.tell(self.it.discovery, member_list(self.revision, list(rows), complete))
        await self.read()

    async def read(self) -> None:
        await until(lambda: self.it.service._sidecar.servers.revision == self.revision)

    async def out(self, n: int) -> None:
        """Server N drains, and the grace passes."""
        await self.tell(self.row(n, "draining"))
        await self.grace()

    async def grace(self) -> None:
        await until(lambda: self.seen.grace_is_over)

    async def rested(self) -> None:
        """Until the connections that are idle now may carry a request."""
        due = monotonic() + REUSE_DELAY_S
        await until(lambda: monotonic() > due)

    async def call(self, trace: str, **fields: Any) -> int:
        """The status of one request's answer."""
        return (await exchange(self.it.address, self.seen.call(trace, **fields))).status

    def start(self, trace: str, **fields: Any) -> asyncio.Task[int]:
        return asyncio.create_task(self.call(trace, **fields))

    def check(self) -> None:
        found = self.seen.violations()
        assert not found, found


@asynccontextmanager
async def scene(
    folder: Path, first: Peer | Any = OK, second: Peer | Any = OK, **changes: Any
) -> AsyncIterator[Scene]:
    """`first`, `second`: how the servers answer, or stand-ins that are already being served."""
    seen = Observer()
    async with AsyncExitStack() as stack:
        peers = [
            given if isinstance(given, Peer)
            else await stack.enter_async_context(Server(seen, f"s-{n}", given).serve())
            for n, given in enumerate((first, second))
        ]  # fmt: skip
        it = await stack.enter_async_context(harness(folder, *peers, **changes))
        found = Scene(it, seen, (peers[0], peers[1]))
        seen.listed(member_list(1, [found.row(0), found.row(1)]))
        yield found
        found.check()

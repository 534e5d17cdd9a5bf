"""Discovery answers one sidecar of a fleet and refuses the others, as on 2026-12-02. Real processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.fleet import Fleet, fleet
from tests.net import (
    OK,
    Discovery,
    Endpoint,
    StaticDiscovery,
    member,
    member_list,
    read_request,
    reset,
    until,
)
from tests.observer import GRACE_S

FLEET, SERVERS = 4, 6
TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
REQUESTS = 40


class Crowded(StaticDiscovery):
    """Answers calls until it is told to refuse them."""

    def __init__(self, line: dict[str, Any], ending: str) -> None:
        super().__init__(line)
        self._ending, self._refuses, self.refused = ending, False, 0

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._refuses:
            await super()._connected(reader, writer)
            return
        await read_request(reader)
        self.refused += 1
        if self._ending == "503":
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        else:
            reset(writer)

    def refuse(self) -> None:
        """From now on, and the watches end in place of telling what changes."""
        self._refuses = True
        for _, writer in self.connections:
            writer.transport.abort()


@asynccontextmanager
async def scene(folder: Path, ending: str, out: int) -> AsyncIterator[tuple[Fleet, list[Endpoint], float]]:
    """A fleet of which discovery tells sidecar 1 alone that the first servers drain; since when that counts
    as told to all."""
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Endpoint(OK).serve()) for _ in range(SERVERS)]
        it = await stack.enter_async_context(fleet(folder, FLEET))
        rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        answered = await stack.enter_async_context(StaticDiscovery(member_list(2, rows)).serve())
        crowded = await stack.enter_async_context(Crowded(member_list(2, rows), ending).serve())
        for n in range(FLEET):
            await it.start(n, answered.address if n == 1 else crowded.address, rows)
        await until(lambda: len(answered.connections) == 1 and len(crowded.connections) == FLEET - 1)
        changed_s = time.monotonic()
        draining = [row | {"phase": "draining"} for row in rows[:out]]
        Discovery.write_line(answered.connections[0][1], member_list(3, draining, complete=False))
        crowded.refuse()
        yield it, servers, changed_s + TOLD_S + GRACE_S
        assert crowded.refused


@pytest.mark.timeout(60)
@pytest.mark.parametrize("out", [1, SERVERS - 1])
@pytest.mark.parametrize("ending", ["503", "reset"])
async def test_what_one_peer_was_told_is_out_for_all_by_the_time_at_which_it_counts(
    tmp_path: Path, ending: str, out: int
) -> None:
    """However the calls end, and however many servers are out."""
    async with scene(tmp_path, ending, out) as (it, servers, counts_s):
        await until(lambda: time.monotonic() > counts_s)
        for server in servers:
            server.requests.clear()
        for n in range(REQUESTS):
            assert await it.request(0, f"r{n}") == 200
        late = [len(server.requests) for server in servers[:out]]
        assert not any(late), f"requests to servers that drain: {late} of {REQUESTS}"

"""Discovery answers one sidecar of a fleet and refuses the others, as on 2026-12-02. Uses real processes."""

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
LIST_DEADLINE_S = 6.0  # after discovery has a change and is reachable
REQUESTS = 40


class OverloadedDiscovery(StaticDiscovery):
    """Answers calls until `refuse` is called."""

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
        """Refuse calls from now on, and end the watches without sending the change."""
        self._refuses = True
        for _, writer in self.connections:
            writer.transport.abort()


@asynccontextmanager
async def overloaded_fleet(
    folder: Path, ending: str, draining_count: int
) -> AsyncIterator[tuple[Fleet, list[Endpoint], float]]:
    """A fleet in which discovery reports the drain of the first servers to sidecar 1 alone. Also yields the
    time by which all sidecars must apply it."""
    async with AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(Endpoint(OK).serve()) for _ in range(SERVERS)]
        sidecars = await stack.enter_async_context(fleet(folder, FLEET))
        rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
        reachable = await stack.enter_async_context(StaticDiscovery(member_list(2, rows)).serve())
        overloaded = await stack.enter_async_context(
            OverloadedDiscovery(member_list(2, rows), ending).serve()
        )
        for n in range(FLEET):
            await sidecars.start(n, reachable.address if n == 1 else overloaded.address, rows)
        await until(lambda: len(reachable.connections) == 1 and len(overloaded.connections) == FLEET - 1)
        changed_s = time.monotonic()
        draining = [row | {"phase": "draining"} for row in rows[:draining_count]]
        Discovery.write_line(reachable.connections[0][1], member_list(3, draining, complete=False))
        overloaded.refuse()
        yield sidecars, servers, changed_s + LIST_DEADLINE_S + GRACE_S
        assert overloaded.refused


@pytest.mark.timeout(60)
@pytest.mark.parametrize("draining_count", [1, SERVERS - 1])
@pytest.mark.parametrize("ending", ["503", "reset"])
async def test_a_drain_reported_to_one_sidecar_applies_to_all_by_its_deadline(
    tmp_path: Path, ending: str, draining_count: int
) -> None:
    """However the calls end, and however many servers drain."""
    async with overloaded_fleet(tmp_path, ending, draining_count) as (sidecars, servers, deadline_s):
        await until(lambda: time.monotonic() > deadline_s)
        for server in servers:
            server.requests.clear()
        for n in range(REQUESTS):
            assert await sidecars.request(0, f"r{n}") == 200
        late = [len(server.requests) for server in servers[:draining_count]]
        assert not any(late), f"requests to draining servers: {late} of {REQUESTS}"

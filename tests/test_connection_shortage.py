"""Connections to servers that run short are this process's own shortage, and no server's fault."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from time import monotonic

import pytest

from tests.crowd_clients import upload
from tests.limited_process import LOG_NAME, Limits, limited_process
from tests.net import exchange, raw_call
from tests.test_long import BodySink

SOCKETS, MEMORY_MB = 256, 64
CROWD = 90  # more than the third of the descriptors that is for servers, fewer than what clients may have
HALF_BYTES, LONG_BYTES = 500_000, 1_000_000
CALLS = 30
SLOW_FIELD = b"GET /look/1 HTTP/1.1\r\n"  # and nothing that ends the head


@pytest.mark.timeout(60)
async def test_servers_are_blamed_for_uploads_that_stopped_half_way_and_take_all_connections(
    tmp_path: Path,
) -> None:
    async with limited_process(tmp_path, BodySink, Limits(MEMORY_MB, SOCKETS, 2.0, 1.5)) as process:
        crowd = [await asyncio.open_connection(*process.address) for _ in range(CROWD)]
        for n, (_, writer) in enumerate(crowd):
            writer.write(upload(n, LONG_BYTES)[:HALF_BYTES])
        await asyncio.sleep(0.5)
        calls = (exchange(process.address, raw_call("look", f"c{n}")) for n in range(CALLS))
        statuses = [response.status for response in await asyncio.gather(*calls)]
        assert statuses == [200] * CALLS
        for _, writer in crowd:
            writer.transport.abort()
    log = (tmp_path / LOG_NAME).read_text()
    assert "CONNECT_FAILED" not in log and "Too many open files" not in log


@pytest.mark.timeout(60)
async def test_clients_that_write_slowly_take_the_descriptors_that_are_for_servers(tmp_path: Path) -> None:
    """They could not be evicted, and every connection was accepted."""
    async with limited_process(tmp_path, BodySink, Limits(MEMORY_MB, SOCKETS, 2.0, 1.5)) as process:
        crowd = []
        for _ in range(SOCKETS):
            crowd.append(await asyncio.open_connection(*process.address))
            crowd[-1][1].write(SLOW_FIELD)
        until_s, most, began_s = monotonic() + 1.5, 0, monotonic()
        assert (await exchange(process.address, raw_call())).status in (200, 503)  # it does not wait
        assert monotonic() - began_s < 0.5
        while monotonic() < until_s:
            for _, writer in crowd:
                if not writer.is_closing():
                    writer.write(SLOW_FIELD)
            await asyncio.sleep(0.1)
            most = max(most, len(os.listdir(f"/proc/{process.pid}/fd")))
        assert most < SOCKETS - SOCKETS // 3
        for _, writer in crowd:
            writer.transport.abort()
        assert (await exchange(process.address, raw_call())).status == 200
    assert "Too many open files" not in (tmp_path / LOG_NAME).read_text()

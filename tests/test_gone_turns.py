"""Clients that disconnect while their requests wait for their key's turn, or while the process is stalled."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.drain_scenario import FULL, drain_scenario
from tests.net import OK, Streams, until
from tests.observer import CANCEL_LIMIT_S
from tests.support import SECOND
from tests.test_gone import WAYS

IN_ORDER = {"target-ns": 2 * SECOND, "deadline-ns": 2 * SECOND, "effect": "by_key", "worth": 1.0,
            "dedup-scope": "all", "dedup-window-ns": SECOND, "in-order": True}  # fmt: skip
KEY = "X-Props: key=7\r\nIdempotency-Key: k{}\r\n"
STALL_S = 0.15


@pytest.mark.parametrize("leave", WAYS)
async def test_client_gone_before_its_keys_turn_gets_no_attempt_and_blocks_no_other(
    tmp_path: Path, leave: Callable[..., None]
) -> None:
    waiting: list[Streams] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting.append((reader, writer))

    classes = [dict(IN_ORDER) for _ in range(3)]
    async with drain_scenario(tmp_path, hold, request_classes=classes) as it:
        await it.send_update(it.row(1, "draining"))
        first = it.start("t0", cls="keyed", headers=KEY.format(0))
        await until(lambda: len(waiting) == 1)
        _, leaving_client = await asyncio.open_connection(*it.sidecar.address)
        leaving_client.write(it.observer.call("t1", cls="keyed", headers=KEY.format(1)))
        await until(lambda: it.sidecar.service.open == 2)
        last = it.start("t2", cls="keyed", headers=KEY.format(2))
        await until(lambda: it.sidecar.service.open == 3)
        leave(leaving_client)
        it.observer.client_closed("t1")
        await until(lambda: it.sidecar.service.open == 2)
        waiting.pop()[1].write(OK)
        await until(lambda: len(waiting) == 1)
        waiting.pop()[1].write(OK)
        assert (await first, await last) == (200, 200)
        assert it.observer.traces("s-0") == ["t0", "t2"]


@pytest.mark.parametrize("cls", ["look", "keyed", "once"])
async def test_client_gone_during_a_stall_gets_no_retry(tmp_path: Path, cls: str) -> None:
    """The server's answer that would cause a retry also arrives during the stall."""
    waiting: list[Streams] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting.append((reader, writer))

    async with drain_scenario(tmp_path, hold, hold) as it:
        client = socket.create_connection(it.sidecar.address)
        client.sendall(it.observer.call("left", cls))
        await until(lambda: len(waiting) == 1)
        waiting.pop()[1].write(FULL)
        client.close()
        it.observer.client_closed("left")
        time.sleep(STALL_S)
        await until(lambda: it.sidecar.service.open == 0)
        due = time.monotonic() + CANCEL_LIMIT_S
        await until(lambda: time.monotonic() > due)
        assert [r.trace for r in it.observer.receipts] == ["left"]


async def test_failures_of_one_server_and_one_client_affect_no_other_answer(tmp_path: Path) -> None:
    """One server resets all its connections and one client disconnects; all other requests are answered."""
    broken: list[Streams] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        broken.append((reader, writer))

    async with drain_scenario(tmp_path, hold) as it:
        names = [(f"{cls}{n}", cls) for cls in ("look", "keyed", "once") for n in range(8)]
        calls = {trace: it.start(trace, cls=cls) for trace, cls in names}
        _, leaving_client = await asyncio.open_connection(*it.sidecar.address)
        leaving_client.write(it.observer.call("leaver", "once"))
        await until(
            lambda: len(broken) > 2 and len({r.trace for r in it.observer.receipts}) == len(calls) + 1
        )
        leaving_client.transport.abort()
        it.observer.client_closed("leaver")
        for _, writer in broken:
            writer.transport.abort()
        statuses = {trace: await call for trace, call in calls.items()}
        at_broken = set(it.observer.traces("s-0"))
        assert set(statuses.values()) <= {200, 502, 503}
        assert all(status == 200 for trace, status in statuses.items() if trace not in at_broken)
        assert all(statuses[t] == 502 for t in at_broken if t.startswith("once"))

"""What servers are told of the time that a client has left, and attempts whose time is over."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from anisespool.sidecar import Sidecar
from shuntlead import interface as api
from tests.drains import FULL, scene
from tests.net import until

WAIT_S = 0.4  # well over what an observer allows


async def test_an_attempt_whose_time_is_over_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process stands still between the decision and the attempt, past the client's time."""
    send, stalls = Sidecar._send, list[float]()

    def stalled(self: Sidecar, action: api.Send) -> None:
        if stalls:
            time.sleep(stalls.pop())
        send(self, action)

    monkeypatch.setattr(Sidecar, "_send", stalled)
    async with scene(tmp_path) as it:
        await it.tell(it.row(1, "draining"))
        assert await it.call("first", left_ms=200) == 200
        await it.rested()
        stalls.append(0.3)
        status = await it.call("late", left_ms=200)
        assert status == 503 and it.seen.traces("s-0") == ["first"]


async def test_an_attempt_whose_connection_comes_up_too_late_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = asyncio.get_running_loop()
    connect = loop.create_connection
    async with scene(tmp_path) as it:
        await it.tell(it.row(1, "draining"))

        async def late(factory: Any, host: str, port: int, **fields: Any) -> Any:
            made = await connect(factory, host, port, **fields)
            if port == it.servers[0].address.port:
                time.sleep(0.3)  # so the timer of the attempt has not run yet
            return made

        monkeypatch.setattr(loop, "create_connection", late)
        assert await it.call("late", left_ms=200) == 503
        assert not it.seen.receipts


@pytest.mark.parametrize("cls", ["look", "keyed", "once"])
async def test_a_further_attempt_is_told_what_the_first_has_left(tmp_path: Path, cls: str) -> None:
    async def turn_away_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WAIT_S)
        writer.write(FULL)

    async with scene(tmp_path, turn_away_late, turn_away_late) as it:
        await it.call("again", cls=cls, left_ms=1900)
        told = [receipt.told_ms for receipt in it.seen.receipts]
        assert len(told) > 1 and told[1] < 1900 - WAIT_S * 1000


@pytest.mark.parametrize("cls", ["look", "keyed", "once"])
async def test_a_held_request_is_told_what_is_left_of_its_time(tmp_path: Path, cls: str) -> None:
    async with scene(tmp_path) as it:
        await it.tell(it.row(0, "draining"), it.row(1, "draining"))
        held = it.start("held", cls=cls, left_ms=1900)
        await until(lambda: it.it.service.open == 1)
        due = time.monotonic() + WAIT_S
        await until(lambda: time.monotonic() > due)
        await it.tell(it.row(1))
        assert await held == 200
        assert it.seen.receipts[0].told_ms < 1900 - WAIT_S * 1000

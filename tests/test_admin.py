"""The admin address: one request line and one response line per connection, for any caller behaviour."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from time import monotonic

import pytest

from anisespool import admin
from anisespool.admin import Admin
from anisespool.config import Address
from anisespool.errors import UnknownServer
from anisespool.front.listener import open_listener

CALL_S = 1.0  # maximum response time


async def call(address: Address, data: bytes, *, end: bool = False) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        if end:
            writer.write_eof()
        return await reader.read()
    finally:
        writer.close()


async def until_ready(admin: Address) -> None:
    """Wait until READY succeeds at this admin address."""
    while True:
        try:
            if (await call(admin, b"READY\n")).startswith(b"SUCCESS"):
                return
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def operators_address() -> AsyncIterator[tuple[Address, list[str]]]:
    asked: list[str] = []

    async def ready(argument: str) -> str:
        asked.append("READY")
        return "serving"

    async def disable(server: str) -> str:
        asked.append(server)
        if server != "s-1":
            raise UnknownServer(f"no server {server}")
        return "done"

    it = Admin({"READY": ready, "DISABLE ": disable}, lambda: None)
    try:
        yield it.listen(open_listener(Address("127.0.0.1", 0), 16)), asked
    finally:
        it.close()


@pytest.mark.parametrize(
    ("line", "answer", "asked"),
    [
        (b"READY\n", b"SUCCESS serving\n", ["READY"]),
        (b"READY\r\n", b"SUCCESS serving\n", ["READY"]),
        (b"READY\nDISABLE s-1\n", b"SUCCESS serving\n", ["READY"]),  # one line per connection
        (b"DISABLE s-1\n", b"SUCCESS done\n", ["s-1"]),
        (b"DISABLE s-9\n", b"FAILURE no server s-9 [UnknownServer: ", ["s-9"]),
        (b"DISABLE\n", b"FAILURE DISABLE takes the id of a server", []),
        (b"READY now\n", b"FAILURE READY takes nothing more", []),
        (b"DISABLE s-1 s-2\n", b"FAILURE", []),
        (b"STOP\n", b"FAILURE no such call; there are READY, DISABLE", []),
        (b"\n", b"FAILURE", []),
        (b"\xff\xfe\n", b"FAILURE", []),
        (b"DISABLE \x1b[2J\n", b"FAILURE", []),
        (b"DISABLE " + b"x" * 600 + b"\n", b"FAILURE", []),
        (b"x" * 200_000, b"FAILURE", []),
    ],
)
async def test_a_line_gets_one_line_and_the_end(line: bytes, answer: bytes, asked: list[str]) -> None:
    async with operators_address() as (address, received):
        got = await call(address, line)
        assert got.startswith(answer) and got.count(b"\n") == 1 and got.endswith(b"\n")
        assert received == asked


async def test_a_line_may_come_in_pieces_or_end_with_the_callers_side() -> None:
    async with operators_address() as (address, _):
        assert await call(address, b"READY", end=True) == b"SUCCESS serving\n"
        reader, writer = await asyncio.open_connection(*address)
        for byte in b"DISABLE s-1\n":
            writer.write(bytes((byte,)))
            await asyncio.sleep(0.002)
        assert await reader.read() == b"SUCCESS done\n"
        writer.close()


async def test_callers_that_finish_no_call_delay_nobody_and_are_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(admin, "CALL_TIMEOUT_S", 0.3)
    async with operators_address() as (address, _):
        began = monotonic()
        silent = [await asyncio.open_connection(*address) for _ in range(3 * admin.MAX_CALLERS)]
        silent[-1][1].write(b"REA")
        assert await call(address, b"READY\n") == b"SUCCESS serving\n"
        assert monotonic() - began < CALL_S
        ends = await asyncio.gather(*(reader.read() for reader, _ in silent), return_exceptions=True)
        assert monotonic() - began < 0.3 + CALL_S
        assert str(ends[-1]).startswith("b'FAILURE") and len(ends) == len(silent)
        for _, writer in silent:
            writer.close()


async def test_a_call_that_waits_is_not_ended_for_those_that_have_had_their_answer() -> None:
    """A DISABLE is pending while other callers send READY repeatedly."""
    release = asyncio.Event()

    async def order(argument: str) -> str:
        await release.wait()
        return "done"

    async def ready(argument: str) -> str:
        return "serving"

    it = Admin({"READY": ready, "DISABLE ": order}, lambda: None)
    address = it.listen(open_listener(Address("127.0.0.1", 0), 16))
    waiting = asyncio.create_task(call(address, b"DISABLE s-1\n"))
    while not it.connections:
        await asyncio.sleep(0.001)
    for _ in range(3 * admin.MAX_CALLERS):
        assert await call(address, b"READY\n") == b"SUCCESS serving\n"
    release.set()
    assert await waiting == b"SUCCESS done\n"
    it.close()

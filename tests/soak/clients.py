"""Clients' stand-ins: each keeps its connection for as long as it stays open, one request at a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from time import monotonic

from anisespool import http1
from anisespool.config import Address
from tests.net import raw_call
from tests.soak.plan import Plan
from tests.soak.record import Asked, End, Record

CLASSES = ("look", "look", "keyed", "once")
GIVE_UP_S = 1.0  # past a request's time
AGAIN_S = 0.05  # between two tries to connect


class Client:
    def __init__(
        self, process: int, number: int, plan: Plan, record: Record, place: Callable[[], tuple[Address, int]]
    ) -> None:
        """`place`: where its sidecar listens at present, and which life of it that is."""
        self._process, self._name, self._plan, self._record = process, f"{process}-{number}", plan, record
        self._place, self._count = place, 0
        self._rng = random.Random(f"{plan.seed}-client-{self._name}")

    async def run(self) -> None:
        """For good."""
        while True:
            address, life = self._place()
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(AGAIN_S)
                continue
            try:
                await self._converse(reader, writer, life)
            finally:
                writer.transport.abort()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, life: int) -> None:
        """Until the connection ends."""
        is_first = True
        while not reader.at_eof():
            await asyncio.sleep(self._rng.expovariate(1 / self._plan.think_s))
            if reader.at_eof() or writer.is_closing():
                return
            asked = self._ask(writer, life, is_first)
            leaves_s = self._rng.uniform(0.0, asked.left_s) if self._rng.random() < self._plan.leaves else 0.0
            await self._answer(asked, reader, leaves_s)
            if asked.end is not End.ANSWERED:
                return
            is_first = False

    def _ask(self, writer: asyncio.StreamWriter, life: int, is_first: bool) -> Asked:
        self._count += 1
        trace, cls = f"{self._name}-{self._count}", self._rng.choice(CLASSES)
        left_s = self._plan.deadline_s * self._rng.uniform(0.5, 1.0)
        headers = f"Idempotency-Key: {trace}\r\n" if cls == "keyed" else ""
        writer.write(raw_call(cls, trace, int(left_s * 1000), b"ok" if cls != "look" else b"", headers))
        asked = Asked(trace, cls, self._process, life, monotonic(), int(left_s * 1000) / 1000, is_first)
        self._record.asked[trace] = asked
        return asked

    async def _answer(self, asked: Asked, reader: asyncio.StreamReader, leaves_s: float) -> None:
        parser, end = http1.ResponseParser(), End.CLOSED
        try:
            async with asyncio.timeout(leaves_s or asked.left_s + GIVE_UP_S):
                while data := await reader.read(65536):
                    if response := parser.feed(data):
                        end, asked.status = End.ANSWERED, response.status
                        break
        except TimeoutError:
            end = End.LEFT if leaves_s else End.CLOSED
        except OSError:
            asked.was_reset = True
        asked.end, asked.end_s = end, monotonic()


async def crowd(address: Address, count: int, length_s: float) -> None:
    """Idle clients, and some that write what is no request."""
    writers: list[asyncio.StreamWriter] = []
    try:
        for n in range(count):
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*address)
                writers.append(writer)
                if n % 5 == 0:
                    writer.write(b"GET /look HT\x00P\r\n\r\n")
        await asyncio.sleep(length_s)
    finally:
        for writer in writers:
            writer.transport.abort()

"""Fake clients: each keeps its connection open and sends one request at a time."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import suppress
from time import monotonic

from anisespool import http1
from anisespool.config import Address
from tests.net import raw_call
from tests.soak.plan import Plan
from tests.soak.record import ClientRequest, End, Record

CLASSES = ("look", "look", "keyed", "once")
CLIENT_TIMEOUT_SLACK_S = 1.0  # after a request's deadline
RECONNECT_S = 0.05  # between connection attempts
TCP_CLOSE = 7  # in struct tcp_info, the state of a connection that was reset


def is_reset(client: socket.socket) -> bool:
    """Whether a reset has arrived, also behind an orderly end of the input: the other side had closed the
    connection before it read the last bytes written to it."""
    return client.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE


class Client:
    def __init__(
        self, process: int, number: int, plan: Plan, record: Record, locate: Callable[[], tuple[Address, int]]
    ) -> None:
        """`locate` returns the current address of the sidecar and the index of its process run."""
        self._process, self._name, self._plan, self._record = process, f"{process}-{number}", plan, record
        self._locate, self._count = locate, 0
        self._rng = random.Random(f"{plan.seed}-client-{self._name}")

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            address, run_index = self._locate()
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._exchange(reader, writer, run_index)
            finally:
                writer.transport.abort()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, run_index: int
    ) -> None:
        """Sends requests until the connection ends."""
        is_first_on_connection = True
        while not reader.at_eof():
            await asyncio.sleep(self._rng.expovariate(1 / self._plan.think_s))
            if reader.at_eof() or writer.is_closing():
                return
            request = self._ask(writer, run_index, is_first_on_connection)
            abandon_after_s = (
                self._rng.uniform(0.0, request.left_s)
                if self._rng.random() < self._plan.abandon_rate
                else 0.0
            )
            await self._answer(request, reader, abandon_after_s)
            if request.end is End.CLOSED and not writer.is_closing():
                request.was_reset = request.was_reset or is_reset(writer.get_extra_info("socket"))
            if request.end is not End.ANSWERED:
                return
            is_first_on_connection = False

    def _ask(
        self, writer: asyncio.StreamWriter, run_index: int, is_first_on_connection: bool
    ) -> ClientRequest:
        self._count += 1
        trace, cls = f"{self._name}-{self._count}", self._rng.choice(CLASSES)
        left_s = self._plan.deadline_s * self._rng.uniform(0.5, 1.0)
        headers = f"Idempotency-Key: {trace}\r\n" if cls == "keyed" else ""
        writer.write(raw_call(cls, trace, int(left_s * 1000), b"ok" if cls != "look" else b"", headers))
        request = ClientRequest(
            trace,
            cls,
            self._process,
            run_index,
            monotonic(),
            int(left_s * 1000) / 1000,
            is_first_on_connection,
        )
        self._record.requests[trace] = request
        return request

    async def _answer(
        self, request: ClientRequest, reader: asyncio.StreamReader, abandon_after_s: float
    ) -> None:
        parser, end = http1.ResponseParser(), End.CLOSED
        try:
            async with asyncio.timeout(abandon_after_s or request.left_s + CLIENT_TIMEOUT_SLACK_S):
                while data := await reader.read(65536):
                    if response := parser.feed(data):
                        end, request.status = End.ANSWERED, response.status
                        break
        except TimeoutError:
            end = End.LEFT if abandon_after_s else End.CLOSED
        except OSError:
            request.was_reset = True
        request.end, request.end_s = end, monotonic()


async def open_idle_connections(address: Address, count: int, length_s: float) -> None:
    """Opens idle connections, some of which send a malformed request."""
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

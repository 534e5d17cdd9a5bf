"""Fake servers: each records when the first byte of every request arrives."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress

from anisespool import http1
from anisespool.config import Address
from tests.net import free_port
from tests.soak.record import Received, Record

WORK_S = 0.015  # mean service time
OK = b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=0\r\nContent-Length: 2\r\n\r\nok"
TURNED_AWAY = b"HTTP/1.1 503 Draining\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


class Server:
    """A server that keeps its id and address across restarts."""

    def __init__(self, number: int, seed: int, record: Record) -> None:
        self.number, self.address = number, Address("127.0.0.1", free_port())
        self.start_ms = 0  # start time of its process; 0: long ago
        self.is_draining = self.hangs = False
        self._rng, self._record = random.Random(f"{seed}-server-{number}"), record
        self._listening: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def id(self) -> str:
        return f"s-{self.number}"

    async def open(self) -> None:
        self._listening = await asyncio.start_server(self._connected, *self.address, backlog=256)

    def stop(self) -> None:
        """Simulates the end of its process: resets connections and refuses new ones."""
        if self._listening:
            self._listening.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self) -> None:
        self.start_ms, self.is_draining, self.hangs = time.time_ns() // 1_000_000, False, False
        await self.open()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock: socket.socket = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._writers.add(writer)
        try:
            with suppress(OSError, EOFError):
                await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, receipt = http1.RequestParser(), None
        while data := await reader.read(65536):
            if receipt is None:
                receipt = self._receipt()
            for request in parser.feed(data):
                receipt = receipt or self._receipt()
                receipt.trace = request.headers[b"x-trace-id"].decode()
                receipt.announced_s = int(request.headers[b"x-expires-in-ms"]) / 1000
                if self.hangs:
                    await reader.read()
                    return
                turns_away = receipt.never_ran = self.is_draining
                receipt = None
                if not turns_away:
                    await asyncio.sleep(self._rng.expovariate(1 / WORK_S))
                writer.write(TURNED_AWAY if turns_away else OK)

    def _receipt(self) -> Received:
        receipt = Received(self.number, self.start_ms, asyncio.get_running_loop().time())
        self._record.received.append(receipt)
        return receipt

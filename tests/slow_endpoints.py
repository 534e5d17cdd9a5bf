"""Scripted endpoints that take their time, or read nothing."""

from __future__ import annotations

import asyncio

from tests.net import OK, Endpoint, Peer

LONG_ANSWER_BYTES = 4 << 20


class SlowEndpoint(Endpoint):
    """Takes a second for each request, and gives a long answer to each `look`."""

    def __init__(self) -> None:
        super().__init__(self._respond)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.requests[-1].method != b"GET":
            await asyncio.sleep(1.0)
            writer.write(OK)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
        for _ in range(LONG_ANSWER_BYTES >> 16):
            writer.write(b"x" * 65536)
            await writer.drain()


class SlowAnswerEndpoint(Endpoint):
    """Gives all but the last byte of an answer that is short enough to be buffered, and then waits."""

    def __init__(self) -> None:
        super().__init__(self._respond)

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n" + b"x" * 64_999)
        await asyncio.sleep(2.0)
        writer.write(b"x")


class HungEndpoint(Peer):
    """Accepts connections and reads nothing."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        writer.transport.pause_reading()  # type: ignore[attr-defined]

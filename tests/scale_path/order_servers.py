"""Test order servers, all in one process: each answers at once, with time stamps in the body.

`python -m tests.scale_path.order_servers COUNT REPORT` prints the ports as a line of JSON, and serves until
its standard input ends. REPORT is the load report of each answer, if not empty."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import NamedTuple

FILLER = b"0123456789abcdef" * 16  # gives answers the length of a typical order
_CLOCK = 16  # hexadecimal digits of a time


class Body(NamedTuple):
    """An answer's body: the request's trace id, when it was received and answered by the machine's monotonic
    clock, and whether it was the first on its connection."""

    trace: bytes
    received_ns: int
    answered_ns: int
    first: bool


def encode(body: Body) -> bytes:
    return b"%s %016x %016x %d %s" % (body.trace, body.received_ns, body.answered_ns, body.first, FILLER)


def decode(data: bytes) -> Body | None:
    """The decoded body, or None if it is incomplete or malformed."""
    parts = data.split(b" ")
    if len(parts) != 5 or parts[4] != FILLER or len(parts[1]) != _CLOCK or len(parts[2]) != _CLOCK:
        return None
    return Body(parts[0], int(parts[1], 16), int(parts[2], 16), parts[3] == b"1")


def trace_of(head: bytes) -> bytes:
    """The request's trace id; the header's name is matched in any case."""
    at = head.lower().find(b"\r\nx-trace-id:")
    return head[at + 13 :].split(b"\r\n", 1)[0].strip() if at >= 0 else b""


class OrderServer(asyncio.Protocol):
    """One connection. Requests are of a safe class and have no body."""

    def __init__(self, report: bytes) -> None:
        self._head = b"HTTP/1.1 200 OK\r\n"
        self._head += b"Endpoint-Load-Metrics: TEXT %s\r\n" % report if report else b""
        self._data, self._first = b"", True
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        received_ns = time.monotonic_ns()
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            self._answer(trace_of(head), received_ns)

    def _answer(self, trace: bytes, received_ns: int) -> None:
        assert self._transport
        body = encode(Body(trace, received_ns, time.monotonic_ns(), self._first))
        self._transport.write(b"%sContent-Length: %d\r\n\r\n%s" % (self._head, len(body), body))
        self._first = False


async def serve(count: int, report: bytes) -> None:
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: OrderServer(report), "127.0.0.1", 0, backlog=512)
        for _ in range(count)
    ]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2].encode()))

"""Crowds of clients that make a sidecar process hold as much as they can, and the memory that it takes.

By hand: `python -m tests.memory_crowd KIND CLIENTS MEMORY_MB SOCKETS`.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

from anisespool.config import Address
from tests.limited_process import Limits, limited_process
from tests.net import Endpoint, Peer, Streams, raw_call, read_response
from tests.slow_endpoints import HungEndpoint, SlowAnswerEndpoint, SlowEndpoint

LEFT_MS = 5000
BODY_BYTES = 64_000
SHORT_FIELD = b"%x:\r\n"
POLL_S = 0.01
PLAY_S = 15.0  # at most


@dataclass
class Crowd:
    """What the clients of one crowd have seen."""

    address: Address
    results: Counter[str] = field(default_factory=Counter)

    async def run(self, number: int, client: Client) -> None:
        try:
            async with asyncio.timeout(12):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    self.results[await client(number, (reader, writer))] += 1
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError) as error:
            self.results[type(error).__name__] += 1


Client = Callable[[int, Streams], Awaitable[str]]


def upload(number: int, body_bytes: int, left_ms: int = LEFT_MS) -> bytes:
    return raw_call("once", f"t{number}", left_ms, b"x" * body_bytes)


async def small_chunks(number: int, streams: Streams) -> str:
    """A body of 64,000 bytes in chunks of two bytes, written over a second."""
    reader, writer = streams
    head = raw_call("once", f"t{number}", LEFT_MS).replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    writer.write(head)
    for _ in range(20):
        writer.write(b"2\r\nxx\r\n" * (BODY_BYTES // 40))
        await writer.drain()
        await asyncio.sleep(0.05)
    writer.write(b"0\r\n\r\n")
    return str((await read_response(reader)).status)


async def slow_bodies(number: int, streams: Streams) -> str:
    """A body of 64,000 bytes, written over a second."""
    reader, writer = streams
    data = upload(number, BODY_BYTES)
    for n in range(20):
        writer.write(data[n * len(data) // 20 : (n + 1) * len(data) // 20])
        await writer.drain()
        await asyncio.sleep(0.05)
    return str((await read_response(reader)).status)


async def half_uploads(number: int, streams: Streams) -> str:
    """The first half of a body of 2 MB, and no more."""
    reader, writer = streams
    data = upload(number, 2 << 20)
    writer.write(data[: len(data) // 2])
    return str((await read_response(reader)).status)


async def half_bodies(number: int, streams: Streams) -> str:
    """All but the last byte of a body that is buffered."""
    reader, writer = streams
    writer.write(upload(number, BODY_BYTES)[:-1])
    return str((await read_response(reader)).status)


async def short_fields(number: int, streams: Streams) -> str:
    """A head of thousands of short fields, and no end of it."""
    reader, writer = streams
    writer.write(raw_call("look", f"t{number}")[:-2])
    for n in range(0, 2400, 100):
        writer.write(b"".join(SHORT_FIELD % (m + 4096) for m in range(n, n + 100)))
        await asyncio.sleep(0.02)
    return str((await read_response(reader)).status)


async def repeated_fields(number: int, streams: Streams) -> str:
    """A head that repeats a field which is kept."""
    reader, writer = streams
    writer.write(raw_call("look", f"t{number}")[:-2])
    for _ in range(12):
        writer.write(b"X-Trace-Id:\r\n" * 100)
        await asyncio.sleep(0.02)
    return str((await read_response(reader)).status)


async def slow_readers(number: int, streams: Streams) -> str:
    """A long answer, read at 64 kB a second for some seconds."""
    reader, writer = streams
    writer.write(raw_call("look", f"t{number}", LEFT_MS))
    for _ in range(40):
        await reader.read(8192)
        await asyncio.sleep(0.1)
    return "read"


async def short_readers(number: int, streams: Streams) -> str:
    """Answers that are short enough to be buffered."""
    reader, writer = streams
    writer.write(raw_call("look", f"t{number}", LEFT_MS))
    return str((await read_response(reader)).status)


async def long_pipelines(number: int, streams: Streams) -> str:
    """Twelve requests of 60,000 bytes at once."""
    reader, writer = streams
    for n in range(12):
        writer.write(upload(number * 100 + n, 60_000))
    return str((await read_response(reader)).status)


async def short_pipelines(number: int, streams: Streams) -> str:
    """A thousand requests without a body at once."""
    reader, writer = streams
    writer.write(b"".join(raw_call("once", f"t{number}-{n}", LEFT_MS) for n in range(1000)))
    return str((await read_response(reader)).status)


KINDS: dict[str, tuple[Client, Callable[[], Peer]]] = {
    "small_chunks": (small_chunks, SlowEndpoint),
    "slow_bodies": (slow_bodies, SlowEndpoint),
    "half_uploads": (half_uploads, Endpoint),
    "hung_uploads": (half_uploads, HungEndpoint),
    "half_bodies": (half_bodies, Endpoint),
    "short_fields": (short_fields, Endpoint),
    "repeated_fields": (repeated_fields, Endpoint),
    "slow_readers": (slow_readers, SlowEndpoint),
    "short_readers": (short_readers, SlowAnswerEndpoint),
    "long_pipelines": (long_pipelines, SlowEndpoint),
    "short_pipelines": (short_pipelines, SlowEndpoint),
}


@dataclass
class Figures:
    """The result of one crowd: memory in MB, and the number of clients by what they got."""

    at_rest_mb: float
    peak_mb: float
    results: Counter[str]


async def play(folder: Path, kind: str, clients: int, memory_mb: int, sockets: int) -> Figures:
    """Start a sidecar with these limits, and let a crowd of this kind at it."""
    client, make_endpoint = KINDS[kind]
    limits = Limits(memory_mb, sockets, deadline_s=5.0, target_s=4.0)
    async with limited_process(folder, make_endpoint, limits) as process:
        crowd = Crowd(process.address)
        await asyncio.sleep(0.5)
        figures = Figures(process.held_mb(), 0.0, crowd.results)
        running = asyncio.gather(*(crowd.run(n, client) for n in range(clients)))
        until_s = monotonic() + PLAY_S
        while not running.done() and monotonic() < until_s:
            with suppress(KeyError, OSError):
                figures.peak_mb = max(figures.peak_mb, process.held_mb())
            await asyncio.sleep(POLL_S)
        running.cancel()
    return figures


def main() -> None:
    kinds = KINDS if sys.argv[1] == "all" else [sys.argv[1]]
    for kind in kinds:
        with tempfile.TemporaryDirectory() as folder:
            figures = asyncio.run(play(Path(folder), kind, *map(int, sys.argv[2:5])))
        print(f"{kind}: {figures.at_rest_mb:.1f} MB at rest, {figures.peak_mb:.1f} MB at most; "
              f"{dict(figures.results)}", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

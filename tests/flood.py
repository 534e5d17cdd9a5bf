"""One client that sends at full speed on one connection, and what others and the memory see of it.

By hand: `python -m tests.flood KIND SECONDS`.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from time import monotonic

from anisespool.config import Address
from tests.limited_process import Limits, limited_process
from tests.net import Endpoint, raw_call, read_response

BATCH = 200  # requests written at once
OTHERS, PERIOD_S = 8, 0.1  # other clients, and the time between two requests of each
LEFT_MS = 2000
LIMITS = Limits(memory_mb=80, sockets=384, deadline_s=2.0, target_s=0.7)


def health(n: int) -> bytes:
    return b"GET /healthz HTTP/1.1\r\n\r\n"


def small(n: int) -> bytes:
    """Sound requests, answered by an endpoint."""
    return raw_call("look", f"f{n}", LEFT_MS)


def unknown_class(n: int) -> bytes:
    return b"GET /x%d HTTP/1.1\r\nX-Trace-Id: f%d\r\n\r\n" % (n, n)


def without_id(n: int) -> bytes:
    return b"GET /look/1 HTTP/1.1\r\n\r\n"


def bad_time(n: int) -> bytes:
    return b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: f%d\r\nX-Expires-In-Ms: soon%d\r\n\r\n" % (n, n)


def new_methods(n: int) -> bytes:
    return b"PUT /look/1 HTTP/1.1\r\nX-Trace-Id: f%d\r\nContent-Length: 0\r\n\r\n" % n


def new_tenants(n: int) -> bytes:
    return small(n).replace(b"acme", b"tenant-%d" % n)


def new_keys(n: int) -> bytes:
    return raw_call("keyed", f"f{n}", LEFT_MS, headers=f"Idempotency-Key: k{n}\r\n").replace(
        b"00ab", b"%x" % n
    )


def expired(n: int) -> bytes:
    """No time is left."""
    return raw_call("look", f"f{n}", 0)


def new_fields(n: int) -> bytes:
    return small(n)[:-2] + b"X-New-%d: %d\r\n\r\n" % (n, n)


def offers(n: int) -> bytes:
    """An offer of another protocol, whose head is parsed twice."""
    return small(n)[:-2] + b"Connection: upgrade\r\nUpgrade: p%d\r\n\r\n" % n


KINDS: dict[str, Callable[[int], bytes]] = {
    each.__name__: each for each in (
        health, small, unknown_class, without_id, bad_time, new_methods, new_tenants, new_keys, expired,
        new_fields, offers,
    )
}  # fmt: skip


@dataclass
class Figures:
    """Answers of the others (seconds), requests flooded, and memory in MB at equal intervals."""

    waits_s: list[float] = field(default_factory=list)
    unanswered: int = 0
    flooded: int = 0
    held_mb: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        waits = sorted(self.waits_s) or [0.0]
        return (f"{self.flooded} flooded; others {len(waits)}, median {waits[len(waits) // 2] * 1e3:.0f} ms, "
                f"at most {waits[-1] * 1e3:.0f} ms, {self.unanswered} unanswered; "
                f"{', '.join(f'{mb:.1f}' for mb in self.held_mb)} MB")  # fmt: skip


async def _flood(address: Address, make: Callable[[int], bytes], figures: Figures, reads: bool) -> None:
    """Send at full speed, on a new connection when one ends."""
    numbers: Iterator[int] = count()
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            discarding = asyncio.create_task(_discard(reader)) if reads else None
            try:
                while not writer.is_closing():
                    writer.write(b"".join(make(next(numbers)) for _ in range(BATCH)))
                    await writer.drain()
                    figures.flooded += BATCH
                    await asyncio.sleep(0)
            finally:
                writer.transport.abort()
                if discarding:
                    discarding.cancel()


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(1 << 20):
            pass


async def _other(address: Address, name: str, until_s: float, figures: Figures) -> None:
    await asyncio.sleep(hash(name) % 100 / 1000)
    reader, writer = await asyncio.open_connection(*address)
    for n in count():
        if monotonic() > until_s:
            break
        began = monotonic()
        writer.write(raw_call("look", f"{name}-{n}", LEFT_MS))
        try:
            async with asyncio.timeout(4 * LEFT_MS / 1000):
                response = await read_response(reader)
        except (TimeoutError, EOFError, OSError):
            figures.unanswered += 1
            break
        if response.status == 200:
            figures.waits_s.append(monotonic() - began)
        else:
            figures.unanswered += 1
        await asyncio.sleep(PERIOD_S)
    writer.close()


async def play(folder: Path, kind: str, seconds: float, reads: bool = True) -> Figures:
    """Flood a real process with requests of this kind. `reads`: whether the client reads its answers."""
    figures = Figures()
    async with limited_process(folder, Endpoint, LIMITS) as process:
        await asyncio.sleep(0.3)
        until_s = monotonic() + seconds
        others = [
            asyncio.create_task(_other(process.address, f"o{n}", until_s, figures)) for n in range(OTHERS)
        ]
        flooding = asyncio.create_task(_flood(process.address, KINDS[kind], figures, reads))
        for _ in range(3):
            figures.held_mb.append(process.held_mb())
            await asyncio.sleep(seconds / 3)
        await asyncio.gather(*others)
        figures.held_mb.append(process.held_mb())
        flooding.cancel()
    return figures


def main() -> None:
    for kind in KINDS if sys.argv[1] == "all" else sys.argv[1].split(","):
        for reads in (True, False):
            with tempfile.TemporaryDirectory() as folder:
                figures = asyncio.run(play(Path(folder), kind, float(sys.argv[2]), reads))
            print(f"{kind}{'' if reads else ', answers not read'}: {figures}", flush=True)


if __name__ == "__main__":
    main()

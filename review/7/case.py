"""Clients send many requests at once, each within the limits of the pages, to a sidecar with 80 MB."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stand_ins import HOST, TROUBLE, Case, main, read_message, request, settings

MEMORY_MB, SOCKETS = 80, 384  # the pages: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS = SOCKETS // 3  # "Clients hold at most a third of the descriptors for requests"
REQUESTS, BODY_BYTES = 12, 60_000  # of each client; "A body holds 64 KiB at most"
POLL_S = 0.01


async def play(case: Case) -> None:
    await case.open(6)
    for server in case.servers:
        server.work_s = 0.1
    sidecar = case.sidecar(settings(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    await sidecar.start(case.discovery.known())
    await sidecar.until_ready()
    await asyncio.sleep(1.0)
    case.record.add(f"the sidecar holds {sidecar.memory_mb():.1f} MB of {MEMORY_MB}")
    peak_mb = 0.0

    async def platform() -> None:
        """Over `memory_mb` the sidecar is killed."""
        nonlocal peak_mb
        while True:
            peak_mb = max(peak_mb, now_mb := sidecar.memory_mb())
            if now_mb > MEMORY_MB:
                case.breaks(f"the sidecar holds {now_mb:.1f} MB of {MEMORY_MB}, and is killed for it")
                await sidecar.kill()
                return
            await asyncio.sleep(POLL_S)

    async def client(number: int) -> int:
        """Sends its requests all at once, or each after the answer to the one before; answers received."""
        reader, writer = await asyncio.open_connection(HOST, sidecar.port, limit=1 << 20)
        traces = [f"t{number:02d}-{n:02d}" for n in range(REQUESTS)]
        bodies = [request("order", trace, 5000, method="POST", body=b"x" * BODY_BYTES) for trace in traces]
        answered = 0
        if TROUBLE:
            writer.write(b"".join(bodies))
            case.record.add(f"client {number} sends {REQUESTS} requests at once")
        try:
            for trace, data in zip(traces, bodies, strict=True):
                if not TROUBLE:
                    writer.write(data)
                status = (await read_message(reader, True)).status
                case.record.add(f"client {number} got {status} for {trace}")
                answered += 1
        except (OSError, asyncio.IncompleteReadError) as error:
            case.record.add(f"client {number} has no answer to {traces[answered]}: {type(error).__name__}")
        writer.close()
        return answered

    watching = asyncio.create_task(platform())
    answered = sum(await asyncio.gather(*(client(n) for n in range(CLIENTS))))
    watching.cancel()
    case.record.add(f"{answered} of {CLIENTS * REQUESTS} requests answered; at most {peak_mb:.1f} MB held")


if __name__ == "__main__":
    main(__file__, play)

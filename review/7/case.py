"""Clients write bodies in small chunks, each within the limits of the pages, to a sidecar with 80 MB."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stand_ins import HOST, TROUBLE, Case, main, read_message, request, settings

MEMORY_MB, SOCKETS = 80, 384  # the pages: 32 to 192 MB, 256 to 1,024 descriptors
CLIENTS = SOCKETS // 3  # "Clients hold at most a third of the descriptors for requests"
BODY_BYTES, CHUNK_BYTES = 64_000, 4  # "A body holds 64 KiB at most"; "in pieces of any size"
STEPS, STEP_S = 20, 0.05  # a client takes a second for its body: 64 kB a second
SPREAD_S = 2.0  # within which the clients begin: 64 requests a second
WORK_S = 1.5  # of one request at an order server
LEFT_MS = 5000
POLL_S = 0.01


async def play(case: Case) -> None:
    await case.open(6)
    for server in case.servers:
        server.work_s = WORK_S
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

    async def client(number: int) -> bool:
        """One request, its body at 64 kB a second; whether it was answered."""
        trace = f"t{number:03d}"
        data = request("order", trace, LEFT_MS, method="POST", body=b"x" * BODY_BYTES)
        head, _, body = data.partition(b"\r\n\r\n")
        if TROUBLE:
            head = head[: head.rindex(b"\r\n")] + b"\r\nTransfer-Encoding: chunked"
            chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
            body = chunk * (BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n"
        await asyncio.sleep(number * SPREAD_S / CLIENTS)
        writer: asyncio.StreamWriter | None = None
        step = -(-len(body) // STEPS)
        try:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            case.record.add(f"client sends {trace}")
            writer.write(head + b"\r\n\r\n")
            for n in range(STEPS):
                writer.write(body[n * step : (n + 1) * step])
                await writer.drain()
                await asyncio.sleep(STEP_S)
            case.record.add(f"client has written the whole of {trace}")
            status = (await read_message(reader, True)).status
        except (OSError, asyncio.IncompleteReadError) as error:
            case.record.add(f"client has no answer to {trace}: {type(error).__name__}")
            return False
        finally:
            if writer:
                writer.close()
        case.record.add(f"client got {status} for {trace}")
        return True

    watching = asyncio.create_task(platform())
    answered = sum(await asyncio.gather(*(client(n) for n in range(CLIENTS))))
    watching.cancel()
    case.record.add(f"{answered} of {CLIENTS} requests answered; at most {peak_mb:.1f} MB held")


if __name__ == "__main__":
    main(__file__, play)

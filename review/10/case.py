"""A planned restart while a long answer is on its way to a client that reads steadily."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stand_ins import HOST, TROUBLE, CannotRun, Case, Message, OrderServer, main, request, settings

PIECE, PIECES, PIECE_S = 64 * 1024, 150, 0.08  # 9.8 MB in 12 s
KILL_S = 20.0  # SIGKILL after SIGTERM: "no sooner than the longest deadline (counted as 3 s) and 0.7 s more"


async def long_answer(server: OrderServer, message: Message, writer: asyncio.StreamWriter) -> None:
    """The order server gives its answer a piece at a time, without a pause of any length."""
    length = PIECE * PIECES
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
    try:
        for _ in range(PIECES):
            writer.write(b"x" * PIECE)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        server.record.add(f"{server.id} has given the whole answer to {message.trace}")
    except OSError:
        server.record.add(f"{server.id} could give no more of the answer to {message.trace}")


async def play(case: Case) -> None:
    await case.open(2, long_answer)
    sidecar = case.sidecar(settings())
    await sidecar.start(case.discovery.known())
    await sidecar.until_ready()
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(HOST, sidecar.port)
    case.record.add("client sends t1")
    writer.write(request("look", "t1", 800))
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    case.record.add(f"client got {head.split(b' ')[1].decode()} and the first bytes for t1")
    if b" 200 " not in head:
        raise CannotRun("the long answer did not begin")

    got = 0

    async def read() -> str:
        nonlocal got
        while got < PIECE * PIECES:
            try:
                data = await reader.read(1 << 20)
            except OSError as error:
                return f"the connection was broken: {type(error).__name__}"
            if not data:
                return "the connection was closed"
            got += len(data)
        return "whole"

    reading = asyncio.create_task(read())
    await asyncio.sleep(1.0)
    term_s = sidecar.signal(signal.SIGTERM) if TROUBLE else case.record.now()
    done, _ = await asyncio.wait({reading}, timeout=KILL_S)
    end = reading.result() if done else "not whole when SIGKILL was due"
    after_s = case.record.add(f"client has {got} of {PIECE * PIECES} bytes of t1: {end}") - term_s
    if not done:
        raise CannotRun("the answer was too slow for this machine")
    if end != "whole":
        case.breaks(f"t1: {end} {after_s:.1f} s after SIGTERM, with {got} of {PIECE * PIECES} bytes; no "
                    "SIGKILL was sent")  # fmt: skip
    writer.close()


if __name__ == "__main__":
    main(__file__, play)

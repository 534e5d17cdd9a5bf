"""Long answers to clients that read without a break, at 64 kB a second."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stand_ins import HOST, TROUBLE, CannotRun, Case, Message, OrderServer, main, request, settings

ANSWER_BYTES, PIECE = 40 * 64 * 1024, 64 * 1024  # 2.6 MB; up to 32 MB are allowed
RATE = 64 * 1024  # bytes a second that a client reads
READ_BYTES = (4096, 8192, 16384)  # of one read; a client pauses after each for READ_BYTES / RATE seconds
CLIENTS, WATCHED_S = 24, 60.0


async def long_answer(server: OrderServer, message: Message, writer: asyncio.StreamWriter) -> None:
    """The order server gives its answer as fast as it is taken."""
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
    try:
        for _ in range(ANSWER_BYTES // PIECE):
            writer.write(b"x" * PIECE)
            await writer.drain()
    except OSError:
        server.record.add(f"{server.id} is cut off, and could give no more of {message.trace}")
        raise
    server.record.add(f"{server.id} has given the whole answer to {message.trace}")


async def read_answer(case: Case, port: int, trace: str, read_bytes: int) -> None:
    """One client: it reads at its rate until the answer is whole, or for WATCHED_S."""
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, (HOST, port))
    began_s = monotonic()
    case.record.add(f"client sends {trace}; it reads {read_bytes} bytes at a time")
    await loop.sock_sendall(sock, request("look", trace, 800))
    got, head, longest_s, last_s = 0, b"", 0.0, began_s
    while got < ANSWER_BYTES and monotonic() < began_s + WATCHED_S:
        try:
            data = await loop.sock_recv(sock, read_bytes)
        except OSError as error:
            data = b""
            case.record.add(f"client of {trace}: {type(error).__name__}")
        if not data:
            break
        longest_s, last_s = max(longest_s, monotonic() - last_s), monotonic()
        if b"\r\n\r\n" not in head:
            head += data
            _, end, data = head.partition(b"\r\n\r\n")
            if end and b" 200 " not in head.split(b"\r\n")[0]:
                raise CannotRun(f"{trace} was answered {head.split(bytes(1))[0][:40]!r}")
        got += len(data)
        if TROUBLE:
            due_s = began_s + got / RATE
            await asyncio.sleep(max(0.0, min(due_s - monotonic(), read_bytes / RATE)))
    took_s = monotonic() - began_s
    cut = got < ANSWER_BYTES and took_s < WATCHED_S
    state = "cut off" if cut else "whole" if got == ANSWER_BYTES else "still coming"
    case.record.add(
        f"client has {got} bytes of {trace} after {took_s:.1f} s: {state}; at most {longest_s:.2f} s "
        "between two reads"
    )
    sock.close()
    if cut:
        case.breaks(f"{trace} was cut off after {took_s:.1f} s, with {got} of {ANSWER_BYTES} bytes read")


async def play(case: Case) -> None:
    await case.open(4, long_answer)
    sidecar = case.sidecar(settings())
    await sidecar.start(case.discovery.known())
    await sidecar.until_ready()
    await asyncio.sleep(0.5)
    async with asyncio.TaskGroup() as clients:
        for n in range(CLIENTS):
            read_bytes = READ_BYTES[n % len(READ_BYTES)]
            clients.create_task(read_answer(case, sidecar.port, f"t{n:02d}", read_bytes))
            await asyncio.sleep(0.03)


if __name__ == "__main__":
    main(__file__, play)

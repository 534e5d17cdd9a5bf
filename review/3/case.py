"""Case 3: a crowd makes a sidecar forget a slow reader, whose next request is lost at a restart."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    TROUBLE,
    Client,
    Discovery,
    OrderServer,
    Record,
    Sidecar,
    answer,
    call,
    member,
    read_message,
    settings,
)

SIDECARS = 3
SOCKETS, MEMORY_MB = 192, 40  # half of 384 and of 80
RECEIVE_BUFFER = 0  # of the client that reads slowly; 0: the default of the system
READS_AFTER_S = 4.0  # "peers take seconds to read"
CROWD_PER_S, CROWD_S = 500, 3.7  # connections that stay idle, to each sidecar: "thousands"
CROWD_HELD = 400  # of them open at a time; the oldest ones leave
WORK_S = 1.5  # of the last request at its order server; its class gives up after 5 s
TERM_AFTER_S = 0.1  # from the last request to SIGTERM
KILL_AFTER_S = 3.0 + 0.7  # from SIGTERM to SIGKILL, as the longest deadline counts as 3 s
LATEST_S = 5.0 + 0.5 + 0.05  # from a request to its final answer, with the slack of the rules


def kernel_takes() -> int:
    """How many bytes the kernel takes for a client that does not read, with the send buffer that the sidecar
    sets for long answers (128 KiB)."""
    with socket.socket() as listener, socket.socket() as client:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        if RECEIVE_BUFFER:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.connect(listener.getsockname())
        server, _ = listener.accept()
        with server:
            server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 128 * 1024)
            server.setblocking(False)
            taken = 0
            with suppress(BlockingIOError):
                while True:
                    taken += server.send(b"x" * 16384)
            return taken


async def crowd(port: int, record: Record) -> None:
    """Clients that connect, send nothing, and leave in the end."""
    loop, idle, count, began = asyncio.get_running_loop(), [], 0, time.monotonic()
    try:
        while (now := time.monotonic()) < began + CROWD_S:
            while count < (now - began) * CROWD_PER_S:
                count += 1
                sock = socket.socket()
                sock.setblocking(False)
                idle.append(sock)
                with suppress(OSError, TimeoutError):
                    await asyncio.wait_for(loop.sock_connect(sock, ("127.0.0.1", port)), 0.5)
            while len(idle) > CROWD_HELD:
                idle.pop(0).close()
            await asyncio.sleep(0.005)
    finally:
        for sock in idle:
            sock.close()
    record.line(f"crowd: {count} connections to port {port}, none with a request")


async def play(number: int, extra: int, folder: Path, record: Record) -> str:
    """One sidecar with its order servers, and its client. Returns what was broken, or an empty text."""
    size = kernel_takes() + extra

    async def work(server: OrderServer, trace: str, first: bytes, headers: dict[bytes, bytes],
                   writer: asyncio.StreamWriter) -> None:  # fmt: skip
        if trace.startswith("last"):
            await asyncio.sleep(WORK_S)
        body = b"x" * size if trace.startswith("long") else b"confirmed " + trace.encode()
        writer.write(answer(200, body))
        record.line(f"{server.name}: {trace} answered 200 with {len(body)} bytes")

    servers = [OrderServer(f"s-{number}-{n}", record, work) for n in range(3)]
    for server in servers:
        await server.start()
    members = [member(server.name, server.port) for server in servers]
    discovery = Discovery(record, members)
    await discovery.start()
    sidecar = Sidecar(folder, record, discovery.port, members, settings(), name=f"n{number}", sockets=SOCKETS,
                      memory_mb=MEMORY_MB)  # fmt: skip
    try:
        await sidecar.start()
        began = time.monotonic()
        client = await Client.connect(sidecar.port, RECEIVE_BUFFER)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.writer.write(call("consulta", f"long-{number}", 800))
        record.line(f"client {number}: long-{number} sent; it reads nothing for {READS_AFTER_S} s")
        await asyncio.sleep(0.25)
        if TROUBLE:
            await crowd(sidecar.port, record)
        await asyncio.sleep(max(0.0, began + READS_AFTER_S - time.monotonic()))
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        try:
            async with asyncio.timeout(5):
                _, _, body = await read_message(client.reader)
        except (OSError, EOFError, TimeoutError) as error:
            record.line(f"client {number}: the long answer was cut off: {type(error).__name__}")
            client.close()
            client = await Client.connect(sidecar.port)
        else:
            record.line(f"client {number}: long-{number} answered with {len(body)} bytes, all read")

        trace, sent_at = f"last-{number}", time.monotonic()
        term = asyncio.get_running_loop().call_later(TERM_AFTER_S, sidecar.signal, signal.SIGTERM)
        kill = asyncio.get_running_loop().call_later(TERM_AFTER_S + KILL_AFTER_S, sidecar.signal,
                                                     signal.SIGKILL)  # fmt: skip
        ended = asyncio.create_task(sidecar.process.wait())  # type: ignore[union-attr]
        ended.add_done_callback(lambda _: record.line(f"platform: n{number} has ended"))
        outcome = ""
        for attempt in (1, 2):
            record.line(f"client {number}: {trace} sent, connection {attempt}")
            try:
                status, body = await client.ask(call("confirmar", trace, 5000, b"{}"), LATEST_S)
            except (OSError, EOFError, TimeoutError) as error:
                took = time.monotonic() - sent_at
                outcome = f"{trace} had no answer: {type(error).__name__} after {took:.2f} s"
                record.line(f"client {number}: {outcome}")
                if attempt == 1 and not any(trace in server.begun for server in servers):
                    # It crossed the end of a resting connection: the client sends it once more.
                    outcome = ""
                    client.close()
                    client = await Client.connect(sidecar.port)
                    continue
            else:
                took = time.monotonic() - sent_at
                record.line(f"client {number}: {trace} answered {status} {body!r} after {took:.2f} s")
            break
        begun = any(trace in server.begun for server in servers)
        term.cancel()
        kill.cancel()
        client.close()
        if outcome and begun:
            record.line(f"BROKEN: {outcome}, and an order server had begun it")
            return outcome
        return ""
    finally:
        await sidecar.end()
        for server in servers:
            await server.stop()
        await discovery.stop()


async def main() -> int:
    record = Record(Path(__file__).resolve().parent / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        broken = await asyncio.gather(*(play(n, 20_000 + 12_000 * n, Path(folder), record)
                                        for n in range(SIDECARS)))  # fmt: skip
    lost = [text for text in broken if text]
    summary = f"{SIDECARS} sidecars, {len(lost)} of them lost the request that they had taken"
    record.line(summary)
    record.close()
    print(summary)
    for text in lost:
        print(text)
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(asyncio.wait_for(main(), 100))
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    sys.exit(code)

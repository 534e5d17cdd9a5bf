"""Case 2: a request that offers another protocol (`Upgrade`) is read and never answered."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
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
    settings,
)

CLIENTS, REQUESTS = 4, 12  # requests of each client, one after the other
DEADLINES_MS = {"consulta": 800, "confirmar": 5000}
# What an HTTP client that also speaks HTTP/2 adds to the first request on each connection (RFC 7540, 3.2). A
# server that stays with HTTP/1.1 ignores it and answers (RFC 9110, 7.8).
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"


async def main() -> int:
    record = Record(Path(__file__).resolve().parent / "record.txt")
    lost: list[str] = []
    statuses: Counter[int] = Counter()

    async def work(server: OrderServer, trace: str, first: bytes, headers: dict[bytes, bytes],
                   writer: asyncio.StreamWriter) -> None:  # fmt: skip
        await asyncio.sleep(0.03)
        writer.write(answer(200, b"done " + trace.encode()))

    servers = [OrderServer(f"s-{n}", record, work) for n in range(3)]
    for server in servers:
        await server.start()
    members = [member(server.name, server.port) for server in servers]
    discovery = Discovery(record, members)
    await discovery.start()

    async def request(port: int, client: Client | None, cls: str, trace: str) -> Client | None:
        """Send one request, and once more on a new connection if its connection ends with no answer: it may
        have crossed the end of a resting connection. Returns the connection, if it stays open."""
        deadline_s, sent_at = DEADLINES_MS[cls] / 1000, time.monotonic()
        for attempt in (1, 2):
            is_new = client is None
            client = client or await Client.connect(port)
            data = call(cls, trace, DEADLINES_MS[cls], b"" if cls == "consulta" else b'{"flour": 40}')
            if is_new and TROUBLE:
                line, rest = data.split(b"\r\n", 1)
                data = line + b"\r\n" + OFFER + rest
            record.line(f"{trace} ({cls}) sent, attempt {attempt}, {'new' if is_new else 'kept'} connection")
            try:
                status, body = await client.ask(data, sent_at + deadline_s + 0.55 - time.monotonic())
            except (OSError, EOFError, TimeoutError) as error:
                how = f"{type(error).__name__} after {time.monotonic() - sent_at:.3f} s"
                record.line(f"{trace} had no answer: {how}")
                client.close()
                client = None
                continue
            statuses[status] += 1
            record.line(f"{trace} answered {status} {body!r}")
            if client.closes:
                client.close()
                return None
            return client
        begun = sum(trace in server.begun for server in servers)
        lost.append(f"{trace} ({cls}) was read and never answered, on two connections; begun {begun} times")
        record.line(f"BROKEN: {lost[-1]}")
        return None

    async def application(port: int, number: int) -> None:
        client = None
        for turn in range(REQUESTS):
            cls = ("consulta", "confirmar")[turn % 2]
            client = await request(port, client, cls, f"{number}-{turn:03d}")
        if client:
            client.close()

    with tempfile.TemporaryDirectory() as folder:
        sidecar = Sidecar(Path(folder), record, discovery.port, members, settings())
        try:
            await sidecar.start()
            await asyncio.gather(*(application(sidecar.port, number) for number in range(CLIENTS)))
        finally:
            await sidecar.end()
            for server in servers:
                await server.stop()
            await discovery.stop()
        trouble = [row for row in (sidecar.folder / "log.txt").read_text().splitlines() if "Upgrade" in row]
        for row in trouble[:3]:
            record.line(f"log of the sidecar: {row}")
    summary = f"{CLIENTS * REQUESTS} requests, answers {dict(statuses)}, {len(lost)} lost"
    record.line(summary)
    record.close()
    print(summary)
    for text in lost[:5]:
        print(text)
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(asyncio.wait_for(main(), 100))
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        code = 2
    sys.exit(code)

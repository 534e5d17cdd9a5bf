"""Stand-ins for the clients, the order servers, discovery and the platform, written from the published pages.
Standard library only. All addresses are loopback addresses, and all times are seconds of the real clock."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt, a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    """A free loopback port. Ports below the ephemeral range, so that no connection of the test takes it."""
    while True:
        port = 12_000 + int.from_bytes(os.urandom(2), "big") % 19_000
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def settings(**changes: Any) -> dict[str, Any]:
    """The example of WIRE-sailbridge.md, for three sidecars; `a__b=v` sets key b of object a."""

    def request_class(name: str, effect: str, target: int, deadline: int, worth: float, late: float,
                      window: int) -> dict[str, Any]:  # fmt: skip
        return {"name": name, "effect": effect, "target-ns": target * MS, "deadline-ns": deadline * MS,
                "worth": worth, "late-worth": late, "stream": False, "dedup-scope": "all",
                "dedup-window-ns": window * MS}  # fmt: skip

    raw: dict[str, Any] = {
        "allowed": {"attempts-cap": 3, "cancel": True, "connect-timeout-ns": 200 * MS,
                    "cpu-us-per-request": 0.0, "cpu-us-per-s": 80000, "keepalive-ns": 60000 * MS,
                    "max-open": 20000, "max-retry-after-ns": 2000 * MS, "may-duplicate": True,
                    "peers": False, "probes": True, "retry-after": True, "streams-per-conn": 100},
        "callers": {"marks-retry": False},
        "discovery": "ask",
        "family": "mesh",
        "family-info": {"warm-keys": False},
        "fleet-size": 1,
        "goal": {"whole": 0.45, "worst-class": 0.3, "worst-tenant": 0.1, "worst-window": 0.15},
        "guarantees": {"answer-slack-ns": 20 * MS, "ask-within-ns": 10000 * MS, "cold-ns": 8800 * MS,
                       "drain-grace-ns": 500 * MS, "fall-multiple": 2.5, "fall-ns": 1500 * MS,
                       "start-capacity": 0.31},
        "layer": 0,
        "over-share-worth": 0.1,
        "prices": {"connection": 0.03, "cross-zone": 0.01, "discovery": 0.0, "handshake": 0.03,
                   "late-fail": 0.03, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.03,
                   "waste": 0.04},
        "report": {"columns": ["util", "queue", "latency_ms"], "how": "piggyback"},
        "request-classes": [request_class("consulta", "repeatable", 400, 800, 1.0, 0.25, 5000),
                            request_class("confirmar", "once", 1200, 5000, 2.0, 0.25, 5000),
                            request_class("cobro", "by_key", 600, 3000, 3.0, 0.5, 2000)],
        "resolution-ns": 5 * MS,
        "self-index": 0,
        "skus": ["rapido", "normal", "lento"],
        "tenants": [{"name": "panaderia-central", "quota-per-s": 5200.0, "share": 0.51},
                    {"name": "pan-de-xela", "quota-per-s": 5000.0, "share": 0.49}],
        "tiers": ["pedidos"],
        "weight-kind": "rough",
        "worth-by": "request",
        "zone": 0,
        "zones": ["zona-10", "mixco"],
    }  # fmt: skip
    for path, value in changes.items():
        *parents, key = [part.replace("_", "-") for part in path.split("__")]
        place = raw
        for parent in parents:
            place = place[parent]
        place[key] = value
    return raw


def member(server: str, port: int, phase: str = "up", **fields: Any) -> dict[str, Any]:
    """A line of discovery's list."""
    row = {"id": server, "host_port": f"127.0.0.1:{port}", "locality": "zona-10", "flavor": "normal",
           "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0}  # fmt: skip
    return row | fields


class Sidecar:
    """One process of the project, started by `run` in the deploy file."""

    def __init__(self, folder: Path, record: Record, discovery: int, known: list[dict[str, Any]],
                 raw: dict[str, Any], name: str = "n0", sockets: int = 256, memory_mb: int = 80,
                 revision: int = 1) -> None:  # fmt: skip
        self.port, self.record, self.name = free_port(), record, name
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True)
        address = f"127.0.0.1:{self.port}"
        config = {"name": name, "listen": address, "discovery": f"127.0.0.1:{discovery}",
                  "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": {"revision": revision, "complete": True, "members": known},
                  "settings": raw}  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self.env = {"PATH": os.environ.get("PATH", ""), "LB_NAME": name, "LB_LISTEN": address,
                    "LB_DISCOVERY": f"127.0.0.1:{discovery}", "LB_CONFIG": str(path),
                    "TMPDIR": str(self.folder / "tmp")}  # fmt: skip
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it, and wait until GET /healthz is answered 200, 30 s at most."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.folder / "log.txt", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=self.env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)  # fmt: skip
        self.record.line(f"platform: {self.name} started, process {self.process.pid}, port {self.port}")
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.returncode is None:
            with suppress(OSError, EOFError, asyncio.IncompleteReadError):
                client = await Client.connect(self.port)
                status, _ = await client.ask(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n", 1.0)
                client.close()
                if status == 200:
                    self.record.line(f"platform: {self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the sidecar did not become ready")

    def signal(self, number: int) -> None:
        assert self.process
        self.record.line(f"platform: {signal.Signals(number).name} to {self.name}")
        with suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def end(self) -> None:
        """Kill it if it still runs, and wait for its end."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """The first line, the headers and the body of one HTTP/1.1 message with Content-Length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
    headers = {}
    for row in head[1:]:
        name, _, value = row.partition(b":")
        headers[name.strip().lower()] = value.strip()
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return head[0], headers, body
    return head[0], headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


class Client:
    """One connection of the application. It sends one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.closes = False  # the last answer said Connection: close

    @classmethod
    async def connect(cls, port: int, receive_buffer: int = 0) -> Client:
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
            return cls(*await asyncio.open_connection(sock=sock, limit=1 << 17))
        except BaseException:
            sock.close()
            raise

    async def ask(self, data: bytes, wait_s: float) -> tuple[int, bytes]:
        """Send a request and read its answer: status and body. Raises TimeoutError, or OSError or EOFError if
        the connection ends without a whole answer."""
        self.writer.write(data)
        async with asyncio.timeout(wait_s):
            first, headers, body = await read_message(self.reader)
        self.closes = headers.get(b"connection", b"").lower() == b"close"
        return int(first.split()[1]), body

    def close(self) -> None:
        self.writer.transport.abort()


def call(cls: str, trace: str, left_ms: int, body: bytes = b"", key: str = "", tenant: str = "pan-de-xela",
         path: str = "7") -> bytes:  # fmt: skip
    """A request in the form of the protocol page: GET for a safe class, POST for the others."""
    method = "GET" if cls == "consulta" else "POST"
    head = (f"{method} /{cls}/{path} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\n"
            f"X-Customer: {tenant}\r\nX-Expires-In-Ms: {left_ms}\r\n")  # fmt: skip
    if key:
        head += f"Idempotency-Key: {key}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def answer(status: int, body: bytes, extra: str = "") -> bytes:
    phrase = {200: "OK", 500: "Error", 503: "Busy"}.get(status, "Other")
    return f"HTTP/1.1 {status} {phrase}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


Handler = Callable[["OrderServer", str, bytes, dict[bytes, bytes], asyncio.StreamWriter], Awaitable[None]]


class OrderServer:
    """An order server. `handler` gets the trace id, the first line and the headers of each request whose last
    byte has come, and writes the answer."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        self.name, self.record, self.handler, self.port = name, record, handler, 0
        self.begun: list[str] = []  # trace ids of the requests that were begun
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, _ = await read_message(reader)
                trace = headers.get(b"x-trace-id", b"").decode()
                self.begun.append(trace)
                self.record.line(f"{self.name}: {trace} {first.split()[1].decode()} has come")
                await self.handler(self, trace, first, headers, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        self.writers.discard(writer)
        writer.transport.abort()

    async def stop(self) -> None:
        await _stop(self._server, self.writers)


class Discovery:
    """Discovery: whole lists, and watches with an empty line every 2 s while nothing changes."""

    def __init__(self, record: Record, members: list[dict[str, Any]], revision: int = 1) -> None:
        self.record, self.revision, self.port = record, revision, 0
        self.members = {row["id"]: row for row in members}
        self.watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole(self) -> bytes:
        return json.dumps({"revision": self.revision, "complete": True,
                           "members": list(self.members.values())}).encode() + b"\n"  # fmt: skip

    def change(self, *rows: dict[str, Any]) -> None:
        """Change the list, and write the change to all watches."""
        self.revision += 1
        self.members |= {row["id"]: row for row in rows}
        line = json.dumps({"revision": self.revision, "complete": False, "members": rows}).encode() + b"\n"
        for writer in self.watches:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
        self.record.line(f"discovery: told {len(self.watches)} watches of revision {self.revision}: {rows}")

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError, ValueError):
            first, _, _ = await read_message(reader)
            if b"stream=1" not in first:
                body = self.whole()
                writer.write(answer(200, body))
                return
            line = self.whole()
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            self.record.line(f"discovery: {first.split()[1].decode()} answered with revision {self.revision}")
            self.watches.add(writer)
            asyncio.get_running_loop().call_later(2.0, self._beat, writer)
            with suppress(OSError):
                await reader.read()
            self.watches.discard(writer)
            writer.transport.abort()

    def _beat(self, writer: asyncio.StreamWriter) -> None:
        if writer in self.watches:
            writer.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2.0, self._beat, writer)

    async def stop(self) -> None:
        await _stop(self._server, self.watches)


async def _stop(server: asyncio.Server | None, writers: set[asyncio.StreamWriter]) -> None:
    """Stop to listen, reset the open connections, and let their tasks end."""
    if server:
        server.close()
    for writer in list(writers):
        writer.transport.abort()
    await asyncio.sleep(0.05)

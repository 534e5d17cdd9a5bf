"""Stand-ins for clients, order servers, discovery and the platform, for the cases of the second review.

Only the standard library is used. All addresses are loopback addresses, and every port is a free one. Each
case runs the program with the command `run` of deploy/balancer.toml, as a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS, SECOND = 1_000_000, 1_000_000_000
SOCKET_SLACK_S = 0.05  # "Each time limit grows by 50 ms."


class CannotRun(Exception):
    """The case could not be played: neither a pass nor a fault."""


class Record:
    """What was sent, answered and run, in order of time; written to record.txt beside the case."""

    def __init__(self, folder: Path) -> None:
        self._began_s, self._lines, self._path = monotonic(), [], folder / "record.txt"

    def now(self) -> float:
        return monotonic() - self._began_s

    def add(self, text: str) -> float:
        at_s = self.now()
        self._lines.append((at_s, text))
        return at_s

    def write(self) -> None:
        rows = sorted(self._lines, key=lambda line: line[0])
        self._path.write_text("".join(f"{at_s:9.4f} {text}\n" for at_s, text in rows))


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with RST."""
    with suppress(OSError):  # it may be closed already
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# Messages -------------------------------------------------------------------------------------------------


class Message:
    """A request or a response that has been read."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes, first_byte_s: float) -> None:
        self.first_line, self.headers, self.body = first_line, headers, body
        self.first_byte_s = first_byte_s  # monotonic

    @property
    def trace(self) -> str:
        return self.headers.get("x-trace-id", "")

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader, is_response: bool = False) -> Message:
    """Read one message. Raises IncompleteReadError or OSError if it does not come whole."""
    first = await reader.readexactly(1)
    at_s = monotonic()
    lines = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if is_response else b""
    return Message(lines[0], headers, body, at_s)


def response(status: int, body: bytes = b"", *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def request(
    cls: str, trace: str, left_ms: int, *, method: str = "GET", body: bytes = b"", key: str = ""
) -> bytes:
    lines = [
        f"{method} /{cls}/7 HTTP/1.1", "Host: api.internal", f"X-Trace-Id: {trace}",
        "X-Customer: tenant-a", f"X-Expires-In-Ms: {left_ms}",
    ]  # fmt: skip
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# Order servers --------------------------------------------------------------------------------------------

Handler = Callable[["OrderServer", Message, asyncio.StreamWriter], Awaitable[None]]


async def serve_at_once(server: OrderServer, message: Message, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(server.work_s)
    server.record.add(f"{server.id} ran {message.trace} and answers 200")
    writer.write(response(200, f"{server.id} {message.trace}".encode(), *server.report()))


class OrderServer:
    """One order server: it records each request and answers through `handler`."""

    def __init__(self, record: Record, server_id: str, handler: Handler = serve_at_once) -> None:
        self.record, self.id, self.handler = record, server_id, handler
        self.work_s, self.phase, self.started_ms = 0.01, "up", 0
        self.received: list[Message] = []
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=256, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def report(self) -> list[str]:
        return ["Endpoint-Load-Metrics: TEXT util=0.20, queue=0, latency_ms=10"]

    def row(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "id": self.id, "host_port": f"{HOST}:{self.port}", "locality": "a", "flavor": "m1", "cell": 0,
            "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                self.received.append(message)
                key = message.headers.get("idempotency-key", "")
                with_key = f" key {key}" if key else ""
                left = message.headers.get("x-expires-in-ms", "?")
                self.record.add(f"{self.id} got {message.trace}{with_key}, told {left} ms")
                await self.handler(self, message, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


# Discovery ------------------------------------------------------------------------------------------------


class Discovery:
    """Discovery, or the agent that pushes its lists: the whole list, and a watch on its changes."""

    def __init__(self, record: Record, servers: list[OrderServer]) -> None:
        self.record, self.servers = record, servers
        self.revision, self.call_s = 1, 0.0  # call_s: how long a call waits for its answer
        self.changed_at: dict[int, dict[str, Any]] = {}  # revision -> the entry that it changed
        self.port = 0
        self.calls = 0
        self.watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server:
            self._server.close()
        for writer in list(self.watches):
            reset(writer)

    def known(self) -> dict[str, Any]:
        """The whole list as it stands."""
        rows = [server.row() for server in self.servers]
        return {"revision": self.revision, "complete": True, "members": rows}

    def change(self, server: OrderServer, phase: str, tell: bool = True) -> float:
        """One entry changes. Returns when discovery had the change; with `tell` it is written at once."""
        server.phase = phase
        self.revision += 1
        self.changed_at[self.revision] = server.row()
        at_s = self.record.add(f"discovery has revision {self.revision}: {server.id} is {phase}")
        if tell:
            for writer in list(self.watches):
                self._write(writer, self._changes(self.revision - 1))
        return at_s

    def end_watches(self) -> None:
        self.record.add(f"discovery ends {len(self.watches)} watches with a reset")
        for writer in list(self.watches):
            reset(writer)
        self.watches.clear()

    def _changes(self, since: int) -> dict[str, Any]:
        latest = {row["id"]: row for revision, row in self.changed_at.items() if revision > since}
        return {"revision": self.revision, "complete": False, "members": list(latest.values())}

    def _write(self, writer: asyncio.StreamWriter, entry: dict[str, Any] | None) -> None:
        line = (json.dumps(entry) if entry else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        if entry:
            self.record.add(f"discovery writes revision {entry['revision']} to a watch")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            message = await read_message(reader)
            self.calls += 1
            query = dict(part.partition("=")[::2] for part in message.target.partition("?")[2].split("&"))
            self.record.add(f"discovery is called: {message.target}")
            await asyncio.sleep(self.call_s)
            if query.get("stream") != "1":
                writer.write(response(200, json.dumps(self.known()).encode()))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.add(writer)
            since = int(query.get("index") or 0)
            if since != self.revision:
                self._write(writer, self._changes(since) if since else self.known())
            while writer in self.watches:
                await asyncio.sleep(2.0)
                if writer in self.watches:
                    self._write(writer, None)
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)


# The platform and the program -----------------------------------------------------------------------------


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment; `a__b=v` sets key `b` of object `a`, with '-' for '_'."""
    classes = [
        {"name": "look", "effect": "repeatable", "target-ns": 400 * MS, "deadline-ns": 800 * MS,
         "worth": 1.0, "late-worth": 0.25},
        {"name": "order", "effect": "once", "target-ns": 1200 * MS, "deadline-ns": 5000 * MS, "worth": 2.0,
         "late-worth": 0.25},
        {"name": "charge", "effect": "by_key", "dedup-scope": "all", "dedup-window-ns": 2000 * MS,
         "target-ns": 600 * MS, "deadline-ns": 3000 * MS, "worth": 3.0, "late-worth": 0.5},
    ]  # fmt: skip
    raw: dict[str, Any] = {
        "allowed": {"attempts-cap": 3, "cancel": True, "connect-timeout-ns": 200 * MS,
                    "cpu-us-per-request": 0.0, "cpu-us-per-s": 80000, "keepalive-ns": 60 * SECOND,
                    "max-open": 20000, "max-retry-after-ns": 2 * SECOND, "may-duplicate": True,
                    "peers": False, "probes": False, "retry-after": True, "streams-per-conn": 1},
        "callers": {"marks-retry": False}, "discovery": "ask", "family": "mesh",
        "fleet-size": 3, "self-index": 0, "layer": 0,
        "guarantees": {"answer-slack-ns": 20 * MS, "ask-within-ns": 10 * SECOND, "cold-ns": 8800 * MS,
                       "drain-grace-ns": 500 * MS, "fall-multiple": 2.5, "fall-ns": 1500 * MS,
                       "start-capacity": 0.31},
        "prices": {"connection": 0.03, "cross-zone": 0.01, "handshake": 0.03},
        "report": {"columns": ["util", "queue", "latency_ms"], "how": "piggyback"},
        "request-classes": classes, "resolution-ns": 5 * MS, "skus": ["m1"],
        "tenants": [{"name": "tenant-a", "quota-per-s": 100.0, "share": 1.0}], "tiers": ["orders"],
        "weight-kind": "rough", "worth-by": "request", "zone": 0, "zones": ["a", "b"],
    }  # fmt: skip
    for path, value in changes.items():
        *parents, key = [part.replace("_", "-") for part in path.split("__")]
        place = raw
        for parent in parents:
            place = place[parent]
        place[key] = value
    return raw


class Sidecar:
    """The program, started as the platform starts it."""

    def __init__(
        self, record: Record, folder: Path, discovery: Discovery, raw: dict[str, Any],
        memory_mb: int = 192, sockets: int = 512,
    ) -> None:  # fmt: skip
        self.record, self.folder, self.discovery, self.raw = record, folder, discovery, raw
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0  # of the last start, by the record's clock
        self._starts = 0

    async def start(self, known: dict[str, Any]) -> None:
        """Start `run` with a configuration file and an empty $TMPDIR of its own."""
        self._starts += 1
        home = self.folder / f"start-{self._starts}"
        (home / "tmp").mkdir(parents=True)
        where = f"{HOST}:{self.discovery.port}"
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": where, "seed": os.urandom(8).hex(),
            "limits": self.limits, "known": known, "settings": self.raw,
        }  # fmt: skip
        path = home / "config.json"
        path.write_text(json.dumps(config))
        env = {
            "PATH": os.environ.get("PATH", ""), "LB_NAME": "n0", "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": where, "LB_CONFIG": str(path), "TMPDIR": str(home / "tmp"),
        }  # fmt: skip
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.started_s = self.record.add("the platform starts the sidecar")
        with open(home / "log.txt", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def until_ready(self, limit_s: float = 30.0) -> None:
        """Wait until GET /healthz answers 200."""
        until_s = monotonic() + limit_s
        while monotonic() < until_s:
            if self.process is None or self.process.returncode is not None:
                raise CannotRun("the sidecar has ended before it was ready")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                async with asyncio.timeout(1.0):
                    status = (await read_message(reader, True)).status
                writer.close()
                if status == 200:
                    self.record.add("the sidecar is ready")
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the sidecar was not ready in time")

    def signal(self, number: signal.Signals) -> float:
        assert self.process
        at_s = self.record.add(f"the platform sends {number.name}")
        self.process.send_signal(number)
        return at_s

    def memory_mb(self) -> float:
        """Memory of its own that the process holds, without its program's files; 0 once it has ended."""
        assert self.process
        with suppress(OSError):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return sum(int(x.split()[1]) for x in lines if x.startswith(("RssAnon:", "RssShmem:"))) / 1024
        return 0.0

    async def kill(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


# Clients --------------------------------------------------------------------------------------------------


class Client:
    """One connection of the application, one request at a time. It opens a new one when needed."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, data: bytes, trace: str, limit_s: float) -> Message | None:
        """Send one request; its answer, or None if none came in the time or the connection ended."""
        try:
            if self._streams is None or self._streams[0].at_eof():
                self.leave()
                self._streams = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
            reader, writer = self._streams
            self.record.add(f"client sends {trace}")
            writer.write(data)
            async with asyncio.timeout(limit_s):
                answer = await read_message(reader, True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(f"client has no answer to {trace}: {type(error).__name__}")
            self.leave()
            return None
        self.record.add(f"client got {answer.status} for {trace}")
        if answer.closes:
            self.leave()
        return answer

    def leave(self) -> None:
        if self._streams:
            self._streams[1].close()
            self._streams = None


# A case ---------------------------------------------------------------------------------------------------


class Case:
    """What a case is given, and the verdict that it collects."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record, self.temporary = Record(folder), temporary
        self.servers: list[OrderServer] = []
        self.broken: list[str] = []
        self.discovery = Discovery(self.record, self.servers)
        self.sidecars: list[Sidecar] = []

    async def open(self, count: int, handler: Handler = serve_at_once) -> None:
        """Start the order servers and discovery."""
        for n in range(count):
            self.servers.append(OrderServer(self.record, f"s-{n}", handler))
            await self.servers[-1].open()
        await self.discovery.open()

    def sidecar(self, raw: dict[str, Any], **limits: int) -> Sidecar:
        self.sidecars.append(Sidecar(self.record, self.temporary, self.discovery, raw, **limits))
        return self.sidecars[-1]

    def breaks(self, text: str) -> None:
        self.broken.append(text)
        self.record.add(f"BROKEN: {text}")

    async def close(self) -> None:
        for sidecar in self.sidecars:
            await sidecar.kill()
        self.discovery.close()
        for server in self.servers:
            server.close()


async def _play(folder: Path, play: Callable[[Case], Awaitable[None]], limit_s: float) -> int:
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(folder, Path(temporary))
        case.record.add(f"disruption: {'yes' if TROUBLE else 'no'}")
        verdict = NOT_RUN
        try:
            async with asyncio.timeout(limit_s):
                await play(case)
            verdict = BROKEN if case.broken else HELD
        except Exception as error:  # also a fault of a stand-in: it must not pass for a broken rule
            case.record.add(f"the case could not run: {type(error).__name__}: {error}")
            traceback.print_exc()
        finally:
            await case.close()
            for number, log in enumerate(sorted(Path(temporary).glob("start-*/log.txt"))):
                for line in log.read_text(errors="replace").splitlines()[:60]:
                    case.record.add(f"log {number + 1}: {line}".replace(temporary, "TEMPORARY"))
            outcome = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[verdict]
            case.record.add(outcome)
            case.record.write()
    print(outcome, *case.broken[:5], sep="\n  ")
    return verdict


def main(file: str, play: Callable[[Case], Awaitable[None]], limit_s: float = 110.0) -> None:
    """Play a case, write its record, and exit with its verdict."""
    verdict = NOT_RUN
    try:
        verdict = asyncio.run(_play(Path(file).resolve().parent, play, limit_s))
    finally:
        sys.stdout.flush()
        os._exit(verdict)  # whatever is left of the stand-ins ends with this process

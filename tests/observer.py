"""Checks from outside the sidecar that it obeys drains, client disconnects and deadlines.

The observer records what the test discovery sent, what the test servers received and what clients did, with
monotonic times in seconds. It shares no code with the sidecar's decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from anisespool import http1
from tests.net import OK, Discovery, Peer, raw_call

GRACE_S = 0.2  # tests/support.py: guarantees.drain-grace-ns
CANCEL_LIMIT_S = 0.1  # an attempt may begin this long after its client has closed, no later
DEADLINE_SLACK_S = 0.15  # how far X-Expires-In-Ms may exceed the client's remaining time
TRACE, EXPIRES = b"x-trace-id", b"x-expires-in-ms"


@dataclass
class Receipt:
    """A request as a test server received it."""

    server: str
    address: str
    first_byte_s: float
    trace: str = ""  # empty until the head is complete
    expires_in_ms: int = 0


@dataclass
class ClientRequest:
    """A request as its client sent it."""

    sent_s: float
    left_ms: int
    closed_s: float | None = None


@dataclass
class Observer:
    """The history of the list, and every request as its client and its server saw it."""

    members: dict[str, tuple[str, str]] = field(default_factory=dict)  # id -> address, phase
    receipts: list[Receipt] = field(default_factory=list)
    clients: dict[str, ClientRequest] = field(default_factory=dict)
    _history: dict[str, list[tuple[float, bool]]] = field(default_factory=dict)  # address -> since, is up
    last_update_s: float = 0.0

    def record_list(self, line: dict[str, Any]) -> None:
        """Record a list or change that was sent to the sidecar, or put into its configuration."""
        now = monotonic()
        if line["complete"]:
            self.members.clear()
        for entry in line["members"]:
            if entry["phase"] == "removed":
                self.members.pop(entry["id"], None)
            else:
                self.members[entry["id"]] = (entry["host_port"], entry["phase"])
        up = {address for address, phase in self.members.values() if phase == "up"}
        for address in up | self._history.keys():
            past = self._history.setdefault(address, [])
            if not past or past[-1][1] != (address in up):
                past.append((now, address in up))
        self.last_update_s = now

    def send_update(self, discovery: Discovery, *lines: dict[str, Any]) -> None:
        """Send these lines from the test discovery, with no wait in between."""
        writer = discovery.connections[-1][1]
        for line in lines:
            discovery.write_line(writer, line)
            self.record_list(line)

    @property
    def grace_is_over(self) -> bool:
        return monotonic() > self.last_update_s + GRACE_S

    def call(self, trace: str, cls: str = "look", left_ms: int = 2000, **fields: Any) -> bytes:
        """Record a request as sent now, and return its bytes."""
        self.clients[trace] = ClientRequest(monotonic(), left_ms)
        return raw_call(cls, trace, left_ms, **fields)

    def client_closed(self, *traces: str) -> None:
        for trace in traces:
            self.clients[trace].closed_s = monotonic()

    def traces(self, server: str) -> list[str]:
        return [r.trace for r in self.receipts if r.server == server]

    def violations(self) -> list[str]:
        return [text for receipt in self.receipts for text in self._judge(receipt)]

    def _judge(self, r: Receipt) -> list[str]:
        violations = []
        since = self._not_up_since(r)
        if since is None:
            violations.append(f"{r.trace} at {r.server}, whose address was never listed")
        elif r.first_byte_s > since + GRACE_S:
            violations.append(f"{r.trace} at {r.server} {r.first_byte_s - since:.2f} s after its withdrawal")
        client = self.clients.get(r.trace)
        if client is None:
            return violations
        if client.closed_s is not None and r.first_byte_s > client.closed_s + CANCEL_LIMIT_S:
            violations.append(
                f"{r.trace} began {r.first_byte_s - client.closed_s:.2f} s after its client closed"
            )
        left_s = client.sent_s + client.left_ms / 1000 - r.first_byte_s
        if r.expires_in_ms / 1000 > left_s + DEADLINE_SLACK_S:
            violations.append(
                f"{r.trace} at {r.server} was told {r.expires_in_ms} ms with {left_s * 1000:.0f} ms left"
            )
        return violations

    def _not_up_since(self, r: Receipt) -> float | None:
        """Since when the address was not up, at the first byte: infinite if it was, None if never listed."""
        standing = None
        for at_s, up in self._history.get(r.address, []):
            if at_s <= r.first_byte_s:
                standing = float("inf") if up else at_s
        return standing


class Server(Peer):
    """A test server that records each request's first byte and sends the given answer."""

    def __init__(
        self, observer: Observer, name: str, answer: bytes | Callable[..., Awaitable[None]] = OK
    ) -> None:
        super().__init__()
        self.observer, self.name, self.answer = observer, name, answer

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        with suppress(OSError, EOFError):
            await self._requests(reader, writer)

    async def _requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, receipt = http1.RequestParser(), None
        while True:
            data = await reader.read(65536)
            if not data:
                return
            if receipt is None:
                receipt = self._receipt()
            for request in parser.feed(data):
                receipt = receipt or self._receipt()
                receipt.trace = request.headers.get(TRACE, b"").decode()
                receipt.expires_in_ms, receipt = int(request.headers[EXPIRES]), None
                await self._answer(reader, writer)

    def _receipt(self) -> Receipt:
        receipt = Receipt(self.name, "{}:{}".format(*self.address), monotonic())
        self.observer.receipts.append(receipt)
        return receipt

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if isinstance(self.answer, bytes):
            writer.write(self.answer)
        else:
            await self.answer(reader, writer)

"""Fake discovery: one history of revisions, served at two addresses per process, with faults."""

from __future__ import annotations

import asyncio
import json
import random
from contextlib import suppress
from time import monotonic
from typing import Any

from anisespool.config import Address
from tests.net import member, member_list, read_request, reset
from tests.soak.plan import OUTAGES, DiscoveryFault, Fault, Plan
from tests.soak.record import Record, Row

HEARTBEAT_S = 2.0  # between two empty keep-alive lines
POLL_S = 0.01


class History:
    """The list at each revision, and when discovery published it."""

    def __init__(self) -> None:
        self.states: list[dict[str, Row]] = []
        self.published_s: list[float] = []

    def add(self, state: dict[str, Row]) -> None:
        self.states.append(state)
        self.published_s.append(monotonic())

    def change(self, server: str, address: Address, phase: str, since_ms: int) -> None:
        state = dict(self.states[-1])
        state.pop(server, None)
        if phase != "removed":
            state[server] = member(server, address, phase, up_since_ms=since_ms)
        self.add(state)

    def revision_at(self, at_s: float) -> int:
        return max(0, sum(published_s <= at_s for published_s in self.published_s) - 1)

    def changes(self, after: int, revision: int) -> list[Row]:
        old, new = self.states[after], self.states[revision]
        gone: list[Row] = [{"id": server, "phase": "removed"} for server in old.keys() - new.keys()]
        return gone + [row for server, row in new.items() if old.get(server) != row]


class DiscoveryEndpoint:
    """The discovery endpoint of one process at one of its two addresses."""

    def __init__(self, process: int, lag_s: float, plan: Plan, history: History, record: Record) -> None:
        self.process, self.lag_s, self.address = process, lag_s, Address("", 0)
        self._plan, self._history, self._record = plan, history, record
        self._rng = random.Random(f"{plan.seed}-{process}-{lag_s}")
        self._outage: Fault | None = None
        self._silent: set[asyncio.StreamWriter] = set()
        self._ending: set[asyncio.StreamWriter] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = Address(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        if self._server:
            self._server.close()
        self.end_watches(with_reset=True)

    def begin(self, fault: DiscoveryFault) -> None:
        if fault.kind is Fault.SILENT:
            self._silent |= self._watches
            if self._watches:
                self._record.silences.setdefault(self.process, []).append(monotonic())
        elif fault.kind is Fault.ENDS:
            self._ending |= self._watches
        else:
            self._outage = fault.kind if fault.kind in OUTAGES else None
            self.end_watches(with_reset=fault.kind in (Fault.RESET, Fault.DOWN))

    def end(self) -> None:
        self._outage = None

    def end_watches(self, with_reset: bool) -> None:
        for writer in list(self._watches):
            if with_reset:
                reset(writer)
            else:
                writer.close()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError):
            request = await read_request(reader)
            if self._outage is Fault.DOWN:
                reset(writer)
            elif self._outage is Fault.REFUSED:
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            elif self._outage is Fault.HUNG:
                await reader.read()  # until the client gives up
            else:
                await self._watch(int(request.target.rpartition(b"=")[2]), reader, writer)
        if not writer.is_closing():
            writer.close()

    async def _watch(self, index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Streams changes until either side ends it. Writes after the client has closed are not recorded."""
        self._watches.add(writer)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            revision = self._first(index, writer)
            heartbeat_s = monotonic()
            while not (writer.is_closing() or reader.at_eof()):
                now_s, latest = monotonic(), self._latest()
                if writer in self._silent:
                    pass
                elif latest > revision:
                    if writer in self._ending:
                        return
                    self._send_list(writer, latest, self._history.changes(revision, latest), complete=False)
                    revision, heartbeat_s = latest, now_s
                elif now_s >= heartbeat_s + HEARTBEAT_S:
                    self._write(writer, b"\n")
                    heartbeat_s = now_s
                await asyncio.sleep(POLL_S)
        finally:
            for kept in (self._watches, self._silent, self._ending):
                kept.discard(writer)

    def _latest(self) -> int:
        return self._history.revision_at(monotonic() - self.lag_s)

    def _first(self, index: int, writer: asyncio.StreamWriter) -> int:
        """Sends the changes after revision `index`, or the full list. Returns the revision sent."""
        latest = self._latest()
        if index == latest:
            return latest
        if index > latest or self._rng.random() < self._plan.full_list_rate:
            rows = list(self._history.states[latest].values())
            if self._plan.omits_draining:
                rows = [row for row in rows if row["phase"] == "up"]
            self._send_list(writer, latest, rows, complete=True)
        else:
            self._send_list(writer, latest, self._history.changes(index, latest), complete=False)
        return latest

    def _send_list(
        self, writer: asyncio.StreamWriter, revision: int, rows: list[Any], complete: bool
    ) -> None:
        self._write(writer, json.dumps(member_list(revision, rows, complete)).encode() + b"\n")
        if not writer.is_closing():
            self._record.record_write(self.process, revision, monotonic())

    @staticmethod
    def _write(writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

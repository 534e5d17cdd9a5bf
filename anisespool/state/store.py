"""The state store: what must outlive a process, in one SQLite file that both processes of an upgrade share.

Shape: table `orders(sidecar, server, out, at_ms)`, one row a server, the later order holding; tables
`list_heads(sidecar, revision, at_ms, etag)` and `list_rows(sidecar, server, body)`, the last list of
discovery, each server in discovery's own JSON form; table `records(sidecar, kind, id, at_ms, until_ms,
body)`, what was learned (anisespool/state/memory.py) and the clock that dates it all
(anisespool/state/epoch.py), each row void after `until_ms`. `PRAGMA user_version`
is the schema; a file of schema 1 gains the table `lists`, and the others do not change the schema, so that a
release without them still reads what it knows. Each row carries its writer's sidecar name, and each but those
of `list_rows` its Unix time in ms. The file is in WAL mode with `synchronous=FULL`, so a commit has reached
the disk before a yes depends on it.

The list stored is at any time the whole list of one revision, as one process heard it. Its etag is a digest
of its content. A change writes its rows and the new etag in one transaction, and only over the etag of the
list that it changes; where it is another (the other process of an upgrade has heard more or less, or the file
was made anew), and after a write that failed, the whole list goes in its place. Where the other process has
written the same already, no row is written. Earlier releases kept the list in one piece, in
`lists(sidecar, revision, at_ms, body)`: that is read where its revision is later (an upgrade from one, or a
downgrade and an upgrade again), and each write of the new form takes it out, so that an earlier release
starts from the configuration's list rather than from an old one.

Nothing here ends a sidecar: a store that cannot be opened, is damaged, of another version, or made the last
starts crash is logged in one line, set aside where it is a file, and the sidecar runs from nothing.
"""

from __future__ import annotations

import asyncio
import sqlite3
import threading
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import TypeVar
from urllib.parse import quote

from anisespool.errors import StoreBusy, StoreError, StoreUnreadable
from anisespool.state import tables
from anisespool.state.guard import LOADS_BEFORE_ASIDE, LoadGuard, set_aside
from anisespool.state.records import ListHead, Order, Record, log, now_ms
from anisespool.state.tables import FUTURE_MS, SCHEMA

__all__ = ["SCHEMA", "ListHead", "Order", "Record", "Store", "now_ms", "place"]

LIST_KEPT_MS = 600_000  # an older list says less than the one in the configuration

T = TypeVar("T")


def place(folder: Path, name: str) -> Path:
    return folder / f"sailbridge-{quote(name, safe='')}.sqlite"


class Store:
    """One sidecar's records. Reads are on the caller's thread; writes on a worker thread, so that a
    commit's fsync or the other process's lock never holds up a request."""

    def __init__(self, path: Path, name: str, reader: sqlite3.Connection, writer: sqlite3.Connection) -> None:
        self.path, self.name = path, name
        self._reader, self._writer = reader, writer
        self._write_lock = asyncio.Lock()
        self._writing = threading.Lock()  # held by the thread that writes: its task may be cancelled before
        self._versions: dict[str, int] = {}  # by who looks
        self._orders_ahead: dict[tuple[str, int], int] = {}  # as tables.checked keeps them

    @classmethod
    def open(cls, folder: Path, name: str) -> Store | None:
        """The store in `folder`, or None (logged) where none can be had."""
        path = place(folder, name)
        guard = LoadGuard(path)
        try:
            if guard.starts_failed() >= LOADS_BEFORE_ASIDE:
                set_aside(path, "the last starts ended while loading it")
            guard.begin()
            try:
                store = cls._open(path, name)
            except sqlite3.OperationalError:
                raise  # the file is busy, or cannot be opened: nothing says that it is damaged
            except (sqlite3.DatabaseError, StoreError) as error:
                set_aside(path, str(error))
                store = cls._open(path, name)
            guard.end()
            return store
        except (OSError, sqlite3.Error, StoreError) as error:
            log(f"no state store at {path}, running from nothing: {error}")
            return None

    @classmethod
    def _open(cls, path: Path, name: str) -> Store:
        writer = tables.connect(path, check_same_thread=False)
        try:
            tables.prepare(writer)
            reader = tables.connect(path, check_same_thread=True)
        except BaseException:
            writer.close()
            raise
        return cls(path, name, reader, writer)

    def close(self) -> None:
        """Once a write that is under way has ended. Danger: it goes on in its thread though its task was
        cancelled, and a connection closed under it ends the process by SIGSEGV."""
        with self._writing:
            self._reader.close()
            self._writer.close()

    def changed(self, looker: str = "") -> bool:
        """Another connection has committed since the last look of this looker. Cheap: no row is read."""
        version = self._reader.execute("PRAGMA data_version").fetchone()[0]
        seen, self._versions[looker] = self._versions.get(looker, -1), version
        return bool(version != seen)

    def orders(self) -> dict[str, Order]:
        """This sidecar's orders, checked: rows of other sidecars are left out and rows from the future are
        taken as of the first read, each kind in one log line. Raises StoreError."""
        try:
            rows = self._reader.execute("SELECT sidecar, server, out, at_ms FROM orders").fetchall()
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the orders cannot be read: {error}") from None
        return tables.checked(rows, self.name, now_ms(), self._orders_ahead)

    async def order(self, server: str, out: bool) -> Order | None:
        """Store that `server` is out or called back, once it is durable; the order that holds, or None where
        it held already. Raises StoreError."""
        async with self._write_lock:
            return await asyncio.to_thread(self._transaction, tables.order, server, out)

    def last_list(self) -> tuple[ListHead, str] | None:
        """The last list stored, as one JSON object, where it is this sidecar's, at most LIST_KEPT_MS old and
        not from the future; else None, logged. Raises StoreError."""
        try:
            rows = tables.stored_lists(self._reader, self.name)
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the list cannot be read: {error}") from None
        found: list[tuple[ListHead, str]] = []
        for revision, at_ms, etag, body in rows:
            age_ms = now_ms() - at_ms if isinstance(at_ms, int) else -FUTURE_MS - 1
            fresh = -FUTURE_MS <= age_ms <= LIST_KEPT_MS
            if fresh and isinstance(revision, int) and isinstance(body, str):
                found.append((ListHead(revision, str(etag)), body))
            else:
                log(f"the stored list is left out: {age_ms} ms old, or of no form")
        return max(found, key=lambda each: each[0].revision, default=None)

    async def change_list(self, head: ListHead, before: str, changed: Mapping[str, object]) -> bool:
        """Keep what changed of the list under etag `before`: the entries by server, None where it is gone.
        False, and nothing is written, where another list is stored. Raises StoreError."""
        async with self._write_lock:
            return await asyncio.to_thread(self._transaction, tables.change_list, head, before, changed)

    async def replace_list(self, head: ListHead, members: Mapping[str, object]) -> None:
        """Keep the whole list, whatever was stored: the entries by server. Raises StoreError."""
        async with self._write_lock:
            await asyncio.to_thread(self._transaction, tables.replace_list, head, members)

    def clock_record(self, kind: str, key: str) -> tuple[str | None, int]:
        """The body of the record that dates the others, whatever its own time, and the time of the latest
        row (0: none). Raises StoreError."""
        try:
            return tables.clock_record(self._reader, self.name, kind, key)
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the {kind} record cannot be read: {error}") from None

    def records(self, kind: str, whenever: bool = False) -> list[Record]:
        """This sidecar's records of a kind that still hold. Those of other sidecars, from the future, too old
        or of no form are left out, in one log line but for the old. `whenever`: also those from the future
        and the old, as their clock may be another. Raises StoreError."""
        try:
            rows = self._reader.execute(
                "SELECT sidecar, id, at_ms, until_ms, body FROM records WHERE kind = ?", (kind,)
            ).fetchall()
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the {kind} records cannot be read: {error}") from None
        now, kept, bad = now_ms(), [], 0
        for sidecar, key, at_ms, until_ms, body in rows:
            formed = isinstance(at_ms, int) and isinstance(until_ms, int) and isinstance(body, str)
            if sidecar != self.name or not formed or at_ms > now + FUTURE_MS and not whenever:
                bad += 1
            elif until_ms > now or whenever:
                kept.append(Record(kind, str(key), at_ms, until_ms, body))
        if bad:
            log(f"{bad} {kind} records of another sidecar, from the future or of no form left out")
        return kept

    async def put(self, records: Iterable[Record]) -> None:
        """Keep records, each where it is later than the one of its kind and id; those whose time is over go.
        Raises StoreError."""
        async with self._write_lock:
            await asyncio.to_thread(self._transaction, tables.put_records, list(records))

    async def merge(self, orders: dict[str, Order]) -> dict[str, Order]:
        """Take up orders from elsewhere, each where it is later than the stored one; those taken."""
        async with self._write_lock:
            return await asyncio.to_thread(self._transaction, tables.merge, orders)

    def _transaction(self, work: Callable[..., T], *arguments: object) -> T:
        try:
            with self._writing, self._writer:  # commits, or rolls back on an error
                self._writer.execute("BEGIN IMMEDIATE")  # the other process waits: read and write are one
                return work(self._writer, self.name, *arguments)
        except (sqlite3.Error, UnicodeError, OverflowError) as error:  # the latter: what no column takes
            raise StoreBusy(f"cannot be written: {error}") from None

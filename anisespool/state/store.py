"""The state store: what must outlive a process, in one SQLite file that both processes of an upgrade share.

Shape: table `orders(sidecar, server, out, at_ms)`, one row a server, the later order holding; tables
`list_heads(sidecar, revision, at_ms, etag)` and `list_rows(sidecar, server, body)`, the last list of
discovery, each server in discovery's own JSON form; table `records(sidecar, kind, id, at_ms, until_ms,
body)`, what was learned (anisespool/state/learned_state.py) and the clock that dates it all
(anisespool/state/clock.py), each row void after `until_ms`. `PRAGMA user_version`
is the schema; a file of schema 1 gains the table `lists`, and the others do not change the schema, so that a
release without them still reads what it knows. Each row carries its writer's sidecar name, and all but those
of `list_rows` its Unix time in ms. The file is in WAL mode with `synchronous=FULL`, so a commit has reached
the disk before a yes depends on it.

The list stored is at any time the whole list of one revision, as one process heard it. Its etag is a digest
of its content. A change writes its rows and the new etag in one transaction, and only over the etag of the
list that it changes; where it is another (the other process of an upgrade has heard more or less, or the file
was made anew), and after a write that failed, the whole list goes in its place. Earlier releases kept it in
one piece, in `lists(sidecar, revision, at_ms, body)`: that is read where its revision is later, and each
write of the new form takes it out, so that an earlier release starts from the configuration's list.

Nothing here ends a sidecar: a store that cannot be opened, is damaged, of another version, or made the last
starts crash is logged, set aside where it is a file, and the sidecar runs from nothing.
"""

from __future__ import annotations

import asyncio
import sqlite3
import threading
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Self, TypeVar
from urllib.parse import quote

from anisespool.errors import StoreBusy, StoreError, StoreUnreadable, Unstorable
from anisespool.state import tables
from anisespool.state.connections import connect, is_contention
from anisespool.state.records import ListHead, Order, Record, log, now_ms
from anisespool.state.tables import FUTURE_MS, SCHEMA

__all__ = ["SCHEMA", "ListHead", "Order", "Record", "Store", "now_ms", "place"]

LIST_KEPT_MS = 600_000  # an older list says less than the one in the configuration

T = TypeVar("T")


def place(folder: Path, name: str) -> Path:
    return folder / f"sailbridge-{quote(name, safe='')}.sqlite"


class Store:
    """One sidecar's records. Reads are on the caller's thread; writes on a worker thread, so that a
    commit's fsync or the other process's lock never holds up a request.

    A store that cannot be opened reads as an empty one, and each write tries to open it. One whose write
    failed, but for a lock, is opened anew by the next write."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self.name = path, name
        self.is_open = False  # the reader can be used
        self.on_new_file: list[Callable[[], None]] = []  # called once another file than before is in use
        self._reader: sqlite3.Connection
        self._writer: sqlite3.Connection
        self._next_reader: sqlite3.Connection | None = None  # opened by a worker thread, not yet in use
        self._is_writable = self._closed = False
        self._file_id = self._next_file_id = (0, 0)  # of the readers: device and inode; none yet
        self._write_lock = asyncio.Lock()
        self._writing = threading.Lock()  # held by the thread that writes: its task may be cancelled before
        self._versions: dict[str, int] = {}  # by who looks
        self._orders_ahead: dict[tuple[str, int], int] = {}  # as tables.checked keeps them

    @classmethod
    def attach(cls, folder: Path, name: str) -> Self:
        """The store in `folder`, now or (logged) once it can be had."""
        it = cls(place(folder, name), name)
        try:
            it._open()
            it._use_next_reader()
        except (OSError, sqlite3.Error, StoreError) as error:
            log(f"no state store at {it.path}, running from nothing: {error}")
        return it

    @classmethod
    def open(cls, folder: Path, name: str) -> Self | None:
        """The store in `folder`, or None (logged) where none can be had."""
        it = cls.attach(folder, name)
        return it if it.is_open else None

    def close(self) -> None:
        """Once a write that is under way has ended: closed under it, the process ends by SIGSEGV."""
        with self._writing:
            self._closed = True
            for name in ("_reader", "_writer", "_next_reader"):
                if connection := getattr(self, name, None):
                    connection.close()

    def changed(self, looker: str = "") -> bool:
        """Another connection has committed since the last look of this looker. Cheap: no row is read. Raises
        StoreUnreadable."""
        if not self.is_open:
            return False
        try:
            version = self._reader.execute("PRAGMA data_version").fetchone()[0]
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the store cannot be looked at: {error}") from None
        seen, self._versions[looker] = self._versions.get(looker, -1), version
        return bool(version != seen)

    def orders(self) -> dict[str, Order]:
        """This sidecar's orders, checked: rows of other sidecars are left out and rows from the future are
        taken as of the first read, each kind in one log line. Raises StoreError."""
        if not self.is_open:
            return {}
        try:
            rows = self._reader.execute("SELECT sidecar, server, out, at_ms FROM orders").fetchall()
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the orders cannot be read: {error}") from None
        return tables.checked(rows, self.name, now_ms(), self._orders_ahead)

    async def order(
        self, server: str, out: bool, owed: Mapping[str, Order] = MappingProxyType({})
    ) -> Order | None:
        """Store that `server` is out or called back, once it is durable, and before it the orders `owed`;
        the order that holds, or None where it held already. Raises StoreError."""
        return await self._write(tables.order, server, out, owed)

    def last_list(self) -> tuple[ListHead, str] | None:
        """The last list stored, as one JSON object, where it is this sidecar's, at most LIST_KEPT_MS old and
        not from the future; else None, logged. Raises StoreError."""
        if not self.is_open:
            return None
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
        return await self._write(tables.change_list, head, before, changed)

    async def replace_list(self, head: ListHead, members: Mapping[str, object]) -> None:
        """Keep the whole list, whatever was stored: the entries by server. Raises StoreError."""
        await self._write(tables.replace_list, head, members)

    def clock_record(self, kind: str, key: str) -> tuple[str | None, int]:
        """The body of the record that dates the others, whatever its own time, and the time of the latest
        row (0: none). Raises StoreError."""
        if not self.is_open:
            return None, 0
        try:
            return tables.clock_record(self._reader, self.name, kind, key)
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the {kind} record cannot be read: {error}") from None

    def records(self, kind: str, whenever: bool = False) -> list[Record]:
        """This sidecar's records of a kind that still hold. Those of other sidecars, from the future, too old
        or of no form are left out, in one log line but for the old. `whenever`: also those from the future
        and the old, as their clock may be another. Raises StoreError."""
        if not self.is_open:
            return []
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
        await self._write(tables.put_records, list(records))

    async def merge(self, orders: Mapping[str, Order]) -> dict[str, Order]:
        """Take up orders from elsewhere, each where it is later than the stored one; those taken. Raises
        StoreError."""
        return await self._write(tables.merge, orders)

    async def _write(self, work: Callable[..., T], *arguments: object) -> T:
        async with self._write_lock:
            try:
                return await asyncio.to_thread(self._transaction, work, *arguments)
            finally:
                self._use_next_reader()

    def _transaction(self, work: Callable[..., T], *arguments: object) -> T:
        with self._writing:
            try:
                if not self._is_writable:
                    self._open()
                with self._writer:  # commits, or rolls back on an error
                    self._writer.execute("BEGIN IMMEDIATE")  # the other process waits: read and write are one
                    return work(self._writer, self.name, *arguments)
            except (ValueError, OverflowError, RecursionError) as error:  # what no column takes
                raise Unstorable(f"cannot be written: {error}") from None
            except (OSError, sqlite3.Error) as error:
                if self._is_writable:  # a transaction that is still open would fail all later ones
                    self._is_writable = is_contention(error) and not self._writer.in_transaction
                raise StoreBusy(f"cannot be written: {error}") from None

    def _open(self) -> None:
        """New connections. Raises OSError, sqlite3.Error or StoreError, and then the former ones stay."""
        if self._closed:
            raise StoreBusy("this process has closed it")
        reader, writer = connect(self.path)
        found = self.path.stat()
        self._next_file_id = found.st_dev, found.st_ino
        former = self._next_reader, getattr(self, "_writer", None)
        self._next_reader, self._writer, self._is_writable = reader, writer, True
        for connection in former:
            if connection is not None:
                connection.close()

    def _use_next_reader(self) -> None:
        """On the thread that reads: a reader that another one closes while it reads ends the process by
        SIGSEGV. Not while a thread writes whose task was cancelled: it may be opening further ones."""
        if not self._writing.acquire(blocking=False):
            return
        try:
            if self._next_reader is None or self._closed:
                return
            if self.is_open:
                self._reader.close()
            self._reader, self._next_reader, self.is_open = self._next_reader, None, True
            self._versions.clear()
            former, self._file_id = self._file_id, self._next_file_id
        finally:
            self._writing.release()
        for call in self.on_new_file if former != self._file_id else ():
            call()

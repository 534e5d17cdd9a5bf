"""The state store: what must outlive a process, in one SQLite file that both processes of an upgrade share.

The tables are `orders(sidecar, server, out, at_ms)`, one row for each server, the latest order given by an
operator; `list_heads(sidecar, revision, at_ms, etag)` and `list_rows(sidecar, server, body)`, the last list
from discovery, with each server as discovery's JSON; and `records(sidecar, kind, id, at_ms, until_ms, body)`,
what was learned (anisespool/state/learned_state.py) and the clock that dates all rows
(anisespool/state/clock.py), where each row expires at `until_ms`. `PRAGMA user_version` is the schema: table
`lists` was added to schema 1, while the later tables do not change the schema, so that releases without them
can still read what they know. Each row has its writer's sidecar name, and all rows but those of `list_rows`
have their time (Unix ms). The file uses WAL mode with `synchronous=FULL`, so that a commit is on disk before
an operator's call is answered.

The stored list is always the complete list of one revision, as one process received it. Its etag is a digest
of its content. A change writes its rows and the new etag in one transaction, only if the stored etag is that
of the list that it changes. If it is another (the other process of an upgrade has received more or fewer
updates, or the file is new), or if the last write failed, the complete list is written instead. Earlier
releases stored the list in one piece, in `lists(sidecar, revision, at_ms, body)`. That list is read if its
revision is later, and deleted by each write of the new form, so that an earlier release started again uses
the configuration's list.

Errors here never stop a sidecar. If the store cannot be opened, is damaged, has another schema, or crashed
the last starts, this is logged, the store is set aside if it is a file, and the sidecar starts without it.
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
from anisespool.state.tables import MAX_CLOCK_AHEAD_MS, SCHEMA

__all__ = ["SCHEMA", "ListHead", "Order", "Record", "Store", "now_ms", "store_path"]

LIST_RETENTION_MS = 600_000  # the configuration's list is better than an older stored one

T = TypeVar("T")


def store_path(folder: Path, name: str) -> Path:
    return folder / f"sailbridge-{quote(name, safe='')}.sqlite"


class Store:
    """One sidecar's rows. Reads run on the caller's thread and writes on a worker thread, so that the fsync
    of a commit or the other process's lock does not delay requests.

    A store that cannot be opened reads as an empty one, and each write tries to open it. After a write that
    failed for another reason than a lock, the next write opens the store again."""

    def __init__(self, path: Path, name: str) -> None:
        self.path, self.name = path, name
        self.is_open = False  # the reader can be used
        self.on_new_file: list[Callable[[], None]] = []  # called when a different file has come into use
        self._reader: sqlite3.Connection
        self._writer: sqlite3.Connection
        self._next_reader: sqlite3.Connection | None = None  # opened by a worker thread, not yet in use
        self._is_writable = self._closed = False
        self._file_id = self._next_file_id = (0, 0)  # device and inode of the readers' files
        self._write_lock = asyncio.Lock()
        self._thread_lock = threading.Lock()  # held by the writing thread, even if its task is cancelled
        self._seen_versions: dict[str, int] = {}  # data_version at the last check, by consumer
        self._future_orders: dict[tuple[str, int], int] = {}  # see tables.validated_orders

    @classmethod
    def attach(cls, folder: Path, name: str) -> Self:
        """The store in `folder`. If it cannot be opened yet, that is logged and a later write opens it."""
        store = cls(store_path(folder, name), name)
        try:
            store._open()
            store._use_next_reader()
        except (OSError, sqlite3.Error, StoreError) as error:
            log(f"no state store at {store.path}, starting without stored state: {error}")
        return store

    @classmethod
    def open(cls, folder: Path, name: str) -> Self | None:
        """The store in `folder`, or None (logged) if it cannot be opened."""
        store = cls.attach(folder, name)
        return store if store.is_open else None

    def close(self) -> None:
        """Close after any write in progress: closing a connection in use crashes the process (SIGSEGV)."""
        with self._thread_lock:
            self._closed = True
            for name in ("_reader", "_writer", "_next_reader"):
                if connection := getattr(self, name, None):
                    connection.close()

    def has_changed(self, consumer: str = "") -> bool:
        """Whether another connection has committed since this consumer's last check. Cheap, as no row is
        read. Raises StoreUnreadable."""
        if not self.is_open:
            return False
        try:
            version = self._reader.execute("PRAGMA data_version").fetchone()[0]
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the store cannot be checked for changes: {error}") from None
        last_version, self._seen_versions[consumer] = self._seen_versions.get(consumer, -1), version
        return bool(version != last_version)

    def orders(self) -> dict[str, Order]:
        """This sidecar's orders. Invalid rows and those of other sidecars are ignored; orders dated in the
        future are treated as given when first read. Both are logged. Raises StoreError."""
        if not self.is_open:
            return {}
        try:
            rows = self._reader.execute("SELECT sidecar, server, out, at_ms FROM orders").fetchall()
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the orders cannot be read: {error}") from None
        return tables.validated_orders(rows, self.name, now_ms(), self._future_orders)

    async def set_order(
        self, server: str, out: bool, unstored: Mapping[str, Order] = MappingProxyType({})
    ) -> Order | None:
        """Store whether `server` is out, and before it the orders `unstored`. Returns once it is durable: the
        order, or None if the last one was the same. Raises StoreError."""
        return await self._write(tables.set_order, server, out, unstored)

    def last_list(self) -> tuple[ListHead, str] | None:
        """The last list of this sidecar, as one JSON object. None if there is none, or (logged) if it is
        older than LIST_RETENTION_MS, dated in the future or malformed. Raises StoreError."""
        if not self.is_open:
            return None
        try:
            rows = tables.stored_lists(self._reader, self.name)
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the list cannot be read: {error}") from None
        candidates: list[tuple[ListHead, str]] = []
        for revision, at_ms, etag, body in rows:
            age_ms = now_ms() - at_ms if isinstance(at_ms, int) else -MAX_CLOCK_AHEAD_MS - 1
            fresh = -MAX_CLOCK_AHEAD_MS <= age_ms <= LIST_RETENTION_MS
            if fresh and isinstance(revision, int) and isinstance(body, str):
                candidates.append((ListHead(revision, str(etag)), body))
            else:
                log(f"the stored list is ignored: {age_ms} ms old, or malformed")
        return max(candidates, key=lambda each: each[0].revision, default=None)

    async def change_list(self, head: ListHead, expected_etag: str, changed: Mapping[str, object]) -> bool:
        """Store changes to the list that has `expected_etag`: the entries by server, None if removed. Returns
        False and writes nothing if another list is stored. Raises StoreError."""
        return await self._write(tables.change_list, head, expected_etag, changed)

    async def replace_list(self, head: ListHead, members: Mapping[str, object]) -> None:
        """Store the complete list, whatever was stored: the entries by server. Raises StoreError."""
        await self._write(tables.replace_list, head, members)

    def clock_record(self, kind: str, key: str) -> tuple[str | None, int]:
        """The body of the clock's record, whatever its own time, and the time of the latest row (0: none).
        Raises StoreError."""
        if not self.is_open:
            return None, 0
        try:
            return tables.clock_record(self._reader, self.name, kind, key)
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the {kind} record cannot be read: {error}") from None

    def records(self, kind: str, any_time: bool = False) -> list[Record]:
        """This sidecar's records of a kind that have not expired. Those of other sidecars, dated in the
        future or malformed are ignored and logged in one line. `any_time`: include those that have expired or
        are dated in the future, as they may be dated by another clock. Raises StoreError."""
        if not self.is_open:
            return []
        try:
            rows = self._reader.execute(
                "SELECT sidecar, id, at_ms, until_ms, body FROM records WHERE kind = ?", (kind,)
            ).fetchall()
        except sqlite3.Error as error:
            raise StoreUnreadable(f"the {kind} records cannot be read: {error}") from None
        now, valid, invalid = now_ms(), [], 0
        for sidecar, key, at_ms, until_ms, body in rows:
            is_valid = isinstance(at_ms, int) and isinstance(until_ms, int) and isinstance(body, str)
            if sidecar != self.name or not is_valid or at_ms > now + MAX_CLOCK_AHEAD_MS and not any_time:
                invalid += 1
            elif until_ms > now or any_time:
                valid.append(Record(kind, str(key), at_ms, until_ms, body))
        if invalid:
            log(f"{invalid} {kind} records ignored: malformed, dated in the future or of another sidecar")
        return valid

    async def put(self, records: Iterable[Record]) -> None:
        """Store records unless later ones of the same id are stored; drop expired ones. Raises StoreError."""
        await self._write(tables.put_records, list(records))

    async def merge_orders(self, orders: Mapping[str, Order]) -> dict[str, Order]:
        """Store the orders that are later than the stored ones, and return them. Raises StoreError."""
        return await self._write(tables.merge_orders, orders)

    async def _write(self, operation: Callable[..., T], *arguments: object) -> T:
        async with self._write_lock:
            try:
                return await asyncio.to_thread(self._transaction, operation, *arguments)
            finally:
                self._use_next_reader()

    def _transaction(self, operation: Callable[..., T], *arguments: object) -> T:
        with self._thread_lock:
            try:
                if not self._is_writable:
                    self._open()
                with self._writer:  # commits, or rolls back on an error
                    self._writer.execute("BEGIN IMMEDIATE")  # locks out the other process from read to write
                    return operation(self._writer, self.name, *arguments)
            except (ValueError, OverflowError, RecursionError) as error:  # a value that fits no column
                raise Unstorable(f"cannot be written: {error}") from None
            except (OSError, sqlite3.Error) as error:
                if self._is_writable:  # an open transaction would make all later ones fail
                    self._is_writable = is_contention(error) and not self._writer.in_transaction
                raise StoreBusy(f"cannot be written: {error}") from None

    def _open(self) -> None:
        """Open new connections. On OSError, sqlite3.Error or StoreError the previous ones stay in use."""
        if self._closed:
            raise StoreBusy("this process has closed it")
        reader, writer = connect(self.path)
        status = self.path.stat()
        self._next_file_id = status.st_dev, status.st_ino
        previous = self._next_reader, getattr(self, "_writer", None)
        self._next_reader, self._writer, self._is_writable = reader, writer, True
        for connection in previous:
            if connection is not None:
                connection.close()

    def _use_next_reader(self) -> None:
        """Switch to a reader opened by a write. Runs on the reading thread, as closing a connection in use
        crashes the process (SIGSEGV). Skipped while a thread whose task was cancelled still writes, as it may
        be opening further connections."""
        if not self._thread_lock.acquire(blocking=False):
            return
        try:
            if self._next_reader is None or self._closed:
                return
            if self.is_open:
                self._reader.close()
            self._reader, self._next_reader, self.is_open = self._next_reader, None, True
            self._seen_versions.clear()
            previous, self._file_id = self._file_id, self._next_file_id
        finally:
            self._thread_lock.release()
        for call in self.on_new_file if previous != self._file_id else ():
            call()

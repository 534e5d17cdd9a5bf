"""The state store: what must outlive a process, in one SQLite file that both processes of an upgrade share.

Shape: table `orders(sidecar, server, out, at_ms)`, one row a server, the later order holding; table
`lists(sidecar, revision, at_ms, body)`, the last list of discovery in its own JSON form; table
`records(sidecar, kind, id, at_ms, until_ms, body)`, what was learned (anisespool/state/memory.py), each row
void after `until_ms`. `PRAGMA user_version` is the schema; a file of schema 1 gains the second table, and
the third does not change the schema, so that a release without it still reads the others. Each row carries
its writer's sidecar name and its Unix time in ms. The file is in WAL mode with `synchronous=FULL`, so a
commit has reached the disk before a yes depends on it.

Nothing here ends a sidecar: a store that cannot be opened, is damaged, of another version, or made the last
starts crash is logged in one line, set aside where it is a file, and the sidecar runs from nothing.
"""

from __future__ import annotations

import asyncio
import os
import sqlite3
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple, TypeVar
from urllib.parse import quote

SCHEMA = 2
BUSY_MS = 1_000  # the other process of an upgrade writes one row at a time: a wait this long is a fault
FUTURE_MS = 60_000  # a record younger than now by more than this was written under another clock
CALL_BACK_KEPT_MS = 3_600_000  # a call back is of no more use once its server is warm
LIST_KEPT_MS = 600_000  # an older list says less than the one in the configuration
LOADS_BEFORE_ASIDE = 2  # loads that never ended: the third start sets the file aside (crash-loop guard)

T = TypeVar("T")


class Order(NamedTuple):
    out: bool
    at_ms: int  # Unix time


class Record(NamedTuple):
    kind: str
    id: str
    at_ms: int  # when it was learned, Unix time
    until_ms: int  # void from then on
    body: str


class StoreError(Exception):
    """The store could not do what was asked; the text says why."""


def place(folder: Path, name: str) -> Path:
    return folder / f"sailbridge-{quote(name, safe='')}.sqlite"


def now_ms() -> int:
    return time.time_ns() // 1_000_000


class Store:
    """One sidecar's records. Reads are on the caller's thread; writes on a worker thread, so that a
    commit's fsync or the other process's lock never holds up a request."""

    def __init__(self, path: Path, name: str, reader: sqlite3.Connection, writer: sqlite3.Connection) -> None:
        self.path, self.name = path, name
        self._reader, self._writer = reader, writer
        self._write_lock = asyncio.Lock()
        self._versions: dict[str, int] = {}  # by who looks

    @classmethod
    def open(cls, folder: Path, name: str) -> Store | None:
        """The store in `folder`, or None (logged) where none can be had."""
        path = place(folder, name)
        guard = _LoadGuard(path)
        try:
            if guard.starts_failed() >= LOADS_BEFORE_ASIDE:
                _set_aside(path, "the last starts ended while loading it")
            guard.begin()
            try:
                store = cls._open(path, name)
            except sqlite3.OperationalError:
                raise  # the file is busy, or cannot be opened: nothing says that it is damaged
            except (sqlite3.DatabaseError, StoreError) as error:
                _set_aside(path, str(error))
                store = cls._open(path, name)
            guard.end()
            return store
        except (OSError, sqlite3.Error, StoreError) as error:
            log(f"no state store at {path}, running from nothing: {error}")
            return None

    @classmethod
    def _open(cls, path: Path, name: str) -> Store:
        writer = _connect(path, check_same_thread=False)
        try:
            _prepare(writer)
            reader = _connect(path, check_same_thread=True)
        except BaseException:
            writer.close()
            raise
        return cls(path, name, reader, writer)

    def close(self) -> None:
        self._reader.close()
        self._writer.close()

    def changed(self, looker: str = "") -> bool:
        """Another connection has committed since the last look of this looker. Cheap: no row is read."""
        version = self._reader.execute("PRAGMA data_version").fetchone()[0]
        seen, self._versions[looker] = self._versions.get(looker, -1), version
        return bool(version != seen)

    def orders(self) -> dict[str, Order]:
        """This sidecar's orders, checked: rows of other sidecars are left out and rows from the future are
        taken as of now, each kind in one log line. Raises StoreError."""
        try:
            rows = self._reader.execute("SELECT sidecar, server, out, at_ms FROM orders").fetchall()
        except sqlite3.Error as error:
            raise StoreError(f"the orders cannot be read: {error}") from None
        return _checked(rows, self.name, now_ms())

    async def order(self, server: str, out: bool) -> Order | None:
        """Store that `server` is out or called back, once it is durable; the order that holds, or None where
        it held already. Raises StoreError."""
        async with self._write_lock:
            return await asyncio.to_thread(self._transaction, _order, server, out)

    def last_list(self) -> tuple[int, str] | None:
        """The revision and JSON body of the last list stored, where it is this sidecar's, at most
        LIST_KEPT_MS old and not from the future; else None, logged. Raises StoreError."""
        try:
            row = self._reader.execute(
                "SELECT revision, at_ms, body FROM lists WHERE sidecar = ?", (self.name,)
            ).fetchone()
        except sqlite3.Error as error:
            raise StoreError(f"the list cannot be read: {error}") from None
        if row is None:
            return None
        revision, at_ms, body = row
        age_ms = now_ms() - at_ms if isinstance(at_ms, int) else -FUTURE_MS - 1
        if not (-FUTURE_MS <= age_ms <= LIST_KEPT_MS and isinstance(revision, int) and isinstance(body, str)):
            log(f"the stored list is left out: {age_ms} ms old, or of no form")
            return None
        return revision, body

    async def save_list(self, revision: int, body: str) -> None:
        """Keep the list as discovery last said it. Raises StoreError."""
        async with self._write_lock:
            await asyncio.to_thread(self._transaction, _save_list, revision, body)

    def records(self, kind: str) -> list[Record]:
        """This sidecar's records of a kind that still hold. Those of other sidecars, from the future, too old
        or of no form are left out, in one log line but for the old. Raises StoreError."""
        try:
            rows = self._reader.execute(
                "SELECT sidecar, id, at_ms, until_ms, body FROM records WHERE kind = ?", (kind,)
            ).fetchall()
        except sqlite3.Error as error:
            raise StoreError(f"the {kind} records cannot be read: {error}") from None
        now, kept, bad = now_ms(), [], 0
        for sidecar, key, at_ms, until_ms, body in rows:
            formed = isinstance(at_ms, int) and isinstance(until_ms, int) and isinstance(body, str)
            if sidecar != self.name or not formed or at_ms > now + FUTURE_MS:
                bad += 1
            elif until_ms > now:
                kept.append(Record(kind, str(key), at_ms, until_ms, body))
        if bad:
            log(f"{bad} {kind} records of another sidecar, from the future or of no form left out")
        return kept

    async def put(self, records: Iterable[Record]) -> None:
        """Keep records, each where it is later than the one of its kind and id; those whose time is over go.
        Raises StoreError."""
        async with self._write_lock:
            await asyncio.to_thread(self._transaction, _put_records, list(records))

    async def merge(self, orders: dict[str, Order]) -> dict[str, Order]:
        """Take up orders from elsewhere, each where it is later than the stored one; those taken."""
        async with self._write_lock:
            return await asyncio.to_thread(self._transaction, _merge, orders)

    def _transaction(self, work: Callable[..., T], *arguments: object) -> T:
        try:
            with self._writer:  # commits, or rolls back on an error
                self._writer.execute("BEGIN IMMEDIATE")  # the other process waits: read and write are one
                return work(self._writer, self.name, *arguments)
        except sqlite3.Error as error:
            raise StoreError(f"cannot be written: {error}") from None


def _connect(path: Path, check_same_thread: bool) -> sqlite3.Connection:
    connection = sqlite3.connect(
        path, timeout=BUSY_MS / 1000, isolation_level=None, check_same_thread=check_same_thread
    )
    connection.execute("PRAGMA synchronous=FULL")
    return connection


def _prepare(connection: sqlite3.Connection) -> None:
    """Make a new file, or check an old one. Raises sqlite3.DatabaseError or StoreError where it is damaged
    or of another schema."""
    if connection.execute("PRAGMA journal_mode=WAL").fetchone()[0] != "wal":
        raise StoreError("the file takes no write-ahead log")
    verdict = connection.execute("PRAGMA quick_check").fetchone()[0]
    if verdict != "ok":
        raise StoreError(f"damaged: {verdict}")
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version < SCHEMA:  # new, or of the release before: what it has stays
        with connection:
            connection.execute("BEGIN IMMEDIATE")
            connection.execute(
                "CREATE TABLE IF NOT EXISTS orders (sidecar TEXT NOT NULL, server TEXT NOT NULL,"
                " out INTEGER NOT NULL, at_ms INTEGER NOT NULL, PRIMARY KEY (sidecar, server))"
            )
            connection.execute(
                "CREATE TABLE IF NOT EXISTS lists (sidecar TEXT PRIMARY KEY, revision INTEGER NOT NULL,"
                " at_ms INTEGER NOT NULL, body TEXT NOT NULL)"
            )
            connection.execute(f"PRAGMA user_version={SCHEMA}")
    elif version != SCHEMA:
        raise StoreError(f"schema {version}, this release reads {SCHEMA}")
    connection.execute(
        "CREATE TABLE IF NOT EXISTS records (sidecar TEXT NOT NULL, kind TEXT NOT NULL, id TEXT NOT NULL,"
        " at_ms INTEGER NOT NULL, until_ms INTEGER NOT NULL, body TEXT NOT NULL,"
        " PRIMARY KEY (sidecar, kind, id))"
    )


def _checked(rows: list[tuple[object, ...]], name: str, now: int) -> dict[str, Order]:
    orders, foreign, future = {}, 0, 0
    for sidecar, server, out, at_ms in rows:
        if sidecar != name or not isinstance(server, str) or not isinstance(at_ms, int):
            foreign += 1
            continue
        if at_ms > now + FUTURE_MS:
            future, at_ms = future + 1, now
        orders[server] = Order(bool(out), at_ms)
    if foreign:
        log(f"{foreign} records of another sidecar or of no form left out")
    if future:
        log(f"{future} orders from the future, by another clock, taken as of now")
    return orders


def _order(connection: sqlite3.Connection, name: str, server: str, out: bool) -> Order | None:
    row = connection.execute(
        "SELECT out, at_ms FROM orders WHERE sidecar = ? AND server = ?", (name, server)
    ).fetchone()
    if row is not None and bool(row[0]) == out:
        return None
    order = Order(out, max(now_ms(), row[1] + 1 if row else 0))  # later than the last, whatever the clock
    _put(connection, name, {server: order})
    connection.execute(
        "DELETE FROM orders WHERE sidecar = ? AND out = 0 AND at_ms < ?", (name, now_ms() - CALL_BACK_KEPT_MS)
    )
    return order


def _save_list(connection: sqlite3.Connection, name: str, revision: int, body: str) -> None:
    connection.execute(
        "INSERT OR REPLACE INTO lists (sidecar, revision, at_ms, body) VALUES (?, ?, ?, ?)",
        (name, revision, now_ms(), body),
    )


def _put_records(connection: sqlite3.Connection, name: str, records: list[Record]) -> None:
    connection.executemany(
        "INSERT INTO records (sidecar, kind, id, at_ms, until_ms, body) VALUES (?, ?, ?, ?, ?, ?)"
        " ON CONFLICT DO UPDATE SET at_ms = excluded.at_ms, until_ms = excluded.until_ms,"
        " body = excluded.body WHERE excluded.at_ms >= at_ms OR at_ms > ?",
        [(name, *record, now_ms() + FUTURE_MS) for record in records],
    )
    connection.execute("DELETE FROM records WHERE sidecar = ? AND until_ms < ?", (name, now_ms()))


def _merge(connection: sqlite3.Connection, name: str, orders: dict[str, Order]) -> dict[str, Order]:
    held = dict(connection.execute("SELECT server, at_ms FROM orders WHERE sidecar = ?", (name,)).fetchall())
    later = {server: order for server, order in orders.items() if order.at_ms > held.get(server, -1)}
    _put(connection, name, later)
    return later


def _put(connection: sqlite3.Connection, name: str, orders: dict[str, Order]) -> None:
    connection.executemany(
        "INSERT OR REPLACE INTO orders (sidecar, server, out, at_ms) VALUES (?, ?, ?, ?)",
        [(name, server, int(order.out), order.at_ms) for server, order in orders.items()],
    )


class _LoadGuard:
    """Counts loads that began and never ended, in a file beside the store: where the store itself makes a
    start crash, it cannot hold the count."""

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(path.name + ".loading")

    def starts_failed(self) -> int:
        try:
            return int(self._path.read_text() or 0)
        except FileNotFoundError:
            return 0
        except ValueError:
            return LOADS_BEFORE_ASIDE

    def begin(self) -> None:
        self._path.write_text(str(self.starts_failed() + 1))

    def end(self) -> None:
        self._path.unlink(missing_ok=True)


def _set_aside(path: Path, why: str) -> None:
    """Danger: a damaged file loaded again at every start would make a crash loop of one fault."""
    aside = path.with_name(f"{path.name}.aside-{now_ms()}")
    for suffix in ("", "-wal", "-shm", ".loading"):
        source = path.with_name(path.name + suffix)
        if source.exists():
            os.replace(source, aside.with_name(aside.name + suffix))
    log(f"the store is set aside as {aside.name}, and a new one begun: {why}")


def log(text: str) -> None:
    print(f"state: {text}", file=sys.stderr)

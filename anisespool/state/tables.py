"""The tables of the state store and the transactions on them. All functions may raise sqlite3.Error."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from anisespool.errors import StoreDamaged, StoreForeign
from anisespool.state.records import ListHead, Order, Record, log, now_ms

SCHEMA = 2
# The write-ahead log is copied into the file at this length, and cut to it: files may count as memory.
LOG_PAGES, PAGE_BYTES = 32, 4096
BUSY_TIMEOUT_MS = 1_000  # the other process locks the file for one row at a time; a longer wait is a fault
MAX_CLOCK_AHEAD_MS = 60_000  # a record dated further ahead of now was written under another clock
ENABLE_RETENTION_MS = 3_600_000  # an ENABLE order is not needed any more once its server is warm


def connect(path: Path) -> sqlite3.Connection:
    """A connection that any thread may use, one thread at a time."""
    connection = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_MS / 1000, isolation_level=None, check_same_thread=False
    )
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute(f"PRAGMA wal_autocheckpoint={LOG_PAGES}")
    connection.execute(f"PRAGMA journal_size_limit={LOG_PAGES * PAGE_BYTES}")
    return connection


def prepare(connection: sqlite3.Connection) -> None:
    """Set up a new file, or check an existing one. Raises sqlite3.DatabaseError or StoreError if it is
    damaged or has another schema."""
    if connection.execute("PRAGMA journal_mode=WAL").fetchone()[0] != "wal":
        raise StoreDamaged("the file takes no write-ahead log")
    check_result = connection.execute("PRAGMA quick_check").fetchone()[0]
    if check_result != "ok":
        raise StoreDamaged(f"damaged: {check_result}")
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version < SCHEMA:  # a new file, or one of the previous release, whose content is kept
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
        raise StoreForeign(f"schema {version}, this release reads {SCHEMA}")
    connection.execute(
        "CREATE TABLE IF NOT EXISTS records (sidecar TEXT NOT NULL, kind TEXT NOT NULL, id TEXT NOT NULL,"
        " at_ms INTEGER NOT NULL, until_ms INTEGER NOT NULL, body TEXT NOT NULL,"
        " PRIMARY KEY (sidecar, kind, id))"
    )
    connection.execute(
        "CREATE TABLE IF NOT EXISTS list_heads (sidecar TEXT PRIMARY KEY, revision INTEGER NOT NULL,"
        " at_ms INTEGER NOT NULL, etag TEXT NOT NULL) WITHOUT ROWID"
    )
    connection.execute(
        "CREATE TABLE IF NOT EXISTS list_rows (sidecar TEXT NOT NULL, server TEXT NOT NULL,"
        " body TEXT NOT NULL, PRIMARY KEY (sidecar, server)) WITHOUT ROWID"
    )


def validated_orders(
    rows: list[tuple[object, ...]], name: str, now: int, future_orders: dict[tuple[str, int], int]
) -> dict[str, Order]:
    """This sidecar's orders at `now` (Unix ms). Orders dated in the future are treated as given when they
    were first read; `future_orders` holds that time by server and date, and is updated here. If such an order
    were dated `now` at each read, it would be a new order each time, and an ENABLE order would make its
    server count as restarted each time."""
    orders, invalid, future_count = {}, 0, 0
    for sidecar, server, out, at_ms in rows:
        if sidecar != name or not isinstance(server, str) or not isinstance(at_ms, int):
            invalid += 1
            continue
        key = server, at_ms
        if at_ms > now + MAX_CLOCK_AHEAD_MS or key in future_orders:
            future_count += key not in future_orders
            at_ms = future_orders.setdefault(key, now)
        orders[server] = Order(bool(out), at_ms)
    if invalid:
        log(f"{invalid} records ignored: malformed, or of another sidecar")
    if future_count:
        log(f"{future_count} orders dated in the future by another clock, treated as given now")
    return orders


def set_order(
    connection: sqlite3.Connection, name: str, server: str, out: bool, unstored: Mapping[str, Order]
) -> Order | None:
    """Store an order, and before it `unstored`: earlier orders that are in force and not stored yet. Returns
    the order as stored, or None if the last stored order was the same."""
    merge_orders(connection, name, unstored)
    row = connection.execute(
        "SELECT out, at_ms FROM orders WHERE sidecar = ? AND server = ?", (name, server)
    ).fetchone()
    if row is not None and bool(row[0]) == out:
        return None
    now = now_ms()
    # A last order dated in the future is read as given before now.
    last_at_ms = row[1] if row and row[1] <= now + MAX_CLOCK_AHEAD_MS else 0
    order = Order(out, max(now + 1, last_at_ms + 1))  # later than the last order, even if the clock is not
    _put_orders(connection, name, {server: order})
    return order


def stored_lists(connection: sqlite3.Connection, name: str) -> list[tuple[Any, ...]]:
    """Revision, time, etag and JSON body of the list stored in rows, and of the list that an earlier release
    stored in one piece, if they exist."""
    members = "SELECT group_concat(body) FROM list_rows WHERE sidecar = head.sidecar"
    body = f"""'{{"revision": ' || revision || ', "complete": true, "whole": true, "members": ['
        || coalesce(({members}), '') || ']}}'"""
    return connection.execute(  # one statement, so that head and rows come from the same write
        f"SELECT revision, at_ms, etag, {body} FROM list_heads head WHERE sidecar = ?"
        " UNION ALL SELECT revision, at_ms, '', body FROM lists WHERE sidecar = ?",
        (name, name),
    ).fetchall()


def change_list(
    connection: sqlite3.Connection,
    name: str,
    head: ListHead,
    expected_etag: str,
    changed: Mapping[str, object],
) -> bool:
    """Compare and set: write the servers that changed (None: removed) if the stored list still has the etag
    `expected_etag`. Applied to another list, the changes would result in a list that discovery never sent."""
    stored_etag = connection.execute("SELECT etag FROM list_heads WHERE sidecar = ?", (name,)).fetchone()
    if stored_etag == (head.etag,):  # the other process of an upgrade has already written this list
        changed = {}
    elif stored_etag != (expected_etag,):
        return False
    _put_list(connection, name, head, changed)
    return True


def replace_list(
    connection: sqlite3.Connection, name: str, head: ListHead, members: Mapping[str, object]
) -> None:
    """Replace whatever list is stored. Only rows that differ are written: after a write by the other process
    of an upgrade most are the same, and reading rows costs less than writing them."""
    rows = connection.execute("SELECT server, body FROM list_rows WHERE sidecar = ?", (name,)).fetchall()
    stored: dict[str, object] = dict.fromkeys(server for server, _ in rows)
    with suppress(ValueError, TypeError, RecursionError):  # if rows are malformed, all are written again
        stored = dict(zip(stored, json.loads("[" + ",".join(body for _, body in rows) + "]"), strict=True))
    removed = dict.fromkeys(stored.keys() - members.keys())
    changed = {server: entry for server, entry in members.items() if stored.get(server) != entry}
    _put_list(connection, name, head, changed | removed)


def _put_list(
    connection: sqlite3.Connection, name: str, head: ListHead, changed: Mapping[str, object]
) -> None:
    connection.executemany(
        "INSERT OR REPLACE INTO list_rows (sidecar, server, body) VALUES (?, ?, ?)",
        ((name, server, json.dumps(entry)) for server, entry in changed.items() if entry is not None),
    )
    connection.executemany(
        "DELETE FROM list_rows WHERE sidecar = ? AND server = ?",
        ((name, server) for server, entry in changed.items() if entry is None),
    )
    connection.execute(
        "INSERT OR REPLACE INTO list_heads (sidecar, revision, at_ms, etag) VALUES (?, ?, ?, ?)",
        (name, head.revision, now_ms(), head.etag),
    )
    # Otherwise an earlier release, if started again, would take this for the last list.
    connection.execute("DELETE FROM lists WHERE sidecar = ?", (name,))


def clock_record(connection: sqlite3.Connection, name: str, kind: str, key: str) -> tuple[str | None, int]:
    """The body of one record, or None if there is none, and the latest time of any record or list (0:
    none)."""
    row = connection.execute(
        "SELECT body FROM records WHERE sidecar = ? AND kind = ? AND id = ?", (name, kind, key)
    ).fetchone()
    latest_row = connection.execute(
        "SELECT max(at_ms) FROM (SELECT at_ms FROM records WHERE sidecar = ?1"
        " UNION ALL SELECT at_ms FROM list_heads WHERE sidecar = ?1)",
        (name,),
    ).fetchone()
    return (str(row[0]) if row else None), (latest_row[0] if isinstance(latest_row[0], int) else 0)


def put_records(connection: sqlite3.Connection, name: str, records: list[Record]) -> None:
    """Store each record unless a later one of its kind and id is stored; a stored time far in the future does
    not count as later. Deletes expired records."""
    connection.executemany(
        "INSERT INTO records (sidecar, kind, id, at_ms, until_ms, body) VALUES (?, ?, ?, ?, ?, ?)"
        " ON CONFLICT DO UPDATE SET at_ms = excluded.at_ms, until_ms = excluded.until_ms,"
        " body = excluded.body WHERE excluded.at_ms >= at_ms OR at_ms > ?",
        [(name, *record, now_ms() + MAX_CLOCK_AHEAD_MS) for record in records],
    )
    connection.execute("DELETE FROM records WHERE sidecar = ? AND until_ms < ?", (name, now_ms()))


def merge_orders(connection: sqlite3.Connection, name: str, orders: Mapping[str, Order]) -> dict[str, Order]:
    """Store the orders that are later than the stored order for the same server, and return them."""
    stored_at_ms = dict(
        connection.execute("SELECT server, at_ms FROM orders WHERE sidecar = ?", (name,)).fetchall()
    )
    later = {server: order for server, order in orders.items() if order.at_ms > stored_at_ms.get(server, -1)}
    _put_orders(connection, name, later)
    return later


def _put_orders(connection: sqlite3.Connection, name: str, orders: dict[str, Order]) -> None:
    connection.executemany(
        "INSERT OR REPLACE INTO orders (sidecar, server, out, at_ms) VALUES (?, ?, ?, ?)",
        [(name, server, int(order.out), order.at_ms) for server, order in orders.items()],
    )
    connection.execute(
        "DELETE FROM orders WHERE sidecar = ? AND out = 0 AND at_ms < ?",
        (name, now_ms() - ENABLE_RETENTION_MS),
    )

"""The tables of the state store, and each transaction on them. Raises sqlite3.Error."""

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
BUSY_MS = 1_000  # the other process of an upgrade writes one row at a time: a wait this long is a fault
FUTURE_MS = 60_000  # a record younger than now by more than this was written under another clock
CALL_BACK_KEPT_MS = 3_600_000  # a call back is of no more use once its server is warm


def connect(path: Path) -> sqlite3.Connection:
    """One that any thread may use, one at a time."""
    connection = sqlite3.connect(path, timeout=BUSY_MS / 1000, isolation_level=None, check_same_thread=False)
    connection.execute("PRAGMA synchronous=FULL")
    return connection


def prepare(connection: sqlite3.Connection) -> None:
    """Make a new file, or check an old one. Raises sqlite3.DatabaseError or StoreError where it is damaged
    or of another schema."""
    if connection.execute("PRAGMA journal_mode=WAL").fetchone()[0] != "wal":
        raise StoreDamaged("the file takes no write-ahead log")
    verdict = connection.execute("PRAGMA quick_check").fetchone()[0]
    if verdict != "ok":
        raise StoreDamaged(f"damaged: {verdict}")
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


def checked(
    rows: list[tuple[object, ...]], name: str, now: int, ahead: dict[tuple[str, int], int]
) -> dict[str, Order]:
    """The orders of this sidecar at `now`, Unix ms. `ahead`: those from the future, by server and time, and
    when each was first read; kept up here. One that is of now at each read would be another order
    each time, and its call back another restart."""
    orders, foreign, future = {}, 0, 0
    for sidecar, server, out, at_ms in rows:
        if sidecar != name or not isinstance(server, str) or not isinstance(at_ms, int):
            foreign += 1
            continue
        key = server, at_ms
        if at_ms > now + FUTURE_MS or key in ahead:
            future += key not in ahead
            at_ms = ahead.setdefault(key, now)
        orders[server] = Order(bool(out), at_ms)
    if foreign:
        log(f"{foreign} records of another sidecar or of no form left out")
    if future:
        log(f"{future} orders from the future, by another clock, taken as of now")
    return orders


def order(
    connection: sqlite3.Connection, name: str, server: str, out: bool, owed: Mapping[str, Order]
) -> Order | None:
    """`owed`: orders that hold already and are not stored yet. They go first: this one is later."""
    merge(connection, name, owed)
    row = connection.execute(
        "SELECT out, at_ms FROM orders WHERE sidecar = ? AND server = ?", (name, server)
    ).fetchone()
    if row is not None and bool(row[0]) == out:
        return None
    now = now_ms()
    last = row[1] if row and row[1] <= now + FUTURE_MS else 0  # from the future: it is read as of before now
    order = Order(out, max(now + 1, last + 1))  # later than the last, whatever the clock
    _put(connection, name, {server: order})
    return order


def stored_lists(connection: sqlite3.Connection, name: str) -> list[tuple[Any, ...]]:
    """Revision, time, etag and JSON body of the list kept in rows, and of the one that an earlier release
    kept in one piece, where they are there."""
    members = "SELECT group_concat(body) FROM list_rows WHERE sidecar = head.sidecar"
    body = f"""'{{"revision": ' || revision || ', "complete": true, "whole": true, "members": ['
        || coalesce(({members}), '') || ']}}'"""
    return connection.execute(  # in one statement, so that head and rows are of one write
        f"SELECT revision, at_ms, etag, {body} FROM list_heads head WHERE sidecar = ?"
        " UNION ALL SELECT revision, at_ms, '', body FROM lists WHERE sidecar = ?",
        (name, name),
    ).fetchall()


def change_list(
    connection: sqlite3.Connection, name: str, head: ListHead, before: str, changed: Mapping[str, object]
) -> bool:
    """Compare and set: write the servers that changed (None: gone), where the list stored is still the one of
    etag `before`. Over another list they would make one that nobody ever told."""
    found = connection.execute("SELECT etag FROM list_heads WHERE sidecar = ?", (name,)).fetchone()
    if found == (head.etag,):  # the other process of an upgrade has written the same
        changed = {}
    elif found != (before,):
        return False
    _put_list(connection, name, head, changed)
    return True


def replace_list(
    connection: sqlite3.Connection, name: str, head: ListHead, members: Mapping[str, object]
) -> None:
    """Write the whole list in place of whatever is stored. Where the other process of an upgrade has written,
    most of it is the same, and to read rows costs less than to write them."""
    rows = connection.execute("SELECT server, body FROM list_rows WHERE sidecar = ?", (name,)).fetchall()
    stored: dict[str, object] = dict.fromkeys(server for server, _ in rows)
    with suppress(ValueError, TypeError, RecursionError):  # rows of no form are all written anew
        stored = dict(zip(stored, json.loads("[" + ",".join(body for _, body in rows) + "]"), strict=True))
    gone = dict.fromkeys(stored.keys() - members.keys())
    changed = {server: entry for server, entry in members.items() if stored.get(server) != entry}
    _put_list(connection, name, head, changed | gone)


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
    # An earlier release, started again, would take this for the last list.
    connection.execute("DELETE FROM lists WHERE sidecar = ?", (name,))


def clock_record(connection: sqlite3.Connection, name: str, kind: str, key: str) -> tuple[str | None, int]:
    """The body of one record, None where there is none, and the latest time of any record or list."""
    row = connection.execute(
        "SELECT body FROM records WHERE sidecar = ? AND kind = ? AND id = ?", (name, kind, key)
    ).fetchone()
    latest = connection.execute(
        "SELECT max(at_ms) FROM (SELECT at_ms FROM records WHERE sidecar = ?1"
        " UNION ALL SELECT at_ms FROM list_heads WHERE sidecar = ?1)",
        (name,),
    ).fetchone()
    return (str(row[0]) if row else None), (latest[0] if isinstance(latest[0], int) else 0)


def put_records(connection: sqlite3.Connection, name: str, records: list[Record]) -> None:
    connection.executemany(
        "INSERT INTO records (sidecar, kind, id, at_ms, until_ms, body) VALUES (?, ?, ?, ?, ?, ?)"
        " ON CONFLICT DO UPDATE SET at_ms = excluded.at_ms, until_ms = excluded.until_ms,"
        " body = excluded.body WHERE excluded.at_ms >= at_ms OR at_ms > ?",
        [(name, *record, now_ms() + FUTURE_MS) for record in records],
    )
    connection.execute("DELETE FROM records WHERE sidecar = ? AND until_ms < ?", (name, now_ms()))


def merge(connection: sqlite3.Connection, name: str, orders: Mapping[str, Order]) -> dict[str, Order]:
    held = dict(connection.execute("SELECT server, at_ms FROM orders WHERE sidecar = ?", (name,)).fetchall())
    later = {server: order for server, order in orders.items() if order.at_ms > held.get(server, -1)}
    _put(connection, name, later)
    return later


def _put(connection: sqlite3.Connection, name: str, orders: dict[str, Order]) -> None:
    connection.executemany(
        "INSERT OR REPLACE INTO orders (sidecar, server, out, at_ms) VALUES (?, ?, ?, ?)",
        [(name, server, int(order.out), order.at_ms) for server, order in orders.items()],
    )
    connection.execute(
        "DELETE FROM orders WHERE sidecar = ? AND out = 0 AND at_ms < ?", (name, now_ms() - CALL_BACK_KEPT_MS)
    )

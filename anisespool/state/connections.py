"""Opens the connections to the store's file: counts the loads and sets a damaged file aside."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

from anisespool.errors import StoreError
from anisespool.state import tables
from anisespool.state.crash_guard import MAX_FAILED_LOADS, LoadGuard, set_aside

_CONTENTION_CODES = sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED
_PRIMARY_CODE_MASK = 0xFF  # the primary part of an extended SQLite error code


class Connections(NamedTuple):
    """Two connections to the same file, as reads and writes run on different threads."""

    reader: sqlite3.Connection
    writer: sqlite3.Connection


def connect(path: Path) -> Connections:
    """Open the store, or a new one in place of a damaged one. Raises OSError, sqlite3.Error or StoreError if
    it cannot be opened now."""
    guard = LoadGuard(path)
    if guard.failed_loads() >= MAX_FAILED_LOADS:
        set_aside(path, "the last starts ended while loading it")
    guard.begin()
    try:
        return _connect(path)
    except sqlite3.OperationalError:
        raise  # the file is busy or cannot be opened, which does not mean that it is damaged
    except (sqlite3.DatabaseError, StoreError) as error:
        set_aside(path, str(error))
        return _connect(path)
    finally:
        guard.end()  # also after an exception, which did not crash the process


def _connect(path: Path) -> Connections:
    writer = tables.connect(path)
    try:
        tables.prepare(writer)
        return Connections(tables.connect(path), writer)
    except BaseException:
        writer.close()
        raise


def is_contention(error: Exception) -> bool:
    """Whether another connection has locked the file, so that this connection is still usable."""
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & _PRIMARY_CODE_MASK in _CONTENTION_CODES

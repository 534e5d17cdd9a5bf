"""Opening the store's file: the loads are counted, and a damaged file is set aside."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

from anisespool.errors import StoreError
from anisespool.state import tables
from anisespool.state.crash_guard import LOADS_BEFORE_ASIDE, LoadGuard, set_aside

_CONTENTION = sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED
_PRIMARY = 0xFF  # of an extended error code of SQLite


class Connections(NamedTuple):
    reader: sqlite3.Connection
    writer: sqlite3.Connection


def connect(path: Path) -> Connections:
    """Raises OSError, sqlite3.Error or StoreError where the store cannot be had now."""
    guard = LoadGuard(path)
    if guard.starts_failed() >= LOADS_BEFORE_ASIDE:
        set_aside(path, "the last starts ended while loading it")
    guard.begin()
    try:
        return _connect(path)
    except sqlite3.OperationalError:
        raise  # the file is busy, or cannot be opened: nothing says that it is damaged
    except (sqlite3.DatabaseError, StoreError) as error:
        set_aside(path, str(error))
        return _connect(path)
    finally:
        guard.end()  # a load that raised did not end the process: it says nothing of a crash loop


def _connect(path: Path) -> Connections:
    writer = tables.connect(path)
    try:
        tables.prepare(writer)
        return Connections(tables.connect(path), writer)
    except BaseException:
        writer.close()
        raise


def is_contention(error: Exception) -> bool:
    """Another connection holds the file, and this one is as good as before."""
    code = getattr(error, "sqlite_errorcode", None)
    return code is not None and code & _PRIMARY in _CONTENTION

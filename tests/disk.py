"""Simulates disk failures: for a sidecar process with a file size limit that its parent sets and removes, and
in the test process by raising SQLite's errors from its calls."""

from __future__ import annotations

import asyncio
import re
import resource
import sqlite3
import threading
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager, closing
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from anisespool.state.store import store_path
from tests.fleet import Fleet
from tests.net import WAIT_TIMEOUT_S

FULL = sqlite3.SQLITE_FULL, "database or disk is full"
IO_ERROR = sqlite3.SQLITE_IOERR, "disk I/O error"
READ_ONLY = sqlite3.SQLITE_READONLY, "attempt to write a readonly database"
CORRUPT = sqlite3.SQLITE_CORRUPT, "database disk image is malformed"
WRITE_STATEMENTS = r"BEGIN|COMMIT"
READ_STATEMENTS = r"PRAGMA data_version|SELECT"
Failure = tuple[int, str]


def fill_disk(sidecars: Fleet, n: int) -> None:
    """Prevents any commit of sidecar N from growing the write-ahead log of its store."""
    full = Path(f"{store_path(sidecars.home(n), f'n{n}')}-wal").stat().st_size
    resource.prlimit(sidecars.processes[n].pid, resource.RLIMIT_FSIZE, (full, resource.RLIM_INFINITY))


def free_disk(sidecars: Fleet, n: int) -> None:
    """Removes the file size limit of sidecar N."""
    unlimited = resource.RLIM_INFINITY
    resource.prlimit(sidecars.processes[n].pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))


def stored_orders(path: Path) -> dict[str, bool]:
    """Returns the servers with an order and whether each is out, read on a separate connection."""
    try:
        with closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as connection:
            rows = connection.execute("SELECT server, out FROM orders").fetchall()
    except sqlite3.DatabaseError:  # the file or table does not exist yet, or the file is damaged
        return {}
    return {server: bool(out) for server, out in rows}


class FailingDisk:
    """Raises `failure`, while it is set, from statements that match `pattern`. The pattern COMMIT matches the
    end of a transaction, which then stays open, as when the rollback fails too."""

    def __init__(self) -> None:
        self.failure: Failure | None = None
        self.pattern = WRITE_STATEMENTS
        self.failures = self.stalled = 0
        self._resume: threading.Event | None = None
        self._lock = threading.Lock()

    def fail(self, failure: Failure, pattern: str = WRITE_STATEMENTS) -> None:
        self.failure, self.pattern = failure, pattern

    def stall(self, resume: threading.Event, pattern: str) -> None:
        """Blocks statements that match the pattern until the event is set."""
        self._resume, self.pattern = resume, pattern

    def recover(self) -> None:
        self.failure = None

    def check(self, statement: str) -> None:
        if not re.match(self.pattern, statement):
            return
        if self._resume and not self._resume.is_set():
            self.stalled += 1
            self._resume.wait(WAIT_TIMEOUT_S)
        failure = self.failure
        if failure is None:
            return
        with self._lock:
            self.failures += 1
        code, text = failure
        kind = sqlite3.DatabaseError if code == sqlite3.SQLITE_CORRUPT else sqlite3.OperationalError
        error = kind(text)
        error.sqlite_errorcode = code
        raise error


class FailingConnection(sqlite3.Connection):
    def __init__(self, disk: FailingDisk, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._disk = disk

    def execute(self, statement: str, *arguments: Any) -> sqlite3.Cursor:
        self._disk.check(statement)
        return super().execute(statement, *arguments)

    def executemany(self, statement: str, *arguments: Any) -> sqlite3.Cursor:
        self._disk.check(statement)
        return super().executemany(statement, *arguments)

    def __exit__(self, kind: Any, error: Any, trace: Any) -> Any:
        if kind is None:
            self._disk.check("COMMIT")
        return super().__exit__(kind, error, trace)


def failing_disk(monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    """Makes all stores opened from now on use a simulated disk, and returns it."""
    disk = FailingDisk()
    monkeypatch.setattr(
        sqlite3, "connect", partial(sqlite3.connect, factory=partial(FailingConnection, disk))
    )
    return disk


@asynccontextmanager
async def while_running(*coroutines: Awaitable[None]) -> AsyncIterator[None]:
    """Runs the coroutines in the background; fails if one ends before the block does."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        yield
        assert not any(task.done() for task in tasks), "a background task ended unexpectedly"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

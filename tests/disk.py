"""A disk that fails for a while: for a real process a limit on the size of its files, which its parent lifts
again; in this process SQLite's own calls, which raise what SQLite raises."""

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
WRITES = r"BEGIN|COMMIT"
READS = r"PRAGMA data_version|SELECT"
Failure = tuple[int, str]


def fill(it: Fleet, n: int) -> None:
    """No commit of sidecar N can add to the store's log from now on."""
    full = Path(f"{store_path(it.home(n), f'n{n}')}-wal").stat().st_size
    resource.prlimit(it.processes[n].pid, resource.RLIMIT_FSIZE, (full, resource.RLIM_INFINITY))


def free(it: Fleet, n: int) -> None:
    """The disk of sidecar N has recovered."""
    unlimited = resource.RLIM_INFINITY
    resource.prlimit(it.processes[n].pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))


def stored_orders(path: Path) -> dict[str, bool]:
    """The servers with an order in the file, and whether they are out; as another process reads it."""
    try:
        with closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as connection:
            rows = connection.execute("SELECT server, out FROM orders").fetchall()
    except sqlite3.DatabaseError:  # no file yet, no table, or damaged
        return {}
    return {server: bool(out) for server, out in rows}


class FailingDisk:
    """While `failure` is set, statements that match `pattern` raise it. COMMIT stands for the end of a
    transaction, which then stays open, as where the roll-back fails too."""

    def __init__(self) -> None:
        self.failure: Failure | None = None
        self.pattern = WRITES
        self.failures = self.stalled = 0
        self._go_on: threading.Event | None = None
        self._lock = threading.Lock()

    def fail(self, failure: Failure, pattern: str = WRITES) -> None:
        self.failure, self.pattern = failure, pattern

    def stall(self, go_on: threading.Event, pattern: str) -> None:
        """Statements that match the pattern wait for the event."""
        self._go_on, self.pattern = go_on, pattern

    def recover(self) -> None:
        self.failure = None

    def check(self, statement: str) -> None:
        if not re.match(self.pattern, statement):
            return
        if self._go_on and not self._go_on.is_set():
            self.stalled += 1
            self._go_on.wait(WAIT_TIMEOUT_S)
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
    """All stores opened from now on are on it."""
    it = FailingDisk()
    monkeypatch.setattr(sqlite3, "connect", partial(sqlite3.connect, factory=partial(FailingConnection, it)))
    return it


@asynccontextmanager
async def running(*works: Awaitable[None]) -> AsyncIterator[None]:
    """None of them may end meanwhile."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        yield
        assert not any(task.done() for task in tasks), "a task ended for good"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

"""Detects whether another process of the same sidecar is running, as during an upgrade. The two processes
read what the other writes to the state store, and share the resource limits. Detection uses flock(2) on two
files in a directory that both share; the kernel releases the locks when a process ends, however it ends. Each
file holds the id of the process that has locked it."""

from __future__ import annotations

import asyncio
import fcntl
import os
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from pathlib import Path
from urllib.parse import quote

from anisespool.log import log_info

POLL_INTERVAL_S = 0.1  # between checks of the locks
REOPEN_INTERVAL_S = 1.0  # between attempts to open the lock files after a failure
MAX_PID_BYTES = 12
DETECTION_S = 2 * POLL_INTERVAL_S  # until the first process is sure to have seen another one's lock


class UpgradeLocks:
    """The first process holds one lock; the processes that start later share the other."""

    def __init__(
        self, folder: Path | None, name: str, on_change: Callable[[bool], None] | None = None
    ) -> None:
        """`folder`: None if the processes share no directory. `on_change`: called with whether there are two
        processes now."""
        self._stem = folder / f"anisespool-{quote(name, safe='')}" if folder else None
        self._first: int | None = None  # descriptor, locked by the process that started first
        self._second: int | None = None  # descriptor, locked by later processes
        self._open_at = 0.0  # monotonic seconds
        self._has_failed = False
        self._open()
        self._on_change = on_change
        self._holds_first = self._holds_second = self.has_other = False
        self._detected_at = 0.0  # monotonic seconds; from then on the other process knows of this one
        self._change = asyncio.Event()  # set when `has_other` changes, then replaced by a new one

    async def follow(self) -> None:
        """Check the locks at regular intervals until `close`."""
        while self._stem is not None:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def store_polls(self, every_s: float) -> AsyncIterator[bool]:
        """Yields whenever the state store is to be checked. True, it must be read: at the start, and when
        another process starts or ends. False, it may have changed: each `every_s` while another process may
        be running, which is always assumed while the locks are unavailable."""
        while True:
            change = self._change
            yield True
            while (self.has_other or self._first is None or self._second is None) and not change.is_set():
                await asyncio.sleep(every_s)
                yield False
            await change.wait()

    def undetected_s(self) -> float:
        """How much longer the other process may be unaware of this one, and so miss orders and pins that this
        process writes to the state store."""
        return max(0.0, self._detected_at - time.monotonic()) if self.has_other else 0.0

    def poll(self) -> None:
        """Check the locks, and report a change of `has_other`."""
        if self._first is None or self._second is None:
            self._open()
        if self._first is None or self._second is None:
            return
        if not self._holds_first and _lock(self._first, fcntl.LOCK_EX):
            self._holds_first, self._detected_at = True, 0.0
            _unlock(self._second)
            _write_pid(self._first)
        if self._holds_first:
            has_other = not _lock(self._second, fcntl.LOCK_EX)
            if not has_other:
                _unlock(self._second)
        else:
            has_other = True
            if not self._holds_second:  # shared: a third process may start before the second ends
                # Fails while the first process tests this lock.
                self._holds_second = _lock(self._second, fcntl.LOCK_SH)
                _write_pid(self._second)
                self._detected_at = (
                    time.monotonic() + DETECTION_S + (0.0 if self._holds_second else POLL_INTERVAL_S)
                )
        if has_other != self.has_other:
            self.has_other = has_other
            change, self._change = self._change, asyncio.Event()
            change.set()
            if self._on_change:
                self._on_change(has_other)

    def other_pid(self) -> int:
        """The process id of the other process, 0 if there is none or it is not known."""
        descriptor = self._second if self._holds_first else self._first
        if not self.has_other or descriptor is None:
            return 0
        try:
            return int(os.pread(descriptor, MAX_PID_BYTES, 0))
        except (OSError, ValueError):
            return 0

    def close(self) -> None:
        """Release the locks; `follow` ends."""
        for descriptor in (self._first, self._second):
            if descriptor is not None:
                os.close(descriptor)
        self._first = self._second = self._stem = None

    def _open(self) -> None:
        """Open the lock files, at most once in REOPEN_INTERVAL_S. Without them the other process is unaware
        of this one, and does not read its orders."""
        if self._stem is None or time.monotonic() < self._open_at:
            return
        self._open_at = time.monotonic() + REOPEN_INTERVAL_S
        try:
            if self._first is None:
                self._first = _open(f"{self._stem}.first")
            if self._second is None:
                self._second = _open(f"{self._stem}.second")
        except OSError as error:
            if not self._has_failed:
                self._has_failed = True
                log_info("upgrade", f"{error}; cannot detect another process of this sidecar")
            return
        if self._has_failed:
            log_info(
                "upgrade", "the lock files are open again; another process of this sidecar can be detected"
            )


def _open(path: str) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _lock(descriptor: int, kind: int) -> bool:
    try:
        fcntl.flock(descriptor, kind | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


def _write_pid(descriptor: int) -> None:
    """Tell the other process which one holds the lock. It does without on a full disk."""
    with suppress(OSError):
        os.pwrite(descriptor, f"{os.getpid():<{MAX_PID_BYTES}}".encode(), 0)


def _unlock(descriptor: int) -> None:
    fcntl.flock(descriptor, fcntl.LOCK_UN)

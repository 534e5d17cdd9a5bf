"""Whether another process of the same sidecar lives beside this one, as in an upgrade: they follow what each
writes to the state store, and share the limits. Two locks in a folder that both have; a process that ends,
however it ends, lets go of them."""

from __future__ import annotations

import asyncio
import fcntl
import os
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from urllib.parse import quote

from anisespool.log import say

LOOK_S = 0.1  # between two looks at the locks
REOPEN_S = 1.0  # between two attempts to open the locks, where their folder fails
KNOWN_S = 2 * LOOK_S  # from a process's lock until the first process surely knows of it


class Pair:
    def __init__(
        self, folder: Path | None, name: str, on_change: Callable[[bool], None] | None = None
    ) -> None:
        """`folder`: None where the processes have none in common. `on_change` is told whether there are two
        now."""
        self._stem = folder / f"anisespool-{quote(name, safe='')}" if folder else None
        self._first: int | None = None  # of the one that was here first
        self._second: int | None = None  # of those that came later
        self._open_at = 0.0  # the next attempt to open them
        self._has_failed = False
        self._open()
        self._on_change = on_change
        self._is_first = self._is_second = self.two = False
        self._known_at = 0.0
        self._news = asyncio.Event()  # set once `two` has changed, and another put in its place

    async def follow(self) -> None:
        while self._stem is not None:
            self.look()
            await asyncio.sleep(LOOK_S)

    async def store_looks(self, every_s: float) -> AsyncIterator[bool]:
        """Each time the state store is to be looked at. True, it is to be read: at the start, once another
        process has come, and once it has ended. False: each `every_s` while another may live, which is always
        where the locks cannot be had."""
        while True:
            news = self._news
            yield True
            while (self.two or self._first is None or self._second is None) and not news.is_set():
                await asyncio.sleep(every_s)
                yield False
            await news.wait()

    def unknown_s(self) -> float:
        """For how long the other process may still not know of this one, nor follow what it writes. A
        yes or a pin of that time is unknown there."""
        return max(0.0, self._known_at - time.monotonic()) if self.two else 0.0

    def look(self) -> None:
        if self._first is None or self._second is None:
            self._open()
        if self._first is None or self._second is None:
            return
        if not self._is_first and _lock(self._first, fcntl.LOCK_EX):
            self._is_first, self._known_at = True, 0.0
            _unlock(self._second)
        if self._is_first:
            two = not _lock(self._second, fcntl.LOCK_EX)
            if not two:
                _unlock(self._second)
        else:
            two = True
            if not self._is_second:  # shared, as a third may come before the second has ended
                self._is_second = _lock(self._second, fcntl.LOCK_SH)  # fails while the first is at its look
                self._known_at = time.monotonic() + KNOWN_S + (0.0 if self._is_second else LOOK_S)
        if two != self.two:
            self.two = two
            news, self._news = self._news, asyncio.Event()
            news.set()
            if self._on_change:
                self._on_change(two)

    def close(self) -> None:
        for descriptor in (self._first, self._second):
            if descriptor is not None:
                os.close(descriptor)
        self._first = self._second = self._stem = None

    def _open(self) -> None:
        """Open the locks, now or at a later look, each REOPEN_S: without them the other process does not know
        of this one, and does not follow its orders."""
        if self._stem is None or time.monotonic() < self._open_at:
            return
        self._open_at = time.monotonic() + REOPEN_S
        try:
            if self._first is None:
                self._first = _open(f"{self._stem}.first")
            if self._second is None:
                self._second = _open(f"{self._stem}.second")
        except OSError as error:
            if not self._has_failed:
                self._has_failed = True
                say("upgrade", f"{error}; this process cannot know of another beside it")
            return
        if self._has_failed:
            say("upgrade", "the locks can be had: this process knows of another beside it")


def _open(path: str) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _lock(descriptor: int, kind: int) -> bool:
    try:
        fcntl.flock(descriptor, kind | fcntl.LOCK_NB)
    except OSError:
        return False
    return True


def _unlock(descriptor: int) -> None:
    fcntl.flock(descriptor, fcntl.LOCK_UN)

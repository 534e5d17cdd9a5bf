"""Which servers the operators have taken out, and when each was called back. Both processes of an upgrade
keep one file: each order has its time, and the later one of a server holds."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import quote

FOLLOW_S = 0.05  # between two looks at the file
LOCK_WAIT_S, LOCK_RETRY_S = 0.3, 0.005  # a caller waits 1 s
KEPT_MS = 3_600_000  # a call back is of no more use once its server is warm
MAX_FILE = 1 << 20


class Order(NamedTuple):
    out: bool
    at_ms: int  # Unix time


class Maintenance:
    def __init__(self, path: Path | None, on_change: Callable[[Iterable[str]], None]) -> None:
        """`path`: None keeps orders in this process alone."""
        self.orders: dict[str, Order] = {}
        self._path, self._on_change = path, on_change
        self._seen: tuple[int, int, int] | None = None  # the file's identity when it was read
        self._complaint = ""

    @staticmethod
    def place(folder: Path | None, name: str) -> Path | None:
        return folder / f"anisespool-{quote(name, safe='')}.json" if folder else None

    async def order(self, server: str, out: bool) -> None:
        """Danger: an order holds here from now on, whether the file can be written or not."""
        lock = await self._lock()
        try:
            self.read()
            old = self.orders.get(server, Order(False, 0))
            if old.out != out:
                self.orders[server] = Order(out, max(time.time_ns() // 1_000_000, old.at_ms + 1))
                self._write()
                self._on_change((server,))
        finally:
            if lock is not None:
                os.close(lock)
        if lock is not None:
            await asyncio.sleep(2 * FOLLOW_S)  # the other process, where there is one, has followed by then

    async def follow(self) -> None:
        while self._path:
            await asyncio.sleep(FOLLOW_S)
            self.read()

    def read(self) -> None:
        """Take up what another process has written since the last look."""
        if self._path is None:
            return
        try:
            stat = self._path.stat()
            identity = stat.st_ino, stat.st_mtime_ns, stat.st_size
            if identity == self._seen:
                return
            self._seen = identity
            with open(self._path, "rb") as file:
                found = _orders(json.loads(file.read(MAX_FILE)))
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError) as error:
            self._complain(f"the file of servers out cannot be read: {error}")
            return
        newer = {s: o for s, o in found.items() if o.at_ms > self.orders.get(s, Order(False, -1)).at_ms}
        self.orders.update(newer)
        if newer:
            self._on_change(newer)

    def _write(self) -> None:
        if self._path is None:
            return
        oldest = time.time_ns() // 1_000_000 - KEPT_MS
        for server in [s for s, o in self.orders.items() if not o.out and o.at_ms <= oldest]:
            del self.orders[server]
        draft = self._path.with_suffix(f".{os.getpid()}")
        try:
            draft.write_text(json.dumps({"orders": self.orders}))
            os.replace(draft, self._path)
            self._complaint = ""
        except OSError as error:
            self._complain(f"the file of servers out cannot be written, an upgrade will not know: {error}")

    async def _lock(self) -> int | None:
        """Danger: to wait for it in the call itself would hold up every request."""
        if self._path is None:
            return None
        lock, until = -1, time.monotonic() + LOCK_WAIT_S
        try:
            lock = os.open(self._path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            while True:
                try:
                    fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    return lock
                except BlockingIOError:
                    if time.monotonic() > until:
                        raise
                await asyncio.sleep(LOCK_RETRY_S)
        except OSError as error:
            self._complain(f"the file of servers out cannot be locked: {error}")
            if lock >= 0:
                os.close(lock)
            return None

    def _complain(self, text: str) -> None:
        if text != self._complaint:
            self._complaint = text
            print(f"maintenance: {text}", file=sys.stderr)


def _orders(raw: Any) -> dict[str, Order]:
    """What the file holds, checked; ValueError says what is wrong with it."""
    rows = raw.get("orders") if isinstance(raw, dict) else None
    if not isinstance(rows, dict):
        raise ValueError("it holds no orders")
    orders = {}
    for server, row in rows.items():
        if not (isinstance(row, list) and len(row) == 2 and type(row[0]) is bool and type(row[1]) is int):
            raise ValueError(f"the order for {server!r} has another form")
        orders[server] = Order(row[0], row[1])
    return orders

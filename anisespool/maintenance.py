"""Operator orders: which servers are disabled, and when each was enabled again. The orders are kept in the
state store, which both processes of an upgrade share. Each has a timestamp; the latest one for a server is in
force. The JSON file of releases that had no state store is merged at each start."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import quote

from anisespool.errors import NotDurable, StoreError
from anisespool.log import log_info
from anisespool.state.pending_writes import PendingWrite
from anisespool.state.store import Order, Store, now_ms
from anisespool.upgrade_locks import UpgradeLocks

STORE_POLL_INTERVAL_S = 0.05  # between checks for orders of the other process
MAX_LEGACY_FILE_BYTES = 1 << 20

__all__ = ["Maintenance", "NotDurable", "Order"]


class Maintenance:
    """The orders in force, kept in step with the state store."""

    def __init__(
        self, store: Store | None, upgrade_locks: UpgradeLocks, on_change: Callable[[Iterable[str]], None],
        legacy: Path | None = None,
    ) -> None:  # fmt: skip
        """`store`: None keeps the orders in memory only. `on_change`: called with the servers whose order has
        changed. `legacy`: the orders file of earlier releases."""
        self.orders: dict[str, Order] = {}
        self.store, self._upgrade_locks, self._legacy, self._on_change = (
            store, upgrade_locks, legacy, on_change)  # fmt: skip
        self._last_logged = ""
        self._unstored: dict[str, Order] = {}  # in force, but not written to the store yet
        self._has_unread = False  # the last read of the store failed
        self._pending_write = PendingWrite(
            "maintenance", "the orders cannot be stored or read", "the orders are stored and read again",
            self._reconcile,
        )  # fmt: skip
        if store:
            store.on_new_file.append(self._on_new_file)
            if not store.is_open:
                self._pending_write.schedule()

    @staticmethod
    def legacy_path(folder: Path | None, name: str) -> Path | None:
        """The orders file of earlier releases; None without a folder."""
        return folder / f"anisespool-{quote(name, safe='')}.json" if folder else None

    async def load(self) -> None:
        """Apply the orders in the store, and any later ones in the file of an earlier release."""
        self.read()
        found = self._read_legacy()
        if not found:
            return
        try:
            applied = await self.store.merge_orders(found) if self.store else found
        except StoreError as error:
            self._unstored |= found
            self._store_failed(error)
            applied = found
        self._apply(applied)
        if applied:
            log_info("maintenance", f"imported {len(applied)} orders from {self._legacy}")

    async def order(self, server: str, out: bool) -> None:
        """Apply an order and store it. Raises NotDurable if the store failed; it is then in force in this
        process, and stored later."""
        if self.store is None:
            self._apply_locally(server, out)
            return
        if self._apply_locally(server, out):  # before the write, which may take long
            self._unstored[server] = self.orders[server]
        unstored = dict(self._unstored)
        try:
            order = await self.store.set_order(server, out, unstored)
        except StoreError as error:
            self._store_failed(error)
            raise NotDurable(f"{server} is ordered in this process only, as the store {error}") from None
        self._mark_stored(unstored)
        if order is not None:
            self._apply({server: order})
        else:
            self.read()
        # Gives the other process of an upgrade time to read the order.
        await asyncio.sleep(max(2 * STORE_POLL_INTERVAL_S, self._upgrade_locks.undetected_s()))

    async def follow(self) -> None:
        """Apply the other process's orders and retry failed writes, until cancelled."""
        if self.store:
            await asyncio.gather(self._follow_other(), self._pending_write.follow())

    async def flush(self) -> None:
        """Make a last attempt to write the orders that are not stored yet."""
        if self.store:
            await self._pending_write.flush()

    async def _follow_other(self) -> None:
        async for due in self._upgrade_locks.store_polls(STORE_POLL_INTERVAL_S):
            self.read(due)

    def read(self, due: bool = False) -> None:
        """Apply the orders that another process has written since the last read. `due`: read even if the
        store has not changed. After a failure the current orders stay in force until a read succeeds."""
        if self.store is None:
            return
        try:
            if self.store.has_changed() or due:
                self._has_unread = True
            if self._has_unread:
                self._read()
        except StoreError as error:
            self._has_unread = True
            self._store_failed(error)

    def _read(self) -> None:
        """Apply all orders in the store. Raises StoreError."""
        assert self.store
        found = self.store.orders()
        self._has_unread = False
        self._apply(found)

    async def _reconcile(self) -> None:
        """Apply what is stored but not read, and store what is in force but not written. Raises
        StoreError."""
        assert self.store
        if self._has_unread:
            self._read()
        if self._unstored or not self.store.is_open:
            unstored = dict(self._unstored)
            await self.store.merge_orders(unstored)
            self._mark_stored(unstored)

    def _store_failed(self, error: StoreError) -> None:
        """A read or write of the store failed: log it and schedule a retry."""
        self._pending_write.report_failure(error)
        self._pending_write.schedule()

    def _mark_stored(self, orders: dict[str, Order]) -> None:
        """Note orders as stored, except those replaced by a later order meanwhile."""
        for server, order in orders.items():
            if self._unstored.get(server) == order:
                del self._unstored[server]

    def _on_new_file(self) -> None:
        """The store has a new file: write all orders in force to it, and apply the orders found in it."""
        self._unstored = dict(self.orders)
        self._pending_write.schedule()
        self.read(True)

    def _apply(self, found: dict[str, Order]) -> None:
        """Put in force those orders that are later than the current ones."""
        newer = {s: o for s, o in found.items() if o.at_ms > self.orders.get(s, Order(False, -1)).at_ms}
        self.orders.update(newer)
        if newer:
            self._on_change(newer)

    def _apply_locally(self, server: str, out: bool) -> bool:
        """Put an order in force in this process. Returns whether that changes anything."""
        old = self.orders.get(server)
        if old is not None and old.out == out:
            return False
        self._apply({server: Order(out, max(now_ms(), old.at_ms + 1 if old else 0))})
        return True

    def _read_legacy(self) -> dict[str, Order]:
        if self._legacy is None:
            return {}
        try:
            with open(self._legacy, "rb") as file:
                return _orders(json.loads(file.read(MAX_LEGACY_FILE_BYTES)))
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, RecursionError) as error:
            self._log_once(f"the orders file of an earlier release cannot be read: {error}")
            return {}

    def _log_once(self, text: str) -> None:
        if text != self._last_logged:
            self._last_logged = text
            log_info("maintenance", text)


def _orders(raw: Any) -> dict[str, Order]:
    """Parse and check the orders of the file. Raises ValueError if it is invalid."""
    rows = raw.get("orders") if isinstance(raw, dict) else None
    if not isinstance(rows, dict):
        raise ValueError("it has no object 'orders'")
    orders = {}
    for server, row in rows.items():
        if not (isinstance(row, list) and len(row) == 2 and type(row[0]) is bool and type(row[1]) is int):
            raise ValueError(f"the order for {server!r} is not a list of a boolean and an integer")
        orders[server] = Order(row[0], row[1])
    return orders

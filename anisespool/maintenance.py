"""Which servers the operators have taken out, and when each was called back. The orders live in the state
store, which both processes of an upgrade share: each order has its time, and the later one of a server holds.
The file of the releases before the store is taken up once at each start."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any
from urllib.parse import quote

from anisespool.errors import NotDurable, StoreError
from anisespool.log import say
from anisespool.state.pending_writes import PendingWrite
from anisespool.state.store import Order, Store, now_ms
from anisespool.upgrade_locks import Pair

FOLLOW_S = 0.05  # between two looks at the store
MAX_FILE = 1 << 20

__all__ = ["Maintenance", "NotDurable", "Order"]


class Maintenance:
    def __init__(
        self, store: Store | None, pair: Pair, on_change: Callable[[Iterable[str]], None],
        legacy: Path | None = None,
    ) -> None:  # fmt: skip
        """`store`: None keeps orders in this process alone. `legacy`: the file of earlier releases."""
        self.orders: dict[str, Order] = {}
        self.store, self._pair, self._legacy, self._on_change = store, pair, legacy, on_change
        self._complaint = ""
        self._unstored: dict[str, Order] = {}  # in force here, and owed to the store
        self._has_unread = False  # the last read of the store failed
        self._owed = PendingWrite(
            "maintenance", "the orders cannot be stored or read", "the orders are stored and read again",
            self._settle,
        )  # fmt: skip
        if store:
            store.on_new_file.append(self._new_file)
            if not store.is_open:
                self._owed.schedule()

    @staticmethod
    def legacy_place(folder: Path | None, name: str) -> Path | None:
        return folder / f"anisespool-{quote(name, safe='')}.json" if folder else None

    async def load(self) -> None:
        """What the store holds, and what the file of an earlier release holds that is later."""
        self.read()
        found = self._read_legacy()
        if not found:
            return
        try:
            taken = await self.store.merge_orders(found) if self.store else found
        except StoreError as error:
            self._unstored |= found
            self._fail(error)
            taken = found
        self._take(taken)
        if taken:
            say("maintenance", f"took up {len(taken)} orders from {self._legacy}")

    async def order(self, server: str, out: bool) -> None:
        """The order holds here from now on. Raises NotDurable where the store failed: it is stored later."""
        if self.store is None:
            self._in_process(server, out)
            return
        if self._in_process(server, out):  # at once, however long the store takes
            self._unstored[server] = self.orders[server]
        unstored = dict(self._unstored)
        try:
            order = await self.store.set_order(server, out, unstored)
        except StoreError as error:
            self._fail(error)
            raise NotDurable(f"{server} is ordered in this process only, as the store {error}") from None
        self._stored(unstored)
        if order is not None:
            self._take({server: order})
        else:
            self.read()
        # The other process, where there is one, has followed by then.
        await asyncio.sleep(max(2 * FOLLOW_S, self._pair.unknown_s()))

    async def follow(self) -> None:
        if self.store:
            await asyncio.gather(self._follow_other(), self._owed.follow())

    async def flush(self) -> None:
        """A last attempt at what the store does not have yet."""
        if self.store:
            await self._owed.flush()

    async def _follow_other(self) -> None:
        async for due in self._pair.store_looks(FOLLOW_S):
            self.read(due)

    def read(self, due: bool = False) -> None:
        """Take up what another process has written since the last look. `due`: whether or not it has. Where
        that fails, what is in force stays so until it succeeds."""
        if self.store is None:
            return
        try:
            if self.store.has_changed() or due:
                self._has_unread = True
            if self._has_unread:
                self._read()
        except StoreError as error:
            self._has_unread = True
            self._fail(error)

    def _read(self) -> None:
        """Raises StoreError."""
        assert self.store
        found = self.store.orders()
        self._has_unread = False
        self._take(found)

    async def _settle(self) -> None:
        """All that is stored is in force, and all that is in force is stored. Raises StoreError."""
        assert self.store
        if self._has_unread:
            self._read()
        if self._unstored or not self.store.is_open:
            unstored = dict(self._unstored)
            await self.store.merge_orders(unstored)
            self._stored(unstored)

    def _fail(self, error: StoreError) -> None:
        """The store could not be read or written: both are owed from now on."""
        self._owed.report_failure(error)
        self._owed.schedule()

    def _stored(self, orders: dict[str, Order]) -> None:
        """But for those that a later one has replaced meanwhile."""
        for server, order in orders.items():
            if self._unstored.get(server) == order:
                del self._unstored[server]

    def _new_file(self) -> None:
        """All that is in force is owed to it, and all that it has is to be in force."""
        self._unstored = dict(self.orders)
        self._owed.schedule()
        self.read(True)

    def _take(self, found: dict[str, Order]) -> None:
        newer = {s: o for s, o in found.items() if o.at_ms > self.orders.get(s, Order(False, -1)).at_ms}
        self.orders.update(newer)
        if newer:
            self._on_change(newer)

    def _in_process(self, server: str, out: bool) -> bool:
        """Whether that changes what holds here."""
        old = self.orders.get(server)
        if old is not None and old.out == out:
            return False
        self._take({server: Order(out, max(now_ms(), old.at_ms + 1 if old else 0))})
        return True

    def _read_legacy(self) -> dict[str, Order]:
        if self._legacy is None:
            return {}
        try:
            with open(self._legacy, "rb") as file:
                return _orders(json.loads(file.read(MAX_FILE)))
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, RecursionError) as error:
            self._complain(f"the file of servers out of an earlier release cannot be read: {error}")
            return {}

    def _complain(self, text: str) -> None:
        if text != self._complaint:
            self._complaint = text
            say("maintenance", text)


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

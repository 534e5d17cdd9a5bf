"""What has been taken on and is not yet durable. Each kind of state has one `OwedWrite`, which writes it
again, with a bounded back-off, until the store has taken it; nothing else retries a write."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anisespool.errors import StoreError, Unstorable
from anisespool.log import say
from anisespool.state.records import Record, now_ms
from anisespool.state.store import Store

RETRY_FIRST_S = 0.2  # after a first failure; doubled by each further one
RETRY_MOST_S = 5.0  # the longest time for which a disk that has recovered is not noticed
MAX_TEXT = 300  # characters of a line in the log


class OwedWrite:
    """Runs `attempt` each time that something is due, and again while it fails. One line in the log when it
    begins to fail, and one when it has recovered."""

    def __init__(
        self, topic: str, failing: str, recovered: str, attempt: Callable[[], Awaitable[None]],
        pace_s: float = 0.0,
    ) -> None:  # fmt: skip
        """`failing`, `recovered`: for the log. `attempt` raises StoreError while something stays owed.
        `pace_s`: between two attempts that succeed."""
        self._topic, self._failing, self._recovered = topic, failing, recovered
        self._attempt, self._pace_s = attempt, pace_s
        self._due = asyncio.Event()
        self._retry_s = RETRY_FIRST_S
        self._is_failing = False

    def mark(self) -> None:
        """Something is due. While attempts fail, it waits for the next of them."""
        self._due.set()

    async def follow(self) -> None:
        while True:
            await self._due.wait()
            if await self._succeeds():
                await asyncio.sleep(self._pace_s)
            else:
                await asyncio.sleep(self._retry_s)
                self._retry_s = min(2 * self._retry_s, RETRY_MOST_S)

    async def flush(self) -> None:
        """A last attempt at what is still due, by a process that ends and has cancelled `follow`."""
        if self._due.is_set():
            await self._succeeds()

    async def _succeeds(self) -> bool:
        """One attempt. Where it fails, or is cancelled, what was due stays so."""
        self._due.clear()
        try:
            await self._attempt()
        except Unstorable as error:  # no later attempt can do better
            self.failed(error)
            return True
        except StoreError as error:
            self._due.set()
            self.failed(error)
            return False
        except asyncio.CancelledError:
            self._due.set()
            raise
        self._recover()
        return True

    def failed(self, error: StoreError) -> None:
        """Log the first failure of a row of them, whoever met it."""
        if not self._is_failing:
            self._is_failing = True
            say(self._topic, f"{self._failing}: {error}"[:MAX_TEXT])

    def _recover(self) -> None:
        self._retry_s = RETRY_FIRST_S
        if self._is_failing:
            self._is_failing = False
            say(self._topic, self._recovered)


class OwedRecords:
    """Records that the store does not have yet: the latest of each kind and id, until its time is over, which
    bounds them."""

    def __init__(self, store: Store, what: str, pace_s: float) -> None:
        self._store = store
        self._records: dict[tuple[str, str], Record] = {}
        failing, recovered = f"{what} is not stored", f"{what} is stored again"
        self._owed = OwedWrite("state", failing, recovered, self._write, pace_s)

    def add(self, records: Iterable[Record]) -> None:
        self._records.update({(record.kind, record.id): record for record in records})
        if self._records:
            self._owed.mark()

    def __len__(self) -> int:
        return len(self._records)

    def has_later(self, stored: Record) -> bool:
        """Whether one of its kind and id that binds for longer is not stored yet."""
        owed = self._records.get((stored.kind, stored.id))
        return owed is not None and owed.until_ms > stored.until_ms

    async def follow(self) -> None:
        await self._owed.follow()

    async def flush(self) -> None:
        await self._owed.flush()

    async def _write(self) -> None:
        now = now_ms()
        rows = {key: record for key, record in self._records.items() if record.until_ms > now}
        self._records = dict(rows)
        try:
            await self._store.put(rows.values())
        except Unstorable:
            self._forget(rows)
            raise
        self._forget(rows)

    def _forget(self, rows: dict[tuple[str, str], Record]) -> None:
        """But for what has come later of the same id."""
        for key, record in rows.items():
            if self._records.get(key) is record:
                del self._records[key]

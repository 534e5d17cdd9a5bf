"""Retries writes to the state store. Each kind of state has one `PendingWrite`, which repeats a failed write
with a bounded back-off until it succeeds; nothing else retries a write."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anisespool.errors import StoreError, Unstorable
from anisespool.log import log_info
from anisespool.state.records import Record, now_ms
from anisespool.state.store import Store

RETRY_INITIAL_S = 0.2  # after the first failure; doubled after each further one
RETRY_MAX_S = 5.0  # the longest time until a recovered disk is noticed
MAX_LOG_CHARS = 300  # of one log line


class PendingWrite:
    """Runs `write` whenever it is scheduled, and again while it fails. Logs one line when it starts to fail
    and one when it has recovered."""

    def __init__(
        self, topic: str, failure_text: str, recovery_text: str, write: Callable[[], Awaitable[None]],
        min_interval_s: float = 0.0,
    ) -> None:  # fmt: skip
        """`failure_text`, `recovery_text`: for the log. `write` raises StoreError if something is still not
        stored. `min_interval_s`: the pause after a successful write."""
        self._topic, self._failure_text, self._recovery_text = topic, failure_text, recovery_text
        self._write, self._min_interval_s = write, min_interval_s
        self._due = asyncio.Event()
        self._retry_s = RETRY_INITIAL_S
        self._is_failing = False

    def schedule(self) -> None:
        """Request a write. While writes fail, the request waits for the next retry."""
        self._due.set()

    async def follow(self) -> None:
        """Run the scheduled writes, until cancelled."""
        while True:
            await self._due.wait()
            if await self._try_write():
                await asyncio.sleep(self._min_interval_s)
            else:
                await asyncio.sleep(self._retry_s)
                self._retry_s = min(2 * self._retry_s, RETRY_MAX_S)

    async def flush(self) -> None:
        """Try once more to write what is still scheduled: for a process that ends and has cancelled
        `follow`."""
        if self._due.is_set():
            await self._try_write()

    async def _try_write(self) -> bool:
        """Try once. If the write fails with a retryable error or is cancelled, it stays scheduled."""
        self._due.clear()
        try:
            await self._write()
        except Unstorable as error:  # a retry cannot succeed
            self.report_failure(error)
            return True
        except StoreError as error:
            self._due.set()
            self.report_failure(error)
            return False
        except asyncio.CancelledError:
            self._due.set()
            raise
        self._report_recovery()
        return True

    def report_failure(self, error: StoreError) -> None:
        """Log the first of consecutive failures; the caller may have met it outside `write`."""
        if not self._is_failing:
            self._is_failing = True
            log_info(self._topic, f"{self._failure_text}: {error}"[:MAX_LOG_CHARS])

    def _report_recovery(self) -> None:
        self._retry_s = RETRY_INITIAL_S
        if self._is_failing:
            self._is_failing = False
            log_info(self._topic, self._recovery_text)


class PendingRecords:
    """Records that are not in the store yet: the latest of each kind and id. Expired records are dropped,
    which bounds their number."""

    def __init__(self, store: Store, description: str, min_interval_s: float) -> None:
        self._store = store
        self._records: dict[tuple[str, str], Record] = {}
        failure_text, recovery_text = f"{description} is not stored", f"{description} is stored again"
        self._pending_write = PendingWrite("state", failure_text, recovery_text, self._write, min_interval_s)

    def add(self, records: Iterable[Record]) -> None:
        """Schedule records to be stored."""
        self._records.update({(record.kind, record.id): record for record in records})
        if self._records:
            self._pending_write.schedule()

    def __len__(self) -> int:
        return len(self._records)

    def has_later(self, stored: Record) -> bool:
        """Whether a record of the same kind and id that expires later is waiting to be stored."""
        pending = self._records.get((stored.kind, stored.id))
        return pending is not None and pending.until_ms > stored.until_ms

    async def follow(self) -> None:
        await self._pending_write.follow()

    async def flush(self) -> None:
        await self._pending_write.flush()

    async def _write(self) -> None:
        now = now_ms()
        rows = {key: record for key, record in self._records.items() if record.until_ms > now}
        self._records = dict(rows)
        try:
            await self._store.put(rows.values())
        except Unstorable:
            self._discard(rows)
            raise
        self._discard(rows)

    def _discard(self, rows: dict[tuple[str, str], Record]) -> None:
        """Drop these records, but not those that have replaced them meanwhile."""
        for key, record in rows.items():
            if self._records.get(key) is record:
                del self._records[key]

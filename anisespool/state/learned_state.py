"""Keeps what a sidecar has learned in the state store for its next process: how slow each server was, which
servers are ejected and until when, and which dedup group a keyed request was sent to (pins). A
dedup group is the set of servers that recognise a repeated key. Learned response times are written every
SNAPSHOT_INTERVAL_S, ejections and pins within PIN_WRITE_INTERVAL_S."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from anisespool.clock import CLOCK
from anisespool.errors import StoreError
from anisespool.external_state import ExternalState
from anisespool.log import log_info
from anisespool.state.pending_writes import PendingRecords, PendingWrite
from anisespool.state.persisted_rows import EjectionRow, LearnedRow, PersistedState, PinRow
from anisespool.state.store import Record, Store, now_ms
from anisespool.upgrade_locks import UpgradeLocks
from shuntlead.interface import Status

SNAPSHOT_INTERVAL_S = 1.0  # between writes of response times: a crash loses no more than this
PIN_WRITE_INTERVAL_S = 0.02  # between writes of pins
TIME_ROUNDING_MS = 1  # the same time may come out this different: an age and a clock, each cut to ms
LEARNED_RETENTION_MS = 60_000  # older response times say nothing about the present
LEARNED, VERDICT, PIN = "learned", "verdict", "pin"  # kinds of records in the store


class LearnedState:
    """Moves learned state between the decision module and the state store."""

    def __init__(
        self, store: Store, upgrade_locks: UpgradeLocks, external: ExternalState, keeps_pins: bool
    ) -> None:
        """`keeps_pins`: whether some requests may only go to the dedup group that got their key before."""
        self._store, self._upgrade_locks, self._external, self._keeps_pins = (
            store,
            upgrade_locks,
            external,
            keeps_pins,
        )
        self._pins = PendingRecords(store, "the record of pinned keys", PIN_WRITE_INTERVAL_S)
        self._learned = PendingRecords(store, "the learned server state", PIN_WRITE_INTERVAL_S)
        self._pending_read = PendingWrite(
            "state", "the learned state cannot be read", "the learned state is read again", self._retry_load
        )
        self._written_at_ms: dict[str, int] = {}  # server -> time of the response times last written
        self._snapshot_due = asyncio.Event()
        self._last_logged = ""
        external.on_pin, external.on_snapshot = self.pin, self._snapshot_due.set
        self._has_loaded = False  # from then on all records are dated by this process's clock
        store.on_new_file.append(self.load)

    @property
    def unwritten(self) -> int:
        """How many records are not in the store yet."""
        return len(self._pins) + len(self._learned)

    def load(self) -> None:
        """Pass the stored state to the decision module, now or once it can be read. If a record is
        malformed, nothing is passed."""
        try:
            self._load()
        except StoreError as error:
            self._pending_read.report_failure(error)
            self._pending_read.schedule()

    def _load(self) -> None:
        """Pass the stored state to the decision module. Raises StoreError."""
        try:
            learned = [_learned_row(record) for record in self._store.records(LEARNED)]
            ejections = [EjectionRow(record.id, record.until_ms, Status(int(record.body)))
                        for record in self._store.records(VERDICT)]  # fmt: skip
            is_same_clock = CLOCK.is_resumed or self._has_loaded
            pins = self._read_pins() if is_same_clock else self._read_pins_from_other_clock()
            self._has_loaded = True
            self._external.restore(PersistedState(learned, ejections), pins)
        except (ValueError, TypeError) as error:
            self._log_once(f"the learned state is ignored, as a record is malformed: {error}")

    async def _retry_load(self) -> None:
        """`_load` as a PendingWrite calls it. Raises StoreError."""
        self._load()

    async def follow(self) -> None:
        """Keep the store and the decision module up to date, until cancelled."""
        await asyncio.gather(
            self._follow_module(), self._follow_other_process(),
            self._pins.follow(), self._learned.follow(), self._pending_read.follow(),
        )  # fmt: skip

    async def flush(self) -> None:
        """Try once more to write what is not stored yet."""
        await asyncio.gather(self._pins.flush(), self._learned.flush())

    def pin(self, row: PinRow) -> None:
        """Schedule a pin to be stored."""
        self._pins.add([Record(PIN, f"{row.key:x}", now_ms(), row.until_ms, json.dumps(row[:4]))])

    async def _follow_module(self) -> None:
        """Store what the decision module has learned: periodically, and at once after an ejection."""
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._snapshot_due.wait(), SNAPSHOT_INTERVAL_S)
            rows = self._changed(self._external.snapshot())
            self._snapshot_due.clear()  # taking the snapshot has set it, too
            self._learned.add(rows)
            await asyncio.sleep(PIN_WRITE_INTERVAL_S)

    async def _follow_other_process(self) -> None:
        """Pass on the pins that the other process of an upgrade has stored since the last check."""
        if not self._keeps_pins:
            return
        async for must_read in self._upgrade_locks.store_polls(PIN_WRITE_INTERVAL_S):
            try:
                if self._store.has_changed(PIN) or must_read:
                    self._external.restore(PersistedState((), ()), self._read_pins())
            except StoreError as error:
                self._pending_read.report_failure(error)
                self._pending_read.schedule()
            except (ValueError, TypeError) as error:
                self._log_once(str(error))

    def _changed(self, snapshot: PersistedState) -> list[Record]:
        """Records of response times that are newer than those last written, and of all ejections."""
        now = now_ms()
        fresh = [
            row
            for row in snapshot.learned
            if row.at_ms > self._written_at_ms.get(row.server, 0) + TIME_ROUNDING_MS
        ]
        self._written_at_ms = {row.server: row.at_ms for row in snapshot.learned}
        return [
            *(Record(LEARNED, r.server, r.at_ms, r.at_ms + LEARNED_RETENTION_MS,
                     json.dumps((round(r.slow, 3), round(r.queue, 3)))) for r in fresh),
            *(Record(VERDICT, r.server, now, r.until_ms, str(int(r.reason))) for r in snapshot.ejections),
        ]  # fmt: skip

    def _read_pins(self) -> list[PinRow]:
        """The stored pins, except for keys that this process has since pinned for longer and not yet
        stored."""
        return [_pin_row(record) for record in self._store.records(PIN) if not self._pins.has_later(record)]

    def _read_pins_from_other_clock(self) -> list[PinRow]:
        """The stored pins, each with its whole lifetime counted from now. The wall clock may have stepped
        since, and if a pin expires too early, a repeated request may take effect twice."""
        now = now_ms()
        return [_pin_row(record._replace(until_ms=now + max(0, record.until_ms - record.at_ms)))
                for record in self._store.records(PIN, any_time=True)]  # fmt: skip

    def _log_once(self, text: str) -> None:
        """Log a text unless it is the same as the last one."""
        if text != self._last_logged:
            self._last_logged = text
            log_info("state", text[:300])


def _learned_row(record: Record) -> LearnedRow:
    slow, queue = json.loads(record.body)
    return LearnedRow(record.id, float(slow), float(queue), record.at_ms)


def _pin_row(record: Record) -> PinRow:
    key, request_class, zone, cell = json.loads(record.body)
    return PinRow(int(key), int(request_class), int(zone), int(cell), record.until_ms)

"""What a sidecar has learned, kept in the state store for its next process: how slow each server was, which
are ejected and until when, and which dedup group a keyed request went to. What was learned is written every
SNAPSHOT_S, a verdict and a key's group within PIN_S."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from anisespool.clock import CLOCK
from anisespool.errors import StoreError
from anisespool.external_state import Outside
from anisespool.log import say
from anisespool.state.pending_writes import OwedRecords, OwedWrite
from anisespool.state.persisted_rows import LearnedRow, PinRow, Remembered, VerdictRow
from anisespool.state.store import Record, Store, now_ms
from anisespool.upgrade_locks import Pair
from shuntlead.interface import Status

SNAPSHOT_S = 1.0  # between two writes of what was learned: the most of it that a crash loses
PIN_S = 0.02  # between two writes of what binds
SAME_MS = 1  # a time told twice differs by so much: it is an age, cut to ms, off a clock cut to ms
LEARNED_KEPT_MS = 60_000  # an older response time says nothing of now
LEARNED, VERDICT, PIN = "learned", "verdict", "pin"


class Memory:
    def __init__(self, store: Store, pair: Pair, outside: Outside, keeps_pins: bool) -> None:
        self._store, self._pair, self._outside, self._keeps_pins = store, pair, outside, keeps_pins
        self._pins = OwedRecords(store, "what binds keys", PIN_S)
        self._learned = OwedRecords(store, "what was learned", PIN_S)
        self._reading = OwedWrite(
            "state", "what was learned is not read", "what was learned is read", self._load_again
        )
        self._written: dict[str, int] = {}  # server -> when what was written of it was learned
        self._ejected = asyncio.Event()
        self._complaint = ""
        outside.on_pin, outside.on_remember = self.pin, self._ejected.set
        self._has_loaded = False  # from then on all records are by this process's clock
        store.on_new_file.append(self.load)

    @property
    def unwritten(self) -> int:
        """Records that the store does not have yet."""
        return len(self._pins) + len(self._learned)

    def load(self) -> None:
        """Hand the module what the store has, now or once it can be read; a record of no form is left out."""
        try:
            self._load()
        except StoreError as error:
            self._reading.failed(error)
            self._reading.mark()

    def _load(self) -> None:
        """Raises StoreError."""
        try:
            learned = [_learned(r) for r in self._store.records(LEARNED)]
            ejections = [VerdictRow(r.id, r.until_ms, Status(int(r.body)))
                        for r in self._store.records(VERDICT)]  # fmt: skip
            is_same_clock = CLOCK.is_continued or self._has_loaded
            pins = self._read_pins() if is_same_clock else self._read_pins_of_another_clock()
            self._has_loaded = True
            self._outside.recall(Remembered(learned, ejections), pins)
        except (ValueError, TypeError) as error:
            self._complain(f"what was learned is left out, a record has another form: {error}")

    async def _load_again(self) -> None:
        """Raises StoreError."""
        self._load()

    async def follow(self) -> None:
        await asyncio.gather(
            self._follow_learned(), self._follow_other(),
            self._pins.follow(), self._learned.follow(), self._reading.follow(),
        )  # fmt: skip

    async def flush(self) -> None:
        """A last attempt at what the store does not have yet."""
        await asyncio.gather(self._pins.flush(), self._learned.flush())

    def pin(self, row: PinRow) -> None:
        self._pins.add([Record(PIN, f"{row.key:x}", now_ms(), row.until_ms, json.dumps(row[:4]))])

    async def _follow_learned(self) -> None:
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ejected.wait(), SNAPSHOT_S)
            rows = self._changed(self._outside.snapshot())
            self._ejected.clear()  # the snapshot set it too
            self._learned.add(rows)
            await asyncio.sleep(PIN_S)

    async def _follow_other(self) -> None:
        """Keys that the other process of an upgrade has sent since the last look."""
        if not self._keeps_pins:
            return
        async for due in self._pair.store_looks(PIN_S):
            try:
                if self._store.changed(PIN) or due:
                    self._outside.recall(Remembered((), ()), self._read_pins())
            except StoreError as error:
                self._reading.failed(error)
                self._reading.mark()
            except (ValueError, TypeError) as error:
                self._complain(str(error))

    def _changed(self, known: Remembered) -> list[Record]:
        now = now_ms()
        fresh = [row for row in known.learned if row.at_ms > self._written.get(row.server, 0) + SAME_MS]
        self._written = {row.server: row.at_ms for row in known.learned}
        return [
            *(Record(LEARNED, r.server, r.at_ms, r.at_ms + LEARNED_KEPT_MS,
                     json.dumps((round(r.slow, 3), round(r.queue, 3)))) for r in fresh),
            *(Record(VERDICT, r.server, now, r.until_ms, str(int(r.reason))) for r in known.ejections),
        ]  # fmt: skip

    def _read_pins(self) -> list[PinRow]:
        """But for those that this process has bound for longer since, which it does not have to unlearn."""
        return [_pin(record) for record in self._store.records(PIN) if not self._pins.has_later(record)]

    def _read_pins_of_another_clock(self) -> list[PinRow]:
        """Each for as long as it was stored for, from now. The wall clock may have stepped since, and
        a pin that is void too early lets a repeat have a second effect."""
        now = now_ms()
        return [_pin(record._replace(until_ms=now + max(0, record.until_ms - record.at_ms)))
                for record in self._store.records(PIN, whenever=True)]  # fmt: skip

    def _complain(self, text: str) -> None:
        if text != self._complaint:
            self._complaint = text
            say("state", text[:300])


def _learned(record: Record) -> LearnedRow:
    slow, queue = json.loads(record.body)
    return LearnedRow(record.id, float(slow), float(queue), record.at_ms)


def _pin(record: Record) -> PinRow:
    key, cls, zone, cell = json.loads(record.body)
    return PinRow(int(key), int(cls), int(zone), int(cell), record.until_ms)

"""Hands the steady clock on from one process to the next of the same boot, by a record in the state store.

Monotonic time goes on through the end of a process, but not through a reboot; so the record is of one boot,
by the kernel's id of it. Earlier releases know nothing of the record and leave it as it is."""

from __future__ import annotations

import json
from pathlib import Path

from anisespool.clock import SteadyClock
from anisespool.errors import StoreError
from anisespool.state.records import log
from anisespool.state.store import Record, Store

KIND = "clock"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
KEPT_MS = 10 * 365 * 86_400_000
AHEAD_MS = 1_000  # by how much what is stored may seem later than now: times are cut to ms


def boot_id() -> str:
    """The same until the machine is booted again; "" where it cannot be known."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


def resume(clock: SteadyClock, store: Store) -> None:
    """Let `clock` go on where the last process's stood, if that was of this boot. What was stored later than
    it is now shows that monotonic time did not go on; the clock stays as it is then."""
    boot = boot_id()
    try:
        body, latest_ms = store.clock_record(KIND, boot) if boot else (None, 0)
        if body is None:
            return
        fresh = SteadyClock()
        fresh.continue_from(_epochs(body))
    except (StoreError, ValueError) as error:
        log(f"the earlier process's clock is left out: {error}")
        return
    if fresh.unix_ms() + AHEAD_MS < latest_ms:
        log("the earlier process's clock is left out: what is stored is later than it")
        return
    clock.epochs_ns, clock.epoch_ns, clock.is_continued = fresh.epochs_ns, fresh.epoch_ns, True


async def keep(clock: SteadyClock, store: Store) -> None:
    """Store the clock for the next process of this boot. A failure is logged: it costs no service."""
    boot, now_ms = boot_id(), clock.unix_ms()
    if not boot:
        return
    try:
        record = Record(KIND, boot, now_ms, now_ms + KEPT_MS, json.dumps(clock.epochs_ns))
        await store.put([record])
    except StoreError as error:
        log(f"the clock is not stored, a restart goes by the wall clock: {error}")


def _epochs(body: str) -> list[int]:
    """ValueError says that the record has another form."""
    epochs = json.loads(body)
    if not (isinstance(epochs, list) and epochs and all(type(each) is int for each in epochs)):
        raise ValueError("its record has another form")
    return epochs

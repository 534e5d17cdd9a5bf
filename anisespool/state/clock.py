"""Passes the steady clock from one process to the next within the same boot, in a record of the state store.

Monotonic time continues when a process ends, but not across a reboot, so the record is only valid for the
boot whose id, as given by the kernel, it carries. Earlier releases ignore the record and leave it
unchanged."""

from __future__ import annotations

import json
from pathlib import Path

from anisespool.clock import SteadyClock
from anisespool.errors import StoreError
from anisespool.state.records import log
from anisespool.state.store import Record, Store

KIND = "clock"  # of the record in the store
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
RETENTION_MS = 10 * 365 * 86_400_000
CLOCK_TOLERANCE_MS = 1_000  # stored times may appear this much later than now, as times are cut to ms


def boot_id() -> str:
    """The kernel's id of the current boot of this machine; "" if it cannot be read."""
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def restore_clock(clock: SteadyClock, store: Store) -> None:
    """Continue the previous process's clock in `clock`, if that process ran in the current boot. If a stored
    row is later than the time by that clock, monotonic time did not continue, and `clock` is left as it
    is."""
    current_boot = boot_id()
    try:
        body, latest_ms = store.clock_record(KIND, current_boot) if current_boot else (None, 0)
        if body is None:
            return
        restored = SteadyClock()
        restored.resume_from(_parse_epochs(body))
    except (StoreError, ValueError) as error:
        log(f"the previous process's clock is not used: {error}")
        return
    if restored.unix_ms() + CLOCK_TOLERANCE_MS < latest_ms:
        log("the previous process's clock is not used: the store has rows with later times")
        return
    clock.epochs_ns, clock.epoch_ns, clock.is_resumed = restored.epochs_ns, restored.epoch_ns, True


async def save_clock(clock: SteadyClock, store: Store) -> None:
    """Store the clock for the next process of this boot. A failure is only logged, as the sidecar can run
    without the record."""
    current_boot, now_ms = boot_id(), clock.unix_ms()
    if not current_boot:
        return
    try:
        record = Record(KIND, current_boot, now_ms, now_ms + RETENTION_MS, json.dumps(clock.epochs_ns))
        await store.put([record])
    except StoreError as error:
        log(f"the clock is not stored, so a restart will use the wall clock: {error}")


def _parse_epochs(body: str) -> list[int]:
    """The epochs (Unix time less monotonic time, in ns) in the record. Raises ValueError if it is
    malformed."""
    epochs = json.loads(body)
    if not (isinstance(epochs, list) and epochs and all(type(epoch_ns) is int for epoch_ns in epochs)):
        raise ValueError("its record is malformed")
    return epochs

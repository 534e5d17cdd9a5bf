"""The clock that dates stored records: resumed from the store, and cases where it must not be."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest

from anisespool.clock import MAX_EPOCHS, SteadyClock
from anisespool.state import clock
from anisespool.state.clock import restore_clock, save_clock
from anisespool.state.store import Record, Store, now_ms, store_path
from tests.support import SECOND
from tests.test_maintenance import Process
from tests.test_wall_clock import STEPS_S

AHEAD_MS = 3_600_000


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    opened = Store.open(tmp_path, "n0")
    assert opened
    yield opened
    opened.close()


def step_wall_clock(monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    unstepped_ns = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: unstepped_ns() + round(step_s * SECOND))


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_the_next_process_of_a_boot_resumes_the_previous_clock(
    store: Store, monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    previous = SteadyClock()
    await save_clock(previous, store)
    step_wall_clock(monkeypatch, step_s)
    current = SteadyClock()
    restore_clock(current, store)
    assert current.is_resumed and current.epoch_ns == previous.epoch_ns
    assert len(current.epochs_ns) == 2  # server start times may be dated by either epoch


@pytest.mark.parametrize("boot", ["another boot", None])
async def test_after_a_reboot_or_without_a_boot_id_the_wall_clock_is_used(
    store: Store, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, boot: str | None
) -> None:
    await save_clock(SteadyClock(), store)
    boot_id = tmp_path / "boot_id"
    if boot:
        boot_id.write_text(boot)
    monkeypatch.setattr(clock, "BOOT_ID_FILE", boot_id)
    step_wall_clock(monkeypatch, 5.0)
    current = SteadyClock()
    wall_ns = current.epoch_ns
    restore_clock(current, store)
    await save_clock(current, store)
    assert not current.is_resumed and current.epoch_ns == wall_ns


async def test_a_stored_clock_behind_the_stored_records_is_not_resumed(
    store: Store, capfd: pytest.CaptureFixture[str]
) -> None:
    previous, later_ms = SteadyClock(), now_ms() + 5_000
    await save_clock(previous, store)
    await store.put([Record("learned", "s-0", later_ms, later_ms + 60_000, "[1.0, 0.0]")])
    current = SteadyClock()
    restore_clock(current, store)
    assert not current.is_resumed
    assert "state: the previous process's clock is not used" in capfd.readouterr().err


@pytest.mark.parametrize("body", ["", "[]", "{}", '["x"]', "[true]"])
async def test_a_malformed_stored_clock_is_ignored(
    store: Store, body: str, capfd: pytest.CaptureFixture[str]
) -> None:
    await store.put([Record(clock.KIND, clock.boot_id(), now_ms(), now_ms() + AHEAD_MS, body)])
    current = SteadyClock()
    restore_clock(current, store)
    assert not current.is_resumed
    assert "state: the previous process's clock is not used" in capfd.readouterr().err


def test_after_repeated_clock_steps_only_the_latest_epochs_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = SteadyClock()
    first_ns = clock.epoch_ns
    for _ in range(2 * MAX_EPOCHS):
        step_wall_clock(monkeypatch, -10.0)
        clock.detect_step()
        clock.detect_step()
    assert len(clock.epochs_ns) == MAX_EPOCHS and clock.epochs_ns[0] == clock.epoch_ns == first_ns
    assert clock.epochs_ns[-1] < first_ns - 10 * SECOND * (2 * MAX_EPOCHS - 1)


async def test_orders_after_one_dated_in_the_future_apply_in_both_processes_of_an_upgrade(
    tmp_path: Path,
) -> None:
    """The stored order is dated by another boot's clock; later orders replace it at the current time."""
    first = Process(tmp_path)
    await first.maintenance.order("s-0", True)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"))) as connection, connection:
        connection.execute("UPDATE orders SET at_ms = ?", (now_ms() + AHEAD_MS,))
    one, two = Process(tmp_path), Process(tmp_path)
    for process in (one, two):
        await process.maintenance.load()
    for process, other, out in ((one, two, False), (two, one, True), (one, two, False)):
        await process.maintenance.order("s-0", out)
        other.maintenance.read()
        assert process.disabled() == other.disabled() == ({"s-0"} if out else set())
    assert abs(one.maintenance.orders["s-0"].at_ms - now_ms()) < AHEAD_MS / 2


async def test_rereading_an_order_dated_in_the_future_changes_nothing(tmp_path: Path) -> None:
    first = Process(tmp_path)
    await first.maintenance.order("s-0", True)
    await first.maintenance.order("s-0", False)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"))) as connection, connection:
        connection.execute("UPDATE orders SET at_ms = ?", (now_ms() + AHEAD_MS,))
    process = Process(tmp_path)
    await process.maintenance.load()
    stored_order = process.maintenance.orders["s-0"]
    for _ in range(3):
        time.sleep(0.002)  # the next read is at least 1 ms later
        process.maintenance.read(due=True)
    assert process.maintenance.orders["s-0"] == stored_order and process.changed == ["s-0"]

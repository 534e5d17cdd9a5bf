"""The clock that dates what outlives a process: handed on in the store, and where it cannot be."""

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
    it = Store.open(tmp_path, "n0")
    assert it
    yield it
    it.close()


def step(monkeypatch: pytest.MonkeyPatch, step_s: float) -> None:
    unstepped_ns = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: unstepped_ns() + round(step_s * SECOND))


@pytest.mark.parametrize("step_s", STEPS_S)
async def test_the_next_process_of_a_boot_goes_by_the_clock_of_the_last(
    store: Store, monkeypatch: pytest.MonkeyPatch, step_s: float
) -> None:
    last = SteadyClock()
    await save_clock(last, store)
    step(monkeypatch, step_s)
    following = SteadyClock()
    restore_clock(following, store)
    assert following.is_resumed and following.epoch_ns == last.epoch_ns
    assert len(following.epochs_ns) == 2  # the starts of servers may be dated by either


@pytest.mark.parametrize("boot", ["another boot", None])
async def test_after_a_reboot_or_with_no_boot_known_the_clock_is_the_walls(
    store: Store, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, boot: str | None
) -> None:
    await save_clock(SteadyClock(), store)
    boot_id = tmp_path / "boot_id"
    if boot:
        boot_id.write_text(boot)
    monkeypatch.setattr(clock, "BOOT_ID_FILE", boot_id)
    step(monkeypatch, 5.0)
    following = SteadyClock()
    wall_ns = following.epoch_ns
    restore_clock(following, store)
    await save_clock(following, store)
    assert not following.is_resumed and following.epoch_ns == wall_ns


async def test_a_clock_that_what_is_stored_is_later_than_did_not_go_on(
    store: Store, capfd: pytest.CaptureFixture[str]
) -> None:
    last, later_ms = SteadyClock(), now_ms() + 5_000
    await save_clock(last, store)
    await store.put([Record("learned", "s-0", later_ms, later_ms + 60_000, "[1.0, 0.0]")])
    following = SteadyClock()
    restore_clock(following, store)
    assert not following.is_resumed
    assert "state: the previous process's clock is not used" in capfd.readouterr().err


@pytest.mark.parametrize("body", ["", "[]", "{}", '["x"]', "[true]"])
async def test_a_clock_of_no_form_is_left_out(
    store: Store, body: str, capfd: pytest.CaptureFixture[str]
) -> None:
    await store.put([Record(clock.KIND, clock.boot_id(), now_ms(), now_ms() + AHEAD_MS, body)])
    following = SteadyClock()
    restore_clock(following, store)
    assert not following.is_resumed
    assert "state: the previous process's clock is not used" in capfd.readouterr().err


def test_of_a_clock_that_steps_again_and_again_the_latest_epochs_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = SteadyClock()
    first_ns = clock.epoch_ns
    for _ in range(2 * MAX_EPOCHS):
        step(monkeypatch, -10.0)
        clock.detect_step()
        clock.detect_step()
    assert len(clock.epochs_ns) == MAX_EPOCHS and clock.epochs_ns[0] == clock.epoch_ns == first_ns
    assert clock.epochs_ns[-1] < first_ns - 10 * SECOND * (2 * MAX_EPOCHS - 1)


async def test_orders_after_one_from_the_future_hold_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """By the clock of another boot. Each order here is later, and its time is of the clock as it is now."""
    first = Process(tmp_path)
    await first.it.order("s-0", True)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"))) as connection, connection:
        connection.execute("UPDATE orders SET at_ms = ?", (now_ms() + AHEAD_MS,))
    one, two = Process(tmp_path), Process(tmp_path)
    for process in (one, two):
        await process.it.load()
    for process, other, out in ((one, two, False), (two, one, True), (one, two, False)):
        await process.it.order("s-0", out)
        other.it.read()
        assert process.out() == other.out() == ({"s-0"} if out else set())
    assert abs(one.it.orders["s-0"].at_ms - now_ms()) < AHEAD_MS / 2


async def test_an_order_from_the_future_is_one_order_however_often_it_is_read(tmp_path: Path) -> None:
    first = Process(tmp_path)
    await first.it.order("s-0", True)
    await first.it.order("s-0", False)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"))) as connection, connection:
        connection.execute("UPDATE orders SET at_ms = ?", (now_ms() + AHEAD_MS,))
    process = Process(tmp_path)
    await process.it.load()
    back = process.it.orders["s-0"]
    for _ in range(3):
        time.sleep(0.002)  # another ms
        process.it.read(due=True)
    assert process.it.orders["s-0"] == back and process.changed == ["s-0"]

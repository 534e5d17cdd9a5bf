"""Temporary SQLite errors in the state store: orders in effect stay in effect, pending writes are stored once
the disk recovers, and no background task ends or busy-loops."""

from __future__ import annotations

import asyncio
import sqlite3
import threading
from contextlib import closing
from pathlib import Path

import pytest

from anisespool.config import MemberList
from anisespool.errors import NotDurable
from anisespool.state import pending_writes, tables
from anisespool.state.list_snapshot import ListSnapshot
from anisespool.state.store import Order, Store, now_ms, store_path
from tests.disk import (
    CORRUPT,
    FULL,
    IO_ERROR,
    READ_ONLY,
    READ_STATEMENTS,
    FailingDisk,
    Failure,
    failing_disk,
    stored_orders,
    while_running,
)
from tests.net import member, member_list, until
from tests.test_maintenance import ADDRESS, Process
from tests.test_stored_list import stored_list

MINUTE_MS = 60_000


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    """The simulated disk of all stores opened from now on."""
    return failing_disk(monkeypatch)


@pytest.fixture(autouse=True)
def _fast_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pending_writes, "RETRY_INITIAL_S", 0.01)
    monkeypatch.setattr(pending_writes, "RETRY_MAX_S", 0.05)


def orders(folder: Path) -> dict[str, bool]:
    return stored_orders(store_path(folder, "n0"))


@pytest.mark.parametrize("failure", [FULL, IO_ERROR, READ_ONLY])
@pytest.mark.parametrize("where", ["BEGIN", "INSERT OR REPLACE INTO orders", "DELETE FROM orders", "COMMIT"])
async def test_an_order_is_stored_after_recovery_whichever_statement_failed(
    tmp_path: Path, disk: FailingDisk, failure: Failure, where: str
) -> None:
    process = Process(tmp_path, lock_dir=tmp_path)
    async with while_running(process.maintenance.follow()):
        disk.fail(failure, where)
        for server in ("s-0", "s-1"):
            with pytest.raises(NotDurable):
                await process.maintenance.order(server, True)
        assert process.disabled() == {"s-0", "s-1"} and orders(tmp_path) == {}
        disk.recover()
        await until(lambda: orders(tmp_path) == {"s-0": True, "s-1": True})
        await process.maintenance.order("s-0", False)
        assert orders(tmp_path) == {"s-0": False, "s-1": True}


async def test_an_order_takes_effect_before_it_is_stored(tmp_path: Path, disk: FailingDisk) -> None:
    process, resume = Process(tmp_path, lock_dir=tmp_path), threading.Event()
    disk.stall(resume, "COMMIT")
    ordering = asyncio.create_task(process.maintenance.order("s-0", True))
    try:
        await until(lambda: disk.stalled > 0)
        assert process.disabled() == {"s-0"} and process.changed == ["s-0"] and not ordering.done()
    finally:
        resume.set()
    await ordering
    assert orders(tmp_path) == {"s-0": True} and process.changed == ["s-0"]


async def test_an_order_is_stored_after_a_lock_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(tables, "BUSY_TIMEOUT_MS", 20)
    process = Process(tmp_path, lock_dir=tmp_path)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"), isolation_level=None)) as other:
        other.execute("BEGIN IMMEDIATE")
        async with while_running(process.maintenance.follow()):
            with pytest.raises(NotDurable):
                await process.maintenance.order("s-0", True)
            other.execute("ROLLBACK")
            await until(lambda: orders(tmp_path) == {"s-0": True})
    assert capfd.readouterr().err.count("locked") == 1


async def test_a_read_only_connection_is_replaced(tmp_path: Path) -> None:
    """Such a connection results from opening the file while the file system is read-only."""
    process = Process(tmp_path, lock_dir=tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA query_only=ON")
    async with while_running(process.maintenance.follow()):
        with pytest.raises(NotDurable):
            await process.maintenance.order("s-0", True)
        await until(lambda: orders(tmp_path) == {"s-0": True})


async def test_retries_back_off_and_are_logged_once(
    tmp_path: Path, disk: FailingDisk, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(pending_writes, "RETRY_INITIAL_S", 0.02)
    monkeypatch.setattr(pending_writes, "RETRY_MAX_S", 0.16)
    process = Process(tmp_path, lock_dir=tmp_path)
    async with while_running(process.maintenance.follow()):
        disk.fail(FULL)
        with pytest.raises(NotDurable):
            await process.maintenance.order("s-0", True)
        began, failures = asyncio.get_running_loop().time(), disk.failures
        await until(lambda: disk.failures >= failures + 6)
        took_s = asyncio.get_running_loop().time() - began
        assert took_s > 0.02 + 0.04 + 0.08 + 0.16 + 0.16  # the waits between six attempts
        disk.recover()
        await until(lambda: orders(tmp_path) == {"s-0": True})
        err = ""
        while "stored and read again" not in err:
            await asyncio.sleep(0.01)
            err += capfd.readouterr().err
    assert err.count("maintenance: the orders cannot be stored or read") == 1
    assert err.count("maintenance: the orders are stored and read again") == 1


async def test_orders_of_the_other_process_are_applied_after_failed_reads(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """A failed version check ended the polling task; a failed read after it lost the change."""
    old, new = (Process(tmp_path, lock_dir=tmp_path) for _ in range(2))
    assert new.store
    async with while_running(
        *(coroutine for p in (old, new) for coroutine in (p.upgrade_locks.follow(), p.maintenance.follow()))
    ):
        await old.maintenance.order("s-0", True)
        await until(lambda: old.disabled() == new.disabled() == {"s-0"})
        for pattern in ("PRAGMA data_version", "SELECT sidecar, server, out"):
            disk.fail(IO_ERROR, pattern)
            before = disk.failures
            await old.store.merge_orders({f"s-{pattern}": Order(True, now_ms())}) if old.store else None
            await until(lambda before=before: disk.failures > before + 4)  # type: ignore[misc]
            assert {"s-0"} <= new.disabled()  # orders in effect stay in effect
            disk.recover()
            await until(lambda pattern=pattern: f"s-{pattern}" in new.disabled())  # type: ignore[misc]


async def test_a_start_with_failing_reads_loads_the_orders_once_they_succeed(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """A lone process does not poll its store, so the failed load must be retried."""
    before = Process(tmp_path, lock_dir=tmp_path)
    await before.maintenance.order("s-0", True)
    before.upgrade_locks.close()
    process = Process(tmp_path, lock_dir=tmp_path)
    disk.fail(IO_ERROR, READ_STATEMENTS)
    await process.maintenance.load()
    async with while_running(process.maintenance.follow(), process.upgrade_locks.follow()):
        assert process.disabled() == set()
        disk.recover()
        await until(lambda: process.disabled() == {"s-0"})


async def test_failures_to_open_the_store_do_not_count_as_a_crash_loop(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """These loads ended with an error, not a crash, so they are not counted as a crash loop."""
    before = Store.open(tmp_path, "n0")
    assert before
    await before.set_order("s-0", True)
    before.close()
    disk.fail(IO_ERROR, "PRAGMA journal_mode")
    for _ in range(3):
        assert Store.open(tmp_path, "n0") is None
    disk.recover()
    again = Store.open(tmp_path, "n0")
    assert again and set(again.orders()) == {"s-0"}


async def test_a_damaged_file_is_set_aside_and_current_state_goes_into_a_new_one(
    tmp_path: Path, disk: FailingDisk, capfd: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path, lock_dir=tmp_path)
    assert process.store
    rows = [member("s-0", ADDRESS)]
    snapshot = ListSnapshot(process.store, rows)
    async with while_running(process.maintenance.follow(), snapshot.follow()):
        snapshot.on_update(member_list(2, rows), MemberList(2, True, ()))
        await process.maintenance.order("s-0", True)
        await until(lambda: stored_list(tmp_path)[0] == 2)
        process.store._writer.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        path = store_path(tmp_path, "n0")
        path.write_bytes(b"\x13" * path.stat().st_size)
        disk.fail(CORRUPT, "BEGIN")  # as when its pages are no longer cached
        with pytest.raises(NotDurable):
            await process.maintenance.order("s-1", True)
        disk.recover()
        assert process.disabled() == {"s-0", "s-1"}
        await until(lambda: orders(tmp_path) == {"s-0": True, "s-1": True})
        await until(lambda: stored_list(tmp_path) == (2, {"s-0": rows[0]}))
    assert capfd.readouterr().err.count("the store is set aside") == 1

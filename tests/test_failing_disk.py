"""Calls of the state store that fail for a while, by SQLite's own errors: what is in force stays so, what is
owed is written once they succeed, and no task ends for good or spins."""

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
    READS,
    FailingDisk,
    Failure,
    failing_disk,
    running,
    stored_orders,
)
from tests.net import member, member_list, until
from tests.test_maintenance import ADDRESS, Process
from tests.test_stored_list import stored

MINUTE_MS = 60_000


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    """All stores opened from now on are on it."""
    return failing_disk(monkeypatch)


@pytest.fixture(autouse=True)
def _fast_retries(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pending_writes, "RETRY_INITIAL_S", 0.01)
    monkeypatch.setattr(pending_writes, "RETRY_MAX_S", 0.05)


def orders(folder: Path) -> dict[str, bool]:
    return stored_orders(store_path(folder, "n0"))


@pytest.mark.parametrize("failure", [FULL, IO_ERROR, READ_ONLY])
@pytest.mark.parametrize("where", ["BEGIN", "INSERT OR REPLACE INTO orders", "DELETE FROM orders", "COMMIT"])
async def test_an_order_is_stored_once_the_disk_recovers_wherever_it_failed(
    tmp_path: Path, disk: FailingDisk, failure: Failure, where: str
) -> None:
    process = Process(tmp_path, locks=tmp_path)
    async with running(process.it.follow()):
        disk.fail(failure, where)
        for server in ("s-0", "s-1"):
            with pytest.raises(NotDurable):
                await process.it.order(server, True)
        assert process.out() == {"s-0", "s-1"} and orders(tmp_path) == {}
        disk.recover()
        await until(lambda: orders(tmp_path) == {"s-0": True, "s-1": True})
        await process.it.order("s-0", False)
        assert orders(tmp_path) == {"s-0": False, "s-1": True}


async def test_an_order_is_in_force_at_once_however_long_the_store_takes(
    tmp_path: Path, disk: FailingDisk
) -> None:
    process, go_on = Process(tmp_path, locks=tmp_path), threading.Event()
    disk.stall(go_on, "COMMIT")
    ordering = asyncio.create_task(process.it.order("s-0", True))
    try:
        await until(lambda: disk.stalled > 0)
        assert process.out() == {"s-0"} and process.changed == ["s-0"] and not ordering.done()
    finally:
        go_on.set()
    await ordering
    assert orders(tmp_path) == {"s-0": True} and process.changed == ["s-0"]


async def test_a_lock_held_for_too_long_costs_no_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(tables, "BUSY_TIMEOUT_MS", 20)
    process = Process(tmp_path, locks=tmp_path)
    with closing(sqlite3.connect(store_path(tmp_path, "n0"), isolation_level=None)) as other:
        other.execute("BEGIN IMMEDIATE")
        async with running(process.it.follow()):
            with pytest.raises(NotDurable):
                await process.it.order("s-0", True)
            other.execute("ROLLBACK")
            await until(lambda: orders(tmp_path) == {"s-0": True})
    assert capfd.readouterr().err.count("locked") == 1


async def test_a_connection_that_takes_no_more_writes_is_replaced(tmp_path: Path) -> None:
    """As one that was opened while the file system was read-only."""
    process = Process(tmp_path, locks=tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA query_only=ON")
    async with running(process.it.follow()):
        with pytest.raises(NotDurable):
            await process.it.order("s-0", True)
        await until(lambda: orders(tmp_path) == {"s-0": True})


async def test_the_retries_are_paced_and_logged_once(
    tmp_path: Path, disk: FailingDisk, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(pending_writes, "RETRY_INITIAL_S", 0.02)
    monkeypatch.setattr(pending_writes, "RETRY_MAX_S", 0.16)
    process = Process(tmp_path, locks=tmp_path)
    async with running(process.it.follow()):
        disk.fail(FULL)
        with pytest.raises(NotDurable):
            await process.it.order("s-0", True)
        began, failures = asyncio.get_running_loop().time(), disk.failures
        await until(lambda: disk.failures >= failures + 6)
        took_s = asyncio.get_running_loop().time() - began
        assert took_s > 0.02 + 0.04 + 0.08 + 0.16 + 0.16  # between six attempts
        disk.recover()
        await until(lambda: orders(tmp_path) == {"s-0": True})
        err = ""
        while "stored and read again" not in err:
            await asyncio.sleep(0.01)
            err += capfd.readouterr().err
    assert err.count("maintenance: the orders cannot be stored or read") == 1
    assert err.count("maintenance: the orders are stored and read again") == 1


async def test_orders_of_the_other_process_are_taken_up_after_reads_that_failed(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """A failed look at the store's version ended the following; a failed read after it lost the change."""
    old, new = (Process(tmp_path, locks=tmp_path) for _ in range(2))
    assert new.store
    async with running(*(work for p in (old, new) for work in (p.upgrade_locks.follow(), p.it.follow()))):
        await old.it.order("s-0", True)
        await until(lambda: old.out() == new.out() == {"s-0"})
        for pattern in ("PRAGMA data_version", "SELECT sidecar, server, out"):
            disk.fail(IO_ERROR, pattern)
            before = disk.failures
            await old.store.merge_orders({f"s-{pattern}": Order(True, now_ms())}) if old.store else None
            await until(lambda before=before: disk.failures > before + 4)  # type: ignore[misc]
            assert {"s-0"} <= new.out()  # what is in force stays so
            disk.recover()
            await until(lambda pattern=pattern: f"s-{pattern}" in new.out())  # type: ignore[misc]


async def test_a_start_whose_reads_fail_takes_up_the_orders_once_they_succeed(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """A lone process does not look at its store again unasked."""
    before = Process(tmp_path, locks=tmp_path)
    await before.it.order("s-0", True)
    before.upgrade_locks.close()
    process = Process(tmp_path, locks=tmp_path)
    disk.fail(IO_ERROR, READS)
    await process.it.load()
    async with running(process.it.follow(), process.upgrade_locks.follow()):
        assert process.out() == set()
        disk.recover()
        await until(lambda: process.out() == {"s-0"})


async def test_starts_that_cannot_open_the_store_do_not_set_it_aside(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """They ended their loads: two of them are no crash loop."""
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


async def test_a_file_found_damaged_is_set_aside_and_what_is_in_force_goes_into_a_new_one(
    tmp_path: Path, disk: FailingDisk, capfd: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path, locks=tmp_path)
    assert process.store
    rows = [member("s-0", ADDRESS)]
    snapshot = ListSnapshot(process.store, rows)
    async with running(process.it.follow(), snapshot.follow()):
        snapshot.on_update(member_list(2, rows), MemberList(2, True, ()))
        await process.it.order("s-0", True)
        await until(lambda: stored(tmp_path)[0] == 2)
        process.store._writer.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        path = store_path(tmp_path, "n0")
        path.write_bytes(b"\x13" * path.stat().st_size)
        disk.fail(CORRUPT, "BEGIN")  # as once its pages are no more in the cache
        with pytest.raises(NotDurable):
            await process.it.order("s-1", True)
        disk.recover()
        assert process.out() == {"s-0", "s-1"}
        await until(lambda: orders(tmp_path) == {"s-0": True, "s-1": True})
        await until(lambda: stored(tmp_path) == (2, {"s-0": rows[0]}))
    assert capfd.readouterr().err.count("the store is set aside") == 1

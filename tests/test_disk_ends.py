"""What the store preserves when a process ends on a failing disk: planned shutdown, a torn last write in the
write-ahead log, a failed checkpoint. Also the lock files next to the store."""

from __future__ import annotations

import asyncio
import errno
import sqlite3
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from pathlib import Path

import pytest

from anisespool import upgrade_locks
from anisespool.config import Address, load
from anisespool.external_state import ExternalState
from anisespool.servers import Servers
from anisespool.service import Service
from anisespool.state import pending_writes, tables
from anisespool.state.learned_state import PIN, LearnedState
from anisespool.state.persisted_rows import PinRow
from anisespool.state.records import Record, now_ms
from anisespool.state.store import Order, Store, store_path
from anisespool.upgrade_locks import UpgradeLocks
from tests.disk import FULL, FailingDisk, failing_disk, stored_orders
from tests.net import StaticDiscovery, free_port, member, member_list, until, write_config
from tests.test_admin import call
from tests.test_maintenance import ADDRESS, Process
from tests.test_stored_list import stored_list


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    return failing_disk(monkeypatch)


@asynccontextmanager
async def serving(folder: Path, discovery: Address) -> AsyncIterator[tuple[Service, Address]]:
    """Runs a sidecar in this process and yields it with its admin address; stops it as SIGTERM does."""
    admin = Address("127.0.0.1", free_port())
    env = write_config(folder, discovery, [member("s-0", ADDRESS)])
    env |= {"LB_STATE_DIR": str(folder), "LB_ADMIN_ADDR": "{}:{}".format(*admin)}
    service, stop = Service(load(env)), asyncio.Event()
    listening = asyncio.get_running_loop().create_future()
    task = asyncio.create_task(service.run(stop, asyncio.Queue(), listening.set_result))
    await listening
    try:
        yield service, admin
    finally:
        stop.set()
        await task


async def test_a_planned_shutdown_stores_pending_writes(
    tmp_path: Path,
    disk: FailingDisk,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The disk recovers after the last attempt to write, before the next one is due."""
    monkeypatch.setattr(pending_writes, "RETRY_INITIAL_S", 3600.0)
    lines: list[str] = []

    def log() -> str:
        lines.append(capfd.readouterr().err)
        return "".join(lines)

    rows = [member("s-0", ADDRESS), member("s-1", ADDRESS)]
    async with (
        StaticDiscovery(member_list(2, rows)).serve() as discovery,
        serving(tmp_path, discovery.address) as (service, admin),
    ):
        await until(lambda: stored_list(tmp_path)[0] == 2)
        disk.fail(FULL)
        assert (await call(admin, b"DISABLE s-0\n")).startswith(b"FAILURE")
        discovery.say(member_list(3, [rows[1] | {"phase": "draining"}], False))
        service._sidecar.external.on_pin(PinRow(7, 1, 0, 0, now_ms() + 60_000))
        for message in ("the list", "the record of pinned keys"):
            await until(lambda message=message: f"{message} is not stored" in log())  # type: ignore[misc]
        disk.recover()
    assert stored_orders(store_path(tmp_path, "n0")) == {"s-0": True}
    assert stored_list(tmp_path) == (3, {"s-0": rows[0], "s-1": rows[1] | {"phase": "draining"}})
    restarted = Store.open(tmp_path, "n0")
    assert restarted and [record.id for record in restarted.records(PIN)] == ["7"]
    restarted.close()


async def test_a_planned_shutdown_completes_while_the_disk_still_fails(
    tmp_path: Path, disk: FailingDisk
) -> None:
    async with (
        StaticDiscovery(member_list(2, [member("s-0", ADDRESS)])).serve() as discovery,
        serving(tmp_path, discovery.address) as (_, admin),
    ):
        disk.fail(FULL)
        assert (await call(admin, b"DISABLE s-0\n")).startswith(b"FAILURE")


async def test_an_extended_pin_is_not_overwritten_by_its_older_stored_record(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """The store holds the older record of the key while the newer one waits for the disk."""
    restored: list[list[int]] = []
    external = ExternalState(Servers({}, 0), lambda event: None)
    external.restore = lambda state, pins: restored.append([pin.key for pin in pins])  # type: ignore[method-assign]
    store, now = Store.open(tmp_path, "n0"), now_ms()
    assert store
    for key in (1, 2):
        await store.put([Record(PIN, str(key), now, now + 30_000, f"[{key}, 1, 0, 0]")])
    learned_state = LearnedState(store, UpgradeLocks(None, "n0"), external, keeps_pins=True)
    following = asyncio.create_task(learned_state.follow())
    await until(lambda: restored == [[1, 2]])
    disk.fail(FULL)
    learned_state.pin(PinRow(1, 1, 0, 0, now + 60_000))
    await until(lambda: disk.failures > 0)
    with closing(tables.connect(store.path)) as other:  # the other process's write succeeds
        tables.put_records(other, "n0", [Record(PIN, "3", now, now + 30_000, "[3, 1, 0, 0]")])
    await until(lambda: len(restored) > 1)
    assert restored[1] == [2, 3]
    following.cancel()
    await asyncio.wait([following])
    store.close()


async def test_a_start_on_a_disk_that_takes_no_new_file_still_loads_the_orders(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file that counts loads cannot be written, but the store can be read."""
    before = Process(tmp_path, lock_dir=tmp_path)
    await before.maintenance.order("s-0", True)

    def full(path: Path, text: str) -> int:
        raise OSError(errno.ENOSPC, "No space left on device", str(path))

    monkeypatch.setattr(Path, "write_text", full)
    restarted = Process(tmp_path, lock_dir=tmp_path)
    await restarted.maintenance.load()
    assert restarted.disabled() == {"s-0"}


async def test_a_torn_last_write_loses_no_acknowledged_order(tmp_path: Path) -> None:
    """After a machine crash, some frames of an unacknowledged commit are missing in the log, and one is
    truncated."""
    process = Process(tmp_path, lock_dir=tmp_path)
    for n in range(5):
        await process.maintenance.order(f"s-{n}", True)
    path = store_path(tmp_path, "n0")
    log = path.with_name(path.name + "-wal")
    intact = log.read_bytes()
    await process.maintenance.order("torn", True)
    torn = log.read_bytes()[: len(intact) + 1_000]
    copy = tmp_path / "copy"
    copy.mkdir()
    store_path(copy, "n0").write_bytes(path.read_bytes())
    store_path(copy, "n0").with_name(path.name + "-wal").write_bytes(torn)
    restarted = Process(copy)
    await restarted.maintenance.load()
    assert restarted.disabled() == {f"s-{n}" for n in range(5)}
    assert not list(copy.glob("*.aside-*"))


async def test_a_failed_checkpoint_loses_no_order(tmp_path: Path) -> None:
    """The order is in the write-ahead log; another connection's read blocks only the checkpoint."""
    process = Process(tmp_path, lock_dir=tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA wal_autocheckpoint=1")
    with closing(sqlite3.connect(process.store.path, isolation_level=None)) as reader:
        reader.execute("BEGIN")
        reader.execute("SELECT * FROM orders").fetchall()
        for n in range(8):
            await process.maintenance.order(f"s-{n}", True)
        assert process.store._writer.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()[0] == 1  # busy
    restarted = Process(tmp_path)
    await restarted.maintenance.load()
    assert len(restarted.disabled()) == 8


def detects_other(process: UpgradeLocks) -> bool:
    process.poll()
    return process.has_other


async def test_locks_are_taken_once_their_folder_becomes_available(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Without the locks, the other process of an upgrade would not detect this one or follow its orders."""
    monkeypatch.setattr(upgrade_locks, "POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(upgrade_locks, "REOPEN_INTERVAL_S", 0.01, raising=False)
    folder = tmp_path / "later"
    delayed = UpgradeLocks(folder, "n0")
    following = asyncio.create_task(delayed.follow())
    await asyncio.sleep(0.1)
    folder.mkdir()
    other = UpgradeLocks(folder, "n0")
    try:
        await until(lambda: delayed.has_other or detects_other(other))
    finally:
        following.cancel()
        delayed.close()
        other.close()
    err = capfd.readouterr().err
    assert err.count("cannot detect another process") == err.count("the lock files are open") == 1


def test_merging_the_same_orders_twice_is_idempotent(tmp_path: Path) -> None:
    """A write that committed although it reported an error is retried; the retry must change nothing."""
    store = Store.open(tmp_path, "n0")
    assert store
    rows = {"s-0": Order(True, now_ms())}
    for expected in (rows, {}):
        with store._writer:
            store._writer.execute("BEGIN IMMEDIATE")
            assert tables.merge_orders(store._writer, "n0", rows) == expected
    store.close()

"""What the store keeps over the end of a process on a disk that failed: a planned end, a log of which the
last write is torn, a checkpoint that fails; and the locks beside it."""

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
from tests.test_stored_list import stored


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    return failing_disk(monkeypatch)


@asynccontextmanager
async def serving(folder: Path, discovery: Address) -> AsyncIterator[tuple[Service, Address]]:
    """A sidecar in this process, and the operators' address; it ends as by SIGTERM."""
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


async def test_a_planned_end_stores_what_still_waits_for_the_next_attempt(
    tmp_path: Path,
    disk: FailingDisk,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    """The disk has recovered since the last attempt, and the next one is not due yet."""
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
        await until(lambda: stored(tmp_path)[0] == 2)
        disk.fail(FULL)
        assert (await call(admin, b"DISABLE s-0\n")).startswith(b"FAILURE")
        discovery.say(member_list(3, [rows[1] | {"phase": "draining"}], False))
        service._sidecar.external.on_pin(PinRow(7, 1, 0, 0, now_ms() + 60_000))
        for what in ("the list", "the record of pinned keys"):
            await until(lambda what=what: f"{what} is not stored" in log())  # type: ignore[misc]
        disk.recover()
    assert stored_orders(store_path(tmp_path, "n0")) == {"s-0": True}
    assert stored(tmp_path) == (3, {"s-0": rows[0], "s-1": rows[1] | {"phase": "draining"}})
    again = Store.open(tmp_path, "n0")
    assert again and [record.id for record in again.records(PIN)] == ["7"]
    again.close()


async def test_a_planned_end_on_a_disk_that_still_fails_ends_all_the_same(
    tmp_path: Path, disk: FailingDisk
) -> None:
    async with (
        StaticDiscovery(member_list(2, [member("s-0", ADDRESS)])).serve() as discovery,
        serving(tmp_path, discovery.address) as (_, admin),
    ):
        disk.fail(FULL)
        assert (await call(admin, b"DISABLE s-0\n")).startswith(b"FAILURE")


async def test_a_key_that_was_bound_for_longer_is_not_read_back_as_it_was_before(
    tmp_path: Path, disk: FailingDisk
) -> None:
    """The store has what bound it before, as the later record waits for the disk."""
    recalled: list[list[int]] = []
    external = ExternalState(Servers({}, 0), lambda event: None)
    external.restore = lambda state, pins: recalled.append([pin.key for pin in pins])  # type: ignore[method-assign]
    store, now = Store.open(tmp_path, "n0"), now_ms()
    assert store
    for key in (1, 2):
        await store.put([Record(PIN, str(key), now, now + 30_000, f"[{key}, 1, 0, 0]")])
    it = LearnedState(store, UpgradeLocks(None, "n0"), external, keeps_pins=True)
    following = asyncio.create_task(it.follow())
    await until(lambda: recalled == [[1, 2]])
    disk.fail(FULL)
    it.pin(PinRow(1, 1, 0, 0, now + 60_000))
    await until(lambda: disk.failures > 0)
    with closing(tables.connect(store.path)) as other:  # the other process gets through
        tables.put_records(other, "n0", [Record(PIN, "3", now, now + 30_000, "[3, 1, 0, 0]")])
    await until(lambda: len(recalled) > 1)
    assert recalled[1] == [2, 3]
    following.cancel()
    await asyncio.wait([following])
    store.close()


async def test_a_start_on_a_disk_that_takes_no_further_file_still_knows_who_is_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The count of loads cannot be written, but the store can be read."""
    before = Process(tmp_path, locks=tmp_path)
    await before.it.order("s-0", True)

    def full(path: Path, text: str) -> int:
        raise OSError(errno.ENOSPC, "No space left on device", str(path))

    monkeypatch.setattr(Path, "write_text", full)
    again = Process(tmp_path, locks=tmp_path)
    await again.it.load()
    assert again.out() == {"s-0"}


async def test_a_torn_last_write_costs_none_that_had_its_yes(tmp_path: Path) -> None:
    """As the end of the machine leaves it: of the frames of a commit that was never answered, some are
    missing and one is cut."""
    process = Process(tmp_path, locks=tmp_path)
    for n in range(5):
        await process.it.order(f"s-{n}", True)
    path = store_path(tmp_path, "n0")
    log = path.with_name(path.name + "-wal")
    whole = log.read_bytes()
    await process.it.order("torn", True)
    torn = log.read_bytes()[: len(whole) + 1_000]
    copy = tmp_path / "copy"
    copy.mkdir()
    store_path(copy, "n0").write_bytes(path.read_bytes())
    store_path(copy, "n0").with_name(path.name + "-wal").write_bytes(torn)
    again = Process(copy)
    await again.it.load()
    assert again.out() == {f"s-{n}" for n in range(5)}
    assert not list(copy.glob("*.aside-*"))


async def test_a_checkpoint_that_fails_costs_no_order_and_no_yes(tmp_path: Path) -> None:
    """The log takes the order; only its way into the file fails, under another connection's read."""
    process = Process(tmp_path, locks=tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA wal_autocheckpoint=1")
    with closing(sqlite3.connect(process.store.path, isolation_level=None)) as reader:
        reader.execute("BEGIN")
        reader.execute("SELECT * FROM orders").fetchall()
        for n in range(8):
            await process.it.order(f"s-{n}", True)
        assert process.store._writer.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()[0] == 1  # busy
    again = Process(tmp_path)
    await again.it.load()
    assert len(again.out()) == 8


def is_found(process: UpgradeLocks) -> bool:
    process.poll()
    return process.has_other


async def test_locks_that_could_not_be_had_are_taken_once_their_folder_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Else the other process of an upgrade never learns of this one, and does not follow its orders."""
    monkeypatch.setattr(upgrade_locks, "POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(upgrade_locks, "REOPEN_INTERVAL_S", 0.01, raising=False)
    folder = tmp_path / "later"
    late = UpgradeLocks(folder, "n0")
    following = asyncio.create_task(late.follow())
    await asyncio.sleep(0.1)
    folder.mkdir()
    other = UpgradeLocks(folder, "n0")
    try:
        await until(lambda: late.has_other or is_found(other))
    finally:
        following.cancel()
        late.close()
        other.close()
    err = capfd.readouterr().err
    assert err.count("cannot detect another process") == err.count("the lock files are open") == 1


def test_what_is_merged_twice_is_stored_once(tmp_path: Path) -> None:
    """A write whose commit stood, though it seemed to fail, is done again without harm."""
    store = Store.open(tmp_path, "n0")
    assert store
    rows = {"s-0": Order(True, now_ms())}
    for expected in (rows, {}):
        with store._writer:
            store._writer.execute("BEGIN IMMEDIATE")
            assert tables.merge_orders(store._writer, "n0", rows) == expected
    store.close()

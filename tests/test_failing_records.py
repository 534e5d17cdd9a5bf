"""Pins, learned records and the list that wait to be written while the disk fails temporarily."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import pytest

from anisespool.config import MemberList
from anisespool.external_state import ExternalState
from anisespool.servers import Servers
from anisespool.state import learned_state, pending_writes
from anisespool.state.learned_state import LearnedState
from anisespool.state.list_snapshot import ListSnapshot
from anisespool.state.persisted_rows import LearnedRow, PersistedState, PinRow
from anisespool.state.store import Store, now_ms
from anisespool.upgrade_locks import UpgradeLocks
from tests.disk import FULL, IO_ERROR, FailingDisk, failing_disk, while_running
from tests.net import member, member_list, until
from tests.test_maintenance import ADDRESS
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


def _make_learned_state(store: Store, folder: Path, rows: list[LearnedRow]) -> LearnedState:
    external = ExternalState(Servers({}, 0), lambda event: None)
    external.snapshot = lambda: PersistedState(rows, ())  # type: ignore[method-assign]
    return LearnedState(store, UpgradeLocks(folder, "n0"), external, keeps_pins=True)


@pytest.fixture
def store(tmp_path: Path, disk: FailingDisk) -> Iterator[Store]:
    opened = Store.open(tmp_path, "n0")
    assert opened
    yield opened
    opened.close()


async def test_unexpired_pins_and_learned_records_are_stored_once_the_disk_recovers(
    tmp_path: Path, disk: FailingDisk, store: Store, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(learned_state, "SNAPSHOT_INTERVAL_S", 0.02)
    now = now_ms()
    learned = _make_learned_state(store, tmp_path, [LearnedRow("s-0", 1.5, 0.0, now)])
    async with while_running(learned.follow()):
        disk.fail(FULL)
        for key in range(5):
            learned.pin(PinRow(key, 1, 0, 2, now + MINUTE_MS))
        learned.pin(PinRow(99, 1, 0, 2, now + 1))  # expired by the time the disk recovers
        await until(lambda: disk.failures >= 4)
        disk.recover()
        await until(lambda: len(store.records(learned_state.PIN)) == 5)
        await until(lambda: [r.id for r in store.records(learned_state.LEARNED)] == ["s-0"])
    with closing(sqlite3.connect(store.path)) as connection:
        assert connection.execute("SELECT count(*) FROM records WHERE kind = 'pin'").fetchone() == (5,)


async def test_pending_pins_are_bounded_by_their_expiry(
    tmp_path: Path, disk: FailingDisk, store: Store
) -> None:
    learned = _make_learned_state(store, tmp_path, [])
    async with while_running(learned.follow()):
        disk.fail(FULL)
        for n in range(2_000):
            learned.pin(PinRow(n % 500, 1, 0, 2, now_ms() + 50))
        assert learned.unwritten <= 500  # at most one for each key
        await until(lambda: learned.unwritten == 0)
        assert disk.failures


@pytest.mark.parametrize("where", ["INSERT OR REPLACE INTO list_heads", "COMMIT"])
async def test_a_list_whose_write_failed_halfway_is_stored_completely(
    tmp_path: Path, disk: FailingDisk, store: Store, where: str
) -> None:
    rows = [member(f"s-{n}", ADDRESS) for n in range(4)]
    snapshot = ListSnapshot(store, rows)
    async with while_running(snapshot.follow()):
        snapshot.on_update(member_list(2, rows), MemberList(2, True, ()))
        await until(lambda: stored_list(tmp_path)[0] == 2)
        disk.fail(IO_ERROR, where)
        drained = rows[0] | {"phase": "draining"}
        snapshot.on_update(member_list(3, [drained], False), MemberList(3, False, ()))
        await until(lambda: disk.failures > 1)
        assert stored_list(tmp_path) == (2, {row["id"]: row for row in rows})
        disk.recover()
        await until(lambda: stored_list(tmp_path)[0] == 3)
        assert stored_list(tmp_path)[1] == {row["id"]: row for row in [drained, *rows[1:]]}

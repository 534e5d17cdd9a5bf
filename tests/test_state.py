"""The state store alone: damaged, of another schema version, dated in the future, or causing a crash loop."""

from __future__ import annotations

import asyncio
import sqlite3
import threading
from pathlib import Path

import pytest

from anisespool.external_state import ExternalState
from anisespool.servers import Servers
from anisespool.state import crash_guard, learned_state, tables
from anisespool.state.persisted_rows import EjectionRow, LearnedRow, PersistedState
from anisespool.state.store import Order, Record, Store, now_ms, store_path
from anisespool.upgrade_locks import UpgradeLocks
from shuntlead.interface import Status
from tests.net import WAIT_TIMEOUT_S, until


def _create_filled_store(folder: Path) -> Path:
    store = Store.open(folder, "n0")
    assert store
    asyncio.run(store.merge_orders({f"s-{n}": Order(True, 1_000 + n) for n in range(300)}))
    store.close()  # checkpoints the write-ahead log into the file
    return store_path(folder, "n0")


@pytest.mark.parametrize("damage", ["truncated", "garbage", "foreign version", "crash loop"])
def test_a_bad_store_is_set_aside_with_one_log_line_and_replaced(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], damage: str
) -> None:
    path = _create_filled_store(tmp_path)
    if damage == "truncated":
        path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])
    elif damage == "garbage":
        path.write_bytes(b"\x13" * 9000)
    elif damage == "foreign version":
        with sqlite3.connect(path) as connection:
            connection.execute("PRAGMA user_version=99")
    else:
        path.with_name(path.name + ".loading").write_text(str(crash_guard.MAX_FAILED_LOADS))
    capfd.readouterr()
    store = Store.open(tmp_path, "n0")
    assert store and store.orders() == {}
    assert capfd.readouterr().err.count("state: the store is set aside as sailbridge-n0.sqlite.aside-") == 1
    asyncio.run(store.set_order("s-1", True))
    assert set(store.orders()) == {"s-1"}
    assert not path.with_name(path.name + ".loading").exists()


@pytest.mark.parametrize("where", ["file", "folder", "/proc"])  # /proc: not writable even for root
def test_a_store_that_cannot_be_opened_is_logged(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], where: str
) -> None:
    (tmp_path / "file").write_text("")
    store_path(tmp_path / "folder", "n0").mkdir(parents=True)
    assert Store.open(tmp_path / where, "n0") is None
    assert capfd.readouterr().err.startswith("state: no state store at ")


def test_an_empty_file_is_a_new_store(tmp_path: Path) -> None:
    store_path(tmp_path, "n0").write_bytes(b"")
    store = Store.open(tmp_path, "n0")
    assert store and store.orders() == {}


def test_records_of_other_sidecars_are_ignored_and_future_orders_dated_now(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    path = _create_filled_store(tmp_path)
    now = now_ms()
    with sqlite3.connect(path) as connection:
        late = now + 10 * tables.MAX_CLOCK_AHEAD_MS
        rows = [("n1", "s-x", 1, 5), ("n0", "s-y", 1, "soon"), ("n0", "s-late", 1, late)]
        connection.executemany("INSERT INTO orders VALUES (?, ?, ?, ?)", rows)
    store = Store.open(tmp_path, "n0")
    assert store
    orders = store.orders()
    assert len(orders) == 301 and not {"s-x", "s-y"} & set(orders)
    assert now <= orders["s-late"].at_ms < now + tables.MAX_CLOCK_AHEAD_MS
    err = capfd.readouterr().err
    assert "state: 2 records ignored: malformed, or of another sidecar" in err
    assert "state: 1 orders dated in the future by another clock, treated as given now" in err


def test_learned_records_dated_in_the_future_or_expired_are_ignored_and_the_latest_is_used(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    store, now = Store.open(tmp_path, "n0"), now_ms()
    assert store
    future, hour = now + 2 * tables.MAX_CLOCK_AHEAD_MS, now + 3_600_000
    rows = [Record("learned", "s-0", now, hour, "new"), Record("learned", "s-0", now - 9, hour, "old")]
    rows += [Record("learned", "s-1", future, hour, "early"), Record("learned", "s-2", now, now - 1, "late")]
    asyncio.run(store.put(rows))
    assert [(r.id, r.body) for r in store.records("learned")] == [("s-0", "new")]
    assert (
        capfd.readouterr().err.count("state: 1 learned records ignored: malformed, dated in the future") == 1
    )
    asyncio.run(store.put([Record("learned", "s-1", now, hour, "now")]))  # dated by the current clock
    assert {r.id for r in store.records("learned")} == {"s-0", "s-1"}


async def test_an_ejection_is_written_without_waiting_for_the_next_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(learned_state, "SNAPSHOT_INTERVAL_S", 3600.0)
    store, external = Store.open(tmp_path, "n0"), ExternalState(Servers({}, 0), lambda event: None)
    assert store
    upgrade_locks = UpgradeLocks(tmp_path, "n0")
    verdict = EjectionRow("s-0", now_ms() + 60_000, Status.RESET)
    monkeypatch.setattr(external, "snapshot", lambda: PersistedState((), (verdict,)))
    following = asyncio.create_task(
        learned_state.LearnedState(store, upgrade_locks, external, keeps_pins=False).follow()
    )
    external.on_snapshot()
    await until(lambda: [r.id for r in store.records(learned_state.VERDICT)] == ["s-0"])
    following.cancel()
    await asyncio.wait([following])
    store.close()


async def test_a_write_in_progress_completes_before_the_store_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At process shutdown the task is cancelled, but its thread keeps running."""
    started, resume, events, put = threading.Event(), threading.Event(), list[str](), tables.put_records

    def blocked_put(connection: sqlite3.Connection, name: str, records: list[Record]) -> None:
        started.set()
        assert resume.wait(WAIT_TIMEOUT_S)
        put(connection, name, records)
        events.append("written")

    def close(store: Store) -> None:
        store.close()
        events.append("closed")

    monkeypatch.setattr(tables, "put_records", blocked_put)
    store = Store.open(tmp_path, "n0")
    assert store
    store._reader.close()  # the connection of the event loop's thread
    writing = asyncio.create_task(store.put([Record("learned", "s-0", now_ms(), now_ms() + 60_000, "it")]))
    assert await asyncio.to_thread(started.wait, WAIT_TIMEOUT_S)
    writing.cancel()
    await asyncio.wait([writing])
    monkeypatch.setattr(store, "_reader", store._writer)  # may be closed in any thread
    closing = asyncio.create_task(asyncio.to_thread(close, store))
    await asyncio.wait([closing], timeout=0.2)
    resume.set()
    await closing
    assert events == ["written", "closed"]
    again = Store.open(tmp_path, "n0")
    assert again and [r.body for r in again.records("learned")] == ["it"]
    again.close()


async def test_an_unchanged_learned_record_is_written_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each snapshot repeats the record with an age, and the times computed from it differ by 1 ms."""
    store, external = Store.open(tmp_path, "n0"), ExternalState(Servers({}, 0), lambda event: None)
    assert store
    learned, written = (
        learned_state.LearnedState(store, UpgradeLocks(tmp_path, "n0"), external, keeps_pins=False),
        [],
    )
    for at_ms in (5_000, 5_001, 5_000, 5_001, 5_003, 5_002):
        written += learned._changed(PersistedState([LearnedRow("s-0", 1.0, 0.0, at_ms)], []))
    assert [record.at_ms for record in written] == [5_000, 5_003]
    store.close()

"""The state store by itself: damaged, foreign, from the future, or the cause of a crash loop."""

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


def _filled(folder: Path) -> Path:
    it = Store.open(folder, "n0")
    assert it
    asyncio.run(it.merge_orders({f"s-{n}": Order(True, 1_000 + n) for n in range(300)}))
    it.close()  # which checkpoints the log into the file
    return store_path(folder, "n0")


@pytest.mark.parametrize("damage", ["truncated", "garbage", "foreign version", "crash loop"])
def test_a_bad_store_is_set_aside_with_one_line_and_a_new_one_begun(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], damage: str
) -> None:
    path = _filled(tmp_path)
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
    it = Store.open(tmp_path, "n0")
    assert it and it.orders() == {}
    assert capfd.readouterr().err.count("state: the store is set aside as sailbridge-n0.sqlite.aside-") == 1
    asyncio.run(it.set_order("s-1", True))
    assert set(it.orders()) == {"s-1"}
    assert not path.with_name(path.name + ".loading").exists()


@pytest.mark.parametrize("where", ["file", "folder", "/proc"])  # /proc: nobody may write there, not even root
def test_a_store_that_cannot_be_had_is_logged_and_none(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], where: str
) -> None:
    (tmp_path / "file").write_text("")
    store_path(tmp_path / "folder", "n0").mkdir(parents=True)
    assert Store.open(tmp_path / where, "n0") is None
    assert capfd.readouterr().err.startswith("state: no state store at ")


def test_an_empty_file_is_a_new_store(tmp_path: Path) -> None:
    store_path(tmp_path, "n0").write_bytes(b"")
    it = Store.open(tmp_path, "n0")
    assert it and it.orders() == {}


def test_records_of_other_sidecars_are_left_out_and_those_from_the_future_taken_as_of_now(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    path = _filled(tmp_path)
    now = now_ms()
    with sqlite3.connect(path) as connection:
        late = now + 10 * tables.MAX_CLOCK_AHEAD_MS
        rows = [("n1", "s-x", 1, 5), ("n0", "s-y", 1, "soon"), ("n0", "s-late", 1, late)]
        connection.executemany("INSERT INTO orders VALUES (?, ?, ?, ?)", rows)
    it = Store.open(tmp_path, "n0")
    assert it
    orders = it.orders()
    assert len(orders) == 301 and not {"s-x", "s-y"} & set(orders)
    assert now <= orders["s-late"].at_ms < now + tables.MAX_CLOCK_AHEAD_MS
    err = capfd.readouterr().err
    assert "state: 2 records ignored: malformed, or of another sidecar" in err
    assert "state: 1 orders dated in the future by another clock, treated as given now" in err


def test_learned_records_are_left_out_once_the_clock_steps_back_or_past_their_time_and_the_later_one_holds(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    it, now = Store.open(tmp_path, "n0"), now_ms()
    assert it
    ahead, hour = now + 2 * tables.MAX_CLOCK_AHEAD_MS, now + 3_600_000
    rows = [Record("learned", "s-0", now, hour, "new"), Record("learned", "s-0", now - 9, hour, "old")]
    rows += [Record("learned", "s-1", ahead, hour, "early"), Record("learned", "s-2", now, now - 1, "late")]
    asyncio.run(it.put(rows))
    assert [(r.id, r.body) for r in it.records("learned")] == [("s-0", "new")]
    assert (
        capfd.readouterr().err.count("state: 1 learned records ignored: malformed, dated in the future") == 1
    )
    asyncio.run(it.put([Record("learned", "s-1", now, hour, "now")]))  # under the clock as it is now
    assert {r.id for r in it.records("learned")} == {"s-0", "s-1"}


async def test_a_verdict_is_written_at_once_and_does_not_wait_for_the_next_snapshot(
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


async def test_a_write_under_way_ends_before_the_store_is_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At the end of a process its task is cancelled, but not the thread."""
    begun, go_on, done, put = threading.Event(), threading.Event(), list[str](), tables.put_records

    def held(connection: sqlite3.Connection, name: str, records: list[Record]) -> None:
        begun.set()
        assert go_on.wait(WAIT_TIMEOUT_S)
        put(connection, name, records)
        done.append("written")

    def close(store: Store) -> None:
        store.close()
        done.append("closed")

    monkeypatch.setattr(tables, "put_records", held)
    store = Store.open(tmp_path, "n0")
    assert store
    store._reader.close()  # that of the loop's own thread
    writing = asyncio.create_task(store.put([Record("learned", "s-0", now_ms(), now_ms() + 60_000, "it")]))
    assert await asyncio.to_thread(begun.wait, WAIT_TIMEOUT_S)
    writing.cancel()
    await asyncio.wait([writing])
    monkeypatch.setattr(store, "_reader", store._writer)  # may be closed in any thread
    closing = asyncio.create_task(asyncio.to_thread(close, store))
    await asyncio.wait([closing], timeout=0.2)
    go_on.set()
    await closing
    assert done == ["written", "closed"]
    again = Store.open(tmp_path, "n0")
    assert again and [r.body for r in again.records("learned")] == ["it"]
    again.close()


async def test_what_was_learned_is_written_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each second's snapshot tells it again, as an age, and the times reckoned from that differ by 1 ms."""
    store, external = Store.open(tmp_path, "n0"), ExternalState(Servers({}, 0), lambda event: None)
    assert store
    kept, written = (
        learned_state.LearnedState(store, UpgradeLocks(tmp_path, "n0"), external, keeps_pins=False),
        [],
    )
    for at_ms in (5_000, 5_001, 5_000, 5_001, 5_003, 5_002):
        written += kept._changed(PersistedState([LearnedRow("s-0", 1.0, 0.0, at_ms)], []))
    assert [record.at_ms for record in written] == [5_000, 5_003]
    store.close()

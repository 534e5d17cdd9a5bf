"""The stored list: a row a server, and at any time the whole list of one revision that discovery told."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import sqlite3
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import Address, MemberList
from anisespool.state import tables
from anisespool.state.list_snapshot import ListSnapshot, digest
from anisespool.state.store import ListHead, Store, now_ms, store_path
from tests.fleet import fleet
from tests.net import OK, Endpoint, StaticDiscovery, member, member_list, until

KILLS = int(os.environ.get("SAILBRIDGE_KILLS", "4"))  # 200 by hand; each takes a start, some 0.4 s
NOWHERE = Address("127.0.0.1", 9)
OVER = 5_000  # earlier releases cut a list at 4,096
FORMER_SCHEMA = """
    CREATE TABLE orders (sidecar TEXT NOT NULL, server TEXT NOT NULL, out INTEGER NOT NULL,
                         at_ms INTEGER NOT NULL, PRIMARY KEY (sidecar, server));
    CREATE TABLE lists (sidecar TEXT PRIMARY KEY, revision INTEGER NOT NULL, at_ms INTEGER NOT NULL,
                        body TEXT NOT NULL);
    PRAGMA user_version=2;"""
Entries = dict[str, dict[str, Any]]


def stored(home: Path) -> tuple[int, Entries]:
    """The revision and the entries of the list in n0's file, as one moment has them."""
    try:
        with closing(sqlite3.connect(f"file:{store_path(home, 'n0')}?mode=ro", uri=True)) as connection:
            connection.execute("BEGIN")
            head = connection.execute("SELECT revision, etag FROM list_heads").fetchone()
            rows = connection.execute("SELECT server, body FROM list_rows").fetchall()
    except sqlite3.OperationalError:  # no file yet, or no table
        return 0, {}
    entries = {server: json.loads(body) for server, body in rows}
    assert not head or head[1] == f"{digest(entries.values()):032x}"
    return (head[0] if head else 0), entries


class Told:
    """The list as discovery changes it at random, and what it was at each revision."""

    def __init__(self, count: int, seed: int) -> None:
        self._draw, self._count = random.Random(seed), count
        self.revision, self.now = 2, {f"s-{n}": member(f"s-{n}", NOWHERE) for n in range(count)}
        self.at: dict[int, Entries] = {0: {}, 2: dict(self.now)}

    def whole(self) -> dict[str, Any]:
        return member_list(self.revision, list(self.now.values()))

    def change(self) -> dict[str, Any]:
        """The next revision: some servers drain, come up, go or join; now and then told as a whole list."""
        self.revision += 1
        changes: Entries = {}
        for server in {f"s-{self._draw.randrange(self._count)}" for _ in range(self._draw.randint(1, 4))}:
            phase = self._draw.choice(["up", "draining", "draining", "removed"])
            changes[server] = member(server, NOWHERE, phase, up_since_ms=self.revision)
        self.now |= changes
        self.now = {server: entry for server, entry in self.now.items() if entry["phase"] != "removed"}
        self.at[self.revision] = dict(self.now)
        whole = self._draw.random() < 0.1
        return self.whole() if whole else member_list(self.revision, list(changes.values()), False)

    def check(self, home: Path) -> int:
        """That the file has the whole list of one revision; which."""
        revision, entries = stored(home)
        assert entries == self.at[revision], f"revision {revision} is mixed"
        return revision


async def test_a_list_of_any_length_survives_a_kill(tmp_path: Path) -> None:
    """Cut at 4,096, the restart had no server up."""
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve(), fleet(tmp_path, 1) as it:
        rows = [member(f"s-{n}", drains.address, "draining") for n in range(OVER - 2)]
        rows += [member(f"s-{OVER - 2}", drains.address), member(f"s-{OVER - 1}", stays.address)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            await it.start(0, discovery.address, rows[-2:-1])
            await until(lambda: stored(it.home(0))[0] == 2)
            discovery.say(member_list(3, [rows[-2] | {"phase": "draining"}], False))
            await until(lambda: stored(it.home(0))[0] == 3)
            await it.kill(0)
        await it.start(0, NOWHERE, rows[-2:-1])
        for n in range(20):
            assert await it.request(0, f"r{n}") == 200
        assert not drains.requests and len({r.headers[b"x-trace-id"] for r in stays.requests}) == 20


@pytest.mark.timeout(30 + KILLS * 5)
async def test_a_kill_at_any_moment_leaves_the_whole_list_of_one_revision(tmp_path: Path) -> None:
    told, draw, seen = Told(60, seed=11), random.Random(11), set[int]()
    loop = asyncio.get_running_loop()
    async with StaticDiscovery(told.whole()).serve() as discovery, fleet(tmp_path, 1) as it:

        async def changing() -> None:
            while True:
                discovery.say(told.change())
                discovery.line = told.whole()
                await asyncio.sleep(0.002)

        for turn in range(KILLS):
            last = told.check(it.home(0))
            await it.start(0, discovery.address, list(told.at[2].values()))
            assert last <= 2 or f"starting from the stored list of revision {last}\n" in it.log(0)
            while len(discovery.connections) == turn:
                await asyncio.sleep(0.002)
            task, ends = asyncio.create_task(changing()), loop.time() + draw.uniform(0.0, 0.3)
            while loop.time() < ends:
                seen.add(told.check(it.home(0)))
                await asyncio.sleep(0.001)
            await it.kill(0)
            task.cancel()
        seen.add(told.check(it.home(0)))
    assert len(seen) > 5 * KILLS, "it was not stored while it changed"


async def test_two_processes_that_hear_discovery_at_different_times_mix_no_lists(tmp_path: Path) -> None:
    """The second is told each revision three late. First they write in turn, then both at once."""
    told = Told(60, seed=5)
    async with (
        StaticDiscovery(told.whole()).serve() as early,
        StaticDiscovery(told.whole()).serve() as late,
        fleet(tmp_path, 1) as it,
    ):
        known = list(told.at[2].values())
        await it.start(0, early.address, known)
        await it.start(1, late.address, known, beside=0)
        await until(lambda: bool(early.connections and late.connections))
        lines = [told.change() for _ in range(40)]
        for n, line in enumerate(lines):
            for discovery, now in ((early, line), *([(late, lines[n - 3])] if n >= 3 else [])):
                discovery.say(now)
                while told.check(it.home(0)) != now["revision"] and n < 20:
                    await asyncio.sleep(0.001)
        for line in lines[-3:]:
            late.say(line)
        await until(lambda: told.check(it.home(0)) == told.revision)


async def test_after_a_write_that_failed_on_a_full_disk_the_next_is_whole(tmp_path: Path) -> None:
    rows = [member(f"s-{n}", NOWHERE) for n in range(60)]
    drained = [row | {"phase": "draining"} for row in rows]
    async with StaticDiscovery(member_list(2, rows)).serve() as discovery, fleet(tmp_path, 1) as it:
        await it.start(0, discovery.address, rows)
        await until(lambda: stored(it.home(0))[0] == 2)
        full = Path(f"{store_path(it.home(0), 'n0')}-wal").stat().st_size  # no commit can add to it
        pid, free = it.processes[0].pid, resource.RLIM_INFINITY
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (full, free))
        discovery.say(member_list(3, drained[:1], False))
        await until(lambda: "the list is not stored" in it.log(0))
        assert stored(it.home(0)) == (2, {row["id"]: row for row in rows})
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (free, free))
        discovery.say(member_list(4, drained[1:2], False))
        await until(lambda: stored(it.home(0))[0] == 4)
        assert stored(it.home(0))[1] == {row["id"]: row for row in drained[:2] + rows[2:]}


async def test_a_list_that_the_release_before_stored_is_read_and_goes(tmp_path: Path) -> None:
    drains, stays = Endpoint(OK), Endpoint(OK)
    async with drains.serve(), stays.serve(), fleet(tmp_path, 1) as it:
        rows = [member("s-0", drains.address), member("s-1", stays.address)]
        later = member_list(3, [rows[0] | {"phase": "draining"}, rows[1]])
        it.home(0).mkdir()
        with closing(sqlite3.connect(store_path(it.home(0), "n0"))) as connection, connection:
            connection.executescript(FORMER_SCHEMA)
            body = json.dumps(later | {"whole": True})
            connection.execute("INSERT INTO lists VALUES ('n0', 3, ?, ?)", (now_ms(), body))
        await it.start(0, NOWHERE, rows)
        for n in range(20):
            assert await it.request(0, f"r{n}") == 200
        assert not drains.requests
        await it.kill(0)
        async with StaticDiscovery(member_list(4, rows[1:], False)).serve() as discovery:
            await it.start(0, discovery.address, rows)
            await until(lambda: stored(it.home(0)) == (4, {row["id"]: row for row in later["members"]}))
        with closing(sqlite3.connect(store_path(it.home(0), "n0"))) as connection:
            assert connection.execute("SELECT count(*) FROM lists").fetchone() == (0,)


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    it = Store.open(tmp_path, "n0")
    assert it
    yield it
    it.close()


@pytest.mark.parametrize(("former", "expected"), [(4, ListHead(5, "a")), (7, ListHead(7, ""))])
async def test_after_a_downgrade_and_an_upgrade_the_list_of_the_later_revision_is_read(
    store: Store, former: int, expected: ListHead
) -> None:
    await store.replace_list(ListHead(5, "a"), {})
    with closing(tables.connect(store.path)) as connection:
        connection.execute("INSERT INTO lists VALUES ('n0', ?, ?, '{}')", (former, now_ms()))
    found = store.last_list()
    assert found and found[0] == expected


@pytest.mark.parametrize("complete", [False, True])
async def test_a_change_writes_what_changed_however_many_are_listed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, complete: bool
) -> None:
    """In both processes of an upgrade, the second of which finds it written."""

    async def rows_written(count: int) -> list[int]:
        rows, written, opened = [member(f"s-{n}", NOWHERE) for n in range(count)], [], []
        for _ in range(2):
            store = Store.open(tmp_path, f"n{count}")
            assert store
            opened.append((store, ListSnapshot(store, rows)))
        drained = [*rows[:7], rows[7] | {"phase": "draining"}, *rows[8:]]
        for line in (member_list(2, rows), member_list(3, drained if complete else drained[7:8], complete)):
            for store, it in opened:
                before, task = store._writer.total_changes, asyncio.create_task(it.follow())
                it.on_update(line, MemberList(line["revision"], line["complete"], ()))
                await until(lambda store=store, before=before: store._writer.total_changes > before)  # type: ignore[misc]
                await store.put(())  # after the write under way
                written.append(store._writer.total_changes - before)
                task.cancel()
                monkeypatch.setattr(store, "replace_list", None)  # from now on it must not be called
        for store, _ in opened:
            store.close()
        return written

    few, many = await rows_written(100), await rows_written(2_000)
    assert few[2:] == many[2:] == [2, 1]  # the server's and the head's, and then the head's


@pytest.mark.parametrize(("revision", "server"), [(2, "s-\ud800"), (2**70, "s-0")])
async def test_a_list_that_the_store_cannot_take_leaves_the_next_one_stored(
    store: Store, revision: int, server: str, capfd: pytest.CaptureFixture[str]
) -> None:
    it = ListSnapshot(store, ())
    task = asyncio.create_task(it.follow())
    it.on_update(member_list(revision, [member(server, NOWHERE)]), MemberList(revision, True, ()))
    await until(lambda: "the list is not stored" in capfd.readouterr().err)
    it.on_update(member_list(3, [member("s-1", NOWHERE)]), MemberList(3, True, ()))
    await until(lambda: (found := store.last_list()) is not None and found[0].revision == 3)
    task.cancel()

"""The stored list: one row per server, and always the complete list of a single discovery revision."""

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

KILLS = int(os.environ.get("SAILBRIDGE_KILLS", "4"))  # one start each, about 0.4 s; 200 for a long run
CLOSED_PORT = Address("127.0.0.1", 9)
SERVERS = 5_000  # earlier releases truncated lists at 4,096
PREVIOUS_SCHEMA = """
    CREATE TABLE orders (sidecar TEXT NOT NULL, server TEXT NOT NULL, out INTEGER NOT NULL,
                         at_ms INTEGER NOT NULL, PRIMARY KEY (sidecar, server));
    CREATE TABLE lists (sidecar TEXT PRIMARY KEY, revision INTEGER NOT NULL, at_ms INTEGER NOT NULL,
                        body TEXT NOT NULL);
    PRAGMA user_version=2;"""
Entries = dict[str, dict[str, Any]]


def stored_list(home: Path) -> tuple[int, Entries]:
    """Returns revision and entries of the list in n0's file, read in one transaction."""
    try:
        with closing(sqlite3.connect(f"file:{store_path(home, 'n0')}?mode=ro", uri=True)) as connection:
            connection.execute("BEGIN")
            head = connection.execute("SELECT revision, etag FROM list_heads").fetchone()
            rows = connection.execute("SELECT server, body FROM list_rows").fetchall()
    except sqlite3.OperationalError:  # the file or table does not exist yet
        return 0, {}
    entries = {server: json.loads(body) for server, body in rows}
    assert not head or head[1] == f"{digest(entries.values()):032x}"
    return (head[0] if head else 0), entries


class GeneratedList:
    """A list that changes at random, with its content at each revision."""

    def __init__(self, count: int, seed: int) -> None:
        self._rng, self._count = random.Random(seed), count
        self.revision, self.listed = 2, {f"s-{n}": member(f"s-{n}", CLOSED_PORT) for n in range(count)}
        self.by_revision: dict[int, Entries] = {0: {}, 2: dict(self.listed)}

    def full_update(self) -> dict[str, Any]:
        return member_list(self.revision, list(self.listed.values()))

    def next_update(self) -> dict[str, Any]:
        """Returns the next revision, with random changes; sometimes as a full list."""
        self.revision += 1
        changes: Entries = {}
        for server in {f"s-{self._rng.randrange(self._count)}" for _ in range(self._rng.randint(1, 4))}:
            phase = self._rng.choice(["up", "draining", "draining", "removed"])
            changes[server] = member(server, CLOSED_PORT, phase, up_since_ms=self.revision)
        self.listed |= changes
        self.listed = {server: entry for server, entry in self.listed.items() if entry["phase"] != "removed"}
        self.by_revision[self.revision] = dict(self.listed)
        is_full = self._rng.random() < 0.1
        return self.full_update() if is_full else member_list(self.revision, list(changes.values()), False)

    def check(self, home: Path) -> int:
        """Checks that the file holds the complete list of one revision; returns it."""
        revision, entries = stored_list(home)
        assert entries == self.by_revision[revision], f"stored list does not match revision {revision}"
        return revision


async def test_a_list_of_5000_servers_survives_a_kill(tmp_path: Path) -> None:
    """A list truncated at 4,096 entries left the restart without a server that is up."""
    draining, healthy = Endpoint(OK), Endpoint(OK)
    async with draining.serve(), healthy.serve(), fleet(tmp_path, 1) as sidecars:
        rows = [member(f"s-{n}", draining.address, "draining") for n in range(SERVERS - 2)]
        rows += [member(f"s-{SERVERS - 2}", draining.address), member(f"s-{SERVERS - 1}", healthy.address)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            await sidecars.start(0, discovery.address, rows[-2:-1])
            await until(lambda: stored_list(sidecars.home(0))[0] == 2)
            discovery.say(member_list(3, [rows[-2] | {"phase": "draining"}], False))
            await until(lambda: stored_list(sidecars.home(0))[0] == 3)
            await sidecars.kill(0)
        await sidecars.start(0, CLOSED_PORT, rows[-2:-1])
        for n in range(20):
            assert await sidecars.request(0, f"r{n}") == 200
        assert not draining.requests and len({r.headers[b"x-trace-id"] for r in healthy.requests}) == 20


@pytest.mark.timeout(30 + KILLS * 5)
async def test_a_kill_at_any_moment_leaves_the_complete_list_of_one_revision(tmp_path: Path) -> None:
    generated, rng, seen = GeneratedList(60, seed=11), random.Random(11), set[int]()
    loop = asyncio.get_running_loop()
    async with StaticDiscovery(generated.full_update()).serve() as discovery, fleet(tmp_path, 1) as sidecars:

        async def changing() -> None:
            while True:
                discovery.say(generated.next_update())
                discovery.line = generated.full_update()
                await asyncio.sleep(0.002)

        for round_number in range(KILLS):
            last = generated.check(sidecars.home(0))
            await sidecars.start(0, discovery.address, list(generated.by_revision[2].values()))
            assert last <= 2 or f"starting from the stored list of revision {last}\n" in sidecars.log(0)
            while len(discovery.connections) == round_number:
                await asyncio.sleep(0.002)
            task, ends = asyncio.create_task(changing()), loop.time() + rng.uniform(0.0, 0.3)
            while loop.time() < ends:
                seen.add(generated.check(sidecars.home(0)))
                await asyncio.sleep(0.001)
            await sidecars.kill(0)
            task.cancel()
        seen.add(generated.check(sidecars.home(0)))
    assert len(seen) > 5 * KILLS, "too few revisions were stored while the list changed"


async def test_two_processes_with_delayed_discovery_updates_do_not_mix_lists(tmp_path: Path) -> None:
    """The second gets each revision three updates late. They write in turn, then both at once."""
    generated = GeneratedList(60, seed=5)
    async with (
        StaticDiscovery(generated.full_update()).serve() as early,
        StaticDiscovery(generated.full_update()).serve() as late,
        fleet(tmp_path, 1) as sidecars,
    ):
        known = list(generated.by_revision[2].values())
        await sidecars.start(0, early.address, known)
        await sidecars.start(1, late.address, known, beside=0)
        await until(lambda: bool(early.connections and late.connections))
        lines = [generated.next_update() for _ in range(40)]
        for n, line in enumerate(lines):
            for discovery, update in ((early, line), *([(late, lines[n - 3])] if n >= 3 else [])):
                discovery.say(update)
                while generated.check(sidecars.home(0)) != update["revision"] and n < 20:
                    await asyncio.sleep(0.001)
        for line in lines[-3:]:
            late.say(line)
        await until(lambda: generated.check(sidecars.home(0)) == generated.revision)


async def test_the_write_after_one_that_failed_on_a_full_disk_is_complete(tmp_path: Path) -> None:
    rows = [member(f"s-{n}", CLOSED_PORT) for n in range(60)]
    drained = [row | {"phase": "draining"} for row in rows]
    async with StaticDiscovery(member_list(2, rows)).serve() as discovery, fleet(tmp_path, 1) as sidecars:
        await sidecars.start(0, discovery.address, rows)
        await until(lambda: stored_list(sidecars.home(0))[0] == 2)
        full = Path(f"{store_path(sidecars.home(0), 'n0')}-wal").stat().st_size  # no commit can grow it
        pid, free = sidecars.processes[0].pid, resource.RLIM_INFINITY
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (full, free))
        discovery.say(member_list(3, drained[:1], False))
        await until(lambda: "the list is not stored" in sidecars.log(0))
        assert stored_list(sidecars.home(0)) == (2, {row["id"]: row for row in rows})
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (free, free))
        discovery.say(member_list(4, drained[1:2], False))
        await until(lambda: stored_list(sidecars.home(0))[0] == 4)
        assert stored_list(sidecars.home(0))[1] == {row["id"]: row for row in drained[:2] + rows[2:]}


async def test_a_list_stored_by_the_previous_release_is_read_and_migrated(tmp_path: Path) -> None:
    draining, healthy = Endpoint(OK), Endpoint(OK)
    async with draining.serve(), healthy.serve(), fleet(tmp_path, 1) as sidecars:
        rows = [member("s-0", draining.address), member("s-1", healthy.address)]
        later = member_list(3, [rows[0] | {"phase": "draining"}, rows[1]])
        sidecars.home(0).mkdir()
        with closing(sqlite3.connect(store_path(sidecars.home(0), "n0"))) as connection, connection:
            connection.executescript(PREVIOUS_SCHEMA)
            body = json.dumps(later | {"whole": True})
            connection.execute("INSERT INTO lists VALUES ('n0', 3, ?, ?)", (now_ms(), body))
        await sidecars.start(0, CLOSED_PORT, rows)
        for n in range(20):
            assert await sidecars.request(0, f"r{n}") == 200
        assert not draining.requests
        await sidecars.kill(0)
        async with StaticDiscovery(member_list(4, rows[1:], False)).serve() as discovery:
            await sidecars.start(0, discovery.address, rows)
            await until(lambda: stored_list(sidecars.home(0)) == (4, {r["id"]: r for r in later["members"]}))
        with closing(sqlite3.connect(store_path(sidecars.home(0), "n0"))) as connection:
            assert connection.execute("SELECT count(*) FROM lists").fetchone() == (0,)


@pytest.fixture
def store(tmp_path: Path) -> Iterator[Store]:
    opened = Store.open(tmp_path, "n0")
    assert opened
    yield opened
    opened.close()


@pytest.mark.parametrize(("revision", "expected"), [(4, ListHead(5, "a")), (7, ListHead(7, ""))])
async def test_downgrade_and_upgrade_keep_latest_list(
    store: Store, revision: int, expected: ListHead
) -> None:
    await store.replace_list(ListHead(5, "a"), {})
    with closing(tables.connect(store.path)) as connection:
        connection.execute("INSERT INTO lists VALUES ('n0', ?, ?, '{}')", (revision, now_ms()))
    found = store.last_list()
    assert found and found[0] == expected


@pytest.mark.parametrize("complete", [False, True])
async def test_a_list_change_writes_only_the_changed_rows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, complete: bool
) -> None:
    """In both processes of an upgrade; the second finds the rows already written."""

    async def rows_written(count: int) -> list[int]:
        rows, written, opened = [member(f"s-{n}", CLOSED_PORT) for n in range(count)], [], []
        for _ in range(2):
            store = Store.open(tmp_path, f"n{count}")
            assert store
            opened.append((store, ListSnapshot(store, rows)))
        drained = [*rows[:7], rows[7] | {"phase": "draining"}, *rows[8:]]
        for line in (member_list(2, rows), member_list(3, drained if complete else drained[7:8], complete)):
            for store, snapshot in opened:
                before, task = store._writer.total_changes, asyncio.create_task(snapshot.follow())
                snapshot.on_update(line, MemberList(line["revision"], line["complete"], ()))
                await until(lambda store=store, before=before: store._writer.total_changes > before)  # type: ignore[misc]
                await store.put(())  # waits for the write in progress
                written.append(store._writer.total_changes - before)
                task.cancel()
                monkeypatch.setattr(store, "replace_list", None)  # must not be called from now on
        for store, _ in opened:
            store.close()
        return written

    few, many = await rows_written(100), await rows_written(2_000)
    assert few[2:] == many[2:] == [2, 1]  # server row and head row, then the head row only


@pytest.mark.parametrize(("revision", "server"), [(2, "s-\ud800"), (2**70, "s-0")])
async def test_a_list_that_cannot_be_stored_does_not_block_the_next(
    store: Store, revision: int, server: str, capfd: pytest.CaptureFixture[str]
) -> None:
    snapshot = ListSnapshot(store, ())
    task = asyncio.create_task(snapshot.follow())
    snapshot.on_update(member_list(revision, [member(server, CLOSED_PORT)]), MemberList(revision, True, ()))
    await until(lambda: "the list is not stored" in capfd.readouterr().err)
    snapshot.on_update(member_list(3, [member("s-1", CLOSED_PORT)]), MemberList(3, True, ()))
    await until(lambda: (found := store.last_list()) is not None and found[0].revision == 3)
    task.cancel()

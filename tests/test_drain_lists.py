"""Drains in lists of every form: what the last of them has as out gets nothing new after the grace."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.drains import Scene, scene
from tests.net import held_until, member, member_list, until
from tests.observer import Server
from tests.test_admin import call

CALLS = 12  # enough to meet each of two servers


async def serve(it: Scene, name: str, count: int = CALLS) -> None:
    assert {await it.call(f"{name}{n}") for n in range(count)} == {200}


def served(it: Scene, server: str, name: str) -> int:
    """How many different ones: a repeatable one is sent again early where its answer is slow to come."""
    return len({trace for trace in it.seen.traces(server) if trace.startswith(name)})


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("phase", ["removed", "draining"])
async def test_an_id_that_returns_with_a_new_start_is_met_on_new_connections(
    tmp_path: Path, phase: str, moved: bool
) -> None:
    """At its old address or another one, with a request under way at the old process meanwhile."""
    release = asyncio.Event()
    async with scene(tmp_path, held_until(release)) as it, Server(it.seen, "new").serve() as new:
        await it.tell(it.row(1, "draining"))
        old = it.servers[0]
        under_way = it.start("old")
        await until(lambda: len(it.seen.traces("s-0")) == 1)
        await it.tell(it.row(0, phase), it.row(1))
        await it.grace()
        await serve(it, "while-out")
        assert served(it, "s-0", "while-out") == 0
        before = len(old.connections)
        where = new if moved else old
        await it.tell(member("s-0", where.address, up_since_ms=1), it.row(1, "draining"))
        release.set()
        assert await under_way == 200
        await serve(it, "back")
        assert served(it, "new" if moved else "s-0", "back") == CALLS
        assert len(where.connections) > (0 if moved else before)
        assert moved or all(w.is_closing() for _, w in old.connections[:before]) or await ended(old, before)


async def ended(server: Any, count: int) -> bool:
    """Until the sidecar has closed the server's first connections."""
    await until(lambda: all(r.at_eof() for r, _ in server.connections[:count]))
    return True


async def test_an_address_that_changes_under_its_id_leaves_the_old_connections_unused(tmp_path: Path) -> None:
    """The start is the same, so only the address tells."""
    async with scene(tmp_path) as it, Server(it.seen, "new").serve() as new:
        await it.tell(it.row(1, "draining"))
        await serve(it, "old")
        await it.rested()
        await it.tell(member("s-0", new.address))
        await it.grace()
        await serve(it, "moved")
        assert served(it, "new", "moved") == CALLS and served(it, "s-0", "moved") == 0


async def test_an_address_that_another_id_takes_over_is_in_use_as_the_other(tmp_path: Path) -> None:
    async with scene(tmp_path) as it:
        await it.tell(it.row(1, "draining"))
        await serve(it, "first")
        before = len(it.servers[0].connections)
        taken = member("s-9", it.servers[0].address, up_since_ms=1)
        await it.tell({"id": "s-0", "phase": "removed"}, taken)
        await it.grace()
        await serve(it, "second")
        assert served(it, "s-0", "second") == CALLS and len(it.servers[0].connections) > before


def lines(it: Scene) -> dict[str, list[dict[str, Any]]]:
    """Several ways to tell that s-0 is out, by name: objects that come in one read."""
    s0, s1, revision = it.row(0), it.row(1), it.revision
    gone, drains = {"id": "s-0", "phase": "removed"}, it.row(0, "draining")

    def change(n: int, *rows: dict[str, Any]) -> dict[str, Any]:
        return member_list(revision + n, list(rows), False)

    def whole(n: int, *rows: dict[str, Any]) -> dict[str, Any]:
        return member_list(revision + n, list(rows))

    return {
        "a whole list without it": [whole(1, s1)],
        "a whole list that has it as draining": [whole(1, drains, s1)],
        "removed, by its id alone": [change(1, gone)],
        "a whole list, and a change behind it": [whole(1, s0, s1), change(2, drains)],
        "a change, and a whole list without it": [change(1, drains), whole(2, s1)],
        "back with a new start, and out": [change(1, it.row(0, up_since_ms=5)), change(2, drains)],
        "drains, goes, comes, goes": [change(1, drains), change(2, gone), change(3, s0), change(4, gone)],
        "twice in one line, draining last": [change(1, s0, drains)],
        "twice in one line, removed last": [change(1, it.row(0, up_since_ms=5), gone)],
        "an empty line between": [change(1, s1), change(2, gone)],
        "beside an entry that cannot be read": [change(1, s1 | {"id": "s-7", "phase": "odd"}, drains)],
        "in a whole list with such an entry": [whole(1, drains, s1, s1 | {"id": "s-7", "size": "big"})],
    }


WAYS = ["a whole list without it", "a whole list that has it as draining", "removed, by its id alone",
        "a whole list, and a change behind it", "a change, and a whole list without it",
        "back with a new start, and out", "drains, goes, comes, goes", "twice in one line, draining last",
        "twice in one line, removed last", "an empty line between", "beside an entry that cannot be read",
        "in a whole list with such an entry"]  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
async def test_out_is_out_whatever_form_the_list_has(tmp_path: Path, way: str) -> None:
    async with scene(tmp_path) as it:
        await until(lambda: bool(it.it.discovery.connections))
        await serve(it, "before")
        objects = lines(it)[way]
        it.seen.tell(it.it.discovery, *objects)
        it.revision = objects[-1]["revision"]
        await it.read()
        await it.grace()
        await serve(it, "after")
        assert served(it, "s-0", "after") == 0
        assert not [
            p for p in it.it.service._endpoints._pools.values() if p.name == "s-0" and p.accepts_requests
        ]


@pytest.mark.parametrize("end", [b"", b"0\r\n\r\n"], ids=["cut off", "in order"])
async def test_a_change_that_comes_with_the_end_of_its_connection_is_in_force(
    tmp_path: Path, end: bytes
) -> None:
    """Discovery writes it to no other watch."""
    async with scene(tmp_path) as it:
        await until(lambda: bool(it.it.discovery.connections))
        writer = it.it.discovery.connections[-1][1]
        it.seen.tell(it.it.discovery, member_list(2, [it.row(0, "draining")], False))
        writer.write(end)
        writer.close()
        await it.grace()
        await serve(it, "after")
        assert served(it, "s-0", "after") == 0


@pytest.mark.parametrize("phase", ["draining", "removed"])
async def test_operators_cannot_call_back_what_the_list_has_as_out(tmp_path: Path, phase: str) -> None:
    async with scene(tmp_path, admin=True) as it:
        assert it.it.admin
        await it.tell(it.row(0, phase))
        for order in (b"DISABLE s-0\n", b"ENABLE s-0\n", b"ENABLE s-0\n"):
            assert (await call(it.it.admin, order)).startswith(b"SUCCESS")
        await it.grace()
        await serve(it, "after")
        assert served(it, "s-0", "after") == 0

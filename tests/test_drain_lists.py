"""Drains in every form of list: after the grace period a withdrawn server gets no new requests."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.drain_scenario import DrainScenario, drain_scenario
from tests.net import held_until, member, member_list, until
from tests.observer import Server
from tests.test_admin import call

CALLS = 12  # enough for both of two servers to be chosen


async def send_requests(scenario: DrainScenario, name: str, count: int = CALLS, cls: str = "look") -> None:
    """`cls`: an attempt of `look` ends after four times what its server usually takes, some milliseconds
    here, and where no other server is up, a stall of the machine ends the request with it. One of `once` has
    the whole time of its request."""
    assert {await scenario.call(f"{name}{n}", cls=cls) for n in range(count)} == {200}


def count_served(scenario: DrainScenario, server: str, name: str) -> int:
    """The number of distinct traces: a repeatable request is retried early when its answer is slow."""
    return len({trace for trace in scenario.observer.traces(server) if trace.startswith(name)})


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("phase", ["removed", "draining"])
async def test_an_id_that_returns_with_a_new_start_gets_new_connections(
    tmp_path: Path, phase: str, moved: bool
) -> None:
    """At its old address or another one, while a request is in progress at the old process."""
    release = asyncio.Event()
    async with (
        drain_scenario(tmp_path, held_until(release)) as scenario,
        Server(scenario.observer, "new").serve() as new,
    ):
        await scenario.send_update(scenario.row(1, "draining"))
        old = scenario.servers[0]
        pending = scenario.start("old")
        await until(lambda: len(scenario.observer.traces("s-0")) == 1)
        await scenario.send_update(scenario.row(0, phase), scenario.row(1))
        await scenario.wait_for_grace()
        await send_requests(scenario, "while-out")
        assert count_served(scenario, "s-0", "while-out") == 0
        before = len(old.connections)
        where = new if moved else old
        await scenario.send_update(member("s-0", where.address, up_since_ms=1), scenario.row(1, "draining"))
        release.set()
        assert await pending == 200
        await send_requests(scenario, "back")
        assert count_served(scenario, "new" if moved else "s-0", "back") == CALLS
        assert len(where.connections) > (0 if moved else before)
        assert moved or all(w.is_closing() for _, w in old.connections[:before]) or await ended(old, before)


async def ended(server: Any, count: int) -> bool:
    """Wait until the sidecar has closed the server's first connections."""
    await until(lambda: all(r.at_eof() for r, _ in server.connections[:count]))
    return True


async def test_an_address_that_changes_under_its_id_leaves_the_old_connections_unused(tmp_path: Path) -> None:
    """The start time is unchanged, so only the address shows that this is another process."""
    async with drain_scenario(tmp_path) as scenario, Server(scenario.observer, "new").serve() as new:
        await scenario.send_update(scenario.row(1, "draining"))
        await send_requests(scenario, "old")
        await scenario.wait_until_reusable()
        await scenario.send_update(member("s-0", new.address))
        await scenario.wait_for_grace()
        await send_requests(scenario, "moved")
        assert count_served(scenario, "new", "moved") == CALLS and count_served(scenario, "s-0", "moved") == 0


async def test_an_address_taken_over_by_another_id_gets_new_connections(tmp_path: Path) -> None:
    async with drain_scenario(tmp_path) as scenario:
        await scenario.send_update(scenario.row(1, "draining"))
        await send_requests(scenario, "first", cls="once")
        before = len(scenario.servers[0].connections)
        taken = member("s-9", scenario.servers[0].address, up_since_ms=1)
        await scenario.send_update({"id": "s-0", "phase": "removed"}, taken)
        await scenario.wait_for_grace()
        await send_requests(scenario, "second", cls="once")
        assert (
            count_served(scenario, "s-0", "second") == CALLS and len(scenario.servers[0].connections) > before
        )


def updates_by_case(scenario: DrainScenario) -> dict[str, list[dict[str, Any]]]:
    """Several ways to report s-0 as withdrawn, by name: objects that arrive in one read."""
    s0, s1, revision = scenario.row(0), scenario.row(1), scenario.revision
    gone, drains = {"id": "s-0", "phase": "removed"}, scenario.row(0, "draining")

    def change(n: int, *rows: dict[str, Any]) -> dict[str, Any]:
        return member_list(revision + n, list(rows), False)

    def full(n: int, *rows: dict[str, Any]) -> dict[str, Any]:
        return member_list(revision + n, list(rows))

    return {
        "a whole list without it": [full(1, s1)],
        "a whole list that has it as draining": [full(1, drains, s1)],
        "removed, by its id alone": [change(1, gone)],
        "a whole list, and a change behind it": [full(1, s0, s1), change(2, drains)],
        "a change, and a whole list without it": [change(1, drains), full(2, s1)],
        "back with a new start, and out": [change(1, scenario.row(0, up_since_ms=5)), change(2, drains)],
        "drains, goes, comes, goes": [change(1, drains), change(2, gone), change(3, s0), change(4, gone)],
        "twice in one line, draining last": [change(1, s0, drains)],
        "twice in one line, removed last": [change(1, scenario.row(0, up_since_ms=5), gone)],
        "an empty line between": [change(1, s1), change(2, gone)],
        "beside an entry that cannot be read": [change(1, s1 | {"id": "s-7", "phase": "odd"}, drains)],
        "in a whole list with such an entry": [full(1, drains, s1, s1 | {"id": "s-7", "size": "big"})],
    }


UPDATE_CASES = ["a whole list without it", "a whole list that has it as draining", "removed, by its id alone",
        "a whole list, and a change behind it", "a change, and a whole list without it",
        "back with a new start, and out", "drains, goes, comes, goes", "twice in one line, draining last",
        "twice in one line, removed last", "an empty line between", "beside an entry that cannot be read",
        "in a whole list with such an entry"]  # fmt: skip


@pytest.mark.parametrize("case", UPDATE_CASES)
async def test_a_withdrawal_applies_in_every_form_of_list(tmp_path: Path, case: str) -> None:
    async with drain_scenario(tmp_path) as scenario:
        await until(lambda: bool(scenario.sidecar.discovery.connections))
        await send_requests(scenario, "before")
        objects = updates_by_case(scenario)[case]
        scenario.observer.send_update(scenario.sidecar.discovery, *objects)
        scenario.revision = objects[-1]["revision"]
        await scenario.wait_until_applied()
        await scenario.wait_for_grace()
        await send_requests(scenario, "after")
        assert count_served(scenario, "s-0", "after") == 0
        assert not [
            p
            for p in scenario.sidecar.service._endpoints._pools.values()
            if p.name == "s-0" and p.accepts_requests
        ]


@pytest.mark.parametrize("end", [b"", b"0\r\n\r\n"], ids=["cut off", "in order"])
async def test_a_change_that_arrives_with_the_end_of_its_connection_is_applied(
    tmp_path: Path, end: bytes
) -> None:
    """Discovery does not send it again on another watch."""
    async with drain_scenario(tmp_path) as scenario:
        await until(lambda: bool(scenario.sidecar.discovery.connections))
        writer = scenario.sidecar.discovery.connections[-1][1]
        scenario.observer.send_update(
            scenario.sidecar.discovery, member_list(2, [scenario.row(0, "draining")], False)
        )
        writer.write(end)
        writer.close()
        await scenario.wait_for_grace()
        await send_requests(scenario, "after")
        assert count_served(scenario, "s-0", "after") == 0


@pytest.mark.parametrize("phase", ["draining", "removed"])
async def test_operators_cannot_enable_a_server_that_the_list_has_withdrawn(
    tmp_path: Path, phase: str
) -> None:
    async with drain_scenario(tmp_path, admin=True) as scenario:
        assert scenario.sidecar.admin
        await scenario.send_update(scenario.row(0, phase))
        for order in (b"DISABLE s-0\n", b"ENABLE s-0\n", b"ENABLE s-0\n"):
            assert (await call(scenario.sidecar.admin, order)).startswith(b"SUCCESS")
        await scenario.wait_for_grace()
        await send_requests(scenario, "after")
        assert count_served(scenario, "s-0", "after") == 0

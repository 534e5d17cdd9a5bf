"""Servers out: the store that two processes share, and what the driver makes of an order."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from pathlib import Path

import pytest

from anisespool import upgrade_locks
from anisespool.config import Address, Member, load
from anisespool.endpoints import Endpoints
from anisespool.errors import NotDurable
from anisespool.exchange import Answer, Call
from anisespool.maintenance import Maintenance, Order
from anisespool.sidecar import Sidecar
from anisespool.state.store import Store
from anisespool.upgrade_locks import UpgradeLocks
from shuntlead.interface import ListedEndpoint, ListForm
from tests.net import (
    OK,
    Endpoint,
    exchange,
    harness,
    member,
    member_list,
    raw_call,
    until,
    write_config,
)
from tests.test_admin import call
from tests.test_endpoints import GET

NOW_MS = 1_700_000_000_000
ADDRESS = Address("127.0.0.1", 1)


class Process:
    """One of those that share the store."""

    def __init__(self, folder: Path | None, legacy: Path | None = None, locks: Path | None = None) -> None:
        """`locks`: the folder of the locks; without, the store is followed always."""
        self.changed: list[str] = []
        self.upgrade_locks = UpgradeLocks(locks, "n0")
        self.upgrade_locks.poll()
        self.store = Store.open(folder, "n0") if folder else None
        self.it = Maintenance(self.store, self.upgrade_locks, self._note, legacy)

    def _note(self, servers: Iterable[str]) -> None:
        self.changed.extend(servers)

    def out(self) -> set[str]:
        return {server for server, order in self.it.orders.items() if order.out}


@pytest.mark.parametrize("locked", [True, False])
async def test_two_processes_follow_each_others_orders_and_a_third_takes_them_up(
    tmp_path: Path, locked: bool
) -> None:
    old, new = (Process(tmp_path, locks=tmp_path if locked else None) for _ in range(2))
    following = [
        asyncio.create_task(work) for p in (old, new) for work in (p.upgrade_locks.follow(), p.it.follow())
    ]
    await old.it.order("s-1", True)
    assert new.out() == {"s-1"} and new.changed == ["s-1"]  # by the time of the yes
    await asyncio.gather(old.it.order("s-2", True), new.it.order("s-3", True))
    assert old.out() == new.out() == {"s-1", "s-2", "s-3"}
    await old.it.order("s-1", False)
    await until(lambda: old.out() == new.out() == {"s-2", "s-3"})
    third = Process(tmp_path)
    await third.it.load()
    assert third.out() == {"s-2", "s-3"} and third.it.orders == old.it.orders
    for task in following:
        task.cancel()


async def test_a_yes_of_a_process_that_has_just_come_waits_until_the_other_surely_knows_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With looks at the locks that are further apart than those at the store, and a wait that a busy machine
    does not eat up."""
    monkeypatch.setattr(upgrade_locks, "POLL_INTERVAL_S", 0.4)
    monkeypatch.setattr(upgrade_locks, "DETECTION_S", 1.5)
    old = Process(tmp_path, locks=tmp_path)
    following = [asyncio.create_task(work) for work in (old.upgrade_locks.follow(), old.it.follow())]
    await asyncio.sleep(0)  # its first look is over
    new = Process(tmp_path, locks=tmp_path)
    await new.it.order("s-1", True)
    assert old.out() == {"s-1"}
    for task in following:
        task.cancel()


async def test_two_calls_out_need_one_back_and_a_second_back_changes_nothing(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for out in (True, True, False):
        await process.it.order("s-1", out)
    back = process.it.orders["s-1"]
    await process.it.order("s-1", False)
    assert process.it.orders["s-1"] == back and not back.out and process.changed == ["s-1", "s-1"]


async def test_the_file_of_an_earlier_release_is_taken_up_where_it_is_later(tmp_path: Path) -> None:
    legacy = tmp_path / "anisespool-n0.json"
    process = Process(tmp_path, legacy)
    await process.it.order("s-1", True)
    late = process.it.orders["s-1"].at_ms + 1
    legacy.write_text(json.dumps({"orders": {"s-1": [False, 1], "s-2": [True, late]}}))
    again = Process(tmp_path, legacy)
    await again.it.load()
    assert again.out() == {"s-1", "s-2"}
    legacy.write_text("{")
    await Process(tmp_path, legacy).it.load()  # logged, and nothing lost


async def test_a_store_that_cannot_be_written_refuses_the_yes_and_the_order_holds_here(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """A store that takes no writes, as a read-only one (for root, a mode bit stops nothing)."""
    process = Process(tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA query_only=ON")
    with pytest.raises(NotDurable):
        await process.it.order("s-1", True)
    assert process.out() == {"s-1"} and process.changed == ["s-1"]
    assert "maintenance: the orders cannot be stored" in capfd.readouterr().err
    alone = Process(None)
    await alone.it.order("s-1", True)
    assert alone.out() == {"s-1"}


async def test_the_store_keeps_no_call_back_for_ever(tmp_path: Path) -> None:
    process = Process(tmp_path)
    assert process.store
    old = {"s-old": Order(False, NOW_MS), "s-out": Order(True, NOW_MS)}
    await process.store.merge_orders(old)
    await process.it.order("s-1", True)
    assert set(process.store.orders()) == {"s-out", "s-1"}


async def test_attempts_that_wait_for_a_connection_there_are_placed_anew(tmp_path: Path) -> None:
    async with Endpoint().serve() as one, Endpoint().serve() as two:
        rows = [member(name, it.address) for name, it in (("s-0", one), ("s-1", two))]
        config = load(write_config(tmp_path, one.address, rows))
        endpoints = Endpoints((), 10**9, 10**10, 16)
        orders: dict[str, Order] = {}
        sidecar = Sidecar(config, endpoints, orders)
        sidecar.apply_list(config.known, ListForm.CACHED)
        answers: list[Answer] = []
        for _ in range(8):  # all wait for the handshakes, as nothing else has run yet
            sidecar.submit(Call(GET, 0, 0, 10**9, None, 0, False), answers.append)
        orders["s-0"] = Order(True, NOW_MS)
        sidecar.refresh(["s-0"])
        await until(lambda: len(answers) == 8)
        assert {a.status for a in answers} == {200} and len(two.requests) == 8 and not one.requests


def test_a_server_called_back_is_cold_from_then_until_the_list_shows_a_later_start(tmp_path: Path) -> None:
    config = load(write_config(tmp_path, ADDRESS, []))
    now_ms = time.time_ns() // 1_000_000
    orders = {"s-0": Order(False, now_ms)}
    sidecar = Sidecar(config, Endpoints((), 10**9, 10**10, 16), orders)
    back_ns = now_ms * 1_000_000 - config.names.epoch_ns
    starts = [
        sidecar.servers.effective_row(_member(started_ns)).started_ns
        for started_ns in (0, back_ns - 10**9, back_ns + 10**9)
    ]
    assert starts == [back_ns, back_ns, back_ns + 10**9]


def _member(started_ns: int) -> Member:
    return Member("s-0", ADDRESS, ListedEndpoint(0, 1.0, 0, 0, 0, 1, started_ns))


async def test_discovery_cannot_undo_an_order_nor_can_an_absence_from_the_list(tmp_path: Path) -> None:
    """On sockets, by calls: out, off the list, on it again with a new start; and back."""
    async with (
        Endpoint(OK).serve() as one,
        Endpoint(OK).serve() as two,
        harness(tmp_path, one, two, admin=True) as it,
    ):
        await until(lambda: bool(it.discovery.connections))
        assert it.admin
        assert (await call(it.admin, b"DISABLE s-9\n")).startswith(b"FAILURE")
        assert await call(it.admin, b"DISABLE s-0\n") == b"SUCCESS s-0 takes nothing new\n"
        other, back = member("s-1", two.address), member("s-0", one.address, up_since_ms=NOW_MS)
        for revision, rows in enumerate(([member("s-0", one.address)], [], [back]), start=2):
            news = member(f"new-{revision}", ADDRESS, "draining")
            it.discovery.say(member_list(revision, [*rows, other, news]))
            while not (await call(it.admin, f"DISABLE new-{revision}\n".encode())).startswith(b"SUCCESS"):
                pass  # the list has not been read yet
            for n in range(20):
                assert (await exchange(it.address, raw_call(trace=f"r{revision}-{n}"))).status == 200
        assert not one.requests and len({r.headers[b"x-trace-id"] for r in two.requests}) == 60
        assert await call(it.admin, b"ENABLE s-0\n") == b"SUCCESS s-0 may serve\n"
        for _ in range(60):
            assert (await exchange(it.address, raw_call())).status == 200
        assert 0 < len(one.requests) < 45  # soon used again, and within the cap of a cold one


async def test_with_all_servers_out_requests_are_refused(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    async with Endpoint(OK).serve() as one, harness(tmp_path, one, admin=True) as it:
        assert it.admin
        assert (await call(it.admin, b"DISABLE s-0\n")).startswith(b"SUCCESS")
        assert (await exchange(it.address, raw_call(left_ms=200))).status == 503
        assert not one.requests
    assert "maintenance: s-0 is out\n" in capfd.readouterr().err

"""Servers taken out by operators: the store that two processes share, and how the driver applies an order."""

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
    """One of the processes that share the store."""

    def __init__(
        self, state_dir: Path | None, legacy: Path | None = None, lock_dir: Path | None = None
    ) -> None:
        """`lock_dir`: the folder of the lock files; without it, the store is always polled."""
        self.changed: list[str] = []
        self.upgrade_locks = UpgradeLocks(lock_dir, "n0")
        self.upgrade_locks.poll()
        self.store = Store.open(state_dir, "n0") if state_dir else None
        self.maintenance = Maintenance(self.store, self.upgrade_locks, self._on_change, legacy)

    def _on_change(self, servers: Iterable[str]) -> None:
        self.changed.extend(servers)

    def disabled(self) -> set[str]:
        return {server for server, order in self.maintenance.orders.items() if order.out}


@pytest.mark.parametrize("locked", [True, False])
async def test_two_processes_follow_each_others_orders_and_a_third_loads_them(
    tmp_path: Path, locked: bool
) -> None:
    old, new = (Process(tmp_path, lock_dir=tmp_path if locked else None) for _ in range(2))
    following = [
        asyncio.create_task(coroutine)
        for p in (old, new)
        for coroutine in (p.upgrade_locks.follow(), p.maintenance.follow())
    ]
    await old.maintenance.order("s-1", True)
    assert new.disabled() == {"s-1"} and new.changed == ["s-1"]  # by the time the order is acknowledged
    await asyncio.gather(old.maintenance.order("s-2", True), new.maintenance.order("s-3", True))
    assert old.disabled() == new.disabled() == {"s-1", "s-2", "s-3"}
    await old.maintenance.order("s-1", False)
    await until(lambda: old.disabled() == new.disabled() == {"s-2", "s-3"})
    third = Process(tmp_path)
    await third.maintenance.load()
    assert third.disabled() == {"s-2", "s-3"} and third.maintenance.orders == old.maintenance.orders
    for task in following:
        task.cancel()


async def test_a_new_process_acknowledges_an_order_only_once_the_other_must_have_detected_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The locks are polled less often than the store, and the wait is long enough for a busy machine."""
    monkeypatch.setattr(upgrade_locks, "POLL_INTERVAL_S", 0.4)
    monkeypatch.setattr(upgrade_locks, "DETECTION_S", 1.5)
    old = Process(tmp_path, lock_dir=tmp_path)
    following = [
        asyncio.create_task(coroutine) for coroutine in (old.upgrade_locks.follow(), old.maintenance.follow())
    ]
    await asyncio.sleep(0)  # its first poll is done
    new = Process(tmp_path, lock_dir=tmp_path)
    await new.maintenance.order("s-1", True)
    assert old.disabled() == {"s-1"}
    for task in following:
        task.cancel()


async def test_disabling_twice_needs_one_enable_and_a_second_enable_changes_nothing(tmp_path: Path) -> None:
    process = Process(tmp_path)
    for out in (True, True, False):
        await process.maintenance.order("s-1", out)
    enabled = process.maintenance.orders["s-1"]
    await process.maintenance.order("s-1", False)
    assert (
        process.maintenance.orders["s-1"] == enabled and not enabled.out and process.changed == ["s-1", "s-1"]
    )


async def test_the_file_of_an_earlier_release_is_merged_by_order_time(tmp_path: Path) -> None:
    legacy = tmp_path / "anisespool-n0.json"
    process = Process(tmp_path, legacy)
    await process.maintenance.order("s-1", True)
    later_ms = process.maintenance.orders["s-1"].at_ms + 1
    legacy.write_text(json.dumps({"orders": {"s-1": [False, 1], "s-2": [True, later_ms]}}))
    restarted = Process(tmp_path, legacy)
    await restarted.maintenance.load()
    assert restarted.disabled() == {"s-1", "s-2"}
    legacy.write_text("{")
    await Process(tmp_path, legacy).maintenance.load()  # logged, and no order is lost


async def test_a_failed_write_is_reported_and_the_order_applies_in_this_process(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Uses query_only to make the store read-only, as file permissions do not restrict root."""
    process = Process(tmp_path)
    assert process.store
    process.store._writer.execute("PRAGMA query_only=ON")
    with pytest.raises(NotDurable):
        await process.maintenance.order("s-1", True)
    assert process.disabled() == {"s-1"} and process.changed == ["s-1"]
    assert "maintenance: the orders cannot be stored" in capfd.readouterr().err
    memory_only = Process(None)
    await memory_only.maintenance.order("s-1", True)
    assert memory_only.disabled() == {"s-1"}


async def test_the_store_drops_expired_enable_orders(tmp_path: Path) -> None:
    process = Process(tmp_path)
    assert process.store
    expired = {"s-old": Order(False, NOW_MS), "s-out": Order(True, NOW_MS)}
    await process.store.merge_orders(expired)
    await process.maintenance.order("s-1", True)
    assert set(process.store.orders()) == {"s-out", "s-1"}


async def test_attempts_waiting_for_a_connection_to_a_disabled_server_are_rerouted(tmp_path: Path) -> None:
    async with Endpoint().serve() as one, Endpoint().serve() as two:
        rows = [member(name, endpoint.address) for name, endpoint in (("s-0", one), ("s-1", two))]
        config = load(write_config(tmp_path, one.address, rows))
        endpoints = Endpoints((), 10**9, 10**10, 16)
        orders: dict[str, Order] = {}
        sidecar = Sidecar(config, endpoints, orders)
        sidecar.apply_list(config.known, ListForm.CACHED)
        answers: list[Answer] = []
        for _ in range(8):  # all wait for handshakes, as no other task has run yet
            sidecar.submit(Call(GET, 0, 0, 10**9, None, 0, False), answers.append)
        orders["s-0"] = Order(True, NOW_MS)
        sidecar.refresh(["s-0"])
        await until(lambda: len(answers) == 8)
        assert {a.status for a in answers} == {200} and len(two.requests) == 8 and not one.requests


def test_an_enabled_server_is_cold_until_the_list_shows_a_later_start(tmp_path: Path) -> None:
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


async def test_neither_discovery_nor_absence_from_the_list_undoes_an_order(tmp_path: Path) -> None:
    """Over sockets: a disabled server leaves the list, returns with a new start, and is enabled."""
    async with (
        Endpoint(OK).serve() as one,
        Endpoint(OK).serve() as two,
        harness(tmp_path, one, two, admin=True) as setup,
    ):
        await until(lambda: bool(setup.discovery.connections))
        assert setup.admin
        assert (await call(setup.admin, b"DISABLE s-9\n")).startswith(b"FAILURE")
        assert await call(setup.admin, b"DISABLE s-0\n") == b"SUCCESS s-0 takes nothing new\n"
        other, back = member("s-1", two.address), member("s-0", one.address, up_since_ms=NOW_MS)
        for revision, rows in enumerate(([member("s-0", one.address)], [], [back]), start=2):
            marker = member(f"new-{revision}", ADDRESS, "draining")
            setup.discovery.say(member_list(revision, [*rows, other, marker]))
            while not (await call(setup.admin, f"DISABLE new-{revision}\n".encode())).startswith(b"SUCCESS"):
                pass  # the list has not been applied yet
            for n in range(20):
                assert (await exchange(setup.address, raw_call(trace=f"r{revision}-{n}"))).status == 200
        assert not one.requests and len({r.headers[b"x-trace-id"] for r in two.requests}) == 60
        assert await call(setup.admin, b"ENABLE s-0\n") == b"SUCCESS s-0 may serve\n"
        for _ in range(60):
            assert (await exchange(setup.address, raw_call())).status == 200
        assert 0 < len(one.requests) < 45  # used again soon, but limited by the cap for cold servers


async def test_requests_are_refused_with_all_servers_disabled(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    async with Endpoint(OK).serve() as one, harness(tmp_path, one, admin=True) as setup:
        assert setup.admin
        assert (await call(setup.admin, b"DISABLE s-0\n")).startswith(b"SUCCESS")
        assert (await exchange(setup.address, raw_call(left_ms=200))).status == 503
        assert not one.requests
    assert "maintenance: s-0 is out\n" in capfd.readouterr().err

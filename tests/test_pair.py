"""Two processes of one sidecar detect each other and share the store and the connection limits."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.admin import MAX_CALLERS
from anisespool.config import Address, load
from anisespool.limits import SPARE_SOCKETS, connection_limits
from anisespool.maintenance import STORE_POLL_INTERVAL_S
from anisespool.service import Service
from anisespool.state.store import Store
from anisespool.upgrade_locks import UpgradeLocks
from tests.net import Discovery, until, write_config


class Process:
    def __init__(self, folder: Path, name: str = "n/0") -> None:
        self.changes: list[bool] = []
        self.upgrade_locks = UpgradeLocks(folder, name, self.changes.append)

    def release_locks(self) -> None:
        """Releases the locks as the kernel does when the process exits."""
        self.upgrade_locks.close()


def test_each_process_detects_the_other_and_its_exit(tmp_path: Path) -> None:
    old = Process(tmp_path)
    old.upgrade_locks.poll()
    assert old.changes == []
    for _ in range(3):  # successive upgrades
        new = Process(tmp_path)
        new.upgrade_locks.poll()
        old.upgrade_locks.poll()
        assert old.changes[-1:] == new.changes[-1:] == [True]
        old.upgrade_locks.poll()
        old.release_locks()
        new.upgrade_locks.poll()
        assert new.changes == [True, False]
        old = new


def test_the_old_process_detects_the_exit_of_a_failed_new_one(tmp_path: Path) -> None:
    old, new = Process(tmp_path), Process(tmp_path)
    for process in (old, new, old):
        process.upgrade_locks.poll()
    new.release_locks()
    old.upgrade_locks.poll()
    assert old.changes == [True, False]


def test_a_third_process_is_detected_at_its_start_and_after_the_second_exits(tmp_path: Path) -> None:
    first, second, third = (Process(tmp_path) for _ in range(3))
    for process in (first, second, third, first):
        process.upgrade_locks.poll()
    second.release_locks()
    first.upgrade_locks.poll()
    assert first.changes == third.changes == [True]
    assert first.upgrade_locks.undetected_s() == 0.0 < third.upgrade_locks.undetected_s()
    first.release_locks()
    third.upgrade_locks.poll()
    assert third.changes == [True, False] and third.upgrade_locks.undetected_s() == 0.0


async def test_the_store_is_read_when_another_process_starts_and_exits_and_polled_between(
    tmp_path: Path,
) -> None:
    polls: list[bool] = []

    async def record_polls(upgrade_locks: UpgradeLocks) -> None:
        async for due in upgrade_locks.store_polls(0.001):
            polls.append(due)

    old = Process(tmp_path)
    old.upgrade_locks.poll()
    following = asyncio.create_task(record_polls(old.upgrade_locks))
    for _ in range(3):
        await until(lambda: polls[-1:] == [True])
        await asyncio.sleep(0.02)
        assert polls[-1]  # and no poll since
        new = Process(tmp_path)
        new.upgrade_locks.poll()
        polls.clear()
        old.upgrade_locks.poll()
        await until(lambda: len(polls) > 5)
        assert polls[0] and not any(polls[1:])
        new.release_locks()
        old.upgrade_locks.poll()
    following.cancel()
    polls.clear()
    following = asyncio.create_task(record_polls(Process(tmp_path / "nowhere").upgrade_locks))
    await until(lambda: len(polls) > 5)  # another process cannot be ruled out
    following.cancel()


async def test_a_lone_process_does_not_poll_its_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    polls: list[str] = []
    has_changed = Store.has_changed

    def count(store: Store, reader: str = "") -> bool:
        polls.append(reader)
        return has_changed(store, reader)

    monkeypatch.setattr(Store, "has_changed", count)
    async with Discovery().serve() as discovery:
        env = write_config(tmp_path, discovery.address, []) | {"LB_STATE_DIR": str(tmp_path)}
        service, listening = Service(load(env)), asyncio.get_running_loop().create_future()
        task = asyncio.create_task(service.run(asyncio.Event(), asyncio.Queue(), listening.set_result))
        await listening
        for _ in range(2):
            polls.clear()
            await asyncio.sleep(10 * STORE_POLL_INTERVAL_S)
            assert not polls
            other = Process(tmp_path, "n0")
            other.upgrade_locks.poll()
            await until(lambda: len(polls) > 20 and len(set(polls)) == 2)  # for orders and for pinned keys
            other.release_locks()
            await until(lambda: not service._upgrade_locks.has_other)
            await asyncio.sleep(2 * STORE_POLL_INTERVAL_S)  # the last polls
        task.cancel()


def test_a_folder_that_cannot_be_written_is_logged(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path / "nowhere")
    process.upgrade_locks.poll()
    assert not process.changes and "upgrade: " in capsys.readouterr().err


@pytest.mark.parametrize("sockets", [192, 256, 384, 1024])
def test_the_connections_of_two_processes_fit_the_limit_for_both(tmp_path: Path, sockets: int) -> None:
    config = load(write_config(tmp_path, Address("127.0.0.1", 1), []) | {"LB_ADMIN_ADDR": "127.0.0.1:2"})
    config = type(config)(**{**config.__dict__, "sockets": sockets})
    reserved = SPARE_SOCKETS + MAX_CALLERS
    for has_other in (False, True):
        assert (1 + has_other) * (sum(connection_limits(config, has_other)) + reserved) <= sockets
    assert connection_limits(config, False)[0] >= sockets // 3  # for client connections

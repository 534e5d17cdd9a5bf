"""Two processes of one sidecar know of each other, and share what there is."""

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
        self.heard: list[bool] = []
        self.upgrade_locks = UpgradeLocks(folder, name, self.heard.append)

    def end(self) -> None:
        """As the kernel lets go of its locks."""
        self.upgrade_locks.close()


def test_each_learns_of_the_other_and_of_its_end(tmp_path: Path) -> None:
    old = Process(tmp_path)
    old.upgrade_locks.poll()
    assert old.heard == []
    for _ in range(3):  # upgrades in turn
        new = Process(tmp_path)
        new.upgrade_locks.poll()
        old.upgrade_locks.poll()
        assert old.heard[-1:] == new.heard[-1:] == [True]
        old.upgrade_locks.poll()
        old.end()
        new.upgrade_locks.poll()
        assert new.heard == [True, False]
        old = new


def test_a_new_process_that_fails_leaves_the_old_one_alone(tmp_path: Path) -> None:
    old, new = Process(tmp_path), Process(tmp_path)
    for process in (old, new, old):
        process.upgrade_locks.poll()
    new.end()
    old.upgrade_locks.poll()
    assert old.heard == [True, False]


def test_a_third_process_is_known_from_its_start_and_after_the_second_has_ended(tmp_path: Path) -> None:
    first, second, third = (Process(tmp_path) for _ in range(3))
    for process in (first, second, third, first):
        process.upgrade_locks.poll()
    second.end()
    first.upgrade_locks.poll()
    assert first.heard == third.heard == [True]
    assert first.upgrade_locks.undetected_s() == 0.0 < third.upgrade_locks.undetected_s()
    first.end()
    third.upgrade_locks.poll()
    assert third.heard == [True, False] and third.upgrade_locks.undetected_s() == 0.0


async def test_the_store_is_read_when_another_process_comes_and_ends_and_followed_between(
    tmp_path: Path,
) -> None:
    looks: list[bool] = []

    async def follow(upgrade_locks: UpgradeLocks) -> None:
        async for due in upgrade_locks.store_polls(0.001):
            looks.append(due)

    old = Process(tmp_path)
    old.upgrade_locks.poll()
    following = asyncio.create_task(follow(old.upgrade_locks))
    for _ in range(3):
        await until(lambda: looks[-1:] == [True])
        await asyncio.sleep(0.02)
        assert looks[-1]  # and no look since
        new = Process(tmp_path)
        new.upgrade_locks.poll()
        looks.clear()
        old.upgrade_locks.poll()
        await until(lambda: len(looks) > 5)
        assert looks[0] and not any(looks[1:])
        new.end()
        old.upgrade_locks.poll()
    following.cancel()
    looks.clear()
    following = asyncio.create_task(follow(Process(tmp_path / "nowhere").upgrade_locks))
    await until(lambda: len(looks) > 5)  # nobody knows whether there is another
    following.cancel()


async def test_a_lone_process_does_not_look_at_its_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    looks: list[str] = []
    has_changed = Store.has_changed

    def count(store: Store, looker: str = "") -> bool:
        looks.append(looker)
        return has_changed(store, looker)

    monkeypatch.setattr(Store, "has_changed", count)
    async with Discovery().serve() as discovery:
        env = write_config(tmp_path, discovery.address, []) | {"LB_STATE_DIR": str(tmp_path)}
        service, listening = Service(load(env)), asyncio.get_running_loop().create_future()
        task = asyncio.create_task(service.run(asyncio.Event(), asyncio.Queue(), listening.set_result))
        await listening
        for _ in range(2):
            looks.clear()
            await asyncio.sleep(10 * STORE_POLL_INTERVAL_S)
            assert not looks
            other = Process(tmp_path, "n0")
            other.upgrade_locks.poll()
            await until(lambda: len(looks) > 20 and len(set(looks)) == 2)  # for orders and for keys
            other.end()
            await until(lambda: not service._upgrade_locks.has_other)
            await asyncio.sleep(2 * STORE_POLL_INTERVAL_S)  # the last looks
        task.cancel()


def test_a_folder_that_cannot_be_written_is_logged(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    process = Process(tmp_path / "nowhere")
    process.upgrade_locks.poll()
    assert not process.heard and "upgrade: " in capsys.readouterr().err


@pytest.mark.parametrize("sockets", [192, 256, 384, 1024])
def test_what_two_processes_hold_fits_the_limit_for_both(tmp_path: Path, sockets: int) -> None:
    config = load(write_config(tmp_path, Address("127.0.0.1", 1), []) | {"LB_ADMIN_ADDR": "127.0.0.1:2"})
    config = type(config)(**{**config.__dict__, "sockets": sockets})
    spare = SPARE_SOCKETS + MAX_CALLERS
    for two in (False, True):
        assert (1 + two) * (sum(connection_limits(config, two)) + spare) <= sockets
    assert connection_limits(config, False)[0] >= sockets // 3  # for what clients may have open

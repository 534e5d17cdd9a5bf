"""Pushed lists: what the agent has counts as delivered from the start of a process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.config import Address, load
from anisespool.service import Service
from tests.net import Discovery, Endpoint, exchange, member, member_list, raw_call, until, write_config


async def test_with_pushed_lists_a_new_process_of_a_large_fleet_calls_at_once(tmp_path: Path) -> None:
    """The agent's list counts from the start, so the first call is not spread over time."""
    async with Endpoint().serve() as endpoint, Discovery().serve() as discovery:
        for n in range(4):
            env = write_config(tmp_path, discovery.address, [member("s-0", endpoint.address)],
                               fleet_size=200, discovery="push")  # fmt: skip
            service, listening = Service(load(env)), asyncio.get_running_loop().create_future()
            task = asyncio.create_task(service.run(asyncio.Event(), asyncio.Queue(), listening.set_result))
            async with asyncio.timeout(0.3):
                await until(lambda n=n: len(discovery.connections) > n)  # type: ignore[misc]
            task.cancel()


@pytest.mark.parametrize("answers", [True, False])
async def test_with_pushed_lists_no_client_is_accepted_before_the_first_list(
    tmp_path: Path, answers: bool
) -> None:
    """With the list from before the restart it could send to a draining server. If discovery is unreachable,
    the agent has no list that counts."""
    async with Endpoint().serve() as old, Endpoint().serve() as new, Discovery().serve() as discovery:
        place = discovery.address if answers else Address("127.0.0.1", 1)
        env = write_config(tmp_path, place, [member("s-0", old.address)], discovery="push")
        service, listening = Service(load(env)), asyncio.get_running_loop().create_future()
        task = asyncio.create_task(service.run(asyncio.Event(), asyncio.Queue(), listening.set_result))
        if answers:
            await until(lambda: bool(discovery.connections))
            assert not listening.done()
            discovery.say(member_list(2, [member("s-1", new.address)]))
        async with asyncio.timeout(0.3):
            address = await listening
        assert (await exchange(address, raw_call())).status == 200
        assert (len(old.requests), len(new.requests)) == ((0, 1) if answers else (1, 0))
        task.cancel()

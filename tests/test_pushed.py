"""Where lists are pushed: what the agent has counts as told from a process's first moment."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.config import Address, load
from anisespool.service import Service
from tests.net import Discovery, Endpoint, exchange, member, member_list, raw_call, until, write_config


async def test_where_lists_are_pushed_a_new_process_of_a_large_fleet_asks_at_once(tmp_path: Path) -> None:
    """What the agent has counts from the first moment."""
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
async def test_where_lists_are_pushed_no_client_is_let_in_before_the_first_list_has_come(
    tmp_path: Path, answers: bool
) -> None:
    """By the list of before the restart it would send to a server that drains. Where discovery cannot
    be had, the agent knows nothing that would count."""
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

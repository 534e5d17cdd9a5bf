"""What drained or was taken out before a SIGKILL gets nothing from the next process, whoever has it as up."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from anisespool.config import Address
from tests.fleet import Fleet, fleet
from tests.net import StaticDiscovery, member, member_list, until
from tests.observer import Observer, Server
from tests.test_stored_list import stored

NOWHERE = Address("127.0.0.1", 9)  # discovery is down
CALLS = 20


async def served(it: Fleet, seen: Observer, name: str) -> dict[str, int]:
    """How many calls of that name each server got; all are answered 200."""
    for n in range(CALLS):
        trace = f"{name}{n}"
        seen.call(trace)
        assert await it.request(0, trace) == 200
    of_name = {(r.server, r.trace) for r in seen.receipts if r.trace.startswith(name)}
    return {server: sum(at == server for at, _ in of_name) for server in ("s-0", "s-1")}


@pytest.mark.parametrize("revision", [1, 2])
@pytest.mark.parametrize("how", ["draining", "removed", "absent"])
async def test_the_list_that_discovery_told_wins_over_the_one_of_the_configuration(
    tmp_path: Path, revision: int, how: str
) -> None:
    """`known`, of revision 1, has both up. Killed twice, so that the second start is from the first one's."""
    seen = Observer()
    async with AsyncExitStack() as stack:
        first, second = [await stack.enter_async_context(Server(seen, f"s-{n}").serve()) for n in range(2)]
        it = await stack.enter_async_context(fleet(tmp_path, 1))
        known = [member("s-0", first.address), member("s-1", second.address)]
        out = [] if how == "absent" else [known[0] | {"phase": how}]
        told = member_list(revision, [*out, known[1]], complete=how != "removed")
        async with StaticDiscovery(told).serve() as discovery:
            await it.start(0, discovery.address, known)
            await until(lambda: stored(it.home(0))[0] == revision)
            seen.listed(member_list(1, known))
            seen.listed(told)
            await until(lambda: seen.grace_is_over)
            assert (await served(it, seen, "told"))["s-0"] == 0
            await it.kill(0)
        for turn in range(2):
            await it.start(0, NOWHERE, known)
            assert (await served(it, seen, f"restart{turn}-"))["s-0"] == 0
            await it.kill(0)
        found = seen.violations()
        assert not found, found


async def test_an_order_out_holds_over_a_kill_while_lists_have_the_server_up_anew(
    tmp_path: Path,
) -> None:
    seen = Observer()
    async with AsyncExitStack() as stack:
        first, second = [await stack.enter_async_context(Server(seen, f"s-{n}").serve()) for n in range(2)]
        it = await stack.enter_async_context(fleet(tmp_path, 1))
        known = [member("s-0", first.address), member("s-1", second.address)]
        async with StaticDiscovery(member_list(2, known)).serve() as discovery:
            await it.start(0, discovery.address, known)
            assert (await it.ask(0, "DISABLE s-0")).startswith("SUCCESS")
            assert (await served(it, seen, "out"))["s-0"] == 0
            await it.kill(0)
        await it.start(0, NOWHERE, known, revision=9)  # a later list of the configuration has it as up
        assert (await served(it, seen, "down"))["s-0"] == 0
        await it.kill(0)
        anew = [known[0] | {"up_since_ms": 1}, known[1]]
        async with StaticDiscovery(member_list(10, anew)).serve() as discovery:
            await it.start(0, discovery.address, known)
            await until(lambda: stored(it.home(0))[0] == 10)
            assert (await served(it, seen, "anew"))["s-0"] == 0
            discovery.say(member_list(11, [known[0] | {"phase": "draining"}], False))
            discovery.say(member_list(12, [known[0] | {"up_since_ms": 2}], False))
            await until(lambda: stored(it.home(0))[0] == 12)
            assert (await served(it, seen, "again"))["s-0"] == 0

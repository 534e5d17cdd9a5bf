"""A server withdrawn before a SIGKILL gets no request from the next process, whatever lists it as up."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from anisespool.config import Address
from tests.fleet import Fleet, fleet
from tests.net import StaticDiscovery, member, member_list, until
from tests.observer import Observer, Server
from tests.test_stored_list import stored_list

UNREACHABLE = Address("127.0.0.1", 9)  # in place of a discovery that is down
CALLS = 20


async def count_served(it: Fleet, observer: Observer, name: str) -> dict[str, int]:
    """How many calls of that name each server received; all are answered 200."""
    for n in range(CALLS):
        trace = f"{name}{n}"
        observer.call(trace)
        assert await it.request(0, trace) == 200
    of_name = {(r.server, r.trace) for r in observer.receipts if r.trace.startswith(name)}
    return {server: sum(at == server for at, _ in of_name) for server in ("s-0", "s-1")}


@pytest.mark.parametrize("revision", [1, 2])
@pytest.mark.parametrize("how", ["draining", "removed", "absent"])
async def test_the_list_from_discovery_takes_precedence_over_the_configured_one(
    tmp_path: Path, revision: int, how: str
) -> None:
    """`known`, of revision 1, has both up. The second restart reads what the first one stored."""
    observer = Observer()
    async with AsyncExitStack() as stack:
        first, second = [
            await stack.enter_async_context(Server(observer, f"s-{n}").serve()) for n in range(2)
        ]
        it = await stack.enter_async_context(fleet(tmp_path, 1))
        known = [member("s-0", first.address), member("s-1", second.address)]
        out = [] if how == "absent" else [known[0] | {"phase": how}]
        told = member_list(revision, [*out, known[1]], complete=how != "removed")
        async with StaticDiscovery(told).serve() as discovery:
            await it.start(0, discovery.address, known)
            await until(lambda: stored_list(it.home(0))[0] == revision)
            observer.record_list(member_list(1, known))
            observer.record_list(told)
            await until(lambda: observer.grace_is_over)
            assert (await count_served(it, observer, "told"))["s-0"] == 0
            await it.kill(0)
        for turn in range(2):
            await it.start(0, UNREACHABLE, known)
            assert (await count_served(it, observer, f"restart{turn}-"))["s-0"] == 0
            await it.kill(0)
        found = observer.violations()
        assert not found, found


async def test_a_disable_order_survives_a_kill_though_lists_have_the_server_as_up_again(
    tmp_path: Path,
) -> None:
    observer = Observer()
    async with AsyncExitStack() as stack:
        first, second = [
            await stack.enter_async_context(Server(observer, f"s-{n}").serve()) for n in range(2)
        ]
        it = await stack.enter_async_context(fleet(tmp_path, 1))
        known = [member("s-0", first.address), member("s-1", second.address)]
        async with StaticDiscovery(member_list(2, known)).serve() as discovery:
            await it.start(0, discovery.address, known)
            assert (await it.ask(0, "DISABLE s-0")).startswith("SUCCESS")
            assert (await count_served(it, observer, "out"))["s-0"] == 0
            await it.kill(0)
        await it.start(0, UNREACHABLE, known, revision=9)  # a later configured list has it as up
        assert (await count_served(it, observer, "down"))["s-0"] == 0
        await it.kill(0)
        anew = [known[0] | {"up_since_ms": 1}, known[1]]
        async with StaticDiscovery(member_list(10, anew)).serve() as discovery:
            await it.start(0, discovery.address, known)
            await until(lambda: stored_list(it.home(0))[0] == 10)
            assert (await count_served(it, observer, "anew"))["s-0"] == 0
            discovery.say(member_list(11, [known[0] | {"phase": "draining"}], False))
            discovery.say(member_list(12, [known[0] | {"up_since_ms": 2}], False))
            await until(lambda: stored_list(it.home(0))[0] == 12)
            assert (await count_served(it, observer, "again"))["s-0"] == 0

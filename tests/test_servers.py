"""What a list makes of the servers known so far: those that it leaves out, and those that return."""

from __future__ import annotations

from typing import Any

from anisespool.config import Address, MemberList, NameIndex
from anisespool.servers import Servers
from shuntlead.interface import EndpointState, ListForm
from tests.net import member, member_list

NAMES = NameIndex({}, {}, {}, {}, 0)
PLACE = Address("127.0.0.1", 1)


def listed(revision: int, *entries: dict[str, Any], complete: bool = False) -> MemberList:
    return NAMES.member_list(member_list(revision, list(entries), complete))


def started() -> Servers:
    servers = Servers({}, 0)
    servers.apply(listed(1, member("s-0", PLACE), member("s-1", PLACE), complete=True), ListForm.FULL)
    return servers


def test_a_whole_list_that_leaves_out_what_drains_takes_it_out_of_use() -> None:
    servers = started()
    first = servers.numbers["s-0"]
    servers.apply(listed(2, member("s-0", PLACE, "draining")), ListForm.DELTA)
    _, gone, _ = servers.apply(listed(3, member("s-1", PLACE), complete=True), ListForm.FULL)
    assert gone == [first]
    assert set(servers.members) == {"s-1"} and servers.ready == {servers.numbers["s-1"]}


def test_a_removed_id_that_returns_is_another_server_also_within_one_change() -> None:
    servers = started()
    first = servers.numbers["s-0"]
    removed = {"id": "s-0", "phase": "removed"}
    rows, gone, _ = servers.apply(listed(2, removed, member("s-0", PLACE, up_since_ms=5_000)), ListForm.DELTA)
    second = servers.numbers["s-0"]
    assert gone == [first] and second not in (first, servers.numbers["s-1"])
    assert [(row.endpoint, row.state) for _, row in rows] == [
        (first, EndpointState.GONE),
        (second, EndpointState.READY),
    ]
    assert servers.members["s-0"].row.started_ns == 5_000 * 1_000_000

"""Applying a list to the known servers: those that it leaves out, and those that return."""

from __future__ import annotations

from typing import Any

from anisespool.config import Address, MemberList, NameIndex
from anisespool.servers import Servers
from shuntlead.interface import EndpointState, ListForm
from tests.net import member, member_list

NAMES = NameIndex({}, {}, {}, {}, 0)
PLACE = Address("127.0.0.1", 1)


def make_list(revision: int, *entries: dict[str, Any], complete: bool = False) -> MemberList:
    return NAMES.member_list(member_list(revision, list(entries), complete))


def make_servers() -> Servers:
    servers = Servers({}, 0)
    servers.apply(make_list(1, member("s-0", PLACE), member("s-1", PLACE), complete=True), ListForm.FULL)
    return servers


def test_a_full_list_without_a_draining_server_removes_it() -> None:
    servers = make_servers()
    first = servers.numbers["s-0"]
    servers.apply(make_list(2, member("s-0", PLACE, "draining")), ListForm.DELTA)
    _, gone, _ = servers.apply(make_list(3, member("s-1", PLACE), complete=True), ListForm.FULL)
    assert gone == [first]
    assert set(servers.members) == {"s-1"} and servers.ready == {servers.numbers["s-1"]}


def test_a_removed_id_that_returns_is_a_new_server_even_within_one_change() -> None:
    servers = make_servers()
    first = servers.numbers["s-0"]
    removed = {"id": "s-0", "phase": "removed"}
    rows, gone, _ = servers.apply(
        make_list(2, removed, member("s-0", PLACE, up_since_ms=5_000)), ListForm.DELTA
    )
    second = servers.numbers["s-0"]
    assert gone == [first] and second not in (first, servers.numbers["s-1"])
    assert [(row.endpoint, row.state) for _, row in rows] == [
        (first, EndpointState.GONE),
        (second, EndpointState.READY),
    ]
    assert servers.members["s-0"].row.started_ns == 5_000 * 1_000_000

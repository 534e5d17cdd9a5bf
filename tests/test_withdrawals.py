"""A withdrawn server stays withdrawn until a later update, whichever list has it as up. No sockets."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anisespool import withdrawals
from anisespool.config import Address, MemberList, NameIndex
from anisespool.servers import Servers
from anisespool.state.records import Order
from shuntlead.interface import ListForm
from tests.net import member, member_list

NAMES = NameIndex({}, {}, {}, {}, 0)
PLACE = Address("127.0.0.1", 1)
FLEET = 5


def row(n: int, phase: str = "up", since_ms: int = 0) -> dict[str, Any]:
    return member(f"s-{n}", PLACE, phase, up_since_ms=since_ms)


def make_list(revision: int, *rows: dict[str, Any], complete: bool = True) -> MemberList:
    return NAMES.member_list(member_list(revision, list(rows), complete))


class ServersScenario:
    """The server table of a sidecar whose list, at revision 5, has s-0 to s-3 as up."""

    def __init__(self) -> None:
        self.orders: dict[str, Order] = {}
        self.servers = Servers(self.orders, 0, fleet_size=FLEET)
        self.apply_list(5, *map(row, range(4)))

    def apply_list(self, revision: int, *rows: dict[str, Any], complete: bool = True) -> set[int]:
        update = make_list(revision, *rows, complete=complete)
        self.servers.apply(update, ListForm.FULL if complete else ListForm.DELTA)
        return self.in_use()

    def apply_peer_report(self, sender: int, revision: int, *down: int) -> set[int]:
        standing = {f"s-{n}": n not in down for n in range(4)}
        self.servers.refresh(self.servers.peer_reported(sender, revision, standing))
        return self.in_use()

    def in_use(self) -> set[int]:
        return {int(self.servers.ids[number].removeprefix("s-")) for number in self.servers.ready}


@pytest.mark.parametrize("out", [[row(0, "draining")], [{"id": "s-0", "phase": "removed"}], None])
@pytest.mark.parametrize("revision", [4, 6])
def test_a_full_list_no_newer_than_a_withdrawal_does_not_restore_the_server(
    out: list[dict[str, Any]] | None, revision: int
) -> None:
    scenario = ServersScenario()
    scenario.apply_list(6, *(out or map(row, range(1, 4))), complete=out is None)
    assert scenario.apply_list(revision, *map(row, range(4))) == {1, 2, 3}
    assert scenario.apply_list(revision, row(0), complete=False) == {1, 2, 3}
    assert scenario.apply_list(7, row(0), complete=False) == {0, 1, 2, 3}  # a newer revision


def test_a_later_start_time_is_a_new_process_and_an_earlier_one_is_not() -> None:
    scenario = ServersScenario()
    scenario.apply_list(6, row(0, "draining", 2_000), complete=False)
    assert scenario.apply_list(6, row(0, since_ms=1_000), complete=False) == {1, 2, 3}
    assert scenario.apply_list(6, row(0, since_ms=3_000), complete=False) == {0, 1, 2, 3}


def test_a_stale_list_restores_a_server_that_started_after_the_latest_list() -> None:
    scenario = ServersScenario()
    scenario.apply_list(6, row(0, "draining", 2_000), complete=False)
    assert scenario.apply_list(4, *(row(n, since_ms=3_000) for n in range(4))) == {1, 2, 3}
    since_ms = (time.monotonic_ns() + 10**9) // 10**6
    assert scenario.apply_list(4, row(0, since_ms=since_ms), complete=False) == {0, 1, 2, 3}


def test_a_stale_list_adds_no_server_that_the_latest_list_does_not_have() -> None:
    """The server may have been removed before the later list, with which this process started."""
    scenario = ServersScenario()
    assert scenario.apply_list(3, *map(row, range(6))) == {0, 1, 2, 3}
    assert scenario.servers.is_behind
    assert scenario.apply_list(4, row(5, "draining"), complete=False) == {0, 1, 2, 3}
    # The revision has caught up, and s-4 is still listed.
    assert scenario.apply_list(5, row(3), complete=False) == {0, 1, 2, 3, 4}
    assert not scenario.servers.is_behind


def test_a_withdrawal_in_a_stale_list_applies_at_once() -> None:
    """Discovery may have restarted its revision numbers, in which case the list is the latest."""
    scenario = ServersScenario()
    assert scenario.apply_list(1, *map(row, range(4))) == {0, 1, 2, 3}
    assert scenario.apply_list(2, row(1, "draining"), complete=False) == {0, 2, 3}


def test_the_last_update_of_a_replaced_stream_withdraws_servers_and_adds_none() -> None:
    scenario = ServersScenario()
    late = make_list(6, row(0, "draining"), row(7), {"id": "s-1", "phase": "removed"}, complete=False)
    scenario.servers.refresh(scenario.servers.withdraw(late))
    assert scenario.in_use() == {2, 3}
    assert scenario.apply_list(6, row(0, "draining"), complete=False) == {2, 3}
    assert scenario.apply_list(7, row(1), complete=False) == {1, 2, 3}
    assert scenario.servers.withdraw(make_list(7, row(2, "draining"), complete=False)) == []  # not newer


@pytest.mark.parametrize("is_out", [False, True])
def test_an_operators_order_does_not_restore_a_server_withdrawn_by_a_later_list(is_out: bool) -> None:
    """Enabling a server by order leaves what discovery reports about it in force."""
    scenario = ServersScenario()
    scenario.apply_list(6, row(0, "draining"), complete=False)
    scenario.orders["s-0"] = Order(is_out, 10**12)
    assert scenario.apply_list(4, *map(row, range(4))) == {1, 2, 3}
    scenario.servers.refresh(["s-0"])
    assert scenario.in_use() == {1, 2, 3}
    assert scenario.apply_list(7, row(0), complete=False) == ({1, 2, 3} if is_out else {0, 1, 2, 3})


def test_restarted_revision_numbers_withdraw_no_server_permanently(monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = ServersScenario()
    scenario.apply_list(6, row(0, "draining"), complete=False)
    assert scenario.apply_list(1, *map(row, range(6))) == {1, 2, 3}
    now = [10**12]
    monkeypatch.setattr("anisespool.servers.time.monotonic_ns", lambda: now[0])
    for turn in range(3):  # an empty line every 2 s counts towards the reset time, silence does not
        scenario.servers.refresh(scenario.servers.discovery_caught_up())
        assert scenario.in_use() == {1, 2, 3}
        now[0] += withdrawals.REVISION_RESET_NS - 1 if turn != 1 else 10 * withdrawals.REVISION_RESET_NS
        if turn == 1:
            scenario.servers.mark_list_stale()
    now[0] += 1
    scenario.servers.refresh(scenario.servers.discovery_caught_up())
    assert scenario.in_use() == {0, 1, 2, 3, 4, 5} and not scenario.servers.is_behind
    assert scenario.apply_list(2, row(0, "draining"), complete=False) == {1, 2, 3, 4, 5}
    assert scenario.apply_list(3, row(0), complete=False) == {0, 1, 2, 3, 4, 5}


def test_one_peer_with_a_later_list_withdraws_servers_but_not_all_of_them() -> None:
    scenario = ServersScenario()
    scenario.servers.mark_list_stale()
    assert scenario.apply_peer_report(1, 4, 0) == {0, 1, 2, 3}  # older than the list in use
    assert scenario.apply_peer_report(1, 6, 0, 1) == {2, 3}
    assert scenario.apply_peer_report(2, 7, 0) == {1, 2, 3}  # the later of two reports counts
    # One peer reports every server as down: only the server that another peer reports too is withdrawn.
    assert scenario.apply_peer_report(1, 8, 0, 1, 2, 3) == {1, 2, 3}
    assert scenario.apply_peer_report(2, 8, 0, 1, 2, 3) == set()  # a quorum


def test_reports_are_kept_from_few_peers_and_only_for_servers_reported_down() -> None:
    scenario = ServersScenario()
    scenario.servers.mark_list_stale()
    for peer in range(200):
        scenario.apply_peer_report(peer, 6 + peer, 0)
    reports = scenario.servers._withdrawals._peer_reports
    assert {server: len(each) for server, each in reports.items()} == {
        "s-0": withdrawals.MAX_REPORTS_PER_SERVER
    }
    assert scenario.apply_peer_report(3, 300) == {0, 1, 2, 3}  # the latest report
    assert scenario.apply_list(400, *map(row, range(4))) == {0, 1, 2, 3}
    assert not reports and not scenario.servers._withdrawals._peer_reports


def test_a_peers_report_holds_until_the_list_in_use_has_its_revision() -> None:
    scenario = ServersScenario()
    scenario.servers.mark_list_stale()
    assert scenario.apply_peer_report(1, 8, 0) == {1, 2, 3}
    assert scenario.apply_list(6, *map(row, range(4))) == {1, 2, 3}
    assert scenario.apply_list(7, row(0), complete=False) == {1, 2, 3}
    assert scenario.apply_list(8, row(3), complete=False) == {0, 1, 2, 3}
    assert scenario.apply_peer_report(1, 8, 0) == {0, 1, 2, 3}  # discovery's list has this revision


Standing = dict[int, tuple[str, int]]  # server -> phase, start


class History:
    """Discovery's list at each revision. As in the protocol, each start has a new time, and a draining
    server returns only with a new start."""

    def __init__(self, draw: random.Random, length: int) -> None:
        self.states: list[Standing] = [{n: ("up", 1) for n in range(5)}]
        for clock in range(2, length + 2):
            state = dict(self.states[-1])
            n = draw.randrange(8)
            phase = state.get(n, ("", 0))[0]
            if phase == "up":
                state[n] = ("draining", state[n][1])
            elif phase == "draining" and draw.random() < 0.5:
                del state[n]
            else:
                state[n] = ("up", clock)
            self.states.append(state)

    def up(self, revision: int) -> Standing:
        return {n: entry for n, entry in self.states[revision].items() if entry[0] == "up"}

    def whole(self, revision: int) -> list[dict[str, Any]]:
        return [row(n, phase, since) for n, (phase, since) in self.states[revision].items()]

    def change(self, after: int, revision: int) -> list[dict[str, Any]]:
        old, new = self.states[after], self.states[revision]
        changed = [row(n, *new[n]) for n in new if old.get(n) != new[n]]
        return changed + [{"id": f"s-{n}", "phase": "removed"} for n in old.keys() - new.keys()]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), length=st.integers(2, 30), steps=st.integers(1, 30))
def test_no_order_of_updates_puts_a_withdrawn_server_in_use(seed: int, length: int, steps: int) -> None:
    """Streams of any age send full lists and changes. With the latest revision, the servers in use are just
    those that it has as up."""
    draw = random.Random(seed)
    history, servers = History(draw, length), Servers({}, 0, fleet_size=FLEET)
    revision = latest = draw.randrange(length)
    servers.apply(make_list(revision, *history.whole(revision)), ListForm.CACHED)
    for _ in range(steps):
        if draw.random() < 0.4:  # another stream
            revision, complete = draw.randrange(length), True
            rows = history.whole(revision)
        else:
            after, revision = revision, draw.randrange(revision, length)
            rows, complete = history.change(after, revision), False
        form = ListForm.FULL if complete else ListForm.DELTA
        servers.apply(make_list(revision, *rows, complete=complete), form)
        latest = max(latest, revision)
        ids = {int(servers.ids[number].removeprefix("s-")) for number in servers.ready}
        in_use = {n: ("up", servers.members[f"s-{n}"].up_since_ms) for n in ids}
        assert in_use.items() <= history.up(latest).items()
        if revision == latest:
            assert in_use == history.up(latest)

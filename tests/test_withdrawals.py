"""What is out stays out until later word, whichever list has it as up. No sockets."""

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


def listed(revision: int, *rows: dict[str, Any], complete: bool = True) -> MemberList:
    return NAMES.member_list(member_list(revision, list(rows), complete))


class Scene:
    """A sidecar's servers, told by discovery at revision 5 that s-0 to s-3 are up."""

    def __init__(self) -> None:
        self.orders: dict[str, Order] = {}
        self.servers = Servers(self.orders, 0, fleet_size=FLEET)
        self.tell(5, *map(row, range(4)))

    def tell(self, revision: int, *rows: dict[str, Any], complete: bool = True) -> set[int]:
        update = listed(revision, *rows, complete=complete)
        self.servers.apply(update, ListForm.FULL if complete else ListForm.DELTA)
        return self.in_use()

    def peer(self, sender: int, revision: int, *down: int) -> set[int]:
        standing = {f"s-{n}": n not in down for n in range(4)}
        self.servers.refresh(self.servers.peer_reported(sender, revision, standing))
        return self.in_use()

    def in_use(self) -> set[int]:
        return {int(self.servers.ids[number].removeprefix("s-")) for number in self.servers.ready}


@pytest.mark.parametrize("out", [[row(0, "draining")], [{"id": "s-0", "phase": "removed"}], None])
@pytest.mark.parametrize("revision", [4, 6])
def test_a_whole_list_no_later_than_the_word_on_a_server_does_not_bring_it_back(
    out: list[dict[str, Any]] | None, revision: int
) -> None:
    it = Scene()
    it.tell(6, *(out or map(row, range(1, 4))), complete=out is None)
    assert it.tell(revision, *map(row, range(4))) == {1, 2, 3}
    assert it.tell(revision, row(0), complete=False) == {1, 2, 3}
    assert it.tell(7, row(0), complete=False) == {0, 1, 2, 3}  # later word


def test_a_new_start_is_another_process_and_an_older_one_is_not() -> None:
    it = Scene()
    it.tell(6, row(0, "draining", 2_000), complete=False)
    assert it.tell(6, row(0, since_ms=1_000), complete=False) == {1, 2, 3}
    assert it.tell(6, row(0, since_ms=3_000), complete=False) == {0, 1, 2, 3}


def test_in_a_list_behind_a_new_start_counts_if_it_came_after_the_latest_list() -> None:
    it = Scene()
    it.tell(6, row(0, "draining", 2_000), complete=False)
    assert it.tell(4, *(row(n, since_ms=3_000) for n in range(4))) == {1, 2, 3}
    since_ms = (time.monotonic_ns() + 10**9) // 10**6
    assert it.tell(4, row(0, since_ms=since_ms), complete=False) == {0, 1, 2, 3}


def test_a_list_behind_brings_in_no_server_that_the_latest_list_did_not_have() -> None:
    """It may have left since, and nobody here remembers: this process began with the later list."""
    it = Scene()
    assert it.tell(3, *map(row, range(6))) == {0, 1, 2, 3}
    assert it.servers.is_behind
    assert it.tell(4, row(5, "draining"), complete=False) == {0, 1, 2, 3}
    assert it.tell(5, row(3), complete=False) == {0, 1, 2, 3, 4}  # caught up, and s-4 is still there
    assert not it.servers.is_behind


def test_what_a_list_behind_takes_out_is_out_at_once() -> None:
    """Its revisions may have begun anew, and then it is the latest."""
    it = Scene()
    assert it.tell(1, *map(row, range(4))) == {0, 1, 2, 3}
    assert it.tell(2, row(1, "draining"), complete=False) == {0, 2, 3}


def test_the_last_line_of_a_stream_that_was_replaced_takes_out_and_brings_nothing() -> None:
    it = Scene()
    late = listed(6, row(0, "draining"), row(7), {"id": "s-1", "phase": "removed"}, complete=False)
    it.servers.refresh(it.servers.withdraw(late))
    assert it.in_use() == {2, 3}
    assert it.tell(6, row(0, "draining"), complete=False) == {2, 3}
    assert it.tell(7, row(1), complete=False) == {1, 2, 3}
    assert it.servers.withdraw(listed(7, row(2, "draining"), complete=False)) == []  # not later


@pytest.mark.parametrize("is_out", [False, True])
def test_an_operators_order_brings_back_nothing_that_is_out_by_a_later_list(is_out: bool) -> None:
    """Called back by them, it is still what discovery has said of it."""
    it = Scene()
    it.tell(6, row(0, "draining"), complete=False)
    it.orders["s-0"] = Order(is_out, 10**12)
    assert it.tell(4, *map(row, range(4))) == {1, 2, 3}
    it.servers.refresh(["s-0"])
    assert it.in_use() == {1, 2, 3}
    assert it.tell(7, row(0), complete=False) == ({1, 2, 3} if is_out else {0, 1, 2, 3})


def test_revisions_that_begin_anew_shut_nothing_out_for_good(monkeypatch: pytest.MonkeyPatch) -> None:
    it = Scene()
    it.tell(6, row(0, "draining"), complete=False)
    assert it.tell(1, *map(row, range(6))) == {1, 2, 3}
    now = [10**12]
    monkeypatch.setattr("anisespool.servers.time.monotonic_ns", lambda: now[0])
    for turn in range(3):  # an empty line every 2 s counts, silence does not
        it.servers.refresh(it.servers.discovery_caught_up())
        assert it.in_use() == {1, 2, 3}
        now[0] += withdrawals.REVISION_RESET_NS - 1 if turn != 1 else 10 * withdrawals.REVISION_RESET_NS
        if turn == 1:
            it.servers.mark_list_stale()
    now[0] += 1
    it.servers.refresh(it.servers.discovery_caught_up())
    assert it.in_use() == {0, 1, 2, 3, 4, 5} and not it.servers.is_behind
    assert it.tell(2, row(0, "draining"), complete=False) == {1, 2, 3, 4, 5}
    assert it.tell(3, row(0), complete=False) == {0, 1, 2, 3, 4, 5}


def test_one_peer_with_a_later_list_is_enough_but_not_to_leave_nothing() -> None:
    it = Scene()
    it.servers.mark_list_stale()
    assert it.peer(1, 4, 0) == {0, 1, 2, 3}  # older than the list in use
    assert it.peer(1, 6, 0, 1) == {2, 3}
    assert it.peer(2, 7, 0) == {1, 2, 3}  # the later word of two
    assert it.peer(1, 8, 0, 1, 2, 3) == {1, 2, 3}  # one alone, of all: where the other agrees
    assert it.peer(2, 8, 0, 1, 2, 3) == set()  # a quorum


def test_what_peers_say_is_kept_of_few_peers_and_of_servers_that_one_has_as_out() -> None:
    it = Scene()
    it.servers.mark_list_stale()
    for peer in range(200):
        it.peer(peer, 6 + peer, 0)
    words = it.servers._withdrawals._peer_reports
    assert {server: len(each) for server, each in words.items()} == {
        "s-0": withdrawals.MAX_REPORTS_PER_SERVER
    }
    assert it.peer(3, 300) == {0, 1, 2, 3}  # the latest word
    assert it.tell(400, *map(row, range(4))) == {0, 1, 2, 3}
    assert not words and not it.servers._withdrawals._peer_reports


def test_a_peers_word_holds_until_the_list_in_use_is_as_late() -> None:
    it = Scene()
    it.servers.mark_list_stale()
    assert it.peer(1, 8, 0) == {1, 2, 3}
    assert it.tell(6, *map(row, range(4))) == {1, 2, 3}
    assert it.tell(7, row(0), complete=False) == {1, 2, 3}
    assert it.tell(8, row(3), complete=False) == {0, 1, 2, 3}
    assert it.peer(1, 8, 0) == {0, 1, 2, 3}  # discovery's own word is of the same revision


Standing = dict[int, tuple[str, int]]  # server -> phase, start


class History:
    """What discovery had, revision by revision; every start is a new one, and what drains never returns
    without one, as the protocol has it."""

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
def test_whatever_streams_tell_nothing_is_in_use_that_was_told_out(
    seed: int, length: int, steps: int
) -> None:
    """Streams of any age, by whole lists and changes, with restarts from the list in use; a list as late as
    any has in use just what it has as up."""
    draw = random.Random(seed)
    history, servers = History(draw, length), Servers({}, 0, fleet_size=FLEET)
    revision = latest = draw.randrange(length)
    servers.apply(listed(revision, *history.whole(revision)), ListForm.CACHED)
    for _ in range(steps):
        if draw.random() < 0.4:  # another stream
            revision, complete = draw.randrange(length), True
            rows = history.whole(revision)
        else:
            after, revision = revision, draw.randrange(revision, length)
            rows, complete = history.change(after, revision), False
        form = ListForm.FULL if complete else ListForm.DELTA
        servers.apply(listed(revision, *rows, complete=complete), form)
        latest = max(latest, revision)
        ids = {int(servers.ids[number].removeprefix("s-")) for number in servers.ready}
        in_use = {n: ("up", servers.members[f"s-{n}"].up_since_ms) for n in ids}
        assert in_use.items() <= history.up(latest).items()
        if revision == latest:
            assert in_use == history.up(latest)

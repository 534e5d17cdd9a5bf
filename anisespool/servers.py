"""The servers as discovery listed them, under the numbers that the module knows them by and the ids of
peers, and which of them are in use. It has no socket."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anisespool.clock import SteadyClock
from anisespool.config import Member, MemberList
from anisespool.log import say
from anisespool.peers import shared_id
from anisespool.state.records import Order
from anisespool.withdrawals import Withdrawals
from shuntlead.interface import EndpointState, ListedEndpoint, ListForm

LATEST_LIST_NS = 15_000_000_000  # by how much a list is late at most, with some to spare
MOST_NAMED = 12  # servers in a line of the log
MOST_LEFT = 4096  # ids remembered of servers that the list no longer has


class ListChange(NamedTuple):
    """What a list, or a change of one, has made of the servers."""

    rows: list[tuple[Member, ListedEndpoint]]  # the servers that it has, with their rows for the module
    gone: list[int]  # the numbers of those that it no longer has
    summary: str  # for the log


class Servers:
    def __init__(
        self,
        orders: Mapping[str, Order],
        epoch_ns: int,
        clock: SteadyClock | None = None,
        fleet_size: int = 1,
    ) -> None:
        """`orders`: what the operators have said of servers, kept up to date by its owner. `epoch_ns`: Unix
        time less monotonic time, of the clock that dates the orders. `clock`: what dates the servers'
        starts; None leaves them as they were listed."""
        self._orders, self._epoch_ns, self._clock = orders, epoch_ns, clock
        self._heard_ns = 0  # monotonic time of discovery's last word; 0: none yet
        self._called_back: dict[str, tuple[int, int]] = {}  # the order's Unix ms, and monotonic time
        self._withdrawals = Withdrawals(fleet_size)
        self.members: dict[str, Member] = {}  # as last listed, whatever else is known of them
        self._left: dict[str, Member | None] = {}  # have been listed and are no more, the latest last
        self.revision = 0  # of the list in use
        self.discovery_spoke = False  # since the start, or since its list became old
        self.numbers: dict[str, int] = {}  # id -> its number; one that is gone never returns
        self.ids: dict[int, str] = {}  # the same by the number
        self.shared: dict[int, int] = {}  # number -> what peers call it
        self.by_shared: dict[int, int] = {}
        self.ready: set[int] = set()  # in use
        self._next_number = 0

    # Lists ------------------------------------------------------------------------------------------

    def apply(self, update: MemberList, form: ListForm) -> ListChange:
        """Take up a list or a change."""
        before = self.revision
        was_up = {m.id for m in update.members if self.numbers.get(m.id) in self.ready}
        self._withdrawals.begin(update.revision, self._in_use())
        self.revision = update.revision
        self.discovery_spoke |= form is not ListForm.CACHED
        if self._clock:
            self._clock.look()
        dropped: list[str] = []
        if form is not ListForm.DELTA:
            dropped = sorted(self.numbers.keys() - {member.id for member in update.members})
        gone = [self._leave(server, update.revision) for server in dropped]
        listed: dict[str, Member] = {}
        left: list[tuple[Member, ListedEndpoint]] = []
        for member in map(self._dated, update.members):
            if member.row.state == EndpointState.GONE:
                left.append((member, member.row._replace(endpoint=self._number(member))))
                gone.append(self._leave(member.id, update.revision))
                listed.pop(member.id, None)
            else:
                self._list(member, update.revision)
                listed[member.id] = member
        now_ns = time.monotonic_ns()
        also = self._withdrawals.end(update.revision, now_ns, self._listed_up)
        rows = left + self.refresh([*listed, *(also - listed.keys())])
        is_up = {member.id for member, row in rows if row.state == EndpointState.READY}
        kind = "change" if form is ListForm.DELTA else "whole list"
        summary = (
            f"revision {before} to {update.revision}, {kind} from {update.source}: "
            f"out {some(was_up - is_up)}, gone {some(dropped)}, up {some(is_up - was_up)}; "
            f"{len(self.ready)} of {len(self.members)} in use"
        )
        if self._withdrawals.is_behind:
            summary += f"; behind revision {self._withdrawals.revision}, which stays in force for what is out"
        return ListChange(rows, gone, summary)

    def _list(self, member: Member, revision: int) -> None:
        self._number(member)
        self.members[member.id] = member
        self._left.pop(member.id, None)
        if member.row.state == EndpointState.READY:
            self._withdrawals.told_up(member, revision)
        else:
            self._withdrawals.told_out(member.id, member.up_since_ms, revision)

    def _leave(self, server: str, revision: int) -> int:
        """The list no longer has it."""
        member = self.members.get(server)
        self._withdrawals.told_out(server, member.up_since_ms if member else 0, revision)
        return self._drop(server)

    def refresh(self, ids: Iterable[str]) -> list[tuple[Member, ListedEndpoint]]:
        """The rows, for the module, of those that are listed, by all that is known of them now."""
        rows = []
        for member in [self.members[server] for server in ids if server in self.members]:
            number, row = self.numbers[member.id], self.ordered(member)
            rows.append((member, row._replace(endpoint=number)))
            (self.ready.add if row.state == EndpointState.READY else self.ready.discard)(number)
        return rows

    def withdraw(self, update: MemberList) -> list[str]:
        """Of a later line that is not part of the list in use: only what it takes out of use counts. The ids
        of these servers."""
        if update.revision <= self.revision:
            return []
        taken = []
        for told in update.members:
            member = self.members.get(told.id)
            if member is None or told.row.state == EndpointState.READY:
                continue
            if told.row.state == EndpointState.GONE or told.up_since_ms >= member.up_since_ms:
                self._withdrawals.told_out_elsewhere(member, update.revision)
                taken.append(told.id)
        return taken

    def heard(self) -> set[str]:
        """Discovery has just said all that it has to say. What it tells next has happened since. The servers
        that are in use from now on, as discovery goes on telling them."""
        self._heard_ns = time.monotonic_ns()
        return self._withdrawals.spoke(self._heard_ns, self.revision)

    def list_is_old(self) -> None:
        """Discovery has not been heard for a while."""
        self.discovery_spoke = False
        self._withdrawals.fell_silent()

    def peer_said(self, peer: int, revision: int, standing: Mapping[str, bool]) -> set[str]:
        """A peer's list of that revision has these servers as up, or not. The servers for which that
        changes something; an older list than the one in use says nothing."""
        if revision < self.revision or revision == self.revision and self.discovery_spoke:
            return set()
        return self._withdrawals.peer_said(peer, revision, standing, self._listed_up)

    # What is in use -------------------------------------------------------------------------------------

    @property
    def is_behind(self) -> bool:
        """Whether the list in use is older than one that was told before."""
        return self._withdrawals.is_behind

    def is_held(self, server: str) -> bool:
        """Whether a server that the list in use has as up is out all the same."""
        member = self.members.get(server)
        return member is not None and self._withdrawals.holds(member)

    def ordered(self, member: Member) -> ListedEndpoint:
        """What the list says of a server, over it what has been told of it elsewhere, and over that what the
        operators say: one that is out takes nothing new, and one that they called back has been restarted,
        whether or not the list has it yet."""
        row, order = member.row, self._orders.get(member.id)
        if row.state == EndpointState.READY and self._withdrawals.holds(member):
            row = row._replace(state=EndpointState.DRAINING)
        if order is None or row.state == EndpointState.GONE:
            return row
        if order.out:
            return row._replace(state=EndpointState.DRAINING)
        return row._replace(started_ns=max(row.started_ns, self._called_back_ns(member.id, order)))

    def _called_back_ns(self, member_id: str, order: Order) -> int:
        """When an order was given, at the latest when it was first heard of here: it may be dated by the
        clock of another boot."""
        known = self._called_back.get(member_id)
        if known is None or known[0] != order.at_ms:
            at_ns = min(order.at_ms * 1_000_000 - self._epoch_ns, time.monotonic_ns())
            known = self._called_back[member_id] = order.at_ms, at_ns
        return known[1]

    def _listed_up(self) -> Iterable[Member]:
        return (m for m in self.members.values() if m.row.state == EndpointState.READY)

    def _in_use(self) -> Iterable[Member]:
        return (member for member in self._listed_up() if not self._withdrawals.holds(member))

    def up(self) -> list[int]:
        """The shared ids of the servers that are up by all lists, whatever operators say."""
        return [shared_id(member.id) for member in self._in_use()]

    def names_of(self, numbers: Iterable[int]) -> list[str]:
        return [self.ids[n] for n in numbers if n in self.ids]

    # Their numbers and dates ------------------------------------------------------------------------------

    def _dated(self, member: Member) -> Member:
        """With the monotonic time of its start. One start has one date, however often it is listed, and
        whatever became of the wall clock meanwhile. A list is some seconds late; one that is new in it and
        seems much older than discovery's last word without it was dated by a clock that has stepped, and
        counts from that word: dated too early, a cold server passes for warm."""
        if not member.up_since_ms or self._clock is None:
            return member
        known = self.members.get(member.id) or self._left.get(member.id)
        if known and known.up_since_ms == member.up_since_ms:
            started_ns = known.row.started_ns
        else:
            started_ns = max(1, self._clock.passed_ns(member.up_since_ms))
            if started_ns < self._heard_ns - LATEST_LIST_NS:
                started_ns = self._heard_ns
        return member._replace(row=member.row._replace(started_ns=started_ns))

    def _number(self, member: Member) -> int:
        if member.id not in self.numbers:
            self._next_number += 1
            self.numbers[member.id] = self._next_number
            self.ids[self._next_number] = member.id
            self.shared[self._next_number] = shared_id(member.id)
            self.by_shared[shared_id(member.id)] = self._next_number
            place = "{}:{}".format(*member.address)  # the module's lines name it by its number
            say("driver", f"endpoint {self._next_number} is {member.id} at {place}")
        return self.numbers[member.id]

    def _drop(self, member_id: str) -> int:
        number = self.numbers.pop(member_id)
        del self.ids[number]
        self._left[member_id] = self.members.pop(member_id, None)
        if len(self._left) > MOST_LEFT:
            self._left.pop(next(iter(self._left)))
        self.by_shared.pop(self.shared.pop(number), None)
        self.ready.discard(number)
        return number

    def has_listed(self, member_id: str) -> bool:
        return member_id in self.members or member_id in self._left


def some(names: Iterable[str]) -> str:
    """The first of them, for a line of the log."""
    ordered = sorted(names)
    more = f" and {len(ordered) - MOST_NAMED} more" if len(ordered) > MOST_NAMED else ""
    return " ".join(ordered[:MOST_NAMED]) + more or "-"

"""The servers as discovery listed them, under the numbers that the module knows them by and the ids of
peers. It decides nothing, and has no socket."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping

from anisespool.config import Member, MemberList
from anisespool.log import say
from anisespool.peers import shared_id
from anisespool.state.records import Order
from anisespool.steady import SteadyClock
from shuntlead.interface import EndpointState, Listed, RosterForm

LATEST_LIST_NS = 15_000_000_000  # by how much a list is late at most, with some to spare
OPERATORS = "operators"
MOST_NAMED = 12  # servers in a line of the log
MOST_LEFT = 4096  # ids remembered of servers that the list no longer has


class Servers:
    def __init__(self, orders: Mapping[str, Order], epoch_ns: int, clock: SteadyClock | None = None) -> None:
        """`orders`: what the operators have said of servers, kept up to date by its owner. `epoch_ns`: Unix
        time less monotonic time, of the clock that dates the orders. `clock`: what dates the servers'
        starts; None leaves them as they were listed."""
        self._orders, self._epoch_ns, self._clock = orders, epoch_ns, clock
        self._heard_ns = 0  # monotonic time of discovery's last word; 0: none yet
        self._called_back: dict[str, tuple[int, int]] = {}  # the order's Unix ms, and monotonic time
        self.members: dict[str, Member] = {}  # as last listed, whatever the operators say
        self._left: dict[str, Member | None] = {}  # have been listed and are no more, the latest last
        self.revision = 0
        self.discovery_spoke = False  # since the start, or since its list became old
        self.numbers: dict[str, int] = {}  # id -> its number; one that is gone never returns
        self.ids: dict[int, str] = {}  # the same by the number
        self.shared: dict[int, int] = {}  # number -> what peers call it
        self.by_shared: dict[int, int] = {}
        self.ready: set[int] = set()
        self._next_number = 0
        self.last_change = ""  # what the list last taken up has changed, for the log

    def apply(self, update: MemberList, form: RosterForm) -> tuple[list[tuple[Member, Listed]], list[int]]:
        """Take up a list or a change. The servers that it has, with their rows for the module, and the
        numbers of those that it no longer has."""
        before, was = self.revision, {m.id for m in update.members if self.numbers.get(m.id) in self.ready}
        self.revision = update.revision
        gone: list[int] = []
        rows: list[tuple[Member, Listed]] = []
        dropped: list[str] = []
        self.discovery_spoke |= form is not RosterForm.CACHED
        if self._clock:
            self._clock.look()
        if form is not RosterForm.DELTA:
            dropped = sorted(self.numbers.keys() - {member.id for member in update.members})
            gone += map(self._drop, dropped)
        for member in map(self._dated, update.members):
            number, row = self._number(member), self.ordered(member)
            rows.append((member, row._replace(endpoint=number)))
            if row.state == EndpointState.GONE:
                gone.append(self._drop(member.id))
                continue
            self.members[member.id] = member
            self._left.pop(member.id, None)
            (self.ready.add if row.state == EndpointState.READY else self.ready.discard)(number)
        now = {member.id for member, row in rows if row.state == EndpointState.READY}
        form_name = "change" if form is RosterForm.DELTA else "whole list"
        self.last_change = (
            f"revision {before} to {update.revision}, {form_name} from {update.source}: "
            f"out {_some(was - now)}, gone {_some(dropped)}, up {_some(now - was)}; "
            f"{len(self.ready)} of {len(self.members)} up"
        )
        return rows, gone

    def heard(self) -> None:
        """Discovery has just said all that it has to say. What it tells next has happened since."""
        self._heard_ns = time.monotonic_ns()

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

    def ordered(self, member: Member) -> Listed:
        """What the list says of a server, and over it what the operators say: one that is out takes nothing
        new, and one that they called back has been restarted, whether or not the list has it yet."""
        row, order = member.row, self._orders.get(member.id)
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

    def reordered(self, member_ids: Iterable[str]) -> tuple[MemberList, RosterForm]:
        """Those of the servers that are listed, to be taken up anew under changed orders. Until discovery has
        spoken that is the whole list of the start: a change of it would pass for discovery's word, which ends
        what peers' later lists say."""
        known = tuple(self.members[m] for m in member_ids if m in self.members)
        if self.discovery_spoke or not known:
            return MemberList(self.revision, False, known, OPERATORS), RosterForm.DELTA
        return MemberList(self.revision, True, tuple(self.members.values()), OPERATORS), RosterForm.CACHED

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

    def up(self) -> list[int]:
        """The shared ids of the servers that the list has as up, whatever operators say."""
        return [shared_id(m.id) for m in self.members.values() if m.row.state == EndpointState.READY]

    def names_of(self, numbers: Iterable[int]) -> list[str]:
        return [self.ids[n] for n in numbers if n in self.ids]


def _some(names: Iterable[str]) -> str:
    """The first of them, for a line of the log."""
    ordered = sorted(names)
    more = f" and {len(ordered) - MOST_NAMED} more" if len(ordered) > MOST_NAMED else ""
    return " ".join(ordered[:MOST_NAMED]) + more or "-"

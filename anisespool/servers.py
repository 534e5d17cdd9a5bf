"""The servers of discovery's list, their numbers in the balancer and their shared ids among peers, and which
of them are in use. No I/O."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anisespool.clock import SteadyClock
from anisespool.config import Member, MemberList
from anisespool.log import log_info
from anisespool.peers import shared_id
from anisespool.state.records import Order
from anisespool.withdrawals import Withdrawals
from shuntlead.interface import EndpointState, ListedEndpoint, ListForm

MAX_LIST_DELAY_NS = 15_000_000_000  # maximum age of a list when it is received, with a margin
MAX_LOGGED_NAMES = 12  # servers per log line
MAX_FORMER = 4096  # servers remembered after their removal from the list


class ListChange(NamedTuple):
    """The effect of a list, or of a change of one, on the servers."""

    rows: list[tuple[Member, ListedEndpoint]]  # the servers listed or affected, with their rows
    gone: list[int]  # the numbers of the servers removed
    summary: str  # for the log


class Servers:
    def __init__(
        self,
        orders: Mapping[str, Order],
        epoch_ns: int,
        clock: SteadyClock | None = None,
        fleet_size: int = 1,
    ) -> None:
        """`orders`: the operators' orders to take servers out of service or put them back, kept up to date by
        the caller. `epoch_ns`: Unix time minus monotonic time, for the times of orders. `clock` converts the
        start times of servers; with None they stay as listed."""
        self._orders, self._epoch_ns, self._clock = orders, epoch_ns, clock
        self._caught_up_ns = 0  # monotonic time of discovery's last message; 0: none yet
        self._enabled_at: dict[str, tuple[int, int]] = {}  # the order's Unix time in ms, and monotonic time
        self._withdrawals = Withdrawals(fleet_size)
        self.members: dict[str, Member] = {}  # by id, as last listed
        self._former: dict[str, Member | None] = {}  # no longer listed, the most recent last
        self.revision = 0  # of the list in use
        self.discovery_heard = False  # since the start, or since the list became stale
        self.numbers: dict[str, int] = {}  # by id; a number is never used again after its server was removed
        self.ids: dict[int, str] = {}  # by number
        self.shared_ids: dict[int, int] = {}  # the ids used among peers, by number
        self.number_by_shared_id: dict[int, int] = {}  # numbers by shared id
        self.ready: set[int] = set()  # numbers of the servers in use
        self._next_number = 0

    # Lists ------------------------------------------------------------------------------------------

    def apply(self, update: MemberList, form: ListForm) -> ListChange:
        """Applies a list or a change."""
        before = self.revision
        was_up = {m.id for m in update.members if self.numbers.get(m.id) in self.ready}
        self._withdrawals.begin_list(update.revision, self._in_use())
        self.revision = update.revision
        self.discovery_heard |= form is not ListForm.CACHED
        if self._clock:
            self._clock.detect_step()
        missing: list[str] = []
        if form is not ListForm.DELTA:
            missing = sorted(self.numbers.keys() - {member.id for member in update.members})
        gone = [self._remove(server, update.revision) for server in missing]
        listed: dict[str, Member] = {}
        gone_rows: list[tuple[Member, ListedEndpoint]] = []
        for member in map(self._with_start_time, update.members):
            if member.row.state == EndpointState.GONE:
                gone_rows.append((member, member.row._replace(endpoint=self._assign_number(member))))
                gone.append(self._remove(member.id, update.revision))
                listed.pop(member.id, None)
            else:
                self._apply_row(member, update.revision)
                listed[member.id] = member
        now_ns = time.monotonic_ns()
        affected = self._withdrawals.end_list(update.revision, now_ns, self._listed_up)
        rows = gone_rows + self.refresh([*listed, *(affected - listed.keys())])
        is_up = {member.id for member, row in rows if row.state == EndpointState.READY}
        kind = "change" if form is ListForm.DELTA else "whole list"
        summary = (
            f"revision {before} to {update.revision}, {kind} from {update.source}: "
            f"down {abbreviate(was_up - is_up)}, removed {abbreviate(missing)}, "
            f"up {abbreviate(is_up - was_up)}; "
            f"{len(self.ready)} of {len(self.members)} in use"
        )
        if self._withdrawals.is_behind:
            summary += f"; older than revision {self._withdrawals.revision}, whose withdrawals stay in force"
        return ListChange(rows, gone, summary)

    def _apply_row(self, member: Member, revision: int) -> None:
        self._assign_number(member)
        self.members[member.id] = member
        self._former.pop(member.id, None)
        if member.row.state == EndpointState.READY:
            self._withdrawals.record_up(member, revision)
        else:
            self._withdrawals.record_withdrawal(member.id, member.up_since_ms, revision)

    def _remove(self, server: str, revision: int) -> int:
        """Removes a server that is no longer in the list; returns its number."""
        member = self.members.get(server)
        self._withdrawals.record_withdrawal(server, member.up_since_ms if member else 0, revision)
        return self._drop_number(server)

    def refresh(self, ids: Iterable[str]) -> list[tuple[Member, ListedEndpoint]]:
        """Returns the current rows of these servers for the balancer, without those not listed."""
        rows = []
        for member in [self.members[server] for server in ids if server in self.members]:
            number, row = self.numbers[member.id], self.effective_row(member)
            rows.append((member, row._replace(endpoint=number)))
            (self.ready.add if row.state == EndpointState.READY else self.ready.discard)(number)
        return rows

    def withdraw(self, update: MemberList) -> list[str]:
        """Applies the withdrawals of a later update that is not part of the list in use; the rest of it does
        not count. Returns the ids of the servers withdrawn."""
        if update.revision <= self.revision:
            return []
        withdrawn = []
        for entry in update.members:
            member = self.members.get(entry.id)
            if member is None or entry.row.state == EndpointState.READY:
                continue
            if entry.row.state == EndpointState.GONE or entry.up_since_ms >= member.up_since_ms:
                self._withdrawals.record_separate_withdrawal(member, update.revision)
                withdrawn.append(entry.id)
        return withdrawn

    def discovery_caught_up(self) -> set[str]:
        """Discovery has sent a message, and the list in use has all of its changes; any later change is newer
        than now. Returns the servers back in use, as discovery contradicted their withdrawal long enough."""
        self._caught_up_ns = time.monotonic_ns()
        return self._withdrawals.discovery_caught_up(self._caught_up_ns, self.revision)

    def mark_list_stale(self) -> None:
        """Discovery has sent nothing for a while."""
        self.discovery_heard = False
        self._withdrawals.discovery_silent()

    def peer_reported(self, peer: int, revision: int, up_by_server: Mapping[str, bool]) -> set[str]:
        """Records which servers are up in a peer's list of this revision, unless the list in use is newer.
        Returns the servers affected."""
        if revision < self.revision or revision == self.revision and self.discovery_heard:
            return set()
        return self._withdrawals.peer_reported(peer, revision, up_by_server, self._listed_up)

    # What is in use -------------------------------------------------------------------------------------

    @property
    def is_behind(self) -> bool:
        """Whether the list in use is older than one received before."""
        return self._withdrawals.is_behind

    def is_withdrawn(self, server: str) -> bool:
        """Whether a server that is up in the list in use is withdrawn."""
        member = self.members.get(server)
        return member is not None and self._withdrawals.is_withdrawn(member)

    def effective_row(self, member: Member) -> ListedEndpoint:
        """The row of a server for the balancer: the list's, overridden by withdrawals, overridden by
        operators' orders. A server out of service gets no new requests. One put back counts as restarted at
        the time of the order, whether or not the list shows the restart yet."""
        row, order = member.row, self._orders.get(member.id)
        if row.state == EndpointState.READY and self._withdrawals.is_withdrawn(member):
            row = row._replace(state=EndpointState.DRAINING)
        if order is None or row.state == EndpointState.GONE:
            return row
        if order.out:
            return row._replace(state=EndpointState.DRAINING)
        return row._replace(started_ns=max(row.started_ns, self._enabled_ns(member.id, order)))

    def _enabled_ns(self, member_id: str, order: Order) -> int:
        """The monotonic time of an order, but not later than when it was first seen here, as it may have been
        dated by the clock of another boot."""
        known = self._enabled_at.get(member_id)
        if known is None or known[0] != order.at_ms:
            at_ns = min(order.at_ms * 1_000_000 - self._epoch_ns, time.monotonic_ns())
            known = self._enabled_at[member_id] = order.at_ms, at_ns
        return known[1]

    def _listed_up(self) -> Iterable[Member]:
        return (m for m in self.members.values() if m.row.state == EndpointState.READY)

    def _in_use(self) -> Iterable[Member]:
        return (member for member in self._listed_up() if not self._withdrawals.is_withdrawn(member))

    def up_shared_ids(self) -> list[int]:
        """The shared ids of the servers that are up according to all lists, regardless of operators'
        orders."""
        return [shared_id(member.id) for member in self._in_use()]

    def ids_of(self, numbers: Iterable[int]) -> list[str]:
        return [self.ids[n] for n in numbers if n in self.ids]

    # Numbers and start times ------------------------------------------------------------------------------

    def _with_start_time(self, member: Member) -> Member:
        """Adds the monotonic start time. It is computed once per start, so that later steps of the wall clock
        do not change it. A list is some seconds old at most. If a server is new in it, but its start seems
        much older than discovery's last message without it, a clock has been stepped, and the time of that
        message is used: with a start time too early, a newly started (cold) server would get full load."""
        if not member.up_since_ms or self._clock is None:
            return member
        known = self.members.get(member.id) or self._former.get(member.id)
        if known and known.up_since_ms == member.up_since_ms:
            started_ns = known.row.started_ns
        else:
            started_ns = max(1, self._clock.to_past_monotonic_ns(member.up_since_ms))
            if started_ns < self._caught_up_ns - MAX_LIST_DELAY_NS:
                started_ns = self._caught_up_ns
        return member._replace(row=member.row._replace(started_ns=started_ns))

    def _assign_number(self, member: Member) -> int:
        if member.id not in self.numbers:
            self._next_number += 1
            self.numbers[member.id] = self._next_number
            self.ids[self._next_number] = member.id
            self.shared_ids[self._next_number] = shared_id(member.id)
            self.number_by_shared_id[shared_id(member.id)] = self._next_number
            place = "{}:{}".format(*member.address)  # the balancer's log lines use the number
            log_info("driver", f"endpoint {self._next_number} is {member.id} at {place}")
        return self.numbers[member.id]

    def _drop_number(self, member_id: str) -> int:
        number = self.numbers.pop(member_id)
        del self.ids[number]
        self._former[member_id] = self.members.pop(member_id, None)
        if len(self._former) > MAX_FORMER:
            self._former.pop(next(iter(self._former)))
        self.number_by_shared_id.pop(self.shared_ids.pop(number), None)
        self.ready.discard(number)
        return number

    def has_listed(self, member_id: str) -> bool:
        return member_id in self.members or member_id in self._former


def abbreviate(names: Iterable[str]) -> str:
    """The first MAX_LOGGED_NAMES names, for a log line."""
    ordered = sorted(names)
    more = f" and {len(ordered) - MAX_LOGGED_NAMES} more" if len(ordered) > MAX_LOGGED_NAMES else ""
    return " ".join(ordered[:MAX_LOGGED_NAMES]) + more or "-"

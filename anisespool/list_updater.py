"""The list in use: what is told of servers goes to the connections to them and to the decisions."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from anisespool.config import Member, MemberList
from anisespool.decision_queue import Decisions
from anisespool.endpoints import Endpoints
from anisespool.log import say
from anisespool.servers import Servers
from shuntlead import interface as api
from shuntlead.interface import EndpointState, ListForm

LOOK_NS = 50_000_000  # between two looks at what discovery has written, while requests come


class ListUser:
    def __init__(self, servers: Servers, decisions: Decisions, endpoints: Endpoints) -> None:
        self.servers, self.decisions, self._endpoints = servers, decisions, endpoints
        self.look: Callable[[], object] = lambda: None  # reads what discovery has written
        self._looked_ns = 0

    def _look_at_discovery(self, now_ns: int) -> None:
        """In a turn of the loop that takes long, or after a stop of the process, a change may lie unread:
        nothing new is decided later than LOOK_NS after it has come."""
        if now_ns >= self._looked_ns + LOOK_NS:
            self._looked_ns = now_ns
            self.look()

    def listed(self, update: MemberList, form: ListForm | None = None) -> None:
        """A list, or a change of one."""
        form = form or (ListForm.FULL if update.complete else ListForm.DELTA)
        change = self.servers.apply(update, form)
        if change.rows or change.gone:
            say("list", change.summary)
        self._take_up(change.rows, change.gone, form)

    def withdrawn(self, update: MemberList) -> None:
        """A later line that is not part of the list in use: only what it takes out counts."""
        self.refresh(self.servers.withdraw(update))

    def heard(self) -> None:
        """Discovery has just said all that it has to say."""
        self.refresh(self.servers.heard())

    def refresh(self, member_ids: Iterable[str]) -> None:
        """Whether these servers are in use has changed without a list: by the operators, or by peers. To the
        module that is a change of the list: attempts that wait for a connection are placed anew."""
        rows = self.servers.refresh(member_ids)
        if rows:
            self._take_up(rows, [], ListForm.DELTA)

    def _take_up(
        self, rows: list[tuple[Member, api.ListedEndpoint]], gone: list[int], form: ListForm
    ) -> None:
        """The connections learn of it first, so that nothing decided next reaches an endpoint that drains.
        That ends attempts, and the module would place them anew by the list it had before; so it
        hears of the list ahead of them."""
        with self.decisions.held():
            for member, row in rows:
                if row.state != EndpointState.GONE:
                    up = row.state == EndpointState.READY
                    self._endpoints.update(row.endpoint, member.id, member.address, row.started_ns, up)
            for number in gone:  # last, as one line may have a server both up and gone
                self._endpoints.remove(number)
        entries = tuple(row for _, row in rows)
        self.decisions.handle_first(api.EndpointList(self.servers.revision, form, entries))

"""Applies the list in use: passes on each change of a server to the connections and to the balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from anisespool.config import Member, MemberList
from anisespool.decision_queue import DecisionQueue
from anisespool.endpoints import Endpoints
from anisespool.log import log_info
from anisespool.servers import Servers
from shuntlead import interface as api
from shuntlead.interface import EndpointState, ListForm

READ_INTERVAL_NS = 50_000_000  # between reads of pending data from discovery, while requests arrive


class ListUpdater:
    """Keeps the connections and the balancer in step with the list in use."""

    def __init__(self, servers: Servers, decision_queue: DecisionQueue, endpoints: Endpoints) -> None:
        self.servers, self.decision_queue, self._endpoints = servers, decision_queue, endpoints
        self.read_pending: Callable[[], object] = lambda: None  # reads pending data from discovery
        self._read_ns = 0

    def _read_discovery(self, now_ns: int) -> None:
        """Reads pending data from discovery. During a long iteration of the event loop, or after a stall of
        the process, a change may be unread. No decision later than READ_INTERVAL_NS after the arrival of a
        change ignores it."""
        if now_ns >= self._read_ns + READ_INTERVAL_NS:
            self._read_ns = now_ns
            self.read_pending()

    def apply_list(self, update: MemberList, form: ListForm | None = None) -> None:
        """Applies a list, or a change of one."""
        form = form or (ListForm.FULL if update.complete else ListForm.DELTA)
        change = self.servers.apply(update, form)
        if change.rows or change.gone:
            log_info("list", change.summary)
        self._publish(change.rows, change.gone, form)

    def apply_withdrawals(self, update: MemberList) -> None:
        """Applies a later update that is not part of the list in use. Only its withdrawals count."""
        self.refresh(self.servers.withdraw(update))

    def discovery_caught_up(self) -> None:
        """Discovery has sent a message, and the list in use has all of its changes."""
        self.refresh(self.servers.discovery_caught_up())

    def refresh(self, member_ids: Iterable[str]) -> None:
        """Whether these servers are in use has changed for another reason than a list, such as an operator's
        order or a peer's report. For the balancer it is a change of the list: attempts that wait for a
        connection are placed again."""
        rows = self.servers.refresh(member_ids)
        if rows:
            self._publish(rows, [], ListForm.DELTA)

    def _publish(
        self, rows: list[tuple[Member, api.ListedEndpoint]], gone: list[int], form: ListForm
    ) -> None:
        """Updates the connections first, so that no request is sent to a draining endpoint any more. This
        ends attempts, which the balancer places again. It must know the new list by then, so it receives the
        list before these events."""
        with self.decision_queue.deferred():
            for member, row in rows:
                if row.state != EndpointState.GONE:
                    up = row.state == EndpointState.READY
                    self._endpoints.update(row.endpoint, member.id, member.address, row.started_ns, up)
            for number in gone:  # last, as one update may show a server both as up and as removed
                self._endpoints.remove(number)
        entries = tuple(row for _, row in rows)
        self.decision_queue.handle_next(api.EndpointList(self.servers.revision, form, entries))

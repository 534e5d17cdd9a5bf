"""Membership: which endpoints exist, and which of them may get new requests.

This module owns the Endpoint records and the ejections, and sends the ejections to peers."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from operator import attrgetter

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.estimates import Estimates
from shuntlead.interface import EndpointState, ListForm, Status
from shuntlead.outliers import MAX_EJECTED_SHARE, OutlierDetector
from shuntlead.records import Endpoint
from shuntlead.shedding import Shedding

SUSPECT_SLOWDOWN = 4.0  # least slowdown assumed of an endpoint that a single peer has ejected
# A new ejection is sent several times in a row, as datagrams get lost, and then at a longer interval until
# it expires.
EJECTION_REPEATS, EJECTION_REPEAT_NS = 5, 90_000_000
EJECTION_RESEND_NS = 1_000_000_000
GET_RANK, GET_WEIGHT = attrgetter("rank"), attrgetter("weight")


class Members:
    """The listed endpoints, those that may get new requests, and the ejections."""

    def __init__(self, ctx: Context, estimates: Estimates, shedding: Shedding) -> None:
        self._ctx, self._estimates, self._shedding = ctx, estimates, shedding
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []  # the endpoints that may get new requests, ordered by rank
        self._ready_weight = 0.0  # sum of their weights
        self._next_return_at = 0  # when the next ejection expires; 0: there is none
        self.ejections = OutlierDetector(ctx.settings.fleet_size)
        self._next_send_at = 0  # when the ejections are due to be sent again; 0: not at all
        self.on_ejected: Callable[[], None] = lambda: None

    def on_list(self, update: api.EndpointList) -> None:
        """Applies a whole list or a change of it. Requests wait until it is done, so a change costs only as
        much as the rows that it has."""
        if update.form is not ListForm.DELTA:
            listed = {row.endpoint for row in update.entries}
            self.endpoints = {n: e for n, e in self.endpoints.items() if n in listed}
            self.ejections.keep_only(listed)
        incremental = update.form is ListForm.DELTA and not self._next_return_at
        for row in update.entries:
            known = self.endpoints.pop(row.endpoint, None)
            if incremental and known and known.ready:
                del self.ready[bisect_left(self.ready, known.rank, key=GET_RANK)]
                self._ready_weight -= known.weight
            same_process = known if known and known.row.started_ns == row.started_ns else None
            if same_process is None:  # another start time: a new process, of which nothing is known
                self.ejections.reset(row.endpoint)
            if row.state != EndpointState.GONE:
                e = self.endpoints[row.endpoint] = same_process or Endpoint(row, self._ctx)
                e.update(row)
                if incremental and e.ready and not self._is_ejected(e):
                    insort(self.ready, e, key=GET_RANK)
                    self._ready_weight += e.weight
        self.refresh_ready(incremental)

    def usable(self) -> list[Endpoint]:
        """The endpoints that may get new requests now."""
        if 0 < self._next_return_at <= self._ctx.now:
            self.refresh_ready()
        return self.ready

    def refresh_ready(self, incremental: bool = False) -> None:
        """Determines the ready endpoints from the list and the ejections. `incremental`: `ready` and its
        weight are up to date already."""
        now, ejections = self._ctx.now, self.ejections
        if not incremental:
            up = [e for e in self.endpoints.values() if e.ready]
            self.ready = sorted((e for e in up if not self._is_ejected(e)), key=GET_RANK)
            self._ready_weight = sum(map(GET_WEIGHT, self.ready))
        self._estimates.mean_weight = self._ready_weight / len(self.ready) if self.ready else 1.0
        self._next_return_at = ejections.next_return(now)

    def _is_ejected(self, e: Endpoint) -> bool:
        """Whether the endpoint is ejected now. On its return it warms up again: while no sidecar sent to
        it, it may have restarted unnoticed."""
        was, e.ejected = e.ejected, self.ejections.is_ejected(self._ctx.now, e.id)
        if was and not e.ejected:
            e.cold_from, e.warm_at = self._ctx.now, self._ctx.now + self._ctx.settings.cold_ns
            e.slowdown_at, e.class_slowdowns = 0, {}
        return e.ejected

    # Ejection -------------------------------------------------------------------------------------

    def on_attempt_end(self, endpoint: int, status: Status) -> None:
        """Ejects the endpoint of an attempt if it fails much more often than the others."""
        if self._ctx.settings.ejection and self.ejections.on_attempt_end(self._ctx.now, endpoint, status):
            self.eject(endpoint, status, 0, "at this sidecar")

    def eject(self, endpoint: int, reason: Status, left_ns: int, by: str, own: bool = True) -> None:
        """Ejects an endpoint, unless too many are ejected or the others could not carry the load without it:
        an overload of the others would lose more requests than an endpoint that fails now and then.
        `left_ns` 0: for as long as its history says. `own`: on this sidecar's own evidence."""
        now, e = self._ctx.now, self.endpoints.get(endpoint)
        up, ejected = sum(e.ready for e in self.endpoints.values()), self.ejections.count(now) + 1
        if (
            e is None
            or not e.ready
            or ejected > MAX_EJECTED_SHARE * up
            or not self._shedding.can_serve_without(ejected / up)
        ):
            return
        until = self.ejections.eject(now, endpoint, reason, left_ns, own)
        what = f"endpoint {endpoint} for {(until - now) / 1e9:.1f} s"
        self._ctx.log("ejected", f"{what}, {reason.name} {by}; {self.ejections.count(now)} of {up} ejected")
        self.refresh_ready()
        self.on_ejected()
        if own:  # also after a restart, or a peer that missed the reply to its request would never know
            self.send_ejections(EJECTION_REPEATS)

    def send_ejections(self, repeats_left: int) -> None:
        """Sends this sidecar's own ejections to all peers: `repeats_left` times in quick succession, as
        datagrams get lost, then at a longer interval until they expire, for peers that were unreachable."""
        rows = self.ejections.own_ejections(self._ctx.now)
        if not self._ctx.settings.may_message or not rows:
            self._next_send_at = 0
            return
        self._ctx.emit(api.SendEjections(-1, rows))
        wait_ns = EJECTION_REPEAT_NS if repeats_left > 1 else EJECTION_RESEND_NS
        self._next_send_at = self._ctx.now + wait_ns
        self._ctx.set_timer("ejections", wait_ns, max(0, repeats_left - 1))

    def on_timer(self, repeats_left: int) -> None:
        """Sends the ejections again if that is due."""
        if self._ctx.now >= self._next_send_at > 0:  # otherwise a later timer is pending
            self.send_ejections(repeats_left)

    def on_peer_ejections(self, event: api.PeerEjections) -> None:
        """Applies a peer's ejections: one makes an endpoint less likely to be chosen, a quorum ejects it."""
        now = self._ctx.now
        for ejection in event.ejections:
            e = self.endpoints.get(ejection.endpoint)
            if e is None or not self._ctx.settings.ejection:
                continue
            # One peer's ejection makes the endpoint less likely to be chosen. A peer that reports all
            # endpoints changes nothing between them.
            e.slowdown, e.slowdown_at = max(self._estimates.slowdown(e), SUSPECT_SLOWDOWN), now
            if self.ejections.add_peer_ejection(now, event.sender, ejection):
                left = self.ejections.quorum_left_ns(now, ejection.endpoint)
                self.eject(
                    ejection.endpoint, ejection.reason, left, f"by {self.ejections.quorum} peers", own=False
                )

    def restore_ejections(self, ejections: tuple[api.Ejection, ...]) -> None:
        """Restores the ejections of an earlier process of this sidecar."""
        for endpoint, left_ns, reason in ejections if self._ctx.settings.ejection else ():
            self.eject(endpoint, reason, left_ns, "before the restart")

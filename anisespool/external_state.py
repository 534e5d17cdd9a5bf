"""Translates between the decision module and everything outside this process: peers, the other process of an
upgrade, and the state store, which the next process of this sidecar reads. Reports about a server that
discovery has not listed here yet are dropped, as it must not receive requests on the word of a peer alone."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from anisespool.log import log_info
from anisespool.peers import Peers
from anisespool.servers import Servers, abbreviate
from anisespool.state.persisted_rows import EjectionRow, LearnedRow, PersistedState, PinRow
from anisespool.state.records import now_ms
from shuntlead import interface as api


class ExternalState:
    """Maps server ids to endpoint numbers and back, for events from outside and actions of the decision
    module."""

    def __init__(
        self,
        servers: Servers,
        handle: Callable[[api.Event], None],
        refresh: Callable[[Iterable[str]], None] = lambda servers: None,
    ) -> None:
        """`handle` passes an event to the decision module. `refresh`: called with the servers that have
        become usable or unusable."""
        self.servers, self._handle, self._refresh = servers, handle, refresh
        self.peers: Peers | None = None  # None: no messages between sidecars
        self.on_reports: Callable[[int, tuple[api.TenantReport, ...]], None] = lambda peer, reports: None
        self._shared_reports = api.ShareReports((), (), (), ())
        self._last_snapshot = PersistedState((), ())
        # Called for every Snapshot action, also without a call of `snapshot`, so that no ejection is lost.
        self.on_snapshot: Callable[[], None] = lambda: None
        self.on_pin: Callable[[PinRow], None] = lambda row: None
        self.on_ejections: Callable[[int, Sequence[api.Ejection]], None] = lambda peer, rows: None
        self.actions: dict[type, Callable[..., None]] = {
            api.SendToPeer: self._send_observations, api.SendEjections: self._send_ejections,
            api.Snapshot: self._save_snapshot, api.SavePin: self._pin, api.SendReports: self._send_reports,
            api.ShareReports: self._share_reports}  # fmt: skip

    # Other sidecars -------------------------------------------------------------------------------

    def _send_observations(self, action: api.SendToPeer) -> None:
        if self.peers:
            translated = (
                s._replace(endpoint=self.servers.shared_ids[s.endpoint]) for s in action.observations
            )
            self.peers.send_observations(action.peer, action.pressure, tuple(translated))

    def on_peer_message(self, message: api.PeerMessage) -> None:
        """A peer's overload pressure and its observations of servers, by shared ids."""
        known = self.servers.number_by_shared_id
        translated = tuple(
            s._replace(endpoint=known[s.endpoint]) for s in message.observations if s.endpoint in known
        )
        self._handle(message._replace(observations=translated))

    def mark_list_stale(self) -> None:
        """Discovery has sent nothing for a while: the list may be out of date."""
        self.servers.mark_list_stale()

    def on_peer_list(
        self, sender: int, revision: int, low: int, high: int, is_up: Callable[[int], bool]
    ) -> None:
        """A part of a peer's list: which servers with shared ids from `low` to `high` are up."""
        servers = self.servers
        shared_by_server = {
            servers.ids[n]: shared
            for shared, n in servers.number_by_shared_id.items()
            if low <= shared <= high
        }
        is_up_by_server = {server: is_up(shared) for server, shared in shared_by_server.items()}
        changed = servers.peer_reported(sender, revision, is_up_by_server)
        if not changed:
            return
        self._refresh(changed)
        left = f"{len(servers.ready)} endpoints left, by peers' later lists"
        log_info("hearsay", f"{left}: list {revision} of sidecar {sender} against {servers.revision} here "
            f"changes {abbreviate(changed)}")  # fmt: skip

    def on_peer_ejections(self, sender: int, rows: Iterable[api.Ejection]) -> None:
        """The servers that a peer has ejected, by shared ids."""
        known = self.servers.number_by_shared_id
        translated = tuple(v._replace(endpoint=known[v.endpoint]) for v in rows if v.endpoint in known)
        self._handle(api.PeerEjections(sender, translated))

    def on_peer_query(self, peer: int, observations: bool) -> None:
        """A starting peer asks for the servers ejected here, and with `observations` also for what was
        observed of servers."""
        self._handle(api.PeerStarted(peer, observations))

    def _send_ejections(self, action: api.SendEjections) -> None:
        shared = self.servers.shared_ids
        rows = [v._replace(endpoint=shared[v.endpoint]) for v in action.ejections if v.endpoint in shared]
        self.on_ejections(action.peer, rows)

    def on_tenant_reports(self, reports: tuple[api.TenantReport, ...]) -> None:
        """The request rates of tenants at other sidecars."""
        self._handle(api.TenantReports(reports))

    def set_other_process_rates(self, left_ns: int, rates: tuple[float, ...]) -> None:
        """The request rates of tenants at the other process of an upgrade, valid for `left_ns`."""
        self._handle(api.OtherProcessRates(left_ns, rates))

    def share_reports(self) -> api.ShareReports:
        """Ask the decision module for the tenants' rates across the fleet, and the ejected servers."""
        self._handle(api.TakeReports())
        return self._shared_reports

    def _send_reports(self, action: api.SendReports) -> None:
        self.on_reports(action.peer, action.reports)

    def _share_reports(self, action: api.ShareReports) -> None:
        self._shared_reports = action

    # State kept for the next process --------------------------------------------------------------

    def snapshot(self) -> PersistedState:
        """Ask the decision module for the state that the next process should start with."""
        self._handle(api.TakeSnapshot())
        return self._last_snapshot

    def restore(self, state: PersistedState, pins: Sequence[PinRow]) -> None:
        """Restore the state of an earlier process, for the servers that are listed now."""
        now, known = now_ms(), self.servers.numbers
        self._handle(
            api.Restore(
                tuple(api.Observation(known[r.server], r.slow, r.queue, max(0, now - r.at_ms) * 1_000_000)
                      for r in state.learned if r.server in known),
                tuple(api.Ejection(known[r.server], (r.until_ms - now) * 1_000_000, r.reason)
                      for r in state.ejections if r.server in known and r.until_ms > now),
                tuple(api.KeyPin(*r[:4], (r.until_ms - now) * 1_000_000) for r in pins),
            )
        )  # fmt: skip

    def _save_snapshot(self, action: api.Snapshot) -> None:
        now, ids = now_ms(), self.servers.ids
        self._last_snapshot = PersistedState(
            [LearnedRow(ids[s.endpoint], s.slowdown, s.queue, now - s.age_ns // 1_000_000)
             for s in action.observations if s.endpoint in ids],
            [EjectionRow(ids[v.endpoint], now + v.left_ns // 1_000_000, v.reason)
             for v in action.ejections if v.endpoint in ids],
        )  # fmt: skip
        self.on_snapshot()

    def _pin(self, action: api.SavePin) -> None:
        until_ms = now_ms() + action.pinned.left_ns // 1_000_000
        self.on_pin(PinRow(*action.pinned[:4], until_ms))

"""What comes from other processes and from the store, in the module's terms, and what goes there: peers, the
other process of an upgrade, the next process of this sidecar. A server that discovery has not named
here yet must not be sent to on hearsay, so what is said of one is left out."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from anisespool.log import say
from anisespool.peers import Peers
from anisespool.servers import Servers, abbreviate
from anisespool.state.persisted_rows import LearnedRow, PersistedState, PinRow, VerdictRow
from anisespool.state.records import now_ms
from shuntlead import interface as api


class Outside:
    def __init__(
        self,
        servers: Servers,
        handle: Callable[[api.Event], None],
        refresh: Callable[[Iterable[str]], None] = lambda servers: None,
    ) -> None:
        """`handle` passes an event to the module. `refresh`: whether these servers are in use has changed."""
        self.servers, self._handle, self._refresh = servers, handle, refresh
        self.peers: Peers | None = None  # where datagrams go
        self.on_reports: Callable[[int, tuple[api.TenantReport, ...]], None] = lambda peer, reports: None
        self._shared_reports = api.ShareReports((), (), (), ())
        self._remembered = PersistedState((), ())
        self.on_remember: Callable[[], None] = lambda: None  # unasked too: a verdict is not to be lost
        self.on_pin: Callable[[PinRow], None] = lambda row: None
        self.on_verdicts: Callable[[int, Sequence[api.Ejection]], None] = lambda peer, rows: None
        self.actions: dict[type, Callable[..., None]] = {
            api.SendToPeer: self._tell, api.SendEjections: self._tell_verdicts, api.Snapshot: self._remember,
            api.SavePin: self._pin, api.SendReports: self._tell_reports,
            api.ShareReports: self._share_reports}  # fmt: skip

    # Other sidecars ------------------------------------------------------------------------------

    def _tell(self, action: api.SendToPeer) -> None:
        if self.peers:
            told = (s._replace(endpoint=self.servers.shared_ids[s.endpoint]) for s in action.observations)
            self.peers.tell(action.peer, action.pressure, tuple(told))

    def heard(self, message: api.PeerMessage) -> None:
        known = self.servers.number_by_shared_id
        seen = tuple(
            s._replace(endpoint=known[s.endpoint]) for s in message.observations if s.endpoint in known
        )
        self._handle(message._replace(observations=seen))

    def mark_list_stale(self) -> None:
        """Discovery has not been heard for a while."""
        self.servers.mark_list_stale()

    def peer_list(
        self, sender: int, revision: int, low: int, high: int, is_up: Callable[[int], bool]
    ) -> None:
        """A peer's list, for the servers whose shared ids lie from low to high."""
        servers = self.servers
        asked = {
            servers.ids[n]: shared
            for shared, n in servers.number_by_shared_id.items()
            if low <= shared <= high
        }
        standing = {server: is_up(shared) for server, shared in asked.items()}
        changed = servers.peer_reported(sender, revision, standing)
        if not changed:
            return
        self._refresh(changed)
        left = f"{len(servers.ready)} endpoints left, as peers' later lists say"
        say("hearsay", f"{left}: list {revision} of sidecar {sender} against {servers.revision} here changes "
            f"{abbreviate(changed)}")  # fmt: skip

    def peer_verdicts(self, sender: int, rows: Iterable[api.Ejection]) -> None:
        """What a peer holds ejected, by shared ids."""
        known = self.servers.number_by_shared_id
        told = tuple(v._replace(endpoint=known[v.endpoint]) for v in rows if v.endpoint in known)
        self._handle(api.PeerEjections(sender, told))

    def asked_by(self, peer: int, observations: bool) -> None:
        """A peer that starts wants to know what is ejected here, or also what was seen of servers."""
        self._handle(api.PeerStarted(peer, observations))

    def _tell_verdicts(self, action: api.SendEjections) -> None:
        shared = self.servers.shared_ids
        rows = [v._replace(endpoint=shared[v.endpoint]) for v in action.ejections if v.endpoint in shared]
        self.on_verdicts(action.peer, rows)

    def tenant_reports(self, reports: tuple[api.TenantReport, ...]) -> None:
        """What tenants ask of other sidecars."""
        self._handle(api.TenantReports(reports))

    def beside(self, left_ns: int, rates: tuple[float, ...]) -> None:
        """What tenants ask of the other process of an upgrade; void after so much longer."""
        self._handle(api.OtherProcessRates(left_ns, rates))

    def share_reports(self) -> api.ShareReports:
        """What is known of tenants across the fleet, and the servers ejected."""
        self._handle(api.TakeReports())
        return self._shared_reports

    def _tell_reports(self, action: api.SendReports) -> None:
        self.on_reports(action.peer, action.reports)

    def _share_reports(self, action: api.ShareReports) -> None:
        self._shared_reports = action

    # What outlives the process --------------------------------------------------------------------

    def snapshot(self) -> PersistedState:
        """What the module knows now that its next process should."""
        self._handle(api.TakeSnapshot())
        return self._remembered

    def recall(self, remembered: PersistedState, pins: Sequence[PinRow]) -> None:
        """What an earlier process knew, of servers that are listed now."""
        now, known = now_ms(), self.servers.numbers
        self._handle(
            api.Restore(
                tuple(api.Observation(known[r.server], r.slow, r.queue, max(0, now - r.at_ms) * 1_000_000)
                      for r in remembered.learned if r.server in known),
                tuple(api.Ejection(known[r.server], (r.until_ms - now) * 1_000_000, r.reason)
                      for r in remembered.ejections if r.server in known and r.until_ms > now),
                tuple(api.KeyPin(*r[:4], (r.until_ms - now) * 1_000_000) for r in pins),
            )
        )  # fmt: skip

    def _remember(self, action: api.Snapshot) -> None:
        now, ids = now_ms(), self.servers.ids
        self._remembered = PersistedState(
            [LearnedRow(ids[s.endpoint], s.slowdown, s.queue, now - s.age_ns // 1_000_000)
             for s in action.observations if s.endpoint in ids],
            [VerdictRow(ids[v.endpoint], now + v.left_ns // 1_000_000, v.reason)
             for v in action.ejections if v.endpoint in ids],
        )  # fmt: skip
        self.on_remember()

    def _pin(self, action: api.SavePin) -> None:
        until_ms = now_ms() + action.pinned.left_ns // 1_000_000
        self.on_pin(PinRow(*action.pinned[:4], until_ms))

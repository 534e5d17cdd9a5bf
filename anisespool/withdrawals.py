"""Decides which servers are withdrawn, that is, not used although a list says that they are up.

A server that a list shows as draining or removed stays withdrawn until newer information: an entry of a later
revision, or one with a later start time, as a server that has drained comes back as a new process. Lists come
from the configuration, the state store, watches at several addresses, and peers, and any of them may be older
than another. So all of them are checked here:

- An entry that shows a server as up counts only if its revision or its start time is later than that of the
  withdrawal.
- A list older than the latest one may show servers as up that have left since. An entry of such a list counts
  only if the latest list had the server as up, too, or the server has started since that list was received.
- A server that a peer's later list shows as not up is withdrawn until the list in use is as recent.

If discovery restarts its revisions from a lower number, every new list would look old for ever. So the
withdrawals that contradict the list in use are dropped once discovery has sent messages for REVISION_RESET_S
without a later revision.

No I/O and no clock: times are monotonic nanoseconds from the caller.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from anisespool.member_list import Member
from shuntlead.outliers import quorum

REVISION_RESET_S = 30.0  # twice the maximum delay of a list, which is some seconds, 15 with a margin
REVISION_RESET_NS = int(REVISION_RESET_S * 1e9)
MAX_WITHDRAWN = 16_384  # servers remembered as withdrawn, the most recent ones
MAX_REPORTS_PER_SERVER = 8  # reports of peers kept per server, the latest ones; more than any quorum


UpMembers = Callable[[], Iterable[Member]]  # returns the servers that are up in the list in use


class Withdrawal(NamedTuple):
    """A list of this revision showed a server, with this start time, as not up."""

    started_ms: int
    revision: int


class PeerReport(NamedTuple):
    """Whether a server is up in a peer's list of this revision."""

    revision: int
    is_up: bool


class Withdrawals:
    """The servers withdrawn, by the lists and the reports of peers received so far."""

    def __init__(self, fleet_size: int) -> None:
        """`fleet_size`: the number of sidecars, which determines the quorum."""
        self.revision = 0  # the latest of all lists so far
        self._latest_ns = 0  # when that list was applied
        self._quorum = quorum(fleet_size)
        self._withdrawn: dict[str, Withdrawal] = {}
        # Servers up in the latest list, with their start times; None: the latest list is in use.
        self._confirmed: dict[str, int] | None = None
        # Servers withdrawn although they are up in the list in use, for one of three reasons:
        self._contradicted: set[str] = set()  # not up in another list of the same or a later revision
        self._unconfirmed: set[str] = set()  # the list in use is older than the latest, where they are not up
        self._peer_reports: dict[str, dict[int, PeerReport]] = {}  # by the server's id and the peer's number
        self._withdrawn_by_peers: frozenset[str] = frozenset()  # not up in later lists of peers
        self._contradicted_since_ns: int | None = None  # since when discovery has contradicted these

    @property
    def is_behind(self) -> bool:
        """Whether the list in use is older than the latest one."""
        return self._confirmed is not None

    def is_withdrawn(self, member: Member) -> bool:
        """Whether a server that is up in the list in use is withdrawn."""
        return self._is_withdrawn_by_lists(member) or member.id in self._withdrawn_by_peers

    def _is_withdrawn_by_lists(self, member: Member) -> bool:
        return member.id in self._contradicted or member.id in self._unconfirmed

    # Lists ------------------------------------------------------------------------------------------

    def begin_list(self, revision: int, up: Iterable[Member]) -> None:
        """Starts to process a list, or a change of one. `up`: the servers in use before it."""
        if revision < self.revision and self._confirmed is None:
            self._confirmed = {member.id: member.up_since_ms for member in up}

    def record_withdrawal(self, server: str, started_ms: int, revision: int) -> None:
        """An entry of this revision shows the server as draining or removed, or a complete list lacks it."""
        self._contradicted.discard(server)
        self._unconfirmed.discard(server)
        known = self._withdrawn.pop(server, None)
        if known and known.started_ms > started_ms:
            self._withdrawn[server] = known
            return
        if known and known.started_ms == started_ms:
            revision = max(revision, known.revision)
        self._withdrawn[server] = Withdrawal(started_ms, revision)
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]

    def record_separate_withdrawal(self, member: Member, revision: int) -> None:
        """An update that is not part of the list in use shows the server as draining or removed."""
        self.record_withdrawal(member.id, member.up_since_ms, revision)
        self._contradicted.add(member.id)

    def record_up(self, member: Member, revision: int) -> None:
        """An entry of this revision shows the server as up."""
        out = self._withdrawn.get(member.id)
        is_restarted = out is not None and member.up_since_ms > out.started_ms
        if out and not is_restarted and revision <= out.revision:
            self._contradicted.add(member.id)
        else:
            self._contradicted.discard(member.id)
            self._withdrawn.pop(member.id, None)
        if self._confirmed is None or revision >= self.revision:
            self._unconfirmed.discard(member.id)
            return
        confirmed_ms = self._confirmed.get(member.id)
        is_confirmed = confirmed_ms is not None and member.up_since_ms >= confirmed_ms
        has_started_since = member.row.started_ns > self._latest_ns
        if is_confirmed or has_started_since:
            self._unconfirmed.discard(member.id)
        else:
            self._unconfirmed.add(member.id)

    def end_list(self, revision: int, now_ns: int, up: UpMembers) -> set[str]:
        """All entries of the list have been recorded. Returns servers without an entry that it may affect."""
        changed: set[str] = set()
        if revision >= self.revision:
            self.revision, self._latest_ns, self._confirmed = revision, now_ns, None
            changed, self._unconfirmed = self._unconfirmed, set()
        for server, reports in list(self._peer_reports.items()):
            later = {peer: report for peer, report in reports.items() if report.revision > revision}
            if later:
                self._peer_reports[server] = later
            else:
                del self._peer_reports[server]
        return changed | self._update_out_by_peers(up)

    # Peers ------------------------------------------------------------------------------------------

    def peer_reported(
        self, peer: int, revision: int, up_by_server: Mapping[str, bool], up: UpMembers
    ) -> set[str]:
        """Records which servers are up in a peer's list, which is later than the list in use. `up`: the
        servers up in the list in use. Returns the servers affected."""
        changes = False
        for server, is_up in up_by_server.items():
            if is_up and server not in self._peer_reports:
                continue  # no peer contradicts it; a report per server and peer would take much memory
            reports, report = self._peer_reports.setdefault(server, {}), PeerReport(revision, is_up)
            changes |= reports.get(peer) != report
            reports[peer] = report
            if len(reports) > MAX_REPORTS_PER_SERVER:
                del reports[min(reports, key=lambda each: reports[each].revision)]
        return self._update_out_by_peers(up) if changes else set()

    def _update_out_by_peers(self, up: UpMembers) -> set[str]:
        """The latest report on a server decides. But it takes a quorum of peers to withdraw the last server
        in use, not a single one. Returns the servers affected."""
        out = {server for server, reports in self._peer_reports.items() if not _latest_report(reports).is_up}
        if out and all(member.id in out or self._is_withdrawn_by_lists(member) for member in up()):
            out = {server for server in out if self._has_quorum(server)}
        before, self._withdrawn_by_peers = self._withdrawn_by_peers, frozenset(out)
        return set(before ^ self._withdrawn_by_peers)

    def _has_quorum(self, server: str) -> bool:
        return sum(not report.is_up for report in self._peer_reports[server].values()) >= self._quorum

    # Restarted revisions ------------------------------------------------------------------------------

    def discovery_caught_up(self, now_ns: int, revision: int) -> set[str]:
        """Discovery has sent a message, and the list in use, of this revision, is all that it has. Returns
        the servers back in use, as discovery has contradicted their withdrawal for REVISION_RESET_NS."""
        withdrawn = self._contradicted | self._unconfirmed | self._withdrawn_by_peers
        if not withdrawn:
            self._contradicted_since_ns = None
            return set()
        if self._contradicted_since_ns is None:
            self._contradicted_since_ns = now_ns
        if now_ns < self._contradicted_since_ns + REVISION_RESET_NS:
            return set()
        self._reset_revisions(revision, withdrawn)
        return withdrawn

    def _reset_revisions(self, revision: int, withdrawn: Iterable[str]) -> None:
        for server in withdrawn:
            self._withdrawn.pop(server, None)
        self._withdrawn = {
            s: Withdrawal(o.started_ms, min(o.revision, revision)) for s, o in self._withdrawn.items()
        }
        self._peer_reports, self._withdrawn_by_peers = {}, frozenset()
        self._contradicted, self._unconfirmed = set(), set()
        self._confirmed, self._contradicted_since_ns, self.revision = None, None, revision

    def discovery_silent(self) -> None:
        """Discovery sends nothing. That it has no later revision proves nothing then."""
        self._contradicted_since_ns = None


def _latest_report(reports: Mapping[int, PeerReport]) -> PeerReport:
    """The report of the latest revision; among equal revisions, one that shows the server as not up."""
    return max(reports.values(), key=lambda report: (report.revision, not report.is_up))

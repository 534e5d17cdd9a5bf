"""Which servers are out of use, whichever list has them as up: the one owner of that.

A server that has been told as draining or gone stays out until a later word about it: a row of a later
revision, or one with a later start (a server that has drained comes back as a new process). Lists come from
the configuration, the state store, watches on several addresses, and peers, and any of them may be behind
what another has told. So all of them pass through here:

- a row that has a server as up counts only if its revision is later than the one that took it out, or its
  start is;
- a list behind the latest one names as up what has left since, so of its rows only those count that the
  latest list had as up too, and servers that have started since that list came;
- what a peer's later list has as out is out until the list in use is as late.

Revisions may also begin anew, and then all that is told would be behind for good. So what is held out against
the list in use is given up once discovery has gone on speaking for FOLLOW_S without a later revision.

No socket and no clock here: times are the caller's monotonic nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from anisespool.member_list import Member
from shuntlead.outliers import quorum

FOLLOW_S = 30.0  # a list is some seconds late at most, 15 with some to spare; twice that
FOLLOW_NS = int(FOLLOW_S * 1e9)
MOST_OUT = 16_384  # servers remembered as out, the latest to go
MOST_WORDS = 8  # of peers on one server, the latest: more than any quorum


Up = Callable[[], Iterable[Member]]  # the servers that the list in use has as up


class Withdrawal(NamedTuple):
    """A server was out by a list of this revision, in the process that had started then."""

    started_ms: int
    revision: int


class PeerWord(NamedTuple):
    """How a server stands on a peer's list of this revision."""

    revision: int
    is_up: bool


class Withdrawals:
    def __init__(self, fleet_size: int) -> None:
        """`fleet_size`: how many sidecars there are, which bounds how many peers must agree."""
        self.revision = 0  # the latest of all lists so far
        self._latest_ns = 0  # when that was taken up
        self._quorum = quorum(fleet_size)
        self._out: dict[str, Withdrawal] = {}
        self._confirmed: dict[str, int] | None = (
            None  # up by the latest list: id -> start; None: it is in use
        )
        self._contradicted: set[str] = set()  # up by the list in use, and out by an equal or later one
        self._unconfirmed: set[str] = set()  # up by the list in use, which is behind, and not by the latest
        self._words: dict[str, dict[int, PeerWord]] = {}  # by the server's id and the peer's number
        self._out_by_peers: frozenset[str] = frozenset()
        self._against_ns: int | None = None  # since when discovery has been speaking against these

    @property
    def is_behind(self) -> bool:
        """Whether the list in use is older than the latest one."""
        return self._confirmed is not None

    def holds(self, member: Member) -> bool:
        """Whether a server that the list in use has as up is out all the same."""
        return self._is_told_out(member) or member.id in self._out_by_peers

    def _is_told_out(self, member: Member) -> bool:
        return member.id in self._contradicted or member.id in self._unconfirmed

    # Lists ------------------------------------------------------------------------------------------

    def begin(self, revision: int, up: Iterable[Member]) -> None:
        """A list, or a change of one, of this revision comes. `up`: those in use by the list before it."""
        if revision < self.revision and self._confirmed is None:
            self._confirmed = {member.id: member.up_since_ms for member in up}

    def told_out(self, server: str, started_ms: int, revision: int) -> None:
        """A row of this revision has it as draining or gone, or a whole list leaves it out."""
        self._contradicted.discard(server)
        self._unconfirmed.discard(server)
        known = self._out.pop(server, None)
        if known and known.started_ms > started_ms:
            self._out[server] = known
            return
        if known and known.started_ms == started_ms:
            revision = max(revision, known.revision)
        self._out[server] = Withdrawal(started_ms, revision)
        if len(self._out) > MOST_OUT:
            del self._out[next(iter(self._out))]

    def told_out_elsewhere(self, member: Member, revision: int) -> None:
        """A line that is not part of the list in use has it as draining or gone."""
        self.told_out(member.id, member.up_since_ms, revision)
        self._contradicted.add(member.id)

    def told_up(self, member: Member, revision: int) -> None:
        """A row of this revision has it as up."""
        out = self._out.get(member.id)
        is_restarted = out is not None and member.up_since_ms > out.started_ms
        if out and not is_restarted and revision <= out.revision:
            self._contradicted.add(member.id)
        else:
            self._contradicted.discard(member.id)
            self._out.pop(member.id, None)
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

    def end(self, revision: int, now_ns: int, up: Up) -> set[str]:
        """All rows of that list are told. The servers that it may have changed without a row of theirs."""
        changed: set[str] = set()
        if revision >= self.revision:
            self.revision, self._latest_ns, self._confirmed = revision, now_ns, None
            changed, self._unconfirmed = self._unconfirmed, set()
        for server, words in list(self._words.items()):
            later = {peer: word for peer, word in words.items() if word.revision > revision}
            if later:
                self._words[server] = later
            else:
                del self._words[server]
        return changed | self._weigh_words(up)

    # Peers ------------------------------------------------------------------------------------------

    def peer_said(self, peer: int, revision: int, standing: Mapping[str, bool], up: Up) -> set[str]:
        """A peer's list of a later revision than the one in use has these servers as up, or not. `up`: all
        that the list in use has as up. The servers for which that changes something."""
        changes = False
        for server, is_up in standing.items():
            if is_up and server not in self._words:
                continue  # nobody has said otherwise, and a word for each server and peer would be many
            words, word = self._words.setdefault(server, {}), PeerWord(revision, is_up)
            changes |= words.get(peer) != word
            words[peer] = word
            if len(words) > MOST_WORDS:
                del words[min(words, key=lambda each: words[each].revision)]
        return self._weigh_words(up) if changes else set()

    def _weigh_words(self, up: Up) -> set[str]:
        """The latest word holds. One peer alone must not leave nothing in use, a quorum may."""
        out = {server for server, words in self._words.items() if not _latest(words).is_up}
        if out and all(member.id in out or self._is_told_out(member) for member in up()):
            out = {server for server in out if self._says_quorum(server)}
        before, self._out_by_peers = self._out_by_peers, frozenset(out)
        return set(before ^ self._out_by_peers)

    def _says_quorum(self, server: str) -> bool:
        return sum(not word.is_up for word in self._words[server].values()) >= self._quorum

    # Revisions that begin anew ------------------------------------------------------------------------

    def spoke(self, now_ns: int, revision: int) -> set[str]:
        """Discovery has just said all that it has to say; the list in use is of this revision. The servers
        that are back, as they were held out against it for FOLLOW_NS."""
        held = self._contradicted | self._unconfirmed | self._out_by_peers
        if not held:
            self._against_ns = None
            return set()
        if self._against_ns is None:
            self._against_ns = now_ns
        if now_ns < self._against_ns + FOLLOW_NS:
            return set()
        self._begin_anew(revision, held)
        return held

    def _begin_anew(self, revision: int, held: Iterable[str]) -> None:
        for server in held:
            self._out.pop(server, None)
        self._out = {s: Withdrawal(o.started_ms, min(o.revision, revision)) for s, o in self._out.items()}
        self._words, self._out_by_peers = {}, frozenset()
        self._contradicted, self._unconfirmed = set(), set()
        self._confirmed, self._against_ns, self.revision = None, None, revision

    def fell_silent(self) -> None:
        """Discovery is not heard: that nothing later is told means nothing."""
        self._against_ns = None


def _latest(words: Mapping[int, PeerWord]) -> PeerWord:
    """Of the peers' words on one server; of one revision the one that has it as out."""
    return max(words.values(), key=lambda word: (word.revision, not word.is_up))

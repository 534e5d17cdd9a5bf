"""What peers' lists say while this sidecar's own is old: at a start, and when discovery is lost.

A restart begins with an old list, on which servers that drained or went since are still up. A peer whose
list is later names those that are no longer up; where a quorum of peers agrees, nothing is sent there.
That only takes endpoints out of the draw: what discovery has not named here is never sent to on hearsay. It
ends with the next list of discovery, or HEARSAY_NS after it was heard, and never takes out over
MOST_HELD_OUT.
"""

from __future__ import annotations

from shuntlead.interface import PeerRoster
from shuntlead.verdicts import quorum

HEARSAY_NS = 30_000_000_000  # discovery down for longer: what peers said is old by then
MOST_HELD_OUT = 0.75  # of the endpoints that the list in use has as up: a release may replace most of them


class Hearsay:
    def __init__(self, fleet_size: int) -> None:
        self.quorum = quorum(fleet_size)
        self.over = False  # discovery itself has spoken
        self._until = 0
        self._down: dict[int, set[int]] = {}  # endpoint -> senders whose list does not have it as up

    def hear(self, now: int, roster: PeerRoster, version: int) -> bool:
        """Whether it counts: a list older than the one in use says nothing."""
        if self.over or roster.version < version:
            return False
        self._until = now + HEARSAY_NS
        for endpoint in roster.up:
            self._down.get(endpoint, set()).discard(roster.sender)
        for endpoint in roster.down:
            self._down.setdefault(endpoint, set()).add(roster.sender)
        return True

    def held_out(self, now: int, up: list[int]) -> frozenset[int]:
        """Those of the endpoints in use which a quorum says are no longer up."""
        if now >= self._until:
            self._down.clear()
        agreed = [n for n in up if len(self._down.get(n, ())) >= self.quorum]
        return frozenset(agreed) if len(agreed) <= MOST_HELD_OUT * len(up) else frozenset()

    def ends_at(self) -> int:
        """When what was heard is too old; 0 where nothing is held out by it."""
        return self._until if self._down else 0

    def on_list(self, is_old: bool) -> None:
        """The list in use is discovery's last word, or an old one, of which what was heard still holds."""
        self.over = not is_old
        if self.over:
            self._down.clear()

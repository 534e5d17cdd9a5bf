"""What this sidecar tells of what it sees: to peers, to the store, and what it makes of what they say.

It writes what peers saw into Endpoint records by way of the estimates, and nothing else outside itself."""

from __future__ import annotations

from heapq import nlargest

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.estimates import Estimates
from shuntlead.members import Members
from shuntlead.records import Endpoint
from shuntlead.shedding import Shedding

TOLD = 256  # endpoints, the first of this sidecar's order: more than it draws from
PEERS = 4  # told the waits at a time, the first also of endpoints: one sidecar's waits are mostly chance


class Talk:
    def __init__(self, desk: Desk, estimates: Estimates, shedding: Shedding, members: Members) -> None:
        self._desk, self._estimates, self._shedding, self._members = desk, estimates, shedding, members
        self._told_at = 0

    def tell_peer(self) -> None:
        """One of many sidecars hears too little of any endpoint by itself."""
        desk, s = self._desk, self._desk.settings
        if not s.may_message or s.fleet_size < 2 or desk.now - self._told_at < desk.tightest_ns:
            return
        self._told_at = desk.now
        peers = [(s.self_index + desk.random.randrange(1, s.fleet_size)) % s.fleet_size for _ in range(PEERS)]
        self.tell_sightings(peers[0])
        desk.act(*(api.Tell(peer, self._shedding.strain()) for peer in peers[1:]))  # a byte each

    def tell_sightings(self, peer: int) -> None:
        fresh = nlargest(api.MAX_SIGHTINGS, self._members.ready[:TOLD], key=lambda e: e.slow_at)
        seen = tuple(self._sighting(e) for e in fresh if e.slow_at)
        self._desk.act(api.Tell(peer, self._shedding.strain(), seen))

    def hear(self, message: api.PeerMessage) -> None:
        if message.strain >= 0:  # else it was no message that we can read
            self._shedding.strain(min(1.0, message.strain), 0.5)
        self.see(message.sightings)

    def see(self, sightings: tuple[api.Sighting, ...]) -> None:
        for seen in sightings:
            if e := self._members.endpoints.get(seen.endpoint):
                self._estimates.see(e, seen)

    def asked(self, event: api.PeerAsked) -> None:
        """By a peer that has just started."""
        if event.sightings:
            self.tell_sightings(event.peer)
        if verdicts := self._members.verdicts.own(self._desk.now):
            self._desk.act(api.TellVerdicts(event.peer, verdicts))

    def remember(self) -> None:
        """For the next process."""
        heard = tuple(self._sighting(e) for e in self._members.ready[:TOLD] if e.slow_at > 0)
        self._desk.act(api.Remember(heard, self._members.verdicts.own(self._desk.now)))

    def _sighting(self, e: Endpoint) -> api.Sighting:
        return api.Sighting(e.id, e.slow, e.queue, self._desk.now - e.slow_at)

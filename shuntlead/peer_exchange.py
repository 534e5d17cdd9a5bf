"""Exchange of observations: sends what this sidecar has learned of endpoints to peers and to the store, and
takes over what they have.

This module updates Endpoint records through the estimates, and writes nothing else outside itself."""

from __future__ import annotations

from heapq import nlargest

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.estimates import Estimates
from shuntlead.members import Members
from shuntlead.records import Endpoint
from shuntlead.shedding import Shedding

MAX_SNAPSHOT_ENDPOINTS = 256  # the first by rank: more than the usual number of candidates
# Peers that are sent this sidecar's overload pressure at a time, as one sidecar's own value is mostly noise.
# Only the first of them is also sent observations of endpoints.
PEERS_PER_ROUND = 4


class PeerExchange:
    """Sends observations and ejections to peers and to the store, and adds those received."""

    def __init__(self, ctx: Context, estimates: Estimates, shedding: Shedding, members: Members) -> None:
        self._ctx, self._estimates, self._shedding, self._members = ctx, estimates, shedding, members
        self._last_sent_at = 0

    def send_to_peers(self) -> None:
        """Sends to some random peers, at most once per shortest target. In a large fleet a sidecar alone has
        too few samples of each endpoint."""
        ctx, s = self._ctx, self._ctx.settings
        if not s.may_message or s.fleet_size < 2 or ctx.now - self._last_sent_at < ctx.min_target_ns:
            return
        self._last_sent_at = ctx.now
        peers = [
            (s.self_index + ctx.random.randrange(1, s.fleet_size)) % s.fleet_size
            for _ in range(PEERS_PER_ROUND)
        ]
        self.send_observations(peers[0])
        ctx.emit(*(api.SendToPeer(peer, self._shedding.pressure()) for peer in peers[1:]))  # one byte each

    def send_observations(self, peer: int) -> None:
        """Sends the overload pressure and the latest observations to one peer."""
        fresh = nlargest(
            api.MAX_OBSERVATIONS, self._members.ready[:MAX_SNAPSHOT_ENDPOINTS], key=lambda e: e.slowdown_at
        )
        observations = tuple(self._observation(e) for e in fresh if e.slowdown_at)
        self._ctx.emit(api.SendToPeer(peer, self._shedding.pressure(), observations))

    def on_peer_message(self, message: api.PeerMessage) -> None:
        """Takes a peer's overload pressure and observations into this sidecar's estimates."""
        if message.pressure >= 0:  # below 0: the message could not be decoded
            self._shedding.pressure(min(1.0, message.pressure), 0.5)
        self.add_observations(message.observations)

    def add_observations(self, observations: tuple[api.Observation, ...]) -> None:
        """Adds observations of a peer or the store; those of unknown endpoints are ignored."""
        for observation in observations:
            if e := self._members.endpoints.get(observation.endpoint):
                self._estimates.add_observation(e, observation)

    def on_peer_started(self, event: api.PeerStarted) -> None:
        """Answers a peer that has just started."""
        if event.observations:
            self.send_observations(event.peer)
        if ejections := self._members.ejections.own_ejections(self._ctx.now):
            self._ctx.emit(api.SendEjections(event.peer, ejections))

    def take_snapshot(self) -> None:
        """Emits what the next process of this sidecar should know."""
        observations = tuple(
            self._observation(e) for e in self._members.ready[:MAX_SNAPSHOT_ENDPOINTS] if e.slowdown_at > 0
        )
        self._ctx.emit(api.Snapshot(observations, self._members.ejections.own_ejections(self._ctx.now)))

    def _observation(self, e: Endpoint) -> api.Observation:
        return api.Observation(e.id, e.slowdown, e.queue, self._ctx.now - e.slowdown_at)

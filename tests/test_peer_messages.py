"""Endpoint observations exchanged between sidecars."""

from __future__ import annotations

from shuntlead import interface as api
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
)


def messages_to_peers(actions: list[api.Action]) -> list[api.SendToPeer]:
    return [a for a in actions if isinstance(a, api.SendToPeer)]


def test_peer_messages_are_sent_sparingly_and_only_where_allowed() -> None:
    silent, peer = Sidecar([listed(1)]), Sidecar([listed(1)], allowed__peers=True, fleet_size=5, self_index=2)
    messages = []
    for _ in range(50):
        for send in sends(silent.request()):
            assert not messages_to_peers(silent.outcome(send))
        for send in sends(peer.request()):
            peer.now += 70 * MS
            messages += messages_to_peers(peer.outcome(send))
    full = [t for t in messages if t.observations]
    assert 3 <= len(full) <= 6
    assert len(messages) == 4 * len(full)
    assert {t.peer for t in messages} <= {0, 1, 3, 4}


def test_newer_peer_observation_counts_and_an_older_one_does_not() -> None:
    sidecar = Sidecar([listed(1), listed(2, started_ns=99 * SECOND)], allowed__peers=True)
    sidecar.serve(20)
    at = sidecar.balancer.endpoints[1].slowdown_at
    sidecar.now += SECOND
    old = api.Observation(1, 9.0, 9.0, sidecar.now - at + MS)
    before_start = api.Observation(2, 9.0, 9.0, 5 * SECOND)
    sidecar.balancer.handle(sidecar.now, api.PeerMessage(1, 0.0, (old, before_start)))
    assert sidecar.balancer.endpoints[1].slowdown < 5 > sidecar.balancer.endpoints[2].slowdown
    sidecar.balancer.handle(sidecar.now, api.PeerMessage(1, 0.0, (api.Observation(1, 9.0, 9.0, 0),)))
    assert sidecar.balancer.endpoints[1].slowdown == 9.0 == sidecar.balancer.endpoints[1].queue

"""Warm start from peers: a sidecar that has just started asks some peers which servers are up by their lists,
until it has received its own first list. The peers also answer which servers they have ejected. A sidecar
asks again while its list is stale, that is, when it has lost its watch on discovery and no call has returned
a newer list. This module has the datagrams (at most 256 bytes each) and the waiting;
anisespool/withdrawals.py decides what the answers change.

A list is sent in independent parts. A part says that of the servers whose shared ids are from `low` to
`high`, exactly those in the part are up. If a part is lost, nothing changes for the servers in its range.
"""

from __future__ import annotations

import asyncio
import random
import struct
import time
import zlib
from collections.abc import Callable, Sequence

from anisespool.external_state import ExternalState
from anisespool.peers import MAX_DATAGRAM_BYTES, Peers
from shuntlead.outliers import quorum

QUERY, LIST_PART = b"\x02", b"\x03"  # the first byte of a datagram: its type
_QUERY = struct.Struct("<II?")  # nonce, digest of the servers up by the asker's list, wants observations
_PART = struct.Struct("<IQBBII")  # nonce, revision, number, parts (0: no list, or the same), low, high
# The low half of a shared id. Ids may collide: about one in a thousand servers that are down is taken as up.
_SHORT_ID = struct.Struct("<H")
_SHORT_ID_MASK = 0xFFFF
MAX_IDS_PER_PART = (MAX_DATAGRAM_BYTES - 1 - _PART.size) // _SHORT_ID.size
MAX_PARTS = 16  # of one answer: about 1800 servers
MAX_SHARED_ID = 0xFFFFFFFF
# While a release restarts a fleet, most peers have no list themselves, so the second round asks more.
PEERS_PER_ROUND = 3, 9
QUERY_INTERVAL_S = 1.0  # between later queries, until discovery's first list or while the list is stale
ROUND_S = 0.08  # a datagram takes up to 28 ms each way
MAX_WAIT_S = len(PEERS_PER_ROUND) * ROUND_S  # the documented bound: READY is not delayed longer by peers
ANSWERS_PER_S, ANSWERS_BURST = 20.0, 40.0  # limits the load caused by the restarts of a release


def encode_list(nonce: int, revision: int, up: Sequence[int]) -> list[bytes]:
    """The datagrams that carry a list, given the shared ids of the servers that are up."""
    ids = sorted(up)[: MAX_IDS_PER_PART * MAX_PARTS]
    chunks = [ids[n : n + MAX_IDS_PER_PART] for n in range(0, len(ids), MAX_IDS_PER_PART)] or [[]]
    truncated = len(ids) < len(up)
    datagrams, low = [], 0
    for number, chunk in enumerate(chunks):
        last = number + 1 == len(chunks)
        high = MAX_SHARED_ID if last and not truncated else chunk[-1]
        head = _PART.pack(nonce, revision, number, len(chunks), low, high)
        datagrams.append(LIST_PART + head + b"".join(_SHORT_ID.pack(n & _SHORT_ID_MASK) for n in chunk))
        low = high + 1
    return datagrams


def list_digest(up: Sequence[int]) -> int:
    """A digest of a list, given the shared ids of the servers that are up. Most peers have the same list,
    which then is not sent."""
    return zlib.crc32(b"".join(n.to_bytes(4, "little") for n in sorted(up)))


class WarmStart:
    """Asks peers for their lists, and answers peers that ask."""

    def __init__(
        self,
        peers: Peers,
        external: ExternalState,
        fleet_size: int,
        self_index: int,
        has_list: Callable[[], bool],
    ) -> None:
        """`has_list`: whether this process has received a list from discovery, so that it may answer
        peers."""
        self._peers, self._external, self._has_list = peers, external, has_list
        self._other_peers = [n for n in range(min(fleet_size, len(peers.addresses))) if n != self_index]
        self._quorum = quorum(len(self._other_peers) + 1)
        self._nonce = random.getrandbits(32)
        self._parts_received: dict[int, set[int]] = {}  # peer asked -> part numbers received
        self._complete_from: set[int] = set()  # peers that have sent a complete list
        self._answered_by: set[int] = set()
        self._quorum_reached = asyncio.Event()
        self._tokens, self._tokens_at = ANSWERS_BURST, 0.0
        peers.register_handler(QUERY, self._on_query)
        peers.register_handler(LIST_PART, self._on_list_part)

    async def query_peers(self, list_received: asyncio.Event) -> None:
        """Query peers until a quorum of them has sent a list, or all have answered, or discovery has sent a
        list (`list_received`), or MAX_WAIT_S has elapsed, whichever is first."""
        event_tasks = [asyncio.ensure_future(event.wait()) for event in (self._quorum_reached, list_received)]
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._peers.opened.wait()
                for round_number, count in enumerate(PEERS_PER_ROUND):
                    self._query_random_peers(count, wants_observations=round_number == 0)
                    done, _ = await asyncio.wait(
                        event_tasks, timeout=ROUND_S, return_when=asyncio.FIRST_COMPLETED
                    )
                    if done:
                        break
        except TimeoutError:
            pass
        finally:
            for task in event_tasks:
                task.cancel()

    async def follow(self, list_received: asyncio.Event, is_list_stale: Callable[[], bool]) -> None:
        """Keep querying until discovery has sent a list, and whenever the list is stale, as servers may start
        to drain meanwhile."""
        was_stale = True  # initially
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.0) * QUERY_INTERVAL_S)
            is_stale = not list_received.is_set() or is_list_stale()
            if is_stale and not was_stale:
                self._external.mark_list_stale()
            if is_stale:
                self._query_random_peers(PEERS_PER_ROUND[0])
            was_stale = is_stale

    def _query_random_peers(self, count: int, wants_observations: bool = False) -> None:
        up = self._external.servers.up_shared_ids()
        not_queried = [
            peer for peer in self._other_peers if peer not in self._parts_received
        ] or self._other_peers
        for peer in random.sample(not_queried, min(count, len(not_queried))):
            self._parts_received[peer] = set()
            self._peers.send(peer, QUERY + _QUERY.pack(self._nonce, list_digest(up), wants_observations))

    def _on_query(self, sender: int, data: bytes) -> bool:
        if len(data) != _QUERY.size:
            return False
        now = time.monotonic()
        self._tokens = min(ANSWERS_BURST, self._tokens + (now - self._tokens_at) * ANSWERS_PER_S)
        self._tokens_at = now
        if self._tokens < 1:
            return True
        self._tokens -= 1
        nonce, their_digest, wants_observations = _QUERY.unpack(data)
        if not self._has_list():
            self._peers.send(sender, LIST_PART + _PART.pack(nonce, 0, 0, 0, 0, 0))
            return True
        revision, up = self._external.servers.revision, self._external.servers.up_shared_ids()
        unchanged = [LIST_PART + _PART.pack(nonce, revision, 0, 0, 0, 0)]
        for part in unchanged if their_digest == list_digest(up) else encode_list(nonce, revision, up):
            self._peers.send(sender, part)
        self._external.on_peer_query(sender, wants_observations)
        return True

    def _on_list_part(self, sender: int, data: bytes) -> bool:
        if len(data) < _PART.size or (len(data) - _PART.size) % _SHORT_ID.size:
            return False
        nonce, revision, number, count, low, high = _PART.unpack_from(data)
        if (
            nonce != self._nonce
            or sender not in self._parts_received
            or number >= max(1, min(count, MAX_PARTS))
        ):
            return False
        if count:
            up = {n for (n,) in _SHORT_ID.iter_unpack(data[_PART.size :])}
            self._external.on_peer_list(sender, revision, low, high, lambda n: n & _SHORT_ID_MASK in up)
            self._parts_received[sender].add(number)
        if len(self._parts_received[sender]) == count and revision:
            self._complete_from.add(sender)
        if not count or sender in self._complete_from:
            self._answered_by.add(sender)
        if len(self._complete_from) >= self._quorum or len(self._answered_by) == len(self._other_peers):
            self._quorum_reached.set()
        return True

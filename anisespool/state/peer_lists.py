"""Warm start from peers: a sidecar that has just started asks a few others which servers their lists have as
up, before its own first list has come; they answer with what they hold ejected, too. It asks again while its
list is old, as discovery's watch was lost and no call has brought another. The decisions are in
anisespool/withdrawals.py; here are the datagrams (256 bytes at most each) and the waiting.

A list goes out in parts, each for itself: of the servers whose shared ids lie from LOW to HIGH, just those
named are up. A part that is lost leaves its servers as they were.
"""

from __future__ import annotations

import asyncio
import random
import struct
import time
import zlib
from collections.abc import Callable, Sequence

from anisespool.external_state import Outside
from anisespool.peers import MAX_DATAGRAM, Peers
from shuntlead.outliers import quorum

ASK, PART = b"\x02", b"\x03"  # the kinds of datagrams
_ASK = struct.Struct("<II?")  # nonce, digest of what the asker's list has as up, whether it wants sightings
_PART = struct.Struct("<IQBBII")  # nonce, revision, number, parts (0: no list yet, or the same), low, high
_ID = struct.Struct("<H")  # the low half: of a part's servers one in a thousand that is not up passes for up
_ID_MASK = 0xFFFF
MOST_IDS = (MAX_DATAGRAM - 1 - _PART.size) // _ID.size
MOST_PARTS = 16  # of one answer: some 1800 servers
TOP = 0xFFFFFFFF
ASKED = 3, 9  # peers in each round: of a fleet that a release restarts, most have no list themselves
AGAIN_S = 1.0  # between later rounds, until discovery's first list or while the list is old
ROUND_S = 0.08  # a datagram takes up to 28 ms each way
WAIT_S = len(ASKED) * ROUND_S  # the declared bound: READY waits no longer for peers
ANSWERS_PER_S, ANSWERS_BURST = 20.0, 40.0  # a release must not make a load of its restarts


def parts(nonce: int, revision: int, up: Sequence[int]) -> list[bytes]:
    """The datagrams of a list, by the shared ids of the servers up."""
    ids = sorted(up)[: MOST_IDS * MOST_PARTS]
    chunks = [ids[n : n + MOST_IDS] for n in range(0, len(ids), MOST_IDS)] or [[]]
    truncated = len(ids) < len(up)
    out, low = [], 0
    for number, chunk in enumerate(chunks):
        last = number + 1 == len(chunks)
        high = TOP if last and not truncated else chunk[-1]
        head = _PART.pack(nonce, revision, number, len(chunks), low, high)
        out.append(PART + head + b"".join(_ID.pack(n & _ID_MASK) for n in chunk))
        low = high + 1
    return out


def digest(up: Sequence[int]) -> int:
    """Of a list, by the shared ids of the servers up: most peers' lists are the same, and are not sent."""
    return zlib.crc32(b"".join(n.to_bytes(4, "little") for n in sorted(up)))


class WarmStart:
    def __init__(
        self, peers: Peers, outside: Outside, fleet_size: int, self_index: int, has_list: Callable[[], bool]
    ) -> None:
        """`has_list`: whether discovery has told this process a list, so that it may answer others."""
        self._peers, self._outside, self._has_list = peers, outside, has_list
        self._others = [n for n in range(min(fleet_size, len(peers.addresses))) if n != self_index]
        self._quorum = quorum(len(self._others) + 1)
        self._nonce = random.getrandbits(32)
        self._due: dict[int, set[int]] = {}  # peers asked -> numbers of parts heard
        self._complete: set[int] = set()  # whose whole answer has come, with a list
        self._answered: set[int] = set()
        self._enough = asyncio.Event()
        self._tokens, self._tokens_at = ANSWERS_BURST, 0.0
        peers.handle(ASK, self._on_ask)
        peers.handle(PART, self._on_part)

    async def ask(self, heard: asyncio.Event) -> None:
        """Until a quorum has answered, or discovery has (`heard`), or WAIT_S is over, whichever is first."""
        ended = [asyncio.ensure_future(event.wait()) for event in (self._enough, heard)]
        try:
            async with asyncio.timeout(WAIT_S):
                await self._peers.opened.wait()
                for turn, count in enumerate(ASKED):
                    self._ask_some(count, observations=turn == 0)
                    done, _ = await asyncio.wait(ended, timeout=ROUND_S, return_when=asyncio.FIRST_COMPLETED)
                    if done:
                        break
        except TimeoutError:
            pass
        finally:
            for waiting in ended:
                waiting.cancel()

    async def follow(self, heard: asyncio.Event, list_is_old: Callable[[], bool]) -> None:
        """Ask on until discovery has spoken, and whenever no watch stands: servers drain meanwhile."""
        was_old = True  # at a start
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.0) * AGAIN_S)
            is_old = not heard.is_set() or list_is_old()
            if is_old and not was_old:
                self._outside.mark_list_stale()
            if is_old:
                self._ask_some(ASKED[0])
            was_old = is_old

    def _ask_some(self, count: int, observations: bool = False) -> None:
        up = self._outside.servers.up_shared_ids()
        strangers = [peer for peer in self._others if peer not in self._due] or self._others
        for peer in random.sample(strangers, min(count, len(strangers))):
            self._due[peer] = set()
            self._peers.send(peer, ASK + _ASK.pack(self._nonce, digest(up), observations))

    def _on_ask(self, sender: int, data: bytes) -> bool:
        if len(data) != _ASK.size:
            return False
        now = time.monotonic()
        self._tokens = min(ANSWERS_BURST, self._tokens + (now - self._tokens_at) * ANSWERS_PER_S)
        self._tokens_at = now
        if self._tokens < 1:
            return True
        self._tokens -= 1
        nonce, theirs, observations = _ASK.unpack(data)
        if not self._has_list():
            self._peers.send(sender, PART + _PART.pack(nonce, 0, 0, 0, 0, 0))
            return True
        revision, up = self._outside.servers.revision, self._outside.servers.up_shared_ids()
        same = [PART + _PART.pack(nonce, revision, 0, 0, 0, 0)]
        for part in same if theirs == digest(up) else parts(nonce, revision, up):
            self._peers.send(sender, part)
        self._outside.asked_by(sender, observations)
        return True

    def _on_part(self, sender: int, data: bytes) -> bool:
        if len(data) < _PART.size or (len(data) - _PART.size) % _ID.size:
            return False
        nonce, revision, number, count, low, high = _PART.unpack_from(data)
        if nonce != self._nonce or sender not in self._due or number >= max(1, min(count, MOST_PARTS)):
            return False
        if count:
            up = {n for (n,) in _ID.iter_unpack(data[_PART.size :])}
            self._outside.peer_list(sender, revision, low, high, lambda n: n & _ID_MASK in up)
            self._due[sender].add(number)
        if len(self._due[sender]) == count and revision:
            self._complete.add(sender)
        if not count or sender in self._complete:
            self._answered.add(sender)
        if len(self._complete) >= self._quorum or len(self._answered) == len(self._others):
            self._enough.set()
        return True

"""Datagrams between sidecars: their bytes by the real encoders, and how long until a quorum has heard.

Assumptions: a datagram is up to DELAY_S on its way, either way; `loss` of them are lost, each for itself; the
address that reaches all is one datagram for the sender (else it is one for each sidecar, as `unicast`).
"""

from __future__ import annotations

import random
from itertools import pairwise
from typing import NamedTuple

from anisespool.fleet.shared_state import encode_ejections
from anisespool.peers import FORMAT_VERSION, MAX_DATAGRAM_BYTES, shared_id
from anisespool.state import peer_lists
from shuntlead.interface import MAX_OBSERVATIONS, Ejection, Observation, Status
from shuntlead.members import EJECTION_REPEAT_NS, EJECTION_REPEATS, EJECTION_RESEND_NS
from shuntlead.outliers import FIRST_EJECTION_NS, OutlierDetector, quorum
from shuntlead.peer_codec import encode_peer_message
from shuntlead.peer_exchange import PEERS_PER_ROUND
from shuntlead.selection import MIN_CANDIDATES
from tests.scale_fleet.course import late
from tests.scale_fleet.lines import ZONES

HEADER_BYTES = 28  # IP and UDP
DELAY_S = 0.028
TIGHTEST_S, LONGEST_S = 0.2, 0.7  # targets: sidecars talk each of the first, their subset is by the last
REQUESTS_S = 187.0
SUBSET = MIN_CANDIDATES + int(
    REQUESTS_S * LONGEST_S
)  # servers a sidecar sends to, and sidecars that a server has


class Talked(NamedTuple):
    size: int
    sent: float  # datagrams a second and sidecar
    sent_bytes: float
    heard_p99_bytes: float  # in a second, of all sidecars
    heard_most_bytes: float
    useful: float  # part of the sightings heard that are of servers in the own subset
    again_s: float  # between two sightings of a server in the own subset


def sizes() -> tuple[int, int]:
    """Of a datagram with sightings, and of one with the waits alone."""
    full = tuple(Observation(n, 1.0, 1.0, 0) for n in range(MAX_OBSERVATIONS))
    long, short = (len(FORMAT_VERSION + encode_peer_message(0.5, seen)) for seen in (full, ()))
    if long > MAX_DATAGRAM_BYTES:
        raise ValueError(f"{long} bytes")
    return long + HEADER_BYTES, short + HEADER_BYTES


def talk(size: int, seed: int) -> Talked:
    """A second of what sidecars tell in turn: PEERS others each TIGHTEST_S, the first also what they saw."""
    draw, (long, short) = random.Random(seed), sizes()
    heard = [0] * size
    rounds = round(1 / TIGHTEST_S)
    for me in range(size):
        for n in range(rounds * PEERS_PER_ROUND):
            heard[(me + draw.randrange(1, size)) % size] += short if n % PEERS_PER_ROUND else long
    heard.sort()
    useful = min(1.0, SUBSET / size)
    again_s = min(size, SUBSET) / (rounds * MAX_OBSERVATIONS * useful)
    return Talked(size, rounds * PEERS_PER_ROUND, rounds * (long + (PEERS_PER_ROUND - 1) * short),
                  heard[int(0.99 * size)], heard[-1], useful, again_s)  # fmt: skip


class Ejected(NamedTuple):
    size: int
    p99_s: float  # until so many sidecars know of a server that fails all, by themselves or by a quorum
    last_s: float
    tellers: int  # by own evidence: the others know before
    heard_bytes: float  # a sidecar, while the verdict stands
    zone_heard_bytes: float  # in the first 0.5 s, where a zone's servers fail at once
    unicast_bytes: float  # sent by a teller, where all are addressed one by one


def failures_to_eject() -> int:
    """In a row, by the real verdicts of a sidecar whose other attempts succeed."""
    ejections, count = OutlierDetector(1000), 1
    while not ejections.on_attempt_end(0, 1, Status.RESET):
        count += 1
    return count


def eject(size: int, loss: float, seed: int) -> Ejected:
    """A server resets all requests from 0 s on. Each of its senders counts; verdicts go to all."""
    draw, need, rate = random.Random(seed), quorum(size), REQUESTS_S / min(SUBSET, size)
    needed = failures_to_eject()
    found = sorted(draw.gammavariate(needed, 1 / rate) for _ in range(min(SUBSET, size)))
    tellers, known = list[float](), list[float]()
    for own_s in found:  # until all have heard of the others in time
        if len(tellers) >= need and _quorum_s(draw, tellers, need, loss) < own_s:
            break
        tellers.append(own_s)
    for n in range(size):
        known.append(tellers[n] if n < len(tellers) else _quorum_s(draw, tellers, need, loss))
    [data] = encode_ejections([Ejection(1, FIRST_EJECTION_NS, Status.RESET)])
    one = len(data) + HEADER_BYTES
    told = EJECTION_REPEATS + (FIRST_EJECTION_NS // EJECTION_RESEND_NS)
    zone = one * EJECTION_REPEATS * len(tellers) * (size / ZONES)
    return Ejected(size, *late(known, size), len(tellers), one * told * len(tellers), zone,
                   one * told * (size - 1))  # fmt: skip


def _quorum_s(draw: random.Random, tellers: list[float], need: int, loss: float) -> float:
    """When one sidecar has heard so many of them."""
    return sorted(at_s + _heard_after_s(draw, loss) for at_s in tellers)[need - 1]


def _heard_after_s(draw: random.Random, loss: float) -> float:
    after_s, told = 0.0, 1
    while draw.random() < loss:
        after_s += (EJECTION_REPEAT_NS if told < EJECTION_REPEATS else EJECTION_RESEND_NS) / 1e9
        told += 1
    return after_s + draw.uniform(0.001, DELAY_S)


class Warm(NamedTuple):
    size: int
    parts: int  # datagrams of an answer
    answer_bytes: int
    covered: float  # part of the servers that an answer speaks of
    asked_bytes: int  # heard at a start, where all that are asked answer
    ready: float  # part of the starts that have a quorum of whole answers before WAIT_S is over
    taken_for_up: float  # of those that are not up: the ids are cut to 16 bits


def warm_start(size: int, loss: float, seed: int, starts: int = 1000) -> Warm:
    draw, up = random.Random(seed), [shared_id(f"s-{seed}-{n}") for n in range(size)]
    answer = peer_lists.encode_list(1, 1, up)
    bounds = [peer_lists._PART.unpack_from(data[1:])[4:] for data in answer]
    covered = sum(any(low <= n <= high for low, high in bounds) for n in up) / size
    if any(next_low != high + 1 for (_, high), (next_low, _) in pairwise(bounds)):
        raise ValueError("parts that do not meet")
    answer_bytes = sum(len(data) + HEADER_BYTES for data in answer)
    ready = sum(_whole_answers(draw, len(answer), loss) >= quorum(size) for _ in range(starts)) / starts
    each = min(peer_lists.MAX_IDS_PER_PART, size) / (1 << 16)
    return Warm(
        size, len(answer), answer_bytes, covered, sum(peer_lists.PEERS_PER_ROUND) * answer_bytes, ready, each
    )


def _whole_answers(draw: random.Random, count: int, loss: float) -> int:
    """Of the peers that are asked in rounds, those whose every part is there in time. One way to them, one
    back."""
    whole = 0
    for turn, asked in enumerate(peer_lists.PEERS_PER_ROUND):
        for _ in range(asked):
            ways = [draw.random() >= loss for _ in range(1 + count)]
            took_s = draw.uniform(0.001, DELAY_S) + max(draw.uniform(0.001, DELAY_S) for _ in range(count))
            whole += all(ways) and turn * peer_lists.ROUND_S + took_s <= peer_lists.MAX_WAIT_S
    return whole

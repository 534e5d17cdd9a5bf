"""Datagrams between sidecars: their sizes by the real encoders, and the time until a quorum is informed.

Assumptions: a datagram takes up to DELAY_S in either direction; the share `loss` is lost, independently; the
address that reaches all sidecars costs the sender one datagram (`unicast_bytes`: one for each sidecar).
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
from tests.scale_fleet.lines import ZONES
from tests.scale_fleet.simulation import p99_and_last

HEADER_BYTES = 28  # IP and UDP
DELAY_S = 0.028
MIN_TARGET_S, MAX_TARGET_S = 0.2, 0.7  # of targets: the interval of messages; the basis of the subset
REQUESTS_S = 187.0
SUBSET = MIN_CANDIDATES + int(
    REQUESTS_S * MAX_TARGET_S
)  # servers a sidecar sends to, and sidecars that a server has


class ExchangeCost(NamedTuple):
    size: int
    sent: float  # datagrams a second per sidecar
    sent_bytes: float
    heard_p99_bytes: float  # in one second, over all sidecars
    heard_most_bytes: float
    useful: float  # share of received observations on servers in the own subset
    again_s: float  # between observations of a server in the own subset


def sizes() -> tuple[int, int]:
    """The bytes of a datagram with observations, and of one with waits only."""
    full = tuple(Observation(n, 1.0, 1.0, 0) for n in range(MAX_OBSERVATIONS))
    long, short = (len(FORMAT_VERSION + encode_peer_message(0.5, seen)) for seen in (full, ()))
    if long > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {long} bytes exceeds the maximum")
    return long + HEADER_BYTES, short + HEADER_BYTES


def talk(size: int, seed: int) -> ExchangeCost:
    """One second of messages: to PEERS_PER_ROUND peers each MIN_TARGET_S, the first with observations."""
    draw, (long, short) = random.Random(seed), sizes()
    heard = [0] * size
    rounds = round(1 / MIN_TARGET_S)
    for me in range(size):
        for n in range(rounds * PEERS_PER_ROUND):
            heard[(me + draw.randrange(1, size)) % size] += short if n % PEERS_PER_ROUND else long
    heard.sort()
    useful = min(1.0, SUBSET / size)
    again_s = min(size, SUBSET) / (rounds * MAX_OBSERVATIONS * useful)
    return ExchangeCost(size, rounds * PEERS_PER_ROUND, rounds * (long + (PEERS_PER_ROUND - 1) * short),
                  heard[int(0.99 * size)], heard[-1], useful, again_s)  # fmt: skip


class EjectionSpread(NamedTuple):
    size: int
    p99_s: float  # until 99 % know of a failed server, from own attempts or a quorum
    last_s: float
    reporters: int  # sidecars with own evidence; the others are informed earlier
    heard_bytes: float  # per sidecar, while the ejection lasts
    zone_heard_bytes: float  # in the first 0.5 s, if a zone's servers fail at once
    unicast_bytes: float  # sent by a reporter that addresses each sidecar separately


def failures_to_eject() -> int:
    """Consecutive failures that lead the real detector to eject a server."""
    ejections, count = OutlierDetector(1000), 1
    while not ejections.on_attempt_end(0, 1, Status.RESET):
        count += 1
    return count


def eject(size: int, loss: float, seed: int) -> EjectionSpread:
    """A server resets all requests from 0 s on. Each sender detects it alone; ejections are sent to all."""
    draw, need, rate = random.Random(seed), quorum(size), REQUESTS_S / min(SUBSET, size)
    needed = failures_to_eject()
    found = sorted(draw.gammavariate(needed, 1 / rate) for _ in range(min(SUBSET, size)))
    reporters, known = list[float](), list[float]()
    for own_s in found:  # until the remaining ones learn it from a quorum first
        if len(reporters) >= need and _quorum_s(draw, reporters, need, loss) < own_s:
            break
        reporters.append(own_s)
    for n in range(size):
        known.append(reporters[n] if n < len(reporters) else _quorum_s(draw, reporters, need, loss))
    [data] = encode_ejections([Ejection(1, FIRST_EJECTION_NS, Status.RESET)])
    one = len(data) + HEADER_BYTES
    told = EJECTION_REPEATS + (FIRST_EJECTION_NS // EJECTION_RESEND_NS)
    zone = one * EJECTION_REPEATS * len(reporters) * (size / ZONES)
    return EjectionSpread(size, *p99_and_last(known, size), len(reporters), one * told * len(reporters),
                          zone, one * told * (size - 1))  # fmt: skip


def _quorum_s(draw: random.Random, reporters: list[float], need: int, loss: float) -> float:
    """When one sidecar has heard from `need` reporters."""
    return sorted(at_s + _heard_after_s(draw, loss) for at_s in reporters)[need - 1]


def _heard_after_s(draw: random.Random, loss: float) -> float:
    after_s, told = 0.0, 1
    while draw.random() < loss:
        after_s += (EJECTION_REPEAT_NS if told < EJECTION_REPEATS else EJECTION_RESEND_NS) / 1e9
        told += 1
    return after_s + draw.uniform(0.001, DELAY_S)


class WarmStart(NamedTuple):
    size: int
    parts: int  # datagrams of an answer
    answer_bytes: int
    covered: float  # share of the servers that an answer covers
    asked_bytes: int  # received at a start, if all asked peers answer
    ready: float  # share of starts with a quorum of complete answers in time
    taken_for_up: float  # share of the servers not up, as ids are cut to 16 bits


def warm_start(size: int, loss: float, seed: int, starts: int = 1000) -> WarmStart:
    draw, up = random.Random(seed), [shared_id(f"s-{seed}-{n}") for n in range(size)]
    answer = peer_lists.encode_list(1, 1, up)
    bounds = [peer_lists._PART.unpack_from(data[1:])[4:] for data in answer]
    covered = sum(any(low <= n <= high for low, high in bounds) for n in up) / size
    if any(next_low != high + 1 for (_, high), (next_low, _) in pairwise(bounds)):
        raise ValueError("the ranges of the parts are not contiguous")
    answer_bytes = sum(len(data) + HEADER_BYTES for data in answer)
    ready = sum(_whole_answers(draw, len(answer), loss) >= quorum(size) for _ in range(starts)) / starts
    each = min(peer_lists.MAX_IDS_PER_PART, size) / (1 << 16)
    return WarmStart(
        size, len(answer), answer_bytes, covered, sum(peer_lists.PEERS_PER_ROUND) * answer_bytes, ready, each
    )


def _whole_answers(draw: random.Random, count: int, loss: float) -> int:
    """The number of peers, asked in rounds, from which every part of the answer arrives in time."""
    whole = 0
    for turn, asked in enumerate(peer_lists.PEERS_PER_ROUND):
        for _ in range(asked):
            ways = [draw.random() >= loss for _ in range(1 + count)]
            took_s = draw.uniform(0.001, DELAY_S) + max(draw.uniform(0.001, DELAY_S) for _ in range(count))
            whole += all(ways) and turn * peer_lists.ROUND_S + took_s <= peer_lists.MAX_WAIT_S
    return whole

"""Collisions of 32-bit shared ids: their probability in a list, and how the real list handles one."""

from __future__ import annotations

from collections import Counter
from itertools import count as counting
from typing import NamedTuple

from anisespool.config import Address, Member, MemberList
from anisespool.peers import shared_id
from anisespool.servers import Servers
from shuntlead.interface import EndpointState, ListedEndpoint, ListForm

NAMES = 300_000  # generated names, among which about ten pairs collide


class Collisions(NamedTuple):
    size: int
    likely: float  # probability that two of `size` servers share an id
    pairs: int  # colliding pairs among `names` names
    expected: float
    names: int


def likely(size: int) -> float:
    free = 1.0
    for n in range(size):
        free *= 1 - n / 2**32
    return 1 - free


def count(size: int, seed: int, names: int = NAMES) -> Collisions:
    ids = Counter(shared_id(f"s-{seed:x}-{n:x}") for n in range(names))
    pairs = sum(alike * (alike - 1) // 2 for alike in ids.values())
    return Collisions(size, likely(size), pairs, names * (names - 1) / 2 / 2**32, names)


def pair(seed: int) -> tuple[str, str]:
    """Two names with the same shared id."""
    seen: dict[int, str] = {}
    for n in counting():
        name = f"s-{seed:x}-{n:x}"
        other = seen.setdefault(shared_id(name), name)
        if other != name:
            return other, name
    raise AssertionError


class Alike(NamedTuple):
    """Which of two servers with the same shared id peers' reports apply to."""

    both_listed: list[str]
    first_left: list[str]  # after the server listed later was removed


def reached(seed: int) -> Alike:
    """Determined with the real list."""
    servers, names = Servers({}, 0), pair(seed)
    members = [_member(name, EndpointState.READY) for name in names]
    servers.apply(MemberList(1, True, tuple(members)), ListForm.FULL)
    both = servers.ids_of(servers.number_by_shared_id.values())
    servers.apply(MemberList(2, False, (_member(names[1], EndpointState.GONE),)), ListForm.DELTA)
    return Alike(both, servers.ids_of(servers.number_by_shared_id.values()))


def _member(name: str, state: EndpointState) -> Member:
    return Member(name, Address("10.0.0.1", 5000), ListedEndpoint(0, 1.0, 0, 0, 0, state, 0))

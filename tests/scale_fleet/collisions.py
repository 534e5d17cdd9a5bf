"""Shared ids of 32 bits: how likely two of a list's servers have one, and what the real list does then."""

from __future__ import annotations

from collections import Counter
from itertools import count as counting
from typing import NamedTuple

from anisespool.config import Address, Member, MemberList
from anisespool.peers import shared_id
from anisespool.servers import Servers
from shuntlead.interface import EndpointState, ListedEndpoint, ListForm

NAMES = 300_000  # made, to count pairs among: some ten


class Collisions(NamedTuple):
    size: int
    likely: float  # that two of so many servers have one shared id
    pairs: int  # of `names` made names with the real function
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
    """Two names with one shared id."""
    seen: dict[int, str] = {}
    for n in counting():
        name = f"s-{seed:x}-{n:x}"
        other = seen.setdefault(shared_id(name), name)
        if other != name:
            return other, name
    raise AssertionError


class Alike(NamedTuple):
    """Of two servers with one shared id: which peers' words reach."""

    both_listed: list[str]
    first_left: list[str]  # after the other, which was listed later, has gone


def reached(seed: int) -> Alike:
    """By the real list."""
    servers, names = Servers({}, 0), pair(seed)
    members = [_member(name, EndpointState.READY) for name in names]
    servers.apply(MemberList(1, True, tuple(members)), ListForm.FULL)
    both = servers.ids_of(servers.number_by_shared_id.values())
    servers.apply(MemberList(2, False, (_member(names[1], EndpointState.GONE),)), ListForm.DELTA)
    return Alike(both, servers.ids_of(servers.number_by_shared_id.values()))


def _member(name: str, state: EndpointState) -> Member:
    return Member(name, Address("10.0.0.1", 5000), ListedEndpoint(0, 1.0, 0, 0, 0, state, 0))

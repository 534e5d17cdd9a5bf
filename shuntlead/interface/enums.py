"""Enumerations and constants shared by events, actions and settings."""

from __future__ import annotations

from enum import Enum, IntEnum


class Effect(Enum):
    """What happens if a request of a class runs more than once."""

    REPEATABLE = "repeatable"  # may run any number of times
    BY_KEY = "by_key"  # the endpoints of a dedup group drop repeats of a key within a time window
    ONCE = "once"  # must never run twice


class Status(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


MAX_OBSERVATIONS = 36  # in one message between sidecars: 7 bytes each, of 256
NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.MOOT))


class EndpointState(IntEnum):
    """Whether a listed endpoint takes new requests."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListForm(IntEnum):
    """What an EndpointList event carries."""

    FAILED = 0  # nothing: the call to discovery failed
    DELTA = 1  # the rows that have changed
    FULL = 2  # the whole list
    CACHED = 3  # the whole list, as known from earlier

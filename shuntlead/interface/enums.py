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

    ERROR = 0  # the endpoint answered with an error
    OK = 1
    FULL = 2  # the endpoint refused it without running it
    TIMEOUT = 3
    CONNECT_FAILED = 4  # the request was not completely sent
    RESET = 5  # the connection broke before the answer
    CANCELLED = 6
    MOOT = 7  # did not run, for a reason that says nothing about the endpoint


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

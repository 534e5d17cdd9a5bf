"""The state that a sidecar keeps for its next process, as rows that identify servers by their ids."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from shuntlead.interface import Status


class LearnedRow(NamedTuple):
    """What was last learned of a server, and when (Unix ms). The same values as in Observation."""

    server: str
    slow: float  # response times relative to what the same requests usually take
    queue: float  # requests waiting at the server
    at_ms: int


class EjectionRow(NamedTuple):
    """A server that is ejected until `until_ms` (Unix ms), and the failure that caused it."""

    server: str
    until_ms: int
    reason: Status


class PinRow(NamedTuple):
    """The dedup group (the servers that recognise a repeated key) that must get all requests with a key until
    `until_ms` (Unix ms), with the numbers of KeyPin."""

    key: int
    request_class: int
    zone: int
    cell: int
    until_ms: int


class PersistedState(NamedTuple):
    """What was learned of servers, and which are ejected."""

    learned: Sequence[LearnedRow]
    ejections: Sequence[EjectionRow]

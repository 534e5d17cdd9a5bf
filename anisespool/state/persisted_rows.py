"""What outlives a process, in rows that name servers by their ids."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from shuntlead.interface import Status


class LearnedRow(NamedTuple):
    """How slow a server was and how many waited there, in the module's terms, and when (Unix ms)."""

    server: str
    slow: float
    queue: float
    at_ms: int


class VerdictRow(NamedTuple):
    """A server that is ejected until then (Unix ms), and the failure that tipped it."""

    server: str
    until_ms: int
    reason: Status


class PinRow(NamedTuple):
    """The dedup group that a key went to, in the module's terms, and until when it binds (Unix ms)."""

    key: int
    cls: int
    zone: int
    cell: int
    until_ms: int


class Remembered(NamedTuple):
    """What outlives the process."""

    learned: Sequence[LearnedRow]
    ejections: Sequence[VerdictRow]

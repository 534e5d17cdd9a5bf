"""The rows of the state store, its errors, its clock and its log."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.clock import CLOCK
from anisespool.log import say


class Order(NamedTuple):
    out: bool
    at_ms: int  # Unix time


class Record(NamedTuple):
    kind: str
    id: str
    at_ms: int  # when it was learned, Unix time
    until_ms: int  # void from then on
    body: str


class ListHead(NamedTuple):
    revision: int
    etag: str  # of the list's content, whoever wrote it; "": of the form of earlier releases


def now_ms() -> int:
    """Unix time by the steady clock, which goes on from one process to the next."""
    return CLOCK.unix_ms()


def log(text: str) -> None:
    say("state", text)

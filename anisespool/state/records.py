"""The row types of the state store, its clock and its log topic."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.clock import CLOCK
from anisespool.log import log_info


class Order(NamedTuple):
    """An operator's order to take a server out of use (DISABLE) or to use it again (ENABLE)."""

    out: bool
    at_ms: int  # when it was given, Unix time


class Record(NamedTuple):
    """One row of table `records`; what `id` and `body` mean depends on the kind."""

    kind: str
    id: str
    at_ms: int  # when the content was determined, Unix time
    until_ms: int  # the record expires then, Unix time
    body: str


class ListHead(NamedTuple):
    """The version of a stored server list."""

    revision: int
    etag: str  # a digest of the list's content; "": stored by an earlier release, which had none


def now_ms() -> int:
    """Unix time by the steady clock, which continues from one process to the next."""
    return CLOCK.unix_ms()


def log(text: str) -> None:
    """Logs a line on the state store."""
    log_info("state", text)

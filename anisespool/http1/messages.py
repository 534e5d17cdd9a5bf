"""Requests and responses as they are handed on, and what both parsers collect of a head."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.body_stream import Flow

MAX_BODY = 64 * 1024  # a longer one passes through
MAX_LONG = 48 * 1024 * 1024  # some more than what the operators' bodies have at most
MAX_HEAD = 16 * 1024


class Request(NamedTuple):
    method: bytes
    target: bytes  # path and query, as they came
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    keep_alive: bool
    flow: Flow | None = None  # in place of the body, where that is too long
    version: str = "1.1"


class Response(NamedTuple):
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # the connection can carry another request

    @property
    def length(self) -> int | None:
        """As told, whether or not the body came."""
        return told_length(self.headers)


def told_length(headers: dict[bytes, bytes]) -> int | None:
    told = headers.get(b"content-length", b"")
    return int(told[:20]) if told.isdigit() else None


class Head:
    """What both directions collect. Headers without end would fill the memory."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0
        self.whole = False  # what still comes as a header is a trailer, and counts by its size alone

    def add_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size <= MAX_HEAD and not self.whole:
            self.headers.setdefault(name.lower(), value.strip(b" \t"))  # the parser keeps blanks at the end

    def length(self) -> int | None:
        """As told ahead, or None."""
        return told_length(self.headers)

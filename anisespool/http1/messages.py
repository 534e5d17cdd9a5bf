"""Parsed requests and responses, their size limits, and the parsing state that both parsers share."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.body_stream import BodyStream

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longer bodies are streamed
MAX_STREAMED_BODY_BYTES = 48 * 1024 * 1024  # slightly above the largest body that is expected
MAX_HEAD_BYTES = 16 * 1024


class Request(NamedTuple):
    """A request to be passed on; `body_stream` streams the body if that is too long to buffer."""

    method: bytes
    target: bytes  # path and query, as received
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    keep_alive: bool
    body_stream: BodyStream | None = None  # replaces the body if that is too long to buffer
    version: str = "1.1"


class Response(NamedTuple):
    """A complete response; the body is empty if it was streamed."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # the connection can carry another request

    @property
    def length(self) -> int | None:
        """The declared Content-Length, whether or not a body was received."""
        return declared_length(self.headers)


def declared_length(headers: dict[bytes, bytes]) -> int | None:
    """Content-Length, or None if it is missing or not a number."""
    value = headers.get(b"content-length", b"")
    return int(value[:20]) if value.isdigit() else None


class PartialMessage:
    """What a parser has collected of a message. Headers are limited in size, so that they can't exhaust
    memory."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.repeated_headers: list[tuple[bytes, bytes]] = []  # further fields of a name in `headers`
        self.body: list[bytes] = []
        self.head_bytes = self.body_bytes = 0
        self.head_complete = False  # later headers are trailers: only their size counts

    def add_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value)
        if self.head_bytes > MAX_HEAD_BYTES or self.head_complete:
            return
        name, value = name.lower(), value.strip(b" \t")  # httptools keeps trailing blanks
        if name in self.headers:
            self.repeated_headers.append((name, value))
        else:
            self.headers[name] = value

    def length(self) -> int | None:
        """The declared Content-Length, or None."""
        return declared_length(self.headers)

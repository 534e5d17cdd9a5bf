"""Parsed requests and responses, their size limits, and the parsing state that both parsers share."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from anisespool.request_body import RequestBody

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longer bodies are streamed
MAX_STREAMED_BODY_BYTES = 48 * 1024 * 1024  # slightly above the largest body that is expected
MAX_HEAD_BYTES = 16 * 1024
MAX_KEPT_HEAD_BYTES = 32 * 1024  # as objects in memory; a field that is sent again and again takes many
FIELD_SEPARATOR_BYTES = 4  # ": " and the end of the line
# Of a parsed message: its tuple, its dict of headers and what each bytes object takes beside its content.
MESSAGE_OVERHEAD_BYTES, HEADER_OVERHEAD_BYTES = 512, 128

# All other fields of a request are counted and not kept: nothing reads them, and the objects of a head of
# many short fields would take a hundred times its length.
_REQUEST_HEADERS = (
    b"connection", b"content-length", b"content-type", b"expect", b"idempotency-key", b"transfer-encoding",
    b"x-customer", b"x-expires-in-ms", b"x-second-try", b"x-size-hint", b"x-trace-id",
)  # fmt: skip
REQUEST_HEADERS = {name: name for name in _REQUEST_HEADERS}


class Request(NamedTuple):
    """A request to be passed on; `body_stream` streams the body if that is too long to buffer."""

    method: bytes
    target: bytes  # path and query, as received
    headers: dict[bytes, bytes]  # those of `REQUEST_HEADERS`, names in lower case
    body: bytes
    keep_alive: bool
    body_stream: RequestBody | None = None  # replaces the body if that is too long to buffer
    version: str = "1.1"
    is_refused: bool = False  # its body was dropped, as there was no memory for it

    @property
    def held_bytes(self) -> int:
        """The memory that it takes, without a streamed body."""
        values_bytes = sum(map(len, self.headers.values())) + len(self.headers) * HEADER_OVERHEAD_BYTES
        return MESSAGE_OVERHEAD_BYTES + len(self.target) + values_bytes + len(self.body)


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
    """What a parser has collected of a message. The head is limited in size, so that it can't exhaust memory.
    The body is one buffer: an object for each of its chunks would take many times its length."""

    def __init__(self, kept_headers: Mapping[bytes, bytes] | None = None) -> None:
        """`kept_headers`: the names of the header fields to keep, each mapped to itself. None: all."""
        self._kept_headers = kept_headers
        self.headers: dict[bytes, bytes] = {}
        self.repeated_headers: list[tuple[bytes, bytes]] = []  # further fields of a name in `headers`
        self.body = bytearray()
        self.head_bytes = self.body_bytes = 0
        self._held_head_bytes = 0  # by the fields that are kept
        self.head_complete = False  # later headers are trailers: only their size counts

    @property
    def held_bytes(self) -> int:
        """The memory that it takes."""
        return self._held_head_bytes + len(self.body)

    @property
    def is_head_too_long(self) -> bool:
        """Whether the head is too long, as sent or in memory."""
        return self.head_bytes > MAX_HEAD_BYTES or self._held_head_bytes > MAX_KEPT_HEAD_BYTES

    def add_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES
        if self.is_head_too_long or self.head_complete:
            return
        name = name.lower()
        if self._kept_headers is not None:
            if name not in self._kept_headers:
                return
            name = self._kept_headers[name]  # one object for all messages
        value = value.strip(b" \t")  # httptools keeps trailing blanks
        self._held_head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if name in self.headers:
            self.repeated_headers.append((name, value))
        else:
            self.headers[name] = value

    def take_body(self) -> bytes:
        """The body, which is let go of here."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def length(self) -> int | None:
        """The declared Content-Length, or None."""
        return declared_length(self.headers)

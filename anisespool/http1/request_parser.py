"""Parses the bytes that a client sends into requests. It does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from anisespool.http1.messages import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_STREAMED_BODY_BYTES,
    REQUEST_HEADERS,
    PartialMessage,
    Request,
)
from anisespool.http1.read_size import wanted_bytes
from anisespool.http1.request_line import RequestLine, head_without_upgrade, origin_form
from anisespool.request_body import RequestBody

# An httptools parser and its owner reference each other. Left to the garbage collector, these cycles would
# pile up, one per request, with the data that they have read; so each parser is closed after use.


class RequestParser:
    """An incremental parser. It yields complete requests, and requests with a `body_stream` where the body is
    too long to buffer. Once `error` (the status to respond with) is set, nothing more can be parsed from the
    connection.

    An offer to change to another protocol (`Upgrade`) is ignored, as RFC 9110, 7.8 allows: the request is
    served as HTTP/1.1. CONNECT is rejected, as what follows it on the connection would not be HTTP.
    """

    def __init__(
        self, pause: Callable[[], None] = lambda: None, resume: Callable[[], None] = lambda: None,
        room_bytes: Callable[[], int] = lambda: 0,
    ) -> None:  # fmt: skip
        """`pause` and `resume` control reading from the client, when the sink of a body is too slow and more
        than `room_bytes` of it wait."""
        self.error = 0
        self.failure: BaseException | None = None  # a fault of this program that set `error`
        self.wants_continue = False
        self.body_bytes = 0  # received of the current request's body
        self._pause, self._resume, self._room_bytes = pause, resume, room_bytes
        self._completed: list[Request] = []
        self._body_stream: RequestBody | None = None
        self._unstreamed = bytearray()  # of the streamed body, in the bytes that are being parsed
        self._body_parts: list[bytes] = []  # of the body, in the bytes that are being parsed
        # The library's callback: a method of ours would take most of the time that small chunks take.
        self.on_body = self._body_parts.append
        self.refuses_body = False  # the body that is being received is dropped
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    @property
    def partial(self) -> bool:
        """Whether a request has been received in part."""
        return self._started

    @property
    def in_body(self) -> bool:
        return self._started and self._message.head_complete

    @property
    def headers(self) -> dict[bytes, bytes]:
        """Of the request that is being received."""
        return self._message.headers

    @property
    def body_stream(self) -> RequestBody | None:
        """The body that is being received, if it is streamed."""
        return self._body_stream

    @property
    def body_length(self) -> int | None:
        """The length of the body that is being received; None: it is not known."""
        return self._message.length()

    @property
    def body_left_bytes(self) -> int | None:
        """How much of the body is still to come; None: its length is not known."""
        length = self._message.length()
        return None if length is None else length - self.body_bytes

    @property
    def buffered_body_limit_bytes(self) -> int:
        """How long the body that is being received may become in memory; 0 if none is, or it is streamed."""
        if not self.in_body or self._body_stream or self.refuses_body:
            return 0
        length = self._message.length()
        return MAX_BUFFERED_BODY_BYTES if length is None else length

    @property
    def held_bytes(self) -> int:
        """The memory that the incomplete request takes."""
        streamed_bytes = self._body_stream.held_bytes if self._body_stream else 0
        return self._message.held_bytes + streamed_bytes

    @property
    def wanted_bytes(self) -> int:
        """How much to read at once."""
        return wanted_bytes(self.in_body, self.body_left_bytes, self._body_stream is not None)

    def feed(self, data: bytes | memoryview) -> list[Request]:
        """The requests that these bytes complete, including those that precede an error."""
        unparsed = memoryview(data)
        while unparsed and not self.error:
            unparsed = unparsed[self._parse(unparsed) :]
        self._collect_body()
        self._pass_on()
        if self.error and self._body_stream:
            self._body_stream.fail()
        completed, self._completed = self._completed, []
        return completed

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse bytes, and return how many were parsed: fewer than all if a head in them offers an upgrade.
        No exception is raised, as it would take the requests before it on this connection with it."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade()
            return int(upgrade.args[0])
        except httptools.HttpParserCallbackError as error:
            self._fail(error)
        except httptools.HttpParserError:
            self.error = self.error or HTTPStatus.BAD_REQUEST
        except Exception as error:
            self._fail(error)
        return len(data)

    def _fail(self, error: Exception) -> None:
        """Neither the bytes nor the client are at fault. A callback's exception is the context of `error`."""
        self.error = self.error or HTTPStatus.INTERNAL_SERVER_ERROR
        self.failure = error.__context__ or error

    def _ignore_upgrade(self) -> None:
        """Parse the same head once more without its offer: httptools has skipped the body that it announces.
        CONNECT counts as an upgrade too."""
        if self._parser.get_method() == b"CONNECT":
            self.error = self.error or HTTPStatus.METHOD_NOT_ALLOWED
        if self.error:
            return
        parser, message = self._parser, self._message
        line = RequestLine(parser.get_method(), self._target, parser.get_http_version().encode())
        head = head_without_upgrade(line, [*message.headers.items(), *message.repeated_headers])
        self._parser = httptools.HttpRequestParser(self)
        self._parse(head)

    def refuse_body(self) -> None:
        """Drop the body that is being received. The request is complete with its last byte all the same."""
        self.refuses_body = True
        self._message.take_body()

    def discard(self) -> None:
        """Let go of what was received of an incomplete request."""
        self._message, self._unstreamed = PartialMessage(REQUEST_HEADERS), bytearray()

    def close(self) -> None:
        """No more bytes will be fed."""
        del self._parser
        self._pause = self._resume = lambda: None
        self._room_bytes = lambda: 0
        if self._body_stream:
            self._body_stream.fail()

    def on_message_begin(self) -> None:
        self._target, self._message, self._started = b"", PartialMessage(REQUEST_HEADERS), False
        self.body_bytes, self._body_stream, self.refuses_body = 0, None, False

    def on_url(self, url: bytes) -> None:
        self._started = True
        self._message.head_bytes += len(url)
        if self._message.head_bytes <= MAX_HEAD_BYTES:
            self._target += url
        else:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.add_header(name, value or b"")
        if self._message.is_head_too_long:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_headers_complete(self) -> None:
        if self._parser.should_upgrade():
            return  # the head is parsed again, see _ignore_upgrade
        self._message.head_complete = True
        length = self._message.length() or 0
        if length > MAX_STREAMED_BODY_BYTES:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        if self._message.headers.get(b"expect", b"").lower() == b"100-continue":
            self.wants_continue = True
        if length > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming(length)

    def _collect_body(self) -> None:
        """Take over what was parsed of the body, in one piece for all its chunks."""
        data = b"".join(self._body_parts)
        self._body_parts.clear()
        self.body_bytes += len(data)
        if self.error or not data:
            return
        if self.body_bytes > MAX_STREAMED_BODY_BYTES:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif self.refuses_body:
            pass
        elif self._body_stream:
            self._unstreamed += data
        else:
            self._message.body += data
            if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
                self._start_streaming(None)

    def _start_streaming(self, length: int | None) -> None:
        self._body_stream = RequestBody(length, self._pause, self._resume, self._room_bytes)
        self._unstreamed += self._message.take_body()
        self._completed.append(self._request(b"", self._body_stream))

    def _pass_on(self) -> None:
        """Pass on what was received of a streamed body, in one piece for all its chunks."""
        if self._body_stream and self._unstreamed:
            data, self._unstreamed = bytes(self._unstreamed), bytearray()
            self._body_stream.feed(data)

    def _request(self, body: bytes, body_stream: RequestBody | None = None) -> Request:
        parser, message = self._parser, self._message
        return Request(
            parser.get_method(), origin_form(self._target), message.headers, body, parser.should_keep_alive(),
            body_stream, parser.get_http_version(), self.refuses_body,
        )  # fmt: skip

    def on_message_complete(self) -> None:
        if self._parser.should_upgrade():
            return
        self._collect_body()
        self._started = self.wants_continue = False
        self._pass_on()
        body_stream, self._body_stream = self._body_stream, None
        if self.error:
            self._body_stream = body_stream  # `feed` calls its fail()
        elif body_stream:
            body_stream.end()
        else:
            self._completed.append(self._request(self._message.take_body()))

"""Parses the bytes that an endpoint or discovery sends into a response. It does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from anisespool.body_stream import BodyStream
from anisespool.http1.messages import MAX_BUFFERED_BODY_BYTES, PartialMessage, Response


class ResponseParser:
    """An incremental parser for one response. The body is buffered, passed to a callback as it arrives (the
    watch stream of discovery), or streamed if it is too long to buffer."""

    def __init__(
        self,
        on_body: Callable[[bytes], None] | None = None,
        open_body_stream: Callable[[], BodyStream] | None = None,
        is_head_response: bool = False,
    ) -> None:
        """`open_body_stream`: provides the stream for a body that is too long to buffer.
        `is_head_response`: the response to a HEAD request, whose headers describe a body that is not sent."""
        self.response: Response | None = None
        self.status = 0  # 0 until the headers are complete
        self.broken = False
        self.body_stream: BodyStream | None = None
        self._on_body, self._open_body_stream, self._is_head_response = (
            on_body,
            open_body_stream,
            is_head_response,
        )
        self._parser = httptools.HttpResponseParser(self)
        self._message = PartialMessage()
        self._unstreamed = bytearray()  # of the streamed body, in the bytes that are being parsed

    def feed(self, data: bytes | memoryview) -> Response | None:
        """Parse more bytes; returns the response once it is complete. Whatever exception the parser raises,
        the response is broken; a change to another protocol (101), which nobody has asked for, is one."""
        try:
            self._parser.feed_data(data)
        except Exception:
            self.broken = self.broken or self.response is None
        self._pass_on()
        if self.broken and self.body_stream:
            self.body_stream.fail()
        return None if self.broken else self.response

    def end(self) -> Response | None:
        """The connection was closed in an orderly way, which ends a body that has no declared length."""
        framed = b"content-length" in self._message.headers or b"transfer-encoding" in self._message.headers
        if self.response is None and self.status and not framed and not self.broken:
            self._complete(False)
        elif self.response is None and self.body_stream:
            self.body_stream.fail()
        return self.response

    def close(self) -> None:
        """No more bytes will be fed."""
        del self._parser
        if self.body_stream:
            self.body_stream.fail()

    @property
    def length(self) -> int | None:
        """The declared Content-Length, or None."""
        return self._message.length()

    @property
    def held_bytes(self) -> int:
        """The memory that the response takes so far."""
        streamed_bytes = self.body_stream.held_bytes if self.body_stream else 0
        return self._message.held_bytes + streamed_bytes

    def _pass_on(self) -> None:
        """Pass on what was received of a streamed body, in one piece for all its chunks."""
        if self.body_stream and self._unstreamed:
            data, self._unstreamed = bytes(self._unstreamed), bytearray()
            self.body_stream.feed(data)

    @property
    def may_be_long(self) -> bool:
        """Whether the head of a successful response has come, and its body may be too long to buffer."""
        length = self._message.length()
        is_ok = self.status == HTTPStatus.OK and self.response is None and not self._is_head_response
        return is_ok and (length is None or length > MAX_BUFFERED_BODY_BYTES)

    def start_streaming(self) -> None:
        """Stop buffering the body, and pass on what has been received, whatever its length."""
        if self._open_body_stream and self.body_stream is None and self.response is None:
            self.body_stream = self._open_body_stream()
            self._unstreamed += self._message.take_body()
            self._pass_on()

    def on_message_begin(self) -> None:
        if self.response is not None:  # unexpected bytes after the end of the response
            self.response = self.response._replace(keep_alive=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.add_header(name, value or b"")
        self.broken = self.broken or self._message.is_head_too_long

    def on_headers_complete(self) -> None:
        if self.response is None:
            self.status, self._message.head_complete = self._parser.get_status_code(), True
            if self._is_head_response and self.status >= HTTPStatus.OK:
                self._complete(self._parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        if self._on_body:
            self._on_body(data)
        elif self.response is None and not self.broken:
            self._message.body_bytes += len(data)
            if self.body_stream:
                self._unstreamed += data
                return
            self._message.body += data
            if max(self._message.body_bytes, self._message.length() or 0) > MAX_BUFFERED_BODY_BYTES:
                if self.status == HTTPStatus.OK:
                    self.start_streaming()
                self.broken = self.body_stream is None

    def on_message_complete(self) -> None:
        if self.status < HTTPStatus.OK:  # interim responses such as 100 Continue are not final
            self.status, self._message = 0, PartialMessage()
        elif self.response is None and not self.broken:
            self._complete(self._parser.should_keep_alive())

    def _complete(self, keep_alive: bool) -> None:
        self.response = Response(self.status, self._message.headers, self._message.take_body(), keep_alive)
        self._pass_on()
        if self.body_stream:
            self.body_stream.end()

"""Bytes of an endpoint or of discovery, as a response. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from anisespool.body_stream import Flow
from anisespool.http1.messages import MAX_BODY, MAX_HEAD, Head, Response


class ResponseParser:
    """Bytes in, one response out; a body may be handed on as it comes (discovery's watch), or as a flow if
    it is too long to hold."""

    def __init__(
        self,
        on_body: Callable[[bytes], None] | None = None,
        on_flow: Callable[[], Flow] | None = None,
        bodiless: bool = False,
    ) -> None:
        """`on_flow`: to be asked for one with the first bytes of a long body. `bodiless`: the answer to a
        HEAD, whose framing speaks of a body that does not come."""
        self.response: Response | None = None
        self.status = 0  # once the head is whole
        self.broken = False
        self.flow: Flow | None = None
        self._sink, self._on_flow, self._bodiless = on_body, on_flow, bodiless
        self._parser = httptools.HttpResponseParser(self)
        self._head = Head()

    def feed(self, data: bytes | memoryview) -> Response | None:
        """The response, once it is whole."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = self.broken or self.response is None
        if self.broken and self.flow:
            self.flow.fail()
        return None if self.broken else self.response

    def end(self) -> Response | None:
        """The connection has ended in order: with no framing, that is what ends the body."""
        framed = b"content-length" in self._head.headers or b"transfer-encoding" in self._head.headers
        if self.response is None and self.status and not framed and not self.broken:
            self._complete(False)
        elif self.response is None and self.flow:
            self.flow.fail()
        return self.response

    def close(self) -> None:
        """No more bytes will be fed."""
        del self._parser
        if self.flow:
            self.flow.fail()

    @property
    def length(self) -> int | None:
        """Of the body, as told ahead, or None."""
        return self._head.length()

    def pass_on(self) -> None:
        """Hold the body no longer, however long it will be."""
        if self._on_flow and self.flow is None and self.response is None:
            self.flow = self._on_flow()
            for data in self._head.body:
                self.flow.feed(data)
            self._head.body.clear()

    def on_message_begin(self) -> None:
        if self.response is not None:  # bytes past its end: nobody asked for them
            self.response = self.response._replace(keep_alive=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head.add_header(name, value or b"")
        self.broken = self.broken or self._head.head_size > MAX_HEAD

    def on_headers_complete(self) -> None:
        if self.response is None:
            self.status, self._head.whole = self._parser.get_status_code(), True
            if self._bodiless and self.status >= HTTPStatus.OK:
                self._complete(self._parser.should_keep_alive())

    def on_body(self, data: bytes) -> None:
        if self._sink:
            self._sink(data)
        elif self.response is None and not self.broken:
            self._head.body_size += len(data)
            if self.flow:
                self.flow.feed(data)
                return
            self._head.body.append(data)
            if max(self._head.body_size, self._head.length() or 0) > MAX_BODY:
                if self.status == HTTPStatus.OK:
                    self.pass_on()
                self.broken = self.flow is None

    def on_message_complete(self) -> None:
        if self.status < HTTPStatus.OK:  # 100 Continue and its like announce, they do not answer
            self.status, self._head = 0, Head()
        elif self.response is None and not self.broken:
            self._complete(self._parser.should_keep_alive())

    def _complete(self, keep: bool) -> None:
        self.response = Response(self.status, self._head.headers, b"".join(self._head.body), keep)
        if self.flow:
            self.flow.end()

"""Bytes of a client, as requests. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from anisespool.body_stream import Flow
from anisespool.http1.messages import MAX_BODY, MAX_HEAD, MAX_LONG, Head, Request

# A parser of httptools and its owner here hold each other. Left to the collector, pairs pile up with
# all that they have read, one for each request; so each is closed once it is done with.


class RequestParser:
    """Bytes in, requests out: whole ones, or with a flow in place of a body too long to hold. After `error`
    (the status to answer) the stream is of no more use."""

    def __init__(
        self, pause: Callable[[], None] = lambda: None, resume: Callable[[], None] = lambda: None
    ) -> None:
        """`pause` and `resume` act on the source of the bytes, while a flow has nowhere to go."""
        self.error = 0
        self.wants_continue = False
        self.received = 0  # bytes of the present request's body
        self._pause, self._resume = pause, resume
        self._done: list[Request] = []
        self._flow: Flow | None = None
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    @property
    def partial(self) -> bool:
        """Part of a request has come."""
        return self._begun

    @property
    def in_body(self) -> bool:
        return self._begun and self._head.whole

    def feed(self, data: bytes | memoryview) -> list[Request]:
        """The requests that these bytes complete; those before a fault in the bytes still count."""
        if not self.error:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:  # an upgrade included: there is none to be had
                self.error = self.error or HTTPStatus.BAD_REQUEST
        if self.error and self._flow:
            self._flow.fail()
        done, self._done = self._done, []
        return done

    def close(self) -> None:
        """No more bytes will be fed."""
        del self._parser
        if self._flow:
            self._flow.fail()

    def on_message_begin(self) -> None:
        self._target, self._head, self._begun = b"", Head(), False
        self.received, self._flow = 0, None

    def on_url(self, url: bytes) -> None:
        self._begun = True
        self._head.head_size += len(url)
        if self._head.head_size <= MAX_HEAD:
            self._target += url
        else:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head.add_header(name, value or b"")
        if self._head.head_size > MAX_HEAD:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_headers_complete(self) -> None:
        self._head.whole = True
        length = self._head.length() or 0
        if length > MAX_LONG:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            return
        if self._head.headers.get(b"expect", b"").lower() == b"100-continue":
            self.wants_continue = True
        if length > MAX_BODY:
            self._pass_through(length)

    def on_body(self, data: bytes) -> None:
        self.received += len(data)
        if self.error:
            return
        if self.received > MAX_LONG:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif self._flow:
            self._flow.feed(data)
        else:
            self._head.body.append(data)
            if self.received > MAX_BODY:
                self._pass_through(None)

    def _pass_through(self, length: int | None) -> None:
        self._flow = Flow(length, self._pause, self._resume)
        for data in self._head.body:
            self._flow.feed(data)
        self._head.body.clear()
        self._done.append(self._request(b"", self._flow))

    def _request(self, body: bytes, flow: Flow | None = None) -> Request:
        parser = self._parser
        method, keep, version = parser.get_method(), parser.should_keep_alive(), parser.get_http_version()
        return Request(method, _origin_form(self._target), self._head.headers, body, keep, flow, version)

    def on_message_complete(self) -> None:
        self._begun = self.wants_continue = False
        flow, self._flow = self._flow, None
        if self.error:
            self._flow = flow  # which feed will fail
        elif flow:
            flow.end()
        else:
            self._done.append(self._request(b"".join(self._head.body)))


def _origin_form(target: bytes) -> bytes:
    """Path and query, also of a target with scheme and host as a proxy is sent it."""
    scheme, mark, rest = target.partition(b"://")
    if target.startswith(b"/") or not mark or scheme.lower() not in (b"http", b"https"):
        return target
    _, slash, path = rest.partition(b"/")
    return slash + path or b"/"

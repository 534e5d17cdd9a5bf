"""HTTP/1.1 parsing and framing, the same for clients, endpoints and discovery. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools

from anisespool.flow import Flow

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
        return _told_length(self.headers)


# Danger: a parser of httptools and its owner here hold each other. Left to the collector, pairs pile up with
# all that they have read, one for each request; so each is closed once it is done with.


def _told_length(headers: dict[bytes, bytes]) -> int | None:
    told = headers.get(b"content-length", b"")
    return int(told[:20]) if told.isdigit() else None


class _Head:
    """What both directions collect. Danger: headers without end would fill the memory."""

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
        return _told_length(self.headers)


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
        self._target, self._head, self._begun = b"", _Head(), False
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
        return Request(
            method, _origin_form(self._target), self._head.headers, body, keep, flow, version
        )

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
        self._head = _Head()

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
            self.status, self._head = 0, _Head()
        elif self.response is None and not self.broken:
            self._complete(self._parser.should_keep_alive())

    def _complete(self, keep: bool) -> None:
        self.response = Response(self.status, self._head.headers, b"".join(self._head.body), keep)
        if self.flow:
            self.flow.end()


def encode_request(request: Request, host: bytes, headers: dict[bytes, bytes]) -> bytes:
    """A request in one piece, so that it leaves in one packet where it fits; of one with a flow, the head."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in headers.items()]
    if request.flow:
        lines.append(_framing(request.flow.length))
    elif request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(_framing(len(request.body)))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _framing(length: int | None) -> bytes:
    return b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def encode_response(
    status: int, body: bytes = b"", retry_after_s: float = 0.0, close: bool = False, length: int | None = None
) -> bytes:
    """`length`: of a body that is not sent, as after a HEAD."""
    return encode_head(status, len(body) if length is None else length, retry_after_s, close) + body


def encode_head(
    status: int, length: int | None, retry_after_s: float = 0.0, close: bool = False, chunked: bool = True
) -> bytes:
    """`length` None: the body comes in chunks, or else ends with the connection."""
    phrase = HTTPStatus(status).phrase.encode()
    head = b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    if length is not None or chunked:
        head += _framing(length) + b"\r\n"
    if retry_after_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n"


def parse_load(value: bytes | None, columns: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT inflight=7, queue=2` in the order of the columns; nothing if any of it is not as it should be."""
    kind, _, rest = (value or b"").strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    figures: dict[str, float] = {}
    for pair in rest.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        try:
            figures[name.strip()] = float(number)
        except ValueError:
            return ()
    return tuple(figures[c] for c in columns) if all(c in figures for c in columns) else ()

"""Forms of messages that offer another protocol, and the exceptions that an HTTP parser may raise."""

from __future__ import annotations

import httptools
import httptools.parser.errors

from tests.test_long import LONG_BODY, chunked

OFFERS = {
    "h2c": "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": "Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\nSec-WebSocket-Version: 13\r\n",
    "TLS": "CONNECTION: UPGRADE\r\nUPGRADE: TLS/1.0\r\n",
    "two fields each": "Connection: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nUpgrade: foo/2, bar\r\n",
    "and a close": "Connection: close\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n",
    "no token in Connection": "Upgrade: h2c\r\n",
    "nothing offered": "Connection: Upgrade\r\n",
}
LONG_CHUNKS = chunked(LONG_BODY, 50_000)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Method, framing header and body on the wire, and the body itself.
FORMS = {
    "without a body": (b"GET", b"", b"", b""),
    "with an empty body": (b"POST", b"Content-Length: 0\r\n", b"", b""),
    "with a body": (b"POST", b"Content-Length: 5\r\n", b"GET /", b"GET /"),
    "in chunks": (b"POST", CHUNKED, b"2\r\nGE\r\n3;x=1\r\nT /\r\n0\r\n\r\n", b"GET /"),
    "in chunks with an offer behind them": (
        b"POST", CHUNKED, b"1\r\na\r\n0\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", b"a",
    ),
    "long": (b"POST", b"Content-Length: %d\r\n" % len(LONG_BODY), LONG_BODY, LONG_BODY),
    "long, in chunks": (b"POST", CHUNKED, LONG_CHUNKS, LONG_BODY),
}  # fmt: skip
SHORT_FORMS = [form for form in FORMS if not form.startswith("long")]


class Collector:
    """The sink of a streamed body."""

    def __init__(self) -> None:
        self.data, self.is_complete = b"", False

    def stream_data(self, data: bytes) -> None:
        self.data += data

    def stream_end(self) -> None:
        self.is_complete = True

    def stream_failed(self) -> None:
        raise AssertionError


PARSER_ERRORS = [
    *(each for each in vars(httptools.parser.errors).values() if isinstance(each, type)
      and issubclass(each, Exception) and each is not httptools.HttpParserUpgrade),
    MemoryError, ValueError,
]  # fmt: skip

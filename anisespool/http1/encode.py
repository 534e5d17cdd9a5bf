"""Encodes requests and responses, and parses the load report in a response header."""

from __future__ import annotations

from http import HTTPStatus

from anisespool.http1.messages import Request

LAST_CHUNK = b"0\r\n\r\n"


def encode_request(request: Request, host: bytes, headers: dict[bytes, bytes]) -> bytes:
    """The whole request in one buffer, so that a small one is sent in one packet; only the head if the body
    is streamed."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in headers.items()]
    if request.body_stream:
        lines.append(_framing_header(request.body_stream.length))
    elif request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(_framing_header(len(request.body)))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def _framing_header(length: int | None) -> bytes:
    return b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def encode_response(
    status: int, body: bytes = b"", retry_after_s: float = 0.0, close: bool = False, length: int | None = None
) -> bytes:
    """A response with its body. `length`: Content-Length if the body itself is not sent, as for HEAD."""
    return encode_head(status, len(body) if length is None else length, retry_after_s, close) + body


def encode_head(
    status: int, length: int | None, retry_after_s: float = 0.0, close: bool = False, chunked: bool = True
) -> bytes:
    """The status line and headers. `length` None: the body is chunked, or, unless `chunked`, ends with the
    connection."""
    phrase = HTTPStatus(status).phrase.encode()
    head = b"HTTP/1.1 %d %s\r\n" % (status, phrase)
    if length is not None or chunked:
        head += _framing_header(length) + b"\r\n"
    if retry_after_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n"


def parse_load_report(value: bytes | None, columns: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a header like `TEXT inflight=7, queue=2`, in the order of `columns`. Empty if any part is
    malformed or a column is missing."""
    format_name, _, rest = (value or b"").strip().partition(b" ")
    if format_name.upper() != b"TEXT":
        return ()
    values: dict[str, float] = {}
    for pair in rest.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        try:
            values[name.strip()] = float(number)
        except ValueError:
            return ()
    return tuple(values[c] for c in columns) if all(c in values for c in columns) else ()

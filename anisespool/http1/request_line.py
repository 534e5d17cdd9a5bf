"""The first line of a request: the forms of its target, and a head that is written anew."""

from __future__ import annotations

from typing import NamedTuple


class RequestLine(NamedTuple):
    """Method, target and HTTP version, as received."""

    method: bytes
    target: bytes
    version: bytes


def head_without_upgrade(line: RequestLine, headers: list[tuple[bytes, bytes]]) -> bytes:
    """The same head without its offer to change to another protocol."""
    request_line = b"%b %b HTTP/%b" % line
    fields = (b"%b: %b" % header for header in headers if header[0] != b"upgrade")
    return b"\r\n".join([request_line, *fields]) + b"\r\n\r\n"


def origin_form(target: bytes) -> bytes:
    """Path and query of a target in origin form, or in absolute form as sent to a proxy (RFC 9112, 3.2)."""
    scheme, separator, rest = target.partition(b"://")
    if target.startswith(b"/") or not separator or scheme.lower() not in (b"http", b"https"):
        return target
    _, slash, path = rest.partition(b"/")
    return slash + path or b"/"

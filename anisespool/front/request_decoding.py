"""Validates a client's HTTP request, and converts it to a `Call` for the driver (`Sidecar`)."""

from __future__ import annotations

import hashlib
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from anisespool import http1
from anisespool.config import NameIndex
from anisespool.exchange import Call
from anisespool.telemetry import TELEMETRY
from shuntlead import Settings

MAX_DEADLINE_MS = 3_600_000
NEGLIGIBLE_WAIT_NS = 1_000_000  # shorter waits are not deducted
MAX_UNREAD_SHARE = 0.65  # of the time left to a request


class InvalidRequest(ValueError):
    """Well-formed HTTP that is not a valid request here; carries the status of the response."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


class ReceivedRequest(NamedTuple):
    """A parsed request and its times, in monotonic nanoseconds."""

    request: http1.Request
    arrived_ns: int  # by when it had reached this machine
    read_ns: int  # when this process read it
    was_stalled: bool  # read after a stall of the process, or late in a long turn of the event loop
    expires_ns: int  # when its client stops waiting for the answer
    held_bytes: int  # the memory that it takes, without a streamed body


def decode_received(received: ReceivedRequest, names: NameIndex, settings: Settings, now_ns: int) -> Call:
    """The call that a received request makes, with the time that is left to it now (monotonic nanoseconds).
    Raises InvalidRequest."""
    return deduct_wait(decode_request(received.request, names, settings), received, now_ns)


def deduct_wait(call: Call, received: ReceivedRequest, now_ns: int) -> Call:
    """The call, with its remaining time reduced by the time it waited unread or behind pipelined requests.

    Raises InvalidRequest if it lay unread for most of its time because the process was stalled. The process
    is far behind then, and an attempt for each request that has nearly expired would take time from the
    requests after it.
    """
    body_stream = call.request.body_stream
    if body_stream and not body_stream.is_timed:
        return call  # its time has not begun
    waited_ns = now_ns - (body_stream.sent_ns if body_stream else received.arrived_ns)
    if body_stream:
        body_stream.counted_until_ns = now_ns
    if waited_ns <= NEGLIGIBLE_WAIT_NS:
        return call
    if received.was_stalled and received.read_ns - received.arrived_ns > MAX_UNREAD_SHARE * call.left_ns:
        TELEMETRY.count("refused as read too late")
        raise InvalidRequest(HTTPStatus.SERVICE_UNAVAILABLE, "this sidecar is behind")
    return call._replace(left_ns=max(0, call.left_ns - waited_ns))


def decode_request(request: http1.Request, names: NameIndex, settings: Settings) -> Call:
    """The call that a request makes. Raises InvalidRequest if it is not valid."""
    if request.method not in (b"GET", b"HEAD", b"POST"):
        raise InvalidRequest(HTTPStatus.METHOD_NOT_ALLOWED, "GET, HEAD and POST are served")
    parts = [part for part in request.target.partition(b"?")[0].split(b"/") if part]
    cls = names.classes.get(unquote_to_bytes(parts[0]).decode("latin-1")) if parts else None
    if cls is None:
        raise InvalidRequest(HTTPStatus.NOT_FOUND, "no such class of requests")
    headers = request.headers
    if not headers.get(b"x-trace-id"):
        raise InvalidRequest(HTTPStatus.BAD_REQUEST, "X-Trace-Id is missing")
    left_ns = settings.classes[cls].deadline_ns
    if (left_ms := _parse_number(headers, b"x-expires-in-ms")) is not None:
        left_ns = min(left_ms, MAX_DEADLINE_MS) * 1_000_000
    hint_us = _parse_number(headers, b"x-size-hint")
    return Call(
        request=request,
        cls=cls,
        tenant=names.tenants.get(headers.get(b"x-customer", b"").decode("latin-1"), len(names.tenants)),
        left_ns=left_ns,
        hint_ns=None if hint_us is None else hint_us * 1000,
        key=_hash_key(parts[-1]) if len(parts) > 1 else 0,
        is_retry=headers.get(b"x-second-try") == b"1",
        dedup_key=_hash_key(headers[b"idempotency-key"]) if headers.get(b"idempotency-key") else 0,
    )


def time_left_ns(request: http1.Request, settings: Settings) -> int:
    """How long the client waits for the answer, from when it sent the request: at most, if it is not said."""
    return header_time_left_ns(request.headers, settings)


def header_time_left_ns(headers: dict[bytes, bytes], settings: Settings) -> int:
    """The same, for a request of which only the head has come."""
    try:
        left_ms = _parse_number(headers, b"x-expires-in-ms")
    except InvalidRequest:
        left_ms = None
    if left_ms is None:
        return max(each.deadline_ns for each in settings.classes)
    return min(left_ms, MAX_DEADLINE_MS) * 1_000_000


def _parse_number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 18:
        raise InvalidRequest(HTTPStatus.BAD_REQUEST, f"{name.decode()} is no whole number")
    return int(value)


def _hash_key(part: bytes) -> int:
    """A hash that is the same in every sidecar. Never 0, which means no key."""
    return int.from_bytes(hashlib.blake2b(part, digest_size=8).digest(), "big") or 1

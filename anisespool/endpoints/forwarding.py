"""What of a client's request is passed on to an endpoint."""

from __future__ import annotations

from anisespool import http1
from anisespool.config import Address
from anisespool.endpoints.attempt import Attempt

FORWARDED_HEADERS = {b"x-trace-id": b"X-Trace-Id", b"idempotency-key": b"Idempotency-Key",
                     b"content-type": b"Content-Type"}  # fmt: skip


def encode_attempt(attempt: Attempt, address: Address, left_ms: int) -> bytes:
    """The request as it is sent to this address, with the time that is left to it, in milliseconds."""
    request = attempt.request
    headers = {
        name: request.headers[key] for key, name in FORWARDED_HEADERS.items() if key in request.headers
    }
    headers[b"X-Expires-In-Ms"] = b"%d" % left_ms
    return http1.encode_request(request, f"{address.host}:{address.port}".encode(), headers)

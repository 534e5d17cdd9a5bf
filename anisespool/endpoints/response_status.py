"""What the response of an endpoint says of its attempt."""

from __future__ import annotations

from http import HTTPStatus

from anisespool import http1
from shuntlead.interface import Status

TURNED_AWAY = HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT


def response_status(response: http1.Response) -> Status:
    """FULL only where the endpoint tells that the request has not run."""
    if response.status == HTTPStatus.OK:
        return Status.OK
    has_not_run = response.headers.get(b"x-never-ran", b"").strip() == b"1"
    return Status.FULL if has_not_run and response.status in TURNED_AWAY else Status.ERROR

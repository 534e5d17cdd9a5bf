"""Timeouts of one client connection: for sending a request, for uploading a body, for reading a response.

This module does no I/O. Times are in seconds of the monotonic clock. A client that sends no complete request
must be disconnected within 3 s.
"""

from __future__ import annotations

import time

REQUEST_TIMEOUT_S = 2.25  # to send a complete request; with the sweep interval this stays below 3 s
FIRST_BYTE_GRACE_S = 0.5  # a client may delay its first byte by this much without shortening its timeout
# A body may take BODY_GRACE_S plus its size at this rate, which is slightly below the rate clients must keep.
BODY_GRACE_S, MIN_BODY_BYTES_PER_S = 0.75, 60_000
READ_STALL_TIMEOUT_S = 10.0  # for a client to receive any of the response bytes that it is owed
NO_REQUEST_WEIGHT = 8.0  # idle time before the first request weighs this much more than between requests
RECEIVE_IDLE_TIMEOUT_S = 1.0  # a partial request without a new byte for this long is no longer being received


class ClientTimeouts:
    """Records what a client last sent and read, and tells which of its timeouts have passed."""

    def __init__(self) -> None:
        self.waiting_since = time.monotonic()  # start of the wait for a complete request
        self._last_received_at = 0.0
        self._body_started_at = 0.0  # when the headers of the latest request were complete
        self._body_bytes = 0  # received since then
        self._paused_at = 0.0  # when this process stopped reading; 0: it reads
        self._last_delivered_at = 0.0  # when the client last received response bytes, or was owed none

    def data_received(self, now: float) -> None:
        self._last_received_at = now

    def request_started(self, now: float, has_served: bool) -> None:
        """The first byte of a request was read. `has_served`: an earlier request was answered here."""
        self.waiting_since = now if has_served else min(now, self.waiting_since + FIRST_BYTE_GRACE_S)

    def body_started(self, now: float) -> None:
        self._body_started_at, self._body_bytes = now, 0

    def count_bytes(self, nbytes: int) -> None:
        self._body_bytes += nbytes

    def pause(self) -> None:
        """Reading is paused. The client can't send meanwhile, so the time doesn't count against it."""
        self._paused_at = self._paused_at or time.monotonic()

    def resume(self) -> None:
        if self._paused_at:
            paused_s = time.monotonic() - self._paused_at
            self._body_started_at += paused_s
            self.waiting_since += paused_s
            self._paused_at = 0.0

    def extend_body(self, seconds: float) -> None:
        """The body was not read for so long, while the kernel had a part of it."""
        self._body_started_at += seconds

    def answer_sent(self) -> None:
        self.waiting_since = self._last_delivered_at = time.monotonic()

    def response_received(self, now: float) -> None:
        self._last_delivered_at = now

    def is_read_stalled(self, now: float) -> bool:
        """The client has received none of its response for too long."""
        return now > self._last_delivered_at + READ_STALL_TIMEOUT_S

    def is_request_late(self, now: float) -> bool:
        return not self._paused_at and now > self.waiting_since + REQUEST_TIMEOUT_S

    def is_body_late(self, now: float) -> bool:
        return (
            not self._paused_at
            and now > self._body_started_at + BODY_GRACE_S + self._body_bytes / MIN_BODY_BYTES_PER_S
        )

    def is_receiving(self, now: float) -> bool:
        """Bytes of a partial request have arrived recently."""
        return now < self._last_received_at + RECEIVE_IDLE_TIMEOUT_S

    def idle_score(self, now: float, partial: bool, has_served: bool) -> float:
        """Eviction priority: the connection with the highest score is closed first.

        The score is the idle time. Before the first request it is multiplied by NO_REQUEST_WEIGHT: a client
        normally writes as soon as it connects, whereas the next request on a used connection may follow some
        time after a response, and can also be sent on a new connection. Connections with a partial request
        have negative scores, so they are evicted after all idle ones.
        """
        if partial:
            return -1 / max(1e-3, now - self._last_received_at)
        return (now - self.waiting_since) * (1.0 if has_served else NO_REQUEST_WEIGHT)

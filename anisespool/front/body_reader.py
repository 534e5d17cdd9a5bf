"""Times the body that a client connection receives, and limits how far it is read ahead of its endpoint."""

from __future__ import annotations

import time

from anisespool import http1
from anisespool.front.client_reader import ClientReader, PauseReason
from anisespool.front.last_write import MAX_CLIENT_BUFFER_BYTES, LastWriteEstimate
from anisespool.front.server_interface import ServerInterface
from anisespool.request_body import RequestBody

MAX_READ_AHEAD_BYTES = 2 * 1024 * 1024  # of one body
OPEN_WINDOW_SHARE = 2  # with less than one part in so many of the buffer unread, a client may send more
BODY_PAUSES = PauseReason.UPLOAD | PauseReason.MEMORY


class BodyReader(ClientReader):
    """Parses what is received. Subclasses queue the requests."""

    def __init__(self, server: ServerInterface) -> None:
        super().__init__(server.paused_connections)
        self._server = server
        self._parser = http1.RequestParser(self._pause_upload, self._resume_upload, self._read_ahead_bytes)
        self._last_write = LastWriteEstimate()
        self._read_at_ns = 0  # when all that had arrived was read, monotonic; 0: reading was paused since
        self._is_upload_limited = False

    @property
    def _current_upload(self) -> RequestBody | None:
        """The streamed body of the request in progress."""
        raise NotImplementedError

    @property
    def _has_requests_before(self) -> bool:
        """Whether other requests go before the one that is being received."""
        raise NotImplementedError

    def _limit_upload(self, is_waiting: bool) -> None:
        """The body of the request in progress waits for its endpoint, or (False) all that has arrived was
        passed on, so that there is no time limit until more arrives."""
        raise NotImplementedError

    def _pause_reading(self, reason: PauseReason) -> None:
        super()._pause_reading(reason)
        self._read_at_ns = 0
        if reason in BODY_PAUSES and self._parser.in_body:
            self._last_write.on_stop(self._parser.body_bytes + self._unread_bytes(), time.monotonic_ns())

    def _read_again(self) -> None:
        # Otherwise the window was open throughout, and the client's kernel has sent all that it had.
        if self._unread_bytes() < self._server.memory.buffers.receive_bytes // OPEN_WINDOW_SHARE:
            self._last_write.reset()
        super()._read_again()

    def _pause_upload(self) -> None:
        self._pause_reading(PauseReason.UPLOAD)

    def _resume_upload(self) -> None:
        self._resume_reading(PauseReason.UPLOAD)

    def _read_ahead_bytes(self) -> int:
        """How much of the body may wait here for its endpoint. While more of it is to come than its client's
        kernel can hold, the client has not written the last byte, and may as well wait."""
        is_next = self._parser.body_stream is self._current_upload or not self._has_requests_before
        if not is_next or (self._parser.body_left_bytes or 0) > MAX_CLIENT_BUFFER_BYTES:
            return 0
        return min(MAX_READ_AHEAD_BYTES, self._server.memory.read_ahead_bytes)

    def _parse(self, data: memoryview, now_ns: int, arrived_ns: int) -> tuple[list[http1.Request], int]:
        """The requests that these bytes complete or begin, and when they were sent. `arrived_ns`: when the
        bytes arrived."""
        if self._parser.in_body:
            idle_ns = arrived_ns - self._read_at_ns if self._read_at_ns else 0
            arrived_ns = min(arrived_ns, self._estimate_last_write(now_ns, len(data), idle_ns) or arrived_ns)
        body = self._parser.body_stream
        self._record_arrival(body)
        requests = self._parser.feed(data)
        for request in requests:
            self._record_arrival(request.body_stream)
        bodies = (body, *(request.body_stream for request in requests)) if body or requests else ()
        if not self._parser.in_body or any(each is None or each.done for each in bodies):
            self._last_write.reset()
            if self._pause_reasons & BODY_PAUSES:
                self._last_write.on_stop(self._parser.body_bytes, now_ns)
        self._read_at_ns = 0 if self._pause_reasons else now_ns
        return requests, arrived_ns

    def _estimate_last_write(self, now_ns: int, arrived_bytes: int, idle_ns: int) -> int | None:
        """When the client can have written the last byte of the body, with so many more bytes arrived."""
        nbytes, length = self._parser.body_bytes + arrived_bytes, self._parser.body_length
        self._last_write.on_arrival(nbytes, now_ns, idle_ns)
        earliest_ns = self._last_write.earliest_end_ns(nbytes, length)
        if body := self._parser.body_stream:
            body.earliest_end_ns = earliest_ns
        return earliest_ns

    def _record_arrival(self, body: RequestBody | None) -> None:
        if body and not body.has_arrived:
            body.last_arrived_ns = self._arrival_times.last_arrived_ns

    def record_unread(self) -> None:
        super().record_unread()
        body, left_bytes = self._parser.body_stream, self._parser.body_left_bytes
        if body and self._pause_reasons & BODY_PAUSES:
            unread_bytes = self._unread_bytes()
            self._record_arrival(body)
            body.has_arrived = left_bytes is not None and unread_bytes >= left_bytes
            self._estimate_last_write(time.monotonic_ns(), unread_bytes, 0)
            body.update()
            self._renew_upload_limit()

    def _renew_upload_limit(self) -> None:
        """An upload has a time limit for as long as bytes of it wait for its endpoint, which moves with them;
        and once its client may have written all of it."""
        body = self._current_upload
        if body is None:
            self._is_upload_limited = False
        elif body is self._parser.body_stream or body.done:
            is_waiting = body.is_timed or body.paused or self._unread_bytes() > 0
            self._is_upload_limited = is_waiting and not body.done
            self._limit_upload(is_waiting)

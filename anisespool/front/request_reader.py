"""The receiving side of a client connection: parses what is read, queues the requests, and bounds both.

Reading is paused while too many pipelined requests are queued, while the endpoint of a streamed body can't
take more of it, and while all connections together hold too much.
"""

from __future__ import annotations

import time

from anisespool import http1
from anisespool.body_stream import BodyStream, read_buffer
from anisespool.front.client_reader import ClientReader, PauseReason
from anisespool.front.request_decoding import ReceivedRequest, time_left_ns
from anisespool.front.request_queue import RequestQueue
from anisespool.front.server_interface import ServerInterface
from anisespool.memory_budget import Holding

MEMORY_WAIT_S = 0.5  # for other connections to let go of memory, before an incomplete request is refused


class RequestReader(ClientReader):
    """Receives requests into a queue. Subclasses handle them."""

    def __init__(self, server: ServerInterface) -> None:
        super().__init__(server.paused_connections)
        self._server = server
        self._parser = http1.RequestParser(self._pause_upload, self._resume_upload)
        self._queue = RequestQueue()
        self._closing = self._has_served = False
        self._holding = Holding(server.memory)
        self._waits_for_memory_since = 0.0  # monotonic seconds; 0: it does not wait
        self._is_upload_limited = False

    def _handle_received(self) -> None:
        """Requests were queued, or the parser has found an error."""
        raise NotImplementedError

    def _held_besides_queue(self) -> int:
        """The memory that the current request and its response take."""
        raise NotImplementedError

    def _limit_upload(self, is_waiting: bool) -> None:
        """The body that is being received waits for its endpoint, or (False) all that has arrived was passed
        on, so that there is no time limit until more arrives."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        return read_buffer[: min(self._server.memory.read_bytes, self._parser.wanted_bytes)]

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            self._timeouts.data_received(time.monotonic())
            return
        now_ns, was_partial, was_in_body = time.monotonic_ns(), self._parser.partial, self._parser.in_body
        self._timeouts.data_received(now_ns / 1e9)
        arrived_ns = self._arrival_ns(now_ns, nbytes)
        stalled = self._server.stall_detector.is_stalled(now_ns)
        self._record_body_arrival(self._parser.body_stream)
        for request in self._parser.feed(read_buffer[:nbytes]):
            self._record_body_arrival(request.body_stream)
            expires_ns = arrived_ns + time_left_ns(request, self._server.settings)
            self._queue.append(
                ReceivedRequest(request, arrived_ns, now_ns, stalled, expires_ns, request.held_bytes)
            )
        if self._parser.partial and not was_partial:
            self._timeouts.request_started(now_ns / 1e9, self._has_served)
        if self._parser.in_body and not was_in_body:
            self._timeouts.body_started(now_ns / 1e9)
        self._timeouts.count_bytes(nbytes)
        if self._queue.is_long:
            self._pause_reading(PauseReason.QUEUE)
        self._handle_received()
        if self._is_upload_limited:
            self._renew_upload_limit()
        self._account()
        if self._server.memory.is_exhausted and not self._closing and (self._parser.partial or self._queue):
            self._wait_for_memory()

    def _record_body_arrival(self, body_stream: BodyStream | None) -> None:
        if body_stream and not body_stream.has_arrived:
            body_stream.last_arrived_ns = self._arrival_times.last_arrived_ns

    def record_unread(self) -> None:
        super().record_unread()
        body_stream, left_bytes = self._parser.body_stream, self._parser.body_left_bytes
        if body_stream and PauseReason.UPLOAD in self._pause_reasons:
            self._record_body_arrival(body_stream)
            body_stream.has_arrived = left_bytes is not None and self._unread_bytes() >= left_bytes
            self._renew_upload_limit()

    def _renew_upload_limit(self) -> None:
        """An upload has a time limit for as long as bytes of it wait for its endpoint. It moves with them."""
        body_stream = self._parser.body_stream
        self._is_upload_limited = body_stream is not None and (body_stream.paused or self._unread_bytes() > 0)
        if body_stream:
            self._limit_upload(self._is_upload_limited)

    def _account(self) -> None:
        """Report the memory that this connection takes."""
        self._holding.set(self._parser.held_bytes + self._queue.held_bytes + self._held_besides_queue())

    def _release_memory(self) -> None:
        """The connection has ended."""
        self._server.memory.cancel_wait(self._on_memory)
        self._holding.set(0)

    def _stop_receiving(self) -> None:
        """Discard what was received. Input is still read, for the client to receive its last response."""
        self._queue.clear()
        self._parser.discard()
        self._server.memory.cancel_wait(self._on_memory)
        self._waits_for_memory_since = 0.0
        self._read_again()

    def _wait_for_memory(self) -> None:
        self._waits_for_memory_since = time.monotonic()
        self._pause_reading(PauseReason.MEMORY)
        self._server.memory.wait(self._on_memory)

    def _on_memory(self) -> None:
        self._waits_for_memory_since = 0.0
        self._resume_reading(PauseReason.MEMORY)

    def has_waited_for_memory(self, now: float) -> bool:
        """Whether the connection waits for memory, and has for as long as it may (monotonic seconds)."""
        return self._server.memory.is_short and 0.0 < self._waits_for_memory_since < now - MEMORY_WAIT_S

    def _pause_upload(self) -> None:
        self._pause_reading(PauseReason.UPLOAD)

    def _resume_upload(self) -> None:
        self._resume_reading(PauseReason.UPLOAD)

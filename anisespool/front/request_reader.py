"""The receiving side of a client connection: parses what is read, queues the requests, and bounds both.

Reading is paused while too many pipelined requests are queued, while the endpoint of a streamed body can't
take more of it, and while there is no memory for the body that follows. A body that is buffered is read once
there is room for all of it, so that no two requests wait for memory that the other one holds.
"""

from __future__ import annotations

import time

from anisespool.body_stream import read_buffer
from anisespool.endpoints.connection import CONNECTION_BYTES as ENDPOINT_CONNECTION_BYTES
from anisespool.front.body_reader import BodyReader
from anisespool.front.client_reader import PauseReason
from anisespool.front.request_decoding import ReceivedRequest, header_time_left_ns, time_left_ns
from anisespool.front.request_queue import RequestQueue
from anisespool.front.server_interface import ServerInterface
from anisespool.memory_budget import Holding, Priority
from anisespool.socket_buffers import SOCKET_BYTES
from anisespool.telemetry import TELEMETRY

CONNECTION_BYTES = 5 * 1024  # the objects of a connection
# The objects of a request in progress: its exchange, its attempt, and what the decision module keeps.
REQUEST_BYTES = 6 * 1024
# A request waits for memory for one part in so many of its time, and is then refused; one whose client has
# stopped half way, or cannot send more as the kernel is full, waits no longer than MAX_PARTIAL_WAIT_NS.
MEMORY_WAIT_DIVISOR = 2
MAX_PARTIAL_WAIT_NS = 1_000_000_000


class RequestReader(BodyReader):
    """Receives requests into a queue. Subclasses handle them."""

    def __init__(self, server: ServerInterface) -> None:
        super().__init__(server)
        self._queue = RequestQueue()
        self._closing = self._has_served = False
        self._busy = False  # a request is in progress
        self._holding = Holding(server.memory)
        self._reserved_bytes = 0  # for the body that is being received
        self._waiting_for_memory_since = 0.0  # monotonic seconds

    def _handle_received(self) -> None:
        """Requests were queued, or the parser has found an error."""
        raise NotImplementedError

    def _held_besides_queue(self) -> int:
        """The memory that the current request and its response take."""
        raise NotImplementedError

    def _unacknowledged_bytes(self) -> int:
        """What the kernel holds of responses."""
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
        requests, arrived_ns = self._parse(read_buffer[:nbytes], now_ns, arrived_ns)
        for request in requests:
            self._reserved_bytes = 0
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
        if body := self._current_upload:
            body.update()
            if self._is_upload_limited or body.is_timed:
                self._renew_upload_limit()
        self._account()
        if not (self._closing or self._may_read_on()):
            self._wait_for_memory()

    def record_unread(self) -> None:
        super().record_unread()
        if PauseReason.MEMORY not in self._pause_reasons:
            return
        if self._has_waited_for_memory():
            self._refuse_body()
        elif self._has_head_waited_for_memory():
            self._refuse_incomplete()

    def _account(self) -> None:
        """Report the memory that this connection takes."""
        parser_bytes = max(self._parser.held_bytes, self._reserved_bytes)
        own_bytes = CONNECTION_BYTES + parser_bytes + self._queue.held_bytes + self._held_besides_queue()
        unread_bytes = self._server.memory.buffers.receive_capacity_bytes if self._pause_reasons else 0
        self._holding.set(own_bytes, SOCKET_BYTES + unread_bytes + self._unacknowledged_bytes())

    def _end_holding(self) -> None:
        """The connection has ended."""
        self._server.memory.cancel_wait(self._on_memory)
        self._holding.release()

    def _stop_receiving(self) -> None:
        """Discard what was received. Input is still read, for the client to receive its last response."""
        self._queue.clear()
        self._parser.discard()
        self._server.memory.cancel_wait(self._on_memory)
        self._reserved_bytes = 0
        self._read_again()

    # Waiting for memory -----------------------------------------------------------------------------

    @property
    def _has_requests_before(self) -> bool:
        return self._busy or bool(self._queue)

    @property
    def _priority(self) -> Priority:
        return Priority.READ_AHEAD if self._has_requests_before else Priority.NEXT

    def _may_read_on(self) -> bool:
        """Whether there is memory for what follows. Reserves what the body takes that is being received. To
        read one that is dropped takes none, and frees what the kernel holds of it."""
        if self._parser.refuses_body:
            return True
        memory, needed_bytes = self._server.memory, self._needed_bytes
        if needed_bytes and not self._reserved_bytes:
            if not memory.may_take(needed_bytes, self._priority):
                return False
            self._reserved_bytes = needed_bytes
            self._account()
        return bool(needed_bytes) or not memory.is_exhausted or not (self._parser.partial or self._queue)

    @property
    def _needed_bytes(self) -> int:
        """What the request takes whose body is being received, once it is in progress. Behind another one it
        comes in the place of that. 0: there is no such body."""
        body_bytes = self._parser.buffered_body_limit_bytes
        if not body_bytes or self._priority is Priority.READ_AHEAD:
            return body_bytes
        return body_bytes + REQUEST_BYTES + ENDPOINT_CONNECTION_BYTES

    def _wait_for_memory(self) -> None:
        TELEMETRY.count("waits for memory")
        self._waiting_for_memory_since = time.monotonic()
        self._pause_reading(PauseReason.MEMORY)
        self._account()
        self._server.memory.wait(self._on_memory, self._needed_bytes, self._priority)

    def _on_memory(self) -> None:
        """There may be memory again, or nothing is in progress here any more that others go before."""
        if self._may_read_on():
            self._end_wait_for_memory()
        else:
            self._server.memory.wait(self._on_memory, self._needed_bytes, self._priority)

    @property
    def _is_waiting_for_memory(self) -> bool:
        """Whether a body that is being received waits for memory."""
        return PauseReason.MEMORY in self._pause_reasons and self._parser.buffered_body_limit_bytes > 0

    def _has_waited_for_memory(self) -> bool:
        """Whether the request that is being received has waited for as long as it may. Its time runs from
        the last byte that has arrived; for all that is known, that was its last one."""
        if self._priority is not Priority.NEXT or not self._is_waiting_for_memory:
            return False
        left_ns = header_time_left_ns(self._parser.headers, self._server.settings)
        wait_ns, left_bytes = left_ns // MEMORY_WAIT_DIVISOR, self._parser.body_left_bytes
        if left_bytes is None or self._unread_bytes() < left_bytes:
            wait_ns = min(wait_ns, MAX_PARTIAL_WAIT_NS)
        return time.monotonic_ns() > self._arrival_times.last_arrived_ns + wait_ns

    def _has_head_waited_for_memory(self) -> bool:
        """Whether a request has waited for as long as it may whose head is being received. The kernel's part
        of all that wait counts, so they could wait for each other for good."""
        is_head = self._priority is Priority.NEXT and not self._parser.in_body
        waited_s = time.monotonic() - self._waiting_for_memory_since
        return is_head and waited_s > MAX_PARTIAL_WAIT_NS / 1e9

    def _refuse_incomplete(self) -> None:
        """Refuse the request that is being received, now and with the end of the connection."""
        raise NotImplementedError

    def _refuse_body(self) -> None:
        """Read the body without keeping it: the request is refused once it is complete. Chunks are not worth
        the time that it takes to parse them."""
        TELEMETRY.count("bodies dropped as out of memory")
        if self._parser.body_left_bytes is None and self._priority is Priority.NEXT:
            self._refuse_incomplete()
            return
        self._reserved_bytes = 0
        self._parser.refuse_body()
        self._account()
        if PauseReason.MEMORY in self._pause_reasons:
            self._end_wait_for_memory()

    def release_memory(self) -> int:
        """Refuse the request that is being received, and return how much memory that leaves, in bytes."""
        released_bytes = self._reserved_bytes if self._parser.buffered_body_limit_bytes else 0
        if released_bytes and not self._closing:
            self._refuse_body()
        return released_bytes

    def _end_wait_for_memory(self) -> None:
        self._server.memory.cancel_wait(self._on_memory)
        self._timeouts.extend_body(time.monotonic() - self._waiting_for_memory_since)
        self._resume_reading(PauseReason.MEMORY)

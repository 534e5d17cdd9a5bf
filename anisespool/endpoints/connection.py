"""An HTTP/1.1 connection to an endpoint. It carries one attempt at a time and never resends a request."""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable

from anisespool import http1
from anisespool.body_stream import BodyStream, read_buffer
from anisespool.endpoints.attempt import Attempt
from anisespool.endpoints.connection_owner import ConnectionOwner
from anisespool.endpoints.pool import Pool
from anisespool.endpoints.request_sender import RequestSender
from anisespool.endpoints.response_status import response_status
from anisespool.memory_budget import Holding
from anisespool.socket_buffers import SOCKET_BYTES
from anisespool.socket_state import has_events
from anisespool.sockets import reset
from shuntlead.interface import Status

CONNECTION_BYTES = 5 * 1024  # the objects of a connection
BUFFER_TIMEOUT_S = 0.05  # a response of unknown length is streamed after that; until then it can be retried


class Connection(asyncio.BufferedProtocol):
    def __init__(self, owner: ConnectionOwner, pool: Pool, on_open: Callable[[], None]) -> None:
        """`on_open`: called as the connection joins `owner.connections`."""
        self._owner, self._pool = owner, pool
        self._on_open: Callable[[], None] | None = on_open  # None: called
        self._attempt: Attempt | None = None
        self._parser: http1.ResponseParser | None = None  # of the response to the current attempt
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._progress_ns = 0  # last progress of a streamed body in either direction
        self._sender, self._holding = RequestSender(self._record_progress), Holding(owner.memory)
        self.idle_since = 0.0  # monotonic seconds
        self._request_count = self._response_bytes = 0  # on this connection; of the current response

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request has not been handed to the kernel, so that it cannot have run."""
        return self._sender.has_unsent_data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._sender.attach(transport)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._register()
        self._account()

    def pause_writing(self) -> None:
        self._sender.pause()
        self._account()

    def resume_writing(self) -> None:
        self._sender.resume()
        self._account()

    def _record_progress(self) -> None:
        self._progress_ns = time.monotonic_ns()

    def _account(self) -> None:
        """Report the memory that the request and the response take here."""
        response_bytes = self._parser.held_bytes if self._parser else 0
        kernel_bytes = SOCKET_BYTES + self._sender.kernel_bytes
        if self._parser and self._parser.body_stream:
            kernel_bytes += self._owner.memory.buffers.receive_capacity_bytes
        self._holding.set(CONNECTION_BYTES + response_bytes + self._sender.buffer_bytes, kernel_bytes)

    def is_usable(self) -> bool:
        """Whether a request may be written. The endpoint may have closed an idle connection without the event
        loop having read it yet; a request sent then ends in a reset, which leaves open whether it ran."""
        assert self._transport
        return not self._transport.is_closing() and not has_events(self._poll)

    def _is_acknowledged(self) -> bool:
        """Whether the endpoint's kernel has acknowledged all data. If the endpoint answered before it had
        read the request, the next one would wait behind it, and might start after a drain has begun."""
        return not self._sender.undelivered_bytes

    def start(self, attempt: Attempt, data: bytes) -> None:
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._parser = http1.ResponseParser(
            open_body_stream=self._start_streaming, is_head_response=attempt.request.method == b"HEAD"
        )
        self._request_count, self._response_bytes = self._request_count + 1, 0
        self._sender.start(attempt, data)
        self._account()

    # The response -----------------------------------------------------------------------------------

    def _start_streaming(self) -> BodyStream:
        assert self._parser and self._transport and self._attempt
        transport = self._transport
        body_stream = BodyStream(self._parser.length, transport.pause_reading, self._resume_reading)
        self._attempt.start_response(body_stream)
        return body_stream

    def _resume_reading(self) -> None:
        self._progress_ns = time.monotonic_ns()
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _stop_buffering(self, parser: http1.ResponseParser) -> None:
        if parser is self._parser and self._attempt:
            parser.start_streaming()

    def pass_on_response(self) -> bool:
        """Stream the response if its head has come and it may be too long to buffer, as only the beginning of
        a long one has to be in time. Returns whether it is streamed."""
        if self._parser and self._parser.may_be_long:
            self._parser.start_streaming()
        return self._parser is not None and self._parser.body_stream is not None

    def is_stalled(self, before_ns: int) -> bool:
        """Whether a streamed body has made no progress since `before_ns`. A response that is paused because
        the client does not read it is not stalled."""
        body_stream = self._attempt.body_stream if self._attempt else None
        if self._attempt is None or self._transport is None or not (body_stream or self._sender.is_uploading):
            return False
        has_moved = self._sender.is_uploading and self._sender.has_moved()
        if has_moved or body_stream and body_stream.paused:
            self._progress_ns = time.monotonic_ns()
        return self._progress_ns < before_ns

    def end_stalled(self) -> None:
        if self._attempt:
            self._attempt.abort(Status.TIMEOUT)

    def upload_moved_ns(self) -> int:
        """When the endpoint last took any of the request, or sent anything (monotonic)."""
        if self._sender.has_moved():
            self._record_progress()
        return self._progress_ns

    def close_idle_if_silent(self, since_ns: int) -> None:
        """Closes the idle connections if the endpoint has sent nothing since `since_ns`. A failed host leaves
        them open: a request written to one ends in a timeout, or in a reset once the host is back, and if
        not idempotent cannot be retried. A new connection that fails proves that nothing ran."""
        if self._pool.last_received_ns < since_ns:
            self._pool.close_idle()

    def get_buffer(self, sizehint: int) -> memoryview:
        return read_buffer[: self._owner.memory.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        self._pool.last_received_ns = self._progress_ns = time.monotonic_ns()
        if self._attempt is None:
            self.discard()  # unsolicited data
            return
        self._response_bytes += nbytes
        assert self._parser
        parser, had_head = self._parser, self._parser.status >= 200
        response = parser.feed(read_buffer[:nbytes])
        if self._owner.memory.is_short and parser.status == 200:
            parser.start_streaming()
        self._account()
        if parser is not self._parser:
            return  # the attempt was aborted by a callback of the parser
        if response:
            self._on_response(response)
        elif parser.broken:
            data = bytes(read_buffer[: min(nbytes, 60)])
            self._owner.log_failure(f"{self._describe()}: invalid HTTP response: {data!r}")
            self._end(Status.CONNECT_FAILED if self.has_unsent_data else Status.RESET)
        elif parser.status == 200 and not had_head and parser.length is None:
            asyncio.get_running_loop().call_later(BUFFER_TIMEOUT_S, self._stop_buffering, parser)

    def _register(self) -> None:
        self._owner.connections.add(self)
        self._pool.connection_count += 1
        on_open, self._on_open = self._on_open, None
        if on_open:
            on_open()

    def _unregister(self) -> None:
        if self in self._owner.connections:
            self._owner.connections.discard(self)
            self._pool.connection_count -= 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._unregister()
        self._holding.release()
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._attempt and self._parser:
            self._end_attempt(self._parser, exc)
        self._sender.detach()

    def _end_attempt(self, parser: http1.ResponseParser, exc: Exception | None) -> None:
        """The connection was closed with an attempt in progress."""
        response = parser.end() if exc is None else None
        if response:
            self._on_response(response)
        else:
            self._owner.log_failure(f"{self._describe()}: {exc or 'ended'}")
            self._end(Status.CONNECT_FAILED if self.has_unsent_data else Status.RESET)

    def _describe(self) -> str:
        assert self._attempt
        took_ms = (time.monotonic_ns() - (self._attempt.started_ns or time.monotonic_ns())) / 1e6
        return (
            f"{self._attempt.request.headers.get(b'x-trace-id', b'').decode('latin-1')} at endpoint "
            f"{self._attempt.endpoint}, request {self._request_count} on the connection, after {took_ms:.0f} "
            f"ms and {self._response_bytes} response bytes"
        )

    def _on_response(self, response: http1.Response) -> None:
        reusable = response.keep_alive and not self.has_unsent_data and self._is_acknowledged()
        self._end(response_status(response), response, reusable)

    def _end(self, status: Status, response: http1.Response | None = None, reusable: bool = False) -> None:
        attempt = self._attempt
        assert attempt
        self._detach_attempt()
        attempt.connection = None
        if response:
            attempt.load = self._pool.load = http1.parse_load_report(
                response.headers.get(b"endpoint-load-metrics"), self._owner.report_columns
            )
        if reusable:
            self._resume_reading()
            self._owner.release(self, self._pool)
        else:
            self.discard()
        attempt.end(status, response)

    def _detach_attempt(self) -> None:
        self._attempt = None
        self._sender.stop()
        if self._parser:
            parser, self._parser = self._parser, None
            parser.close()
        self._account()

    def discard(self) -> None:
        """Closes without flushing, so that no more of an aborted request is sent, by the kernel neither."""
        self._detach_attempt()
        self._unregister()
        if self._transport:
            if self._sender.undelivered_bytes:
                reset(self._transport)
            else:
                self._transport.abort()
        self._holding.release()

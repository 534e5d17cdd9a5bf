"""One connection to an endpoint, one attempt at a time. Nothing here sends anything twice."""

from __future__ import annotations

import asyncio
import select
import time
from typing import Protocol

from anisespool import http1
from anisespool.body_stream import Flow, read_buffer
from anisespool.endpoints.attempt import Attempt
from anisespool.endpoints.pool import Pool
from anisespool.socket_state import has_events, unacknowledged
from shuntlead.interface import Status

HOLD_S = 0.05  # for an answer of no told length to end: a short one can still be repeated, a long one waits


class Owner(Protocol):
    """Who counts the connections and takes them back."""

    columns: tuple[str, ...]
    connections: set[Connection]

    def release(self, connection: Connection, pool: Pool) -> None: ...

    def log_broken(self, text: str) -> None: ...


class Connection(asyncio.BufferedProtocol):
    def __init__(self, owner: Owner, pool: Pool) -> None:
        self._owner, self._pool = owner, pool
        self._attempt: Attempt | None = None
        self._parser: http1.ResponseParser | None = None  # of the answer that is waited for
        self._transport: asyncio.Transport | None = None
        self._input = select.poll()
        self._unflushed = False  # something written has not left for the kernel
        self._upload: Flow | None = None  # the rest of the request's body
        self._progress_ns = 0  # of a long body, either way
        self._left = 0  # bytes unflushed at the last look
        self.idle_since = 0.0
        self._requests = self._bytes = 0  # begun on it; of the present answer

    @property
    def unwritten(self) -> bool:
        """Part of the request has not left for the kernel: it can't have run."""
        return self._unflushed or self._upload is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With no room in the buffer, pause and resume tell exactly whether anything is left in it.
        transport.set_write_buffer_limits(high=0)
        self._input.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._hold()

    def pause_writing(self) -> None:
        self._unflushed = True
        if self._upload:
            self._upload.hold()

    def resume_writing(self) -> None:
        self._unflushed = False
        self._progress_ns = time.monotonic_ns()
        if self._upload:
            self._upload.go()

    def fresh(self) -> bool:
        """Whether a request may be written to it. An idle connection may have been closed by the endpoint a
        moment ago, with the news still unread in the kernel: a request would end as a reset, which proves
        nothing."""
        assert self._transport
        return not self._transport.is_closing() and not has_events(self._input)

    def _is_taken(self) -> bool:
        """The endpoint's kernel has all that was written. Behind bytes that it has not, as the endpoint has
        answered early, a request would begin only when it reads on, even if it drains by then."""
        assert self._transport
        return not unacknowledged(self._transport.get_extra_info("socket").fileno())

    def start(self, attempt: Attempt, data: bytes) -> None:
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._parser = http1.ResponseParser(
            on_flow=self._long_answer, is_head_response=attempt.request.method == b"HEAD"
        )
        self._requests, self._bytes = self._requests + 1, 0
        self._transport.write(data)
        # A write that fails at once leaves nothing in the buffer: the closing transport is what tells.
        self._unflushed = self._unflushed or self._transport.is_closing()
        if attempt.request.flow:
            self._progress_ns = time.monotonic_ns()
            self._upload = attempt.request.flow
            attempt.body_begins()
            self._upload.attach(self)

    # The request's long body, on its way here -----------------------------------------------------

    def flow_data(self, data: bytes) -> None:
        """As for Outlet.flow_data."""
        if self._upload and self._transport and not self._transport.is_closing():
            self._transport.write(data if self._upload.length is not None else http1.encode_chunk(data))
            if self._unflushed:
                self._upload.hold()

    def flow_end(self) -> None:
        upload, self._upload = self._upload, None
        if upload and upload.length is None and self._transport:
            self._transport.write(http1.LAST_CHUNK)
        if upload and self._attempt:
            self._attempt.body_ends()

    def flow_broken(self) -> None:
        """The client's fault: whoever reads it ends the request."""

    # The answer -----------------------------------------------------------------------------------

    def _long_answer(self) -> Flow:
        assert self._parser and self._transport and self._attempt
        transport = self._transport
        flow = Flow(self._parser.length, transport.pause_reading, self._read_on)
        self._attempt.begin(flow)
        return flow

    def _read_on(self) -> None:
        self._progress_ns = time.monotonic_ns()
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _hold_no_longer(self, parser: http1.ResponseParser) -> None:
        if parser is self._parser and self._attempt:
            parser.start_streaming()

    def is_stalled(self, before_ns: int) -> bool:
        """A long body has made no progress since then, and not because its other side holds it."""
        flow = self._attempt.flow if self._attempt else None
        if self._attempt is None or self._transport is None or not (flow or self._upload):
            return False
        left, before = self._transport.get_write_buffer_size(), self._left
        self._left = left
        if flow and flow.paused or left != before or self._upload and not left:
            self._progress_ns = time.monotonic_ns()
        return self._progress_ns < before_ns

    def end_stalled(self) -> None:
        if self._attempt:
            self._attempt.give_up(Status.TIMEOUT)

    def suspect(self, since_ns: int) -> None:
        """A machine that vanished leaves its connections open. A request written to an idle one
        would be lost to a time-out, or to a reset when the machine is back, and an unsafe one with it; a
        new connection that does not come up proves that nothing ran."""
        if self._pool.heard_ns < since_ns:
            self._pool.close_idle()

    def get_buffer(self, sizehint: int) -> memoryview:
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._pool.heard_ns = self._progress_ns = time.monotonic_ns()
        if self._attempt is None:
            self.discard()  # nobody asked
            return
        self._bytes += nbytes
        assert self._parser
        parser, had_head = self._parser, self._parser.status >= 200
        response = parser.feed(read_buffer[:nbytes])
        if parser is not self._parser:
            return  # given up by whoever took the first bytes
        if response:
            self._answered(response)
        elif parser.broken:
            data = bytes(read_buffer[: min(nbytes, 60)])
            self._owner.log_broken(f"{self._history()}: no answer as HTTP has it: {data!r}")
            self._end(Status.CONNECT_FAILED if self.unwritten else Status.RESET)
        elif parser.status == 200 and not had_head and parser.length is None:
            asyncio.get_running_loop().call_later(HOLD_S, self._hold_no_longer, parser)

    def _hold(self) -> None:
        self._owner.connections.add(self)
        self._pool.held += 1

    def _let_go(self) -> None:
        if self in self._owner.connections:
            self._owner.connections.discard(self)
            self._pool.held -= 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._let_go()
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._attempt is None or self._parser is None:
            return
        response = self._parser.end() if exc is None else None
        if response:
            self._answered(response)
        else:
            self._owner.log_broken(f"{self._history()}: {exc or 'ended'}")
            self._end(Status.CONNECT_FAILED if self.unwritten else Status.RESET)

    def _history(self) -> str:
        assert self._attempt
        took_ms = (time.monotonic_ns() - (self._attempt.started_ns or time.monotonic_ns())) / 1e6
        return (
            f"{self._attempt.request.headers.get(b'x-trace-id', b'').decode('latin-1')} at endpoint "
            f"{self._attempt.endpoint}, request {self._requests} on its connection, {took_ms:.0f} ms and "
            f"{self._bytes} bytes of an answer after its start"
        )

    def _answered(self, response: http1.Response) -> None:
        status = Status.ERROR
        if response.status == 200:
            status = Status.OK
        elif response.status in (503, 504) and response.headers.get(b"x-never-ran", b"").strip() == b"1":
            status = Status.FULL
        reusable = response.keep_alive and not self.unwritten and self._is_taken()
        self._end(status, response, reusable)

    def _end(self, status: Status, response: http1.Response | None = None, reusable: bool = False) -> None:
        attempt = self._attempt
        assert attempt
        self._forget_attempt()
        attempt.connection = None
        if response:
            attempt.load = self._pool.load = http1.parse_load_report(
                response.headers.get(b"endpoint-load-metrics"), self._owner.columns
            )
        if reusable:
            self._read_on()
            self._owner.release(self, self._pool)
        else:
            self.discard()
        attempt.end(status, response)

    def _forget_attempt(self) -> None:
        self._attempt = None
        upload, self._upload = self._upload, None
        if upload:
            upload.drop()
        if self._parser:
            parser, self._parser = self._parser, None
            parser.close()

    def discard(self) -> None:
        """Close without flushing: the rest of a given-up request must not leave."""
        self._forget_attempt()
        self._let_go()
        if self._transport:
            self._transport.abort()

"""Writes streamed responses to one client, and pauses their source while the client reads too slowly."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Protocol

from anisespool import http1
from anisespool.body_stream import BodyStream
from anisespool.outgoing import Outgoing
from anisespool.sockets import end_output, reset, set_option

WRITE_HIGH_WATER_BYTES = 64 * 1024  # buffered for one client before its source is paused
LINGER_TIMEOUT_S = 1.0  # for the client to read the last response before the connection is aborted
MAX_LINGER_S = 10.0  # the same, for one that goes on sending


class ResponseOwner(Protocol):
    """The connection that the responses are written to."""

    def on_streamed(self) -> None:
        """Part of a streamed response was written."""

    def on_stream_end(self, final_bytes: bytes) -> None:
        """The streamed response is complete once these final bytes are written."""

    def on_stream_broken(self) -> None:
        """The source of the streamed response has failed."""

    def on_stream_released(self) -> None:
        """Streaming is over, whether it succeeded or not."""

    def response_buffer_bytes(self) -> int:
        """How much may be buffered for this client now before the source is paused."""

    def is_client_sending(self) -> bool:
        """Whether bytes of the client have arrived recently."""


class ResponseWriter(Outgoing):
    """The sink of a `BodyStream`: a response body that is passed on as it arrives from the endpoint."""

    def __init__(self, owner: ResponseOwner) -> None:
        super().__init__()
        self._owner: ResponseOwner | None = owner  # None: the connection has ended
        self.client_stalled = False  # the write buffer is full, as the client reads too slowly
        self._body_stream: BodyStream | None = None  # the rest of the current response
        self._chunked = False
        self._linger_until = 0.0  # monotonic seconds

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to this connection, whose small writes the kernel must not hold back."""
        self.transport = transport
        set_option(transport, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # asyncio sets it on outgoing only

    def detach(self) -> None:
        """The connection has ended. Its owner and this object let go of each other: left to the garbage
        collector, the cycle would keep what they hold for an unknown time."""
        self.release()
        self._owner = self.transport = None

    @property
    def is_streaming(self) -> bool:
        return self._body_stream is not None

    def pause(self) -> None:
        """Pause the source of the response. Otherwise a client that keeps sending requests without reading
        the responses would exhaust memory."""
        self.client_stalled = True
        if self._body_stream:
            self._body_stream.pause()

    def resume(self) -> None:
        self.client_stalled = False
        if self._body_stream:
            self._body_stream.resume()

    def start(self, body_stream: BodyStream, keep_alive: bool, chunked: bool) -> None:
        """Write the response head, and pass the body on from `body_stream`."""
        assert self.transport
        self.write(http1.encode_head(200, body_stream.length, 0.0, not keep_alive, chunked))
        self._body_stream, self._chunked = body_stream, chunked and body_stream.length is None
        body_stream.attach(self)

    def stream_data(self, data: bytes) -> None:
        """Nothing is written to a closing transport: asyncio logs every such write, and a single read from
        the endpoint may yield thousands of chunks."""
        if self._owner and self.transport and self._body_stream and not self.transport.is_closing():
            self.transport.set_write_buffer_limits(high=self._owner.response_buffer_bytes())
            self.write(http1.encode_chunk(data) if self._chunked else data)
            if self.client_stalled:
                self._body_stream.pause()
            self._owner.on_streamed()

    def stream_end(self) -> None:
        assert self.transport and self._owner
        self.release()
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._owner.on_stream_end(http1.LAST_CHUNK if self._chunked else b"")

    def stream_failed(self) -> None:
        self.release()
        if self._owner:
            self._owner.on_stream_broken()

    def release(self) -> None:
        """Stop streaming, and discard what is left of the source."""
        body_stream, self._body_stream = self._body_stream, None
        if self._owner:
            self._owner.on_stream_released()
        if body_stream:
            body_stream.discard()

    def close(self) -> None:
        """Close the connection behind what has been written. While the client has yet to receive some of it,
        only the sending side is shut down: a request that reaches a closed socket resets the connection."""
        if self.undelivered_bytes:
            self.end_output()
        elif self.transport:
            self.transport.close()

    def end_output(self) -> None:
        """Shut down the sending side behind what has been written, and abort the connection once the client
        has had LINGER_TIMEOUT_S to read the end of it. Many clients read only once all is sent, so one that
        goes on sending has MAX_LINGER_S."""
        if self.transport:
            end_output(self.transport)
            self._linger_until = time.monotonic() + MAX_LINGER_S
            self._linger()

    def _linger(self) -> None:
        """Responses that are still on their way are not cut off: a client that does not read them has a
        timeout of its own. Closing could reset the connection, and the kernel discard what it holds."""
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._end_linger)

    def _end_linger(self) -> None:
        is_sending = self._owner and self._owner.is_client_sending() and time.monotonic() < self._linger_until
        if self.undelivered_bytes or is_sending:
            self._linger()
        elif self.transport:
            self.transport.abort()

    def reset(self) -> None:
        """Reset the connection (RST). The client would take an orderly close for the end of a body that has
        no declared length."""
        if self.transport:
            reset(self.transport)

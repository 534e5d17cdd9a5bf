"""One client connection with its limits: timeouts, eviction when descriptors run short, and shutdown."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from math import inf
from time import monotonic

from anisespool import http1
from anisespool.front.http_connection import HttpConnection
from anisespool.front.server_interface import ConnectionRegistry
from anisespool.front.shutdown import Stage
from anisespool.telemetry import TELEMETRY


class ClientConnection(HttpConnection):
    """An HTTP connection that the server can close when its client is too slow, or to free its descriptor."""

    def __init__(self, server: ConnectionRegistry) -> None:
        super().__init__(server)
        self._registry = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._registry.admit(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.connections.discard(self)
        super().connection_lost(exc)

    @property
    def stage(self) -> Stage:
        if self._writer.is_streaming and not self._closing:
            return Stage.ANSWERING_AT_LENGTH
        if self._closing:
            return Stage.CLOSING
        if self._uploading:
            return Stage.UPLOADING
        if self.has_pending_work:
            return Stage.BUSY
        if self._parser.partial:
            return Stage.HALF_WRITTEN
        return Stage.BETWEEN_REQUESTS if self._has_served else Stage.SILENT

    @property
    def is_sending(self) -> bool:
        """Whether all that is left to do is to send a response that has begun. It ends with its last byte, or
        when no byte of it has moved for too long."""
        is_answered = self._closing or not (self._busy or self._queue)
        return self._writer.is_streaming or is_answered and self._writer.undelivered_bytes > 0

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress, queued or unread."""
        if self.is_idle and self._transport and not (self._writer.undelivered_bytes or self.has_unread()):
            self._closing = True
            self._transport.close()

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed to free its descriptor: no request is in progress, queued or being
        received, and the client's machine has all that it is owed. Closing with a response on its way could
        lose it; a client that does not read is ended by its timeout."""
        if self._closing:  # no request will follow that could reset the connection
            return not self._writer.unsent_bytes
        is_receiving = self._parser.partial and self._timeouts.is_receiving(monotonic())
        is_busy = self._busy and not self.has_stalled_upload
        return not (is_busy or self._queue or is_receiving or self._writer.undelivered_bytes)

    @property
    def is_half_written(self) -> bool:
        """Whether the client is in the middle of its first request here, and that is not in progress."""
        is_in_use = self._has_served or self._closing or self._busy or self._queue
        return self._parser.partial and not is_in_use

    @property
    def has_stalled_upload(self) -> bool:
        """Whether the client has stopped in the middle of a long body, although it is read. The request has
        not been received, so nothing is lost with it."""
        is_stalled = self._uploading and not (self._pause_reasons or self._writer.is_streaming)
        return is_stalled and not self._timeouts.is_receiving(monotonic())

    def idle_score(self, now: float) -> float:
        """Eviction priority, see `ClientTimeouts.idle_score`. Connections that are closing come first."""
        return (
            inf if self._closing else self._timeouts.idle_score(now, self._parser.partial, self._has_served)
        )

    def evict(self) -> bool:
        """Close the connection to free its descriptor, without waiting for the client to close its side.
        Returns whether it is closed: not if a request has just arrived.

        It leaves the server's set at once, so as not to be chosen again. That is safe only because `abort`
        waits for nothing: the event loop closes the socket in its next iteration, whatever is unsent.
        """
        return (self._closing or not self.has_unread()) and self._evict()

    def evict_half_written(self) -> bool:
        """The same in the middle of the first request, whatever of it is unread: it has failed then, which
        is no worse than a client that waits for a place."""
        return self._evict()

    def _evict(self) -> bool:
        if not self._transport:
            return False
        TELEMETRY.count("clients evicted")
        if self._parser.partial and not self._closing:
            if self._uploading:
                self._cancel_upload()
            self._writer.write(http1.encode_response(HTTPStatus.REQUEST_TIMEOUT, close=True))
        self._closing = True
        self._transport.abort()
        self._registry.connections.discard(self)
        return True

    def end_request_wait(self) -> None:
        """The client did not send a complete request in time: answer a partial one with 408, and close."""
        TELEMETRY.count("clients without a request in time")
        if self._uploading:
            self._abort_upload(HTTPStatus.REQUEST_TIMEOUT)
        elif self._parser.partial:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()

    def end_stage(self, stage: Stage) -> None:
        """The shutdown schedule leaves no more time for this stage."""
        if stage is Stage.BUSY and not self._busy:
            self._refuse_requests()
        elif stage in (Stage.BUSY, Stage.CLOSING):
            self._closing = True
            if self._transport:
                self._transport.abort()
        elif self._is_waiting_for_memory:
            self._refuse_body()
        elif stage is not Stage.HALF_WRITTEN or not self.has_unread():  # else the rest is there to be read
            self.end_request_wait()

    def _end_stalled(self) -> None:
        """The client does not read. It must not take the end of a response that is not whole for an orderly
        one; of a whole one it may still read what the kernel holds."""
        TELEMETRY.count("clients that do not read")
        self._closing = True
        if self._writer.is_streaming or self._writer.unsent_bytes:
            self._writer.reset()
        elif self._transport:
            self._transport.abort()

    def _refuse_requests(self) -> None:
        """Refuse all requests that are queued or still unread, and close the connection behind the last."""
        self._refuses_requests = True
        self._process_queue()

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection if its client has taken too long to send a request or to read a response."""
        if not self._transport or self._transport.is_closing() and not self._writer.unsent_bytes:
            return
        self._account()
        if self._writer.has_moved():
            self._timeouts.response_received(now)
        if self._timeouts.is_read_stalled(now):
            self._end_stalled()
        elif self._uploading:
            if self._timeouts.is_body_late(now):
                self._abort_upload(HTTPStatus.REQUEST_TIMEOUT)
        elif self._is_request_late(now):
            self.end_request_wait()

    def _is_request_late(self, now: float) -> bool:
        """Whether the client has had its time to send a request, and nothing else is left to do."""
        if self._busy or self._closing or self._writer.undelivered_bytes or self._is_waiting_for_memory:
            return False
        if not self._timeouts.is_request_late(now):
            return False
        # What has arrived and was not read is no fault of the client.
        is_body_allowed = not self._timeouts.is_body_late(now) or self._unread_bytes() > 0
        return not (self._parser.in_body and is_body_allowed)

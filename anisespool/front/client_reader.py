"""The reading side of a client connection: pausing reads, arrival times and detection of a disconnect.

The event loop reports no disconnect on a connection whose reading is paused, so it is polled.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable
from enum import Flag, auto
from typing import Protocol

from anisespool.front.arrival_times import ArrivalTimes
from anisespool.front.timeouts import ClientTimeouts
from anisespool.socket_state import has_events, since_data_ms, unread_bytes

DISCONNECT_POLL_INTERVAL_S = 0.04  # no attempt may start more than 0.1 s after its client has disconnected


class PauseReason(Flag):
    """Why a connection is not read."""

    NONE = 0

    QUEUE = auto()  # too many pipelined requests are queued
    UPLOAD = auto()  # the endpoint of a streamed body takes no more of it
    MEMORY = auto()  # the process holds too much for all its connections


class PausedConnection(Protocol):
    """A connection whose reading is paused, as `PausedConnections` sees it."""

    def is_gone(self) -> bool: ...

    def record_unread(self) -> None: ...

    def abort(self) -> None: ...


class PausedConnections:
    """Polls all paused connections for a disconnect. Its timer runs only while there are any."""

    def __init__(self, on_poll: Callable[[], None] = lambda: None) -> None:
        """`on_poll`: called before each poll; it may let connections read again."""
        self._on_poll = on_poll
        self._connections: set[PausedConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: PausedConnection) -> None:
        self._connections.add(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(DISCONNECT_POLL_INTERVAL_S, self._check)

    def discard(self, connection: PausedConnection) -> None:
        self._connections.discard(connection)

    def _check(self) -> None:
        self._timer = None
        self._on_poll()
        if self._connections:
            self._timer = asyncio.get_running_loop().call_later(DISCONNECT_POLL_INTERVAL_S, self._check)
        for connection in list(self._connections):
            connection.record_unread()
        for connection in [c for c in self._connections if c.is_gone()]:
            self._connections.discard(connection)
            connection.abort()


class ClientReader(asyncio.BufferedProtocol):
    """The base class of client connections: reads, and knows whether the client is still connected."""

    def __init__(self, paused_connections: PausedConnections) -> None:
        self._paused_connections = paused_connections
        self._transport: asyncio.Transport | None = None
        self._hangup_poll, self._unread_poll = select.poll(), select.poll()
        self._arrival_times = ArrivalTimes()
        self._pause_reasons = PauseReason.NONE
        self._timeouts = ClientTimeouts()

    def _on_client_gone(self) -> None:
        """The client has disconnected: start nothing more for it, and cancel what is in progress."""
        raise NotImplementedError

    def _register_polls(self) -> None:
        """Register the socket for polling. POLLRDHUP reports the end of the input even while unread bytes
        precede it, whereas a read would reach it only after them."""
        assert self._transport
        descriptor = self._transport.get_extra_info("socket").fileno()
        self._hangup_poll.register(descriptor, select.POLLRDHUP)
        self._unread_poll.register(descriptor, select.POLLIN)

    def has_unread(self) -> bool:
        """Whether bytes or an end of input have arrived that the loop has not read yet. Closing now would
        reset the connection, losing the unread request and any response still in transit."""
        return (
            self._transport is not None and not self._transport.is_closing() and has_events(self._unread_poll)
        )

    def record_unread(self) -> None:
        """Record how many bytes have arrived and wait to be read."""
        self._arrival_times.record_unread(self._unread_bytes(), time.monotonic_ns())

    def _unread_bytes(self) -> int:
        if self._transport is None or self._transport.is_closing():
            return 0
        return unread_bytes(self._transport.get_extra_info("socket").fileno())

    def _arrival_ns(self, now_ns: int, nbytes: int) -> int:
        """When the bytes that are read now arrived.

        A client's deadline runs while its request waits unread: behind pipelined requests, during a stall of
        this process, or before the connection was accepted. If such a request counted as new, its endpoint
        would be told more time than is left.
        """
        assert self._transport
        waited_ms = since_data_ms(self._transport.get_extra_info("socket"))
        return self._arrival_times.record_read(nbytes, now_ns, now_ns - waited_ms * 1_000_000)

    def is_gone(self) -> bool:
        """Whether the client has closed the connection or its sending side, even if bytes before the end
        are still unread."""
        return self._transport is None or self._transport.is_closing() or has_events(self._hangup_poll)

    def abort(self) -> None:
        """Close at once: the client has disconnected, and its remaining input will not be read."""
        self._on_client_gone()
        if self._transport:
            self._transport.abort()

    def _pause_reading(self, reason: PauseReason) -> None:
        self._pause_reasons |= reason
        if reason is not PauseReason.MEMORY:  # the kernel takes the rest of a body that is not streamed
            self._timeouts.pause()
        if self._transport:
            self._transport.pause_reading()
            self._paused_connections.add(self)

    def _resume_reading(self, reason: PauseReason) -> None:
        """Read again, if this was the only reason left."""
        self._pause_reasons &= ~reason
        if not self._pause_reasons:
            self._read_again()

    def _read_again(self) -> None:
        """Read, whatever reason there was to pause."""
        self._pause_reasons = PauseReason.NONE
        self._timeouts.resume()
        self._paused_connections.discard(self)
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

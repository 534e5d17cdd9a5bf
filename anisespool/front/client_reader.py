"""When a client's connection is read, and whether its client is still there.

While it is not read, as more was sent ahead than is worked on or a long body has nowhere to go, its end would
not be seen; so it is looked for."""

from __future__ import annotations

import asyncio
import select
import time
from typing import Protocol

from anisespool.front.arrival_times import Arrivals
from anisespool.front.stall_detector import Heartbeat
from anisespool.socket_state import has_events, since_data_ms, unread

LOOK_S = 0.04  # no attempt may begin more than 0.1 s after its client has gone


class Unread(Protocol):
    """A connection that is not read for now."""

    def is_gone(self) -> bool: ...

    def look(self) -> None: ...

    def hang_up(self) -> None: ...


class Paused:
    """It owns the timer of the looks, which runs while there is anything to look at."""

    def __init__(self) -> None:
        self._connections: set[Unread] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: Unread) -> None:
        self._connections.add(connection)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def discard(self, connection: Unread) -> None:
        self._connections.discard(connection)

    def _look(self) -> None:
        self._timer = None
        if self._connections:
            self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)
        for connection in self._connections:
            connection.look()
        for connection in [c for c in self._connections if c.is_gone()]:
            self._connections.discard(connection)
            connection.hang_up()


class ClientReading(asyncio.BufferedProtocol):
    """The reading side of a client's connection."""

    def __init__(self, paused: Paused, heartbeat: Heartbeat) -> None:
        self._paused, self._heartbeat = paused, heartbeat
        self._is_new = True  # nothing has been read yet
        self._transport: asyncio.Transport | None = None
        self._hangup, self._unread = select.poll(), select.poll()
        self._arrivals = Arrivals()

    def _leave(self) -> None:
        """The client has gone: nothing more is begun for it, and what is under way ends."""
        raise NotImplementedError

    def _watch_hangup(self) -> None:
        """Also seen behind bytes yet unread, where a read would come to the end only after them."""
        assert self._transport
        descriptor = self._transport.get_extra_info("socket").fileno()
        self._hangup.register(descriptor, select.POLLRDHUP)
        self._unread.register(descriptor, select.POLLIN)

    def has_unread(self) -> bool:
        """Bytes or an end have come that the loop has yet to read. A close now would reset the
        connection under a request, and take an answer with it that is still on its way."""
        return self._transport is not None and not self._transport.is_closing() and has_events(self._unread)

    def look(self) -> None:
        """What has come and waits to be read."""
        if self._transport and not self._transport.is_closing():
            waiting = unread(self._transport.get_extra_info("socket").fileno())
            self._arrivals.saw(waiting, time.monotonic_ns())

    def _came_ns(self, now: int, nbytes: int) -> int:
        """Of what is read now. A client's time runs while its request waits unread, as too much was
        sent ahead, or this process stood still, or did not accept; taken for new, its server would be told
        more than is left. The kernel is asked only where that may be, as it costs a system call."""
        assert self._transport
        waited_ms = 0
        if self._is_new or self._heartbeat.has_stalled(now):
            waited_ms = since_data_ms(self._transport.get_extra_info("socket"))
        self._is_new = False
        return self._arrivals.read(nbytes, now, now - waited_ms * 1_000_000)

    def is_gone(self) -> bool:
        """The client has closed its connection, or its side of it, whether or not we have read that far."""
        return self._transport is None or self._transport.is_closing() or has_events(self._hangup)

    def hang_up(self) -> None:
        """The client has gone, and nobody reads up to its end."""
        self._leave()
        if self._transport:
            self._transport.abort()

    def _pause_reading(self) -> None:
        if self._transport:
            self._transport.pause_reading()
            self._paused.add(self)

    def _resume_reading(self) -> None:
        self._paused.discard(self)
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

"""Sizes the kernel's buffers of each TCP connection, so that what waits in the kernel has a bound.

The system's defaults grow to some MB for each connection whose reader is slow. A memory cgroup counts them,
and they hide for seconds that the other side does not take what it was sent. Sources: socket(7), tcp(7).
"""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import dataclass

MIN_BUFFER_BYTES, MAX_BUFFER_BYTES = 4 * 1024, 64 * 1024
BUFFERS_SHARE = 8  # the smallest buffer is one part in so many of a descriptor's share of the memory
OVERHEAD_FACTOR = 2  # the kernel allows itself twice the size that is set
MIN_RESPONSE_BUFFER_BYTES = 4 * 1024  # in this process, for each response that is streamed
SOCKET_BYTES = 4 * 1024  # the kernel's objects of one connection


@dataclass(frozen=True)
class SocketBuffers:
    """The sizes for the connections of one process, in bytes."""

    receive_bytes: int = MAX_BUFFER_BYTES  # SO_RCVBUF
    min_send_bytes: int = MAX_BUFFER_BYTES  # SO_SNDBUF while memory is short

    @classmethod
    def for_limits(cls, memory_bytes: int, sockets: int) -> SocketBuffers:
        """For a process with this memory limit and this limit of descriptors."""
        share_bytes = memory_bytes // sockets // BUFFERS_SHARE
        buffer_bytes = min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, share_bytes))
        return cls(buffer_bytes, buffer_bytes)

    @property
    def receive_capacity_bytes(self) -> int:
        """What the kernel holds at most of what one connection has not read."""
        return self.receive_bytes * OVERHEAD_FACTOR

    @property
    def min_stream_bytes(self) -> int:
        """What a response takes at least that is passed on while its client reads slowly."""
        return MIN_RESPONSE_BUFFER_BYTES + (self.receive_bytes + self.min_send_bytes) * OVERHEAD_FACTOR

    def bound_receiving(self, opened: socket.socket) -> None:
        """Set the size for a socket before it is connected, as it tells the other side its window then, or
        for a listener and all that it accepts."""
        with suppress(OSError):
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)

"""A TCP socket that hands the kernel no more than memory allows at the moment.

The kernel checks SO_SNDBUF only when it begins a new segment, and on a fast network a segment grows to 64 KB.
Sources: tcp(7), TIOCOUTQ.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable
from contextlib import suppress

from anisespool.memory_budget import MemoryBudget
from anisespool.socket_buffers import OVERHEAD_FACTOR
from anisespool.socket_state import unacknowledged_bytes

MIN_SEND_SHARE = 4  # with less than one part in so many of the buffer free, the kernel is not writable either


class BoundedSocket(socket.socket):
    """To be used with a transport of the event loop, which waits until the kernel has room again."""

    __slots__ = ("_memory", "_send_buffer_bytes")

    _memory: MemoryBudget
    _send_buffer_bytes: int  # SO_SNDBUF as it was set last; 0: not yet

    @classmethod
    def open(cls, memory: MemoryBudget) -> BoundedSocket:
        """A new socket. Raises OSError."""
        opened = cls(socket.AF_INET, socket.SOCK_STREAM)
        opened._memory, opened._send_buffer_bytes = memory, 0
        memory.buffers.bound_receiving(opened)
        return opened

    @classmethod
    def wrap(cls, accepted: socket.socket, memory: MemoryBudget) -> BoundedSocket:
        """Take over a socket that a listener has accepted."""
        wrapped = cls(accepted.family, accepted.type, accepted.proto, fileno=accepted.detach())
        wrapped._memory, wrapped._send_buffer_bytes = memory, 0
        return wrapped

    def send(self, data: bytes | bytearray | memoryview, flags: int = 0, /) -> int:  # type: ignore[override]
        """Raises BlockingIOError while bytes that the other side has not acknowledged fill the buffer."""
        send_buffer_bytes = self._memory.send_buffer_bytes
        if send_buffer_bytes != self._send_buffer_bytes:
            self._send_buffer_bytes = send_buffer_bytes
            with suppress(OSError):
                self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
        capacity_bytes = send_buffer_bytes * OVERHEAD_FACTOR
        free_bytes = capacity_bytes - unacknowledged_bytes(self.fileno())
        if free_bytes < capacity_bytes // MIN_SEND_SHARE:
            raise BlockingIOError
        if len(data) <= free_bytes:
            return super().send(data, flags)
        # Released here, as the transport cannot clear its buffer while an error's traceback refers to a view.
        with memoryview(data) as view, view[:free_bytes] as part:
            return super().send(part, flags)

    def sendmsg(self, buffers: Iterable[bytes | memoryview], *arguments: object) -> int:  # type: ignore[override]
        """The same, of the first of several buffers."""
        return self.send(next(iter(buffers)))

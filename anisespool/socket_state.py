"""Queries the kernel for the state of a TCP connection: pending events, bytes queued in either direction, and
the time since data last arrived. Linux only.

If a query fails, because the connection is gone or the kernel is out of memory, the result is the safe one:
`has_events` returns True, so that the caller reads from or closes the connection; counts and times are 0.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

_TCP_INFO_BYTES = 104
_LAST_DATA_RECV = 52  # offset in struct tcp_info of a u32: milliseconds since data last arrived


def has_events(poll: select.poll) -> bool:
    """Whether any event that `poll` is registered for is pending, or an error, a hang-up or an invalid
    descriptor. Python itself retries after EINTR (PEP 475)."""
    try:
        return bool(poll.poll(0))
    except OSError:
        return True


def unread_bytes(descriptor: int) -> int:
    """Bytes received by the kernel and not read yet."""
    return _count(descriptor, termios.FIONREAD)


def unacknowledged_bytes(descriptor: int) -> int:
    """Bytes written that the other side has not acknowledged."""
    return _count(descriptor, termios.TIOCOUTQ)


def since_data_ms(connected: socket.socket) -> int:
    """Milliseconds since data last arrived; meaningless before the first data."""
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        return int(struct.unpack_from("I", info, _LAST_DATA_RECV)[0])
    except (OSError, struct.error):
        return 0


def _count(descriptor: int, request: int) -> int:
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, request, bytes(4)), sys.byteorder)
    except OSError:
        return 0

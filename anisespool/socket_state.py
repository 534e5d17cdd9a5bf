"""What the kernel holds of a TCP connection, either way, and since when. Linux only.

Where it does not tell, as the connection is gone or its memory short, what is said here is the careful
answer: `has_events` is true, so who asks then reads or ends the connection; counts and times are 0.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

_TCP_INFO_BYTES = 104
_LAST_DATA_RECV = 52  # where struct tcp_info has the milliseconds since data last came, an u32


def has_events(poll: select.poll) -> bool:
    """Whether anything that `poll` looks for has come, or an error, a hang-up or an invalid descriptor. EINTR
    is retried by Python itself (PEP 475)."""
    try:
        return bool(poll.poll(0))
    except OSError:
        return True


def unread(descriptor: int) -> int:
    """Bytes that have come and nobody has read."""
    return _count(descriptor, termios.FIONREAD)


def unacknowledged(descriptor: int) -> int:
    """Bytes written to it that its peer's kernel has not taken."""
    return _count(descriptor, termios.TIOCOUTQ)


def since_data_ms(connected: socket.socket) -> int:
    """Milliseconds since the last data came; only of use once any has."""
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

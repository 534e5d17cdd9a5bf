"""What the kernel holds of a TCP connection, either way, and since when. Linux only."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

_TCP_INFO_BYTES = 104
_LAST_DATA_RECV = 52  # where struct tcp_info has the milliseconds since data last came, an u32


def has_input(descriptor: int) -> bool:
    """Bytes or an end have come that nobody has read."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unread(descriptor: int) -> int:
    """Bytes that have come and nobody has read."""
    return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)


def unacknowledged(descriptor: int) -> int:
    """Bytes written to it that its peer's kernel has not taken."""
    return int.from_bytes(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)), sys.byteorder)


def since_data_ms(connected: socket.socket) -> int:
    """Milliseconds since the last data came; only of use once any has."""
    info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return int(struct.unpack_from("I", info, _LAST_DATA_RECV)[0])

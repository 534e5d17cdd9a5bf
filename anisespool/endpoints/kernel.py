"""What the kernel holds of a TCP connection, either way. Descriptors in, counts of bytes out."""

from __future__ import annotations

import fcntl
import select
import sys
import termios


def has_input(descriptor: int) -> bool:
    """Bytes or an end have come that nobody has read."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def unacknowledged(descriptor: int) -> int:
    """Bytes written to it that its peer's kernel has not taken; 0 where the kernel does not tell."""
    try:
        queued = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(queued, sys.byteorder)

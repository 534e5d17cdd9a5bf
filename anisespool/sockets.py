"""Socket calls that tolerate a closed connection, whose errors such as ENOTCONN and EINVAL are expected."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from typing import Any

from anisespool.log import log_error


def end_output(transport: asyncio.WriteTransport) -> None:
    """Shut down the output after the data already written. shutdown(2) fails with ENOTCONN if a reset has
    arrived but was not read yet; the connection is then aborted at once."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()


def set_option(transport: asyncio.BaseTransport, level: int, option: int, value: int | bytes) -> None:
    """Set a socket option, ignoring errors: a closed connection is detected by its next read."""
    with suppress(OSError):
        transport.get_extra_info("socket").setsockopt(level, option, value)


def reset(transport: asyncio.Transport) -> None:
    """Close the connection at once with RST. The kernel discards what it still holds of it, whereas an
    ordinary close delivers that, and an orderly end behind it."""
    set_option(transport, socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def callback_failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Exception handler of the event loop. A system call that fails in one of the loop's own callbacks, such
    as a delayed shutdown(2), is logged on one line. Anything else is a bug, and gets the default
    traceback."""
    error = context.get("exception")
    if isinstance(error, OSError):
        log_error("server", error)
    else:
        loop.default_exception_handler(context)

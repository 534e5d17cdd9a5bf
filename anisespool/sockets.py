"""Calls on sockets whose connection may be gone by now: ENOTCONN, EINVAL and the like are no fault."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any

from anisespool.log import fault


def end_output(transport: asyncio.WriteTransport, linger_s: float) -> asyncio.TimerHandle:
    """Shut our side down behind what is written, and abort after so many seconds. shutdown(2) fails with
    ENOTCONN where a reset has come and is yet unread; then nobody is there to read on."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()
    return asyncio.get_running_loop().call_later(linger_s, transport.abort)


def set_option(transport: asyncio.BaseTransport, level: int, option: int, value: int | bytes) -> None:
    """Set a socket's option, as far as it can be. A connection that is gone ends by its next read."""
    with suppress(OSError):
        transport.get_extra_info("socket").setsockopt(level, option, value)


def callback_failed(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """The loop's exception handler. A system call that fails in a callback of the loop itself, as a shutdown
    behind the last unsent bytes, is one line; all else is a fault of the program and logged as ever."""
    error = context.get("exception")
    if isinstance(error, OSError):
        fault("server", error)
    else:
        loop.default_exception_handler(context)

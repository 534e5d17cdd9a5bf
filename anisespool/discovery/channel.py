"""A TCP connection to discovery. Data is read by the event loop, or on demand before the loop gets to it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress

from anisespool.config import Address
from anisespool.socket_state import unread_bytes

READ_BYTES = 65536


class Channel(asyncio.Protocol):
    """One connection to discovery."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        """`on_data` receives all data in order. An exception that it raises closes the connection."""
        self._on_data = on_data
        self._transport: asyncio.Transport | None = None
        self._closed = asyncio.Event()
        self._error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._closed.is_set():
            return
        try:
            self._on_data(data)
        except Exception as error:
            self._end(error)

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(exc)

    def write(self, data: bytes) -> None:
        if self._transport:
            self._transport.write(data)

    async def ended(self) -> None:
        """Waits for the end of the connection. Raises OSError if it failed, or the exception of `on_data`."""
        await self._closed.wait()
        if self._error:
            raise self._error

    def read_pending(self) -> None:
        """Reads data that has arrived without waiting for the event loop, an iteration of which may take
        long. The end of the connection is left to the loop."""
        if self._closed.is_set() or self._transport is None or self._transport.is_closing():
            return
        descriptor = self._transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            if unread_bytes(descriptor) and (data := os.read(descriptor, READ_BYTES)):
                self.data_received(data)

    def close(self) -> None:
        """Closes the connection. `on_data` is not called any more."""
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        if not self._closed.is_set():
            self._error = error
            self._closed.set()
        if self._transport:
            self._transport.abort()


async def open_channel(address: Address, on_data: Callable[[bytes], None]) -> Channel:
    """Connects to discovery. Raises OSError, or UnicodeError if the host name is invalid."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(lambda: Channel(on_data), *address)
    return channel

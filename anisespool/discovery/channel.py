"""One TCP connection to discovery: its bytes are handed on as they are read, by the loop or ahead of it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress

from anisespool.config import Address
from anisespool.socket_state import unread

READ_BYTES = 65536


class Channel(asyncio.Protocol):
    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        """`on_data` gets all bytes in order; what it raises ends the connection."""
        self._on_data = on_data
        self._transport: asyncio.Transport | None = None
        self._over = asyncio.Event()
        self._error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._over.is_set():
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
        """Until the connection has ended in order. Raises OSError, or what the handler of its bytes did."""
        await self._over.wait()
        if self._error:
            raise self._error

    def look(self) -> None:
        """Read what has come, ahead of the loop: one turn of it may take long. An end is left to the loop."""
        if self._over.is_set() or self._transport is None or self._transport.is_closing():
            return
        descriptor = self._transport.get_extra_info("socket").fileno()
        with suppress(OSError):
            if unread(descriptor) and (data := os.read(descriptor, READ_BYTES)):
                self.data_received(data)

    def close(self) -> None:
        """Nothing more is handed on."""
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        if not self._over.is_set():
            self._error = error
            self._over.set()
        if self._transport:
            self._transport.abort()


async def open_channel(address: Address, on_data: Callable[[bytes], None]) -> Channel:
    """Raises OSError, or UnicodeError for a host's name that is none."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_connection(lambda: Channel(on_data), *address)
    return channel

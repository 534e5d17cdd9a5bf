"""In-memory connections to discovery, for tests on a virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from anisespool.config import Address

READ_BYTES = 65536
Connect = Callable[[str, int], Awaitable[tuple[asyncio.StreamReader, Any]]]


class StreamChannel:
    """Replaces anisespool.discovery.channel.Channel, over a reader and a writer."""

    def __init__(self, reader: asyncio.StreamReader, writer: Any, on_data: Callable[[bytes], None]) -> None:
        self._reader, self._writer, self._on_data = reader, writer, on_data

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def ended(self) -> None:
        while data := await self._reader.read(READ_BYTES):
            self._on_data(data)

    def read_pending(self) -> None:
        """There is no socket buffer to read ahead of the event loop."""

    def close(self) -> None:
        self._writer.transport.abort()


def channel_opener(connect: Connect) -> Callable[..., Awaitable[StreamChannel]]:
    """Returns a replacement for anisespool.discovery.channel.open_channel."""

    async def open_channel(address: Address, on_data: Callable[[bytes], None]) -> StreamChannel:
        reader, writer = await connect(*address)
        return StreamChannel(reader, writer, on_data)

    return open_channel

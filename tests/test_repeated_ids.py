"""No request runs whose client has left before its last byte was sent on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

from tests.net import harness, until
from tests.planned_end import classes_with
from tests.test_long import BodySink, plain

CLASSES = classes_with(5.0, 4.0)


async def test_a_long_request_whose_client_has_left_is_not_delivered_by_the_kernel(tmp_path: Path) -> None:
    """Its bytes were in the kernel's buffers, so the server got the whole of it seconds after the close."""

    class SlowSink(BodySink):
        receive_buffer_bytes = read_ahead_bytes = 65536

        async def _body(self, reader: asyncio.StreamReader, head: bytes) -> AsyncIterator[bytes]:
            async for data in super()._body(reader, head):
                yield data
                await asyncio.sleep(len(data) / 2e6)

    async with SlowSink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        _, writer = await asyncio.open_connection(*it.address)
        writer.write(plain(b"x" * (2 << 20)))
        await writer.drain()
        await until(lambda: bool(endpoint.heads) and not writer.transport.get_write_buffer_size())
        writer.close()
        await asyncio.sleep(1.5)
        assert not endpoint.bodies

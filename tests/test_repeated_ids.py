"""No request runs twice under one id, and none whose client left before its last byte was sent on."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

from tests.net import Endpoint, exchange, harness, held_until, raw_call, read_response, until
from tests.planned_end import classes_with
from tests.test_endpoints import never_respond
from tests.test_long import BodySink, plain
from tests.test_upgrade import upgrade

CLASSES = classes_with(5.0, 4.0)


def runs(*endpoints: Endpoint) -> Counter[bytes]:
    """How often each id has come to a server."""
    return Counter(r.headers[b"x-trace-id"] for endpoint in endpoints for r in endpoint.requests)


async def test_an_id_that_may_have_run_does_not_run_again_when_its_client_comes_again(tmp_path: Path) -> None:
    """Third picture of issue 47: nothing remembered the ids of clients that had left."""
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, harness(tmp_path, endpoint) as it:
        for cls in ("once", "look"):
            _, writer = await asyncio.open_connection(*it.address)
            writer.write(raw_call(cls, cls))
            await until(lambda cls=cls: runs(endpoint)[cls.encode()] == 1)  # type: ignore[misc]
            writer.transport.abort()
        release.set()
        statuses = [(await exchange(it.address, raw_call(cls, cls))).status for cls in ("once", "look")]
        assert statuses == [409, 200] and runs(endpoint)[b"once"] == 1


async def test_an_id_that_has_certainly_not_run_may_come_again(tmp_path: Path) -> None:
    turned_away = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
    async with Endpoint(turned_away).serve() as endpoint, harness(tmp_path, endpoint) as it:
        assert (await exchange(it.address, raw_call("once", "t1"))).status == 503
        endpoint.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert (await exchange(it.address, raw_call("once", "t1"))).status == 200


async def test_a_keyed_id_may_come_again_only_while_servers_drop_a_repeat(tmp_path: Path) -> None:
    """The window of the class in these settings is 1 s."""
    async with Endpoint(never_respond).serve() as endpoint, harness(tmp_path, endpoint) as it:
        data = raw_call("keyed", "t1", headers="Idempotency-Key: k\r\n")
        for count in (1, 2):
            _, writer = await asyncio.open_connection(*it.address)
            writer.write(data)
            await until(lambda count=count: len(endpoint.requests) == count)  # type: ignore[misc]
            writer.transport.abort()
        await asyncio.sleep(1.0)
        assert (await exchange(it.address, data)).status == 409 and len(endpoint.requests) == 2


async def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    """It left before the new process had come, or while both ran, and comes to the other one."""
    async with (
        Endpoint(never_respond).serve() as endpoint,
        upgrade(tmp_path, endpoint, request_classes=CLASSES) as it,
    ):
        old, _ = await it.start()
        early = await asyncio.open_connection(*it.address)
        early[1].write(raw_call("once", "early", 5000))
        late = await asyncio.open_connection(*it.address)
        late[1].write(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await read_response(late[0])).status == 200
        await until(lambda: len(endpoint.requests) == 1)
        early[1].transport.abort()
        new, _ = await it.start()
        late[1].write(raw_call("once", "late", 5000))
        await until(lambda: len(endpoint.requests) == 2)
        late[1].transport.abort()
        old.send_signal(signal.SIGSTOP)  # so that the new process takes the next connections
        for trace in ("late", "early"):
            assert (await exchange(it.address, raw_call("once", trace, 2000))).status == 409
        assert set(runs(endpoint).values()) == {1}
        for process in (old, new):
            process.kill()
            await process.wait()
        assert [path.name for path in tmp_path.glob("*.ids")] == ["anisespool-n0.ids"]


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

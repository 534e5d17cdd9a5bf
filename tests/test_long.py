"""Bodies over the buffering limit are streamed: complete or visibly truncated, with bounded memory."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints
from anisespool.front import server, timeouts
from tests.net import (
    OK,
    Endpoint,
    exchange,
    harness,
    raw_call,
    read_head,
    read_response,
    reset,
    until,
)
from tests.support import SECOND, raw_settings
from tests.test_sidecar import slow

LONG_BODY = bytes(range(251)) * 4000  # about 1 MB, not a multiple of any buffer size
LARGE_BODY_BYTES = 32 << 20
CLASSES = [row | {"deadline-ns": 8 * SECOND, "late-worth": 0.5} for row in raw_settings()["request-classes"]]


def chunked(body: bytes, size: int, trailer: bytes = b"") -> bytes:
    parts = (body[n : n + size] for n in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n" + trailer + b"\r\n"


def post(body: bytes, framing: bytes, trace: str = "t1", left_ms: int = 8000) -> bytes:
    return raw_call("once", trace, left_ms).replace(b"Content-Length: 0", framing) + body


def plain(body: bytes, trace: str = "t1") -> bytes:
    return post(body, b"Content-Length: %d" % len(body), trace)


class BodySink(Endpoint):
    """Reads a body of any length and keeps only its length and digest."""

    def __init__(self, answer: bytes = OK, pause_s: float = 0.0) -> None:
        super().__init__(answer)
        self.bodies: list[tuple[int, bytes]] = []
        self.heads: list[bytes] = []
        self._pause_s = pause_s

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append((reader, writer))
        assert isinstance(self.answer, bytes)
        with suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                size, digest = 0, hashlib.blake2b()
                async for data in self._body(reader, head):
                    size += len(data)
                    digest.update(data)
                    await asyncio.sleep(self._pause_s)
                self.bodies.append((size, digest.digest()))
                writer.write(self.answer)

    async def _body(self, reader: asyncio.StreamReader, head: bytes) -> AsyncIterator[bytes]:
        if b"Transfer-Encoding: chunked" in head:
            while length := int(await reader.readline(), 16):
                yield await reader.readexactly(length)
                await reader.readline()
            await reader.readline()
        else:
            left = int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0] or 0)
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise EOFError
                left -= len(data)
                yield data


def body(data: bytes) -> tuple[int, bytes]:
    return len(data), hashlib.blake2b(data).digest()


@pytest.mark.parametrize(
    ("request_", "framing"),
    [
        (plain(LONG_BODY), b"Content-Length: %d" % len(LONG_BODY)),
        (post(chunked(LONG_BODY, 7000), b"Transfer-Encoding: chunked"), b"Transfer-Encoding: chunked"),
        (post(chunked(LONG_BODY, 300_000, b"X-Sum: 7\r\n"), b"Transfer-Encoding: chunked"), b"chunked"),
    ],
)
async def test_a_long_body_arrives_unchanged_and_the_next_request_too(
    tmp_path: Path, request_: bytes, framing: bytes
) -> None:
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(request_ + raw_call("once", "t2", body=b"short"))  # pipelined behind it
        got = b""
        while got.count(b"HTTP/1.1 200 OK") < 2:
            data = await reader.read(65536)
            assert data
            got += data
        assert endpoint.bodies == [body(LONG_BODY), body(b"short")]
        assert framing in endpoint.heads[0] and b"X-Trace-Id: t1" in endpoint.heads[0]
        writer.close()


async def test_a_chunked_body_in_pieces_of_a_byte_grows_too_long_to_hold(tmp_path: Path) -> None:
    data = LONG_BODY[:70_000]
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        response = await exchange(it.address, post(chunked(data, 1), b"Transfer-Encoding: chunked"))
        assert response.status == 200 and endpoint.bodies == [body(data)]


async def test_a_client_that_asks_first_is_told_to_go_on(tmp_path: Path) -> None:
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        head, _, rest = plain(LONG_BODY).partition(b"\r\n\r\n")
        writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
        assert await read_head(reader) == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(rest)
        assert (await read_response(reader)).status == 200
        assert endpoint.bodies == [body(LONG_BODY)]
        writer.close()


FRAMINGS: dict[str, bytes] = {
    "told": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY) + LONG_BODY,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunked(LONG_BODY, 9999, b"X-Sum: 7\r\n"),
    "announced": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    + b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG_BODY)
    + LONG_BODY,
    "to the end": b"HTTP/1.1 200 OK\r\n\r\n" + LONG_BODY,
}


@pytest.mark.parametrize(
    ("rest", "status"),
    [(b"zz\r\n", 400), (b"5\r\nabcdefgh\r\n", 400), (b"0\r\nX-Big: " + b"x" * 20_000 + b"\r\n\r\n", 413)],
)
async def test_a_long_body_that_turns_out_broken_is_rejected_and_never_runs(
    tmp_path: Path, rest: bytes, status: int
) -> None:
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(post(chunked(LONG_BODY, 9000)[:-5], b"Transfer-Encoding: chunked"))
        await until(lambda: bool(endpoint.heads))  # the body is being forwarded
        writer.write(rest)
        assert (await read_response(reader)).status == status
        assert await reader.read() == b""
        assert not endpoint.bodies
        writer.close()


async def test_what_no_server_has_taken_any_of_may_go_to_another_and_the_rest_may_not(tmp_path: Path) -> None:
    with socket.socket() as nobody:
        nobody.bind(("127.0.0.1", 0))
        gone, good = Endpoint(), BodySink()
        gone.address = Address(*nobody.getsockname())
        async with good.serve(), harness(tmp_path, gone, good, request_classes=CLASSES) as it:
            for n in range(8):
                assert (await exchange(it.address, plain(LONG_BODY, f"t{n}"))).status == 200
            assert good.bodies == [body(LONG_BODY)] * 8

    async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(100_000)
        tried.append(1)
        reset(writer)

    tried: list[int] = []
    servers = [await asyncio.start_server(reset_early, "127.0.0.1", 0) for _ in range(2)]
    for n, peer in enumerate((Endpoint(), Endpoint())):
        peer.address = Address(*servers[n].sockets[0].getsockname())
        gone, good = (peer, good) if n == 0 else (gone, peer)  # type: ignore[assignment]
    async with harness(tmp_path, gone, good, request_classes=CLASSES) as it:
        assert (await exchange(it.address, plain(LONG_BODY))).status == 503  # incomplete: can't have run
        assert len(tried) == 1
    for each in servers:
        each.close()


async def test_the_time_for_an_answer_starts_with_the_last_byte(tmp_path: Path) -> None:
    """A client whose upload takes longer than its response timeout is still served."""
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        data = post(LONG_BODY, b"Content-Length: %d" % len(LONG_BODY), left_ms=400)
        for n in range(0, len(data), 200_000):
            writer.write(data[n : n + 200_000])
            await asyncio.sleep(0.15)
        assert (await read_response(reader)).status == 200
        writer.close()


async def test_a_client_that_stops_in_the_midst_of_its_body_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timeouts, "BODY_GRACE_S", 0.1)
    monkeypatch.setattr(timeouts, "MIN_BODY_BYTES_PER_S", 1e6)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.01)
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint, request_classes=CLASSES) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(plain(LONG_BODY)[:300_000])
        assert (await read_response(reader)).status == 408
        await until(lambda: not endpoint.connections or endpoint.connections[0][0].at_eof())
        assert not endpoint.bodies
        assert (await exchange(it.address, raw_call())).status == 200
        writer.close()


async def test_a_body_announced_behind_a_request_is_asked_for_once_that_is_answered(tmp_path: Path) -> None:
    async with Endpoint(slow(0.1)).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        second = raw_call("once", "t2", body=b"abc", headers="Expect: 100-continue\r\n")
        writer.write(raw_call() + second[:-3])
        assert (await read_head(reader)).startswith(b"HTTP/1.1 200") and await reader.readexactly(2) == b"ok"
        assert (await read_head(reader)).startswith(b"HTTP/1.1 100")
        writer.write(second[-3:])
        assert (await read_response(reader)).status == 200
        writer.close()


async def test_a_head_asks_for_no_body(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoints, "REUSE_DELAY_S", 0.0)  # so that the connection is reused at once
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n"
    async with Endpoint(reply).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for _ in range(2):
            writer.write(raw_call().replace(b"GET", b"HEAD"))
            assert b"Content-Length: 5000000" in await read_head(reader)
        assert [r.method for r in endpoint.requests] == [b"HEAD"] * 2 and len(endpoint.connections) == 1
        writer.close()

"""Short reads and writes, errors after a partial write, and interrupting signals."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from anisespool.config import Address
from tests.net import Endpoint, exchange, harness, raw_call, read_head, read_response, until
from tests.support import SECOND, raw_settings
from tests.syscalls import FailingCall, ShortCall, is_accepted_at, is_connected_to, no_traceback
from tests.test_long import BodySink, chunked, post

__all__ = ["no_traceback"]  # a fixture

BODY = hashlib.shake_128(b"body").digest(20_000)
LONG_BODY = hashlib.shake_128(b"long body").digest(600_000)  # over the buffering limit
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_BUFFER = 4096  # bytes; the kernel allots somewhat more


def reply(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read a response of any length and return its body."""
    head = await read_head(reader)
    assert head.startswith(b"HTTP/1.1 200 OK")
    if b"chunked" not in head:
        return await reader.readexactly(int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]))
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:size]
    assert await reader.readline() == b"\r\n"
    return body


def body_digest(body: bytes) -> tuple[int, bytes]:
    """In the form that BodySink keeps."""
    return len(body), hashlib.blake2b(body).digest()


# Targets that no machine misses: thousands of calls take a busy one longer than the usual 0.7 s.
PATIENT_CLASSES = [
    row | {"target-ns": 15 * SECOND, "deadline-ns": 16 * SECOND} for row in raw_settings()["request-classes"]
]
SIZES = {"by one": (1, BODY[:700]), "by seven": (7, BODY), "long": (1000, LONG_BODY)}


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", ["send", "recv_into"])
async def test_requests_and_answers_arrive_whole_a_few_bytes_at_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str, size: str
) -> None:
    nbytes, body = SIZES[size]
    async with (
        BodySink(reply(body)).serve() as endpoint,
        harness(tmp_path, endpoint, request_classes=PATIENT_CLASSES) as it,
    ):
        at_client = ShortCall(monkeypatch, name, nbytes, is_accepted_at(it.address))
        at_server = ShortCall(monkeypatch, name, nbytes, is_connected_to(endpoint.address))
        reader, writer = await asyncio.open_connection(*it.address)
        for trace in ("t1", "t2"):
            writer.write(raw_call("once", trace, left_ms=15_000, body=body))
            assert await read_answer(reader) == body
        writer.close()
        assert endpoint.bodies == [body_digest(body)] * 2
        assert min(at_client.calls, at_server.calls) > 2 * len(body) / nbytes


class SmallWindow(BodySink):
    """A server with a small receive buffer."""

    receive_buffer_bytes = SMALL_BUFFER


def connect_small(address: Address) -> socket.socket:
    """Connect a client with a small receive buffer."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    client.connect(address)
    return client


@pytest.mark.parametrize("framing", ["told", "chunked"])
async def test_bodies_arrive_whole_through_small_buffers_at_both_ends(tmp_path: Path, framing: str) -> None:
    answer = reply(LONG_BODY) if framing == "told" else CHUNKED_HEAD + chunked(LONG_BODY, 50_000)
    async with SmallWindow(answer).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(sock=connect_small(it.address))
        writer.write(raw_call("once", left_ms=9000, body=LONG_BODY))
        assert await read_answer(reader) == LONG_BODY
        assert endpoint.bodies == [body_digest(LONG_BODY)]
        writer.close()


@pytest.mark.parametrize("number", [errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH])
@pytest.mark.parametrize("written", [1, 3])
async def test_a_request_of_which_only_a_part_was_written_has_not_run_and_goes_out_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, written: int
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        ShortCall(monkeypatch, "send", 10, is_connected_to(endpoint.address))
        failing = FailingCall(
            monkeypatch, "send", number, 1, is_connected_to(endpoint.address), after=written
        )
        assert (await exchange(it.address, raw_call("once", body=b"abc"))).status == 200
        assert failing.failed == 1
        assert [r.body for r in endpoint.requests] == [b"abc"]  # the partial request was discarded
        await until(lambda: not it.service._endpoints.busy)
        assert len(it.service._endpoints.connections) == 1


async def test_a_long_answer_in_many_chunks_is_not_written_on_to_a_client_that_broke(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each write after the failed one would log a line, thousands for one client."""
    answer = CHUNKED_HEAD + chunked(LONG_BODY, 20)
    async with Endpoint(answer).serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "send", errno.EPIPE, 1, is_accepted_at(it.address), after=3)
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        with suppress(ConnectionError):
            await reader.read()
        writer.close()
        assert failing.failed == 1
        await until(lambda: not (it.service.open or it.service._endpoints.busy))


async def test_a_long_request_in_many_chunks_is_not_written_on_to_a_server_that_broke(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        failing = FailingCall(monkeypatch, "send", errno.EPIPE, 1, is_connected_to(endpoint.address), after=1)
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(post(chunked(LONG_BODY, 20), b"Transfer-Encoding: chunked"))
        assert (await read_response(reader)).status == 503  # none of it is buffered for a retry
        writer.close()
        assert failing.failed == 1 and not endpoint.requests
        await until(lambda: not (it.service.open or it.service._endpoints.busy))


@contextmanager
def signals(number: signal.Signals, pause_s: float) -> Iterator[list[int]]:
    """Send a signal to this thread repeatedly; yields the list of those delivered."""
    came: list[int] = []
    target, over = threading.get_ident(), threading.Event()

    def send() -> None:
        while not over.wait(pause_s):
            signal.pthread_kill(target, number)

    before = signal.signal(number, lambda seen, frame: came.append(seen))
    sender = threading.Thread(target=send)
    sender.start()
    try:
        yield came
    finally:
        over.set()
        sender.join()
        signal.signal(number, before)


async def test_signals_that_interrupt_calls_cost_nothing(tmp_path: Path) -> None:
    """EINTR never surfaces: Python retries epoll_wait, accept, recv and send by itself (PEP 475)."""
    async with BodySink(reply(LONG_BODY)).serve() as endpoint, harness(tmp_path, endpoint) as it:
        with signals(signal.SIGUSR1, 0.0005) as came:
            for n in range(10):
                reader, writer = await asyncio.open_connection(*it.address)
                writer.write(raw_call("once", f"t{n}", 9000, BODY))
                assert await read_answer(reader) == LONG_BODY
                writer.close()
            await until(lambda: len(came) > 50)
        assert endpoint.bodies == [body_digest(BODY)] * 10

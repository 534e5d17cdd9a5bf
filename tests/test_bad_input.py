"""Invalid input on the sidecar's ports is rejected or closed within 3 s and leaves no state behind."""

from __future__ import annotations

import asyncio
import os
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address
from anisespool.endpoints import endpoints
from anisespool.front import timeouts
from tests.net import Endpoint, exchange, harness, raw_call, read_response, reset, until
from tests.syscalls import no_traceback
from tests.test_admin import call

__all__ = ["no_traceback"]  # a fixture

END_TIMEOUT_S = 3.0  # from the service's requirements
CONNECTIONS_PER_INPUT = 5  # per kind of bad input

POST = raw_call("once")
CHUNKED = POST.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
BAD_REQUESTS = {
    "zeroes": b"\x00" * 100,
    "blank lines": b"\r\n" * 5000,
    "a hello of TLS": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x07" * 500,
    "HTTP/2": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "one long line": b"GET /" + b"x" * 300_000,
    "many headers": b"GET /look/1 HTTP/1.1\r\n" + b"A: b\r\n" * 9000,
    "a header without an end": b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: " + b"x" * 300_000,
    "half a request": POST[:-3],
    "half a body": POST.replace(b"Content-Length: 0", b"Content-Length: 9"),
    "two lengths": POST.replace(b"Content-Length: 0", b"Content-Length: 1\r\nContent-Length: 2"),
    "a length of no number": POST.replace(b"Content-Length: 0", b"Content-Length: 1e3"),
    "chunks of no size": CHUNKED + b"x\r\n",
    "a huge chunk": CHUNKED + b"f" * 15 + b"\r\nab",
    "chunks that stop": CHUNKED + b"5\r\nab",
    "a line folded": raw_call(headers="X-A: 1\r\n 2\r\n").replace(b"X-Trace-Id: t1\r\n", b""),
    "no name of a header": raw_call().replace(b"X-Customer:", b":"),
    "an unknown method": raw_call().replace(b"GET", b"BREW"),
    "nothing": b"",
}


async def answer_or_end(address: Address, data: bytes) -> float:
    """Seconds until an error response or the close of the connection; fails on any other response."""
    reader, writer = await asyncio.open_connection(*address)
    began = monotonic()
    try:
        writer.write(data)
        async with asyncio.timeout(2 * END_TIMEOUT_S):
            with suppress(ConnectionError, EOFError):
                status = (await read_response(reader)).status
                assert 400 <= status < 600
    finally:
        writer.close()
    return monotonic() - began


async def test_bad_input_from_clients_is_refused_or_ended_in_time_and_leaves_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """Uses a shorter request timeout, so that a busy machine doesn't matter; tests/test_crowds.py checks the
    real one against the 3 s."""
    monkeypatch.setattr(timeouts, "REQUEST_TIMEOUT_S", 0.75)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        assert (await exchange(it.address, raw_call())).status == 200
        service = it.service
        await until(lambda: not service._server.connections)
        descriptors = len(os.listdir("/proc/self/fd"))
        calls = [
            answer_or_end(it.address, data)
            for data in BAD_REQUESTS.values()
            for _ in range(CONNECTIONS_PER_INPUT)
        ]
        took = await asyncio.gather(*calls)
        assert max(took) < END_TIMEOUT_S
        for data in BAD_REQUESTS.values():  # and followed by a reset
            _, writer = await asyncio.open_connection(*it.address)
            writer.write(data)
            reset(writer)
        assert (await exchange(it.address, raw_call())).status == 200
        await until(lambda: not (service._server.connections or service.open or service._endpoints.busy))
        assert len(endpoint.requests) == 2
        await until(lambda: len(os.listdir("/proc/self/fd")) <= descriptors + 2)
    lines = capfd.readouterr().err.splitlines()
    assert sum(line.startswith(("server:", "broken:")) for line in lines) <= 1


async def test_bad_input_from_operators_is_refused_or_ended_in_time(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint, admin=True) as it:
        assert it.admin
        for data in BAD_REQUESTS.values():
            if b"\n" in data or len(data) > 1000:  # a complete line, or one over the length limit
                assert (await call(it.admin, data)).startswith(b"FAILURE")
            _, writer = await asyncio.open_connection(*it.admin)
            writer.write(data)
            reset(writer)
        assert (await call(it.admin, b"READY\n")).startswith(b"SUCCESS")
        await until(lambda: not it.service._admin.connections)


BAD_ANSWERS = {
    "zeroes": b"\x00" * 100,
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "no length that is one": b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "chunks of no size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
    "a head without an end": b"HTTP/1.1 200 OK\r\nX: " + b"x" * 300_000,
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
}


@pytest.mark.parametrize("data", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
async def test_bad_answers_of_a_server_cost_no_request_its_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], data: bytes
) -> None:
    monkeypatch.setattr(endpoints, "LOG_INTERVAL_S", 60.0)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        writer.close()

    async with Endpoint(answer).serve() as endpoint, harness(tmp_path, endpoint) as it:
        replies = await asyncio.gather(
            *(
                exchange(it.address, raw_call(cls, f"{cls}-{n}", 1500))
                for cls in ("once", "look")
                for n in range(3)
            )
        )
        assert all(500 <= reply.status < 600 for reply in replies)
        endpoint.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        assert (await exchange(it.address, raw_call())).status == 200
        service = it.service
        await until(lambda: not (service.open or service._endpoints.busy))
        assert service._endpoints._opening == 0
    lines = capfd.readouterr().err.splitlines()
    assert sum(line.startswith("broken:") for line in lines) == 1

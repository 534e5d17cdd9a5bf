"""Servers and discovery that offer another protocol, or change to one (101) though nobody has asked."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httptools
import pytest

from anisespool import http1
from anisespool.body_stream import BodyStream
from tests.net import OK, Discovery, Endpoint, exchange, harness, member_list, raw_call, until
from tests.protocol_offers import PARSER_ERRORS, Collector
from tests.syscalls import no_traceback
from tests.test_long import LONG_BODY, chunked

__all__ = ["no_traceback"]  # a fixture

SWITCH = b"HTTP/1.1 101 Switching Protocols\r\n"
SWITCHES = {
    "as offered": SWITCH + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    "and its frames": SWITCH + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + bytes(3000),
    "and an answer": SWITCH + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + OK,
    "without its fields": SWITCH + b"\r\n",
    "with a length": SWITCH + b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nok",
    "behind an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n" + SWITCH + b"\r\n",
}


def in_pieces(data: bytes, size: int) -> Callable[..., Any]:
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for n in range(0, len(data), size):
            if not writer.is_closing():
                writer.write(data[n : n + size])
            await asyncio.sleep(0)

    return respond


@pytest.mark.parametrize("size", [1 << 20, 7])
@pytest.mark.parametrize("name", SWITCHES)
async def test_a_server_that_changes_protocol_has_failed_and_may_have_run(
    tmp_path: Path, name: str, size: int
) -> None:
    """Nobody has asked it to: what comes cannot be read as HTTP, and its connection carries nothing more."""
    async with (
        Endpoint(in_pieces(SWITCHES[name], size)).serve() as endpoint,
        harness(tmp_path, endpoint) as it,
    ):
        once = await exchange(it.address, raw_call("once", "t1"))
        assert once.status == 502 and len(endpoint.requests) == 1
        endpoint.answer = OK
        assert (await exchange(it.address, raw_call("look", "t2"))).status == 200
        await until(lambda: not it.service._endpoints.busy)
        assert len(it.service._endpoints.connections) == 1 and len(endpoint.connections) == 2


OFFER = b"Connection: Upgrade\r\nUpgrade: h2,h2c\r\n"
OFFERED_ANSWERS = {
    "told": b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b",
    "in chunks": b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n%b",
    "to the end": b"HTTP/1.1 200 OK\r\n%b\r\n%b",
}


@pytest.mark.parametrize("size", [1 << 20, 997])
@pytest.mark.parametrize("body", [b"ok", LONG_BODY], ids=["short", "long"])
@pytest.mark.parametrize("form", OFFERED_ANSWERS)
async def test_an_answer_that_offers_another_protocol_is_passed_on(
    tmp_path: Path, form: str, body: bytes, size: int
) -> None:
    values = {
        "told": (OFFER, len(body), body),
        "in chunks": (OFFER, chunked(body, 50_000)),
        "to the end": (OFFER, body),
    }
    data = OFFERED_ANSWERS[form] % values[form]

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await in_pieces(data, size)(reader, writer)
        if form == "to the end":
            writer.close()

    async with Endpoint(respond).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call(left_ms=9000))
        sink, streams = Collector(), []

        def open_stream() -> Any:
            streams.append(BodyStream(None, lambda: None, lambda: None))
            streams[-1].attach(sink)
            return streams[-1]

        parser = http1.ResponseParser(open_body_stream=open_stream)
        response = None
        while response is None and (received := await reader.read(65536)):
            response = parser.feed(received)
        response = response or parser.end()
        assert response and response.status == 200 and response.body + sink.data == body
        assert b"upgrade" not in response.headers
        writer.close()


@pytest.mark.parametrize("behind", [b"", b"\x00" * 9])
async def test_a_change_of_protocol_behind_an_answer_ends_its_connection_only(
    tmp_path: Path, behind: bytes
) -> None:
    answer = OK + SWITCHES["as offered"] + behind
    async with Endpoint(answer).serve() as endpoint, harness(tmp_path, endpoint) as it:
        for n in range(3):
            assert (await exchange(it.address, raw_call("once", f"t{n}"))).status == 200
        assert len(endpoint.requests) == len(endpoint.connections) == 3


@pytest.mark.parametrize("error", [*PARSER_ERRORS, httptools.HttpParserUpgrade])
async def test_no_exception_of_the_parser_leaves_a_server_connection_in_use(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    class FailingParser(httptools.HttpResponseParser):
        def feed_data(self, data: Any) -> None:
            if b"FAIL" in bytes(data):
                raise error("on purpose")
            super().feed_data(data)

    async with Endpoint(b"FAIL").serve() as endpoint, harness(tmp_path, endpoint) as it:
        with monkeypatch.context() as patch:
            patch.setattr(httptools, "HttpResponseParser", FailingParser)
            reader, writer = await asyncio.open_connection(*it.address)
            writer.write(raw_call("once", "t1"))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 502")
            writer.close()
        endpoint.answer = OK
        assert (await exchange(it.address, raw_call("once", "t2"))).status == 200
        assert len(endpoint.connections) == 2


@pytest.mark.parametrize("name", SWITCHES)
async def test_discovery_that_changes_protocol_is_called_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], name: str
) -> None:
    real, calls = Discovery._connected, 0

    async def switch_first(
        self: Discovery, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal calls
        calls += 1
        if calls == 1:
            writer.write(SWITCHES[name])
            await reader.read()
        else:
            await real(self, reader, writer)

    monkeypatch.setattr(Discovery, "_connected", switch_first)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        await until(lambda: bool(it.discovery.connections))
        assert "DiscoveryRefused" in capfd.readouterr().err
        it.discovery.say(member_list(5, [], complete=False))
        await until(lambda: it.service._sidecar.servers.revision == 5)
        assert (await exchange(it.address, raw_call())).status == 200

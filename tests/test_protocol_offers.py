"""Messages that offer or ask for another protocol (RFC 9110, 7.8), in every form in which they may be sent.

A sidecar stays with HTTP/1.1: an offer is ignored, and its request served like any other; what cannot be
served is rejected once the requests before it are answered.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import httptools
import pytest
from hypothesis import given, settings, strategies

from anisespool import http1
from tests.net import Endpoint, harness, held_until, raw_call, read_response, until
from tests.protocol_offers import FORMS, LONG_CHUNKS, OFFERS, PARSER_ERRORS, SHORT_FORMS, Collector
from tests.syscalls import no_traceback
from tests.test_http1 import cut
from tests.test_long import LONG_BODY, BodySink, plain
from tests.test_short_io import body_digest

__all__ = ["no_traceback"]  # a fixture


def message(offer: str, form: str, version: bytes = b"1.1") -> bytes:
    method, framing, payload, _ = FORMS[form]
    head = b"%b /once/1?x=%%20 HTTP/%b\r\nX-Trace-Id: a\r\n%b%b\r\n" % (
        method,
        version,
        offer.encode(),
        framing,
    )
    return head + payload


def parse(parts: list[bytes]) -> tuple[list[tuple[Any, ...]], int]:
    """All that a parser makes of each request but its Upgrade fields, and the error behind them."""
    parser = http1.RequestParser()
    requests = [request for part in parts for request in parser.feed(part)]
    rows = []
    for request in requests:
        sink = Collector()
        if request.body_stream:
            request.body_stream.attach(sink)
            assert sink.is_complete
        headers = {
            name: value for name, value in request.headers.items() if name not in (b"upgrade", b"x-offer")
        }
        rows.append((request.method, request.target, headers, request.body + sink.data, request.keep_alive,
                     request.version))  # fmt: skip
    return rows, parser.error


def without_offers(data: bytes) -> bytes:
    """The same bytes with the fields under another name."""
    for name in (b"Upgrade:", b"UPGRADE:"):
        data = data.replace(b"\r\n" + name, b"\r\nX-Offer:")
    return data


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("offer", OFFERS)
def test_an_offer_changes_nothing_of_its_request_and_of_those_around_it(offer: str, form: str) -> None:
    """httptools stops behind such a head, and leaves out the body that it announces."""
    around = b"GET /look/2 HTTP/1.1\r\n\r\n"
    data = around + message(OFFERS[offer], form) + around
    rows, error = parse([data])
    assert (rows, error) == parse([without_offers(data)])
    assert rows[1][3] == FORMS[form][3]
    closes = offer == "and a close"  # nothing may follow such a request
    assert (len(rows), error) == ((2, 400) if closes else (3, 0))


@pytest.mark.parametrize("offer", OFFERS)
@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    forms=strategies.lists(strategies.sampled_from(SHORT_FORMS), min_size=1, max_size=4),
    places=strategies.lists(strategies.integers(0, 10_000), max_size=12),
)
def test_an_offer_is_ignored_however_it_is_cut(offer: str, forms: list[str], places: list[int]) -> None:
    data = b"".join(message(OFFERS[offer], form) for form in forms)
    assert parse(cut(data, places)) == parse([without_offers(data)])


@pytest.mark.parametrize("form", SHORT_FORMS)
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_offer_is_ignored_byte_by_byte_and_in_http_1_0(version: bytes, form: str) -> None:
    data = message(OFFERS["h2c"], form, version)
    rows, error = parse([data[n : n + 1] for n in range(len(data))])
    assert (rows, error) == parse([without_offers(data)])
    assert [row[3] for row in rows] == [FORMS[form][3]] and not error


@pytest.mark.parametrize("form", SHORT_FORMS)
@pytest.mark.parametrize("size", [1 << 20, 40, 1])
async def test_requests_that_offer_another_protocol_are_served_on_one_connection(
    tmp_path: Path, form: str, size: int
) -> None:
    """review/2: such a request was read, and its connection closed unanswered, with all those on it."""
    _, framing, payload, body = FORMS[form]
    offer = raw_call("once", "t2", headers=OFFERS["h2c"]).replace(b"Content-Length: 0\r\n", framing) + payload
    if form == "without a body":
        offer = raw_call("look", "t2", headers=OFFERS["h2c"])
    data = raw_call("look", "t1") + offer + offer.replace(b"t2", b"t3") + raw_call("once", "t4", body=b"end")
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for n in range(0, len(data), size):
            writer.write(data[n : n + size])
            await asyncio.sleep(0)
        responses: list[http1.Response | None] = []
        while len(responses) < 4:
            responses.append(http1.ResponseParser().feed(await reader.readuntil(b"ok")))
        assert [response and response.status for response in responses] == [200] * 4
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t1", b"t2", b"t3", b"t4"]
        assert [r.body for r in endpoint.requests] == [b"", body, body, b"end"]
        assert not any(
            name in r.headers for r in endpoint.requests for name in (b"upgrade", b"http2-settings")
        )
        writer.close()


@pytest.mark.parametrize("framing", ["told", "chunked"])
async def test_a_long_body_behind_an_offer_arrives_whole(tmp_path: Path, framing: str) -> None:
    offer = OFFERS["h2c"].encode()
    told = plain(LONG_BODY)
    if framing == "chunked":
        told = told.replace(b"Content-Length: %d" % len(LONG_BODY), b"Transfer-Encoding: chunked")
        told = told.replace(LONG_BODY, LONG_CHUNKS)
    async with BodySink().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        for n in range(2):
            request = told.replace(b"X-Trace-Id: t1", b"X-Trace-Id: t%d" % n, 1)
            writer.write(request.replace(b"Host:", offer + b"Host:", 1))
            assert (await read_response(reader)).status == 200
        assert endpoint.bodies == [body_digest(LONG_BODY)] * 2
        writer.close()


async def test_a_client_that_offers_and_expects_is_asked_for_its_body(tmp_path: Path) -> None:
    headers = OFFERS["h2c"] + "Expect: 100-continue\r\n"
    request = raw_call("once", body=b"abc", headers=headers)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(request[:-3])
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(request[-3:])
        assert (await read_response(reader)).status == 200
        assert [r.body for r in endpoint.requests] == [b"abc"]
        writer.close()


# Other protocols, and failures of the parser, behind requests -----------------------------------------

OTHER_PROTOCOLS = {
    "CONNECT": (b"CONNECT db.internal:5432 HTTP/1.1\r\nHost: db.internal\r\n\r\n\x00\x00\x00\x08", 405),
    "CONNECT with an offer": (b"CONNECT a:1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", 405),
    "the preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00", 400),
    "TLS": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x07" * 500, 400),
    "an offer whose body has no end": (
        b"POST /once/1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400,
    ),
    "an offer with too large a head": (
        b"GET /look/1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: a\r\nX: %b\r\n\r\n" % (b"x" * 17_000), 413,
    ),
}  # fmt: skip


async def answers_behind_a_held_request(tmp_path: Path, data: bytes, offer: str) -> list[int]:
    """The statuses of all answers on a connection on which `data` comes while a request is being served."""
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", "served", body=b"abc", headers=offer))
        await until(lambda: len(endpoint.requests) == 1)
        writer.write(raw_call("look", "queued", headers=offer) + data)
        await asyncio.sleep(0.05)
        release.set()
        received = await reader.read()
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"served", b"queued"]
        await until(lambda: not it.service._server.connections)
        return [int(each[:3]) for each in received.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("offer", ["", OFFERS["h2c"]], ids=["plain", "offered"])
@pytest.mark.parametrize("name", OTHER_PROTOCOLS)
async def test_another_protocol_behind_requests_takes_none_of_their_answers(
    tmp_path: Path, name: str, offer: str
) -> None:
    data, status = OTHER_PROTOCOLS[name]
    assert await answers_behind_a_held_request(tmp_path, data, offer) == [200, 200, status]


@pytest.mark.parametrize("error", PARSER_ERRORS)
async def test_no_exception_of_the_parser_takes_answers_from_requests_read_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: type[Exception]
) -> None:
    """An exception that left `feed` made the event loop close the connection at once."""

    class FailingParser(httptools.HttpRequestParser):
        def feed_data(self, data: Any) -> None:
            before, marker, _ = bytes(data).partition(b"FAIL")
            super().feed_data(before)
            if marker:
                raise error("on purpose")

    monkeypatch.setattr(httptools, "HttpRequestParser", FailingParser)
    statuses = await answers_behind_a_held_request(tmp_path, b"FAIL", "")
    expected = 400 if issubclass(error, httptools.HttpParserError) else 500
    assert statuses == [200, 200, 500 if error is httptools.HttpParserCallbackError else expected]


async def test_an_exception_of_a_callback_is_logged_and_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    def fail(self: http1.RequestParser) -> None:
        raise RuntimeError("on purpose")

    data = raw_call("once").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"1\r\na\r\n"
    monkeypatch.setattr(http1.RequestParser, "on_chunk_header", fail, raising=False)
    assert await answers_behind_a_held_request(tmp_path, data, "") == [200, 200, 500]
    assert "server: RuntimeError: on purpose" in capfd.readouterr().err

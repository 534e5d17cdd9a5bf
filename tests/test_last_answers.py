"""The last answer on a connection reaches its client whole, whatever else the client does."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest

from anisespool.front import response_writer, timeouts
from anisespool.front.shutdown import Stage
from tests.connection_scenario import BODY, Scenario, scenario
from tests.net import Endpoint, harness, raw_call, read_response, until


def fill_kernel_only(accepted: socket.socket) -> None:
    """Enlarge the send buffer of an accepted socket, so that the kernel takes a whole answer."""
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * len(BODY))


async def rejected_with_its_answer_in_the_kernel(it: Scenario, writer: asyncio.StreamWriter) -> None:
    writer.write(b"\x00\r\n\r\n")
    await it.wait_for_stage(Stage.CLOSING)
    await asyncio.sleep(4 * response_writer.LINGER_TIMEOUT_S)


async def evicted_with_its_answer_in_the_kernel(it: Scenario, writer: asyncio.StreamWriter) -> None:
    it.server.set_connection_limit(0)
    await asyncio.sleep(0.05)
    it.server.set_connection_limit(50)


async def timed_out_with_its_answer_in_the_kernel(it: Scenario, writer: asyncio.StreamWriter) -> None:
    it.enforce_timeouts(timeouts.REQUEST_TIMEOUT_S + 1)
    await asyncio.sleep(0.05)


async def closed_as_the_client_asked(it: Scenario, writer: asyncio.StreamWriter) -> None:
    pass


@pytest.mark.parametrize(
    ("headers", "end"),
    [
        ("", rejected_with_its_answer_in_the_kernel),
        ("", evicted_with_its_answer_in_the_kernel),
        ("", timed_out_with_its_answer_in_the_kernel),
        ("Connection: close\r\n", closed_as_the_client_asked),
    ],
)
async def test_an_answer_that_only_the_kernel_still_holds_is_not_discarded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, headers: str,
    end: Callable[[Scenario, asyncio.StreamWriter], Awaitable[None]],
) -> None:  # fmt: skip
    """A closed socket resets the connection when bytes arrive, and the kernel discards what is on its way."""
    monkeypatch.setattr(response_writer, "LINGER_TIMEOUT_S", 0.05)
    async with scenario(tmp_path, monkeypatch) as it:
        it.endpoint.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
        reader, writer = await it.connect()
        fill_kernel_only(it.accepted.sockets[0])
        writer.write(raw_call("once", left_ms=15_000, headers=headers))
        await until(lambda: bool(it.endpoint.requests))
        await asyncio.sleep(0.05)
        await end(it, writer)
        writer.write(raw_call("once", "next", left_ms=15_000))
        received = b""
        with suppress(ConnectionError):
            while BODY not in received and (data := await reader.read(4096)):
                received += data
                await asyncio.sleep(0.001)
        assert BODY in received
        writer.close()


async def test_a_client_that_reads_only_once_all_is_sent_is_not_reset_meanwhile(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection was reset a second after a response that came before the end of the request."""
    monkeypatch.setattr(response_writer, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(timeouts, "RECEIVE_IDLE_TIMEOUT_S", 0.2)
    refusal = b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"

    async def refuse_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(refusal)
        await reader.read()

    async with Endpoint(refuse_early).serve() as endpoint, harness(tmp_path, endpoint) as it:
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(raw_call("once", left_ms=15_000, body=bytes(300_000))[:-150_000])
        for _ in range(30):
            await asyncio.sleep(0.02)
            writer.write(bytes(5000))
            await writer.drain()
        assert (await read_response(reader)).status == 503
        writer.close()


async def test_an_answer_without_a_length_that_its_client_does_not_read_has_no_orderly_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kernel delivered what it held and an end behind it, which passed for the end of the answer."""
    long_body = BODY * 20

    async def give_without_length(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + long_body)
        await writer.drain()
        writer.close()

    async with scenario(tmp_path, monkeypatch) as it:
        it.endpoint.answer = give_without_length
        reader, _ = await it.connect(raw_call("once", left_ms=15_000).replace(b"HTTP/1.1", b"HTTP/1.0"))
        await until(lambda: any(c._writer.unsent_bytes for c in it.server.connections))
        await it.enforce_read_timeout()
        with pytest.raises(ConnectionResetError):
            while await reader.read(4096):
                pass

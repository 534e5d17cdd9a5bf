"""Requests whose bodies wait for memory: they are answered, in order, and the connection stays."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from pathlib import Path
from time import monotonic

import pytest

from anisespool.front.server import MIN_CONNECTIONS
from anisespool.memory_budget import Holding
from anisespool.telemetry import TELEMETRY
from tests.crowd_clients import read_status
from tests.net import Endpoint, Harness, exchange, harness, raw_call, read_response, until

BODY = b"x" * 60_000


@contextmanager
def no_memory(sidecar: Harness) -> Iterator[Holding]:
    """Something else holds all that connections may."""
    memory = sidecar.service._memory
    holding = Holding(memory)
    holding.set(memory.limit_bytes - memory.held_bytes - memory.limit_bytes // 8)
    try:
        yield holding
    finally:
        holding.release()


async def test_a_body_waits_until_there_is_memory_for_it(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        with no_memory(sidecar):
            asking = asyncio.create_task(exchange(sidecar.address, raw_call("once", "t1", 15_000, BODY)))
            await until(lambda: sidecar.service._memory.waiting == 1)
            await asyncio.sleep(0.2)
            assert not asking.done() and not endpoint.requests
        assert (await asking).status == 200
        assert endpoint.requests[0].body == BODY


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_body_that_has_waited_for_half_of_its_time_is_refused_and_those_behind_it_are_answered(
    tmp_path: Path, chunked: bool
) -> None:
    """The connection was closed with the refusal, and requests on it were lost."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        with no_memory(sidecar):
            began = monotonic()
            writer.write(raw_call("once", "t1", 800, BODY) + raw_call("look", "t2", 4000))
            assert await read_status(reader) == "503"
            assert 0.35 < monotonic() - began < 0.75
            assert await read_status(reader) == "200"
        writer.write(raw_call("once", "t3", 2000, BODY))
        assert await read_status(reader) == "200"
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t2", b"t3"]
        if chunked:
            await _play_chunked(sidecar)
        writer.close()


async def _play_chunked(sidecar: Harness) -> None:
    """A body in chunks is refused at once with the end of the connection."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    with no_memory(sidecar):
        head = raw_call("once", "t4", 800).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        writer.write(head + b"2\r\nxx\r\n" * 3000)
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (503, b"close")
    writer.close()


async def test_a_client_that_stops_half_way_while_its_body_waits_for_memory_is_ended_in_time(
    tmp_path: Path,
) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        with no_memory(sidecar):
            began = monotonic()
            writer.write(raw_call("once", "t1", 15_000, BODY)[:-20_000])
            assert (await read_response(reader)).status == 408
            assert monotonic() - began < 3.0  # required: an error or a close within 3 s
        writer.close()


async def test_requests_sent_behind_one_in_progress_wait_longer_than_others(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"first" in endpoint.requests[-1].headers[b"x-trace-id"]:
            await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async with Endpoint(respond).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        memory = sidecar.service._memory
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(raw_call("once", "first", 15_000, BODY))
        await until(lambda: len(endpoint.requests) == 1)
        with no_memory(sidecar) as holding:
            holding.set(memory.limit_bytes * 5 // 8)  # over half is in use, and there is room
            writer.write(raw_call("once", "second", 15_000, BODY))
            await until(lambda: memory.waiting == 1)
            other = await exchange(sidecar.address, raw_call("once", "other", 15_000, BODY))
            assert other.status == 200 and memory.waiting == 1
            release.set()
            assert [await read_status(reader), await read_status(reader)] == ["200", "200"]
        writer.close()


async def test_without_memory_a_request_is_refused_and_idle_clients_make_room(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        memory = sidecar.service._memory
        idle = [await asyncio.open_connection(*sidecar.address) for _ in range(2 * MIN_CONNECTIONS)]
        await until(lambda: len(sidecar.service._server.connections) == len(idle))
        with no_memory(sidecar) as holding:
            holding.set(2 * memory.limit_bytes)
            refused = TELEMETRY.counts["refused as out of memory"]
            for n in range(2 * MIN_CONNECTIONS):
                assert (await exchange(sidecar.address, raw_call("look", f"t{n}"))).status == 503
            assert TELEMETRY.counts["refused as out of memory"] == refused + 2 * MIN_CONNECTIONS
            assert len(sidecar.service._server.connections) <= 2 * MIN_CONNECTIONS
            health = await exchange(sidecar.address, b"GET /healthz HTTP/1.1\r\n\r\n")
            assert health.status == 200
        assert (await exchange(sidecar.address, raw_call())).status == 200
        for _, writer in idle:
            writer.close()


async def test_without_memory_new_connections_wait_in_the_queue_until_others_have_ended(
    tmp_path: Path,
) -> None:
    release = asyncio.Event()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async with Endpoint(respond).serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        calls = [raw_call("look", f"t{n}", 15_000) for n in range(MIN_CONNECTIONS)]
        busy = [asyncio.create_task(exchange(sidecar.address, call)) for call in calls]
        await until(lambda: len(endpoint.requests) == MIN_CONNECTIONS)
        with no_memory(sidecar) as holding:
            holding.set(2 * sidecar.service._memory.limit_bytes)
            waiting = asyncio.create_task(exchange(sidecar.address, raw_call("look", "late", 15_000)))
            await asyncio.sleep(0.3)
            assert len(sidecar.service._server.connections) == MIN_CONNECTIONS and not waiting.done()
        release.set()
        assert {(await each).status for each in (*busy, waiting)} == {200}


async def test_a_body_that_waits_for_memory_as_the_process_ends_is_answered(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        with no_memory(sidecar):
            writer.write(raw_call("once", "t1", 15_000, BODY))
            await until(lambda: sidecar.service._memory.waiting == 1)
            sidecar.stop.set()
            began = monotonic()
            assert await read_status(reader) == "503"
            await sidecar.task
            assert monotonic() - began < 2.0 + 0.7  # SIGKILL: the longest deadline and 0.7 s more
        writer.close()


@pytest.mark.parametrize("is_whole", [True, False])
async def test_what_needs_no_memory_waits_for_good_until_there_is_some(
    tmp_path: Path, is_whole: bool
) -> None:
    """All waited that the kernel held something for, which took the memory: dropped bodies, and heads."""
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        holding = Holding(it.service._memory)
        holding.set(2 * it.service._memory.limit_bytes)
        reader, writer = await asyncio.open_connection(*it.address)
        request = raw_call("once", left_ms=1000, body=BODY)
        writer.write(request if is_whole else request[:40])
        async with asyncio.timeout(2.0):
            assert (await read_response(reader)).status == HTTPStatus.SERVICE_UNAVAILABLE
        holding.release()
        assert (await exchange(it.address, raw_call())).status == HTTPStatus.OK
        writer.close()

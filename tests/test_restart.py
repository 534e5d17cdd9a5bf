"""Signals: a planned shutdown with open connections, and a change of the discovery address."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections import Counter
from functools import partial
from pathlib import Path

import pytest

from anisespool.config import Address
from tests.net import (
    OK,
    Discovery,
    Endpoint,
    Streams,
    exchange,
    free_port,
    harness,
    held_until,
    member,
    member_list,
    raw_call,
    read_response,
    until,
    write_config,
)
from tests.support import SECOND, raw_settings
from tests.test_program import NOWHERE, start


async def wait_for_log(log: asyncio.StreamReader, text: bytes) -> None:
    """Wait until the program has logged a line with this text."""
    while text not in (line := await log.readline()):
        assert line, "end of log before the expected line"


async def wait_until_refused(address: Address) -> None:
    """Wait until the listener has closed. An attempt at the moment of the close may be reset."""
    while True:
        try:
            _, probe = await asyncio.open_connection(*address)
            probe.close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            pass
        await asyncio.sleep(0.005)


async def test_sigterm_answers_all_and_ends_in_order(tmp_path: Path) -> None:
    release = asyncio.Event()
    async with Endpoint(held_until(release)).serve() as endpoint:
        listen = f"127.0.0.1:{free_port()}"
        env = write_config(tmp_path, NOWHERE, [member("s-0", endpoint.address)], listen)
        process, address = await start(env), Address.parse(listen)
        idle_reader, idle = await asyncio.open_connection(*address)
        idle.write(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await read_response(idle_reader)).keep_alive
        before = asyncio.create_task(exchange(address, raw_call("once")))
        await until(lambda: len(endpoint.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await idle_reader.read() == b""  # idle ones are closed while new ones are accepted
        late = asyncio.create_task(exchange(address, raw_call("once", "t2")))
        await until(lambda: len(endpoint.requests) == 2)
        release.set()
        answers = [await before, await late]
        assert [(a.status, a.headers.get(b"connection")) for a in answers] == [(200, b"close")] * 2
        _, log = await process.communicate()
        assert (process.returncode, b"Traceback" in log) == (0, False)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)


async def test_a_connection_that_says_nothing_does_not_hold_up_the_end(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint:
        listen = f"127.0.0.1:{free_port()}"
        process = await start(write_config(tmp_path, NOWHERE, [member("s-0", endpoint.address)], listen))
        _, silent = await asyncio.open_connection(*Address.parse(listen))
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode == 0
        silent.close()


async def test_a_half_written_request_at_sigterm_may_still_come_and_is_not_waited_for_long(
    tmp_path: Path,
) -> None:
    async with Endpoint().serve() as endpoint:
        listen = f"127.0.0.1:{free_port()}"
        process = await start(write_config(tmp_path, NOWHERE, [member("s-0", endpoint.address)], listen))
        reader, writer = await asyncio.open_connection(*Address.parse(listen))
        _, never = await asyncio.open_connection(*Address.parse(listen))
        data = raw_call("once", body=b"abc")
        writer.write(data[:-1])
        never.write(data[:-1])
        assert (await exchange(Address.parse(listen), raw_call())).status == 200  # so those have been read
        process.send_signal(signal.SIGTERM)
        await wait_until_refused(Address.parse(listen))
        writer.write(data[-1:])
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        await process.communicate()
        assert process.returncode == 0
        never.close()


async def test_sighup_moves_the_watch_to_the_address_in_the_file_and_a_bad_file_changes_nothing(
    tmp_path: Path,
) -> None:
    async with Endpoint().serve() as endpoint, Discovery().serve() as old, Discovery().serve() as new:
        listen = f"127.0.0.1:{free_port()}"
        env = write_config(tmp_path, old.address, [member("s-0", endpoint.address)], listen)
        process, address = await start(env), Address.parse(listen)
        await until(lambda: len(old.connections) == 1)
        assert process.stderr
        old.say(member_list(5, [member(name, endpoint.address) for name in ("s-0", "s-1")]))
        await wait_for_log(process.stderr, b"is s-1 at")
        file = Path(env["LB_CONFIG"])
        raw = json.loads(file.read_text())
        for bad in ("{", "[]", json.dumps(raw), json.dumps(raw | {"discovery": "nowhere"})):
            file.write_text(bad)
            process.send_signal(signal.SIGHUP)
            await wait_for_log(process.stderr, b"the old configuration stays")
        file.write_text(json.dumps(raw | {"discovery": "{}:{}".format(*new.address)}))
        process.send_signal(signal.SIGHUP)
        await until(lambda: len(new.connections) == 1)
        assert new.targets == [b"/v1/servers?stream=1&index=5"]  # it resumes at the revision of the old watch
        old.say(member_list(6, [member("s-0", endpoint.address)]))  # applies until the new one has sent data
        new.say(b"")
        assert len(old.connections) == 1 and await old.connections[0][0].read() == b""
        assert (await exchange(address, raw_call())).status == 200
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode == 0


async def test_at_the_end_a_request_has_the_time_until_shortly_before_the_kill(tmp_path: Path) -> None:
    """A fixed shutdown time would lose requests with a longer deadline. SIGKILL allows for 3 s of it."""
    ended_early = []
    release = asyncio.Event()

    async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        ended_early.append(it.task.done())
        writer.write(OK)

    rows = raw_settings()["request-classes"]
    classes = [row | {"deadline-ns": 8 * SECOND, "late-worth": 0.5} for row in rows]
    async with Endpoint(late).serve() as endpoint, harness(tmp_path, endpoint, request_classes=classes) as it:
        answer = asyncio.create_task(exchange(it.address, raw_call("once", left_ms=8000)))
        await until(lambda: len(endpoint.requests) == 1)
        asyncio.get_running_loop().call_later(3.0, release.set)  # SIGKILL may come after 3.7 s
        it.stop.set()
        assert (await answer).status == 200
        await it.task
    assert ended_early == [False]


class ClientLoad:
    """Clients that keep sending through the shutdown of a sidecar and the start of the next process. Counts
    the answers, and the requests that crossed the close of their connection and were sent again."""

    def __init__(self, address: Address) -> None:
        self.address, self.statuses = address, Counter[int]()
        self.sent = self.crossed = 0
        self.done = asyncio.Event()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            try:
                return await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.01)

    async def run_client(self, name: str, burst: int, gap_s: float, halves: bool) -> None:
        """Send `burst` requests at a time on a kept-alive connection, each in two halves or in one write."""
        streams, number = await self.connect(), 0
        while not self.done.is_set():
            owed = [raw_call("once", f"{name}-{number + n}", body=b"abc") for n in range(burst)]
            number += burst
            self.sent += burst
            if streams[0].at_eof():  # closed between requests, and noticed before the next one
                streams = await self.connect()
            while owed:
                owed, ended = await self.answered(streams, owed, halves)
                self.crossed += bool(owed)
                if ended:
                    streams[1].close()
                    streams = await self.connect()
            await asyncio.sleep(gap_s)
        streams[1].close()

    async def answered(self, streams: Streams, owed: list[bytes], halves: bool) -> tuple[list[bytes], bool]:
        """Send the requests; return those left without an answer, and whether the connection was closed."""
        reader, writer = streams
        ended = False
        try:
            for data in owed:
                writer.write(data[: len(data) // 2] if halves else data)
                if halves:
                    await asyncio.sleep(0.03)
                    writer.write(data[len(data) // 2 :])
            while owed:
                response = await read_response(reader)
                self.statuses[response.status] += 1
                owed, ended = owed[1:], response.headers.get(b"connection") == b"close"
        except (EOFError, OSError):
            return owed, True
        return owed, ended


@pytest.mark.timeout(30)
async def test_a_restart_with_every_kind_of_connection_open_loses_nothing_and_runs_nothing_twice(
    tmp_path: Path,
) -> None:
    async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.choice((0.01, 0.1)))
        writer.write(OK)

    async with Endpoint(slow).serve() as endpoint:
        listen = f"127.0.0.1:{free_port()}"
        env = write_config(tmp_path, NOWHERE, [member("s-0", endpoint.address)], listen)
        load = ClientLoad(Address.parse(listen))
        process = await start(env)
        kinds = {"busy": (1, 0.0, False), "idle": (1, 0.3, False), "half": (1, 0.05, True),
                 "ahead": (4, 0.1, False)}  # fmt: skip
        clients = [asyncio.create_task(load.run_client(f"{name}{n}", *kind))
                   for name, kind in kinds.items() for n in range(8)]  # fmt: skip
        for _ in range(3):
            await until(partial(lambda before: len(endpoint.requests) > before + 60, len(endpoint.requests)))
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0  # it exits by itself, well before SIGKILL
            process = await start(env)
        load.done.set()
        await asyncio.gather(*clients)
        process.send_signal(signal.SIGTERM)
        await process.communicate()
    ran = [request.headers[b"x-trace-id"] for request in endpoint.requests]
    print(f"{load.sent} requests, {load.crossed} times a connection ended under one, {load.statuses}")
    assert load.statuses == {200: load.sent} and len(ran) == len(set(ran)) == load.sent
    assert load.crossed <= load.sent / 20  # margin for a busy machine; each is sent again, and none is lost

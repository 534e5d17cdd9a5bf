"""Upgrade under load: two processes share one listening socket."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import Address
from tests.fleet import fleet
from tests.net import (
    OK,
    Endpoint,
    StaticDiscovery,
    exchange,
    free_port,
    held_until,
    member,
    member_list,
    raw_call,
    read_response,
    until,
    write_config,
)
from tests.support import SECOND, raw_settings
from tests.test_admin import call, until_ready

UPGRADES = 3  # in succession


class Upgrade:
    """Processes on one listening socket that is held by the platform, here the test."""

    def __init__(self, folder: Path, held: socket.socket, env: dict[str, str]) -> None:
        self.folder, self.held, self.env = folder, held, env
        self.address = Address(*held.getsockname())

    async def start(self) -> tuple[asyncio.subprocess.Process, Address]:
        """Start a process and wait until it is READY; return it and its admin address."""
        admin = Address("127.0.0.1", free_port())
        env = self.env | {"LB_ADMIN_ADDR": "{}:{}".format(*admin), "TMPDIR": str(self.folder)}
        env["LB_INHERITED_FD"] = str(self.held.fileno())
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "anisespool", env=os.environ | env, stderr=asyncio.subprocess.DEVNULL,
            pass_fds=(self.held.fileno(),),
        )  # fmt: skip
        await until_ready(admin)
        return process, admin


@asynccontextmanager
async def upgrade(folder: Path, *endpoints: Endpoint, **changes: Any) -> AsyncIterator[Upgrade]:
    rows = [member(f"s-{n}", endpoint.address) for n, endpoint in enumerate(endpoints)]
    async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
        with socket.socket() as held:
            held.bind(("127.0.0.1", 0))
            held.listen(64)
            listen = "{}:{}".format(*held.getsockname())
            yield Upgrade(folder, held, write_config(folder, discovery.address, rows, listen, **changes))


async def test_a_new_process_takes_over_with_no_request_turned_back(tmp_path: Path) -> None:
    async with Endpoint(OK).serve() as endpoint, upgrade(tmp_path, endpoint) as it:
        old, _ = await it.start()
        ended, done, count = asyncio.Event(), asyncio.Event(), [0, 0]

        async def on_kept_connections() -> None:
            reader = writer = None
            while not done.is_set():
                if writer is None or reader is None:
                    reader, writer = await asyncio.open_connection(*it.address)
                writer.write(raw_call("once", f"k{count[0]}"))
                response = await read_response(reader)  # a close during a request would raise
                assert response.status == 200
                count[0] += 1
                if response.headers.get(b"connection") == b"close":
                    ended.set()
                    writer = None

        async def on_new_connections() -> None:
            while not done.is_set():
                assert (await exchange(it.address, raw_call("once", f"n{count[1]}"))).status == 200
                count[1] += 1

        clients = [asyncio.create_task(on_kept_connections()), asyncio.create_task(on_new_connections())]
        await until(lambda: min(count) > 20)
        new, _ = await it.start()
        old.send_signal(signal.SIGTERM)
        assert await old.wait() == 0
        before = list(count)
        await until(lambda: all(now > then + 20 for now, then in zip(count, before, strict=True)))
        done.set()
        await asyncio.gather(*clients)
        assert ended.is_set()
        traces = [request.headers[b"x-trace-id"] for request in endpoint.requests]
        assert len(traces) == len(set(traces)) == sum(count)
        new.send_signal(signal.SIGTERM)
        assert await new.wait() == 0


async def test_at_the_change_what_the_old_process_took_is_answered_and_an_idle_one_let_go(
    tmp_path: Path,
) -> None:
    release = asyncio.Event()

    rows = raw_settings()["request-classes"]
    classes = [row | {"deadline-ns": 8 * SECOND, "late-worth": 0.5} for row in rows]
    async with (
        Endpoint(held_until(release)).serve() as endpoint,
        upgrade(tmp_path, endpoint, request_classes=classes) as it,
    ):
        old, _ = await it.start()
        kept = [await asyncio.open_connection(*it.address) for _ in range(2)]
        for reader, writer in kept:
            writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
            assert (await read_response(reader)).keep_alive
        (busy, asking), (idle, _) = kept
        asking.write(raw_call("once", left_ms=8000))
        await until(lambda: len(endpoint.requests) == 1)
        old.send_signal(signal.SIGTERM)
        assert await idle.read() == b""  # closed eventually, as no request came on it
        release.set()
        response = await read_response(busy)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        assert await old.wait() == 0
        with socket.create_connection(it.address):  # the listen queue remains for the next process
            pass


async def test_servers_out_stay_out_over_an_upgrade_whichever_process_is_called(tmp_path: Path) -> None:
    one, two = Endpoint(OK), Endpoint(OK)
    async with one.serve(), two.serve(), upgrade(tmp_path, one, two) as it:
        old, old_admin = await it.start()
        assert (await call(old_admin, b"DISABLE s-0\n")).startswith(b"SUCCESS")
        new, new_admin = await it.start()
        for _ in range(20):
            assert (await exchange(it.address, raw_call())).status == 200
        assert not one.requests
        assert (await call(new_admin, b"ENABLE s-0\n")).startswith(b"SUCCESS")
        assert (await call(new_admin, b"DISABLE s-1\n")).startswith(b"SUCCESS")
        seen = len(two.requests)
        for _ in range(20):  # some reach the old process; the only server is cold, so not all are served
            assert (await exchange(it.address, raw_call())).status in (200, 503)
        assert one.requests and len(two.requests) == seen
        for process in (old, new):
            process.kill()
            await process.wait()


async def first_answer(admin: Address, line: bytes) -> str:
    """Retry until the admin listener accepts, and return its first answer."""
    while True:
        with suppress(ConnectionRefusedError):
            return (await call(admin, line)).decode()
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("inherited", [True, False])
async def test_an_order_is_known_to_both_processes_by_its_yes_also_while_the_second_starts(
    tmp_path: Path, inherited: bool
) -> None:
    """The first process gets orders in sequence while a second starts; the second gets one as soon as it
    listens. Then the second is killed and a third starts at once."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        rows = [member(f"s-{n}", Address("127.0.0.1", 9)) for n in range(100)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery, fleet(tmp_path, 1) as it:
            kept = held if inherited else None
            await it.start(0, discovery.address, rows, inherited=kept)
            servers = iter(row["id"] for row in rows)

            async def order(process: int, other: int) -> None:
                server = next(servers)
                for word, out in (("DISABLE", True), ("ENABLE", False)):
                    answer = await first_answer(it.admin[process], f"{word} {server}\n".encode())
                    assert answer.startswith("SUCCESS"), answer
                    known = await first_answer(it.admin[other], b"STATE\n")
                    assert (server in known.split()) == out, (process, word, server, known)

            for turn in range(UPGRADES):
                start = it.start(9, discovery.address, rows, beside=0, inherited=kept)
                starting = asyncio.create_task(start)
                await until(lambda: 9 in it.processes)
                await asyncio.sleep(turn * 0.1 / UPGRADES)  # varies when the orders arrive
                first_moment = asyncio.create_task(order(9, 0))
                while not starting.done():
                    await order(0, 9)
                await starting
                await asyncio.gather(first_moment, *(order(n, 9 - n) for n in (0, 9)))
                await it.kill(9)

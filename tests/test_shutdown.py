"""The shutdown schedule, the decision module's part in it, and long bodies and full listeners during it."""

from __future__ import annotations

import asyncio
import signal
import socket
from contextlib import AsyncExitStack
from pathlib import Path
from time import monotonic, monotonic_ns, sleep

import pytest

from anisespool.config import Address, load
from anisespool.front.listener import open_listener
from anisespool.front.server import Server
from anisespool.front.shutdown import Shutdown, Stage
from shuntlead import interface as api
from shuntlead.interface import Status
from tests.net import Endpoint, harness, held_until, raw_call, read_response, until, write_config
from tests.planned_end import classes_with, immediate_shutdown, sidecar
from tests.support import MS, SECOND, Sidecar, final_answers, listed, sends
from tests.test_driver import scripted, send_once
from tests.test_endpoints import never_respond
from tests.test_long import BodySink
from tests.test_upgrade import upgrade


@pytest.mark.parametrize("longest_ns", [0, 100 * MS, 800 * MS, 3 * SECOND, 8 * SECOND])
@pytest.mark.parametrize("is_shared", [False, True])
def test_the_moments_of_a_shutdown_are_in_order_and_end_before_the_kill(
    longest_ns: int, is_shared: bool
) -> None:
    plan = Shutdown(5 * SECOND, longest_ns, is_shared)
    assert plan.kill_ns == 5 * SECOND + min(longest_ns, 3 * SECOND) + 700 * MS
    assert 5 * SECOND < plan.accept_until_ns <= plan.answer_by_ns < plan.close_by_ns
    assert plan.close_by_ns + 200 * MS <= plan.kill_ns  # two stalls of 0.15 s: at the signal and at a timer
    for stage in set(Stage) - {Stage.ANSWERING_AT_LENGTH}:  # this one has no time limit
        assert plan.stage_deadline_ns(stage) <= plan.close_by_ns
    assert plan.ends_by_ns >= plan.close_by_ns


def test_what_is_open_as_the_process_ends_is_answered_by_then() -> None:
    """A retry has no more time than the first attempt."""
    car = Sidecar([listed(1), listed(2)], request_classes=classes_with(5.0))
    [send] = sends(car.request(0, left_ns=5 * SECOND))
    car.balancer.handle(car.now, api.ProcessEnding(SECOND))
    car.now += 400 * MS
    [again] = sends(car.outcome(send, Status.RESET, finished=False))
    assert again.timeout_ns in (0, 600 * MS) or again.timeout_ns < 600 * MS
    car.now += 600 * MS
    assert len(final_answers(car.outcome(again, Status.TIMEOUT, attempt=1, finished=False))) == 1


def test_what_comes_as_the_process_ends_goes_on_with_what_is_left_or_is_refused_at_once() -> None:
    car = Sidecar([listed(1), listed(2)], request_classes=classes_with(5.0, target_s=0.3))
    car.balancer.handle(car.now, api.ProcessEnding(SECOND))
    assert len(sends(car.request(2, left_ns=5 * SECOND))) == 1
    car.now += 750 * MS  # 0.25 s are left, and the target of its class is 0.3 s
    assert [type(a) for a in car.request(2, left_ns=5 * SECOND)] == [api.Refuse]
    assert len(sends(car.request(2, left_ns=200 * MS))) == 1  # its client wouldn't wait longer anyway


async def test_a_long_body_that_is_still_coming_at_the_end_is_answered_before_the_kill(
    tmp_path: Path,
) -> None:
    """The body was never complete, so the request has not run."""
    async with BodySink().serve() as server:
        end = await sidecar(tmp_path, 1.0, server)
        reader, writer = await asyncio.open_connection(*end.address)
        writer.write(raw_call("once", "upload", 1000, body=bytes(200_000))[:-100_000])
        await until(lambda: bool(server.connections))
        end.terminate()
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + 1.7):
            answer = await read_response(reader)
        assert answer.status == 408 and monotonic() < end.kill_at
        assert await end.wait_exit() == 0 and not server.bodies
        writer.close()


async def test_a_long_body_that_is_whole_late_has_its_answer_before_the_kill(tmp_path: Path) -> None:
    class Hanging(BodySink):
        async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections.append((reader, writer))
            while await reader.read(65536):
                pass

    async with Hanging().serve() as server:
        end = await sidecar(tmp_path, 1.0, server)
        streams = await asyncio.open_connection(*end.address)
        data = raw_call("once", "upload", 1000, body=bytes(200_000))
        streams[1].write(data[:-1])
        await until(lambda: bool(server.connections))
        end.terminate()
        await end.sleep_until(0.9)
        late = await end.request(streams, "upload", data[-1:])
        assert (late.status, await end.wait_exit()) == (502, 0)


async def test_with_an_inherited_listener_a_late_request_is_answered_before_the_kill(tmp_path: Path) -> None:
    """Idle connections are kept for a while then, because another process may own the listener."""
    async with (
        Endpoint(held_until(asyncio.Event())).serve() as server,
        upgrade(tmp_path, server, request_classes=classes_with(1.0)) as it,
    ):
        process, _ = await it.start()
        reader, writer = await asyncio.open_connection(*it.address)
        writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
        assert (await read_response(reader)).keep_alive
        pending, asking = await asyncio.open_connection(*it.address)
        asking.write(raw_call("once", "owed", 1000))
        await until(lambda: len(server.requests) == 1)
        began = monotonic()
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(1.7):
            assert await reader.read() == b""  # no request came on it
            assert monotonic() < began + 0.8
            assert (await read_response(pending)).status == 502
            assert await process.wait() == 0
        asking.close()


async def test_all_that_a_client_without_a_place_sent_ahead_is_answered(tmp_path: Path) -> None:
    """Closing with the first answer would lose the pipelined requests behind it."""
    async with Endpoint(never_respond).serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 1)
        address = listener.listen(Address("127.0.0.1", 0))
        _, busy = await asyncio.open_connection(*address)
        busy.write(raw_call(left_ms=15_000))
        await until(lambda: len(endpoint.requests) == 1)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"".join(raw_call("once", f"t{n}") for n in range(3)))
        answers = await reader.read()  # until the close
        assert answers.count(b"HTTP/1.1 503") == 3 and answers.count(b"Connection: close") == 1
        busy.close()
        await listener.stop(immediate_shutdown())


@pytest.mark.parametrize("is_inherited", [False, True])
async def test_no_answer_is_held_back_in_the_kernel_until_the_one_before_is_acknowledged(
    tmp_path: Path, is_inherited: bool
) -> None:
    """TCP_NODELAY: a delayed answer would be lost with a reset of the connection. The event loop sets it for
    connections that it creates, not for sockets passed to it."""
    async with Endpoint(never_respond).serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        server = Server(it.sidecar, config.names, config.settings, 8)
        held = open_listener(Address("127.0.0.1", 0), 8)
        address = server.inherit(held.detach()) if is_inherited else server.listen(Address("127.0.0.1", 0))
        _, writer = await asyncio.open_connection(*address)
        await until(lambda: len(server.connections) == 1)
        [connection] = server.connections
        assert connection._transport
        accepted = connection._transport.get_extra_info("socket")
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()
        await server.stop(immediate_shutdown())
        if not is_inherited:
            held.close()


async def test_a_process_that_stands_still_past_the_last_answers_answers_before_it_closes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stall in the check of the connections makes it reach their close before the answers' timers fire."""
    end_stages, stalled = Server._end_overdue_stages, False

    def stall(server: Server, shutdown: Shutdown) -> None:
        nonlocal stalled
        if not stalled and monotonic_ns() >= shutdown.answer_by_ns - 100 * MS:
            stalled = True
            sleep((shutdown.close_by_ns - monotonic_ns()) / SECOND + 0.05)
        end_stages(server, shutdown)

    monkeypatch.setattr(Server, "_end_overdue_stages", stall)
    async with AsyncExitStack() as stack:
        silent = await stack.enter_async_context(Endpoint(never_respond).serve())
        it = await stack.enter_async_context(harness(tmp_path, silent, request_classes=classes_with(1.0)))
        reader, writer = await asyncio.open_connection(*it.address)
        await until(lambda: bool(it.service._sidecar.ready))
        it.stop.set()
        await asyncio.sleep(0.3)  # new connections are accepted; this request's deadline is after SIGKILL
        writer.write(raw_call("once", left_ms=10_000))
        assert (await read_response(reader)).status in (502, 503, 504)
        assert stalled
        writer.close()

"""Requests that arrive late in a planned shutdown are answered before the earliest SIGKILL, or never read."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from tests.net import Endpoint, held_until, raw_call, until
from tests.planned_end import PlannedShutdown, sidecar
from tests.test_program import NOWHERE
from tests.test_sidecar import slow

# Longest deadline and arrival of the late request, in s; SIGKILL comes 1.7 s and 3.7 s after SIGTERM.
SHORT, LONG = (1.0, 0.8), (5.0, 1.2)


def hanging() -> Endpoint:
    """A server that never answers."""
    return Endpoint(held_until(asyncio.Event()))


def call(trace: str, left_s: float) -> bytes:
    return raw_call("once", trace, int(left_s * 1000))


async def pending_request(end: PlannedShutdown, server: Endpoint) -> asyncio.Task[object]:
    """A request in flight at a hanging server, which keeps the process from exiting early."""
    streams = await asyncio.open_connection(*end.address)
    pending = asyncio.create_task(end.request(streams, "owed", call("owed", end.longest_s)))
    await until(lambda: len(server.requests) == 1)
    return pending


@pytest.mark.parametrize(("longest_s", "late_s"), [SHORT, LONG])
async def test_a_request_on_a_connection_accepted_late_is_answered_before_the_kill_or_never_read(
    tmp_path: Path, longest_s: float, late_s: float
) -> None:
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, longest_s, server)
        pending = await pending_request(end, server)
        end.terminate()
        await end.sleep_until(0.2)
        streams = await asyncio.open_connection(*end.address)  # new connections are still accepted
        await end.sleep_until(late_s)
        await end.request(streams, "late", call("late", longest_s))
        await pending
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])


@pytest.mark.parametrize(("longest_s", "late_s"), [SHORT, LONG])
async def test_a_half_written_request_that_becomes_whole_late_is_answered_before_the_kill(
    tmp_path: Path, longest_s: float, late_s: float
) -> None:
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, longest_s, server)
        streams = await asyncio.open_connection(*end.address)
        data = call("late", longest_s)
        streams[1].write(data[:40])
        pending = await pending_request(end, server)
        end.terminate()
        await end.sleep_until(late_s)
        late = await end.request(streams, "late", data[40:])
        await pending
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])
        assert late.status is not None


async def test_requests_sent_ahead_one_after_the_other_do_not_keep_their_connection_open_to_the_kill(
    tmp_path: Path,
) -> None:
    """Each arrives with the first bytes of the next, so the connection is never idle."""
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, 1.0, server)
        streams = await asyncio.open_connection(*end.address)
        whole = [call(f"t{n}", 0.2) for n in range(50)]
        streams[1].write(whole[0][:20])
        pending = await pending_request(end, server)
        end.terminate()
        for n in range(49):
            sent = await end.request(streams, f"t{n}", whole[n][20:] + whole[n + 1][:20])
            if sent.status is None:
                break
        await pending
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])


async def test_what_is_under_way_at_sigterm_has_its_answer_before_the_kill_however_long_its_deadline(
    tmp_path: Path,
) -> None:
    """Longer deadlines count as 3 s in the time of SIGKILL."""
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, 8.0, server)
        pending = await pending_request(end, server)
        end.terminate()
        await pending
        assert (await end.wait_exit(), [s.status for s in end.sent]) == (0, [502])
        assert end.sent[0].answered_at and end.sent[0].answered_at < end.kill_at


async def test_the_deadline_told_to_servers_late_in_the_end_is_before_the_kill(tmp_path: Path) -> None:
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, 5.0, server)
        pending = await pending_request(end, server)
        end.terminate()
        await end.sleep_until(0.3)
        streams = await asyncio.open_connection(*end.address)
        late = asyncio.create_task(end.request(streams, "late", call("late", 5.0)))
        await until(lambda: len(server.requests) == 2)
        left_s = int(server.requests[1].headers[b"x-expires-in-ms"]) / 1000
        assert monotonic() + left_s < end.kill_at + 0.05
        assert (await late).status is not None
        await pending
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])


async def test_a_second_sigterm_and_a_reload_in_the_end_change_nothing_of_it(tmp_path: Path) -> None:
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, 1.0, server)
        pending = await pending_request(end, server)
        end.terminate()
        await end.sleep_until(0.6)
        end.process.send_signal(signal.SIGTERM)
        end.reload(NOWHERE)
        await pending
        assert (await end.wait_exit(), end.sent[0].status) == (0, 502)


@pytest.mark.parametrize(("longest_s", "after_term_s"), [(1.0, 0.0), (1.0, 0.5), (5.0, 3.3)])
async def test_a_stall_of_the_process_in_its_end_costs_nobody_the_answer(
    tmp_path: Path, longest_s: float, after_term_s: float
) -> None:
    """Stopped for 0.15 s: at the signal, when the listener closes, and when the last answers are due."""
    async with hanging().serve() as server:
        end = await sidecar(tmp_path, longest_s, server)
        pending = await pending_request(end, server)
        if not after_term_s:
            end.process.send_signal(signal.SIGSTOP)
        end.terminate()
        await end.sleep_until(0.1)
        late_streams = await asyncio.open_connection(*end.address)
        late = asyncio.create_task(end.request(late_streams, "late", call("late", longest_s)))
        await end.sleep_until(after_term_s)
        end.process.send_signal(signal.SIGSTOP)
        await end.sleep_until(after_term_s + 0.15)
        end.process.send_signal(signal.SIGCONT)
        await asyncio.gather(pending, late)
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])
        assert None not in [s.status for s in end.sent]


async def test_a_listener_queue_that_is_still_full_as_the_listener_closes_is_answered(tmp_path: Path) -> None:
    """The process is stopped while clients connect: none of them is reset."""
    async with Endpoint().serve() as server:
        end = await sidecar(tmp_path, 1.0, server)
        end.terminate()
        end.process.send_signal(signal.SIGSTOP)
        queued = [await asyncio.open_connection(*end.address) for _ in range(30)]
        asked = [
            asyncio.create_task(end.request(streams, f"q{n}", call(f"q{n}", 1.0)))
            for n, streams in enumerate(queued)
        ]
        await end.sleep_until(0.45)
        end.process.send_signal(signal.SIGCONT)
        answered = await asyncio.gather(*asked)
        assert (await end.wait_exit(), end.lost_requests(server)) == (0, [])
        assert {sent.status for sent in answered} <= {200, 503}


async def test_clients_that_go_on_connecting_do_not_hold_up_the_end(tmp_path: Path) -> None:
    async with Endpoint().serve() as server:
        end = await sidecar(tmp_path, 0.5, server)
        over = asyncio.Event()
        connected = 0

        async def connect_on() -> None:
            nonlocal connected
            while not over.is_set():
                with suppress(OSError):
                    _, writer = await asyncio.open_connection(*end.address)
                    writer.close()
                    connected += 1
                await asyncio.sleep(0)

        clients = [asyncio.create_task(connect_on()) for _ in range(20)]
        end.terminate()
        assert await end.wait_exit() == 0  # not by SIGKILL
        over.set()
        await asyncio.gather(*clients)
        assert connected > 20


async def test_all_that_a_client_sent_at_once_before_a_planned_shutdown_is_answered(tmp_path: Path) -> None:
    """review/9: a request read in part, as reading was paused, passed for one that is written slowly."""
    body, count = b"x" * 30_000, 120
    async with Endpoint(slow(0.1)).serve() as server:
        end = await sidecar(tmp_path, 5.0, server)
        reader, writer = await asyncio.open_connection(*end.address)
        writer.write(b"".join(raw_call("once", f"t{n}", 5000, body) for n in range(count)))
        await until(lambda: len(server.requests) == 3)
        end.terminate()
        answers = await reader.read()
        assert (answers.count(b"HTTP/1.1 "), answers.count(b"HTTP/1.1 4")) == (count, 0)
        assert await end.wait_exit() == 0
        writer.close()

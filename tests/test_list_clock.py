"""Timing of list updates: whatever failed, discovery's list is due 6 s after it became reachable."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from contextlib import suppress
from functools import partial
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address, MemberList, load
from anisespool.discovery import clock
from anisespool.discovery.deadline import UPDATE_DEADLINE_S, CallFailure
from anisespool.discovery.watch import AddressChange, Watch
from tests.net import Discovery, Peer, member, member_list, read_request, reset, until, write_config
from tests.support import SECOND

LIST = member_list(7, [member("s-0", Address("127.0.0.1", 1), "draining")], complete=True)
MAX_QUEUE_S = 2.0  # longest time that a call spends in the queue


class QueueingDiscovery(Discovery):
    """Serves `per_s` calls a second in order, and answers 503 to those that have waited too long. While it is
    down, calls and watches are reset, or hang indefinitely."""

    def __init__(self, per_s: float, hangs: bool) -> None:
        super().__init__()
        self._per_s, self._hangs, self.up = per_s, hangs, True
        self.calls, self.outcomes = Counter[int](), Counter[str]()  # calls by whole seconds
        self._queue: deque[tuple[float, asyncio.StreamWriter]] = deque()
        self._streams: list[asyncio.StreamWriter] = []

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._streams.append(writer)
        self.connections.append((reader, writer))
        self.calls[int(monotonic())] += 1
        if self.up:
            with suppress(EOFError):  # the client gave up
                await read_request(reader)
                self._queue.append((monotonic(), writer))
        elif not self._hangs:
            reset(writer)

    async def serve_queue(self) -> None:
        due = monotonic()
        while True:
            due = max(due + 1 / self._per_s, monotonic() - 0.1)
            await asyncio.sleep(max(0.0, due - monotonic()))
            while self._queue and monotonic() > self._queue[0][0] + MAX_QUEUE_S:
                self.outcomes["waited too long"] += 1
                _, writer = self._queue.popleft()
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            if self._queue and self.up:
                self.outcomes["served"] += 1
                _, writer = self._queue.popleft()
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.connections.append((self.connections[0][0], writer))
                self.say(LIST)

    def go_down(self) -> None:
        self.up = False
        self._queue.clear()
        for writer in [] if self._hangs else self._streams:
            reset(writer)


async def outage(folder: Path, fleet_size: int, per_s: float, hangs: bool, down_s: float) -> str:
    """Describes the time from discovery's return until the last sidecar has the list, and its calls."""
    name = f"fleet of {fleet_size}, {per_s:.0f} calls a second, calls {'hang' if hangs else 'fail'}"
    async with QueueingDiscovery(per_s, hangs).serve() as discovery:
        config = load(write_config(folder, discovery.address, []))
        working = asyncio.create_task(discovery.serve_queue())
        updated_at: dict[int, float] = {}

        def on_list(n: int, update: MemberList) -> None:
            updated_at.setdefault(n, monotonic())

        discovery.go_down()
        known = load(write_config(folder, discovery.address, LIST["members"])).known
        watches = [Watch(discovery.address, config.names, known, fleet_size, 10 * SECOND,
                         partial(on_list, n)) for n in range(fleet_size)]  # fmt: skip
        tasks = [asyncio.create_task(watch.run(watch.start_delay_s)) for watch in watches]
        await asyncio.sleep(down_s)  # during the outage calls fail and the pauses grow
        discovery.up, back = True, monotonic()
        try:
            async with asyncio.timeout(UPDATE_DEADLINE_S):
                await until(lambda: len(updated_at) == fleet_size)
        except TimeoutError:
            pytest.fail(
                f"{name}: {len(updated_at)} updated in {UPDATE_DEADLINE_S} s; {dict(discovery.outcomes)}"
            )
        finally:
            for task in (working, *tasks):
                task.cancel()
        peak = max(discovery.calls.values())
        assert peak <= 3 * fleet_size + 10, f"{name}: {peak} calls in a second"  # no stampede
        return (
            f"{name}: all updated after {max(updated_at.values()) - back:.2f} s, {dict(discovery.outcomes)}"
        )


async def test_after_an_outage_the_whole_fleet_is_updated_in_time_however_its_calls_failed(
    tmp_path: Path,
) -> None:
    """A back-off chosen during the outage, or a hung call, could outlast the 6 s. A fleet of 200 runs on a
    virtual clock (tests/test_list_crowd.py): with real connections the machine's speed would decide."""
    runs = [(2, 3.0), (5, 3.0)]
    results = await asyncio.gather(*(outage(tmp_path, size, per_s, hangs, 4.0 + hangs)
                                  for size, per_s in runs for hangs in (False, True)))  # fmt: skip
    print("\n".join(results))


@pytest.mark.parametrize("fleet_size", [1, 2, 5, 30, 200, 5000])
def test_a_call_hung_at_discoverys_return_leaves_time_for_another_through_the_queue(
    fleet_size: int,
) -> None:
    """The list is due 6 s after discovery's return, whatever failed before."""
    for _ in range(100):
        calls, began_s = clock.CallSchedule(fleet_size, 10.0, 0.0), 0.0
        for _ in range(8):
            given_up_s = calls.head_due_at(began_s)
            assert (
                given_up_s > began_s + MAX_QUEUE_S
            )  # a reachable discovery has answered or refused it by then
            next_s = given_up_s + calls.call_failed(began_s, given_up_s, CallFailure.HUNG)
            assert next_s + MAX_QUEUE_S < began_s + UPDATE_DEADLINE_S
            began_s = next_s
        first_s = clock.CallSchedule(fleet_size, 10.0, 0.0).start_delay(True)
        ended_s = clock.CallSchedule(fleet_size, 10.0, 0.0).watch_ended(0.0)
        for began_s in (first_s, ended_s):
            for waited_s in (0.0, MAX_QUEUE_S):  # refused at once, or after the longest time in the queue
                calls = clock.CallSchedule(fleet_size, 10.0, 0.0)
                failed_s = began_s + waited_s
                next_s = failed_s + calls.call_failed(began_s, failed_s, CallFailure.REFUSED)
                assert next_s + MAX_QUEUE_S < UPDATE_DEADLINE_S
        calls.line_received(0.0)
        assert calls.renewal_at() + MAX_QUEUE_S < UPDATE_DEADLINE_S


class TwoWatchDiscovery(Peer):
    """Its first watch falls silent, and sends again once the call that replaces it has been answered."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[asyncio.StreamWriter] = []

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        self.connections.append((reader, writer))


async def test_an_answer_older_than_the_old_watchs_last_update_does_not_undo_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Applied out of order, the two lists would leave a draining server up until the next change."""
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    revisions: list[int] = []

    def say(writer: asyncio.StreamWriter, revision: int, phase: str) -> None:
        line = member_list(revision, [member("s-0", Address("127.0.0.1", 1), phase)])
        Discovery.write_line(writer, line)

    async with TwoWatchDiscovery().serve() as discovery:
        config = load(write_config(tmp_path, discovery.address, []))
        calls = Watch(discovery.address, config.names, MemberList(1, True, ()), 1, 10 * SECOND,
                      lambda update: revisions.append(update.revision))  # fmt: skip
        task = asyncio.create_task(calls.run(0.0))
        await until(lambda: len(discovery.writers) == 1)
        say(discovery.writers[0], 3, "up")
        await until(lambda: len(discovery.writers) == 2)  # the first has been silent for too long
        say(discovery.writers[0], 5, "draining")
        await until(lambda: len(revisions) == 2)
        say(discovery.writers[1], 4, "up")
        assert await discovery.connections[0][0].read() == b""  # the new watch has replaced the old one
        say(discovery.writers[1], 6, "removed")
        await until(lambda: len(revisions) == 3)
        assert revisions == [3, 5, 6]
        task.cancel()


async def test_a_move_during_a_call_abandons_the_call(tmp_path: Path) -> None:
    """The old address refuses new connections, and the new one's list is due 4 s after SIGHUP."""
    moves = asyncio.Queue[AddressChange]()
    async with QueueingDiscovery(1.0, True).serve() as old, Discovery().serve() as new:
        old.up = False
        config = load(write_config(tmp_path, old.address, []))
        calls = Watch(old.address, config.names, MemberList(1, True, ()), 2, 10 * SECOND, lambda update: None)
        task = asyncio.create_task(calls.follow(moves))
        await until(lambda: bool(old.connections))
        moves.put_nowait(AddressChange(new.address, monotonic()))
        async with asyncio.timeout(1.0):
            await until(lambda: bool(new.connections))
            assert await old.connections[0][0].read() != b"" and await old.connections[0][0].read() == b""
        task.cancel()

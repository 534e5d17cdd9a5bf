"""Failing discovery: silent, refusing, overloaded, moved. Checks the delay until a change is applied."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from functools import partial
from itertools import pairwise
from pathlib import Path
from time import monotonic
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anisespool.config import Address, MemberList, load
from anisespool.discovery import clock, watch
from anisespool.discovery.object_decoder import ObjectDecoder
from anisespool.discovery.watch import AddressChange
from tests.net import (
    SLACK_S,
    Discovery,
    Endpoint,
    Peer,
    exchange,
    harness,
    member,
    member_list,
    raw_call,
    read_request,
    until,
    write_config,
)
from tests.support import SECOND

CHANGE = member_list(7, [{"id": "s-0", "phase": "draining", "host_port": "127.0.0.1:1"}], complete=False)


class OverloadedDiscovery(Peer):
    """Refuses each call with 503, with a body that consists of lines as a list does."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[float] = []

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        self.calls.append(monotonic())
        writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 6\r\n\r\nbusy\n\n")
        self.connections.append((reader, writer))


async def test_refused_calls_to_discovery_back_off_and_the_longer_the_larger_the_fleet(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise retries of all sidecars fill discovery's short queue, and no call is served in time."""
    monkeypatch.setattr(clock, "SMALL_FLEET_MAX_PAUSE_S", 0.2)
    waits = []
    for fleet_size in (1, 4):
        async with OverloadedDiscovery().serve() as busy, Endpoint().serve() as endpoint:
            env = write_config(tmp_path, busy.address, [member("s-0", endpoint.address)])
            config = load(env)
            calls = watch.Watch(
                busy.address, config.names, config.known, fleet_size, 10 * SECOND, lambda update: None
            )
            task = asyncio.create_task(calls.run(0.0))
            await until(lambda: len(busy.calls) == 4)
            task.cancel()
            waits.append([later - earlier for earlier, later in pairwise(busy.calls)])
    least = [0.05, 0.1, 0.1]  # half of 0.1 s, then half of the longest pause, 0.2 s
    assert all(wait >= bound for wait, bound in zip(waits[0], least, strict=True))
    assert all(wait >= 0.2 for wait in waits[1])  # half of 0.4 s


async def test_sidecars_that_start_together_with_a_list_spread_their_first_calls(
    tmp_path: Path,
) -> None:
    async with Endpoint().serve() as endpoint:
        config = load(write_config(tmp_path, endpoint.address, [member("s-0", endpoint.address)]))
        watches = [
            watch.Watch(config.discovery, config.names, known, 40, 10 * SECOND, lambda update: None)
            for known in (config.known, MemberList(0, True, ())) for _ in range(40)
        ]  # fmt: skip
    delays = sorted(watch.start_delay_s for watch in watches[:40])
    assert delays[20] > 0.2 and delays[-1] > 1.0
    assert not any(
        watch.start_delay_s for watch in watches[40:]
    )  # without a list there is nothing to serve with


async def test_in_the_largest_fleet_discovery_is_still_called_within_the_configured_interval(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes count as delivered after that interval: a later call means requests to removed servers."""
    monkeypatch.setattr(clock, "SMALL_FLEET_MAX_PAUSE_S", 0.0)
    async with OverloadedDiscovery().serve() as busy:
        config = load(write_config(tmp_path, busy.address, [member("s-0", busy.address)]))
        watches = [
            watch.Watch(busy.address, config.names, config.known, 200, SECOND // 4, lambda update: None)
            for _ in range(50)
        ]
        assert 0.05 < max(watch.start_delay_s for watch in watches) <= 0.1  # within the interval of 0.25 s
        began, task = monotonic(), asyncio.create_task(watches[0].run(0.0))
        await until(lambda: len(busy.calls) == 4)  # after a failure each pause is at most four times as long
        assert monotonic() - began < 3 * 4 * 0.25 + SLACK_S
        task.cancel()


class SilentDiscovery(Discovery):
    """Its first watch sends `initial_data` and falls silent; the next `refusals` calls are refused."""

    def __init__(self, initial_data: bytes, refusals: int = 0, slow_s: float = 0.0) -> None:
        super().__init__()
        self._initial_data, self._refusals, self._slow_s = initial_data, refusals, slow_s
        self.silent_since_s = 0.0

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.silent_since_s:
            await super()._connected(reader, writer)
            writer.write(
                b"%x\r\n%s\r\n" % (len(self._initial_data), self._initial_data) if self._initial_data else b""
            )
            self.silent_since_s = monotonic()
        elif self._refusals:
            self._refusals -= 1
            await read_request(reader)
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        else:
            await asyncio.sleep(self._slow_s)
            await super()._connected(reader, writer)
            self.say(CHANGE)


async def measure_update_delay(
    found: Any, fleet_size: int, folder: Path, initial_data: bytes = b"", **faults: Any
) -> None:
    """Append the delay from a watch falling silent until the change is applied to `found`."""
    applied = asyncio.Event()

    def on_list(update: MemberList) -> None:
        if update.revision == CHANGE["revision"]:
            applied.set()

    async with SilentDiscovery(initial_data, **faults).serve() as silent:
        config = load(write_config(folder, silent.address, []))
        known = MemberList(1, True, ())
        task = asyncio.create_task(
            watch.Watch(silent.address, config.names, known, fleet_size, 10 * SECOND, on_list).run(0.0)
        )
        await applied.wait()
        found.append(monotonic() - silent.silent_since_s)
        task.cancel()


async def test_a_change_missed_by_a_silent_watch_is_applied_by_its_deadline(tmp_path: Path) -> None:
    """The deadline is 6 s after the silence began, plus the grace. A fleet of 200 also spreads its calls."""
    list_line = json.dumps(member_list(2, [])).encode() + b"\n"

    async def fleet(size: int, bound_s: float) -> None:
        found: list[float] = []
        runs = [partial(measure_update_delay, found, size, tmp_path, initial_data)
                 for initial_data in (b"", list_line[:20], list_line, list_line + b"\n")]  # fmt: skip
        runs += [partial(measure_update_delay, found, size, tmp_path, list_line, slow_s=0.4)] * 4
        if size == 2:
            runs.append(partial(measure_update_delay, found, size, tmp_path, list_line, refusals=2))
        await asyncio.gather(*(run() for run in runs))
        print(
            f"fleet of {size}: change applied {min(found):.2f} to {max(found):.2f} s after the silence began"
        )
        assert min(found) > clock.HEARTBEAT_INTERVAL_S and max(found) < bound_s

    await asyncio.gather(fleet(2, 3.8), fleet(200, 4.5))


async def test_a_late_watch_is_kept_and_after_a_move_the_old_one_stays_until_the_new_one_sends_a_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    revisions: list[int] = []
    async with Discovery().serve() as old, Discovery().serve() as new:
        config = load(write_config(tmp_path, old.address, []))
        moves = asyncio.Queue[AddressChange]()
        calls = watch.Watch(old.address, config.names, MemberList(1, True, ()), 2, 10 * SECOND,
                            lambda update: revisions.append(update.revision))  # fmt: skip
        task = asyncio.create_task(calls.follow(moves))
        await until(lambda: bool(old.connections))
        for _ in range(10):  # each a little late, but not late enough for another call
            await asyncio.sleep(0.12)
            old.say(b"")
        assert len(old.connections) == 1
        moves.put_nowait(AddressChange(new.address, monotonic()))
        await until(lambda: bool(new.connections))
        new.say(CHANGE)
        await until(lambda: revisions == [7])
        assert await old.connections[0][0].read() == b""  # the old watch is closed
        old.say(member_list(3, []))
        new.say(member_list(8, []))
        await until(lambda: revisions == [7, 8])
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from([None, 0, 2, "\t"]), st.booleans()), max_size=6),
       st.integers(1, 40))  # fmt: skip
def test_lists_are_decoded_with_any_indent_in_pieces_of_any_size_and_after_broken_ones(
    lists: list[tuple[int, int | str | None, bool]], piece: int
) -> None:
    written, stream = [], b""
    for revision, indent, broken in lists:
        value = member_list(revision, [member('s-{["}', Address("h", 1))] * (revision % 3))
        text = json.dumps(value, indent=indent).encode()
        if broken:
            text = text[: len(text) // 2].rstrip(b"\n") + b"\n"  # truncated
        else:
            written.append(value)
        stream += text + b"\n" + b"\n"
    lines, found = ObjectDecoder(), []
    for n in range(0, len(stream), piece):
        found += lines.feed(stream[n : n + piece])
    assert found == written
    assert len(lines.take_skipped()) >= sum(broken for *_, broken in lists)


async def test_the_watch_survives_bad_lines_and_disconnects_and_resumes_at_its_revision(
    tmp_path: Path,
) -> None:
    old, new = Endpoint(), Endpoint()
    async with old.serve(), new.serve(), harness(tmp_path, old) as sidecar:
        watch = sidecar.discovery
        await until(lambda: len(watch.connections) == 1)
        assert watch.targets == [b"/v1/servers?stream=1&index=1"]
        bad: list[Any] = [None, 7, [], {"revision": 3}, member_list(3, [{"id": "x"}])]
        bad += [member_list(3, [member("x", old.address, phase)]) for phase in ("odd", "")]
        for line in (b"", b"{nonsense", b"\xff\xfe", b"[" * 100_000, *(json.dumps(b).encode() for b in bad)):
            watch.say(line)
        watch.say(member_list(7, [member("s-0", old.address, "draining")], complete=False))
        await until(lambda: old.ended == len(old.connections))
        watch.connections[-1][1].transport.abort()
        await until(lambda: len(watch.connections) == 2)
        assert watch.targets[1] == b"/v1/servers?stream=1&index=7"
        watch.say({"revision": 8, "complete": False, "members": [{"id": "s-0", "phase": "removed"}]})
        watch.say(member_list(9, [member("s-9", new.address)], complete=True))
        while (await exchange(sidecar.address, raw_call("once", left_ms=50))).status != 200:
            pass
        assert new.requests

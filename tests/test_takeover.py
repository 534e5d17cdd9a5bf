"""Which of two streams counts, and what is read of one that ends: on real connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from anisespool.config import Address, MemberList, load
from anisespool.discovery import clock
from anisespool.discovery.watch import Watch
from tests.net import Discovery, Peer, member, member_list, read_request, reset, until, write_config
from tests.support import SECOND

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHANGE = member_list(7, [member("s-0", Address("127.0.0.1", 1), "draining")], complete=False)
LINE = json.dumps(CHANGE).encode() + b"\n"
HALF = LINE[: len(LINE) // 2]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Held(Peer):
    """Says to each call what the test writes."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(HEAD)
        self.connections.append((reader, writer))


class OneWord(Peer):
    """Answers the first call with these bytes and an end, and no other."""

    def __init__(self, said: bytes, resets: bool) -> None:
        super().__init__()
        self._said, self._resets = said, resets

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        self.connections.append((reader, writer))
        if len(self.connections) == 1:
            writer.write(HEAD + self._said)
            if self._resets:
                reset(writer)
            else:
                writer.close()


@asynccontextmanager
async def watching(folder: Path, address: Address) -> AsyncIterator[list[int]]:
    """The revisions that come into force, in order."""
    revisions: list[int] = []
    config = load(write_config(folder, address, []))
    watch = Watch(address, config.names, MemberList(1, True, ()), 1, 10 * SECOND,
                  lambda update: revisions.append(update.revision))  # fmt: skip
    task = asyncio.create_task(watch.run(0.0))
    try:
        yield revisions
    finally:
        task.cancel()


@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize(
    "said",
    [chunk(LINE) + LAST_CHUNK, chunk(LINE), chunk(LINE[:-1]), chunk(LINE[:9]) + chunk(LINE[9:]) + b"no size"],
    ids=["last chunk", "no last chunk", "no end of the line", "broken framing"],
)
async def test_what_came_before_the_end_of_a_stream_is_in_force(
    tmp_path: Path, said: bytes, resets: bool
) -> None:
    """Discovery has written the change, so it counts as told, whatever ends the watch in the same moment."""
    async with OneWord(said, resets).serve() as discovery, watching(tmp_path, discovery.address) as revisions:
        await until(lambda: len(discovery.connections) == 2)  # the first watch has ended
        assert revisions == [7]


async def test_the_old_watch_counts_until_the_new_one_has_brought_a_whole_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new stream that stops in the middle of its first object knows nothing yet."""
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    async with Held().serve() as discovery, watching(tmp_path, discovery.address) as revisions:
        await until(lambda: len(discovery.connections) == 1)
        (old_reader, old), *_ = discovery.connections
        Discovery.write_line(old, member_list(3, []))
        await until(lambda: len(discovery.connections) == 2)  # silent for too long
        discovery.connections[1][1].write(chunk(HALF))
        await until(lambda: len(discovery.connections) == 3)  # that one has stopped, too
        Discovery.write_line(old, member_list(5, []))
        await until(lambda: revisions == [3, 5])
        Discovery.write_line(discovery.connections[2][1], CHANGE)
        await until(lambda: revisions == [3, 5, 7])
        assert await old_reader.read() == b""  # closed now


async def test_a_call_that_was_slow_to_bring_its_list_counts_beside_a_further_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A long list over a slow network is not asked for again and again, and never taken."""
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    async with Held().serve() as discovery, watching(tmp_path, discovery.address) as revisions:
        for count in (1, 2, 3, 4):
            await until(lambda count=count: len(discovery.connections) >= count)  # type: ignore[misc]
            discovery.connections[0][1].write(chunk(LINE[count - 1 : count]))
        assert not revisions
        discovery.connections[0][1].write(chunk(LINE[4:]))
        await until(lambda: revisions == [7])
        assert await discovery.connections[2][0].read() == b""

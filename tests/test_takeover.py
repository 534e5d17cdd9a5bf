"""Which of two streams counts, and what is read from one that ends, on real connections."""

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


class ManualDiscovery(Peer):
    """Sends only the response head; the test writes the rest."""

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(HEAD)
        self.connections.append((reader, writer))


class ClosingDiscovery(Peer):
    """Answers the first call with these bytes and closes it; leaves all later calls unanswered."""

    def __init__(self, data: bytes, resets: bool) -> None:
        super().__init__()
        self._data, self._resets = data, resets

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        self.connections.append((reader, writer))
        if len(self.connections) == 1:
            writer.write(HEAD + self._data)
            if self._resets:
                reset(writer)
            else:
                writer.close()


@asynccontextmanager
async def watch_revisions(folder: Path, address: Address) -> AsyncIterator[list[int]]:
    """The revisions that are applied, in order."""
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
    "data",
    [chunk(LINE) + LAST_CHUNK, chunk(LINE), chunk(LINE[:-1]), chunk(LINE[:9]) + chunk(LINE[9:]) + b"no size"],
    ids=["last chunk", "no last chunk", "no end of the line", "broken framing"],
)
async def test_data_received_before_the_end_of_a_stream_is_applied(
    tmp_path: Path, data: bytes, resets: bool
) -> None:
    """Discovery has sent the change, so it counts as delivered, however the watch ends right after it."""
    async with (
        ClosingDiscovery(data, resets).serve() as discovery,
        watch_revisions(tmp_path, discovery.address) as revisions,
    ):
        await until(lambda: len(discovery.connections) == 2)  # the first watch has ended
        assert revisions == [7]


async def test_the_old_watch_counts_until_the_new_one_has_sent_a_complete_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new stream that stops in the middle of its first object has delivered no list."""
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    async with (
        ManualDiscovery().serve() as discovery,
        watch_revisions(tmp_path, discovery.address) as revisions,
    ):
        await until(lambda: len(discovery.connections) == 1)
        (old_reader, old), *_ = discovery.connections
        Discovery.write_line(old, member_list(3, []))
        await until(lambda: len(discovery.connections) == 2)  # the first has been silent for too long
        discovery.connections[1][1].write(chunk(HALF))
        await until(lambda: len(discovery.connections) == 3)  # the second has stopped, too
        Discovery.write_line(old, member_list(5, []))
        await until(lambda: revisions == [3, 5])
        Discovery.write_line(discovery.connections[2][1], CHANGE)
        await until(lambda: revisions == [3, 5, 7])
        assert await old_reader.read() == b""  # closed by the sidecar


async def test_a_call_with_a_slow_list_still_counts_beside_a_newer_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise a long list over a slow network would be requested repeatedly and never applied."""
    monkeypatch.setattr(clock, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(clock, "HEARTBEAT_SLACK_S", 0.1)
    async with (
        ManualDiscovery().serve() as discovery,
        watch_revisions(tmp_path, discovery.address) as revisions,
    ):
        for count in (1, 2, 3, 4):
            await until(lambda count=count: len(discovery.connections) >= count)  # type: ignore[misc]
            discovery.connections[0][1].write(chunk(LINE[count - 1 : count]))
        assert not revisions
        discovery.connections[0][1].write(chunk(LINE[4:]))
        await until(lambda: revisions == [7])
        assert await discovery.connections[2][0].read() == b""

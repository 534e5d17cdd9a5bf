"""The watch on discovery's list: one long answer, a JSON object after the other, for as long as it lasts."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from anisespool import http1
from anisespool.config import Address, MemberList, Names
from anisespool.discovery.clock import CALL_S, LATE_S, SIGN_S, CallClock
from anisespool.discovery.lines import Lines
from anisespool.errors import (
    DiscoveryFault,
    DiscoveryRefused,
    DiscoverySilent,
    DiscoveryUnreachable,
    UnreadableList,
)
from anisespool.log import fault, say

MOST_SHOWN = 200  # characters of what could not be read


async def _first(task: asyncio.Task[None], *events: asyncio.Event, timeout_s: float | None = None) -> None:
    """Until the task has ended or one of the events is set, or the time is over."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait((task, *waits), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


class Watch:
    """Keeps the list up to date and hands each change on, in order."""

    def __init__(
        self, address: Address, names: Names, known: MemberList, fleet_size: int, ask_within_ns: int,
        on_list: Callable[[MemberList], None], at_once: bool = False,
        on_raw: Callable[[dict[str, Any], MemberList], None] | None = None,
        on_word: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        """`on_raw`: told of each object as discovery wrote it, after `on_list`. `on_word`: after whatever a
        watch says, be it an empty line, once it has told its list: nothing else has changed until then."""
        self.address, self._names, self._on_list, self._on_raw = address, names, on_list, on_raw
        self._on_word = on_word
        self.revision = known.revision  # of the list in use
        self._clock = CallClock(fleet_size, ask_within_ns / 1e9)
        self.start_delay_s = self._clock.start_delay(bool(known.members) and not at_once)
        self.heard = asyncio.Event()  # a list, or a change of one
        self.failed = asyncio.Event()  # a call
        self._moved = asyncio.Event()
        self._stream: _Stream | None = None  # the one whose lines count

    async def follow(self, moves: asyncio.Queue[Address]) -> None:
        """Watch for good, each time at the address that was named last."""
        watching = asyncio.create_task(self.run(self.start_delay_s))
        try:
            while True:
                self.address = await moves.get()
                say("discovery", "moves to {}:{}".format(*self.address))
                self._moved.set()
        finally:
            watching.cancel()

    async def run(self, delay_s: float) -> None:
        """Call, hold the watch, call again. A silent watch stays until a new one has spoken: it may only be
        late. What it misses counts as told meanwhile, and so does what a failed call would have brought."""
        held = call = None
        try:
            await self._pause(delay_s)
            while True:
                if self._moved.is_set():
                    self._moved.clear()
                    await asyncio.sleep(self._clock.move_delay())
                call = _Stream(self)
                if await call.speaks(self._moved):
                    if held:
                        held.close()
                    held = call
                else:
                    call.close()
                    self.failed.set()
                    await self._pause(self._clock.failed())
                    held = held if held and not held.ended else None
                if held and held.address == self.address:
                    await self._until_due(held)
                    if held.ended:
                        held = None
                        await self._pause(self._clock.ended())
        finally:
            for stream in (held, call):
                if stream:
                    stream.close()

    async def _until_due(self, held: _Stream) -> None:
        """Until the watch has ended, or another is due in its place."""
        while not held.ended and not self._moved.is_set():
            now_s = time.monotonic()
            if now_s >= self._clock.renewal_at():
                silent = f"the watch has been silent for {self._clock.silent_for(now_s):.1f} s"
                fault("discovery", DiscoverySilent(f"{silent}, calling anew"))
                return
            await _first(held.task, self._moved, timeout_s=self._clock.renewal_at() - now_s)

    async def _pause(self, delay_s: float) -> None:
        """A move ends it: the new address has been told nothing yet."""
        with suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._moved.wait()

    def came(self, stream: _Stream, found: list[dict[str, Any]], skipped: list[str]) -> None:
        """Of a stream's body. From its first bytes its lines count, and those of the one before no more."""
        if not stream.spoken.is_set():
            self._stream = stream
            stream.spoken.set()
        if stream is not self._stream:
            return
        self._clock.heard(time.monotonic())
        for why in skipped:
            fault("discovery", UnreadableList(f"a line was skipped: {why}"[:MOST_SHOWN]))
        for raw in found:
            self._take(raw, stream.since)
            stream.has_told = True
        if stream.has_told:
            self._on_word()

    def _take(self, raw: dict[str, Any], since: int) -> None:
        """`since`: the revision that the stream was asked for changes after."""
        try:
            update = self._names.member_list(raw)
        except ValueError as error:
            # Danger: one line that nobody can read must not end the watch, nor hide those behind it.
            fault("discovery", UnreadableList(f"a line was skipped: {error}"[:MOST_SHOWN]))
            return
        if since <= update.revision < self.revision:
            return  # Danger: written before the last words of the watch before it, it would undo them
        self.revision = update.revision
        self._on_list(update)
        if self._on_raw:
            self._on_raw(raw, update)
        self.heard.set()


class _Stream:
    """One call and, where it is answered, the watch that it becomes."""

    def __init__(self, owner: Watch) -> None:
        self._owner, self.address, self.since = owner, owner.address, owner.revision
        self._lines = Lines()
        self._chunks: list[bytes] = []  # of the body, since the last look
        self.spoken = asyncio.Event()  # the body has begun
        self.has_told = False  # a list, or what changed
        self.task = asyncio.create_task(self._hold())

    @property
    def ended(self) -> bool:
        return self.task.done()

    def close(self) -> None:
        self.task.cancel()

    async def speaks(self, moved: asyncio.Event) -> bool:
        """Whether it has been answered, once that is known; or not before `moved`, which makes it moot."""
        await _first(self.task, self.spoken, moved)
        return self.spoken.is_set()

    async def _hold(self) -> None:
        """From the call to the end of the watch, whatever ends it; it is logged here."""
        try:
            await self._watch()
        except TimeoutError:
            fault("discovery", DiscoverySilent("no answer to a call in time"))
        except DiscoveryFault as error:
            fault("discovery", error)
        except OSError as error:
            fault("discovery", DiscoveryUnreachable(f"{type(error).__name__}: {error}"))
        except Exception:  # Danger: whatever it was, without a watch drains are missed for good
            traceback.print_exc()

    async def _watch(self) -> None:
        parser, writer = http1.ResponseParser(lambda data: self._chunks.append(data)), None
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(*self.address)
                target = b"/v1/servers?stream=1&index=%d" % self.since
                request = http1.Request(b"GET", target, {}, b"", True)
                writer.write(http1.encode_request(request, "{}:{}".format(*self.address).encode(), {}))
                while not parser.status and await self._feed(parser, reader):
                    pass
            async with asyncio.timeout(SIGN_S + LATE_S):  # where nothing has changed, an empty line is all
                while not self.spoken.is_set() and await self._feed(parser, reader):
                    pass
            while await self._feed(parser, reader):
                pass
        finally:
            parser.close()
            if writer:
                writer.transport.abort()

    async def _feed(self, parser: http1.ResponseParser, reader: asyncio.StreamReader) -> bool:
        data = await reader.read(65536)
        if not data:
            return False
        parser.feed(data)
        if parser.broken or parser.response or parser.status not in (0, 200):
            raise DiscoveryRefused(f"the answer was {parser.status or 'no HTTP'}")
        if self._chunks:
            chunks, self._chunks = self._chunks, []
            self._owner.came(self, self._lines.feed(b"".join(chunks)), self._lines.take_skipped())
        return True

"""The watch on discovery's list: one long answer, a JSON object after the other, for as long as it lasts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

from anisespool.config import Address, MemberList, Names
from anisespool.discovery.clock import LATE_S, SIGN_S, CallClock
from anisespool.discovery.deadline import Failure
from anisespool.discovery.stream import News, Stream
from anisespool.errors import DiscoverySilent, UnreadableList
from anisespool.log import fault, say
from anisespool.telemetry import TELEMETRY

RETIRE_S = 0.5  # for what discovery wrote to a watch before it was asked for the next one
MOST_SHOWN = 200  # characters of what could not be read


class Move(NamedTuple):
    """Discovery is at another address from now on."""

    address: Address
    asked_s: float  # when the platform asked for it, monotonic seconds: from then on its time runs


class Watch:
    """Keeps the list up to date and hands each change on, in order.

    Of its streams at most one is held: the one that has brought a whole line, be it an empty one. Its lines
    make the list until another has brought one. From then on it is read for RETIRE_S more, as its last lines
    may lie unread: what they take out of use counts. The other streams are calls that have brought no line:
    the first of them is kept beside a further call while it still brings bytes.
    """

    def __init__(
        self, address: Address, names: Names, known: MemberList, fleet_size: int, ask_within_ns: int,
        on_list: Callable[[MemberList], None], at_once: bool = False,
        on_raw: Callable[[dict[str, Any], MemberList], None] | None = None,
        on_word: Callable[[], None] = lambda: None,
        on_late: Callable[[MemberList], None] = lambda update: None,
    ) -> None:  # fmt: skip
        """`on_raw`: told of each object as discovery wrote it, after `on_list`. `on_word`: after whatever a
        watch says, be it an empty line, once it has told its list: nothing else has changed until then.
        `on_late`: told of the last lines of a stream that another has replaced."""
        self.address, self._names, self._on_list, self._on_raw = address, names, on_list, on_raw
        self._on_word, self._on_late = on_word, on_late
        self.revision = known.revision  # of the list in use
        self._clock = CallClock(fleet_size, ask_within_ns / 1e9, time.monotonic())
        self.start_delay_s = self._clock.start_delay(bool(known.members) and not at_once)
        self.heard = asyncio.Event()  # a list, or a change of one
        self.failed = asyncio.Event()  # a call
        self.make_room: Callable[[], object] = lambda: None  # frees a descriptor for the next call
        self._moved = asyncio.Event()
        self._changed = asyncio.Event()  # something that the course of calls depends on
        self._held: Stream | None = None
        self._retired: Stream | None = None
        self._calls: list[Stream] = []

    def list_is_old(self) -> bool:
        """No watch in order stands at the address that was named last: what changes now is not told here,
        whatever the calls for another watch have shown."""
        held = self._held
        if held is None or held.ended or held.address != self.address:
            return True
        return self._clock.silent_for(time.monotonic()) > SIGN_S + LATE_S

    def look(self) -> None:
        """Take up what discovery has written and this process has not read yet."""
        for stream in (self._held, self._retired, *self._calls):
            if stream:
                stream.look()

    async def follow(self, moves: asyncio.Queue[Move]) -> None:
        """Watch for good, each time at the address that was named last. Whatever ends one part of it ends the
        whole, for the caller to begin anew."""
        async with asyncio.TaskGroup() as parts:
            parts.create_task(self.run(self.start_delay_s))
            parts.create_task(self._follow_moves(moves))

    async def _follow_moves(self, moves: asyncio.Queue[Move]) -> None:
        while True:
            move = await moves.get()
            self.address = move.address
            say("discovery", "moves to {}:{}".format(*self.address))
            self._clock.moved(move.asked_s)
            self._moved.set()
            self._changed.set()

    async def run(self, delay_s: float) -> None:
        """Call, hold the watch, call again. A silent watch stays until a new one has spoken: it may only be
        late. What it misses counts as told meanwhile, and so does what a failed call would have brought."""
        try:
            await self._pause(self._clock.cut(delay_s, time.monotonic()))
            while True:
                if self._moved.is_set():
                    self._moved.clear()
                    self._close_calls()
                    await self._pause(self._clock.move_delay(time.monotonic()))
                    continue
                call = self._open_call()
                failure = await self._settled(call)
                if failure:
                    self.failed.set()
                    TELEMETRY.count(f"discovery calls {failure.name.lower()}")
                    if self._held and self._held.ended:
                        self._held = None
                    await self._pause(self._clock.failed(call.began_s, time.monotonic(), failure))
                await self._until_due()
        finally:
            self._close_calls()
            for stream in (self._held, self._retired):
                if stream:
                    stream.close()
            self._held = self._retired = None

    def _open_call(self) -> Stream:
        now_s = time.monotonic()
        TELEMETRY.count("discovery calls")
        first, others = self._calls[:1], self._calls[1:]
        stalled = [call for call in first if now_s > call.last_byte_s + SIGN_S + LATE_S]
        for call in others + stalled:
            call.close()
        self._calls = [call for call in first if not call.ended and call not in stalled]
        stream = Stream(self.address, self.revision, self.came, self._changed.set, lambda: self.make_room())
        self._calls.append(stream)
        return stream

    def _close_calls(self) -> None:
        for call in self._calls:
            call.close()
        self._calls.clear()

    async def _settled(self, call: Stream) -> Failure | None:
        """How the call has failed, or None: some call has brought a whole line, or a move made it moot."""
        while call in self._calls and not self._moved.is_set():
            now_s = time.monotonic()
            if call.ended:
                self._calls.remove(call)
                return call.failure
            if call.head_s is not None:
                due_s = self._clock.line_due_at(call.head_s)
            else:
                due_s = self._clock.head_due_at(call.began_s)
            if now_s >= due_s:
                if call.head_s is None:
                    call.close()
                    self._calls.remove(call)
                fault("discovery", DiscoverySilent("no answer to a call in time"))
                return Failure.HUNG
            await self._change(due_s - now_s)
        return None

    async def _until_due(self) -> None:
        """Until the watch has ended, or another is due in its place."""
        while self._held and self._held.address == self.address and not self._moved.is_set():
            now_s = time.monotonic()
            if self._held.ended:
                say("discovery", f"the watch at {self._held.place} ended")
                self._held = None
                await self._pause(self._clock.ended(now_s))
                return
            if now_s >= self._clock.renewal_at():
                silent = f"the watch has been silent for {self._clock.silent_for(now_s):.1f} s"
                fault("discovery", DiscoverySilent(f"{silent}, calling anew"))
                return
            await self._change(self._clock.renewal_at() - now_s)

    async def _change(self, timeout_s: float) -> None:
        """Until something has changed since the caller looked, or the time is over."""
        self._changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    async def _pause(self, delay_s: float) -> None:
        """A move ends it: the new address has been told nothing yet."""
        with suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._moved.wait()

    def came(self, stream: Stream, news: News) -> None:
        """Of a stream's body. From its first whole line on its lines count, those of the one before no more.
        A watch with a call in its place has been silent for too long: its lines count, but not as life."""
        if stream is self._retired:
            self._take_late(stream, news)
        if stream is not self._held and stream not in self._calls:
            return  # closed
        for why in news.skipped:
            fault("discovery", UnreadableList(f"a line was skipped: {why}"[:MOST_SHOWN]))
        if news.alive and stream is not self._held:
            self._hold(stream)
        if news.alive and not self._calls and stream.address == self.address:
            self._clock.heard(time.monotonic())
        for raw in news.objects:
            self._take(raw, stream)
            stream.has_told = True
        if stream.has_told:
            self._on_word()

    def _hold(self, stream: Stream) -> None:
        if self._held:
            self._retire(self._held)
        self._calls.remove(stream)
        self._close_calls()
        self._held = stream
        say("discovery", f"a watch at {stream.place} stands, asked from revision {stream.since} on")
        self._changed.set()

    def _retire(self, stream: Stream) -> None:
        if self._retired:
            self._retired.close()
        self._retired = stream
        asyncio.get_running_loop().call_later(RETIRE_S, stream.close)

    def _take_late(self, stream: Stream, news: News) -> None:
        for raw in news.objects:
            with suppress(ValueError):
                self._on_late(self._names.readable_changes(raw)._replace(source=stream.place))

    def _take(self, raw: dict[str, Any], stream: Stream) -> None:
        try:
            update = self._names.member_list(raw)._replace(source=stream.place)
        except ValueError as error:
            # One line that nobody can read must not end the watch, nor hide those behind it.
            fault("discovery", UnreadableList(f"a line was skipped: {error}"[:MOST_SHOWN]))
            self._take_readable(raw, stream)
            return
        if stream.since <= update.revision < self.revision:
            return  # Written before the last words of the watch before it, it would undo them
        self._on_list(update)
        self.revision = update.revision  # only now: a fault on the way must not lose the change
        if self._on_raw:
            self._on_raw(raw, update)
        self.heard.set()

    def _take_readable(self, raw: dict[str, Any], stream: Stream) -> None:
        """What can be read of an object counts as known, such as a server that drains. The revision stays, so
        that the next call asks for the rest anew."""
        with suppress(ValueError):
            update = self._names.readable_changes(raw)._replace(source=stream.place)
            if not stream.since <= update.revision < self.revision:
                self._on_list(update)

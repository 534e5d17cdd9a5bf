"""Keeps a watch on discovery's list: a streaming response with one JSON object after another."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple

from anisespool.config import Address, MemberList, NameIndex
from anisespool.discovery.clock import HEARTBEAT_INTERVAL_S, HEARTBEAT_SLACK_S, CallSchedule
from anisespool.discovery.deadline import CallFailure
from anisespool.discovery.stream import Stream, StreamUpdate
from anisespool.errors import DiscoverySilent, UnreadableList
from anisespool.log import log_error, log_info
from anisespool.telemetry import TELEMETRY

REPLACED_READ_S = 0.5  # how long a replaced watch is still read, for lines written before its replacement
MAX_LOGGED_CHARS = 200  # of an entry that could not be parsed


class AddressChange(NamedTuple):
    """Discovery has a new address."""

    address: Address
    requested_s: float  # when the change was requested, in monotonic seconds; its deadline runs from then


class Watch:
    """Keeps the list up to date and passes on each change, in order.

    At most one stream is current: the last one that has received its first complete line, which may be empty.
    The list follows its lines until another stream receives one. The replaced stream is read for
    REPLACED_READ_S more, as its last lines may be unread; of these, only withdrawals of servers count. Other
    streams are calls without a line yet. The oldest stays open beside another call while it receives data.
    """

    def __init__(
        self, address: Address, names: NameIndex, known: MemberList, fleet_size: int, ask_within_ns: int,
        on_list: Callable[[MemberList], None], at_once: bool = False,
        on_raw: Callable[[dict[str, Any], MemberList], None] | None = None,
        on_message: Callable[[], None] = lambda: None,
        on_late_update: Callable[[MemberList], None] = lambda update: None,
    ) -> None:  # fmt: skip
        """`on_raw` is called with each object as received, after `on_list`. `on_message` is called after
        every message of a watch that has delivered its list, even an empty line: the list is up to date then.
        `on_late_update` is called with the last lines of a replaced stream."""
        self.address, self._names, self._on_list, self._on_raw = address, names, on_list, on_raw
        self._on_message, self._on_late_update = on_message, on_late_update
        self.revision = known.revision  # of the list in use
        self._schedule = CallSchedule(fleet_size, ask_within_ns / 1e9, time.monotonic())
        self.start_delay_s = self._schedule.start_delay(bool(known.members) and not at_once)
        self.list_received = asyncio.Event()  # a list or a change of it
        self.call_failed = asyncio.Event()
        self.make_room: Callable[[], object] = lambda: None  # frees a descriptor for the next call
        self._address_changed = asyncio.Event()
        self._changed = asyncio.Event()  # a stream or the address has changed: check what to do next
        self._current: Stream | None = None
        self._replaced: Stream | None = None
        self._calls: list[Stream] = []

    def is_list_stale(self) -> bool:
        """Whether changes may be missed, as no watch works at the current address; calls do not count."""
        current = self._current
        if current is None or current.ended or current.address != self.address:
            return True
        return self._schedule.silent_for(time.monotonic()) > HEARTBEAT_INTERVAL_S + HEARTBEAT_SLACK_S

    def read_pending(self) -> None:
        """Reads and applies data from discovery that has arrived without waiting for the event loop."""
        for stream in (self._current, self._replaced, *self._calls):
            if stream:
                stream.read_pending()

    async def follow(self, address_changes: asyncio.Queue[AddressChange]) -> None:
        """Watches until cancelled, always at the latest address. An error in either task ends both, so that
        the caller can start again."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.run(self.start_delay_s))
            tasks.create_task(self._follow_address_changes(address_changes))

    async def _follow_address_changes(self, address_changes: asyncio.Queue[AddressChange]) -> None:
        while True:
            change = await address_changes.get()
            self.address = change.address
            log_info("discovery", "address changed to {}:{}".format(*self.address))
            self._schedule.address_changed(change.requested_s)
            self._address_changed.set()
            self._changed.set()

    async def run(self, delay_s: float) -> None:
        """Calls discovery, keeps the watch, and calls again when it ends. A silent watch is kept until a new
        one has received a line, as it may only be late. The deadline keeps running meanwhile, for the changes
        that a silent watch or a failed call misses."""
        try:
            await self._pause(self._schedule.limit_to_deadline(delay_s, time.monotonic()))
            while True:
                if self._address_changed.is_set():
                    self._address_changed.clear()
                    self._close_calls()
                    await self._pause(self._schedule.address_change_delay(time.monotonic()))
                    continue
                call = self._open_call()
                failure = await self._await_result(call)
                if failure:
                    self.call_failed.set()
                    TELEMETRY.count(f"discovery calls {failure.name.lower()}")
                    if self._current and self._current.ended:
                        self._current = None
                    await self._pause(self._schedule.call_failed(call.began_s, time.monotonic(), failure))
                await self._await_renewal()
        finally:
            self._close_calls()
            for stream in (self._current, self._replaced):
                if stream:
                    stream.close()
            self._current = self._replaced = None

    def _open_call(self) -> Stream:
        now_s = time.monotonic()
        TELEMETRY.count("discovery calls")
        first, others = self._calls[:1], self._calls[1:]
        stalled = [c for c in first if now_s > c.last_byte_s + HEARTBEAT_INTERVAL_S + HEARTBEAT_SLACK_S]
        for call in others + stalled:
            call.close()
        self._calls = [call for call in first if not call.ended and call not in stalled]
        stream = Stream(
            self.address, self.revision, self._on_update, self._changed.set, lambda: self.make_room()
        )
        self._calls.append(stream)
        return stream

    def _close_calls(self) -> None:
        for call in self._calls:
            call.close()
        self._calls.clear()

    async def _await_result(self, call: Stream) -> CallFailure | None:
        """How the call has failed. None if any call has received a complete line or the address changed."""
        while call in self._calls and not self._address_changed.is_set():
            now_s = time.monotonic()
            if call.ended:
                self._calls.remove(call)
                return call.failure
            if call.head_received_s is not None:
                due_s = self._schedule.line_due_at(call.head_received_s)
            else:
                due_s = self._schedule.head_due_at(call.began_s)
            if now_s >= due_s:
                if call.head_received_s is None:
                    call.close()
                    self._calls.remove(call)
                log_error("discovery", DiscoverySilent("no response to a call in time"))
                return CallFailure.HUNG
            await self._await_change(due_s - now_s)
        return None

    async def _await_renewal(self) -> None:
        """Waits until the watch has ended or is due to be renewed."""
        while self._current and self._current.address == self.address and not self._address_changed.is_set():
            now_s = time.monotonic()
            if self._current.ended:
                log_info("discovery", f"watch at {self._current.address_text} ended")
                self._current = None
                await self._pause(self._schedule.watch_ended(now_s))
                return
            if now_s >= self._schedule.renewal_at():
                silent = f"the watch has been silent for {self._schedule.silent_for(now_s):.1f} s"
                log_error("discovery", DiscoverySilent(f"{silent}; opening a new one"))
                return
            await self._await_change(self._schedule.renewal_at() - now_s)

    async def _await_change(self, timeout_s: float) -> None:
        """Waits for a change of state after the caller's last check, or for the timeout."""
        self._changed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    async def _pause(self, delay_s: float) -> None:
        """Waits for the delay, or until the address changes, as the new one has to be called soon."""
        with suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._address_changed.wait()

    def _on_update(self, stream: Stream, update: StreamUpdate) -> None:
        """Handles data of a stream. Its first complete line makes the stream current and replaces the one
        before. While a call is open to renew a silent watch, lines of that watch are applied but do not count
        as heartbeats."""
        if stream is self._replaced:
            self._apply_late(stream, update)
        if stream is not self._current and stream not in self._calls:
            return  # closed
        for why in update.skipped:
            log_error("discovery", UnreadableList(f"line skipped: {why}"[:MAX_LOGGED_CHARS]))
        if update.has_message and stream is not self._current:
            self._make_current(stream)
        if update.has_message and not self._calls and stream.address == self.address:
            self._schedule.line_received(time.monotonic())
        for raw in update.objects:
            self._apply(raw, stream)
            stream.has_delivered = True
        if stream.has_delivered:
            self._on_message()

    def _make_current(self, stream: Stream) -> None:
        if self._current:
            self._keep_replaced(self._current)
        self._calls.remove(stream)
        self._close_calls()
        self._current = stream
        log_info(
            "discovery", f"watch open at {stream.address_text}, requested from revision {stream.since} on"
        )
        self._changed.set()

    def _keep_replaced(self, stream: Stream) -> None:
        if self._replaced:
            self._replaced.close()
        self._replaced = stream
        asyncio.get_running_loop().call_later(REPLACED_READ_S, stream.close)

    def _apply_late(self, stream: Stream, update: StreamUpdate) -> None:
        for raw in update.objects:
            with suppress(ValueError):
                self._on_late_update(self._names.valid_changes(raw)._replace(source=stream.address_text))

    def _apply(self, raw: dict[str, Any], stream: Stream) -> None:
        try:
            update = self._names.member_list(raw)._replace(source=stream.address_text)
        except ValueError as error:
            # One invalid line must not end the watch or hide the lines after it.
            log_error("discovery", UnreadableList(f"line skipped: {error}"[:MAX_LOGGED_CHARS]))
            self._apply_valid_entries(raw, stream)
            return
        if stream.since <= update.revision < self.revision:
            return  # older than the last lines of the previous watch, which it would revert
        self._on_list(update)
        self.revision = update.revision  # after `on_list`: if that fails, the change is requested again
        if self._on_raw:
            self._on_raw(raw, update)
        self.list_received.set()

    def _apply_valid_entries(self, raw: dict[str, Any], stream: Stream) -> None:
        """Applies the valid entries of an object. The revision stays: the next call requests the others."""
        with suppress(ValueError):
            update = self._names.valid_changes(raw)._replace(source=stream.address_text)
            if not stream.since <= update.revision < self.revision:
                self._on_list(update)

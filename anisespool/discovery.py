"""The watch on discovery's list: one long answer, a JSON object a line, for as long as it lasts."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import traceback
from collections.abc import Callable
from typing import Any

from anisespool import http1
from anisespool.config import Address, MemberList, Names

SILENCE_S = 5.0  # an empty line is due every 2 s: a cut-off peer says nothing, TCP does not notice
# All sidecars lose discovery at the same moment, and it serves few calls a second. One that waits too long
# in its queue has cost it work for nothing. So the waits grow with the fleet, within what the settings allow.
FIRST_WAIT_S, LONGEST_WAIT_S = 0.1, 0.2  # for each sidecar of the fleet
FIRST_SHARE = 0.4  # of the time that one may go without asking, at most; four times that after a failure
LEAST_LONGEST_S = 2.0  # in a small fleet
MAX_LINE = 4 * 1024 * 1024


class Watch:
    """Keeps the list up to date and hands each change on, in order."""

    def __init__(
        self, address: Address, names: Names, known: MemberList, fleet_size: int, ask_within_ns: int,
        on_list: Callable[[MemberList], None], at_once: bool = False,
        on_raw: Callable[[dict[str, Any], MemberList], None] | None = None,
    ) -> None:  # fmt: skip
        """`on_raw`: told of each line as discovery wrote it, after `on_list`."""
        self.address, self._names, self._on_list, self._on_raw = address, names, on_list, on_raw
        self._revision = known.revision
        self._buffer = b""
        ask_within_s = ask_within_ns / 1e9
        self._first_s = min(FIRST_WAIT_S * fleet_size, FIRST_SHARE * ask_within_s)
        self._longest_s = max(min(LONGEST_WAIT_S * fleet_size, ask_within_s), LEAST_LONGEST_S)
        # Danger: a release starts many at once. With no list to serve by, there is nothing to wait with.
        waits = bool(known.members) and not at_once
        self.start_delay_s = random.uniform(0.0, self._first_s) if waits else 0.0
        self.heard = asyncio.Event()  # a list, or a change of one

    async def follow(self, moves: asyncio.Queue[Address]) -> None:
        """Watch for good, each time at the address that was named last."""
        delay_s = self.start_delay_s
        while True:
            watching = asyncio.create_task(self.run(delay_s))
            delay_s = 0.0
            try:
                self.address = await moves.get()
            finally:
                watching.cancel()
            await asyncio.wait([watching])  # two at once would share a buffer
            print("discovery: moves to {}:{}".format(*self.address), file=sys.stderr)

    async def run(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        wait_s = self._first_s
        while True:
            began = time.monotonic()
            try:
                await self._watch_once()
            except (OSError, TimeoutError) as error:
                print(f"discovery: {type(error).__name__}: {error}", file=sys.stderr)
            except Exception:  # Danger: whatever it was, without a watch drains are missed for good
                traceback.print_exc()
            if time.monotonic() - began > self._longest_s:  # it was a watch, not a call that found no place
                wait_s = self._first_s
                await asyncio.sleep(random.uniform(0.0, wait_s))
            else:
                await asyncio.sleep(random.uniform(0.5, 1.0) * wait_s)
                wait_s = min(2 * wait_s, self._longest_s)

    async def _watch_once(self) -> None:
        self._buffer = b""
        async with asyncio.timeout(SILENCE_S):
            reader, writer = await asyncio.open_connection(*self.address)
        try:
            target = b"/v1/servers?stream=1&index=%d" % self._revision
            request = http1.Request(b"GET", target, {}, b"", True)
            writer.write(http1.encode_request(request, "{}:{}".format(*self.address).encode(), {}))
            parser = http1.ResponseParser(self._on_body)
            while True:
                async with asyncio.timeout(SILENCE_S):
                    data = await reader.read(65536)
                if not data:
                    return
                parser.feed(data)
                if parser.broken or parser.response or parser.status not in (0, 200):
                    raise OSError(f"the answer was {parser.status or 'no HTTP'}")
                if len(self._buffer) > MAX_LINE:
                    raise OSError("a line without end")
        finally:
            writer.transport.abort()

    def _on_body(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line.strip():
                self._on_line(line)

    def _on_line(self, line: bytes) -> None:
        try:
            raw = json.loads(line)
            update = self._names.member_list(raw)
        except (ValueError, RecursionError) as error:
            # Danger: one line that nobody can read must not end the watch, nor hide those behind it.
            print(f"discovery: a line was skipped: {error}"[:300], file=sys.stderr)
            return
        self._revision = update.revision
        self._on_list(update)
        if self._on_raw:
            self._on_raw(raw, update)
        self.heard.set()

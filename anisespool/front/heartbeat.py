"""Whether the loop has stood still of late, so that what is read now may have waited unread for long."""

from __future__ import annotations

import asyncio
import time

BEAT_S = 0.05
STALL_NS = 100_000_000  # since the last beat: the loop has not turned for half of it at least


class Heartbeat:
    def __init__(self) -> None:
        self._beat_ns = 0  # of the last beat, monotonic; 0: nobody follows, so a stall can't be excluded

    def has_stalled(self, now_ns: int) -> bool:
        """The loop reads what came in a stall before its timers run: so this holds for all of that."""
        return now_ns - self._beat_ns > STALL_NS

    async def follow(self) -> None:
        """Beat for good."""
        while True:
            self._beat_ns = time.monotonic_ns()
            await asyncio.sleep(BEAT_S)

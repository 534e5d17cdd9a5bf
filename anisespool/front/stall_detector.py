"""Whether the loop has stood still of late, so that what is read now may have waited unread for long."""

from __future__ import annotations

import asyncio
import time

BEAT_S = 0.08
STALL_NS = 100_000_000  # since the last beat; a shorter stall is within what servers may be told too much


class Heartbeat:
    def __init__(self) -> None:
        self._beat_ns = 0  # of the last beat, monotonic; 0: none yet, so a stall can't be excluded

    def has_stalled(self, now_ns: int) -> bool:
        """The loop reads what came in a stall before its timers run: so this holds for all of that."""
        return now_ns - self._beat_ns > STALL_NS

    def beat(self) -> None:
        """Now, and again for as long as the loop runs."""
        self._beat_ns = time.monotonic_ns()
        asyncio.get_running_loop().call_later(BEAT_S, self.beat)

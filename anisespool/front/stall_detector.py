"""Detects that the event loop has recently stalled, so that a process far behind can refuse what waited
unread for most of its time (`request_decoding.deduct_wait`)."""

from __future__ import annotations

import asyncio
import time

TICK_INTERVAL_S = 0.08
STALL_THRESHOLD_NS = 100_000_000  # since the last tick


class StallDetector:
    """A periodic timer of the event loop, whose delay shows a stall."""

    def __init__(self) -> None:
        self._last_tick_ns = 0  # monotonic; 0: no tick yet, so a stall can't be ruled out

    def is_stalled(self, now_ns: int) -> bool:
        """Whether the loop stalled since the last tick. After a stall the loop reads sockets before it runs
        timers, so this is true for all data that arrived during the stall."""
        return now_ns - self._last_tick_ns > STALL_THRESHOLD_NS

    def start(self) -> None:
        """Tick now, and periodically for as long as the loop runs."""
        self._last_tick_ns = time.monotonic_ns()
        asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self.start)

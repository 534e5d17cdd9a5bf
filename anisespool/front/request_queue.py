"""The requests that one client has sent behind the one that is in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from anisespool.front.request_decoding import ReceivedRequest

MAX_PIPELINED_REQUESTS = 8  # queued behind the current one before reading is paused
EXPIRY_GRACE_S = 0.35  # past its time, an answer earns nothing, but is not late for half a second


class RequestQueue:
    """The requests that were received and not handled yet, and the memory that they take."""

    def __init__(self) -> None:
        self._received: list[ReceivedRequest] = []  # few, as reading is paused
        self.held_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._received)

    @property
    def is_long(self) -> bool:
        return len(self._received) > MAX_PIPELINED_REQUESTS

    def start_timer(self, on_expired: Callable[[], None]) -> None:
        """Call `on_expired` once any of the requests has expired, and its grace is over."""
        self.stop_timer()
        if self._received:
            expires_ns = min(received.expires_ns for received in self._received)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(expires_ns / 1e9 + EXPIRY_GRACE_S, on_expired)

    def stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def append(self, received: ReceivedRequest) -> None:
        self._received.append(received)
        self.held_bytes += received.held_bytes

    def popleft(self) -> ReceivedRequest:
        received = self._received.pop(0)
        self.held_bytes -= received.held_bytes
        return received

    def clear(self) -> None:
        self._received.clear()
        self.held_bytes = 0

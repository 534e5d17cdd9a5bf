"""How long a client's connection has kept us waiting, and for what. No socket here.

Times in seconds of the monotonic clock. A peer that sends no whole request is owed an end within 3 s."""

from __future__ import annotations

import time

WAIT_S = 2.25  # for a request, or the rest of one: a peer that sends none is owed an end within 3 s
LATE_START_S = 0.5  # of that, which a client may let pass before its first byte without loss
BODY_GRACE_S, BODY_RATE = 0.75, 60_000  # a body's bytes a second, a little under what clients are allowed
STALL_S = 10.0  # for a client to read any of what waits for it
SILENT_QUIET = 8.0  # a second before the first request, in seconds between two requests
READING_S = 1.0  # a request of which no byte came for so long is not being read any more


class Waits:
    def __init__(self) -> None:
        self.since = time.monotonic()  # for a request
        self._heard_at = 0.0
        self._head_at = 0.0  # when the head of the latest request was whole
        self._since_head = 0  # bytes come since then
        self._held_at = 0.0  # since when a long body has nowhere to go; 0: it has
        self.left, self._moved_at = 0, 0.0  # bytes that wait for the client, and when it last read any

    @property
    def held(self) -> bool:
        """A long body has nowhere to go."""
        return self._held_at > 0

    def heard(self, now: float) -> None:
        self._heard_at = now

    def request_begins(self, now: float, served: bool) -> None:
        self.since = now if served else min(now, self.since + LATE_START_S)

    def body_begins(self, now: float) -> None:
        self._head_at, self._since_head = now, 0

    def came(self, nbytes: int) -> None:
        self._since_head += nbytes

    def hold(self) -> None:
        self._held_at = time.monotonic()

    def let_go(self) -> None:
        if self._held_at:  # what the client could not send meanwhile is no fault of its own
            self._head_at += time.monotonic() - self._held_at
            self._held_at = 0.0

    def answered(self) -> None:
        self.since = self._moved_at = time.monotonic()

    def look(self, left: int, now: float) -> None:
        """So many bytes wait for the client."""
        if left != self.left or not left:
            self._moved_at = now
        self.left = left

    def is_stalled(self, now: float) -> bool:
        """The client reads nothing of what waits for it."""
        return now > self._moved_at + STALL_S

    def reads(self, now: float) -> bool:
        return now < self._moved_at + WAIT_S

    def is_late(self, now: float) -> bool:
        return now > self.since + WAIT_S

    def is_body_late(self, now: float) -> bool:
        return not self._held_at and now > self._head_at + BODY_GRACE_S + self._since_head / BODY_RATE

    def is_reading(self, now: float) -> bool:
        """Of a request that has begun, bytes have come of late."""
        return now < self._heard_at + READING_S

    def quiet(self, now: float, partial: bool, served: bool) -> float:
        """For how long it has kept us waiting, against what its kind may take: the longest makes room. A
        client writes as it connects, and brings its next request some time after an answer, which it may also
        do on a new connection. One in the midst of a request comes after all that are idle, below 0."""
        if partial:
            return -1 / max(1e-3, now - self._heard_at)
        return (now - self.since) * (1.0 if served else SILENT_QUIET)

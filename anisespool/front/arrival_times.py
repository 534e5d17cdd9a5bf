"""When the bytes of a client came, of which some waited unread. No socket here; nanoseconds of one clock."""

from __future__ import annotations

from collections import deque

# A request that waited no longer counts as just come. With a few milliseconds less than its client's
# other requests it would pass for a retry.
LEAST_WAIT_NS = 50_000_000


class Arrivals:
    def __init__(self) -> None:
        self._read = 0  # bytes
        self._seen: deque[tuple[int, int]] = deque()  # bytes that had come in all by then, and when that was

    def saw(self, unread: int, now_ns: int) -> None:
        """So many bytes wait now."""
        come = self._read + unread
        if unread and (not self._seen or come > self._seen[-1][0]):
            self._seen.append((come, now_ns))

    def read(self, nbytes: int, now_ns: int, last_came_ns: int) -> int:
        """These are read now; `last_came_ns`: when the last of them can have come at the latest. When the
        first of them had surely come."""
        came_ns = self._seen[0][1] if self._seen else now_ns
        self._read += nbytes
        while self._seen and self._seen[0][0] <= self._read:
            self._seen.popleft()
        return min(came_ns, last_came_ns) if last_came_ns < now_ns - LEAST_WAIT_NS else came_ns

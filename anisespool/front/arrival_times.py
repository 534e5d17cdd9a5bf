"""Estimates when the bytes of one client connection arrived, as some of them wait unread in the kernel.

This module does no I/O. All times are nanoseconds of one clock.
"""

from __future__ import annotations

# Shorter waits count as no wait: a request that has a few milliseconds less left than its client's other
# requests would be taken for a retry.
MIN_WAIT_NS = 50_000_000
MAX_SAMPLES = 32  # beyond that, data that arrives later counts as the last sample


class ArrivalTimes:
    """Samples of how many bytes had arrived at which time, from which the age of a read is derived."""

    def __init__(self) -> None:
        self._bytes_read = self._bytes_received = 0
        self.last_arrived_ns = (
            0  # by when all that has arrived so far was here; late by the interval of samples
        )
        # Samples of data not yet read in full: total bytes received by a point in time, and that time
        self._samples: list[tuple[int, int]] = []

    def record_unread(self, unread: int, now_ns: int) -> None:
        """Record that `unread` bytes now wait in the kernel."""
        bytes_received = self._bytes_read + unread
        if bytes_received > self._bytes_received:
            self._bytes_received, self.last_arrived_ns = bytes_received, now_ns
        if unread and (not self._samples or bytes_received > self._samples[-1][0]):
            if len(self._samples) >= MAX_SAMPLES:  # the earliest time of arrival is what counts
                self._samples.pop()
            self._samples.append((bytes_received, now_ns))

    def record_read(self, nbytes: int, now_ns: int, last_arrived_ns: int) -> int:
        """Record that `nbytes` are read now, and return a time by which the first of them had certainly
        arrived. `last_arrived_ns`: the latest time at which the last of them can have arrived."""
        arrived_ns = self._samples[0][1] if self._samples else now_ns
        self._bytes_read += nbytes
        if self._bytes_read > self._bytes_received:
            self._bytes_received, self.last_arrived_ns = self._bytes_read, min(now_ns, last_arrived_ns)
        while self._samples and self._samples[0][0] <= self._bytes_read:
            self._samples.pop(0)
        return min(arrived_ns, last_arrived_ns) if last_arrived_ns < now_ns - MIN_WAIT_NS else arrived_ns

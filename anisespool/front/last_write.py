"""Estimates when a client may have written the last byte of a body of which a part waits in its kernel.

While a connection is not read, and its buffer here is full, the client's kernel takes what the client writes.
Whether more is to come can't be seen then: all but what that kernel can hold has to have arrived before. This
module does no I/O. All times are nanoseconds of one clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

MAX_CLIENT_BUFFER_BYTES = 4 * 1024 * 1024  # the maximum of tcp_wmem, tcp(7)
# With nothing to read for so long, the client's kernel holds nothing more: it would send that at once.
CAUGHT_UP_NS = 50_000_000
SAMPLE_BYTES = 64 * 1024  # between two samples


class Sample(NamedTuple):
    """How much of a body had arrived at which time."""

    nbytes: int
    at_ns: int


class LastWriteEstimate:
    """The arrival of one body, since the connection was first not read."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque()

    def reset(self) -> None:
        """A new body begins, or all that the client has written has arrived."""
        self._samples.clear()

    def on_stop(self, nbytes: int, now_ns: int) -> None:
        """The connection is not read any more; so much of the body has arrived."""
        if not self._samples:
            self._samples.append(Sample(nbytes, now_ns))

    def on_arrival(self, nbytes: int, now_ns: int, idle_ns: int) -> None:
        """So much of the body has arrived. `idle_ns`: for how long there was nothing to read before."""
        if idle_ns >= CAUGHT_UP_NS:
            self.reset()
        elif self._samples and nbytes >= self._samples[-1].nbytes + SAMPLE_BYTES:
            self._samples.append(Sample(nbytes, now_ns))

    def earliest_end_ns(self, nbytes: int, length: int | None) -> int | None:
        """When the client can have written the last byte at the earliest, with `nbytes` arrived by now; None:
        not before it arrives, or not yet. `length`: of the body, None if that is not known."""
        last_seen_bytes = (nbytes if length is None else length) - MAX_CLIENT_BUFFER_BYTES
        if not self._samples or nbytes < last_seen_bytes:
            return None
        while len(self._samples) > 1 and self._samples[1].nbytes <= last_seen_bytes:
            self._samples.popleft()
        return self._samples[0].at_ns

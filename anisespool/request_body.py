"""A request body that is too long to buffer as a whole, read ahead of its endpoint while there is memory.

A client's time starts with its last write. What waits in the client's kernel can't be seen from here, so the
body is read as it comes, and not as its endpoint takes it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from anisespool.body_stream import BodyStream, Sink


class RequestBody(BodyStream):
    """Buffers what its sink does not take yet, and pauses its source while there is no room for more."""

    def __init__(
        self, length: int | None, pause: Callable[[], None], resume: Callable[[], None],
        room_bytes: Callable[[], int] = lambda: 0,
    ) -> None:  # fmt: skip
        """`room_bytes`: how much may be buffered now."""
        super().__init__(length, pause, resume)
        self._room_bytes = room_bytes
        # When the last bytes of it that have arrived so far reached this machine, read or not, in monotonic
        # nanoseconds, and whether these are the last of the body.
        self.last_arrived_ns, self.has_arrived = 0, False
        self._parts: deque[bytes] = deque()
        self._parts_bytes = 0
        self._is_blocked = True  # the sink takes nothing
        # Monotonic nanoseconds. The earliest time at which the client can have written the last byte, if that
        # may be before it arrives; None: not before.
        self.earliest_end_ns: int | None = None
        self.counted_until_ns = 0  # until when the client's time was deducted already

    @property
    def held_bytes(self) -> int:
        return self._parts_bytes

    @property
    def is_timed(self) -> bool:
        """Whether the client's time runs, as it may have written the last byte."""
        return self.done or self.has_arrived or self.earliest_end_ns is not None

    @property
    def sent_ns(self) -> int:
        """When the client may have written the last of the bytes that have arrived, in monotonic nanoseconds;
        not before its time was deducted."""
        sent_ns = self.last_arrived_ns if self.earliest_end_ns is None else self.earliest_end_ns
        return max(sent_ns, self.counted_until_ns)

    # Called by the source -------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self._discarded:
            return
        self._parts.append(data)
        self._parts_bytes += len(data)
        self._pass_on()
        self.update()

    def end(self) -> None:
        if not self.broken and not self.done:
            self.done = True
            self._resume_source()
            self._pass_on()

    def update(self) -> None:
        """Pause or resume the source, as there is room now."""
        room_bytes = self._room_bytes()
        if self._parts_bytes > room_bytes or self._is_blocked and not room_bytes:
            self._pause_source()
        elif self._parts_bytes <= room_bytes // 2:
            self._resume_source()

    # Called by the sink ---------------------------------------------------------------------------

    def attach(self, sink: Sink) -> None:
        self._sink, self._is_blocked = sink, False
        if self.broken:
            sink.stream_failed()
            return
        self._pass_on()
        self.update()

    def discard(self) -> None:
        self._parts.clear()
        self._parts_bytes = 0
        super().discard()

    def pause(self) -> None:
        """The sink takes no more."""
        self._is_blocked = True
        self.update()

    def resume(self) -> None:
        """The sink takes more again."""
        self._is_blocked = False
        self._pass_on()
        self.update()

    def _pass_on(self) -> None:
        while self._sink and self._parts and not self._is_blocked:
            data = self._parts.popleft()
            self._parts_bytes -= len(data)
            self._sink.stream_data(data)
        if self._sink and self.done and not self._parts:
            sink, self._sink = self._sink, None
            sink.stream_end()

    def _pause_source(self) -> None:
        if not self.paused and not self.done:
            self.paused = True
            self._pause()

    def _resume_source(self) -> None:
        if self.paused:
            self.paused = False
            self._resume()

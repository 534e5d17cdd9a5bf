"""A message body that is too long to buffer, passed from one connection to another as it arrives."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

CHUNK_BYTES = 64 * 1024  # maximum size of one read
# Shared by all connections: allocating a buffer for each read and truncating it fragments the heap. One is
# enough, as the event loop processes the data of one connection before it reads from the next.
_buffer = bytearray(CHUNK_BYTES)
read_buffer = memoryview(_buffer)


class Sink(Protocol):
    """Receives the body."""

    def stream_data(self, data: bytes) -> None: ...

    def stream_end(self) -> None: ...

    def stream_failed(self) -> None: ...


class BodyStream:
    """Passes data from a source to a sink. Data that arrives before a sink is attached is buffered and the
    source paused, so that only a small part of the body is ever in memory."""

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self.length = length  # None: unknown in advance (chunked, or until the connection closes)
        self.done = self.broken = self.paused = False
        self._buffered = bytearray()
        self._sink: Sink | None = None
        self._discarded = False
        self._pause, self._resume = pause, resume

    @property
    def held_bytes(self) -> int:
        """What waits for a sink."""
        return len(self._buffered)

    # Called by the source -------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Part of the body has arrived."""
        if self._sink:
            self._sink.stream_data(data)
        elif not self._discarded:
            self._buffered += data
            self.pause()

    def end(self) -> None:
        """The body is complete. Resumes a paused source: no sink would do so any more, and what follows the
        body on that connection would never be read."""
        if not self.broken and not self.done:
            self.done = True
            self.resume()
            if self._sink:
                self._sink.stream_end()

    def fail(self) -> None:
        """The source has failed before the end of the body."""
        if not self.broken and not self.done:
            self.broken = True
            if self._sink:
                self._sink.stream_failed()

    # Called by the sink ---------------------------------------------------------------------------

    def attach(self, sink: Sink) -> None:
        """Resume the source and pass the buffered data to the sink, which may pause the source again."""
        self._sink, buffered, self._buffered = sink, bytes(self._buffered), bytearray()
        self.resume()
        if buffered:
            sink.stream_data(buffered)
        if self.done:
            sink.stream_end()
        elif self.broken:
            sink.stream_failed()

    def discard(self) -> None:
        """Discard the rest of the body."""
        self._sink, self._discarded = None, True
        self._buffered = bytearray()
        self.resume()

    def pause(self) -> None:
        if not self.paused and not self.done:
            self.paused = True
            self._pause()

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self._resume()

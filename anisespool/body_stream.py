"""A body that is too long to hold, on its way from one connection to another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

CHUNK = 64 * 1024  # read at a time
# What connections read into. A fresh buffer for each read, cut to what came, leaves the heap in
# pieces. One is enough, as the loop reads and hands over before it turns to the next connection.
_buffer = bytearray(CHUNK)
read_buffer = memoryview(_buffer)


class Sink(Protocol):
    """Where the bytes go."""

    def flow_data(self, data: bytes) -> None: ...

    def flow_end(self) -> None: ...

    def flow_broken(self) -> None: ...


class Flow:
    """Bytes that come before there is a sink are held, and the source paused: so never a whole body is."""

    def __init__(self, length: int | None, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self.length = length  # None: not told ahead
        self.done = self.broken = self.paused = False
        self._held: list[bytes] = []
        self._sink: Sink | None = None
        self._dropped = False
        self._pause, self._resume = pause, resume

    # The source's side ----------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        if self._sink:
            self._sink.flow_data(data)
        elif not self._dropped:
            self._held.append(data)
            self.hold()

    def end(self) -> None:
        """Nobody lets go of a source that is held when its last bytes come, and what follows them is
        never read. There is nothing left to hold back."""
        if not self.broken and not self.done:
            self.done = True
            self.go()
            if self._sink:
                self._sink.flow_end()

    def fail(self) -> None:
        """The rest will not come."""
        if not self.broken and not self.done:
            self.broken = True
            if self._sink:
                self._sink.flow_broken()

    # The sink's side ------------------------------------------------------------------------------

    def attach(self, sink: Sink) -> None:
        """What is held goes to the sink at once, and the source goes on unless the sink says to hold."""
        self._sink, held, self._held = sink, self._held, []
        self.go()
        for data in held:
            sink.flow_data(data)
        if self.done:
            sink.flow_end()
        elif self.broken:
            sink.flow_broken()

    def drop(self) -> None:
        """Nobody wants the rest."""
        self._sink, self._dropped = None, True
        self._held.clear()
        self.go()

    def hold(self) -> None:
        if not self.paused and not self.done:
            self.paused = True
            self._pause()

    def go(self) -> None:
        if self.paused:
            self.paused = False
            self._resume()

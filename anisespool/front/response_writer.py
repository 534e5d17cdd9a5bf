"""The way out of long answers to one client: as they come, held while the client reads none of it."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

from anisespool import http1
from anisespool.body_stream import Flow
from anisespool.sockets import set_option

HIGH = 64 * 1024  # bytes that may wait for a client before their source is held
KERNEL_BUFFER = 128 * 1024  # for long bodies: more would only hide how slow the client is


class Outlet:
    def __init__(self, on_end: Callable[[bytes], None], on_broken: Callable[[], None],
                 on_gone: Callable[[], None]) -> None:  # fmt: skip
        """`on_end`: a long answer is over, but for these bytes. `on_broken`: its source broke off.
        `on_gone`: it needs no place any more, whatever became of it."""
        self._on_end, self._on_broken, self._on_gone = on_end, on_broken, on_gone
        self.transport: asyncio.Transport | None = None
        self.unread = False  # the client reads no answers
        self._download: Flow | None = None  # the rest of the present answer
        self._chunked = False

    @property
    def at_length(self) -> bool:
        return self._download is not None

    @property
    def unsent(self) -> int:
        """Bytes of answers that have not left for the kernel: they would be lost with this process."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def hold(self) -> None:
        """A client that reads no answers and sends on would fill the memory with them."""
        self.unread = True
        if self._download:
            self._download.hold()

    def go(self) -> None:
        self.unread = False
        if self._download:
            self._download.go()

    def begin(self, flow: Flow, keep_alive: bool, chunked: bool, high: int) -> None:
        assert self.transport
        self.transport.write(http1.encode_head(200, flow.length, 0.0, not keep_alive, chunked))
        self.transport.set_write_buffer_limits(high=high)
        set_option(self.transport, socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
        self._download, self._chunked = flow, chunked and flow.length is None
        flow.attach(self)

    def flow_data(self, data: bytes) -> None:
        """Asyncio logs each write on a connection that it has found broken in the same turn, and one
        read may bring thousands of chunks."""
        if self.transport and self._download and not self.transport.is_closing():
            self.transport.write(http1.encode_chunk(data) if self._chunked else data)
            if self.unread:
                self._download.hold()

    def flow_end(self) -> None:
        assert self.transport
        self.drop()
        self.transport.set_write_buffer_limits(high=HIGH)
        self._on_end(http1.LAST_CHUNK if self._chunked else b"")

    def flow_broken(self) -> None:
        self.drop()
        self._on_broken()

    def drop(self) -> None:
        download, self._download = self._download, None
        self._on_gone()
        if download:
            download.drop()

    def reset(self) -> None:
        """An orderly end would pass for the end of a body that has no length."""
        if self.transport:
            set_option(self.transport, socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

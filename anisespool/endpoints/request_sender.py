"""The sending direction of a connection to an endpoint: a request, and its body if that is streamed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from anisespool import http1
from anisespool.endpoints.attempt import Attempt
from anisespool.outgoing import Outgoing
from anisespool.request_body import RequestBody


class RequestSender(Outgoing):
    """Writes requests, and is the sink of a streamed request body."""

    def __init__(self, on_progress: Callable[[], None]) -> None:
        """`on_progress`: called when the kernel has taken all that was written."""
        super().__init__()
        self._on_progress = on_progress
        self._unflushed = False  # the transport still buffers data that the kernel has not accepted
        self._attempt: Attempt | None = None  # whose body is streamed
        self._upload: RequestBody | None = None  # the rest of that body

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request has not been handed to the kernel, so that it cannot have run."""
        return self._unflushed or self._upload is not None

    @property
    def is_uploading(self) -> bool:
        return self._upload is not None

    def attach(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        # With a limit of 0, pause_writing and resume_writing tell exactly whether the buffer is empty.
        transport.set_write_buffer_limits(high=0)

    def pause(self) -> None:
        self._unflushed = True
        if self._upload:
            self._upload.pause()

    def resume(self) -> None:
        self._unflushed = False
        self._on_progress()
        if self._upload:
            self._upload.resume()

    def start(self, attempt: Attempt, data: bytes) -> None:
        """Write a request, and pass on its body if that is streamed."""
        assert self.transport
        self.write(data)
        # A write that fails at once leaves the buffer empty, but the transport is closing then.
        self._unflushed = self._unflushed or self.transport.is_closing()
        if attempt.request.body_stream:
            self._on_progress()
            self._attempt, self._upload = attempt, attempt.request.body_stream
            attempt.upload_started()
            self._upload.attach(self)

    def detach(self) -> None:
        """The connection has ended. Its owner and this object let go of each other: left to the garbage
        collector, the cycle would keep what they hold for an unknown time."""
        self.stop()
        self._on_progress, self.transport = lambda: None, None

    def stop(self) -> None:
        """The attempt is over: discard the rest of a streamed body."""
        self._attempt = None
        upload, self._upload = self._upload, None
        if upload:
            upload.discard()

    def stream_data(self, data: bytes) -> None:
        """Part of the request body, sent as a chunk if the length is not known."""
        if self._upload and self.transport and not self.transport.is_closing():
            self.write(data if self._upload.length is not None else http1.encode_chunk(data))
            if self._unflushed:
                self._upload.pause()

    def stream_end(self) -> None:
        upload, self._upload = self._upload, None
        if upload and self._attempt:
            if upload.length is None:
                self.write(http1.LAST_CHUNK)
            self._attempt.upload_finished()

    def stream_failed(self) -> None:
        """Nothing to do: the reader of the client connection ends the request."""

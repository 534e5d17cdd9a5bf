"""The sending side of a client connection: one final response to each request, whole or streamed."""

from __future__ import annotations

import time
from http import HTTPStatus

from anisespool import http1
from anisespool.body_stream import BodyStream
from anisespool.exchange import Answer
from anisespool.front.request_reader import REQUEST_BYTES, RequestReader
from anisespool.front.response_writer import WRITE_HIGH_WATER_BYTES, ResponseWriter
from anisespool.front.server_interface import ServerInterface
from anisespool.log import log_error
from anisespool.request_body import RequestBody
from anisespool.socket_buffers import MIN_RESPONSE_BUFFER_BYTES
from anisespool.telemetry import TELEMETRY

OUT_OF_MEMORY = b"out of memory\n"


class Responder(RequestReader):
    """Writes the response to the current request. Subclasses choose that request."""

    def __init__(self, server: ServerInterface) -> None:
        super().__init__(server)
        self._refuses_requests = False  # whatever else is received here is refused
        self._request: http1.Request | None = None  # the current one
        self._request_bytes = 0  # the memory that it takes
        self._request_id = 0  # the driver's id of the current request; 0: none, or answered
        self._writer = ResponseWriter(self)

    def _process_queue(self) -> None:
        """Handle the queued requests in order."""
        raise NotImplementedError

    @property
    def _current_upload(self) -> RequestBody | None:
        return self._request.body_stream if self._busy and self._request else None

    @property
    def _uploading(self) -> bool:
        """The body of the current request is still being received."""
        body = self._current_upload
        return body is not None and not body.done

    def _held_besides_queue(self) -> int:
        buffered_bytes, body = self._writer.buffer_bytes, self._current_upload
        if body and body.done:  # until then it counts as being received
            buffered_bytes += body.held_bytes
        if self._writer.is_streaming:  # that much is always passed on
            buffered_bytes = max(buffered_bytes, MIN_RESPONSE_BUFFER_BYTES)
        return (REQUEST_BYTES + self._request_bytes if self._busy else 0) + buffered_bytes

    def _unacknowledged_bytes(self) -> int:
        return self._writer.kernel_bytes

    def _refuse_incomplete(self) -> None:
        TELEMETRY.count("refused as out of memory")
        retry_after_s = self._server.retry_after_s()
        self._close_gracefully(
            http1.encode_response(HTTPStatus.SERVICE_UNAVAILABLE, OUT_OF_MEMORY, retry_after_s, close=True)
        )

    def _refuse_for_memory(self, request: http1.Request) -> None:
        TELEMETRY.count("refused as out of memory")
        TELEMETRY.request(request.headers.get(b"x-trace-id", b""), "refused, as out of memory")
        self._answer(Answer(503, OUT_OF_MEMORY, self._server.retry_after_s()))

    def _answer_and_proceed(self, answer: Answer) -> None:
        self._answer(answer)
        self._proceed()

    def _proceed(self) -> None:
        """Handle what is queued, if the current request is answered."""
        if self._request_id and not self._busy:  # otherwise _process_queue is still on the call stack
            self._request_id = 0
            self._process_queue()

    def _answer(self, answer: Answer) -> None:
        if self._closing or not self._transport or not self._request:
            self._busy = False
            if answer.body_stream:
                answer.body_stream.discard()
            return
        close = not self._request.keep_alive or self._closes_after_answer()
        if answer.body_stream:
            self._stream_answer(self._request, answer.body_stream, close)
            return
        is_head = self._request.method == b"HEAD"
        data = http1.encode_response(
            answer.status, b"" if is_head else answer.body, answer.retry_after_s, close or self._uploading,
            answer.length if is_head else None,
        )  # fmt: skip
        self._finish_request(data, close)

    def _closes_after_answer(self) -> bool:
        """Whether this response is the last one. A close must not lose requests that were already sent."""
        should_close = self._server.stopping or self._refuses_requests
        return should_close and not (self._queue or self._parser.partial or self.has_unread())

    def _stream_answer(self, request: http1.Request, body_stream: BodyStream, close: bool) -> None:
        chunked = request.version == "1.1"
        keep_alive = not close and (chunked or body_stream.length is not None)
        self._request = request._replace(keep_alive=keep_alive, body=b"")
        self._server.streaming.add(self)
        self._writer.start(body_stream, keep_alive, chunked)

    def on_stream_end(self, final_bytes: bytes) -> None:
        """A streamed response is complete once these final bytes are written."""
        assert self._request
        self._finish_request(final_bytes, not self._request.keep_alive)
        self._proceed()

    def on_stream_broken(self) -> None:
        if not self._closing:
            self._closing = True
            self._writer.reset()

    def on_stream_released(self) -> None:
        self._server.streaming.discard(self)

    def on_streamed(self) -> None:
        self._account()

    def response_buffer_bytes(self) -> int:
        share_bytes = self._server.memory.share_bytes(len(self._server.streaming))
        return max(MIN_RESPONSE_BUFFER_BYTES, min(WRITE_HIGH_WATER_BYTES, share_bytes))

    def is_client_sending(self) -> bool:
        return self._timeouts.is_receiving(time.monotonic())

    def _finish_request(self, data: bytes, close: bool) -> None:
        """Write the last bytes of the response to the current request."""
        uploading = self._uploading
        self._busy, self._has_served = False, True
        self._timeouts.answer_sent()
        if uploading:
            self._close_gracefully(data)  # the rest of the body could not be told from a new request
            return
        self._request = None
        self._writer.write(data)
        if close:
            self._closing = True
            self._writer.close()
        self._account()

    def _reject(self, status: HTTPStatus) -> None:
        if self._parser.failure:
            log_error("server", self._parser.failure)
        self._close_gracefully(http1.encode_response(status, close=True))

    def _close_gracefully(self, data: bytes) -> None:
        """Write the response and shut down only the sending side, for the client to close the other. Closing
        with input unread would reset the connection, and the client might never read the response."""
        self._closing, self._timeouts.waiting_since = True, time.monotonic()
        request, self._request = self._request, None
        if request and request.body_stream:
            request.body_stream.discard()
        self._writer.write(data)
        self._stop_receiving()
        self._writer.end_output()
        self._account()

"""HTTP/1.1 on one client connection: requests are handled in order, with one final response each."""

from __future__ import annotations

import asyncio
import time
from http import HTTPStatus

from anisespool.exchange import Answer
from anisespool.front.client_reader import PauseReason
from anisespool.front.request_decoding import InvalidRequest, ReceivedRequest, decode_received
from anisespool.front.responder import Responder


class HttpConnection(Responder):
    """Passes requests to the driver (`Sidecar`) and writes the responses. It reads at all times, to notice a
    disconnect, except for the reasons in `PauseReason`."""

    @property
    def is_idle(self) -> bool:
        """Between requests, with no response bytes left to send."""
        return not (self.has_pending_work or self._parser.partial)

    @property
    def has_pending_work(self) -> bool:
        """A request is in progress or queued, a response is unsent, or the connection is closing."""
        return self._closing or self._busy or bool(self._queue) or self._writer.unsent_bytes > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._writer.attach(transport)
        self._account()
        self._register_polls()

    def eof_received(self) -> None:
        """While bytes are unsent, the transport reports a disconnect late, and more work would be started."""
        if self._writer.is_streaming:  # an orderly close could pass for the end of the body
            self._writer.reset()
        self._on_client_gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_client_gone()
        self._paused_connections.discard(self)
        self._writer.detach()
        self._parser.close()
        self._end_holding()
        self._queue.stop_timer()
        self._request = None

    def _on_client_gone(self) -> None:
        """The client has disconnected: start nothing more for it, and cancel what is in progress."""
        self._closing = True
        self._queue.clear()
        request_id, self._request_id = self._request_id, 0
        if self._busy and request_id:
            self._server.sidecar.on_client_gone(request_id)

    def pause_writing(self) -> None:
        self._writer.pause()
        self._account()

    def resume_writing(self) -> None:
        self._writer.resume()
        self._process_queue()
        self._account()

    # Streamed request bodies ----------------------------------------------------------------------

    def _limit_upload(self, is_waiting: bool) -> None:
        if self._request_id:
            self._server.sidecar.limit_upload(self._request_id, is_waiting)

    def _abort_upload(self, status: HTTPStatus) -> None:
        """The rest of the body is invalid or late."""
        self._cancel_upload()
        self._reject(status)

    def _cancel_upload(self) -> None:
        """End the request whose body is being received. Its endpoint has received an incomplete request."""
        request_id, self._request_id = self._request_id, 0
        if request_id:
            self._server.sidecar.on_client_gone(request_id)
        self._busy = False

    def _handle_received(self) -> None:
        if self._uploading and self._parser.error:
            self._abort_upload(HTTPStatus(self._parser.error))
        self._process_queue()
        if self._busy:
            self._queue.start_timer(self._give_up_current_request)

    # Responses ------------------------------------------------------------------------------------

    def _process_queue(self) -> None:
        """Handle the queued requests in order. It loops, as a request may be answered immediately."""
        while not (self._busy or self._closing or self._waits_for_client):
            if not self._queue:
                if self._parser.error:
                    self._reject(HTTPStatus(self._parser.error))
                else:
                    self._send_continue()
                    self._read_next()
                return
            received = self._queue.popleft()
            request = received.request
            if request.body_stream and request.body_stream.broken:
                continue  # the parser's error is reported once the queue is empty
            if PauseReason.QUEUE in self._pause_reasons and not self._queue.is_long:
                self._resume_reading(PauseReason.QUEUE)
            self._busy, self._request_id, self._request = True, 0, request
            self._request_bytes = received.held_bytes
            self._process(received)
            if self._busy:
                self._queue.start_timer(self._give_up_current_request)

    def _give_up_current_request(self) -> None:
        """A request behind it has expired. Responses go out in order, so it has no more time than those."""
        is_answering = self._writer.is_streaming or self._writer.client_stalled
        if self._busy and self._request_id and self._queue and not is_answering:
            self._server.sidecar.give_up(self._request_id)

    def _read_next(self) -> None:
        """Nothing is in progress, so what waits for memory here does not wait behind others any more."""
        if PauseReason.MEMORY in self._pause_reasons:
            self._on_memory()

    @property
    def _waits_for_client(self) -> bool:
        """Whether the client has to read its responses before there are more. Refusals are short."""
        return self._writer.client_stalled and not self._refuses_requests

    def _send_continue(self) -> None:
        if self._parser.wants_continue:
            self._parser.wants_continue = False
            self._writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _process(self, received: ReceivedRequest) -> None:
        request = received.request
        if request.target.partition(b"?")[0] == b"/healthz":
            self._answer(Answer(200 if self._server.sidecar.ready else 503))
            return
        if self._refuses_requests or self._server.over_connection_limit:
            self._refuses_requests = True
            self._answer(Answer(503, b"too many connections\n", self._server.retry_after_s()))
            return
        unanswered = self._server.sidecar.open - len(self._server.streaming)
        if request.is_refused or not self._server.memory.may_start(unanswered):
            self._refuse_for_memory(request)
            return
        try:
            call = decode_received(received, self._server.names, self._server.settings, time.monotonic_ns())
        except InvalidRequest as error:
            self._answer(Answer(error.status, f"{error}\n".encode()))
            return
        request_id = self._server.sidecar.submit(call, self._answer_and_proceed, self.is_gone)
        if self._busy and self._request is request:
            self._request_id = request_id
            if request.body_stream:
                self._send_continue()

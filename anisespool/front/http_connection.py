"""One connection of the application: requests read in order, one final answer each."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from http import HTTPStatus

from anisespool import http1
from anisespool.body_stream import Flow, read_buffer
from anisespool.exchange import Answer
from anisespool.front.client_reader import ClientReading
from anisespool.front.request_decoding import Arrival, BadCall, after_wait, read_call
from anisespool.front.response_writer import Outlet
from anisespool.front.server_interface import Front
from anisespool.front.timeouts import Waits
from anisespool.sockets import end_output, set_option

MOST_PIPELINED = 8  # requests read ahead on one connection
LINGER_S = 1.0  # to let a client read why it was cut off


class Conversation(ClientReading):
    """It is read all the time, as its end is how a client goes away, but while a long body has nowhere to go
    or too much was sent ahead."""

    def __init__(self, server: Front) -> None:
        super().__init__(server.paused, server.heartbeat)
        self._server = server
        self._parser = http1.RequestParser(self._hold, self._read_on)
        self._queue: deque[Arrival] = deque()
        self._busy = self._closing = self._served = False
        self._turned_away = False  # there was no place for it
        self._request: http1.Request | None = None  # the present one
        self._current = 0  # its number, once the driver has it and has not answered
        self._waits = Waits()
        self._outlet = Outlet(self._ended, self._broken, lambda: server.long_answers.discard(self))

    @property
    def idle(self) -> bool:
        """Between requests, and nothing on its way out."""
        return not (self.owed or self._parser.partial)

    @property
    def owed(self) -> bool:
        """Its end must wait: a request is being answered, or an answer is still on its way out."""
        return self._closing or self._busy or bool(self._queue) or self._outlet.unsent > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = self._outlet.transport = transport
        set_option(transport, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # the loop does so when it connects
        self._watch_hangup()

    def get_buffer(self, sizehint: int) -> memoryview:
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            return
        now, began, in_body = time.monotonic_ns(), self._parser.partial, self._parser.in_body
        self._waits.heard(now / 1e9)
        came = self._came_ns(now, nbytes)
        stalled, done = self._heartbeat.has_stalled(now), self._parser.feed(read_buffer[:nbytes])
        self._queue.extend(Arrival(request, came, now, stalled) for request in done)
        if self._parser.partial and not began:
            self._waits.request_begins(now / 1e9, self._served)
        if self._parser.in_body and not in_body:
            self._waits.body_begins(now / 1e9)
        self._waits.came(nbytes)
        if len(self._queue) > MOST_PIPELINED:
            self._pause_reading()
        if self._uploading and self._parser.error:
            self._end_upload(HTTPStatus(self._parser.error))
        self._next()

    def eof_received(self) -> None:
        """With an answer yet unsent the transport tells its loss late, and more would be begun."""
        if self._outlet.at_length:  # an end in order would pass for that of a body of no told length
            self._outlet.reset()
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        self._leave()
        self._paused.discard(self)
        self._outlet.drop()
        self._parser.close()

    def _leave(self) -> None:
        """The client has gone: nothing more is begun for it, and what is under way ends."""
        self._closing = True
        self._queue.clear()
        current, self._current = self._current, 0
        if self._busy and current:
            self._server.sidecar.client_gone(current)

    def pause_writing(self) -> None:
        self._outlet.hold()

    def resume_writing(self) -> None:
        self._outlet.go()
        self._next()

    # A request's long body ------------------------------------------------------------------------

    @property
    def _uploading(self) -> bool:
        """The present request's body is still coming."""
        flow = self._request.flow if self._busy and self._request else None
        return flow is not None and not flow.done

    def _hold(self) -> None:
        self._waits.hold()
        self._pause_reading()

    def _read_on(self) -> None:
        self._waits.let_go()
        if len(self._queue) <= MOST_PIPELINED:
            self._resume_reading()

    def _end_upload(self, status: HTTPStatus) -> None:
        """The body will not come as it should. What was sent on of it has never been a whole request."""
        current, self._current = self._current, 0
        if current:
            self._server.sidecar.client_gone(current)
        self._busy = False
        self._reject(status)

    # Answers --------------------------------------------------------------------------------------

    def _next(self) -> None:
        """Work on what has been read, in order. A loop: an answer may come at once."""
        while not (self._busy or self._closing or self._outlet.unread):
            if not self._queue:
                if self._parser.error:
                    self._reject(HTTPStatus(self._parser.error))
                else:
                    self._continue()
                return
            arrival = self._queue.popleft()
            request = arrival.request
            if request.flow and request.flow.broken:
                continue  # the parser's error is next
            if not self._waits.held and len(self._queue) <= MOST_PIPELINED:
                self._resume_reading()
            self._busy, self._current, self._request = True, 0, request
            self._work_on(arrival)

    def _continue(self) -> None:
        if self._parser.wants_continue and self._transport:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _work_on(self, arrival: Arrival) -> None:
        request = arrival.request
        if request.target.partition(b"?")[0] == b"/healthz":
            self._answer(Answer(200 if self._server.sidecar.ready else 503))
            return
        if self._turned_away or self._server.crowded:
            self._turned_away = True
            self._answer(Answer(503, b"too many connections\n", self._server.retry_after_s()))
            return
        try:
            call = read_call(request, self._server.names, self._server.settings)
            call = after_wait(call, arrival, time.monotonic_ns())
        except BadCall as error:
            self._answer(Answer(error.status, f"{error}\n".encode()))
            return
        current = self._server.sidecar.take(call, self._answer_and_go_on, self.is_gone)
        if self._busy and self._request is request:
            self._current = current
            if request.flow:
                self._continue()

    def _answer_and_go_on(self, answer: Answer) -> None:
        self._answer(answer)
        if self._current and not self._busy:  # else _next is still at work, further down the stack
            self._current = 0
            self._next()

    def _answer(self, answer: Answer) -> None:
        if self._closing or not self._transport or not self._request:
            self._busy = False
            if answer.flow:
                answer.flow.drop()
            return
        close = not self._request.keep_alive or self._is_last()
        if answer.flow:
            self._answer_at_length(self._request, answer.flow, close)
            return
        is_head = self._request.method == b"HEAD"
        data = http1.encode_response(
            answer.status, b"" if is_head else answer.body, answer.retry_after_s, close or self._uploading,
            answer.length if is_head else None,
        )  # fmt: skip
        self._done(data, close)

    def _is_last(self) -> bool:
        """The connection ends with this answer: not while more was sent ahead, which a close would lose."""
        ends = self._server.stopping or self._turned_away
        return ends and not (self._queue or self._parser.partial or self.has_unread())

    def _answer_at_length(self, request: http1.Request, flow: Flow, close: bool) -> None:
        chunked = request.version == "1.1"
        keep_alive = not close and (chunked or flow.length is not None)
        self._request = request._replace(keep_alive=keep_alive)
        self._outlet.begin(flow, keep_alive, chunked, self._server.share(self))

    def _ended(self, rest: bytes) -> None:
        """A long answer is over, but for the rest."""
        assert self._request
        self._done(rest, not self._request.keep_alive)
        if self._current:
            self._current = 0
            self._next()

    def _broken(self) -> None:
        if not self._closing:
            self._closing = True
            self._outlet.reset()

    def _done(self, data: bytes, close: bool) -> None:
        """With this the present request is answered."""
        assert self._transport
        uploading = self._uploading
        self._busy, self._served = False, True
        self._waits.answered()
        if uploading:
            self._end_side(data)  # the rest of the body is of no more use, and can't be told from a request
            return
        self._transport.write(data)
        if close:
            self._closing = True
            self._transport.close()

    def _reject(self, status: HTTPStatus) -> None:
        self._end_side(http1.encode_response(status, close=True))

    def _end_side(self, data: bytes) -> None:
        """Closing with input unread resets the connection, and the client never reads the answer.
        So end our side, and wait for the client's end a little."""
        self._closing, self._waits.since = True, time.monotonic()
        if self._request and self._request.flow:
            self._request.flow.drop()
        if self._transport:
            self._transport.write(data)
            self._resume_reading()
            end_output(self._transport, LINGER_S)

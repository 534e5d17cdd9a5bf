"""The application's side: connections in, requests to the driver, one final answer each."""

from __future__ import annotations

import asyncio
import hashlib
import random
import select
import socket
import struct
import sys
import time
from collections import Counter, deque
from contextlib import suppress
from http import HTTPStatus
from math import inf
from urllib.parse import unquote_to_bytes

from anisespool import http1
from anisespool.config import Address, Names
from anisespool.flow import Flow, read_buffer
from anisespool.sidecar import Answer, Call, Sidecar
from shuntlead import Settings

BACKLOG = 512
MOST_PIPELINED = 8  # requests read ahead on one connection
HALF_WRITTEN_S = 1.0  # after the listener has closed
ACCEPTED_AT_ONCE = 8
PARTIAL_QUIET, SILENT_QUIET = 0.25, 8.0  # a second of it, in seconds between two requests
ACCEPT_PAUSE_S = 0.05  # with no descriptor left
READ_NS = 1_000_000  # a request that waited no longer has not waited
LINGER_S = 1.0  # to let a client read why it was cut off
WAIT_S = 2.25  # for a request, or the rest of one: a peer that sends none is owed an end within 3 s
SWEEP_S = 0.25
LATE_START_S = 0.5  # of that, which a client may let pass before its first byte without loss
BODY_GRACE_S, BODY_RATE = 0.75, 60_000  # a body's bytes a second, a little under what clients are allowed
STALL_S = 10.0  # for a client to read any of what waits for it
HIGH = 64 * 1024  # bytes that may wait for a client before their source is held
LOW_SHARE = 4 * 1024  # the least of that, with many long bodies at once
KERNEL_BUFFER = 128 * 1024  # for long bodies: more would only hide how slow the client is
LONGEST_WAIT_MS = 3_600_000


class BadCall(ValueError):
    """A well-formed request that asks for nothing we have; carries the status to answer."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_call(request: http1.Request, names: Names, settings: Settings) -> Call:
    """A request in the module's terms, or BadCall."""
    if request.method not in (b"GET", b"HEAD", b"POST"):
        raise BadCall(HTTPStatus.METHOD_NOT_ALLOWED, "GET, HEAD and POST are served")
    parts = [part for part in request.target.partition(b"?")[0].split(b"/") if part]
    cls = names.classes.get(unquote_to_bytes(parts[0]).decode("latin-1")) if parts else None
    if cls is None:
        raise BadCall(HTTPStatus.NOT_FOUND, "no such class of requests")
    headers = request.headers
    if not headers.get(b"x-trace-id"):
        raise BadCall(HTTPStatus.BAD_REQUEST, "X-Trace-Id is missing")
    left_ns = settings.classes[cls].deadline_ns
    if (left_ms := _number(headers, b"x-expires-in-ms")) is not None:
        left_ns = min(left_ms, LONGEST_WAIT_MS) * 1_000_000
    hint_us = _number(headers, b"x-size-hint")
    return Call(
        request=request,
        cls=cls,
        tenant=names.tenants.get(headers.get(b"x-customer", b"").decode("latin-1"), len(names.tenants)),
        left_ns=left_ns,
        hint_ns=None if hint_us is None else hint_us * 1000,
        key=_key(parts[-1]) if len(parts) > 1 else 0,
        is_retry=headers.get(b"x-second-try") == b"1",
        dedup_key=_key(headers[b"idempotency-key"]) if headers.get(b"idempotency-key") else 0,
    )


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 18:
        raise BadCall(HTTPStatus.BAD_REQUEST, f"{name.decode()} is no whole number")
    return int(value)


def _key(part: bytes) -> int:
    """The same number at every sidecar; never 0, which means none."""
    return int.from_bytes(hashlib.blake2b(part, digest_size=8).digest(), "big") or 1


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of the application. It is read all the time, as its end is how a client goes away, but
    while a long body has nowhere to go."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = http1.RequestParser(self._hold, self._read_on)
        self._queue: deque[tuple[http1.Request, int]] = deque()  # with when it came
        self._transport: asyncio.Transport | None = None
        self._busy = self._closing = self._served = self._unread = False
        self._request: http1.Request | None = None  # the present one
        self._current = 0  # its number, once the driver has it and has not answered
        self._download: Flow | None = None  # the rest of its answer
        self._held_at = 0.0  # since when a long body has nowhere to go; 0: it has
        self._waits_since = time.monotonic()  # for a request
        self._heard_at = 0.0
        self._head_at = 0.0  # when the head of the latest request was whole
        self._since_head = 0  # bytes come since then
        self._chunked = False  # the long answer
        self._left, self._moved_at = 0, 0.0  # bytes that wait for the client, and when it last read any

    @property
    def idle(self) -> bool:
        """Between requests, and nothing on its way out."""
        return not (self.owed or self._parser.partial)

    @property
    def owed(self) -> bool:
        """Its end must wait: a request is being answered, or an answer is still on its way out."""
        return self._closing or self._busy or bool(self._queue) or self._unsent > 0

    @property
    def _unsent(self) -> int:
        """Bytes of answers that have not left for the kernel: they would be lost with this process."""
        return self._transport.get_write_buffer_size() if self._transport else 0

    @property
    def state(self) -> str:
        if self._closing:
            return "closing"
        if self._busy:
            return "answering at length" if self._download else "busy"
        if self._parser.partial:
            return "half-written"
        return "between requests" if self._served else "silent"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.admit(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            return
        now, began, in_body = time.monotonic_ns(), self._parser.partial, self._parser.in_body
        self._heard_at = now / 1e9
        self._queue.extend((request, now) for request in self._parser.feed(read_buffer[:nbytes]))
        if self._parser.partial and not began:
            late = 0.0 if self._served else LATE_START_S
            self._waits_since = min(now / 1e9, self._waits_since + late) if late else now / 1e9
        if self._parser.in_body and not in_body:
            self._head_at, self._since_head = now / 1e9, 0
        self._since_head += nbytes
        if len(self._queue) > MOST_PIPELINED and self._transport:
            self._transport.pause_reading()
        if self._uploading and self._parser.error:
            self._end_upload(HTTPStatus(self._parser.error))
        self._next()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._server.connections.discard(self)
        self._queue.clear()
        self._end_download()
        self._parser.close()
        if self._busy and self._current:
            self._server.sidecar.client_gone(self._current)

    def pause_writing(self) -> None:
        """Danger: a client that reads no answers and sends on would fill the memory with them."""
        self._unread = True
        if self._download:
            self._download.hold()

    def resume_writing(self) -> None:
        self._unread = False
        if self._download:
            self._download.go()
        self._next()

    # A request's long body ------------------------------------------------------------------------

    @property
    def _uploading(self) -> bool:
        """The present request's body is still coming."""
        flow = self._request.flow if self._busy and self._request else None
        return flow is not None and not flow.done

    def _hold(self) -> None:
        self._held_at = time.monotonic()
        if self._transport:
            self._transport.pause_reading()

    def _read_on(self) -> None:
        if self._held_at:  # what the client could not send meanwhile is no fault of its own
            self._head_at += time.monotonic() - self._held_at
            self._held_at = 0.0
        if self._transport and not self._transport.is_closing() and len(self._queue) <= MOST_PIPELINED:
            self._transport.resume_reading()

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
        while not (self._busy or self._closing or self._unread):
            if not self._queue:
                if self._parser.error:
                    self._reject(HTTPStatus(self._parser.error))
                else:
                    self._continue()
                return
            request, came_ns = self._queue.popleft()
            if request.flow and request.flow.broken:
                continue  # the parser's error is next
            if self._transport and not self._held_at and len(self._queue) <= MOST_PIPELINED:
                self._transport.resume_reading()
            self._busy, self._current, self._request = True, 0, request
            self._work_on(request, came_ns)

    def _continue(self) -> None:
        if self._parser.wants_continue and self._transport:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _work_on(self, request: http1.Request, came_ns: int) -> None:
        if request.target.partition(b"?")[0] == b"/healthz":
            self._answer(Answer(200 if self._server.sidecar.ready else 503))
            return
        if self._server.crowded:
            self._request = request._replace(keep_alive=False)
            self._answer(Answer(503, b"too many connections\n", self._server.retry_after_s()))
            return
        try:
            call = read_call(request, self._server.names, self._server.settings)
        except BadCall as error:
            self._answer(Answer(error.status, f"{error}\n".encode()))
            return
        waited_ns = time.monotonic_ns() - came_ns  # behind others that the client sent ahead of it
        if waited_ns > READ_NS and not request.flow:
            call = call._replace(left_ns=max(0, call.left_ns - waited_ns))
        current = self._server.sidecar.take(call, self._answer_and_go_on)
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
        request = self._request
        close = not request.keep_alive or self._server.stopping
        if answer.flow:
            self._answer_at_length(request, answer.flow, close)
            return
        is_head = request.method == b"HEAD"
        data = http1.encode_response(
            answer.status, b"" if is_head else answer.body, answer.retry_after_s, close or self._uploading,
            answer.length if is_head else None,
        )  # fmt: skip
        self._done(data, close)

    def _answer_at_length(self, request: http1.Request, flow: Flow, close: bool) -> None:
        assert self._transport
        chunked = request.version == "1.1"
        self._request = request._replace(keep_alive=not close and (chunked or flow.length is not None))
        head = http1.encode_head(200, flow.length, 0.0, not self._request.keep_alive, chunked)
        self._transport.write(head)
        self._transport.set_write_buffer_limits(high=self._server.share(self))
        connected = self._transport.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)
        self._download, self._chunked = flow, chunked and flow.length is None
        flow.attach(self)

    def flow_data(self, data: bytes) -> None:
        if self._transport and self._download:
            self._transport.write(http1.encode_chunk(data) if self._chunked else data)
            if self._unread:
                self._download.hold()

    def flow_end(self) -> None:
        assert self._transport and self._request
        self._end_download()
        self._transport.set_write_buffer_limits(high=HIGH)
        self._done(http1.LAST_CHUNK if self._chunked else b"", not self._request.keep_alive)
        if self._current:
            self._current = 0
            self._next()

    def flow_broken(self) -> None:
        """Danger: an orderly end would pass for the end of a body that has no length."""
        if self._transport and not self._closing:
            self._closing = True
            self._end_download()
            connected = self._transport.get_extra_info("socket")
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._transport.abort()

    def _end_download(self) -> None:
        download, self._download = self._download, None
        self._server.long_answers.discard(self)
        if download:
            download.drop()

    def _done(self, data: bytes, close: bool) -> None:
        """With this the present request is answered."""
        assert self._transport
        uploading = self._uploading
        self._busy, self._served, self._waits_since = False, True, time.monotonic()
        self._moved_at = self._waits_since
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
        """Danger: closing with input unread resets the connection, and the client never reads the answer.
        So end our side, and wait for the client's end a little."""
        self._closing, self._waits_since = True, time.monotonic()
        if self._request and self._request.flow:
            self._request.flow.drop()
        if self._transport:
            self._transport.write(data)
            self._transport.resume_reading()
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def close_if_idle(self) -> None:
        if self.idle and self._transport:
            self._closing = True
            self._transport.close()

    @property
    def may_go(self) -> bool:
        """Nothing is owed on it but a request that it has yet to bring, or an answer that nobody reads."""
        reads = self._unsent and time.monotonic() < self._moved_at + WAIT_S
        return not (self._busy or self._queue or reads)

    def quiet(self, now: float) -> float:
        """For how long it has kept us waiting, against what its kind may take: the longest makes room. A
        client writes as it connects, brings its next request some time after an answer, which it may also do
        on a new connection, and may take seconds in the midst of one."""
        if self._closing or self._unread:
            return inf
        if self._parser.partial:
            return (now - self._heard_at) * PARTIAL_QUIET
        return (now - self._waits_since) * (1.0 if self._served else SILENT_QUIET)

    def make_room(self) -> None:
        """Its descriptor is wanted now: there is no time to wait for the client's end."""
        if not self._transport:
            return
        self._server.connections.discard(self)  # or it would be chosen again before it has gone
        if self._parser.partial and not self._closing:
            self._transport.write(http1.encode_response(HTTPStatus.REQUEST_TIMEOUT, close=True))
            self._closing = True
            self._transport.close()
        elif self._closing or self._unread:
            self._closing = True
            self._transport.abort()
        else:
            self.close_if_idle()

    def end_wait(self) -> None:
        """It has had its time for a request, or the rest of one."""
        if self._parser.partial:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close_if_idle()

    def end_if_late(self, now: float) -> None:
        """The client has had its time to send, or to read."""
        if not self._transport or self._transport.is_closing() and not self._left:
            return
        left, before = self._unsent, self._left
        self._left = left
        if left != before or not left:
            self._moved_at = now
        if now > self._moved_at + STALL_S:
            self._closing = True
            self._transport.abort()
        elif self._uploading:
            if self._body_late(now):
                self._end_upload(HTTPStatus.REQUEST_TIMEOUT)
        elif now > self._waits_since + WAIT_S and not (left or self._busy or self._closing):
            if not self._parser.in_body or self._body_late(now):
                self.end_wait()

    def _body_late(self, now: float) -> bool:
        return not self._held_at and now > self._head_at + BODY_GRACE_S + self._since_head / BODY_RATE


def open_listener(address: Address, backlog: int) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def inherited_listener(descriptor: int) -> socket.socket:
    """OSError where the descriptor is none, or no listening TCP socket."""
    listener = socket.socket(fileno=descriptor)
    is_tcp = (listener.family, listener.type) == (socket.AF_INET, socket.SOCK_STREAM)
    if not is_tcp or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} is no listening TCP socket")
    listener.setblocking(False)
    return listener


class Server:
    """The listener. It accepts by itself, so that nothing queued is reset when it closes."""

    def __init__(
        self, sidecar: Sidecar, names: Names, settings: Settings, most: int, buffers: int = 1 << 23
    ) -> None:
        """`most`: connections. `buffers`: bytes that may wait for all clients of long answers together."""
        self.sidecar, self.names, self.settings = sidecar, names, settings
        self._buffers = buffers
        self.long_answers: set[ClientConnection] = set()
        self.connections: set[ClientConnection] = set()
        self.stopping = False
        self._most = most
        self._listener: socket.socket | None = None
        self._shares_listener = False  # with another process: what waits in its queue is not ours to take
        self._accepting: set[asyncio.Task[None]] = set()

    @property
    def crowded(self) -> bool:
        """Too near the limit on descriptors: the newest are sent away, for without any nothing works."""
        return len(self.connections) > self._most

    def limit(self, most: int) -> None:
        """Danger: what is over it is taken from the other process of an upgrade."""
        self._most = most
        while self.crowded and self.make_room():
            pass

    def retry_after_s(self) -> float:
        """When a place is likely to be free again. Danger: told the same, all would come back as one."""
        wait_ns = min(self.settings.max_retry_after_ns, min(c.target_ns for c in self.settings.classes))
        return wait_ns / 1e9 * random.uniform(0.25, 0.75)

    def admit(self, connection: ClientConnection) -> None:
        """Danger: those that bring no request must not hold the places of those that do."""
        self.connections.add(connection)
        if self.crowded:
            self.make_room(connection)

    def make_room(self, but: ClientConnection | None = None) -> bool:
        """A descriptor is wanted; whether one will be free."""
        waiting = [c for c in self.connections if c.may_go and c is not but]
        if waiting:
            now = time.monotonic()
            max(waiting, key=lambda c: c.quiet(now)).make_room()
        return bool(waiting)

    def share(self, connection: ClientConnection) -> int:
        """Bytes that may wait for one more client of a long answer."""
        self.long_answers.add(connection)
        return max(LOW_SHARE, min(HIGH, self._buffers // len(self.long_answers)))

    async def sweep(self) -> None:
        """Danger: a peer may connect and send nothing or half a request, or read no answer, and stay."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for connection in list(self.connections):
                connection.end_if_late(now)

    def census(self) -> str:
        """For the log: what the clients' connections are at."""
        states = Counter(connection.state for connection in self.connections)
        return f"{len(self.connections)} clients ({', '.join(f'{n} {s}' for s, n in sorted(states.items()))})"

    def listen(self, address: Address) -> Address:
        """Take the address for ourselves, and accept."""
        self._listener = open_listener(address, BACKLOG)
        self._watch_listener()
        return Address(*self._listener.getsockname())

    def inherit(self, descriptor: int) -> Address:
        """Accept from a socket that the platform holds, and that other processes accept from as well."""
        self._listener = inherited_listener(descriptor)
        self._shares_listener = True
        self._watch_listener()
        return Address(*self._listener.getsockname())

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        # Danger: a crowd at the door must not keep the loop from all the others, nor take all descriptors
        # before those that make room have gone.
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._listener:
                return
            try:
                connected, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                # Danger: with no descriptor left the listener stays readable, and the loop would spin.
                print(f"server: {error}", file=sys.stderr)
                loop.remove_reader(self._listener)
                loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)
                return
            connected.setblocking(False)
            task = loop.create_task(self._serve(connected))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _watch_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    async def _serve(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):  # it may be reset by now
            await loop.connect_accepted_socket(lambda: ClientConnection(self), connected)

    async def stop(self, accept_s: float) -> None:
        """A planned restart: go on accepting for a while, then answer what was taken, and end."""
        self.stopping = True
        loop = asyncio.get_running_loop()
        if self._shares_listener:
            # The other process takes all that comes from now on. Danger: a request may be on its way on any
            # idle connection. Most clients bring their next one within this time, and go on its answer.
            self._end_listener()
            until = loop.time() + accept_s
            while (self.connections or self._accepting) and loop.time() < until:
                await asyncio.sleep(0.01)
        else:
            # Clients use a connection for as long as it is open: closed now, they still find the listener.
            self._close_idle()
            await asyncio.sleep(accept_s)
            # Danger: closing resets what still waits in the listener's queue.
            while self._listener and select.select([self._listener], [], [], 0)[0]:
                self._accept()
                await asyncio.sleep(0.001)
            self._end_listener()
        if self._accepting:
            await asyncio.wait(self._accepting)
        # A request may be on its way in on any of those; a half-written one gets no longer than this.
        half_written = loop.time() + HALF_WRITTEN_S
        await asyncio.sleep(0.02)
        while any(c.owed or not c.idle and loop.time() < half_written for c in self.connections):
            await asyncio.sleep(0.01)
        self._close_idle()
        await asyncio.sleep(0)

    def _end_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

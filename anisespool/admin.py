"""The admin address for operators: one line in, one line out, then the connection is closed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping

from anisespool.config import Address
from anisespool.errors import AdminFault, UnknownCall
from anisespool.front.listener import Acceptor
from anisespool.sockets import end_output

MAX_LINE_BYTES = 512
MAX_CALLERS = 8  # open admin connections; one more closes the oldest
CALL_TIMEOUT_S = 2.25  # to receive a complete line: an idle connection must be closed within 3 s
LINGER_S = 0.5  # before the abort, so that the caller can read its answer even with input left unread
ACCEPT_PAUSE_S = 0.02  # when descriptors run out, or accept(2) fails with an unexpected error
MAX_ACCEPTS_AT_ONCE = 4  # per event loop callback


# Takes the argument, "" for a call without one; returns the answer.
AdminCall = Callable[[str], Awaitable[str]]


class AdminConnection(asyncio.Protocol):
    """One connection: reads a single call, writes its answer and closes."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._line = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.is_received = self._is_answered = False  # the call's line is complete; its answer was written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(
            CALL_TIMEOUT_S, self.reject, "no call came in time"
        )
        self._admin.add(self)

    def data_received(self, data: bytes) -> None:
        if self.is_received:
            return
        line, end, _ = (self._line + data[: MAX_LINE_BYTES + 1]).partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            self.reject(f"a line has {MAX_LINE_BYTES} bytes at most")
        elif end:
            self._submit(line)
        else:
            self._line = line

    def eof_received(self) -> bool:
        if not self.is_received and self._line:
            self._submit(self._line)
        elif not self.is_received:
            return False
        return not self._is_answered  # keep our side open only until the answer is written

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_received = True
        if self._timer:
            self._timer.cancel()
        self._admin.connections.pop(self, None)

    def _submit(self, line: bytes) -> None:
        self.is_received = True
        self._admin.ask(line, self.answer)

    def reject(self, why: str) -> None:
        """Answer with FAILURE, unless a call has been received."""
        if not self.is_received:
            self.is_received = True
            self.answer(f"FAILURE {why}")

    def answer(self, text: str) -> None:
        """Write the answer, then shut down the output only: closing a socket with unread input sends a reset,
        and the caller would lose the answer."""
        if self._timer:
            self._timer.cancel()
        if self._transport and not self._transport.is_closing():
            self._is_answered = True
            self._transport.write(text.encode() + b"\n")
            end_output(self._transport)
            self._timer = asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()


class Admin:
    """Accepts admin connections and runs their calls. A slow caller does not delay the others."""

    def __init__(self, calls: Mapping[str, AdminCall], make_room: Callable[[], object]) -> None:
        """`calls`: by name, with a trailing space if the call takes an argument. `make_room` closes a
        connection to free a descriptor."""
        self._calls, self._make_room = calls, make_room
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, listener: socket.socket) -> Address:
        """Accept from this socket, which `close` closes. Returns its address."""
        self._listener = listener
        Acceptor(
            "admin", listener, ACCEPT_PAUSE_S, self._make_room, self._on_accepted, MAX_ACCEPTS_AT_ONCE
        ).start()
        return Address(*listener.getsockname())

    def close(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()

    def add(self, connection: AdminConnection) -> None:
        """Register a connection; over MAX_CALLERS the oldest one is aborted."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CALLERS:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest)
            oldest.abort()

    def ask(self, line: bytes, answer: Callable[[str], None]) -> None:
        """Run the call in this line, and pass its answer to `answer`."""
        self._start(self._answer(line, answer))

    async def _answer(self, line: bytes, answer: Callable[[str], None]) -> None:
        try:
            name, argument = _parse(line)
            call = self._calls.get(name)
            if call is None:
                raise UnknownCall(self._usage(name.strip()))
            answer(f"SUCCESS {await call(argument)}".rstrip())
        except AdminFault as why:
            answer(f"FAILURE {why}")

    def _usage(self, name: str) -> str:
        for call in self._calls:
            if call.strip() == name:
                return f"{name} takes {'the id of a server' if call != name else 'nothing more'}"
        return f"no such call; there are {', '.join(call.strip() for call in self._calls)}"

    def _on_accepted(self, connected: socket.socket) -> None:
        self._start(self._serve(connected))

    async def _serve(self, connected: socket.socket) -> None:
        try:
            connected.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: AdminConnection(self), connected)
        except OSError:  # the caller has reset the connection
            connected.close()

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _parse(line: bytes) -> tuple[str, str]:
    """The call's name, with a trailing space if an argument follows, and the argument."""
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError:
        raise UnknownCall("the line is no text") from None
    if not words or len(words) > 2 or not all(word.isprintable() for word in words):
        raise UnknownCall("a line has a call and one argument at most")
    return (words[0] + " ", words[1]) if len(words) == 2 else (words[0], "")

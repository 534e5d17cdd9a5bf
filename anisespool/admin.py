"""The operators' address: one line in, one line out, and the connection ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping

from anisespool.config import Address
from anisespool.errors import AdminFault, UnknownCall
from anisespool.front.listener import Acceptor
from anisespool.sockets import end_output

MAX_LINE = 512
MOST_CALLERS = 8  # the one that has kept us waiting longest makes room for a further one
CALL_S = 2.25  # for a whole line: a peer that sends none is owed an end within 3 s
LINGER_S = 0.5  # to let a caller read its answer, whatever else it has sent
ACCEPT_PAUSE_S = 0.02  # with no descriptor left, or where accept(2) fails in an unknown way
ACCEPTED_AT_ONCE = 4


Call = Callable[[str], Awaitable[str]]  # the one argument, or "" where the call has none


class Caller(asyncio.Protocol):
    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._line = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.asked = self._answered = False  # its line is whole; its answer is written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(CALL_S, self.give_up, "no call came in time")
        self._admin.admit(self)

    def data_received(self, data: bytes) -> None:
        if self.asked:
            return
        line, end, _ = (self._line + data[: MAX_LINE + 1]).partition(b"\n")
        if len(line) > MAX_LINE:
            self.give_up(f"a line has {MAX_LINE} bytes at most")
        elif end:
            self._ask(line)
        else:
            self._line = line

    def eof_received(self) -> bool:
        if not self.asked and self._line:
            self._ask(self._line)
        elif not self.asked:
            return False
        return not self._answered  # our side stays open for the answer, and no longer: it holds a place

    def connection_lost(self, exc: Exception | None) -> None:
        self.asked = True
        if self._timer:
            self._timer.cancel()
        self._admin.callers.pop(self, None)

    def _ask(self, line: bytes) -> None:
        self.asked = True
        self._admin.ask(line, self.answer)

    def give_up(self, why: str) -> None:
        if not self.asked:
            self.asked = True
            self.answer(f"FAILURE {why}")

    def answer(self, text: str) -> None:
        """Closing with input unread resets the connection, and the caller never reads the answer."""
        if self._timer:
            self._timer.cancel()
        if self._transport and not self._transport.is_closing():
            self._answered = True
            self._transport.write(text.encode() + b"\n")
            self._timer = end_output(self._transport, LINGER_S)

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()


class Admin:
    """Listens for operators. Whoever is slow holds a place, and nobody else up."""

    def __init__(self, calls: Mapping[str, Call], make_room: Callable[[], object]) -> None:
        """`calls` by name, with a blank at its end where an argument comes; `make_room` frees a place."""
        self._calls, self._make_room = calls, make_room
        self.callers: dict[Caller, None] = {}  # in the order in which they came
        self._listener: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, listener: socket.socket) -> Address:
        self._listener = listener
        Acceptor("admin", listener, ACCEPT_PAUSE_S, self._make_room, self._accepted, ACCEPTED_AT_ONCE).start()
        return Address(*listener.getsockname())

    def close(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for caller in list(self.callers):
            caller.abort()

    def admit(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = next(iter(self.callers))
            self.callers.pop(oldest)
            oldest.abort()

    def ask(self, line: bytes, answer: Callable[[str], None]) -> None:
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

    def _accepted(self, connected: socket.socket) -> None:
        self._start(self._serve(connected))

    async def _serve(self, connected: socket.socket) -> None:
        try:
            connected.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Caller(self), connected)
        except OSError:  # it has been reset by now
            connected.close()

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _parse(line: bytes) -> tuple[str, str]:
    """The call's name, with a blank at its end where an argument came, and the argument."""
    try:
        words = line.decode("utf-8").split()
    except UnicodeDecodeError:
        raise UnknownCall("the line is no text") from None
    if not words or len(words) > 2 or not all(word.isprintable() for word in words):
        raise UnknownCall("a line has a call and one argument at most")
    return (words[0] + " ", words[1]) if len(words) == 2 else (words[0], "")

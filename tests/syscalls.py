"""System calls on sockets of this process that fail as a test says, with any errno."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from anisespool.config import Address

Matches = Callable[[socket.socket, tuple[Any, ...]], bool]


def always(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
    return True


def listens_at(address: Address) -> Matches:
    """The calls of the listener at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        return bool(sock.getsockname()[1] == address.port)

    return matches


def goes_to(address: Address) -> Matches:
    """The connects to that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        return bool(arguments[0][1] == address.port)

    return matches


def is_connected_to(address: Address) -> Matches:
    """The calls on connections whose other side is at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        try:
            return bool(sock.getpeername()[1] == address.port)
        except OSError:
            return False

    return matches


def is_accepted_at(address: Address) -> Matches:
    """The calls on connections that were accepted at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        try:
            is_of_it: bool = sock.getsockname()[1] == address.port and sock.getpeername()[1] != address.port
            return is_of_it
        except OSError:
            return False

    return matches


def os_error(number: int) -> OSError:
    """As the interpreter raises it, of the subclass that goes with the number."""
    return OSError(number, os.strerror(number))


@pytest.fixture(autouse=True)
def no_traceback(capfd: pytest.CaptureFixture[str], caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    """Wherever it is imported: no test writes one, nor does the loop."""
    yield
    assert "Traceback" not in capfd.readouterr().err
    assert not [r for r in caplog.get_records("call") if r.name == "asyncio"]


class FailingCall:
    """The next `times` matching calls fail; `failed` counts those that did."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, name: str, number: int, times: int, matches: Matches = always,
        before: Callable[[socket.socket], None] | None = None, after: int = 0,
    ) -> None:  # fmt: skip
        """`name`: a method of socket.socket, __init__ for socket(2), where the taking over of a descriptor is
        none. `number`: the errno. `before`: done as the call fails. `after`: so many succeed first."""
        real = getattr(socket.socket, name)
        self.failed = 0
        passed = 0

        def call(sock: socket.socket, *arguments: Any, **options: Any) -> Any:
            nonlocal passed
            if self.failed < times and "fileno" not in options and matches(sock, arguments):
                passed += 1
                if passed <= after:
                    return real(sock, *arguments, **options)
                self.failed += 1
                if before:
                    before(sock)
                raise os_error(number)
            return real(sock, *arguments, **options)

        monkeypatch.setattr(socket.socket, name, call, raising=False)


def take_and_drop(listener: socket.socket) -> None:
    """What the kernel does to a connection of which accept(2) reports an error: it is off the queue."""
    descriptor, _ = listener._accept()  # type: ignore[attr-defined]
    os.close(descriptor)


class ShortCall:
    """Matching calls of send or recv_into take that many bytes at most; `calls` counts them."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, name: str, nbytes: int, matches: Matches = always
    ) -> None:
        real = getattr(socket.socket, name)
        self.calls = 0

        def call(sock: socket.socket, data: bytes | memoryview, *arguments: Any) -> Any:
            if matches(sock, (data, *arguments)):
                self.calls += 1
                data = memoryview(data)[:nbytes]
            return real(sock, data, *arguments)

        monkeypatch.setattr(socket.socket, name, call, raising=False)

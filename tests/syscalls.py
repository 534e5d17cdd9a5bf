"""Fault injection for socket system calls of this process."""

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
    """Matches calls on the listener at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        return bool(sock.getsockname()[1] == address.port)

    return matches


def connects_to(address: Address) -> Matches:
    """Matches connect calls to that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        return bool(arguments[0][1] == address.port)

    return matches


def is_connected_to(address: Address) -> Matches:
    """Matches calls on connections whose peer is at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        try:
            return bool(sock.getpeername()[1] == address.port)
        except OSError:
            return False

    return matches


def is_accepted_at(address: Address) -> Matches:
    """Matches calls on connections accepted at that address."""

    def matches(sock: socket.socket, arguments: tuple[Any, ...]) -> bool:
        try:
            is_of_it: bool = sock.getsockname()[1] == address.port and sock.getpeername()[1] != address.port
            return is_of_it
        except OSError:
            return False

    return matches


def os_error(number: int) -> OSError:
    """The OSError subclass that the interpreter raises for this errno."""
    return OSError(number, os.strerror(number))


@pytest.fixture(autouse=True)
def no_traceback(capfd: pytest.CaptureFixture[str], caplog: pytest.LogCaptureFixture) -> Iterator[None]:
    """In modules that import it, fails a test that prints a traceback or logs an asyncio error."""
    yield
    assert "Traceback" not in capfd.readouterr().err
    assert not [r for r in caplog.get_records("call") if r.name == "asyncio"]


class FailingCall:
    """Makes the next `times` matching calls fail; `failed` counts the failures."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, name: str, number: int, times: int, matches: Matches = always,
        before: Callable[[socket.socket], None] | None = None, after: int = 0,
    ) -> None:  # fmt: skip
        """`name`: a method of socket.socket, or __init__ for socket(2); wrapping a descriptor doesn't count.
        `number`: the errno. `before`: runs when the call fails. `after`: calls that succeed first."""
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


def accept_and_close(listener: socket.socket) -> None:
    """Remove a connection from the queue, as the kernel does when accept(2) reports its error."""
    descriptor, _ = listener._accept()  # type: ignore[attr-defined]
    os.close(descriptor)


class ShortCall:
    """Limits matching send or recv_into calls to `nbytes` bytes; `calls` counts them."""

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

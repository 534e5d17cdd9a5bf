"""Listening sockets, newly bound or inherited, and accepting from them with handling of accept(2) errors."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from math import inf
from typing import TypeVar

from anisespool.config import Address
from anisespool.errors import AddressTaken, ConfigError
from anisespool.errors.system import (
    SystemFailure,
    affects_one_connection,
    classify,
    is_local_shortage,
    to_fault,
)
from anisespool.log import log_error
from anisespool.socket_buffers import SocketBuffers
from anisespool.waiting import wait_for_any

ACCEPT_LOG_INTERVAL_S = 0.5  # between two log lines about failed accepts
LISTEN_TIMEOUT_S, LISTEN_RETRY_INTERVAL_S = 10.0, 0.05  # for an address that is still in use

Result = TypeVar("Result")


def open_listener(address: Address, backlog: int, buffers: SocketBuffers | None = None) -> socket.socket:
    """A listening TCP socket at this address, and the buffers of what it accepts. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        if buffers:
            buffers.bound_receiving(listener)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def adopt_listener(descriptor: int) -> socket.socket:
    """A socket object for an inherited listener. Raises OSError if the descriptor is not open, or is not a
    listening TCP socket."""
    listener = socket.socket(fileno=descriptor)
    is_tcp = (listener.family, listener.type) == (socket.AF_INET, socket.SOCK_STREAM)
    if not is_tcp or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} is not a listening TCP socket")
    listener.setblocking(False)
    return listener


async def open_with_retry(
    name: str, listen: Callable[[], Result], stop: asyncio.Event, wait_s: float = LISTEN_TIMEOUT_S
) -> Result | None:
    """Call `listen` until it succeeds, and return its result, or None if `stop` is set first.

    It is retried for `wait_s` while the address is in use, since a previous process may still be shutting
    down, or while the machine is out of descriptors or buffers. Raises ConfigError after that, and at once on
    other errors. `name`: the setting that the address comes from, for messages.
    """
    until_s, logged = time.monotonic() + wait_s, False
    while True:
        try:
            return listen()
        except OSError as error:
            if not is_local_shortage(error) or time.monotonic() >= until_s:
                raise ConfigError(f"{name}: {error}") from None
            if not logged:
                logged = True
                log_error("anisespool", AddressTaken(f"{name}: {error}"))
        if await wait_for_any((stop,), LISTEN_RETRY_INTERVAL_S):
            return None


class Acceptor:
    """Accepts from one listener in the event loop. Whatever error accept(2) fails with, accepting continues,
    either at once or after a delay."""

    def __init__(
        self, topic: str, listener: socket.socket, retry_delay_s: float, make_room: Callable[[], object],
        serve: Callable[[socket.socket], object], max_accepts: int,
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:  # fmt: skip
        """`topic`: of log lines. `make_room` frees a descriptor. `serve` takes over an accepted connection.
        `max_accepts`: limit of connections accepted in one turn of the event loop. `may_accept`: whether
        there is memory for one more; if not, it waits in the queue of the kernel."""
        self._topic, self._listener, self._retry_delay_s = topic, listener, retry_delay_s
        self._make_room, self._serve, self._max_accepts = make_room, serve, max_accepts
        self._may_accept = may_accept
        self._logged_at = -inf
        self._retry_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept connections as they arrive, until the listener is closed."""
        self._retry_timer = None
        if self._listener.fileno() < 0:
            return
        try:
            asyncio.get_running_loop().add_reader(self._listener, self.accept)
        except OSError as error:  # epoll_ctl(2): ENOMEM, ENOSPC
            self._retry_later(error)

    def accept(self) -> None:
        """Accept queued connections, `max_accepts` at most. If every call failed, accepting resumes after a
        delay: an error that removes nothing from the queue would make the event loop spin."""
        last_error: OSError | None = None
        accepted = False
        for _ in range(self._max_accepts):
            if not self._may_accept():
                self._pause()
                return
            try:
                connected, _ = self._listener.accept()
            except OSError as error:
                last_error = error
                if affects_one_connection(error):
                    continue
                if classify(error) is not SystemFailure.WOULD_BLOCK:
                    self._retry_later(error)
                return
            accepted = True
            self._serve(connected)
        if last_error and not accepted:
            self._retry_later(last_error)

    def _pause(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        if self._retry_timer:
            self._retry_timer.cancel()
        self._retry_timer = loop.call_later(self._retry_delay_s, self.start)

    def _retry_later(self, error: OSError) -> None:
        self._pause()
        if time.monotonic() >= self._logged_at + ACCEPT_LOG_INTERVAL_S:
            self._logged_at = time.monotonic()
            log_error(self._topic, to_fault(error))
        if classify(error) is SystemFailure.NO_RESOURCES:
            self._make_room()

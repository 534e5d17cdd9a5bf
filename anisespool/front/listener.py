"""Listening sockets, our own and inherited ones, and what to do where accept(2) fails."""

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
    classify,
    concerns_one_peer,
    described,
    is_short_here,
)
from anisespool.log import fault
from anisespool.waiting import first_of

QUIET_S = 0.5  # between two lines of the log on failed accepts
LISTEN_WAIT_S, LISTEN_AGAIN_S = 10.0, 0.05  # for an address that is taken, and between two tries

Opened = TypeVar("Opened")


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


async def opened(
    name: str, listen: Callable[[], Opened], stop: asyncio.Event, wait_s: float = LISTEN_WAIT_S
) -> Opened | None:
    """What `listen` opens. While the address is in use, as a process before this one may still be ending, or
    this machine is short of something, it is tried again, for `wait_s`. None: `stop` came first. ConfigError:
    it cannot be had; `name` says by which setting it was asked for."""
    until_s, complained = time.monotonic() + wait_s, False
    while True:
        try:
            return listen()
        except OSError as error:
            if not is_short_here(error) or time.monotonic() >= until_s:
                raise ConfigError(f"{name}: {error}") from None
            if not complained:
                complained = True
                fault("anisespool", AddressTaken(f"{name}: {error}"))
        if await first_of((stop,), LISTEN_AGAIN_S):
            return None


class Acceptor:
    """Owns the reader of one listener: who comes is accepted, and whatever accept(2) fails with, the listener
    is watched again, at once or after a pause."""

    def __init__(
        self, topic: str, listener: socket.socket, pause_s: float, make_room: Callable[[], object],
        serve: Callable[[socket.socket], object], at_once: int,
    ) -> None:  # fmt: skip
        """`topic`: of the log. `make_room` frees a descriptor. `serve` owns the connection it is given.
        `at_once`: connections accepted in one turn of the loop at most."""
        self._topic, self._listener, self._pause_s = topic, listener, pause_s
        self._make_room, self._serve, self._at_once = make_room, serve, at_once
        self._logged_at = -inf
        self._resume: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Accept whenever somebody comes, until the listener is closed."""
        self._resume = None
        if self._listener.fileno() < 0:
            return
        try:
            asyncio.get_running_loop().add_reader(self._listener, self.accept)
        except OSError as error:  # epoll_ctl(2): ENOMEM, ENOSPC
            self._pause(error)

    def accept(self) -> None:
        """Accept those that wait, so many at most. A turn that only fails ends in a pause: an error that
        takes nothing off the queue would make the loop spin."""
        last: OSError | None = None
        accepted = False
        for _ in range(self._at_once):
            try:
                connected, _ = self._listener.accept()
            except OSError as error:
                last = error
                if concerns_one_peer(error):
                    continue
                if classify(error) is not SystemFailure.NOTHING_TO_DO:
                    self._pause(error)
                return
            accepted = True
            self._serve(connected)
        if last and not accepted:
            self._pause(last)

    def _pause(self, error: OSError) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        if self._resume:
            self._resume.cancel()
        self._resume = loop.call_later(self._pause_s, self.watch)
        if time.monotonic() >= self._logged_at + QUIET_S:
            self._logged_at = time.monotonic()
            fault(self._topic, described(error))
        if classify(error) is SystemFailure.NO_RESOURCES:
            self._make_room()

"""Failing system calls on the peer socket lose datagrams and have no other effect."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from anisespool.config import PeerAddresses
from anisespool.peers import Peers
from shuntlead import interface as api
from tests.net import until
from tests.syscalls import FailingCall, no_traceback
from tests.test_peers import OBSERVATIONS, free_addresses, open_peers

__all__ = ["no_traceback"]  # a fixture

SEND_ERRORS = [
    errno.EAGAIN, errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM,
    errno.ENOBUFS, errno.ENOMEM, errno.EMSGSIZE, errno.EINVAL,
]  # fmt: skip
OPEN_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRINUSE, errno.EADDRNOTAVAIL]


def code(number: int) -> str:
    return errno.errorcode[number]


@pytest.mark.parametrize("number", SEND_ERRORS, ids=code)
@pytest.mark.parametrize("name", ["sendto", "recvfrom"])
async def test_failed_datagram_is_lost_and_later_ones_are_not(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], name: str, number: int
) -> None:
    addresses, received = free_addresses(2), list[api.PeerMessage]()
    first, second = (
        await open_peers(addresses, 0, lambda m: None),
        await open_peers(addresses, 1, received.append),
    )
    failing = FailingCall(monkeypatch, name, number, 3)
    for _ in range(4):
        first.send_observations(1, 0.5, OBSERVATIONS)
    await until(lambda: failing.failed == 3)
    first.send_observations(1, 0.5, OBSERVATIONS)
    await until(lambda: bool(received))
    first.close()
    second.close()
    assert not capfd.readouterr().err


@pytest.mark.parametrize("number", OPEN_ERRORS, ids=code)
async def test_failed_socket_open_is_logged_once_and_retried(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    addresses = free_addresses(2)
    name = "bind" if number in (errno.EADDRINUSE, errno.EADDRNOTAVAIL) else "__init__"
    failing = FailingCall(monkeypatch, name, number, 3)
    peers = Peers(PeerAddresses(addresses[0], tuple(addresses), addresses[1]), lambda m: None)
    async with asyncio.timeout(5.0):
        await peers.open()
    assert failing.failed == 3 and peers.opened.is_set()
    peers.close()
    (line,) = capfd.readouterr().err.splitlines()
    assert ("PeerAddressTaken" in line) == (name == "bind") != ("NoDescriptors" in line)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as freed:
        await asyncio.sleep(0)
        freed.bind(addresses[0])

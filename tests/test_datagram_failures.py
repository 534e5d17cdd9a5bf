"""Calls on the socket for datagrams fail: messages may be lost, and nothing else is."""

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
from tests.test_peers import SEEN, free_addresses, opened

__all__ = ["no_traceback"]  # a fixture

SENDING = [
    errno.EAGAIN, errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ENETDOWN, errno.EPERM,
    errno.ENOBUFS, errno.ENOMEM, errno.EMSGSIZE, errno.EINVAL,
]  # fmt: skip
OPENING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRINUSE, errno.EADDRNOTAVAIL]


def code(number: int) -> str:
    return errno.errorcode[number]


@pytest.mark.parametrize("number", SENDING, ids=code)
@pytest.mark.parametrize("name", ["sendto", "recvfrom"])
async def test_a_datagram_that_fails_is_lost_and_those_after_it_are_not(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], name: str, number: int
) -> None:
    addresses, heard = free_addresses(2), list[api.PeerMessage]()
    first, second = await opened(addresses, 0, lambda m: None), await opened(addresses, 1, heard.append)
    failing = FailingCall(monkeypatch, name, number, 3)
    for _ in range(4):
        first.send_observations(1, 0.5, SEEN)
    await until(lambda: failing.failed == 3)
    first.send_observations(1, 0.5, SEEN)
    await until(lambda: bool(heard))
    first.close()
    second.close()
    assert not capfd.readouterr().err


@pytest.mark.parametrize("number", OPENING, ids=code)
async def test_a_socket_that_cannot_be_opened_is_tried_again_after_one_line(
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

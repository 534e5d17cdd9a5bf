"""poll(2) results for a connection, and failures of poll(2) and epoll_ctl(2)."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from pathlib import Path
from typing import Any

import pytest

from anisespool.front import server
from anisespool.socket_state import has_events
from tests.net import Endpoint, exchange, harness, raw_call, until
from tests.syscalls import FailingCall, listens_at, no_traceback, os_error
from tests.test_endpoints import Driver

__all__ = ["no_traceback"]  # a fixture


def polled(sock: socket.socket, event: int) -> select.poll:
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return poll


def test_an_end_a_reset_an_error_and_a_closed_descriptor_are_events_and_silence_is_none() -> None:
    ours, peer = socket.socketpair()
    hang_up, unread = polled(ours, select.POLLRDHUP), polled(ours, select.POLLIN)
    assert not has_events(hang_up) and not has_events(unread)
    peer.send(b"x")
    assert not has_events(hang_up) and has_events(unread)
    peer.close()  # POLLHUP
    assert has_events(hang_up)
    ours.close()  # POLLNVAL
    assert has_events(hang_up) and has_events(unread)
    never_connected = socket.socket()  # POLLHUP, as after a connect that falsely reported success
    assert has_events(polled(never_connected, select.POLLIN))
    never_connected.close()
    refused = socket.socket()  # POLLERR
    refused.setblocking(False)
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        refused.connect_ex(bound.getsockname())
    assert has_events(polled(refused, select.POLLIN))
    refused.close()


class NoPoll:
    """A poll object whose poll fails with ENOMEM."""

    def poll(self, timeout_ms: int) -> Any:
        raise os_error(errno.ENOMEM)


async def test_where_a_poll_fails_an_idle_connection_is_not_trusted_and_the_request_goes_on_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with Endpoint().serve() as endpoint:
        driver = Driver(endpoint.address)
        await driver.result()
        (before,) = driver.endpoints.connections
        await until(lambda: asyncio.get_running_loop().time() > before.idle_since + 0.05)
        monkeypatch.setattr(before, "_poll", NoPoll())
        attempt = await driver.result()
        assert attempt.response and len(endpoint.requests) == 2
        assert before not in driver.endpoints.connections


@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOSPC])
async def test_a_listener_that_cannot_be_watched_for_now_is_watched_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], number: int
) -> None:
    """After the pause that follows a failed accept, registering with the event loop fails too."""
    monkeypatch.setattr(server, "ACCEPT_RETRY_DELAY_S", 0.02)
    async with Endpoint().serve() as endpoint, harness(tmp_path, endpoint) as it:
        loop = asyncio.get_running_loop()
        real, failed = loop.add_reader, [0]

        def add_reader(reads: Any, *arguments: Any) -> None:
            if failed[0] < 3:
                failed[0] += 1
                raise os_error(number)
            real(reads, *arguments)

        monkeypatch.setattr(loop, "add_reader", add_reader)
        FailingCall(monkeypatch, "accept", errno.EMFILE, 1, listens_at(it.address))
        assert (await exchange(it.address, raw_call())).status == 200
        assert failed == [3]
    lines = capfd.readouterr().err.splitlines()
    assert 1 <= sum("NoDescriptors" in line for line in lines) <= 4

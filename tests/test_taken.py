"""A fully received request is answered even if its connection is to be evicted at that moment."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config import Address, load
from anisespool.front import timeouts
from anisespool.front.server import Server
from tests.net import Endpoint, raw_call, until, write_config
from tests.planned_end import immediate_shutdown
from tests.test_driver import scripted, send_once


@pytest.mark.parametrize("closes", ["room", "limit", "sweep"])
@pytest.mark.parametrize("size", [3, 60_000])
async def test_a_request_whose_rest_has_just_come_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, closes: str, size: int
) -> None:
    """The rest of the request is in the kernel buffer, unread by the event loop, when the eviction comes."""
    monkeypatch.setattr(timeouts, "RECEIVE_IDLE_TIMEOUT_S", 0.0)
    async with Endpoint().serve() as endpoint, scripted(tmp_path, endpoint, send_once) as it:
        config = load(write_config(tmp_path, endpoint.address, []))
        listener = Server(it.sidecar, config.names, config.settings, 8)
        address = listener.listen(Address("127.0.0.1", 0))
        with socket.create_connection(address) as client:
            request = raw_call("once", body=bytes(size))
            client.sendall(request[:-2])
            await until(lambda: any(c.stage == "half-written" for c in listener.connections))
            await until(lambda: not any(c.has_unread() for c in listener.connections))
            [connection] = listener.connections
            client.sendall(request[-2:])  # and in the same event loop iteration:
            if closes == "room":
                listener.make_room()
            elif closes == "limit":
                listener.set_connection_limit(0)
            else:
                connection.enforce_timeouts(monotonic() + 60.0)
            client.setblocking(False)
            answer = await asyncio.get_running_loop().sock_recv(client, 65536)
            assert answer.startswith(b"HTTP/1.1 ")
        await listener.stop(immediate_shutdown())

"""Peer messages as datagrams."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import Address, MemberList, PeerAddresses, load
from anisespool.endpoints import Endpoints
from anisespool.errors import ConfigError
from anisespool.peers import MAX_DATAGRAM_BYTES, Peers, shared_id
from anisespool.sidecar import Sidecar
from shuntlead import interface as api
from tests.net import member, until, write_config
from tests.support import MS, SECOND

OBSERVATIONS = tuple(
    api.Observation(shared_id(f"s-{n}"), 2.0, 3.0, 100 * MS) for n in range(api.MAX_OBSERVATIONS)
)


def free_addresses(count: int) -> list[Address]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    addresses = [Address(*each.getsockname()) for each in sockets]
    for each in sockets:
        each.close()
    return addresses


async def open_peers(
    addresses: list[Address], number: int, received: Callable[[api.PeerMessage], None]
) -> Peers:
    peers = Peers(PeerAddresses(addresses[number], tuple(addresses), addresses[1]), received)
    await peers.open()
    return peers


async def test_a_message_reaches_its_peer_from_the_number_of_its_sender() -> None:
    addresses, received = free_addresses(2), list[api.PeerMessage]()
    first, second = (
        await open_peers(addresses, 0, lambda m: None),
        await open_peers(addresses, 1, received.append),
    )
    for peer in (1, -1):  # -1: all peers
        first.send_observations(peer, 0.5, OBSERVATIONS)
        await until(lambda: bool(received))
        message = received.pop()
        assert (message.sender, len(message.observations)) == (0, api.MAX_OBSERVATIONS)
        assert message.pressure == pytest.approx(0.5, abs=0.01)
        assert message.observations[3].endpoint == shared_id("s-3")
    first.send_observations(7, 0.5, OBSERVATIONS)  # no such peer
    first.close()
    second.close()


async def test_invalid_datagrams_are_dropped_without_effect(capsys: pytest.CaptureFixture[str]) -> None:
    addresses, received = free_addresses(3), list[api.PeerMessage]()
    listener = await open_peers(addresses[:2], 1, received.append)
    sender, foreign = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    with closing(sender), closing(foreign):
        sender.bind(addresses[0])
        foreign.bind(addresses[2])
        foreign.sendto(b"\x01\x80", addresses[1])  # well-formed, but from an unknown address
        junk = [b"", b"\x01", b"\x02\x80", b"\x01\x80abc", b"\x01\x80" + b"\0" * 7 * 37, b"x" * 9000]
        for data in (*junk, *(os.urandom(MAX_DATAGRAM_BYTES) for _ in range(200))):
            sender.sendto(data, addresses[1])
        while not received:  # later valid messages are received
            sender.sendto(b"\x01\x80", addresses[1])
            await asyncio.sleep(0.005)
    assert all(
        not message.observations and message.pressure == pytest.approx(0.5, abs=0.01) for message in received
    )
    assert len(capsys.readouterr().err.splitlines()) == 1
    listener.close()


async def test_peer_address_is_handed_over_and_a_closed_instance_may_still_send() -> None:
    addresses = free_addresses(2)
    old = await open_peers(addresses, 0, list[api.PeerMessage]().append)
    received = list[api.PeerMessage]()
    new = Peers(PeerAddresses(addresses[0], tuple(addresses), None), received.append)
    opening = asyncio.create_task(new.open())
    while new._transport is None:
        old.close()
        old.send_observations(1, 0.5, ())  # as for a request that is still being answered
        await asyncio.sleep(0.01)
    await opening
    with closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as sender:
        sender.bind(addresses[1])
        while not received:
            sender.sendto(b"\x01\x80", addresses[0])
            await asyncio.sleep(0.005)
    new.close()
    await asyncio.wait_for(new.open(), 1.0)  # a closed instance does not bind again
    assert new._transport is None


class RecordingModule:
    def __init__(self) -> None:
        self.events: list[api.Event] = []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return []


def test_observations_name_servers_independently_of_local_numbering(tmp_path: Path) -> None:
    config = load(write_config(tmp_path, Address("127.0.0.1", 9), []))
    sidecar, module = Sidecar(config, Endpoints(("queue",), 100 * MS, SECOND, 16)), RecordingModule()
    sidecar.decision_queue.module = module
    members = [member(name, Address("127.0.0.1", 9)) for name in ("s-5", "s-3")]
    sidecar.apply_list(config.names.member_list({"revision": 2, "complete": True, "members": members}))
    sidecar.external.on_peer_message(api.PeerMessage(1, 0.5, OBSERVATIONS))
    message = module.events[-1]
    assert isinstance(message, api.PeerMessage)
    assert [s.endpoint for s in message.observations] == [2, 1]  # s-3 and s-5; no others are listed
    sidecar.apply_list(MemberList(3, True, ()))
    sidecar.external.on_peer_message(api.PeerMessage(1, 0.5, OBSERVATIONS))
    assert module.events[-1] == api.PeerMessage(1, 0.5, ())


def test_the_addresses_of_peers_are_read_where_the_settings_allow_messages(tmp_path: Path) -> None:
    where = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
    given: dict[str, Any] = {"peer_listen": where[0], "peers": [where[1]], "peers_all": where[2]}
    for allowed, expected in (
        (True, PeerAddresses(Address("127.0.0.1", 1), (Address("127.0.0.1", 2),), Address("127.0.0.1", 3))),
        (False, None),
    ):
        env = write_config(tmp_path, Address("127.0.0.1", 9), [], allowed__peers=allowed)
        file = Path(env["LB_CONFIG"])
        file.write_text(json.dumps(json.loads(file.read_text()) | given))
        assert load(env).peers == expected
    file.write_text(file.read_text().replace('"peers": false', '"peers": true').replace("0.0.1:2", "0.0.1:x"))
    with pytest.raises(ConfigError, match="peers"):
        load(env)

"""Datagrams between sidecars. What comes is only hearsay: whatever is not as it should be is dropped."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from anisespool.config import Address, PeerAddresses
from anisespool.errors import PeerAddressTaken, PeerMessageDropped
from anisespool.errors.system import to_fault
from anisespool.log import fault
from shuntlead import interface as api
from shuntlead.peer_codec import decode_peer_message, encode_peer_message

MAX_DATAGRAM = 256  # a longer one voids the run
RELEASE = b"\x01"  # of the form of the messages; one that begins otherwise is another release's
OPEN_AGAIN_S = 0.1  # while the address is taken
QUIET_S = 5.0  # between two lines of the log


def shared_id(member_id: str) -> int:
    """A server's number in a datagram, the same at every sidecar: those that the module uses are not."""
    return int.from_bytes(hashlib.blake2b(member_id.encode(), digest_size=4).digest(), "big")


class Peers(asyncio.DatagramProtocol):
    """The socket of one sidecar for messages from and to the others."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[api.PeerMessage], None]) -> None:
        self._addresses, self._on_message = addresses, on_message
        self.addresses = addresses.peers
        self._senders = {address: number for number, address in enumerate(addresses.peers)}
        self._kinds: dict[bytes, Callable[[int, bytes], bool]] = {}  # by their first byte, but for RELEASE
        self.opened = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = False
        self._full = False  # the kernel takes no more for now: an old message is worth nothing
        self._logged_at, self._dropped = 0.0, 0

    async def open(self) -> None:
        """Messages are a help, no need. Without them the sidecar still serves. In an upgrade the old
        process holds the address until it ends its service."""
        loop, complained = asyncio.get_running_loop(), False
        while self._transport is None and not self._closed:
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=self._addresses.listen)
            except OSError as error:
                if not complained:
                    complained = True
                    fault("peers", to_fault(error, PeerAddressTaken))
                await asyncio.sleep(OPEN_AGAIN_S)

    def close(self) -> None:
        """Requests are still being answered, and what they teach is still told."""
        self._closed = True
        if self._transport:
            self._transport.abort()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # In Python 3.11 the loop's transport is a DatagramTransport in all but its class.
        self._transport = cast(asyncio.DatagramTransport, transport)
        if self._closed:
            self.close()
        else:
            self.opened.set()

    def handle(self, kind: bytes, on_data: Callable[[int, bytes], bool]) -> None:
        """Further datagrams, by their first byte; `on_data` gets the sender's number and the rest, and says
        whether it could be read."""
        self._kinds[kind] = on_data

    def send(self, peer: int, data: bytes) -> None:
        """To one sidecar by its number, or to all (-1); may be lost at any time."""
        to = self._addresses.all if peer < 0 else None
        if 0 <= peer < len(self._addresses.peers):
            to = self._addresses.peers[peer]
        if to is not None:
            self._send(data, to)

    def tell(self, peer: int, pressure: float, observations: tuple[api.Observation, ...]) -> None:
        """To one sidecar by its number, or to all (-1)."""
        self.send(peer, RELEASE + encode_peer_message(pressure, observations))

    def _send(self, data: bytes, to: Address) -> None:
        if len(data) <= MAX_DATAGRAM and self._transport is not None and not self._full:
            with suppress(OSError):  # may be lost at any time
                self._transport.sendto(data, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self._senders.get(addr)  # type: ignore[call-overload]  # an Address equals its tuple
        if sender is None or len(data) > MAX_DATAGRAM or not self._read(sender, data):
            self._drop(len(data), addr)

    def _read(self, sender: int, data: bytes) -> bool:
        if on_data := self._kinds.get(data[:1]):
            return on_data(sender, data[1:])
        message = decode_peer_message(sender, data[1:]) if data[:1] == RELEASE else None
        if message is not None:
            self._on_message(message)
        return message is not None

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False

    def error_received(self, exc: Exception) -> None:
        """A peer is down; it may be back."""

    def _drop(self, size: int, addr: tuple[str, int]) -> None:
        self._dropped += 1
        if time.monotonic() >= self._logged_at + QUIET_S:
            self._logged_at = time.monotonic()
            text = f"{self._dropped} dropped so far, this one of {size} bytes from {addr}"
            fault("peers", PeerMessageDropped(text))

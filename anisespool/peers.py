"""UDP messages between sidecars. They are only hints: an invalid or unexpected datagram is dropped."""

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
from anisespool.log import log_error
from shuntlead import interface as api
from shuntlead.peer_codec import decode_peer_message, encode_peer_message

MAX_DATAGRAM_BYTES = 256  # longer datagrams are not allowed
FORMAT_VERSION = b"\x01"  # first byte of a message; other releases may use a different one
OPEN_RETRY_S = 0.1  # between attempts to bind while the address is in use
LOG_INTERVAL_S = 5.0  # minimum time between log lines on dropped datagrams


def shared_id(member_id: str) -> int:
    """A server's number in datagrams: the same at every sidecar, unlike its endpoint number, which
    each sidecar assigns itself."""
    return int.from_bytes(hashlib.blake2b(member_id.encode(), digest_size=4).digest(), "big")


class Peers(asyncio.DatagramProtocol):
    """One sidecar's UDP socket for messages to and from the others."""

    def __init__(self, addresses: PeerAddresses, on_message: Callable[[api.PeerMessage], None]) -> None:
        self._addresses, self._on_message = addresses, on_message
        self.addresses = addresses.peers
        self._senders = {address: number for number, address in enumerate(addresses.peers)}
        # By first byte, other than FORMAT_VERSION.
        self._handlers: dict[bytes, Callable[[int, bytes], bool]] = {}
        self.opened = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._closed = False
        self._is_write_paused = False  # socket buffer full: messages are dropped, as late ones are useless
        self._logged_at, self._dropped = 0.0, 0

    async def open(self) -> None:
        """Bind the socket, and retry until it succeeds: in an upgrade the old process holds the address until
        it stops serving. The sidecar serves without messages meanwhile."""
        loop, is_logged = asyncio.get_running_loop(), False
        while self._transport is None and not self._closed:
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=self._addresses.listen)
            except OSError as error:
                if not is_logged:
                    is_logged = True
                    log_error("peers", to_fault(error, PeerAddressTaken))
                await asyncio.sleep(OPEN_RETRY_S)

    def close(self) -> None:
        """Close the socket. Later sends, by requests that are still being answered, have no effect."""
        self._closed = True
        if self._transport:
            self._transport.abort()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # In Python 3.11 the loop's transport has the methods of DatagramTransport but does not inherit it.
        self._transport = cast(asyncio.DatagramTransport, transport)
        if self._closed:
            self.close()
        else:
            self.opened.set()

    def register_handler(self, kind: bytes, on_data: Callable[[int, bytes], bool]) -> None:
        """Handle another kind of datagram, given by its first byte. `on_data` receives the sender's number
        and the remaining bytes, and returns whether they were valid."""
        self._handlers[kind] = on_data

    def send(self, peer: int, data: bytes) -> None:
        """Send to one sidecar by its number, or to all (-1). Delivery is not guaranteed."""
        to = self._addresses.all if peer < 0 else None
        if 0 <= peer < len(self._addresses.peers):
            to = self._addresses.peers[peer]
        if to is not None:
            self._send(data, to)

    def send_observations(
        self, peer: int, pressure: float, observations: tuple[api.Observation, ...]
    ) -> None:
        """Send how loaded the endpoints are overall (`pressure`, 0 to 1) and the observations of single
        servers to one sidecar by its number, or to all (-1)."""
        self.send(peer, FORMAT_VERSION + encode_peer_message(pressure, observations))

    def _send(self, data: bytes, to: Address) -> None:
        if len(data) <= MAX_DATAGRAM_BYTES and self._transport is not None and not self._is_write_paused:
            with suppress(OSError):  # delivery is not guaranteed
                self._transport.sendto(data, to)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = self._senders.get(addr)  # type: ignore[call-overload]  # an Address is a tuple
        if sender is None or len(data) > MAX_DATAGRAM_BYTES or not self._read(sender, data):
            self._on_dropped(len(data), addr)

    def _read(self, sender: int, data: bytes) -> bool:
        if on_data := self._handlers.get(data[:1]):
            return on_data(sender, data[1:])
        message = decode_peer_message(sender, data[1:]) if data[:1] == FORMAT_VERSION else None
        if message is not None:
            self._on_message(message)
        return message is not None

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False

    def error_received(self, exc: Exception) -> None:
        """Ignored: a peer that is down may come back."""

    def _on_dropped(self, size: int, addr: tuple[str, int]) -> None:
        self._dropped += 1
        if time.monotonic() >= self._logged_at + LOG_INTERVAL_S:
            self._logged_at = time.monotonic()
            text = f"{self._dropped} dropped so far, this one of {size} bytes from {addr}"
            log_error("peers", PeerMessageDropped(text))

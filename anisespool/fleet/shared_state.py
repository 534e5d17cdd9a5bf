"""Sends and receives the state that sidecars share by datagrams: tenants' request rates, and ejections of
servers. How they are used is decided in shuntlead/quotas.py and
shuntlead/outliers.py; docs/fleet-state.md lists the limits."""

from __future__ import annotations

import struct
import time
from collections.abc import Sequence

from anisespool.clock import CLOCK
from anisespool.external_state import ExternalState
from anisespool.fleet.clock_offsets import HALF_RANGE_MS, ClockOffsets, behind_ms
from anisespool.peers import MAX_DATAGRAM_BYTES, Peers
from shuntlead.interface import Ejection, Status, TenantReport
from shuntlead.peer_codec import decode_reports, encode_reports

EJECTIONS, RATES = b"\x04", b"\x05"  # the first byte of a datagram: its type
_EJECTION = struct.Struct("<IBB")  # shared id of the server, LEFT_UNIT_NS left, reason (a Status)
LEFT_UNIT_NS = 200_000_000
MAX_EJECTIONS = (MAX_DATAGRAM_BYTES - 1) // _EJECTION.size


def clock_ms() -> int:
    """Unix time by the steady clock; the same on all machines unless one of their clocks was stepped."""
    return CLOCK.unix_ms()


def encode_ejections(rows: Sequence[Ejection]) -> list[bytes]:
    """The datagrams with the ejected servers, identified by shared ids."""
    packed = [_EJECTION.pack(v.endpoint, max(1, min(255, v.left_ns // LEFT_UNIT_NS)), v.reason) for v in rows]
    return [EJECTIONS + b"".join(packed[n : n + MAX_EJECTIONS]) for n in range(0, len(packed), MAX_EJECTIONS)]


class FleetState:
    """Passes what peers send about tenants and servers to the decision module, and sends peers what it
    decides to share."""

    def __init__(self, peers: Peers, external: ExternalState) -> None:
        self._peers, self._external, self._offsets = peers, external, ClockOffsets()
        peers.register_handler(EJECTIONS, self._on_ejections)
        peers.register_handler(RATES, self._on_rates)
        external.on_ejections, external.on_reports = self._send_ejections, self._send_rates

    def _send_ejections(self, peer: int, rows: Sequence[Ejection]) -> None:
        for data in encode_ejections(rows):
            self._peers.send(peer, data)

    def _send_rates(self, peer: int, reports: tuple[TenantReport, ...]) -> None:
        self._peers.send(peer, RATES + encode_reports(reports, clock_ms()))

    def _on_ejections(self, sender: int, data: bytes) -> bool:
        if not data or len(data) % _EJECTION.size:
            return False
        rows = [Ejection(n, left * LEFT_UNIT_NS, Status(status))
                for n, left, status in _EJECTION.iter_unpack(data)
                if status in Status._value2member_map_]  # fmt: skip
        self._external.on_peer_ejections(sender, rows)
        return True

    def _on_rates(self, sender: int, data: bytes) -> bool:
        now_ms = clock_ms()
        shifted = decode_reports(data, now_ms + HALF_RANGE_MS)
        if shifted:
            now_ms -= self._offsets.offset_ms(sender, behind_ms(shifted), time.monotonic())
        reports = decode_reports(data, now_ms)
        if reports is not None:
            self._external.on_tenant_reports(reports)
        return reports is not None

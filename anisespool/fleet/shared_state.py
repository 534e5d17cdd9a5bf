"""Fleet state on the wire: tenants' rates and verdicts on servers, by datagrams between sidecars. The
decisions are in shuntlead/quotas.py and shuntlead/outliers.py; docs/fleet-state.md has the bounds."""

from __future__ import annotations

import struct
import time
from collections.abc import Sequence

from anisespool.clock import CLOCK
from anisespool.external_state import Outside
from anisespool.fleet.clock_offsets import HALF_RANGE_MS, Offsets, behind_ms
from anisespool.peers import MAX_DATAGRAM, Peers
from shuntlead.interface import Ejection, Status, TenantReport
from shuntlead.peer_codec import decode_reports, encode_reports

OUT, RATES = b"\x04", b"\x05"  # the kinds of datagrams
_OUT = struct.Struct("<IBB")  # shared id of the server, time left in LEFT_NS, status
LEFT_NS = 200_000_000
MOST_OUT = (MAX_DATAGRAM - 1) // _OUT.size


def clock_ms() -> int:
    """Unix time; of the one clock that all machines read, as far as it has not stepped."""
    return CLOCK.unix_ms()


def verdicts_datagrams(rows: Sequence[Ejection]) -> list[bytes]:
    """The datagrams that tell what is ejected, by shared ids."""
    packed = [_OUT.pack(v.endpoint, max(1, min(255, v.left_ns // LEFT_NS)), v.reason) for v in rows]
    return [OUT + b"".join(packed[n : n + MOST_OUT]) for n in range(0, len(packed), MOST_OUT)]


class FleetState:
    """Hands the module what peers tell of tenants and servers, and tells them what it decides to."""

    def __init__(self, peers: Peers, outside: Outside) -> None:
        self._peers, self._outside, self._offsets = peers, outside, Offsets()
        peers.handle(OUT, self._on_verdicts)
        peers.handle(RATES, self._on_rates)
        outside.on_verdicts, outside.on_reports = self._tell_verdicts, self._tell_rates

    def _tell_verdicts(self, peer: int, rows: Sequence[Ejection]) -> None:
        for data in verdicts_datagrams(rows):
            self._peers.send(peer, data)

    def _tell_rates(self, peer: int, reports: tuple[TenantReport, ...]) -> None:
        self._peers.send(peer, RATES + encode_reports(reports, clock_ms()))

    def _on_verdicts(self, sender: int, data: bytes) -> bool:
        if not data or len(data) % _OUT.size:
            return False
        rows = [Ejection(n, left * LEFT_NS, Status(status)) for n, left, status in _OUT.iter_unpack(data)
                if status in Status._value2member_map_]  # fmt: skip
        self._outside.peer_verdicts(sender, rows)
        return True

    def _on_rates(self, sender: int, data: bytes) -> bool:
        now_ms = clock_ms()
        shifted = decode_reports(data, now_ms + HALF_RANGE_MS)
        if shifted:
            now_ms -= self._offsets.offset_ms(sender, behind_ms(shifted), time.monotonic())
        reports = decode_reports(data, now_ms)
        if reports is not None:
            self._outside.tenant_reports(reports)
        return reports is not None

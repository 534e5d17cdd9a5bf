"""How far each peer's Unix clock is from this machine's, by what its datagrams carry.

All machines read one clock, and then the offset is 0 and the age of a report is what the stamps say: what lay
unread in a stopped process is old. But a clock may step, here or there, and two sidecars may go by its time
from before and after. A peer whose datagrams are all impossibly early or late for SETTLE_S goes by another
clock, and is read by that from then on. A few late ones, as after a stop, are followed by timely ones, which
change nothing."""

from __future__ import annotations

from dataclasses import dataclass

from shuntlead.interface import TenantReport
from shuntlead.quotas import REPORT_LIFETIME_NS

SETTLE_S = 2.0
EARLY_MS, LATE_MS = (
    1_000,
    REPORT_LIFETIME_NS // 1_000_000,
)  # of a datagram by the same clock; a later one is of no use
HALF_RANGE_MS = 1 << 30  # stamps wrap: so far from now in either direction they can be told apart


@dataclass
class _Peer:
    offset_ms: int = 0  # its clock is so far behind this one
    other_ms: int = 0  # the least by which its datagrams were off since `other_since_s`
    other_since_s: float | None = None  # monotonic; None: its last datagram was timely


class Offsets:
    def __init__(self) -> None:
        self._peers: dict[int, _Peer] = {}

    def offset_ms(self, sender: int, behind_ms: int, now_s: float) -> int:
        """What to take off this machine's clock to read a datagram of this sender. `behind_ms`: how far its
        latest stamp is behind this machine's clock; `now_s`: monotonic time."""
        peer = self._peers.setdefault(sender, _Peer())
        if -EARLY_MS <= behind_ms - peer.offset_ms <= LATE_MS:
            peer.other_since_s = None
        elif peer.other_since_s is None:
            peer.other_since_s, peer.other_ms = now_s, behind_ms
        else:
            peer.other_ms = min(peer.other_ms, behind_ms)
            if now_s >= peer.other_since_s + SETTLE_S:
                peer.offset_ms, peer.other_since_s = peer.other_ms, None
                if -EARLY_MS <= peer.offset_ms <= LATE_MS:  # it goes by the one clock again
                    peer.offset_ms = 0
        return peer.offset_ms


def behind_ms(shifted: tuple[TenantReport, ...]) -> int:
    """How far the latest stamp is behind the clock, by reports read with the clock HALF_RANGE_MS ahead."""
    return min(report.age_ns for report in shifted) // 1_000_000 - HALF_RANGE_MS

"""Estimates how far each peer's Unix clock differs from this machine's, from the timestamps in its datagrams.

Normally the clocks of all machines agree. Then the offset is 0, and the age of a report follows from its
timestamp, so that reports that waited unread while a process was stopped are recognised as old. A clock may
be stepped on either machine, though, so that two sidecars use its time from before and from after the step.
If all datagrams of a peer are impossibly early or late for SETTLE_S, the peer's clock is taken to differ, and
its datagrams are read with that offset from then on. A few late datagrams, as when a stopped process resumes,
are followed by timely ones and do not change the offset."""

from __future__ import annotations

from dataclasses import dataclass

from shuntlead.interface import TenantReport
from shuntlead.quotas import REPORT_LIFETIME_NS

SETTLE_S = 2.0
# Bounds if the clocks agree; a later report is ignored.
EARLY_MS, LATE_MS = 1_000, REPORT_LIFETIME_NS // 1_000_000
HALF_RANGE_MS = 1 << 30  # timestamps wrap around: they are unambiguous within this distance of now


@dataclass
class _Peer:
    offset_ms: int = 0  # how far the peer's clock is behind this machine's
    candidate_ms: int = 0  # the smallest offset of its datagrams since `candidate_since_s`
    candidate_since_s: float | None = None  # monotonic time; None: its last datagram was timely


class ClockOffsets:
    """The current offset of each peer's clock, by the peer's number."""

    def __init__(self) -> None:
        self._peers: dict[int, _Peer] = {}

    def offset_ms(self, sender: int, behind_ms: int, now_s: float) -> int:
        """What to subtract from this machine's clock to read a datagram of this sender. `behind_ms`: how far
        the datagram's latest timestamp is behind this machine's clock. `now_s`: monotonic time."""
        peer = self._peers.setdefault(sender, _Peer())
        if -EARLY_MS <= behind_ms - peer.offset_ms <= LATE_MS:
            peer.candidate_since_s = None
        elif peer.candidate_since_s is None:
            peer.candidate_since_s, peer.candidate_ms = now_s, behind_ms
        else:
            peer.candidate_ms = min(peer.candidate_ms, behind_ms)
            if now_s >= peer.candidate_since_s + SETTLE_S:
                peer.offset_ms, peer.candidate_since_s = peer.candidate_ms, None
                if -EARLY_MS <= peer.offset_ms <= LATE_MS:  # the clocks agree again
                    peer.offset_ms = 0
        return peer.offset_ms


def behind_ms(shifted: tuple[TenantReport, ...]) -> int:
    """How far the latest timestamp is behind the clock, given reports that were decoded with the clock set
    HALF_RANGE_MS ahead."""
    return min(report.age_ns for report in shifted) // 1_000_000 - HALF_RANGE_MS

"""Spread of tenants' rates between sidecars: real `Quotas`, real bytes, and how many reports each gets."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

from anisespool.fleet.shared_state import RATES
from shuntlead.peer_codec import decode_reports, encode_reports, max_reports
from shuntlead.quotas import MIN_REPORTED_SHARE, REPORT_INTERVAL_NS, REPORT_LIFETIME_NS, Quotas
from tests.scale_fleet.datagrams import HEADER_BYTES
from tests.support import settings

RATE = 10.0  # of each tenant at each sidecar; equal, so that the fleet's sum is known
START_MS = 1 << 20


class ReportSpread(NamedTuple):
    size: int
    tenants: int
    reports: int  # in a datagram
    bytes_s: float  # sent by a sidecar
    few_s: float  # until half of the sidecars have enough reports; infinite if never
    heard: float  # mean share of the others with a fresh report at the end


def spread(size: int, tenants: int, seed: int, for_s: float = REPORT_LIFETIME_NS / 1e9 + 0.5) -> ReportSpread:
    """All tenants are near their quotas, so each sidecar reports to one other per REPORT_INTERVAL_NS."""
    draw = random.Random(seed)
    rows = [{"share": 1.0, "quota-per-s": RATE * size}] * tenants
    fleet = [Quotas(settings(fleet_size=size, tenants=rows)._replace(self_index=n)) for n in range(size)]
    for each in fleet:
        each.set_other_rates(1 << 62, (RATE,) * tenants)
    due = [(draw.randrange(REPORT_INTERVAL_NS), n) for n in range(size)]
    heapq.heapify(due)
    most, enough, knows, size_sum, sent = (
        max_reports(tenants),
        MIN_REPORTED_SHARE * (size - 1),
        set[int](),
        0,
        0,
    )
    few_s = float("inf")
    while due[0][0] < for_s * 1e9:
        now, me = due[0]
        heapq.heapreplace(due, (now + REPORT_INTERVAL_NS, me))
        peer = (me + draw.randrange(1, size)) % size
        clock_ms = START_MS + now // 1_000_000
        data = encode_reports(fleet[me].reports(now, most), clock_ms)
        size_sum, sent = size_sum + len(RATES + data) + HEADER_BYTES, sent + 1
        fleet[peer].add_reports(now, decode_reports(data, clock_ms) or ())
        if len(fleet[peer]._reports) >= enough:
            knows.add(peer)
            few_s = min(few_s, now / 1e9) if len(knows) * 2 >= size else few_s
    heard = [len(each.fresh_reports(int(for_s * 1e9))) / (size - 1) for each in fleet[:500]]
    return ReportSpread(
        size, tenants, most, size_sum / sent * 1e9 / REPORT_INTERVAL_NS, few_s, sum(heard) / len(heard)
    )

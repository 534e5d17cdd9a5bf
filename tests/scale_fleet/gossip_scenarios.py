"""Rows of figures on the messages between sidecars."""

from __future__ import annotations

import statistics

from shuntlead.peer_codec import max_reports
from shuntlead.quotas import MIN_REPORTED_SHARE, REPORT_INTERVAL_NS, REPORT_LIFETIME_NS
from tests.scale_fleet import collisions, datagrams, tenants
from tests.scale_fleet.lines import BUDGET_BYTES_S
from tests.scale_fleet.tables import Row, over

LOSSES = 0.0, 0.01, 0.2
EJECTIONS = 40  # simulated runs
TENANTS_PLAYED = {1: 2275, 8: 910, 40: 455}  # tenants -> the largest fleet simulated, as runs are slow


def talk(size: int, seed: int) -> list[Row]:
    it = datagrams.talk(size, seed)
    figures = {"sent/s": it.sent, "B/s sent": it.sent_bytes, "B/s heard, 99 in 100": it.heard_p99_bytes,
               "B/s heard, most": it.heard_most_bytes, "part of sightings useful": it.useful,
               "s between sightings of a server": it.again_s}  # fmt: skip
    broken = over({"13 KB/s": it.heard_most_bytes + it.sent_bytes > BUDGET_BYTES_S})
    return [Row("g. sightings and waits:", "20 datagrams a second", size, figures, broken)]


def ejections(size: int, seed: int) -> list[Row]:
    rows = []
    for loss in LOSSES:
        results = [datagrams.eject(size, loss, seed * EJECTIONS + n) for n in range(EJECTIONS)]
        reporters = statistics.mean(it.reporters for it in results)
        zone = statistics.mean(it.zone_heard_bytes for it in results)
        figures = {"99 in 100 (s)": statistics.median(it.p99_s for it in results),
                   "last (s)": statistics.median(it.last_s for it in results),
                   "most (s)": max(it.last_s for it in results), "tellers": reporters,
                   "B heard": statistics.mean(it.heard_bytes for it in results),
                   "KB heard in 0.5 s, a zone at once": zone / 1000,
                   "KB sent one by one": results[0].unicast_bytes / 1000}  # fmt: skip
        rows.append(Row("g. verdict of a quorum:", f"{loss:.0%} lost", size, figures,
                        over({"13 KB/s in a zone's loss": 2 * zone > BUDGET_BYTES_S})))  # fmt: skip
    return rows


def warm(size: int, seed: int) -> list[Row]:
    rows = []
    for loss in LOSSES:
        it = datagrams.warm_start(size, loss, seed)
        figures = {"datagrams an answer": it.parts, "B an answer": it.answer_bytes,
                   "part of the list": it.covered, "KB heard at a start": it.asked_bytes / 1000,
                   "starts with a quorum": it.ready, "drained taken for up": it.taken_for_up}  # fmt: skip
        broken = over({"list cut": it.covered < 1, "quorum in 0.16 s, 99 in 100": it.ready < 0.99})
        rows.append(Row("g. warm start:", f"{loss:.0%} lost", size, figures, broken))
    return rows


def rates(size: int, seed: int, count: int) -> list[Row]:
    """Not simulated in large fleets, where the upper bound `at_most` on fresh reports decides."""
    at_most = min(1.0, REPORT_LIFETIME_NS // REPORT_INTERVAL_NS * max_reports(count) / (size - 1))
    figures = {"reports a datagram": float(max_reports(count)), "part heard at most": at_most}
    broken = at_most < MIN_REPORTED_SHARE
    if size <= TENANTS_PLAYED[count]:
        it = tenants.spread(size, count, seed)
        figures |= {"part heard": it.heard, "s to a quarter": it.few_s, "B/s sent": it.bytes_s}
        broken = it.heard < MIN_REPORTED_SHARE
    else:
        figures |= dict.fromkeys(("part heard", "s to a quarter", "B/s sent"), float("nan"))
    case = f"{count} tenants near their quota"
    return [Row("g. tenants' rates:", case, size, figures, over({"a quarter heard": broken}))]


def ids(size: int, seed: int) -> list[Row]:
    it = collisions.count(size, seed)
    figures = {"likelihood of two alike": it.likely, "pairs seen": it.pairs, "pairs expected": it.expected,
               "among names": it.names}  # fmt: skip
    return [Row("g. shared ids:", "32 bits", size, figures)]

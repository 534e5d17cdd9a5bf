"""Fleet-wide tenant limits: `tenants[].quota-per-s` holds across all sidecars, and each sees only its own
part.

Each sidecar tells what its tenants ask of it, and passes on what it heard of the others (gossip; each report
keeps its own age). A tenant's fleet-wide rate is the sum of the reports that are fresh, with the mean of them
for each sidecar unheard of: with no report at all, its own rate times the fleet's size. Where that is over
the quota every sidecar admits the same part, quota / rate, so the sum is the quota however the traffic is
spread.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

from shuntlead.interface import Settings, TenantReport
from shuntlead.rate import Rate

HALF_NS = 1_000_000_000  # memory of a tenant's rate: short against a burst, long against chance
FRESH_NS = 3_000_000_000  # the declared bound on staleness: an older report is as none
TELL_NS = 200_000_000  # between two reports, each to one peer: 5 datagrams a second
NEAR = 0.7  # part of a quota from which on reports are sent: far below it there is nothing to share
PARTS_NS = 50_000_000  # a request does not wait for the sum over a large fleet
TIGHTEN, LOOSEN = 0.9, 1.01  # of what is admitted over the quotas, each PARTS_NS: under strain, and else
LEAST_PART = 0.1  # admitted of a tenant however far over: an estimate may be wrong
FEW, FEW_PART = 0.25, 0.5  # with reports of fewer of the others it may be far off, and more is admitted


class Quotas:
    def __init__(self, settings: Settings) -> None:
        self._self, self._size = settings.self_index, settings.fleet_size
        self.quotas = [tenant.quota_per_s for tenant in settings.tenants]
        self._asked = [Rate(HALF_NS) for _ in self.quotas]
        self._beside: tuple[int, tuple[float, ...]] = (0, ())  # of an upgrade's other process, until when
        self._slack = 1e9  # over the quotas, as far as the servers bear it
        self._credit = [0.0] * len(self.quotas)  # admitted are whole requests
        self._parts: tuple[int, list[float]] = (-PARTS_NS, [])  # as last reckoned
        self._heard: dict[int, tuple[int, tuple[float, ...]]] = {}  # sidecar -> when measured, its rates

    def take(self, now: int, tenant: int) -> None:
        """A request of it has come."""
        if tenant < len(self._asked):
            self._asked[tenant].add(now)

    def here(self, now: int) -> tuple[float, ...]:
        """Requests a second that each tenant asks of this process."""
        return tuple(rate.read(now) * 1e9 for rate in self._asked)

    def own(self, now: int) -> tuple[float, ...]:
        """The same of this sidecar: in an upgrade, of both its processes."""
        until, beside = self._beside
        rates = self.here(now)
        return tuple(a + b for a, b in zip(rates, beside, strict=True)) if now < until else rates

    def hear_beside(self, until: int, rates: tuple[float, ...]) -> None:
        if len(rates) == len(self.quotas):
            self._beside = until, rates

    def hear(self, now: int, reports: Iterable[TenantReport]) -> None:
        """What sidecars were asked for; of two reports of one the later holds, whoever passed it on."""
        for report in reports:
            at = now - max(0, report.age_ns)
            known = self._heard.get(report.sidecar, (-FRESH_NS, ()))[0]
            sound = report.sidecar != self._self and report.sidecar < self._size
            if sound and at > known and now - at < FRESH_NS and len(report.rates) == len(self.quotas):
                self._heard[report.sidecar] = at, report.rates

    def fresh(self, now: int) -> dict[int, tuple[int, tuple[float, ...]]]:
        self._heard = {n: row for n, row in self._heard.items() if now - row[0] < FRESH_NS}
        return self._heard

    def fleet(self, now: int) -> list[float]:
        """Requests a second that each tenant asks of the whole fleet, as far as is known."""
        rows = [self.own(now), *(rates for _, rates in self.fresh(now).values())]
        return [sum(column) / len(rows) * self._size for column in zip(*rows, strict=True)]

    def part(self, now: int, tenant: int, strained: bool) -> float:
        """The part of a tenant's requests that is admitted: what its quota has room for, and more by as much
        as the servers have borne of late. With all or nothing by the moment's strain, a flood comes
        and goes with the lag of the servers' reports, and each time fills their queues."""
        passed, parts = now - self._parts[0], self._parts[1]
        if passed >= PARTS_NS:
            pairs = zip(self.fleet(now), self.quotas, strict=True)
            over = [max(1.0, rate / quota) if quota > 0 else 1.0 for rate, quota in pairs]
            steps = min(passed / PARTS_NS, 10.0)
            slack = min(self._slack, max(over)) * (TIGHTEN if strained else LOOSEN) ** steps
            self._slack = max(1.0, slack)
            least = LEAST_PART if len(self._heard) >= FEW * (self._size - 1) else FEW_PART
            parts = [min(1.0, max(least, self._slack / times)) for times in over]
            self._parts = now, parts
        return parts[tenant]

    def admit(self, now: int, tenant: int, strained: bool) -> bool:
        """Whether this request is among the part. Evenly, not by a draw: that alone would be 5 % off."""
        if tenant >= len(self.quotas) or (part := self.part(now, tenant, strained)) >= 1.0:
            return True
        self._credit[tenant] += part
        admitted = self._credit[tenant] >= 1.0
        self._credit[tenant] -= admitted
        return admitted

    def is_near(self, now: int) -> bool:
        return any(rate > NEAR * quota > 0 for rate, quota in zip(self.fleet(now), self.quotas, strict=True))

    def reports(self, now: int, most: int) -> tuple[TenantReport, ...]:
        """This sidecar's own and the latest others, for a peer."""
        others = nlargest(most - 1, self.fresh(now).items(), key=lambda item: item[1][0])
        return (TenantReport(self._self, 0, self.own(now)),
                *(TenantReport(n, now - at, rates) for n, (at, rates) in others))  # fmt: skip

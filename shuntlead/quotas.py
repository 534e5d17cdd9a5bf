"""Fleet-wide tenant quotas: `tenants[].quota-per-s` applies to all sidecars together, while each sees only
its own part of the traffic.

Each sidecar reports the request rates of its tenants and passes on the reports of others (gossip; each report
keeps its own age). A tenant's fleet-wide rate is the sum of the fresh reports, counting their mean for each
sidecar without one: if there is no report at all, this sidecar's rate times the fleet size. Where it exceeds
the quota, every sidecar admits the same share, quota / rate, so that the sum is the quota however the traffic
is spread.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

from shuntlead.interface import Settings, TenantReport
from shuntlead.rate import Rate

RATE_HALF_LIFE_NS = 1_000_000_000  # short enough to follow a burst, long enough to average out chance
REPORT_LIFETIME_NS = 3_000_000_000  # the documented bound on staleness: older reports are ignored
REPORT_INTERVAL_NS = 200_000_000  # between two reports, each to one peer: 5 datagrams per second
REPORT_THRESHOLD = 0.7  # share of a quota from which reports are sent; far below it they change nothing
SHARES_REFRESH_NS = 50_000_000  # so that not every request waits for the sum over a large fleet
# Factors on the admitted multiple of the quotas, once per SHARES_REFRESH_NS: while the servers are
# overloaded, and otherwise.
SLACK_DECREASE, SLACK_INCREASE = 0.9, 1.01
MIN_ADMITTED_SHARE = 0.1  # of any tenant's requests, however far over its quota: the estimate may be wrong
# With reports from a smaller share of the other sidecars the estimate may be far off, and at least this share
# of the requests is admitted.
MIN_REPORTED_SHARE, MIN_ADMITTED_SHARE_UNINFORMED = 0.25, 0.5


class Quotas:
    """The rates of all tenants, here and at other sidecars, and the share of each that is admitted."""

    def __init__(self, settings: Settings) -> None:
        self._self_index, self._fleet_size = settings.self_index, settings.fleet_size
        self.quotas = [tenant.quota_per_s for tenant in settings.tenants]
        self._rates = [Rate(RATE_HALF_LIFE_NS) for _ in self.quotas]
        # Rates at the other process of this sidecar during an upgrade, and until when they are valid.
        self._other_process: tuple[int, tuple[float, ...]] = (0, ())
        self._slack = 1e9  # multiple of their quotas that tenants may use at present
        self._credit = [0.0] * len(self.quotas)  # sum of admitted shares not yet used for a whole request
        self._shares: tuple[int, list[float]] = (-SHARES_REFRESH_NS, [])  # when computed, share per tenant
        self._reports: dict[int, tuple[int, tuple[float, ...]]] = {}  # sidecar -> (when measured, rates)

    def on_request(self, now: int, tenant: int) -> None:
        """Counts a request of the tenant."""
        if tenant < len(self._rates):
            self._rates[tenant].add(now)

    def process_rates(self, now: int) -> tuple[float, ...]:
        """Requests per second of each tenant at this process."""
        return tuple(rate.read(now) * 1e9 for rate in self._rates)

    def sidecar_rates(self, now: int) -> tuple[float, ...]:
        """The same for this sidecar: during an upgrade, the sum over both of its processes."""
        until, other = self._other_process
        rates = self.process_rates(now)
        return tuple(a + b for a, b in zip(rates, other, strict=True)) if now < until else rates

    def set_other_rates(self, until: int, rates: tuple[float, ...]) -> None:
        """Sets the rates at the other process of an upgrade, valid until `until`."""
        if len(rates) == len(self.quotas):
            self._other_process = until, rates

    def add_reports(self, now: int, reports: Iterable[TenantReport]) -> None:
        """Stores reports; of two on the same sidecar the later measurement is kept, whoever passed it on."""
        for report in reports:
            at = now - max(0, report.age_ns)
            known_at = self._reports.get(report.sidecar, (-REPORT_LIFETIME_NS, ()))[0]
            valid = report.sidecar != self._self_index and report.sidecar < self._fleet_size
            if (
                valid
                and at > known_at
                and now - at < REPORT_LIFETIME_NS
                and len(report.rates) == len(self.quotas)
            ):
                self._reports[report.sidecar] = at, report.rates

    def fresh_reports(self, now: int) -> dict[int, tuple[int, tuple[float, ...]]]:
        """The reports within their lifetime; drops all others."""
        self._reports = {n: row for n, row in self._reports.items() if now - row[0] < REPORT_LIFETIME_NS}
        return self._reports

    def fleet_rates(self, now: int) -> list[float]:
        """Estimated requests per second of each tenant over the whole fleet."""
        rows = [self.sidecar_rates(now), *(rates for _, rates in self.fresh_reports(now).values())]
        return [sum(column) / len(rows) * self._fleet_size for column in zip(*rows, strict=True)]

    def admitted_share(self, now: int, tenant: int, overloaded: bool) -> float:
        """The share of a tenant's requests that is admitted: its quota, and more by a factor that the servers
        have recently sustained. If the excess were admitted or refused as a whole by their present load, it
        would switch on and off with the delay of their reports and fill their queues each time."""
        elapsed, shares = now - self._shares[0], self._shares[1]
        if elapsed >= SHARES_REFRESH_NS:
            pairs = zip(self.fleet_rates(now), self.quotas, strict=True)
            excesses = [max(1.0, rate / quota) if quota > 0 else 1.0 for rate, quota in pairs]
            steps = min(elapsed / SHARES_REFRESH_NS, 10.0)
            slack = (
                min(self._slack, max(excesses)) * (SLACK_DECREASE if overloaded else SLACK_INCREASE) ** steps
            )
            self._slack = max(1.0, slack)
            min_share = (
                MIN_ADMITTED_SHARE
                if len(self._reports) >= MIN_REPORTED_SHARE * (self._fleet_size - 1)
                else MIN_ADMITTED_SHARE_UNINFORMED
            )
            shares = [min(1.0, max(min_share, self._slack / excess)) for excess in excesses]
            self._shares = now, shares
        return shares[tenant]

    def admit(self, now: int, tenant: int, overloaded: bool) -> bool:
        """Whether this request is within the admitted share. Requests are admitted at even intervals: a
        random choice would deviate by 5 %."""
        if tenant >= len(self.quotas) or (share := self.admitted_share(now, tenant, overloaded)) >= 1.0:
            return True
        self._credit[tenant] += share
        admitted = self._credit[tenant] >= 1.0
        self._credit[tenant] -= admitted
        return admitted

    def should_report(self, now: int) -> bool:
        """Whether any tenant is near its quota."""
        return any(
            rate > REPORT_THRESHOLD * quota > 0
            for rate, quota in zip(self.fleet_rates(now), self.quotas, strict=True)
        )

    def reports(self, now: int, limit: int) -> tuple[TenantReport, ...]:
        """At most `limit` reports for a peer: this sidecar's own and the latest of the others."""
        others = nlargest(limit - 1, self.fresh_reports(now).items(), key=lambda item: item[1][0])
        return (TenantReport(self._self_index, 0, self.sidecar_rates(now)),
                *(TenantReport(n, now - at, rates) for n, (at, rates) in others))  # fmt: skip

"""Fleet-wide tenant quotas: exchanges the tenants' rates with peers and decides which requests exceed a
quota.

This module keeps the Quotas and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.members import Members
from shuntlead.peer_codec import max_reports
from shuntlead.quotas import REPORT_INTERVAL_NS, Quotas
from shuntlead.records import Pending
from shuntlead.shedding import Shedding


class Tenants:
    """Connects the Quotas with the requests, the peers and the timers."""

    def __init__(self, ctx: Context, shedding: Shedding, members: Members) -> None:
        self._ctx, self._shedding, self._members = ctx, shedding, members
        self._quotas = Quotas(ctx.settings)

    def start(self) -> None:
        """Starts the timer of the reports to peers, at a random time within its interval."""
        s = self._ctx.settings
        if s.fleet_quotas and s.may_message and s.fleet_size > 1:
            self._ctx.set_timer("quotas", int(self._ctx.random.uniform(0, REPORT_INTERVAL_NS)))

    def on_request(self, tenant: int) -> None:
        self._quotas.on_request(self._ctx.now, tenant)

    def is_over_quota(self, req: Pending) -> bool:
        """Whether this request exceeds its tenant's quota. Quotas apply in full only while the servers are
        overloaded: otherwise the excess takes nothing from the tenants within theirs."""
        tenant, now = req.event.tenant, self._ctx.now
        if not self._ctx.settings.fleet_quotas or req.attempts:
            return False
        if self._quotas.admit(now, tenant, not self._shedding.can_serve_without(0.0)):
            return False
        excess = self._quotas.fleet_rates(now)[tenant] / self._quotas.quotas[tenant]
        self._ctx.log("quota", f"tenant {tenant} sends {excess:.1f} times its fleet-wide quota")
        return True

    def send_reports(self) -> None:
        """Sends the reports to a random peer, on a timer, while some tenant is near its quota."""
        ctx, s = self._ctx, self._ctx.settings
        ctx.set_timer("quotas", REPORT_INTERVAL_NS)
        if self._quotas.should_report(ctx.now):
            peer = s.self_index + ctx.random.randrange(1, s.fleet_size)
            reports = self._quotas.reports(ctx.now, max_reports(len(s.tenants)))
            ctx.emit(api.SendReports(peer % s.fleet_size, reports))

    def add_reports(self, event: api.TenantReports) -> None:
        self._quotas.add_reports(self._ctx.now, event.reports)

    def set_other_rates(self, event: api.OtherProcessRates) -> None:
        self._quotas.set_other_rates(self._ctx.now + event.left_ns, event.rates)

    def share_reports(self, event: api.TakeReports) -> None:
        """Emits all rates and reports, for the other process of an upgrade or for an operator."""
        now = self._ctx.now
        reports = self._quotas.reports(now, self._ctx.settings.fleet_size)
        process_rates, fleet_rates = self._quotas.process_rates(now), tuple(self._quotas.fleet_rates(now))
        self._ctx.emit(
            api.ShareReports(process_rates, reports, fleet_rates, self._members.ejections.active(now))
        )

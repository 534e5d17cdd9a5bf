"""Tenants' quotas for the fleet as a whole: what is told and heard of their rates, and who is over.

It keeps the Quotas and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.members import Members
from shuntlead.peer_codec import most_reports
from shuntlead.quotas import TELL_NS, Quotas
from shuntlead.records import Pending
from shuntlead.shedding import Shedding


class Tenants:
    def __init__(self, desk: Desk, shedding: Shedding, members: Members) -> None:
        self._desk, self._shedding, self._members = desk, shedding, members
        self._quotas = Quotas(desk.settings)

    def start(self) -> None:
        s = self._desk.settings
        if s.fleet_quotas and s.may_message and s.fleet_size > 1:
            self._desk.set_timer("quotas", int(self._desk.random.uniform(0, TELL_NS)))

    def asked(self, tenant: int) -> None:
        self._quotas.take(self._desk.now, tenant)

    def is_over(self, req: Pending) -> bool:
        """Whether this is beyond its tenant's quota. Refused only where servers are strained:
        else it takes nothing from those within theirs."""
        tenant, now = req.event.tenant, self._desk.now
        if not self._desk.settings.fleet_quotas or req.attempts:
            return False
        if self._quotas.admit(now, tenant, not self._shedding.can_spare(0.0)):
            return False
        times = self._quotas.fleet(now)[tenant] / self._quotas.quotas[tenant]
        self._desk.log("quota", f"tenant {tenant} asks for {times:.1f} of its quota, fleet-wide")
        return True

    def tell(self) -> None:
        desk, s = self._desk, self._desk.settings
        desk.set_timer("quotas", TELL_NS)
        if self._quotas.is_near(desk.now):
            peer = s.self_index + desk.random.randrange(1, s.fleet_size)
            reports = self._quotas.reports(desk.now, most_reports(len(s.tenants)))
            desk.act(api.TellReports(peer % s.fleet_size, reports))

    def hear(self, event: api.TenantReports) -> None:
        self._quotas.hear(self._desk.now, event.reports)

    def hear_beside(self, event: api.Beside) -> None:
        self._quotas.hear_beside(self._desk.now + event.left_ns, event.rates)

    def share(self, event: api.TakeReports) -> None:
        now = self._desk.now
        reports = self._quotas.reports(now, self._desk.settings.fleet_size)
        here, fleet = self._quotas.here(now), tuple(self._quotas.fleet(now))
        self._desk.act(api.ShareReports(here, reports, fleet, self._members.verdicts.standing(now)))

"""How strained the endpoints are, by the waits and by their reports, and which requests are refused for it.

It keeps its own rates, and writes the part of an endpoint's cores in use."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp2, sqrt

from shuntlead.context import Desk
from shuntlead.estimates import Estimates
from shuntlead.rate import Rate
from shuntlead.records import Endpoint, Pending

CALM, ROOM = 0.5, 0.25  # share of the target that answers may take; part of what idle ones leave of it
STRAIN_ALPHA, STEEP = 0.3, 0.6  # waits are learned fast, and refused in full well before all is late
MOST_STRAIN = 0.95  # some requests go out whatever the waits, or nothing would be learned
BUSY_ALPHA, SPARE = 0.1, 0.75  # endpoints whose cores are in use for a smaller part surely keep up
CHANCE = 4.0  # open requests a short memory may easily have missed
EXCESS_ROOM, SHARE_SLACK = 0.5, 1.5  # room for a tenant beyond its share; usage differs by that much anyhow


class Shedding:
    def __init__(self, desk: Desk, estimates: Estimates) -> None:
        self._desk, self._estimates, s = desk, estimates, desk.settings
        self._calm = CALM + (1 - CALM) * min(c.late_worth for c in s.classes)  # late is no total loss
        self._tenant_rates = [Rate(desk.forget_ns) for _ in s.tenants]
        self.answered = Rate(desk.tightest_ns)  # in time
        self._strain, self._strain_at = 0.0, 0  # as the usual share of the target, of late, all attempts
        self._reported = "util" in s.report_columns
        # Mean part of the endpoints' cores in use, by their reports of late. Taken for full before
        # any has come, a process that has just started refuses what idle endpoints would serve.
        self.busy, self._reports = 0.0 if self._reported else 1.0, 0
        self._util_column = (*s.report_columns, "util").index("util")

    def asked(self, tenant: int) -> None:
        if tenant < len(self._tenant_rates):
            self._tenant_rates[tenant].add(self._desk.now)

    def on_report(self, e: Endpoint, load: tuple[float, ...]) -> None:
        if self._util_column < len(load) and 0 <= load[self._util_column] <= 2:
            e.util = util = min(load[self._util_column], 1.0)
            self._see_busy(util)

    def timed_out(self, e: Endpoint) -> None:
        """Reports come with answers, and of endpoints that are swamped few come. By the answers alone
        the fleet looks half idle while most attempts time out; so the mean is over attempts."""
        if e.util:
            self._see_busy(e.util)

    def _see_busy(self, util: float) -> None:
        self._reports += 1
        self.busy += max(BUSY_ALPHA, 1 / self._reports) * (util - self.busy)

    def strain(self, sample: float = 0.0, alpha: float = 0.0) -> float:
        """Share of their targets that attempts took of late, moved toward a sample; it fades with time."""
        now = self._desk.now
        strain = self._strain * exp2((self._strain_at - now) / (4 * self._desk.forget_ns))
        self._strain, self._strain_at = strain + alpha * (sample - strain), now
        return self._strain

    def is_swamped(self, e: Endpoint) -> bool:
        """At an endpoint whose cores are all in use a slow answer is queueing, no loss. Given up, it
        costs that work, a new connection and the next attempt's work: a fleet collapses under its repeats."""
        return self._reported and max(e.util, self.busy) >= SPARE

    def can_spare(self, share: float) -> bool:
        """Whether the endpoints could serve what is asked with this share of them fewer: by their reports, or
        where they report no cores, by the waits."""
        used = self.busy if self._reported else SPARE * self.strain() / self._calm
        return used < SPARE * (1 - share)

    def too_busy(self, req: Pending, open_now: int, pending: Iterable[Pending]) -> bool:
        """`open_now`: of the pending ones, those not yet answered. Past capacity all queues grow
        until every answer is late."""
        desk, age = self._desk, self._desk.now - self._desk.started
        if self.busy < SPARE:  # One sidecar's burst, or its few slow answers, is no overload
            return False
        if age <= desk.tightest_ns:  # a young sidecar has seen too few answers to know their rate
            return False
        part = EXCESS_ROOM if self._is_excess(req.event.tenant) else 1.0
        # At a sidecar that sends little the room never fills. It refuses by the waits it sees.
        idle = self._estimates.idle
        calm = min(max(self._calm, idle + (1 - idle) * ROOM), MOST_STRAIN)
        busy = desk.random.random() * part < min((self.strain() - calm) / (1 - calm) / STEEP, MOST_STRAIN)
        # By Little's law, with more requests open than (answers in time per second) x (time in the system)
        # the last would wait too long. Beside that, a deviation of chance, and what a short memory hides.
        rate = self.answered.read(desk.now) / (1 - exp2(-age / self.answered.half_ns))
        room = rate * desk.tightest_ns * calm
        room = (room + sqrt(room) + CHANCE) * part
        if not busy and open_now > room:  # What is stuck at a stalled endpoint would fill the room
            busy = sum(not r.done and desk.now < r.aim for r in pending) > room
        if busy:
            waits = f"waits {self.strain():.0%} of targets, {self.busy:.0%} of cores in use"
            desk.log("refusing", f"{open_now} open, room {room:.0f}, {waits}")
        return busy

    def _is_excess(self, tenant: int) -> bool:
        """Whether, by a draw, this falls on what its tenant asks beyond its share. A flood."""
        if tenant >= len(self._tenant_rates):
            return False
        now, share = self._desk.now, self._desk.settings.tenants[tenant].share
        rates = [r.read(now) for r in self._tenant_rates]
        others = sum(rates) - rates[tenant]
        return self._desk.random.random() * rates[tenant] * (1 - share) > others * share * SHARE_SLACK

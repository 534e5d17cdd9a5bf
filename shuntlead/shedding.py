"""Load shedding: measures how overloaded the endpoints are, by response times and by the load that they
report, and decides which requests to refuse for it.

This module keeps its own rates and writes the utilization of Endpoint records."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp2, sqrt

from shuntlead.context import Context
from shuntlead.estimates import Estimates
from shuntlead.rate import Rate
from shuntlead.records import Endpoint, Pending

# Share of the target that response times may use before requests are refused. Where idle endpoints need more,
# a share of what they leave of the target is allowed on top of theirs.
ACCEPTABLE_SHARE, IDLE_HEADROOM = 0.5, 0.25
# Weight of a new sample; and the range above the acceptable share, relative to what remains of the target,
# over which the refused share grows to its maximum: it gets there well before all answers are late.
PRESSURE_ALPHA, FULL_SHED_RANGE = 0.3, 0.6
MAX_PRESSURE = 0.95  # limit of the refused share: without any requests no recovery would be noticed
UTIL_ALPHA, BUSY_UTIL = 0.1, 0.75  # weight of a new sample; below this CPU utilization endpoints keep up
OPEN_ALLOWANCE = 4.0  # open requests allowed beyond the estimate, as a short average misses some
# For requests beyond their tenant's share: the factor on the limit that applies to them, and how far above
# its share a tenant's usage may be by ordinary variation.
EXCESS_TENANT_FACTOR, TENANT_SHARE_SLACK = 0.5, 1.5


class Shedding:
    """The measures of overload, and the decision to refuse requests for it."""

    def __init__(self, ctx: Context, estimates: Estimates) -> None:
        self._ctx, self._estimates, s = ctx, estimates, ctx.settings
        # Higher where late answers keep some of their value.
        self._acceptable_share = ACCEPTABLE_SHARE + (1 - ACCEPTABLE_SHARE) * min(
            c.late_worth for c in s.classes
        )
        self._tenant_rates = [Rate(ctx.half_life_ns) for _ in s.tenants]
        self.in_time_answers = Rate(ctx.min_target_ns)  # answers before their target
        self._pressure, self._pressure_at = 0.0, 0  # recent share of the target used, over all attempts
        self._reports_util = "util" in s.report_columns
        # Mean CPU utilization by recent reports; always 1 if endpoints do not report it. It starts at 0: if
        # they counted as busy before the first report, a process that has just started would refuse what idle
        # endpoints can serve.
        self.utilization, self._reports = 0.0 if self._reports_util else 1.0, 0
        self._util_column = (*s.report_columns, "util").index("util")

    def on_request(self, tenant: int) -> None:
        """Counts a request of the tenant."""
        if tenant < len(self._tenant_rates):
            self._tenant_rates[tenant].add(self._ctx.now)

    def on_report(self, e: Endpoint, load: tuple[float, ...]) -> None:
        """Takes the CPU utilization from a load report."""
        if self._util_column < len(load) and 0 <= load[self._util_column] <= 2:
            e.util = util = min(load[self._util_column], 1.0)
            self._add_utilization(util)

    def on_timeout(self, e: Endpoint) -> None:
        """Counts the last reported utilization once more. Reports come with answers, and saturated endpoints
        answer little: without this the fleet would look half idle while most attempts time out."""
        if e.util:
            self._add_utilization(e.util)

    def _add_utilization(self, util: float) -> None:
        self._reports += 1
        self.utilization += max(UTIL_ALPHA, 1 / self._reports) * (util - self.utilization)

    def pressure(self, sample: float = 0.0, alpha: float = 0.0) -> float:
        """The share of their targets that recent attempts used, after adding a sample; decays with time."""
        now = self._ctx.now
        pressure = self._pressure * exp2((self._pressure_at - now) / (4 * self._ctx.half_life_ns))
        self._pressure, self._pressure_at = pressure + alpha * (sample - pressure), now
        return self._pressure

    def is_saturated(self, e: Endpoint) -> bool:
        """Whether slow answers are due to queueing at a busy endpoint, so that attempts should not time out
        early: giving one up wastes its work and costs a new connection and the work of the next attempt.
        A fleet can collapse under such repeats."""
        return self._reports_util and max(e.util, self.utilization) >= BUSY_UTIL

    def can_serve_without(self, share: float) -> bool:
        """Whether the endpoints could serve the present load without this share of them, by the utilization
        that they report, or by response times where they report none."""
        used = (
            self.utilization if self._reports_util else BUSY_UTIL * self.pressure() / self._acceptable_share
        )
        return used < BUSY_UTIL * (1 - share)

    def should_shed(self, req: Pending, open_now: int, pending: Iterable[Pending]) -> bool:
        """Whether to refuse a request because the endpoints are overloaded: beyond their capacity all queues
        grow until every answer is late. `open_now`: how many of the `pending` are not answered yet."""
        ctx, age = self._ctx, self._ctx.now - self._ctx.started
        if self.utilization < BUSY_UTIL:  # a burst or a few slow answers at one sidecar are no overload
            return False
        if age <= ctx.min_target_ns:  # too few answers so far to know their rate
            return False
        factor = EXCESS_TENANT_FACTOR if self._exceeds_share(req.event.tenant) else 1.0
        # At a sidecar with few requests the limit on open ones is never reached: there response times decide.
        idle = self._estimates.idle_share
        acceptable = min(max(self._acceptable_share, idle + (1 - idle) * IDLE_HEADROOM), MAX_PRESSURE)
        overloaded = ctx.random.random() * factor < min(
            (self.pressure() - acceptable) / (1 - acceptable) / FULL_SHED_RANGE, MAX_PRESSURE
        )
        # By Little's law, with more open requests than (rate of answers in time) x (acceptable time) the last
        # one would wait too long. Added are one standard deviation and a constant for the short average.
        rate = self.in_time_answers.read(ctx.now) / (1 - exp2(-age / self.in_time_answers.half_ns))
        max_open = rate * ctx.min_target_ns * acceptable
        max_open = (max_open + sqrt(max_open) + OPEN_ALLOWANCE) * factor
        if not overloaded and open_now > max_open:  # late requests, stuck at a stalled endpoint, don't count
            overloaded = sum(not r.done and ctx.now < r.target_at for r in pending) > max_open
        if overloaded:
            load = f"answers take {self.pressure():.0%} of their targets, CPU {self.utilization:.0%} in use"
            ctx.log("refusing", f"{open_now} requests open, limit {max_open:.0f}, {load}")
        return overloaded

    def _exceeds_share(self, tenant: int) -> bool:
        """Whether this request is taken to be beyond its tenant's share, at random in proportion to how far
        the tenant exceeds it."""
        if tenant >= len(self._tenant_rates):
            return False
        now, share = self._ctx.now, self._ctx.settings.tenants[tenant].share
        rates = [r.read(now) for r in self._tenant_rates]
        others = sum(rates) - rates[tenant]
        return self._ctx.random.random() * rates[tenant] * (1 - share) > others * share * TENANT_SHARE_SLACK

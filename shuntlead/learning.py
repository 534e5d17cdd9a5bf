"""Passes answers, failures and load reports on to the modules that learn from them: estimates, load shedding,
endpoint selection and the exchange with peers.

This module has no state of its own."""

from __future__ import annotations

from shuntlead.context import Context
from shuntlead.estimates import MAX_SLOWDOWN, Estimates
from shuntlead.interface import Status
from shuntlead.peer_exchange import PeerExchange
from shuntlead.records import Attempt, Endpoint, Pending
from shuntlead.selection import EndpointSelector
from shuntlead.shedding import PRESSURE_ALPHA, Shedding


class Learning:
    """Turns answers, failures and load reports into samples for the other modules."""

    def __init__(self, ctx: Context, estimates: Estimates, shedding: Shedding, selector: EndpointSelector,
                 peer_exchange: PeerExchange) -> None:  # fmt: skip
        self._ctx, self._estimates, self._shedding = ctx, estimates, shedding
        self._selector, self._peer_exchange = selector, peer_exchange

    def on_report(self, e: Endpoint, load: tuple[float, ...]) -> None:
        """Learns from an endpoint's load report."""
        self._shedding.on_report(e, load)
        self._estimates.on_report(e, load)

    def on_answer(self, req: Pending, attempt: Attempt, took_ns: int) -> None:
        """Learns from an answer that took `took_ns`."""
        attempt.endpoint.answered_sent_at = max(attempt.endpoint.answered_sent_at, attempt.sent_at)
        if self._ctx.now <= req.target_at and not req.done:
            self._shedding.in_time_answers.add(self._ctx.now)
        self._estimates.learn_answer(req, took_ns)
        self._selector.answer_rate.add(self._ctx.now, 1 / attempt.ready_weight)
        self.on_attempt_end(req, attempt, took_ns, Status.OK)

    def on_attempt_end(self, req: Pending, attempt: Attempt, took_ns: int, status: Status) -> None:
        """Learns from the end of an attempt after `took_ns`."""
        e, took = attempt.endpoint, float(took_ns)
        before = self._estimates.slowdown(e)
        target_missed = status is Status.TIMEOUT and self._ctx.now >= req.target_at
        share = 1.0 if target_missed else min(took / req.cls.target_ns, 1.0)
        if status not in (Status.OK, Status.CANCELLED):
            self._ctx.log("failing", f"endpoint {e.id}: {status.name}, slowdown {before:.1f}")
            took = max(took, float(req.cls.deadline_ns))  # a fast error must not count as a fast answer
        if status is Status.TIMEOUT and attempt.sent_at > e.answered_sent_at:
            self._shedding.on_timeout(e)  # otherwise its answers report the load
        if status in (Status.OK, Status.TIMEOUT):
            # Samples of endpoints that are slower than their kind count less: one bad endpoint is no
            # overload.
            self._shedding.pressure(
                share, PRESSURE_ALPHA * min(1.0, self._estimates.typical_slowdown(e) / before)
            )
        sample = max(1e-9, min(took / attempt.expected_ns, MAX_SLOWDOWN))
        if self._estimates.learn_attempt(e, req.event.cls, status, sample, before):
            self._peer_exchange.send_to_peers()

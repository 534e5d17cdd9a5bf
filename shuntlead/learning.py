"""What answers, failures and reports teach the rooms that estimate, refuse, draw and talk.

It keeps nothing itself."""

from __future__ import annotations

from shuntlead.context import Desk
from shuntlead.estimates import MAX_SLOWDOWN, Estimates
from shuntlead.interface import Status
from shuntlead.peer_exchange import Talk
from shuntlead.records import Attempt, Endpoint, Pending
from shuntlead.selection import Draw
from shuntlead.shedding import STRAIN_ALPHA, Shedding


class Learning:
    def __init__(self, desk: Desk, estimates: Estimates, shedding: Shedding, choice: Draw,
                 talk: Talk) -> None:  # fmt: skip
        self._desk, self._estimates, self._shedding = desk, estimates, shedding
        self._choice, self._talk = choice, talk

    def reported(self, e: Endpoint, load: tuple[float, ...]) -> None:
        self._shedding.on_report(e, load)
        self._estimates.on_report(e, load)

    def answered(self, req: Pending, attempt: Attempt, took_ns: int) -> None:
        attempt.endpoint.answered = max(attempt.endpoint.answered, attempt.sent)
        if self._desk.now <= req.aim and not req.done:
            self._shedding.answered.add(self._desk.now)
        self._estimates.learn_class(req, took_ns)
        self._choice.carried.add(self._desk.now, 1 / attempt.size)
        self.ended(req, attempt, took_ns, Status.OK)

    def ended(self, req: Pending, attempt: Attempt, took_ns: int, status: Status) -> None:
        e, took = attempt.endpoint, float(took_ns)
        before = self._estimates.slowdown(e)
        spent = status is Status.TIMEOUT and self._desk.now >= req.aim
        share = 1.0 if spent else min(took / req.cls.target_ns, 1.0)
        if status not in (Status.OK, Status.CANCELLED):
            self._desk.log("failing", f"endpoint {e.id}: {status.name}, slowdown {before:.1f}")
            took = max(took, float(req.cls.deadline_ns))  # A fast error is not a fast answer
        if status is Status.TIMEOUT and attempt.sent > e.answered:
            self._shedding.timed_out(e)  # else what it answers tells its load
        if status in (Status.OK, Status.TIMEOUT):
            # One bad endpoint among others is no overload.
            self._shedding.strain(share, STRAIN_ALPHA * min(1.0, self._estimates.typical(e) / before))
        sample = max(1e-9, min(took / attempt.usual, MAX_SLOWDOWN))
        if self._estimates.learn_attempt(e, req.event.cls, status, sample, before):
            self._talk.tell_peer()

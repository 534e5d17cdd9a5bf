"""Every decision of the balancer: the thin one, which passes each event (shuntlead/interface) to its rooms.
First attempts and retries use the same draw (shuntlead/selection.py); a request has one attempt at a time.
It writes Pending and Attempt records."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.estimates import Estimates
from shuntlead.interface import NEVER_RAN, Effect, RosterForm, Status
from shuntlead.keys import Keys
from shuntlead.learning import Learning
from shuntlead.members import Members
from shuntlead.peer_exchange import Talk
from shuntlead.records import Attempt, Endpoint, Pending
from shuntlead.retries import Retries
from shuntlead.selection import Draw
from shuntlead.shedding import Shedding
from shuntlead.tenants import Tenants

HOLD_TRIES = 20  # a request with no eligible endpoint looks again this often within its target


class Balancer:
    """One sidecar's decisions: call handle() with each event, carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.desk = desk = Desk(settings, seed)
        self.estimates = Estimates(desk)
        self.shedding = Shedding(desk, self.estimates)
        self.members = Members(desk, self.estimates, self.shedding)
        self.keys, self.retries = Keys(desk), Retries(desk)
        self.choice = Draw(desk, self.estimates, self.shedding, self.keys)
        self.talk = Talk(desk, self.estimates, self.shedding, self.members)
        self.members.on_ejected = self.talk.remember
        self.learning = Learning(desk, self.estimates, self.shedding, self.choice, self.talk)
        self.tenants = Tenants(desk, self.shedding, self.members)
        self.pending: dict[int, Pending] = {}
        self.open = 0  # requests not yet answered
        self.end: int | None = None  # when the process ends, once that is known
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request, api.Outcome: self._on_outcome, api.Roster: self._on_roster,
            api.Timer: self._on_timer, api.ClientGone: self._on_client, api.FirstByte: self._on_first_byte,
            api.BodyMoved: self._on_body, api.PeerMessage: self.talk.hear,
            api.ProbeResult: self._on_probed, api.PeerVerdicts: self.members.hear_verdicts,
            api.PeerAsked: self.talk.asked,
            api.Recall: self._on_recall, api.TakeSnapshot: lambda event: self.talk.remember(),
            api.TenantReports: self.tenants.hear, api.Beside: self.tenants.hear_beside,
            api.TakeReports: self.tenants.share, api.Ending: self._on_ending}  # fmt: skip

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        return self.members.endpoints

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.desk.now, self.desk.actions = now, []
        self.handlers[type(event)](event)
        while self.keys.woken:  # a loop: each may end and wake the next
            self._attempt(self.keys.woken.pop())
        return self.desk.actions

    # The list and the store ------------------------------------------------------------------------

    def _on_roster(self, roster: api.Roster) -> None:
        desk, s = self.desk, self.settings
        if roster.form is RosterForm.FAILED:
            # After a failed call what discovery has counts as told in 6 s, and the next may fail too.
            in_use = f"{len(self.members.ready)} endpoints of the last list in use"
            desk.log("discovery", f"a call failed, {in_use}")
            desk.set_timer("ask", int(min(s.ask_within_ns, 6e9) * desk.random.uniform(0.1, 0.3)))
            return
        self.members.on_roster(roster)
        if not desk.started:
            desk.started = desk.now
            if s.discovery == "ask":
                desk.act(api.Watch(True))
            self.tenants.start()
            if s.report_how == "pull" and s.may_probe:
                desk.set_timer("probe", desk.forget_ns // 10)

    def _on_recall(self, event: api.Recall) -> None:
        self.talk.see(event.sightings)
        self.members.recall(event.verdicts)
        for pin in event.pins:
            self.keys.recall(pin)

    # A request on its way --------------------------------------------------------------------------

    def _on_request(self, event: api.Request) -> None:
        cls, now = self.settings.classes[event.cls], self.desk.now
        req = self.pending[event.request] = Pending(event, cls, now, self.retries.waited(event, cls))
        if self.end is not None:
            req.cap(self.end)
        self.open += 1
        self.choice.asked.add(now)
        self.shedding.asked(event.tenant)
        self.tenants.asked(event.tenant)
        self.retries.first()
        self.keys.queue(req)
        self._attempt(req)

    def _attempt(self, req: Pending) -> None:
        if req.done or req.waits():
            return  # woken twice: by a timer and by its turn
        desk, usual = self.desk, self.estimates.usual(req)
        # One stuck request holds its key until all behind it are late. They leave while they may.
        ahead, rest = self.keys.ahead(req), self.keys.rest_ns(req)
        left = req.limit - desk.now - int(ahead * usual) - rest
        if self.tenants.is_over(req):
            self._end(req, over_quota=True)
        elif left <= 0 or not req.attempts and self._is_shed(req):
            self._end(req)
        elif ahead or rest:
            desk.set_timer("hold", left if ahead else rest, req.id)
        elif endpoint := self.choice.draw(req, self.members.usable(), usual):
            self._send(req, endpoint, usual)
        elif req.risky() or desk.now >= req.hold_until:
            self._end(req)  # no repeat may go out any more, or the client has better odds with a retry
        else:
            desk.log("held", f"none of {len(self.members.ready)} ready endpoints may be sent to")
            desk.set_timer("hold", min(req.cls.target_ns // HOLD_TRIES, req.hold_until - desk.now), req.id)

    def _is_shed(self, req: Pending) -> bool:
        """It would be late, as the process ends or the servers are too busy; nothing has been sent yet."""
        return not req.has_room() or self.shedding.too_busy(req, self.open, self.pending.values())

    def _send(self, req: Pending, endpoint: Endpoint, usual: float) -> None:
        now, limit = self.desk.now, req.give_up if req.cls.stream else req.limit
        if not self.shedding.is_swamped(endpoint) and (early := self.retries.patience(req, usual)):
            limit = now + early
        self.desk.act(api.Send(req.id, endpoint.id, limit - now if limit < req.give_up else 0))
        endpoint.out[req.id, len(req.attempts)] = attempt = Attempt(endpoint, now, usual, self.choice.size)
        req.attempts.append(attempt)
        endpoint.since, endpoint.turn = endpoint.since + 1, endpoint.turn + (now < endpoint.warm_at)
        if len(endpoint.out) > endpoint.held * self.settings.streams_per_conn:
            endpoint.held, endpoint.held_at = endpoint.held + 1, now
        self.keys.pin(req, endpoint)

    def _end(self, req: Pending, over_quota: bool = False) -> None:
        """The one final answer: a refusal where a retry is sure to be harmless, else a failure."""
        harmless = (not req.risky() or req.cls.effect is Effect.REPEATABLE
                    or req.cls.effect is Effect.BY_KEY and req.cls.dedup_scope == "all")  # fmt: skip
        come_back_ns = self.retries.come_back_ns(req, self.estimates.usual(req))
        self.desk.act(api.Refuse(req.id, come_back_ns, over_quota) if harmless else api.Fail(req.id))
        self._finish(req)

    def _finish(self, req: Pending) -> None:
        """Cancel what can no longer help; forget the request once its last attempt has ended."""
        if not req.done:
            self.open -= not req.passing()
            if req.waits() and self.settings.may_cancel and not req.streaming:
                self.desk.act(api.Cancel(req.id, len(req.attempts) - 1))
        req.done = True
        if not req.waits() and self.pending.pop(req.id, None) is req:
            self.keys.leave(req)

    def _set_passing(self, req: Pending, attempt: Attempt, passing: bool) -> None:
        """A few slow clients of long bodies would pass for load, here and at their endpoint."""
        change, attempt.passing = passing - attempt.passing, passing
        attempt.endpoint.passing += change
        if not req.done:  # else it is no longer among the open
            self.open -= change

    def _on_ending(self, event: api.Ending) -> None:
        """Those under way go on, within the time that is left."""
        self.end = self.desk.now + event.left_ns
        for req in self.pending.values():
            req.cap(self.end)

    def _on_client(self, event: api.ClientGone) -> None:
        req = self.pending.get(event.request)
        if req and not req.done:
            self._finish(req)

    def _on_body(self, event: api.BodyMoved) -> None:
        """The time that a client takes to send a long body is no wait for the endpoint's answer."""
        req, now = self.pending.get(event.request), self.desk.now
        if req is None or req.done or event.attempt >= len(req.attempts):
            return
        attempt, req.streaming = req.attempts[event.attempt], True
        if not event.whole:
            attempt.moving_since, attempt.sent = now, 0
        elif attempt.moving_since:
            took, attempt.sent, attempt.moving_since = now - attempt.moving_since, now, 0
            req.extend(took)
        self._set_passing(req, attempt, attempt.begun or not event.whole)

    def _on_first_byte(self, event: api.FirstByte) -> None:
        """The answer, for all that is learned of it: how long the rest takes is up to its length."""
        req = self.pending.get(event.request)
        if req is None or req.done or event.attempt >= len(req.attempts):
            return
        attempt = req.attempts[event.attempt]
        if attempt.open and not attempt.begun:
            self.learning.answered(req, attempt, event.latency_ns)
            attempt.begun = req.streaming = True
            self._set_passing(req, attempt, True)

    def _on_probed(self, event: api.Outcome | api.ProbeResult) -> None:
        if e := self.endpoints.get(event.endpoint):
            self.learning.reported(e, event.load)

    def _on_outcome(self, event: api.Outcome) -> None:
        req = self.pending.get(event.request)
        attempt = req.attempts[event.attempt] if req and event.attempt < len(req.attempts) else None
        if req is None or attempt is None or not attempt.open:
            return
        attempt.open, attempt.may_have_run = False, event.status not in NEVER_RAN
        self.keys.unpin(req)
        e = attempt.endpoint
        e.out.pop((req.id, event.attempt), None)
        self._set_passing(req, attempt, False)
        if event.status in (Status.OK, Status.ERROR, Status.FULL):
            e.held_at = self.desk.now
        elif self.settings.streams_per_conn == 1 and e.held:
            e.held -= 1  # to give an attempt up is to close its connection
        if req.key and event.status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self.keys.rest(req.key)
        self._on_probed(event)
        self.members.observe(e.id, event.status)
        if event.status is Status.OK and not attempt.begun:
            self.learning.answered(req, attempt, event.latency_ns)
        elif event.status not in (Status.OK, Status.MOOT):
            self.learning.ended(req, attempt, event.latency_ns, event.status)
        if event.finished or req.done:
            self._finish(req)
        elif self.retries.may_resend(req):
            self._attempt(req)
        else:
            self._end(req)

    def _on_timer(self, event: api.Timer) -> None:
        what, subject = self.desk.timers.pop(event.token, ("", 0))
        if what == "ask":
            self.desk.act(api.Watch(True))
        elif what == "quotas":
            self.tenants.tell()
        elif what == "verdicts":
            self.members.on_timer(subject)
        elif what == "probe":
            stale = sorted(self.members.ready, key=lambda e: e.queue_at)[:1]
            self.desk.act(*(api.Probe(e.id) for e in stale))
            self.desk.set_timer("probe", self.desk.forget_ns // 10)
        elif req := self.pending.get(subject):  # held
            self._attempt(req)

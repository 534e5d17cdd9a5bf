"""The balancer: passes each event to the modules that decide on it, and follows each request from its arrival
to its final answer. All attempts use the same selection (shuntlead/selection.py), one at a time per request.
This module writes Pending and Attempt records. Times are monotonic nanoseconds."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.estimates import Estimates
from shuntlead.interface import NEVER_RAN, Effect, ListForm, Status
from shuntlead.keys import Keys
from shuntlead.learning import Learning
from shuntlead.members import Members
from shuntlead.peer_exchange import PeerExchange
from shuntlead.records import Attempt, Endpoint, Pending
from shuntlead.retries import Retries
from shuntlead.selection import EndpointSelector
from shuntlead.shedding import Shedding
from shuntlead.tenants import Tenants

HOLD_CHECKS = 20  # how often within its target a held request looks again for an eligible endpoint


class Balancer:
    """One sidecar's decisions: call handle() with each event, and carry out its actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.ctx = ctx = Context(settings, seed)
        self.estimates = Estimates(ctx)
        self.shedding = Shedding(ctx, self.estimates)
        self.members = Members(ctx, self.estimates, self.shedding)
        self.keys, self.retries = Keys(ctx), Retries(ctx)
        self.selector = EndpointSelector(ctx, self.estimates, self.shedding, self.keys)
        self.exchange = PeerExchange(ctx, self.estimates, self.shedding, self.members)
        self.members.on_ejected = self.exchange.take_snapshot
        self.learning = Learning(ctx, self.estimates, self.shedding, self.selector, self.exchange)
        self.tenants = Tenants(ctx, self.shedding, self.members)
        self.pending: dict[int, Pending] = {}
        self.open_count = 0  # requests not yet answered
        self.process_end: int | None = None  # set once the process is shutting down
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request, api.Outcome: self._on_outcome, api.EndpointList: self._on_list,
            api.Timer: self._on_timer, api.ClientGone: self._on_client_gone,
            api.FirstByte: self._on_first_byte, api.BodyProgress: self._on_body_progress,
            api.PeerMessage: self.exchange.on_peer_message, api.ProbeResult: self._on_load_report,
            api.PeerEjections: self.members.on_peer_ejections, api.PeerStarted: self.exchange.on_peer_started,
            api.Restore: self._on_restore, api.TakeSnapshot: lambda event: self.exchange.take_snapshot(),
            api.TenantReports: self.tenants.add_reports, api.OtherProcessRates: self.tenants.set_other_rates,
            api.TakeReports: self.tenants.share_reports, api.ProcessEnding: self._on_ending}  # fmt: skip

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        return self.members.endpoints

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.ctx.now, self.ctx.actions = now, []
        self.handlers[type(event)](event)
        while self.keys.woken:  # each may finish at once and wake the next one
            self._attempt(self.keys.woken.pop())
        return self.ctx.actions

    # Endpoint list and stored state ----------------------------------------------------------------

    def _on_list(self, update: api.EndpointList) -> None:
        ctx, s = self.ctx, self.settings
        if update.form is ListForm.FAILED:
            # Changes are due here 6 s after discovery has them, and the next call may fail as well.
            in_use = f"{len(self.members.ready)} endpoints of the last list stay in use"
            ctx.log("discovery", f"the call for the endpoint list failed; {in_use}")
            ctx.set_timer("ask", int(min(s.ask_within_ns, 6e9) * ctx.random.uniform(0.1, 0.3)))
            return
        self.members.on_list(update)
        if not ctx.started:
            ctx.started = ctx.now
            if s.discovery == "ask":
                ctx.emit(api.Watch(True))
            self.tenants.start()
            if s.report_how == "pull" and s.may_probe:
                ctx.set_timer("probe", ctx.half_life_ns // 10)

    def _on_restore(self, event: api.Restore) -> None:
        self.exchange.add_observations(event.observations)
        self.members.restore_ejections(event.ejections)
        for pin in event.pins:
            self.keys.restore_pin(pin)

    # Requests --------------------------------------------------------------------------------------

    def _on_request(self, event: api.Request) -> None:
        cls, now = self.settings.classes[event.cls], self.ctx.now
        req = self.pending[event.request] = Pending(event, cls, now, self.retries.waited_ns(event, cls))
        if self.process_end is not None:
            req.limit_deadlines(self.process_end)
        self.open_count += 1
        self.selector.request_rate.add(now)
        self.shedding.on_request(event.tenant)
        self.tenants.on_request(event.tenant)
        self.retries.on_first_attempt()
        self.keys.enqueue(req)
        self._attempt(req)

    def _attempt(self, req: Pending) -> None:
        if req.done or req.is_waiting():
            return  # already handled: both a timer and the end of an earlier request wake it
        ctx, expected_ns = self.ctx, self.estimates.expected_ns(req)
        # Requests behind a stuck one with the same key would all become late. They are refused early.
        ahead, cooldown = self.keys.count_ahead(req), self.keys.cooldown_ns(req)
        left = req.useful_until - ctx.now - int(ahead * expected_ns) - cooldown
        if self.tenants.is_over_quota(req):
            self._reject(req, over_quota=True)
        elif left <= 0 or not req.attempts and self._should_shed(req):
            self._reject(req)
        elif ahead or cooldown:
            ctx.set_timer("hold", left if ahead else cooldown, req.id)
        elif endpoint := self.selector.select(req, self.members.usable(), expected_ns):
            self._send(req, endpoint, expected_ns)
        elif req.maybe_ran() or ctx.now >= req.hold_until:
            self._reject(req)  # no repeat is allowed, or the client needs the rest of the time to retry
        else:
            ctx.log("held", f"none of the {len(self.members.ready)} ready endpoints is eligible")
            ctx.set_timer("hold", min(req.cls.target_ns // HOLD_CHECKS, req.hold_until - ctx.now), req.id)

    def _should_shed(self, req: Pending) -> bool:
        """Whether a first attempt would be late, as the process shuts down or endpoints are overloaded."""
        return not req.has_time() or self.shedding.should_shed(req, self.open_count, self.pending.values())

    def _send(self, req: Pending, e: Endpoint, expected: float) -> None:
        now, limit = self.ctx.now, req.client_deadline if req.cls.stream else req.useful_until
        if not self.shedding.is_saturated(e) and (timeout := self.retries.attempt_timeout_ns(req, expected)):
            limit = now + timeout
        self.ctx.emit(api.Send(req.id, e.id, limit - now if limit < req.client_deadline else 0))
        e.in_flight[req.id, len(req.attempts)] = attempt = Attempt(
            e, now, expected, self.selector.ready_weight)  # fmt: skip
        req.attempts.append(attempt)
        e.sent_since_report, e.turns_used = e.sent_since_report + 1, e.turns_used + (now < e.warm_at)
        if len(e.in_flight) > e.connections * self.settings.streams_per_conn:
            e.connections, e.connection_used_at = e.connections + 1, now
        self.keys.pin(req, e)

    def _reject(self, req: Pending, over_quota: bool = False) -> None:
        """Answers a request that is not served: with a refusal if a retry cannot do harm, else a failure."""
        harmless = (not req.maybe_ran() or req.cls.effect is Effect.REPEATABLE
                    or req.cls.effect is Effect.BY_KEY and req.cls.dedup_scope == "all")  # fmt: skip
        retry_after_ns = self.retries.retry_after_ns(req, self.estimates.expected_ns(req))
        self.ctx.emit(api.Refuse(req.id, retry_after_ns, over_quota) if harmless else api.Fail(req.id))
        self._finish(req)

    def _finish(self, req: Pending) -> None:
        """Cancels an open attempt, and forgets the request once its last attempt has ended."""
        if not req.done:
            self.open_count -= not req.transferring()
            if req.is_waiting() and self.settings.may_cancel and not req.streaming:
                self.ctx.emit(api.Cancel(req.id, len(req.attempts) - 1))
        req.done = True
        if not req.is_waiting() and self.pending.pop(req.id, None) is req:
            self.keys.remove_request(req)

    def _set_transferring(self, req: Pending, attempt: Attempt, transferring: bool) -> None:
        """Keeps long bodies out of the counts of open requests: slow clients would look like load."""
        change, attempt.transferring = transferring - attempt.transferring, transferring
        attempt.endpoint.transferring += change
        if not req.done:  # otherwise it is not counted as open any more
            self.open_count -= change

    def _on_ending(self, event: api.ProcessEnding) -> None:
        """Lets open requests continue, within the time that is left."""
        self.process_end = self.ctx.now + event.left_ns
        for req in self.pending.values():
            req.limit_deadlines(self.process_end)

    def _on_client_gone(self, event: api.ClientGone) -> None:
        req = self.pending.get(event.request)
        if req and not req.done:
            self._finish(req)

    def _on_body_progress(self, event: api.BodyProgress) -> None:
        """Excludes the time in which the client sends a long body from the wait for the endpoint's answer."""
        req, now = self.pending.get(event.request), self.ctx.now
        if req is None or req.done or event.attempt >= len(req.attempts):
            return
        attempt, req.streaming = req.attempts[event.attempt], True
        if not event.complete:
            attempt.body_started_at, attempt.sent_at = now, 0
        elif attempt.body_started_at:
            took, attempt.sent_at, attempt.body_started_at = now - attempt.body_started_at, now, 0
            req.extend_deadlines(took)
        self._set_transferring(req, attempt, attempt.answer_begun or not event.complete)

    def _on_first_byte(self, event: api.FirstByte) -> None:
        """Takes the first byte of a long answer as its response time: the rest depends on its length."""
        req = self.pending.get(event.request)
        if req is None or req.done or event.attempt >= len(req.attempts):
            return
        attempt = req.attempts[event.attempt]
        if attempt.open and not attempt.answer_begun:
            self.learning.on_answer(req, attempt, event.latency_ns)
            attempt.answer_begun = req.streaming = True
            self._set_transferring(req, attempt, True)

    def _on_load_report(self, event: api.Outcome | api.ProbeResult) -> None:
        if e := self.endpoints.get(event.endpoint):
            self.learning.on_report(e, event.load)

    def _on_outcome(self, event: api.Outcome) -> None:
        req = self.pending.get(event.request)
        attempt = req.attempts[event.attempt] if req and event.attempt < len(req.attempts) else None
        if req is None or attempt is None or not attempt.open:
            return
        attempt.open, attempt.may_have_run = False, event.status not in NEVER_RAN
        self.keys.unpin(req)
        e = attempt.endpoint
        e.in_flight.pop((req.id, event.attempt), None)
        self._set_transferring(req, attempt, False)
        if event.status in (Status.OK, Status.ERROR, Status.FULL):
            e.connection_used_at = self.ctx.now
        elif self.settings.streams_per_conn == 1 and e.connections:
            e.connections -= 1  # giving up an attempt closes its connection
        if req.key and event.status in (Status.TIMEOUT, Status.RESET, Status.CANCELLED):
            self.keys.start_cooldown(req.key)
        self._on_load_report(event)
        self.members.on_attempt_end(e.id, event.status)
        if event.status is Status.OK and not attempt.answer_begun:
            self.learning.on_answer(req, attempt, event.latency_ns)
        elif event.status not in (Status.OK, Status.MOOT):
            self.learning.on_attempt_end(req, attempt, event.latency_ns, event.status)
        if event.finished or req.done:
            self._finish(req)
        elif self.retries.may_resend(req):
            self._attempt(req)
        else:
            self._reject(req)

    def _on_timer(self, event: api.Timer) -> None:
        purpose, subject = self.ctx.timers.pop(event.token, ("", 0))
        if purpose == "ask":
            self.ctx.emit(api.Watch(True))
        elif purpose == "quotas":
            self.tenants.send_reports()
        elif purpose == "ejections":
            self.members.on_timer(subject)
        elif purpose == "probe":
            stale = sorted(self.members.ready, key=lambda e: e.queue_at)[:1]
            self.ctx.emit(*(api.Probe(e.id) for e in stale))
            self.ctx.set_timer("probe", self.ctx.half_life_ns // 10)
        elif req := self.pending.get(subject):  # purpose "hold"
            self._attempt(req)

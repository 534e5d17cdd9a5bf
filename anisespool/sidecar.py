"""The driver: events to the decision module, its actions to sockets and timers. It decides nothing; it
knows who is still owed an answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from anisespool.clock import CLOCK
from anisespool.config import Config
from anisespool.decision_queue import Decisions
from anisespool.endpoints import Attempt, Endpoints
from anisespool.exchange import ANSWER_RESERVE_NS, Answer, Call, Exchange, Exchanges
from anisespool.external_state import Outside
from anisespool.list_updater import ListUpdater
from anisespool.log import say
from anisespool.peers import Peers
from anisespool.servers import Servers
from anisespool.state.records import Order
from anisespool.telemetry import TELEMETRY
from shuntlead import Balancer
from shuntlead import interface as api
from shuntlead.interface import Status


class Sidecar(ListUpdater):
    def __init__(
        self, config: Config, endpoints: Endpoints, orders: Mapping[str, Order] | None = None
    ) -> None:
        """`orders`: what the operators have said of servers, kept up to date by its owner."""
        fleet_size = config.settings.fleet_size
        servers = Servers({} if orders is None else orders, CLOCK.epoch_ns, CLOCK, fleet_size)
        decisions = Decisions(Balancer(config.settings, config.seed), self._handled, self._give_up)
        super().__init__(servers, decisions, endpoints)
        self._exchanges = Exchanges()
        self._next_request = 0
        self._end_ns: int | None = None  # monotonic: the last moment for answers, once a shutdown is planned
        self.outside = Outside(self.servers, self._handle, self.refresh)
        self.peers = self.outside.peers = Peers(config.peers, self.outside.heard) if config.peers else None
        self.decisions.actions = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Log: self._log, api.Fault: self._log,
            api.CloseIdle: self._close_idle, **self.outside.actions}  # fmt: skip

    @property
    def ready(self) -> bool:
        """Requests can be served: discovery has named an endpoint."""
        return bool(self.servers.ready)

    @property
    def open(self) -> int:
        """Requests that are owed an answer, or whose attempts have not all ended."""
        return len(self._exchanges)

    # From the application -------------------------------------------------------------------------

    def take(
        self, call: Call, reply: Callable[[Answer], None], is_gone: Callable[[], bool] = lambda: False
    ) -> int:
        """A request has come; `reply` is called once, maybe before this returns. `is_gone`: whether its
        client has left, though nobody may have told us yet."""
        self._next_request += 1
        request_id, now = self._next_request, time.monotonic_ns()
        self._read_discovery(now)
        left_ns = max(0, call.left_ns - ANSWER_RESERVE_NS)
        exchange = Exchange(call, now + left_ns, reply, is_gone, lambda: self._overdue(request_id))
        self._exchanges[request_id] = exchange
        if self._end_ns is not None:
            exchange.cap(self._end_ns)
        exchange.set_backstop()
        event = api.Request(
            request_id, call.cls, left_ns, call.hint_ns, call.key, call.tenant, call.is_retry,
            has_long_body=call.request.flow is not None, dedup_key=call.dedup_key,
        )  # fmt: skip
        self._handle(event)
        return request_id

    def client_gone(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and (exchange.reply or exchange.streaming):
            TELEMETRY.count("clients gone")
            exchange.close()
            self._handle(api.ClientGone(request_id))
            self._exchanges.abandon(request_id)

    def end_by(self, end_ns: int) -> None:
        """The process ends: every request, taken or yet to come, is answered by `end_ns`, monotonic."""
        self._end_ns = end_ns
        for exchange in self._exchanges.values():
            exchange.cap(end_ns)
        self._handle(api.ProcessEnding(max(0, end_ns - ANSWER_RESERVE_NS - time.monotonic_ns())))

    def _handle(self, event: api.Event) -> None:
        self.decisions.handle(event)

    def _handled(self, event: api.Event) -> None:
        if isinstance(event, api.Outcome | api.ClientGone):
            self._exchanges.forget(event.request)

    # Its actions ----------------------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None or exchange.reply is None:
            return  # rule 1: nothing more for a request that is over
        now = time.monotonic_ns()
        deadline = (
            min(now + action.timeout_ns, exchange.deadline_ns) if action.timeout_ns else exchange.deadline_ns
        )
        attempt = Attempt(action.request, len(exchange.attempts), action.endpoint, exchange.call.request,
                          deadline, self._ended, self._began, self._body_moved, self._stays)  # fmt: skip
        if exchange.attempts:
            place = self.servers.ids.get(action.endpoint)
            self._log_request(exchange, f"attempt {attempt.number} at {place}")
        exchange.attempts.append(attempt)
        exchange.cap_attempt(attempt)
        if self._stays(attempt):
            self._endpoints.send(attempt)

    def _stays(self, attempt: Attempt) -> bool:
        """Whether the attempt may still begin: its client is there. With the end of a connection yet
        unread, work would be begun that nobody waits for. One that has gone ends the attempt here."""
        if attempt.status is None and self._exchanges[attempt.request_id].is_gone():
            self.client_gone(attempt.request_id)
        return attempt.status is None

    def _body_moved(self, attempt: Attempt) -> None:
        """Of a long body the first bytes have gone, or the last. What is gone can't be sent again; and only
        from the last on does a request's time run."""
        exchange = self._exchanges[attempt.request_id]
        exchange.drop_backstop()
        if attempt.started_ns and exchange.reply:
            exchange.set_backstop()
        self._handle(api.BodyProgress(attempt.request_id, attempt.number, attempt.started_ns > 0))

    def _began(self, attempt: Attempt) -> None:
        exchange, flow = self._exchanges[attempt.request_id], attempt.flow
        assert flow
        if exchange.reply is None:
            flow.drop()
            return
        exchange.answer(Answer(200, flow=flow))
        exchange.streaming = True
        self._handle(api.FirstByte(attempt.request_id, attempt.endpoint, attempt.latency_ns, attempt.number))

    def _ended(self, attempt: Attempt) -> None:
        exchange, status = self._exchanges[attempt.request_id], attempt.status
        assert status is not None
        if status is Status.OK and attempt.response and exchange.reply:
            length = attempt.response.length if attempt.request.method == b"HEAD" else None
            exchange.answer(Answer(200, attempt.response.body, length=length))
            over = True
        else:
            over = exchange.reply is None
        if status is Status.FULL and over:
            status = Status.MOOT
        self._handle(api.Outcome(attempt.request_id, attempt.endpoint, attempt.number, attempt.latency_ns,
                                 status, over, attempt.load))  # fmt: skip

    def _refuse(self, action: api.Refuse) -> None:
        status, text = (429, b"over the quota\n") if action.over_quota else (503, b"refused\n")
        self._exchanges.finish(action.request, Answer(status, text, action.retry_after_ns / 1e9))

    def _fail(self, action: api.Fail) -> None:
        if exchange := self._exchanges.get(action.request):
            self._log_request(exchange, "failed")
        self._exchanges.finish(action.request, Answer(502, b"failed\n"))

    def _log_request(self, exchange: Exchange, what: str) -> None:
        before = exchange.last_attempt(self.servers.ids)
        TELEMETRY.request(exchange.trace, f"{what}; {before}; list {self.servers.revision}")

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange and action.attempt < len(exchange.attempts):
            exchange.attempts[action.attempt].abort(Status.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        timer = api.Timer(action.token)
        asyncio.get_running_loop().call_later(action.delay_ns / 1e9, self._due, timer)

    def _due(self, timer: api.Timer) -> None:
        self._read_discovery(time.monotonic_ns())
        self._handle(timer)

    def _log(self, action: api.Log | api.Fault) -> None:
        topic, _, text = action.text.partition(": ")
        say(topic, text)

    def _close_idle(self, action: api.CloseIdle) -> None:
        self._endpoints.close_idle(action.endpoint)

    # Who is owed an answer ------------------------------------------------------------------------

    def _overdue(self, request_id: int) -> None:
        """A silent module would let the client's time run out. 504 promises nothing."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            self._log_request(exchange, "answered 504, as the module did not end it")
            exchange.answer(Answer(504, b"no answer in time\n"))
            self._handle(api.ClientGone(request_id))
            self._exchanges.abandon(request_id)

    def answer_all(self) -> bool:
        """The process ends: who is still owed an answer gets one. Whether anybody was."""
        owed = self._exchanges.owed()
        for request_id in owed:
            self._overdue(request_id)
        return bool(owed)

    def _give_up(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange:
            exchange.answer(Answer(504, b"no decision\n"))
            self._exchanges.abandon(request_id)

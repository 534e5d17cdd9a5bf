"""The driver of the decision module: turns requests, timers and attempt results into events, and actions into
sends, answers and timers. It makes no decisions itself, but tracks which requests still need an answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from anisespool.attempted_ids import AttemptedIds
from anisespool.clock import CLOCK
from anisespool.config import Config
from anisespool.decision_queue import DecisionQueue
from anisespool.endpoints import Attempt, Endpoints
from anisespool.exchange import ANSWER_RESERVE_NS, Answer, Call, Exchange, Exchanges
from anisespool.external_state import ExternalState
from anisespool.list_updater import ListUpdater
from anisespool.log import log_info
from anisespool.peers import Peers
from anisespool.servers import Servers
from anisespool.state.records import Order
from anisespool.state.shared_ids import SharedIds
from anisespool.telemetry import TELEMETRY
from shuntlead import Balancer
from shuntlead import interface as api
from shuntlead.interface import Status


class Sidecar(ListUpdater):
    """Connects the decision module with clients, endpoints, discovery and peers."""

    def __init__(
        self, config: Config, endpoints: Endpoints, orders: Mapping[str, Order] | None = None,
        shared_ids: SharedIds | None = None,
    ) -> None:  # fmt: skip
        """`orders`: the operator orders by server id, kept up to date by the owner. `shared_ids`: see
        AttemptedIds."""
        fleet_size = config.settings.fleet_size
        servers = Servers({} if orders is None else orders, CLOCK.epoch_ns, CLOCK, fleet_size)
        decision_queue = DecisionQueue(
            Balancer(config.settings, config.seed), self._on_handled, self._on_module_error
        )
        super().__init__(servers, decision_queue, endpoints)
        self.attempted_ids = AttemptedIds(config.settings, shared_ids)
        self._exchanges = Exchanges(self.attempted_ids.on_end)
        self._next_request = 0
        self._end_ns: int | None = None  # monotonic: deadline for all answers, once shutdown begins
        self.external = ExternalState(self.servers, self._handle, self.refresh)
        self.peers = self.external.peers = (
            Peers(config.peers, self.external.on_peer_message) if config.peers else None
        )
        self.decision_queue.actions = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Log: self._log, api.Fault: self._log,
            api.CloseIdle: self._close_idle, **self.external.actions}  # fmt: skip

    @property
    def ready(self) -> bool:
        """Whether an endpoint is usable, so that requests can be served."""
        return bool(self.servers.ready)

    @property
    def open(self) -> int:
        """Number of requests that are not answered yet, or whose attempts have not all ended."""
        return len(self._exchanges)

    # Called by the server -------------------------------------------------------------------------

    def submit(
        self, call: Call, reply: Callable[[Answer], None], is_gone: Callable[[], bool] = lambda: False
    ) -> int:
        """Start a request and return its id. `reply` is called once, maybe before this returns. `is_gone`:
        whether the client has disconnected, even if `on_client_gone` has not been called yet."""
        self._next_request += 1
        request_id, now = self._next_request, time.monotonic_ns()
        if self.attempted_ids.has_run(call):
            reply(Answer(409, b"a request with this id may have run\n"))
            return request_id
        self._read_discovery(now)
        left_ns = max(0, call.left_ns - ANSWER_RESERVE_NS)
        exchange = Exchange(call, now + left_ns, reply, is_gone, lambda: self._on_deadline(request_id))
        self._exchanges[request_id] = exchange
        if self._end_ns is not None:
            exchange.limit_deadlines(self._end_ns)
        exchange.start_deadline_timer()
        event = api.Request(
            request_id, call.cls, left_ns, call.hint_ns, call.key, call.tenant, call.is_retry,
            has_long_body=call.request.body_stream is not None, dedup_key=call.dedup_key,
        )  # fmt: skip
        self._handle(event)
        return request_id

    def on_client_gone(self, request_id: int) -> None:
        """The client has disconnected: cancel the request if its answer is not complete."""
        exchange = self._exchanges.get(request_id)
        if exchange and (exchange.reply or exchange.streaming):
            TELEMETRY.count("clients gone")
            exchange.close()
            self._handle(api.ClientGone(request_id))
            self._exchanges.abandon(request_id)

    def limit_upload(self, request_id: int, is_waiting: bool) -> None:
        """The body of a request that is being uploaded waits for its endpoint, so its client's time may run;
        to be called again while it waits. False: all that has arrived was passed on, so no time runs."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            exchange.limit_upload(is_waiting)

    def give_up(self, request_id: int) -> None:
        """Answer the request now, whatever time it has left."""
        self._on_deadline(request_id, "as requests behind it have expired")

    def answer_by(self, end_ns: int) -> None:
        """The process is shutting down: answer all requests, also later ones, by `end_ns`, monotonic."""
        self._end_ns = end_ns
        for exchange in self._exchanges.values():
            exchange.limit_deadlines(end_ns)
        self._handle(api.ProcessEnding(max(0, end_ns - ANSWER_RESERVE_NS - time.monotonic_ns())))

    def _handle(self, event: api.Event) -> None:
        self.decision_queue.handle(event)

    def _on_handled(self, event: api.Event) -> None:
        if isinstance(event, api.Outcome | api.ClientGone):
            self._exchanges.forget(event.request)

    # Actions of the decision module ---------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None or exchange.reply is None:
            return  # it is over: no further attempt
        now = time.monotonic_ns()
        deadline = (
            min(now + action.timeout_ns, exchange.deadline_ns) if action.timeout_ns else exchange.deadline_ns
        )
        attempt = Attempt(action.request, len(exchange.attempts), action.endpoint, exchange.call.request,
                          deadline, self._on_attempt_end, self._on_response_start, self._on_body_progress,
                          self._may_start)  # fmt: skip
        if exchange.attempts:
            server = self.servers.ids.get(action.endpoint)
            self._log_request(exchange, f"attempt {attempt.number} at {server}")
        exchange.attempts.append(attempt)
        exchange.limit_attempt(attempt)
        if self._may_start(attempt):
            self.attempted_ids.on_send(exchange.call)
            self._endpoints.send(attempt)

    def _may_start(self, attempt: Attempt) -> bool:
        """Whether the attempt may still start. Checks for a disconnect that has not been read yet, as a
        server would otherwise start work that nobody waits for; if the client is gone, this ends the
        attempt."""
        if attempt.status is None and self._exchanges[attempt.request_id].is_gone():
            self.on_client_gone(attempt.request_id)
        return attempt.status is None

    def _on_body_progress(self, attempt: Attempt) -> None:
        """The first or the last bytes of a long request body were sent. A body partly sent cannot be sent
        again. The request's time limit starts with the arrival of the last byte, see `limit_upload`."""
        exchange = self._exchanges[attempt.request_id]
        exchange.on_body_progress(attempt)
        self._handle(api.BodyProgress(attempt.request_id, attempt.number, attempt.started_ns > 0))

    def _on_response_start(self, attempt: Attempt) -> None:
        """The first bytes of a long response have arrived: stream it to the client."""
        exchange, body_stream = self._exchanges[attempt.request_id], attempt.body_stream
        assert body_stream
        if exchange.reply is None:
            body_stream.discard()
            return
        exchange.answer(Answer(200, body_stream=body_stream))
        exchange.streaming = True
        self._handle(api.FirstByte(attempt.request_id, attempt.endpoint, attempt.latency_ns, attempt.number))

    def _on_attempt_end(self, attempt: Attempt) -> None:
        """Answer the client with a successful response, and report the outcome to the decision module."""
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
        asyncio.get_running_loop().call_later(action.delay_ns / 1e9, self._on_timer, timer)

    def _on_timer(self, timer: api.Timer) -> None:
        self._read_discovery(time.monotonic_ns())
        self._handle(timer)

    def _log(self, action: api.Log | api.Fault) -> None:
        topic, _, text = action.text.partition(": ")
        log_info(topic, text)

    def _close_idle(self, action: api.CloseIdle) -> None:
        self._endpoints.close_idle(action.endpoint)

    # Answers without a decision -------------------------------------------------------------------

    def _on_deadline(self, request_id: int, why: str = "as the module made no decision in time") -> None:
        """No time is left for a decision: answer 504, which does not say whether the request has run."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            self._log_request(exchange, f"answered 504, {why}")
            exchange.answer(Answer(504, b"no answer in time\n"))
            self._handle(api.ClientGone(request_id))
            self._exchanges.abandon(request_id)

    def answer_pending(self) -> bool:
        """The process is shutting down: answer 504 to the requests received completely and not answered yet.
        Returns whether there were any."""
        unanswered = self._exchanges.unanswered()
        for request_id in unanswered:
            self._on_deadline(request_id)
        return bool(unanswered)

    def _on_module_error(self, request_id: int) -> None:
        """The decision module raised an exception on an event of this request: answer 504."""
        exchange = self._exchanges.get(request_id)
        if exchange:
            exchange.answer(Answer(504, b"no decision\n"))
            self._exchanges.abandon(request_id)

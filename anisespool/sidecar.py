"""The driver: events to the decision module, its actions to sockets and timers. It decides nothing; it
knows who is still owed an answer."""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from anisespool import http1
from anisespool.config import Config, Member, MemberList
from anisespool.endpoints import Attempt, Endpoints
from anisespool.flow import Flow
from anisespool.maintenance import Order
from anisespool.peers import Peers, shared_id
from shuntlead import Balancer
from shuntlead import interface as api
from shuntlead.interface import Effect, EndpointState, RosterForm, Status

ANSWER_RESERVE_NS = 10_000_000  # for the answer's way out: a client that has hung up was not answered
BACKSTOP_NS = 4_000_000  # the last moment at which the driver answers by itself
QUIET_S = 1.0  # between two tracebacks in the log
MOST_LEFT = 4096  # ids remembered of servers that the list no longer has


class Answer(NamedTuple):
    """A final answer to the client."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    flow: Flow | None = None  # in place of the body, where that is too long
    length: int | None = None  # of the body that a HEAD asks about


class Call(NamedTuple):
    """A request as the server read it, in the module's terms."""

    request: http1.Request
    cls: int
    tenant: int
    left_ns: int
    hint_ns: int | None
    key: int
    is_retry: bool
    dedup_key: int = 0


class LearnedRow(NamedTuple):
    """How slow a server was and how many waited there, in the module's terms, and when (Unix ms)."""

    server: str
    slow: float
    queue: float
    at_ms: int


class VerdictRow(NamedTuple):
    """A server that is ejected until then (Unix ms), and the failure that tipped it."""

    server: str
    until_ms: int
    reason: Status


class PinRow(NamedTuple):
    """The dedup group that a key went to, in the module's terms, and until when it binds (Unix ms)."""

    key: int
    cls: int
    zone: int
    cell: int
    until_ms: int


class Remembered(NamedTuple):
    """What outlives the process."""

    learned: Sequence[LearnedRow]
    verdicts: Sequence[VerdictRow]


class _Exchange:
    """A request from its arrival until its last attempt has ended."""

    __slots__ = ("attempts", "backstop", "call", "deadline_ns", "reply", "streaming")

    def __init__(self, call: Call, deadline_ns: int, reply: Callable[[Answer], None]) -> None:
        self.call, self.deadline_ns = call, deadline_ns
        self.reply: Callable[[Answer], None] | None = reply  # None: answered, or nobody waits
        self.attempts: list[Attempt] = []
        self.backstop: asyncio.TimerHandle | None = None
        self.streaming = False  # the reply is on its way, and the last attempt brings the rest of it


class Sidecar:
    def __init__(
        self, config: Config, endpoints: Endpoints, orders: Mapping[str, Order] | None = None
    ) -> None:
        """`orders`: what the operators have said of servers, kept up to date by its owner."""
        self._orders = {} if orders is None else orders
        self._epoch_ns = config.names.epoch_ns
        self._members: dict[str, Member] = {}  # as last listed, whatever the operators say
        self._left: dict[str, None] = {}  # ids that have been listed and are no more, the latest last
        self._revision = 0
        self._balancer = Balancer(config.settings, config.seed)
        self._endpoints = endpoints
        self._exchanges: dict[int, _Exchange] = {}
        self._numbers: dict[str, int] = {}  # endpoint id -> its number; one that is gone never returns
        self._shared: dict[int, int] = {}  # number -> what peers call it
        self._by_shared: dict[int, int] = {}
        self._ready: set[int] = set()
        self._next_request = self._next_number = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._complained_at = 0.0
        self.peers = Peers(config.peers, self._heard) if config.peers else None
        self._actions: dict[type, Callable[..., None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Log: self._log, api.Fault: self._log,
            api.CloseIdle: self._close_idle, api.Tell: self._tell,
            api.TellVerdicts: self._tell_verdicts, api.Remember: self._remember,
            api.Pin: self._pin, api.TellReports: self._tell_reports,
            api.ShareReports: self._share_reports}  # fmt: skip
        self.on_reports: Callable[[int, tuple[api.TenantReport, ...]], None] = lambda peer, reports: None
        self._shared_reports = api.ShareReports((), (), (), ())
        self._remembered = Remembered((), ())
        self.on_remember: Callable[[], None] = lambda: None  # unasked too: a verdict is not to be lost
        self.on_pin: Callable[[PinRow], None] = lambda row: None
        self.on_verdicts: Callable[[int, Sequence[api.Verdict]], None] = lambda peer, rows: None
        # Keys that have to be kept: where all servers drop a repeat, any of them may get it.
        self.pins_keys = any(c.effect is Effect.BY_KEY and c.dedup_scope != "all"
                             for c in config.settings.classes)  # fmt: skip

    @property
    def ready(self) -> bool:
        """Requests can be served: discovery has named an endpoint."""
        return bool(self._ready)

    @property
    def open(self) -> int:
        """Requests that are owed an answer, or whose attempts have not all ended."""
        return len(self._exchanges)

    # From the application -------------------------------------------------------------------------

    def take(self, call: Call, reply: Callable[[Answer], None]) -> int:
        """A request has come; `reply` is called once, maybe before this returns."""
        self._next_request += 1
        request_id, now = self._next_request, time.monotonic_ns()
        left_ns = max(0, call.left_ns - ANSWER_RESERVE_NS)
        exchange = self._exchanges[request_id] = _Exchange(call, now + left_ns, reply)
        self._set_backstop(request_id, exchange)
        event = api.Request(
            request_id, call.cls, left_ns, call.hint_ns, call.key, call.tenant, call.is_retry,
            has_long_body=call.request.flow is not None, dedup_key=call.dedup_key,
        )  # fmt: skip
        self._handle(event)
        return request_id

    def _set_backstop(self, request_id: int, exchange: _Exchange) -> None:
        last_s = time.monotonic() + max(0, exchange.call.left_ns - BACKSTOP_NS) / 1e9
        loop = asyncio.get_running_loop()
        exchange.backstop = loop.call_at(last_s, self._overdue, request_id)

    def client_gone(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and (exchange.reply or exchange.streaming):
            self._close(exchange)
            self._handle(api.ClientGone(request_id))
            self._abandon(request_id, exchange)

    # From discovery -------------------------------------------------------------------------------

    def listed(self, update: MemberList, form: RosterForm | None = None) -> None:
        """The connections learn of it first, so that nothing decided next reaches an endpoint that drains.
        Danger: that ends attempts, and the module would place them anew by the list it had before; so it
        hears of the list ahead of them."""
        form = form or (RosterForm.FULL if update.complete else RosterForm.DELTA)
        self._revision, self._handling = update.revision, True
        try:
            rows = self._apply(update, form)
        finally:
            self._handling = False
        self._events.appendleft(api.Roster(update.revision, form, tuple(rows)))
        self._drain()

    def _apply(self, update: MemberList, form: RosterForm) -> list[api.Listed]:
        if form is not RosterForm.DELTA:
            for absent in self._numbers.keys() - {member.id for member in update.members}:
                self._drop(absent)
        rows = []
        for member in update.members:
            if member.id not in self._numbers:
                self._next_number += 1
                self._numbers[member.id] = self._next_number
                self._shared[self._next_number] = shared_id(member.id)
                self._by_shared[shared_id(member.id)] = self._next_number
                place = "{}:{}".format(*member.address)  # the module's lines name it by its number
                print(f"driver: endpoint {self._next_number} is {member.id} at {place}", file=sys.stderr)
            number, row = self._numbers[member.id], self._ordered(member)
            rows.append(row._replace(endpoint=number))
            if row.state == EndpointState.GONE:
                self._drop(member.id)
                continue
            self._members[member.id] = member
            self._left.pop(member.id, None)
            up = row.state == EndpointState.READY
            self._endpoints.update(number, member.id, member.address, row.started_ns, up)
            (self._ready.add if up else self._ready.discard)(number)
        return rows

    def _ordered(self, member: Member) -> api.Listed:
        """What the list says of a server, and over it what the operators say: one that is out takes nothing
        new, and one that they called back has been restarted, whether or not the list has it yet."""
        row, order = member.row, self._orders.get(member.id)
        if order is None or row.state == EndpointState.GONE:
            return row
        if order.out:
            return row._replace(state=EndpointState.DRAINING)
        return row._replace(started_ns=max(row.started_ns, order.at_ms * 1_000_000 - self._epoch_ns))

    def _drop(self, member_id: str) -> None:
        number = self._numbers.pop(member_id)
        self._members.pop(member_id, None)
        self._left[member_id] = None
        if len(self._left) > MOST_LEFT:
            self._left.pop(next(iter(self._left)))
        self._by_shared.pop(self._shared.pop(number), None)
        self._ready.discard(number)
        self._endpoints.remove(number)

    # From the operators ---------------------------------------------------------------------------

    def has_listed(self, member_id: str) -> bool:
        return member_id in self._members or member_id in self._left

    def orders_changed(self, member_ids: Iterable[str]) -> None:
        """As a change of the list: attempts that wait for a connection there are placed anew."""
        members = tuple(self._members[m] for m in member_ids if m in self._members)
        if members:
            self.listed(MemberList(self._revision, False, members))

    # Other sidecars ------------------------------------------------------------------------------

    def _tell(self, action: api.Tell) -> None:
        if self.peers:
            told = (s._replace(endpoint=self._shared[s.endpoint]) for s in action.sightings)
            self.peers.tell(action.peer, action.strain, tuple(told))

    def _heard(self, message: api.PeerMessage) -> None:
        """Danger: a server that discovery has not named here yet must not be sent to on hearsay."""
        known = self._by_shared
        seen = tuple(
            s._replace(endpoint=known[s.endpoint]) for s in message.sightings if s.endpoint in known
        )
        self._handle(message._replace(sightings=seen))

    def up_by_list(self) -> tuple[int, list[int]]:
        """The list's revision and the shared ids of the servers that it has as up, whatever operators say."""
        up = [shared_id(m.id) for m in self._members.values() if m.row.state == EndpointState.READY]
        return self._revision, up

    def peer_list(
        self, sender: int, revision: int, low: int, high: int, is_up: Callable[[int], bool]
    ) -> None:
        """A peer's list, for the servers whose shared ids lie from low to high."""
        asked = [(shared, number) for shared, number in self._by_shared.items() if low <= shared <= high]
        event = api.PeerRoster(
            sender, revision, tuple(n for shared, n in asked if is_up(shared)),
            tuple(n for shared, n in asked if not is_up(shared)),
        )  # fmt: skip
        self._handle(event)

    def peer_verdicts(self, sender: int, rows: Iterable[api.Verdict]) -> None:
        """What a peer holds ejected, by shared ids."""
        known = self._by_shared
        told = tuple(v._replace(endpoint=known[v.endpoint]) for v in rows if v.endpoint in known)
        self._handle(api.PeerVerdicts(sender, told))

    def asked_by(self, peer: int, sightings: bool) -> None:
        """A peer that starts wants to know what is ejected here, or also what was seen of servers."""
        self._handle(api.PeerAsked(peer, sightings))

    def _tell_verdicts(self, action: api.TellVerdicts) -> None:
        rows = [v._replace(endpoint=self._shared[v.endpoint]) for v in action.verdicts
                if v.endpoint in self._shared]  # fmt: skip
        self.on_verdicts(action.peer, rows)

    def names_of(self, numbers: Iterable[int]) -> list[str]:
        """The ids of servers by the module's numbers."""
        ids = {number: server for server, number in self._numbers.items()}
        return [ids[n] for n in numbers if n in ids]

    def tenant_reports(self, reports: tuple[api.TenantReport, ...]) -> None:
        """What tenants ask of other sidecars."""
        self._handle(api.TenantReports(reports))

    def beside(self, left_ns: int, rates: tuple[float, ...]) -> None:
        """What tenants ask of the other process of an upgrade; void after so much longer."""
        self._handle(api.Beside(left_ns, rates))

    def share_reports(self) -> api.ShareReports:
        """What is known of tenants across the fleet, and the servers ejected."""
        self._handle(api.TakeReports())
        return self._shared_reports

    def _tell_reports(self, action: api.TellReports) -> None:
        self.on_reports(action.peer, action.reports)

    def _share_reports(self, action: api.ShareReports) -> None:
        self._shared_reports = action

    # What outlives the process --------------------------------------------------------------------

    def snapshot(self) -> Remembered:
        """What the module knows now that its next process should."""
        self._handle(api.TakeSnapshot())
        return self._remembered

    def recall(self, remembered: Remembered, pins: Sequence[PinRow]) -> None:
        """What an earlier process knew, of servers that are listed now."""
        now_ms, known = time.time_ns() // 1_000_000, self._numbers
        self._handle(
            api.Recall(
                tuple(api.Sighting(known[r.server], r.slow, r.queue, max(0, now_ms - r.at_ms) * 1_000_000)
                      for r in remembered.learned if r.server in known),
                tuple(api.Verdict(known[r.server], (r.until_ms - now_ms) * 1_000_000, r.reason)
                      for r in remembered.verdicts if r.server in known and r.until_ms > now_ms),
                tuple(api.Pinned(*r[:4], (r.until_ms - now_ms) * 1_000_000) for r in pins),
            )
        )  # fmt: skip

    def _remember(self, action: api.Remember) -> None:
        now_ms = time.time_ns() // 1_000_000
        ids = {number: server for server, number in self._numbers.items()}
        self._remembered = Remembered(
            [LearnedRow(ids[s.endpoint], s.slow, s.queue, now_ms - s.age_ns // 1_000_000)
             for s in action.sightings if s.endpoint in ids],
            [VerdictRow(ids[v.endpoint], now_ms + v.left_ns // 1_000_000, v.reason)
             for v in action.verdicts if v.endpoint in ids],
        )  # fmt: skip
        self.on_remember()

    def _pin(self, action: api.Pin) -> None:
        until_ms = (time.time_ns() + action.pinned.left_ns) // 1_000_000
        self.on_pin(PinRow(*action.pinned[:4], until_ms))

    # The module -----------------------------------------------------------------------------------

    def _handle(self, event: api.Event) -> None:
        """One event at a time: an action may end an attempt at once, and that event waits its turn."""
        self._events.append(event)
        if not self._handling:
            self._drain()

    def _drain(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._one(self._events.popleft())
        finally:
            self._handling = False

    def _one(self, event: api.Event) -> None:
        try:
            actions = self._balancer.handle(time.monotonic_ns(), event)
        except Exception:
            # Danger: the module's fault must cost one request, not all that are open.
            self._complain()
            if isinstance(event, api.Request | api.Outcome | api.ClientGone):
                self._give_up(event.request)
            if isinstance(event, api.Request | api.Outcome):
                self._events.append(api.ClientGone(event.request))
            return
        for action in actions:
            perform = self._actions.get(type(action))
            if perform:  # else the settings forbid it, or the watch does it unasked
                perform(action)
        if isinstance(event, api.Outcome | api.ClientGone):
            self._forget(event.request)

    def _complain(self) -> None:
        if time.monotonic() >= self._complained_at + QUIET_S:
            self._complained_at = time.monotonic()
            traceback.print_exc()

    # Its actions ----------------------------------------------------------------------------------

    def _send(self, action: api.Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None or exchange.reply is None:
            return  # rule 1: nothing more for a request that is over
        now = time.monotonic_ns()
        deadline = (
            min(now + action.timeout_ns, exchange.deadline_ns) if action.timeout_ns else exchange.deadline_ns
        )
        attempt = Attempt(
            action.request,
            len(exchange.attempts),
            action.endpoint,
            exchange.call.request,
            deadline,
            self._ended,
            self._began,
            self._body_moved,
        )
        exchange.attempts.append(attempt)
        self._endpoints.send(attempt)

    def _body_moved(self, attempt: Attempt) -> None:
        """Of a long body the first bytes have gone, or the last. What is gone can't be sent again; and only
        from the last on does a request's time run."""
        exchange = self._exchanges[attempt.request_id]
        if exchange.backstop:
            exchange.backstop.cancel()
        if attempt.started_ns and exchange.reply:
            self._set_backstop(attempt.request_id, exchange)
        self._handle(api.BodyMoved(attempt.request_id, attempt.number, attempt.started_ns > 0))

    def _began(self, attempt: Attempt) -> None:
        exchange, flow = self._exchanges[attempt.request_id], attempt.flow
        assert flow
        if exchange.reply is None:
            flow.drop()
            return
        self._answer(exchange, Answer(200, flow=flow))
        exchange.streaming = True
        self._handle(
            api.FirstByte(attempt.request_id, attempt.endpoint, attempt.took_ns, attempt.number)
        )

    def _ended(self, attempt: Attempt) -> None:
        exchange, status = self._exchanges[attempt.request_id], attempt.status
        assert status is not None
        if status is Status.OK and attempt.response and exchange.reply:
            length = attempt.response.length if attempt.request.method == b"HEAD" else None
            self._answer(exchange, Answer(200, attempt.response.body, length=length))
            over = True
        else:
            over = exchange.reply is None
        if status is Status.FULL and over:
            status = Status.MOOT
        took = attempt.took_ns
        self._handle(
            api.Outcome(
                attempt.request_id, attempt.endpoint, attempt.number, took, status, over, attempt.load
            )
        )

    def _refuse(self, action: api.Refuse) -> None:
        status, text = (429, b"over the quota\n") if action.over_quota else (503, b"refused\n")
        self._finish(action.request, Answer(status, text, action.retry_after_ns / 1e9))

    def _fail(self, action: api.Fail) -> None:
        self._finish(action.request, Answer(502, b"failed\n"))

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange and action.attempt < len(exchange.attempts):
            exchange.attempts[action.attempt].give_up(Status.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(action.delay_ns / 1e9, self._handle, api.Timer(action.token))

    def _log(self, action: api.Log | api.Fault) -> None:
        print(action.text, file=sys.stderr)

    def _close_idle(self, action: api.CloseIdle) -> None:
        self._endpoints.close_idle(action.endpoint)

    # Who is owed an answer ------------------------------------------------------------------------

    def _finish(self, request_id: int, answer: Answer) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            self._answer(exchange, answer)
            self._forget(request_id)

    def _answer(self, exchange: _Exchange, answer: Answer) -> None:
        reply = exchange.reply
        self._close(exchange)
        if reply:
            reply(answer)

    def _close(self, exchange: _Exchange) -> None:
        exchange.reply, exchange.streaming = None, False
        if exchange.backstop:
            exchange.backstop.cancel()

    def _forget(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply is None and all(a.status is not None for a in exchange.attempts):
            del self._exchanges[request_id]

    def _overdue(self, request_id: int) -> None:
        """Danger: a silent module would let the client's time run out. 504 promises nothing."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.reply:
            print("driver: a request was answered 504, as the module did not end it", file=sys.stderr)
            self._answer(exchange, Answer(504, b"no answer in time\n"))
            self._handle(api.ClientGone(request_id))
            self._abandon(request_id, exchange)

    def _give_up(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange:
            self._answer(exchange, Answer(504, b"no decision\n"))
            self._abandon(request_id, exchange)

    def _abandon(self, request_id: int, exchange: _Exchange) -> None:
        """Nobody waits: whatever the module made of it, nothing more is spent on this request."""
        for attempt in exchange.attempts:
            attempt.give_up(Status.CANCELLED)
        self._forget(request_id)

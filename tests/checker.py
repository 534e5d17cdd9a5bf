"""Checks the four request rules and per-key ordering against the events and actions of a decision module.

It shares no logic with the module and derives its state from the observed events alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from shuntlead import interface as api
from shuntlead.interface import Effect, Settings

NEVER_RAN = {2, 4, 7}  # full, connect failed, moot
MAY_STILL_RUN = {3, 5, 6}  # time-out, reset, cancelled


@dataclass
class AttemptRecord:
    endpoint: int
    sent: int
    open: bool = True
    never_ran: bool = False


@dataclass
class RequestRecord:
    cls: api.RequestClass
    due: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    answered: bool = False  # by the module, or by a finished outcome
    key: int = 0  # 0 unless the request is in order
    settles_at: int = 0  # until then, later requests of the key wait
    closed_events: set[int] = field(default_factory=set)

    def is_finished(self) -> bool:
        return self.answered and not any(c.open for c in self.attempts)


class Checker:
    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.requests: dict[int, RequestRecord] = {}
        self.listed: dict[int, api.ListedEndpoint] = {}
        self.not_ready_since: dict[int, int] = {}
        self.ever_listed: dict[int, api.ListedEndpoint] = {}
        self.key_queues: dict[int, list[int]] = {}  # in-order request ids by key, in order of arrival

    def on_event(self, now: int, event: api.Event) -> None:
        match event:
            case api.Request():
                cls = self.settings.classes[event.cls]
                key = event.key if cls.in_order else 0
                self.requests[event.request] = RequestRecord(cls, now + event.left_ns, key=key)
                if key:
                    self.key_queues.setdefault(key, []).append(event.request)
            case api.ClientGone():
                self.requests[event.request].answered = True
            case api.Outcome():
                record = self.requests[event.request]
                attempt = record.attempts[event.attempt]
                attempt.open = False
                attempt.never_ran = int(event.status) in NEVER_RAN
                if int(event.status) in MAY_STILL_RUN:
                    record.settles_at = now + self.settings.order_settle_ns
                record.answered = record.answered or event.finished
            case api.EndpointList() if event.form != api.ListForm.FAILED:
                self._apply_list(now, event)
            case _:
                pass

    def _apply_list(self, now: int, event: api.EndpointList) -> None:
        if event.form != api.ListForm.DELTA:
            for endpoint in set(self.listed) - {row.endpoint for row in event.entries}:
                del self.listed[endpoint]
                self.not_ready_since.setdefault(endpoint, now)
        for row in event.entries:
            self.ever_listed[row.endpoint] = row
            self.listed[row.endpoint] = row
            if row.state == 1:
                self.not_ready_since.pop(row.endpoint, None)
            else:
                self.not_ready_since.setdefault(row.endpoint, now)

    def on_actions(self, now: int, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send():
                    self._send(now, action)
                case api.Refuse():
                    self._final(now, action.request)
                    self._refusal(self.requests[action.request])
                case api.Fail():
                    self._final(now, action.request)
                case api.Cancel():
                    assert self.settings.may_cancel, "Cancel although the settings forbid it"
                    assert action.attempt < len(self.requests[action.request].attempts), "unknown attempt"
                case api.Probe():
                    assert self.settings.may_probe
                case api.SendToPeer():
                    assert self.settings.may_message
                case api.SetTimer():
                    assert 0 <= action.delay_ns <= 71 * 60 * 10**9
                case _:
                    pass

    def _send(self, now: int, send: api.Send) -> None:
        record = self.requests[send.request]
        assert not record.answered, "rule 1: attempt for a finished request"
        assert send.endpoint in self.ever_listed, "attempt at an endpoint that was never listed"
        assert send.timeout_ns >= 0
        not_ready_at = self.not_ready_since.get(send.endpoint)
        # The drain grace covers the delay between decision and write. Decisions get none of it.
        assert not_ready_at is None, "rule 3: attempt at a draining or removed endpoint"
        assert len(record.attempts) < self.settings.attempts_cap, "attempt cap exceeded"
        if not self.settings.may_duplicate:
            assert not any(c.open for c in record.attempts), (
                "concurrent attempts although duplicates are forbidden"
            )
        self._effects(now, record, send.endpoint)
        self._order(now, send.request, record)
        record.attempts.append(AttemptRecord(send.endpoint, now))

    def _effects(self, now: int, record: RequestRecord, endpoint: int) -> None:
        may_have_run = [c for c in record.attempts if not c.never_ran]
        if not may_have_run or record.cls.effect is Effect.REPEATABLE:
            return
        assert record.cls.effect is Effect.BY_KEY, "rule 2: unsafe request retried"
        assert now <= may_have_run[0].sent + record.cls.dedup_window_ns, (
            "rule 2: retried after the deduplication window"
        )
        endpoint_row, first_row = self.ever_listed[endpoint], self.ever_listed[may_have_run[0].endpoint]
        if record.cls.dedup_scope == "zone":
            assert endpoint_row.zone == first_row.zone, "rule 2: retried outside the deduplication zone"
        elif record.cls.dedup_scope == "cell":
            assert endpoint_row.cell == first_row.cell, "rule 2: retried outside the deduplication cell"

    def _order(self, now: int, request: int, record: RequestRecord) -> None:
        if not record.key:
            return
        queue = self.key_queues[record.key]
        for earlier in queue[: queue.index(request)]:
            assert self.requests[earlier].is_finished(), "order: an earlier request of the key is unfinished"
            assert now >= self.requests[earlier].settles_at, "order: sent before the key's settle time ended"

    def _refusal(self, record: RequestRecord) -> None:
        if all(c.never_ran for c in record.attempts) or record.cls.effect is Effect.REPEATABLE:
            return
        by_key_all = record.cls.effect is Effect.BY_KEY and record.cls.dedup_scope == "all"
        assert by_key_all, "rule 2: refused a request that may have run"

    def _final(self, now: int, request: int) -> None:
        record = self.requests[request]
        assert not record.answered, "rule 1: second final answer"
        assert now <= record.due + self.settings.answer_slack_ns, "rule 1: late final answer"
        record.answered = True

    def check_all_answered(self, now: int) -> None:
        for request, record in self.requests.items():
            late = now > record.due + self.settings.answer_slack_ns
            assert record.answered or not late, f"rule 1: request {request} was never answered"

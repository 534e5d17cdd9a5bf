"""A request between its client and the decisions: what was asked, what is owed, and the answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from anisespool import http1
from anisespool.body_stream import Flow
from anisespool.endpoints import Attempt
from anisespool.telemetry import TELEMETRY
from shuntlead.interface import Status

ANSWER_RESERVE_NS = 10_000_000  # for the answer's way out: a client that has hung up was not answered
BACKSTOP_NS = 4_000_000  # the last moment at which the driver answers by itself


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


class Exchange:
    """A request from its arrival until its last attempt has ended."""

    __slots__ = ("_backstop", "_end_ns", "_overdue", "attempts", "call", "deadline_ns", "is_gone", "reply",
                 "streaming")  # fmt: skip

    def __init__(self, call: Call, deadline_ns: int, reply: Callable[[Answer], None],
                 is_gone: Callable[[], bool], overdue: Callable[[], None]) -> None:  # fmt: skip
        """`overdue` is called at the last moment of the client's time, unless it is answered by then."""
        self.call, self.deadline_ns, self.is_gone = call, deadline_ns, is_gone
        self._overdue = overdue
        self._end_ns: int | None = None  # monotonic: the process ends then, whatever the client's deadline
        self.reply: Callable[[Answer], None] | None = reply  # None: answered, or nobody waits
        self.attempts: list[Attempt] = []
        self._backstop: asyncio.TimerHandle | None = None
        self.streaming = False  # the reply is on its way, and the last attempt brings the rest of it

    @property
    def trace(self) -> bytes:
        """The request's id, as its client sent it."""
        return self.call.request.headers.get(b"x-trace-id", b"")

    @property
    def is_whole(self) -> bool:
        """Whether the request's last byte has come."""
        return self.call.request.flow is None or self.call.request.flow.done

    def last_attempt(self, names: Mapping[int, str]) -> str:
        """For the log: where it was sent last, and how that ended. `names`: the servers' ids by number."""
        if not self.attempts:
            return "unsent"
        last = self.attempts[-1]
        status = last.status.name if last.status else "no end yet"
        return f"attempt {last.number} at {names.get(last.endpoint, 'a server that is gone')} had {status}"

    def answer(self, answer: Answer) -> None:
        """The one final answer; any further one goes nowhere."""
        reply = self.reply
        self.close()
        if reply:
            TELEMETRY.count(f"answers {answer.status}")
            reply(answer)

    def close(self) -> None:
        """Nobody waits any more."""
        self.reply, self.streaming = None, False
        self.drop_backstop()

    def set_backstop(self) -> None:
        """From now the request has the time that its client gave it."""
        due_ns = time.monotonic_ns() + self.call.left_ns
        if self._end_ns is not None:
            due_ns = min(due_ns, self._end_ns)
        self._arm_backstop(due_ns)

    def _arm_backstop(self, due_ns: int) -> None:
        at_s = (due_ns - BACKSTOP_NS) / 1e9
        self._backstop = asyncio.get_running_loop().call_at(at_s, self._overdue)

    def cap(self, end_ns: int) -> None:
        """The process ends: the request and its attempts have no longer than until `end_ns`, monotonic."""
        self._end_ns = end_ns
        self.deadline_ns = min(self.deadline_ns, end_ns - ANSWER_RESERVE_NS)
        for attempt in self.attempts:
            self.cap_attempt(attempt)
        if self._backstop and not self._backstop.cancelled() and self._backstop.when() > end_ns / 1e9:
            self.drop_backstop()
            self._arm_backstop(end_ns)

    def cap_attempt(self, attempt: Attempt) -> None:
        if self._end_ns is not None:
            attempt.limit_deadline(self._end_ns - ANSWER_RESERVE_NS)

    def drop_backstop(self) -> None:
        if self._backstop:
            self._backstop.cancel()


class Exchanges(dict[int, Exchange]):
    """By request."""

    def owed(self) -> list[int]:
        """The requests that have come whole and have no answer yet."""
        return [number for number, exchange in self.items() if exchange.reply and exchange.is_whole]

    def finish(self, request_id: int, answer: Answer) -> None:
        exchange = self.get(request_id)
        if exchange and exchange.reply:
            exchange.answer(answer)
            self.forget(request_id)

    def forget(self, request_id: int) -> None:
        exchange = self.get(request_id)
        if exchange and exchange.reply is None and all(a.status is not None for a in exchange.attempts):
            del self[request_id]

    def abandon(self, request_id: int) -> None:
        """Nobody waits: whatever the module made of it, nothing more is spent on this request."""
        exchange = self.get(request_id)
        for attempt in exchange.attempts if exchange else ():
            attempt.abort(Status.CANCELLED)
        self.forget(request_id)

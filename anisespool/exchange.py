"""Per-request state between the client and the decision module: the request, its attempts and its answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from anisespool import http1
from anisespool.body_stream import BodyStream
from anisespool.endpoints import Attempt
from anisespool.telemetry import TELEMETRY
from shuntlead.interface import Status

ANSWER_RESERVE_NS = 10_000_000  # to deliver the answer: one that arrives after the client has hung up is lost
DEADLINE_MARGIN_NS = 4_000_000  # before the deadline: if there is no decision yet, the sidecar answers 504


class Answer(NamedTuple):
    """The final response to the client."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    body_stream: BodyStream | None = None  # replaces `body` if that is too long to buffer
    length: int | None = None  # Content-Length for the answer to a HEAD


class Call(NamedTuple):
    """A request from a client, with its headers translated into the fields of the decision module."""

    request: http1.Request
    cls: int  # index of the request class in the settings
    tenant: int  # index in the settings; one past the last: unknown
    left_ns: int  # until the client's timeout
    hint_ns: int | None  # expected work on a standard core, if the client gave it
    key: int  # 0: none
    is_retry: bool  # the client has sent this request before
    dedup_key: int = 0  # hash of the idempotency key; 0: none


class Exchange:
    """One request, from its arrival until it is answered and its last attempt has ended."""

    __slots__ = ("_deadline_timer", "_end_ns", "_on_deadline", "attempts", "call", "deadline_ns", "is_gone",
                 "reply", "streaming")  # fmt: skip

    def __init__(self, call: Call, deadline_ns: int, reply: Callable[[Answer], None],
                 is_gone: Callable[[], bool], on_deadline: Callable[[], None]) -> None:  # fmt: skip
        """`is_gone`: whether the client has disconnected. `on_deadline`: called shortly before the client's
        deadline, unless the request is answered by then."""
        self.call, self.deadline_ns, self.is_gone = call, deadline_ns, is_gone
        self._on_deadline = on_deadline
        self._end_ns: int | None = None  # monotonic; when the process ends, even if the deadline is later
        self.reply: Callable[[Answer], None] | None = reply  # None: answered, or the client is gone
        self.attempts: list[Attempt] = []
        self._deadline_timer: asyncio.TimerHandle | None = None
        self.streaming = False  # the answer's body is still arriving from the last attempt

    @property
    def trace(self) -> bytes:
        """The request id that the client sent."""
        return self.call.request.headers.get(b"x-trace-id", b"")

    @property
    def is_fully_received(self) -> bool:
        """Whether the last byte of the request has been received."""
        return self.call.request.body_stream is None or self.call.request.body_stream.done

    def last_attempt(self, names: Mapping[int, str]) -> str:
        """Describes the last attempt for the log. `names`: server ids by endpoint number."""
        if not self.attempts:
            return "no attempt yet"
        last = self.attempts[-1]
        status = last.status.name if last.status else "no status yet"
        return f"attempt {last.number} at {names.get(last.endpoint, 'a removed server')} had {status}"

    def answer(self, answer: Answer) -> None:
        """Send the final answer. Further calls have no effect."""
        reply = self.reply
        self.close()
        if reply:
            TELEMETRY.count(f"answers {answer.status}")
            reply(answer)

    def close(self) -> None:
        """Discard the reply callback: the request is answered, or its client is gone."""
        self.reply, self.streaming = None, False
        self.cancel_deadline_timer()

    def start_deadline_timer(self) -> None:
        """Start the client's time limit for the request now."""
        self._start_deadline_timer_at(time.monotonic_ns())

    def on_body_progress(self, attempt: Attempt) -> None:
        """The upload of the body has started, or it has finished: start the time limit at the client's last
        write, once that may have been."""
        self.cancel_deadline_timer()
        body = self.call.request.body_stream
        assert body
        if not attempt.started_ns and body.is_timed:
            self.limit_upload(is_waiting=True)
        elif attempt.started_ns and self.reply:
            self._start_deadline_timer_at(body.sent_ns or time.monotonic_ns())

    def limit_upload(self, is_waiting: bool) -> None:
        """Start the time limit although the upload has not finished, as the body waits for its endpoint.
        False: it does not wait any more; suspend the limit."""
        upload = next((attempt for attempt in self.attempts if attempt.is_uploading), None)
        if upload is None:
            return
        since_ns = upload.upload_waits_since_ns() if is_waiting else None
        self.cancel_deadline_timer()
        upload.limit_upload(since_ns)
        if since_ns is not None and self.reply:
            self._start_deadline_timer_at(since_ns)

    def _start_deadline_timer_at(self, started_ns: int) -> None:
        due_ns = started_ns + self.call.left_ns
        if self._end_ns is not None:
            due_ns = min(due_ns, self._end_ns)
        self._schedule_deadline_timer(due_ns)

    def _schedule_deadline_timer(self, due_ns: int) -> None:
        at_s = (due_ns - DEADLINE_MARGIN_NS) / 1e9
        self._deadline_timer = asyncio.get_running_loop().call_at(at_s, self._on_deadline)

    def limit_deadlines(self, end_ns: int) -> None:
        """The process is shutting down: limit the request and its attempts to `end_ns`, monotonic."""
        self._end_ns = end_ns
        self.deadline_ns = min(self.deadline_ns, end_ns - ANSWER_RESERVE_NS)
        for attempt in self.attempts:
            self.limit_attempt(attempt)
        if (
            self._deadline_timer
            and not self._deadline_timer.cancelled()
            and self._deadline_timer.when() > end_ns / 1e9
        ):
            self.cancel_deadline_timer()
            self._schedule_deadline_timer(end_ns)

    def limit_attempt(self, attempt: Attempt) -> None:
        """Limit an attempt to the end of the process, if the process is shutting down."""
        if self._end_ns is not None:
            attempt.limit_deadline(self._end_ns - ANSWER_RESERVE_NS)

    def cancel_deadline_timer(self) -> None:
        if self._deadline_timer:
            self._deadline_timer.cancel()


class Exchanges(dict[int, Exchange]):
    """The open exchanges, by request id."""

    def __init__(self, on_end: Callable[[Exchange], None]) -> None:
        """`on_end`: called with each exchange that is over."""
        super().__init__()
        self._on_end = on_end

    def unanswered(self) -> list[int]:
        """The requests that are received completely and not answered yet."""
        return [number for number, exchange in self.items() if exchange.reply and exchange.is_fully_received]

    def finish(self, request_id: int, answer: Answer) -> None:
        """Answer the request, unless it has been answered."""
        exchange = self.get(request_id)
        if exchange and exchange.reply:
            exchange.answer(answer)
            self.forget(request_id)

    def forget(self, request_id: int) -> None:
        """Remove the exchange once it has been answered and all its attempts have ended."""
        exchange = self.get(request_id)
        if exchange and exchange.reply is None and all(a.status is not None for a in exchange.attempts):
            del self[request_id]
            self._on_end(exchange)

    def abandon(self, request_id: int) -> None:
        """Cancel all attempts: nobody waits for the answer, whatever the decision module would do."""
        exchange = self.get(request_id)
        for attempt in exchange.attempts if exchange else ():
            attempt.abort(Status.CANCELLED)
        self.forget(request_id)

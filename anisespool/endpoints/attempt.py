"""One try of a request at one endpoint. Its one status never says 'not run' of what may have run."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from anisespool import http1
from anisespool.body_stream import Flow
from anisespool.telemetry import TELEMETRY
from shuntlead.interface import Status


class Carrier(Protocol):
    """The connection of an attempt."""

    @property
    def unwritten(self) -> bool: ...

    def suspect(self, since_ns: int) -> None: ...

    def discard(self) -> None: ...


def _nothing(attempt: Attempt) -> None:
    pass


class Attempt:
    """One try of a request at one endpoint, from the Send until its one status."""

    __slots__ = ("_end_ns", "_timer", "begun_ns", "connection", "counts", "deadline_ns", "endpoint", "flow",
                 "load", "may_start", "number", "on_begin", "on_body", "on_end", "request", "request_id",
                 "response", "started_ns", "status")  # fmt: skip

    def __init__(self, request_id: int, number: int, endpoint: int, request: http1.Request, deadline_ns: int,
                 on_end: Callable[[Attempt], None], on_begin: Callable[[Attempt], None] = _nothing,
                 on_body: Callable[[Attempt], None] = _nothing,
                 may_start: Callable[[Attempt], bool] = lambda a: a.status is None) -> None:  # fmt: skip
        """`on_begin`: a long answer begins, see `flow`. `on_body`: of a long body the first bytes have gone,
        and then the last; see `started_ns`. `may_start`: asked once its connection is up; where the client
        has left meanwhile it ends the attempt."""
        self.request_id, self.number, self.endpoint = request_id, number, endpoint
        self.request, self.deadline_ns, self.on_end = request, deadline_ns, on_end
        self.on_begin, self.on_body, self.may_start = on_begin, on_body, may_start
        self.started_ns = time.monotonic_ns()  # with a long body, when its last byte went; 0: not yet
        self.begun_ns = 0  # when the first bytes of a long answer came
        self.flow: Flow | None = None  # the body of a long answer
        self.status: Status | None = None
        self.response: http1.Response | None = None
        self.load: tuple[float, ...] = ()
        self.connection: Carrier | None = None
        self.counts: Counter[str] | None = None  # of bad ends, where it was sent
        self._end_ns: int | None = None  # monotonic: the process ends then
        self._arm()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self.deadline_ns / 1e9, self.give_up, Status.TIMEOUT)

    def cap(self, end_ns: int) -> None:
        """The process ends at `end_ns`, monotonic: no later deadline holds. A long answer that has begun goes
        on for as long as it makes progress."""
        self._end_ns = end_ns
        if self.status is None and self.started_ns and not self.flow and self.deadline_ns > end_ns:
            self.deadline_ns = end_ns
            self._timer.cancel()
            self._arm()

    def body_begins(self) -> None:
        """The time for an answer starts with the body's last byte."""
        self._timer.cancel()
        self.deadline_ns -= time.monotonic_ns()  # what it will have then
        self.started_ns = 0
        self.on_body(self)

    def body_ends(self) -> None:
        self.started_ns = time.monotonic_ns()
        self.deadline_ns += self.started_ns
        if self._end_ns is not None:
            self.deadline_ns = min(self.deadline_ns, self._end_ns)
        if not self.flow:  # else the answer has begun before it was asked for
            self._arm()
        self.on_body(self)

    def begin(self, flow: Flow) -> None:
        """From here on lack of progress ends it, and no deadline."""
        self._timer.cancel()
        self.begun_ns, self.flow = time.monotonic_ns(), flow
        self.on_begin(self)

    @property
    def took_ns(self) -> int:
        """Until the answer, or until its first bytes if it is long."""
        return max(0, (self.begun_ns or time.monotonic_ns()) - self.started_ns) if self.started_ns else 0

    def end(self, status: Status, response: http1.Response | None = None) -> None:
        """The first end is the only one."""
        if self.status is None:
            self.status, self.response = status, response
            TELEMETRY.count(f"attempts {status.name.lower()}")
            if self.counts is not None and status is not Status.OK:
                self.counts[status.name] += 1
            self._timer.cancel()
            self.on_end(self)

    def give_up(self, status: Status) -> None:
        """Stop waiting. What never had a connection has surely not run, whatever made us stop."""
        if self.status is not None:
            return
        connection, self.connection = self.connection, None
        if connection and status is Status.TIMEOUT and self.started_ns and not self.flow:
            connection.suspect(self.started_ns)
        unsent = connection is None or connection.unwritten
        if connection:
            connection.discard()
        self.end(Status.CONNECT_FAILED if unsent and status is Status.TIMEOUT else status)

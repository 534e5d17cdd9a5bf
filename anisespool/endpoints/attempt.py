"""One attempt of a request at one endpoint. Its final status claims that the request did not run there only
where that is certain."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from anisespool import http1
from anisespool.body_stream import BodyStream
from anisespool.telemetry import TELEMETRY
from shuntlead.interface import NEVER_RAN, Status


class AttemptConnection(Protocol):
    """What an attempt uses of its connection."""

    @property
    def has_unsent_data(self) -> bool: ...

    def upload_moved_ns(self) -> int: ...

    def pass_on_response(self) -> bool: ...

    def close_idle_if_silent(self, since_ns: int) -> None: ...

    def discard(self) -> None: ...


def _ignore(attempt: Attempt) -> None:
    pass


class Attempt:
    """One attempt of a request at one endpoint, from the decision to send it until its final status. Times
    are in monotonic nanoseconds."""

    __slots__ = ("_end_ns", "_timer", "connection", "counts", "deadline_ns", "endpoint", "body_stream",
                 "is_unsent", "lacks_resources", "load", "may_start", "number", "on_upload", "on_end",
                 "on_response_start", "request", "request_id", "response", "response_started_ns",
                 "started_ns", "status")  # fmt: skip

    def __init__(self, request_id: int, number: int, endpoint: int, request: http1.Request, deadline_ns: int,
                 on_end: Callable[[Attempt], None], on_response_start: Callable[[Attempt], None] = _ignore,
                 on_upload: Callable[[Attempt], None] = _ignore,
                 may_start: Callable[[Attempt], bool] = lambda a: a.status is None) -> None:  # fmt: skip
        """`on_end` is called once, with the final status. `on_response_start` is called when a streamed
        response begins; its body is in `body_stream`. `on_upload` is called when the upload of a streamed
        request body starts and when it has finished (`started_ns` tells which). `may_start` is called once
        the connection is up and returns whether to send the request; if the client has disconnected, it ends
        the attempt."""
        self.request_id, self.number, self.endpoint = request_id, number, endpoint
        self.request, self.deadline_ns, self.on_end = request, deadline_ns, on_end
        self.on_response_start, self.on_upload, self.may_start = on_response_start, on_upload, may_start
        self.lacks_resources = False  # it has waited as this host had no connection or descriptor left
        self.is_unsent = False  # it was ended before the whole request had been written
        self.started_ns = time.monotonic_ns()  # after an upload, when its last byte was sent; 0 during it
        self.response_started_ns = 0  # when a streamed response began; 0: it has not
        self.body_stream: BodyStream | None = None  # the body of a streamed response
        self.status: Status | None = None
        self.response: http1.Response | None = None
        self.load: tuple[float, ...] = ()
        self.connection: AttemptConnection | None = None
        self.counts: Counter[str] | None = None  # the counters of the endpoint's pool
        self._end_ns: int | None = None  # when the process exits
        self._arm()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self.deadline_ns / 1e9, self._on_deadline)

    def _on_deadline(self) -> None:
        """No time is left, unless a response that may be a long one has begun: it is passed on from here."""
        if not (self.connection and self.connection.pass_on_response()):
            self.abort(Status.TIMEOUT)

    def limit_deadline(self, end_ns: int) -> None:
        """Limits the deadline to `end_ns`, when the process exits. A streamed response that has begun has no
        deadline: it continues for as long as it makes progress."""
        self._end_ns = end_ns
        if self.status is None and self.started_ns and not self.body_stream and self.deadline_ns > end_ns:
            self.deadline_ns = end_ns
            self._timer.cancel()
            self._arm()

    def upload_started(self) -> None:
        """Suspends the deadline: the time for the response starts when the last byte has arrived."""
        self._timer.cancel()
        self.deadline_ns -= time.monotonic_ns()  # the remaining time, until the upload has finished
        self.started_ns = 0
        self.on_upload(self)

    @property
    def is_uploading(self) -> bool:
        return self.status is None and not self.started_ns

    def upload_waits_since_ns(self) -> int:
        """Since when the client's time runs: since it may have written the last byte of the body. Where it
        can't have, since neither the client has sent more of it nor the endpoint has taken more of it.
        Monotonic."""
        body_stream = self.request.body_stream
        assert body_stream
        if body_stream.is_timed or self.connection is None:
            return body_stream.sent_ns
        return max(body_stream.last_arrived_ns, self.connection.upload_moved_ns())

    def limit_upload(self, since_ns: int | None) -> None:
        """Resumes the deadline during the upload, with the time of the client running from `since_ns`
        (monotonic). None: suspends it again."""
        self._timer.cancel()
        if since_ns is not None and not self.body_stream:
            due_s = (since_ns + self.deadline_ns) / 1e9
            self._timer = asyncio.get_running_loop().call_at(due_s, self._on_deadline)

    def upload_finished(self) -> None:
        """Resumes the deadline, with the time that was left when the upload started."""
        assert self.request.body_stream
        self._timer.cancel()
        self.started_ns = time.monotonic_ns()
        self.deadline_ns += self.request.body_stream.sent_ns or self.started_ns
        if self._end_ns is not None:
            self.deadline_ns = min(self.deadline_ns, self._end_ns)
        if not self.body_stream:  # no deadline if the response began before the upload had finished
            self._arm()
        self.on_upload(self)

    def start_response(self, body_stream: BodyStream) -> None:
        """A streamed response begins. From here on only a stall ends the attempt, not its deadline."""
        self._timer.cancel()
        self.response_started_ns, self.body_stream = time.monotonic_ns(), body_stream
        self.on_response_start(self)

    @property
    def never_ran(self) -> bool:
        """Whether the request has certainly not run, and will not, by this attempt."""
        return self.status in NEVER_RAN or self.is_unsent

    @property
    def latency_ns(self) -> int:
        """Time until the response, or until the first bytes of a streamed one; 0 during an upload."""
        return (
            max(0, (self.response_started_ns or time.monotonic_ns()) - self.started_ns)
            if self.started_ns
            else 0
        )

    def end(self, status: Status, response: http1.Response | None = None) -> None:
        """Sets the final status and reports it. Any further call has no effect."""
        if self.status is None:
            self.status, self.response = status, response
            TELEMETRY.count(f"attempts {status.name.lower()}")
            if self.counts is not None and status is not Status.OK:
                self.counts[status.name] += 1
            self._timer.cancel()
            self.on_end(self)

    def abort(self, status: Status) -> None:
        """Aborts the attempt with `status`. A timeout before the request was wholly sent becomes
        CONNECT_FAILED, as the request cannot have run, or MOOT if it waited for a resource of this host."""
        if self.status is not None:
            return
        connection, self.connection = self.connection, None
        if connection and status is Status.TIMEOUT and self.started_ns and not self.body_stream:
            connection.close_idle_if_silent(self.started_ns)
        unsent = connection is None or connection.has_unsent_data
        if connection:
            connection.discard()
        self.is_unsent = unsent
        if unsent and status is Status.TIMEOUT:
            is_local = connection is None and self.lacks_resources
            status = Status.MOOT if is_local else Status.CONNECT_FAILED
        self.end(status)

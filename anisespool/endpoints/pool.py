"""The idle connections to one endpoint, and what is known of it."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from anisespool.config import Address
from anisespool.endpoints.attempt import Attempt
from shuntlead.interface import Status

REUSE_DELAY_S = 0.03  # idle time before reuse, in which surplus data of the last response would arrive


class PooledConnection(Protocol):
    """A connection that carries no attempt."""

    idle_since: float  # monotonic seconds

    def is_usable(self) -> bool: ...

    def start(self, attempt: Attempt, data: bytes) -> None: ...

    def discard(self) -> None: ...


class Pool:
    """The connections to one endpoint, and its counters."""

    def __init__(self, name: str, address: Address, started_ns: int, accepts_requests: bool) -> None:
        self.name, self.address = name, address
        self.started_ns, self.accepts_requests = started_ns, accepts_requests
        self.last_received_ns = 0  # when the endpoint last sent any data, in monotonic nanoseconds
        self.idle: list[PooledConnection] = []  # the most recently used last
        self.connecting: set[Attempt] = set()  # attempts that wait for a new connection
        self.counts: Counter[str] = Counter()  # sends, connects and failures since the last traffic log line
        self.connection_count = 0  # open connections, idle or in use
        self.load: tuple[float, ...] = ()  # the endpoint's last load report

    def acquire(self, idle_before: float) -> PooledConnection | None:
        """Takes the most recently used connection that is usable and has been idle since `idle_before` or
        longer (monotonic seconds). A faulty endpoint may send a second response some milliseconds after the
        first. On a connection reused at once it would pass for the response to the next request; on an idle
        one it closes the connection. No shortage of connections is a reason to wait for less."""
        for n in range(len(self.idle) - 1, -1, -1):
            if self.idle[n].idle_since <= idle_before:
                connection = self.idle.pop(n)
                if connection.is_usable():
                    return connection
                connection.discard()
        return None

    def take_counts(self) -> str:
        """Describes the counters for the log, and resets them."""
        done = f"{self.counts['sends']}/{self.counts['connects']}/{self.connection_count}"
        bad = "+".join(f"{n}{s.name.lower()}" for s in Status if (n := self.counts[s.name]))
        load = ",".join(f"{value:.2g}" for value in self.load)
        self.counts.clear()
        return f"{self.name} {done} {bad or '-'} {load or '-'}"

    def close_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.discard()

    def retire(self) -> None:
        """The endpoint drains, or was removed or replaced: closes it to new requests. Attempts that wait for
        a connection end with CONNECT_FAILED. They have not been sent, so the balancer can choose another
        endpoint for them."""
        self.accepts_requests = False
        self.close_idle()
        for attempt in list(self.connecting):
            attempt.end(Status.CONNECT_FAILED)

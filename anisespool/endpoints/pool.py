"""What is known of one endpoint's address, and the connections to it that are idle."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

from anisespool.config import Address
from anisespool.endpoints.attempt import Attempt
from shuntlead.interface import Status

REST_S = 0.03  # for an endpoint to have said all that it has to say to the request before


class Idle(Protocol):
    """A connection between two attempts."""

    idle_since: float

    def fresh(self) -> bool: ...

    def start(self, attempt: Attempt, data: bytes) -> None: ...

    def discard(self) -> None: ...


class Pool:
    def __init__(self, name: str, address: Address, started_ns: int, open_to_new: bool) -> None:
        self.name, self.address = name, address
        self.started_ns, self.open_to_new = started_ns, open_to_new
        self.heard_ns = 0  # when anything last came from it
        self.idle: list[Idle] = []  # the latest used last
        self.waiting: set[Attempt] = set()  # for a connection of their own
        self.counts: Counter[str] = Counter()  # since the last line of the log: sends, connects, bad ends
        self.held = 0  # connections
        self.load: tuple[float, ...] = ()  # as last reported

    def take(self, rested_since: float) -> Idle | None:
        """The latest used of the connections that are fit for another request. A second answer may
        come some milliseconds late; on one taken at once it would be the answer to the next request. On one
        that rests it ends the connection."""
        for n in range(len(self.idle) - 1, -1, -1):
            if self.idle[n].idle_since <= rested_since:
                connection = self.idle.pop(n)
                if connection.fresh():
                    return connection
                connection.discard()
        return None

    def close_idle(self) -> None:
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.discard()

    def retire(self) -> None:
        """Drained, gone or replaced. An attempt that waits for a connection would arrive after the
        news; it has not been sent, so the module may place it anew."""
        self.open_to_new = False
        self.close_idle()
        for attempt in list(self.waiting):
            attempt.end(Status.CONNECT_FAILED)

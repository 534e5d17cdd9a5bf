"""Chooses which client connection is closed to free its descriptor or its memory."""

from __future__ import annotations

import time
from collections.abc import Callable
from operator import attrgetter, itemgetter, methodcaller

from anisespool.front.client_connection import ClientConnection

ORDER_LIFETIME_S = 0.05  # how long a sorted order is used before it is computed again


class EvictionOrder:
    """The connections that may be evicted, by how idle they are.

    The order is reused for a short time. In a burst of new connections, sorting all of them for each new one
    would take longer than the interval between two arrivals, and the new connections would wait unread for an
    unknown time.
    """

    def __init__(
        self, connections: set[ClientConnection], may_evict: Callable[[ClientConnection], bool],
        evict: Callable[[ClientConnection], bool],
    ) -> None:  # fmt: skip
        """`connections`: all open ones, kept up to date by the owner. `evict` returns whether the connection
        is closed."""
        self._connections, self._may_evict, self._evict = connections, may_evict, evict
        self._order: list[tuple[float, ClientConnection]] = []  # by score; the last is evicted first
        self._sorted_at = -ORDER_LIFETIME_S  # monotonic seconds

    def evict_one(self, excluded: ClientConnection | None = None) -> bool:
        """Evict the idlest connection; returns whether there was one."""
        now = time.monotonic()
        if now < self._sorted_at + ORDER_LIFETIME_S and self._evict_idlest(now, excluded):
            return True
        self._sorted_at = now
        self._order = sorted(
            ((c.idle_score(now), c) for c in self._connections if self._may_evict(c)), key=itemgetter(0)
        )
        return self._evict_idlest(now, excluded)

    def drop_if_stale(self, now: float) -> None:
        """Let go of connections that have ended, once the order is not used any more."""
        if now > self._sorted_at + ORDER_LIFETIME_S:
            self._order = []

    def __len__(self) -> int:
        return len(self._order)

    def _evict_idlest(self, now: float, excluded: ClientConnection | None) -> bool:
        """Evict the first connection in the order that has not become active since it was sorted."""
        while self._order:
            idle_score, connection = self._order.pop()
            is_kept = connection is excluded or connection not in self._connections
            if is_kept or not self._may_evict(connection) or connection.idle_score(now) < idle_score:
                continue
            if self._evict(connection):
                return True
        return False


def idle_first(connections: set[ClientConnection]) -> EvictionOrder:
    """Evicts connections that have nothing in progress."""
    return EvictionOrder(connections, attrgetter("is_evictable"), methodcaller("evict"))


def half_written_only(connections: set[ClientConnection]) -> EvictionOrder:
    """Evicts connections in the middle of their first request, for clients that would have to wait."""
    return EvictionOrder(connections, attrgetter("is_half_written"), methodcaller("evict_half_written"))

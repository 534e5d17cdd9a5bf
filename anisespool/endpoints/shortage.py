"""What happens while this host has no connection, descriptor, port or buffer left for an attempt.

It says nothing about the endpoint, so no attempt fails at its endpoint for it: the attempt waits, and ends as
MOOT if nothing becomes free in time.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from math import inf

from anisespool.errors.system import SystemFailure, classify, to_fault
from anisespool.telemetry import TELEMETRY

SHORTAGE_PAUSE_S = 0.02  # between attempts to connect during a shortage


class ConnectionLimitReached(OSError):
    """All connections that this process may have to endpoints carry a request."""

    def __init__(self, max_connections: int) -> None:
        super().__init__(errno.EMFILE, f"all {max_connections} connections to endpoints are in use")


class ShortageHandler:
    """Frees what attempts wait for, but only once per SHORTAGE_PAUSE_S, however many attempts wait."""

    def __init__(self, evict: Callable[[], bool], log: Callable[[BaseException], None]) -> None:
        """`evict`: closes an idle connection to an endpoint, and returns whether there was one."""
        self._evict, self._log = evict, log
        self.free_descriptor: Callable[[], object] = lambda: None
        self.free_connection: Callable[[], object] = lambda: None
        self._handled_at = -inf

    def handle(self, shortage: OSError) -> None:
        """An attempt waits because of this error."""
        self._log(to_fault(shortage))
        now = time.monotonic()
        if now < self._handled_at + SHORTAGE_PAUSE_S:
            return
        self._handled_at = now
        TELEMETRY.count("shortages of connections")
        if self._evict():
            return
        if isinstance(shortage, ConnectionLimitReached):
            self.free_connection()
        elif classify(shortage) is SystemFailure.NO_RESOURCES:
            self.free_descriptor()

"""Bounds what one process holds for all its connections together, in both directions.

Each connection reports what it holds of requests and responses, with the cost of the objects. As room runs
out reads become smaller, and connections whose requests are incomplete wait, unread, until others have let go
of theirs. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_READ_BYTES, MIN_READ_BYTES = 64 * 1024, 1024
DEFAULT_MEMORY_BYTES = 16 * 1024 * 1024
READ_SHARE = 4  # a read takes one part in so many of what is left
RESUME_SHARE = 8  # connections wait until one part in so many is free


class MemoryBudget:
    """The limit and the sum of what is held, in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._waiting: dict[Callable[[], None], None] = {}  # in the order in which they began to wait

    @property
    def is_exhausted(self) -> bool:
        return self.held_bytes >= self.limit_bytes

    @property
    def is_short(self) -> bool:
        """Whether connections that wait have to go on waiting."""
        return self.limit_bytes - self.held_bytes <= self.limit_bytes // RESUME_SHARE

    @property
    def read_bytes(self) -> int:
        """How much one read may take now."""
        left_bytes = self.limit_bytes - self.held_bytes
        return max(MIN_READ_BYTES, min(MAX_READ_BYTES, left_bytes // READ_SHARE))

    def wait(self, resume: Callable[[], None]) -> None:
        """Call `resume` once there is room, in the order of the calls to `wait`."""
        self._waiting[resume] = None

    def cancel_wait(self, resume: Callable[[], None]) -> None:
        self._waiting.pop(resume, None)

    def resume_waiting(self) -> None:
        """Let as many connections read as there is room for. To be called periodically."""
        count = max(1, (self.limit_bytes - self.held_bytes) // MAX_READ_BYTES)
        if not self.is_short:
            for resume in list(self._waiting)[:count]:
                del self._waiting[resume]
                resume()


class Holding:
    """What one connection holds of a budget."""

    __slots__ = ("_budget", "_nbytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget, self._nbytes = budget, 0

    def set(self, nbytes: int) -> None:
        """The connection holds `nbytes` now."""
        self._budget.held_bytes += nbytes - self._nbytes
        self._nbytes = nbytes

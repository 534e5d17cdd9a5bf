"""Bounds what the connections of one process hold together, in both directions.

Each connection reports what it holds of requests and responses, with the cost of the objects. What the
process holds beyond that is measured (`memory_monitor`) and leaves less for the connections. As memory runs
out reads become smaller, bodies wait in the kernel until there is room for all of them, and buffers of
streamed responses shrink. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from anisespool.socket_buffers import MAX_BUFFER_BYTES, SocketBuffers

MAX_READ_BYTES, MIN_READ_BYTES = 64 * 1024, 1024
DEFAULT_MEMORY_BYTES = 16 * 1024 * 1024
READ_SHARE = 8  # a read takes one part in so many of what is free for bodies
# One part in so many of the limit is not for bodies and buffers: requests that are under way need it.
RESERVE_SHARE = 8
READ_AHEAD_BODY_SHARE = 4  # one long body takes one part in so many of what is free for bodies
READ_AHEAD_SHARE = 2  # bodies behind a request in progress leave one part in so many free


class Priority(Enum):
    """Who reads first when there is room again."""

    NEXT = auto()  # nothing else is in progress on the connection
    READ_AHEAD = auto()  # another request of the same client is in progress


class MemoryBudget:
    """The limit and what is held, in bytes."""

    def __init__(self, limit_bytes: int, buffers: SocketBuffers | None = None) -> None:
        """`buffers`: what the kernel may hold for each connection."""
        self.buffers = buffers or SocketBuffers()
        self.limit_bytes, self._reserve_bytes = limit_bytes, limit_bytes // RESERVE_SHARE
        self._min_bytes = self._reserve_bytes  # that may always be held
        self.held_bytes = 0  # as the connections report it
        self.kernel_bytes = 0  # of these, what the kernel holds for them
        self.unaccounted_bytes = 0  # what the process holds beyond its start and what they report of it
        self.refresh: Callable[[], None] = lambda: None  # updates the limit and `unaccounted_bytes`
        # What each connection waits for, in the order in which they began to wait.
        self._waiting: dict[Priority, dict[Callable[[], None], int]] = {each: {} for each in Priority}

    def set_limit(self, limit_bytes: int, min_bytes: int = 0) -> None:
        """Change what all connections together may hold, and what they may hold whatever was measured."""
        self.limit_bytes, self._reserve_bytes = limit_bytes, limit_bytes // RESERVE_SHARE
        self._min_bytes = max(min_bytes, self._reserve_bytes)

    @property
    def free_bytes(self) -> int:
        """How much more may be held. Memory that the allocator does not return is used again for new objects,
        so a part of the limit is there for the connections, whatever was measured."""
        left_bytes = self.limit_bytes - self.held_bytes
        return max(left_bytes - self.unaccounted_bytes, self._min_bytes - self.held_bytes)

    @property
    def is_exhausted(self) -> bool:
        """Whether no new request can be served."""
        return self.free_bytes <= 0

    def may_start(self, unanswered: int) -> bool:
        """Whether there is room for a request beside those that have no answer yet, if all of them get long
        answers that are read slowly."""
        return self.free_bytes > unanswered * self.buffers.min_stream_bytes

    @property
    def is_short(self) -> bool:
        """Whether what is left is kept for requests that are under way."""
        return self.free_bytes <= self._reserve_bytes

    @property
    def read_bytes(self) -> int:
        """How much one read may take now."""
        self.refresh()
        return max(MIN_READ_BYTES, min(MAX_READ_BYTES, self._free_for_bodies // READ_SHARE))

    @property
    def _free_for_bodies(self) -> int:
        return self.free_bytes - self._reserve_bytes

    @property
    def send_buffer_bytes(self) -> int:
        """How large the kernel's send buffer of a connection may be now. A small one costs time: what the
        other side has received is only freed once it acknowledges it."""
        is_half_free = self.free_bytes > self.limit_bytes // 2
        return MAX_BUFFER_BYTES if is_half_free else self.buffers.min_send_bytes

    @property
    def read_ahead_bytes(self) -> int:
        """How much of one long body may wait in this process for its endpoint."""
        return max(0, self._free_for_bodies // READ_AHEAD_BODY_SHARE)

    def share_bytes(self, count: int) -> int:
        """What each of `count` buffers may hold, so that half of what is free stays free."""
        return max(0, self._free_for_bodies // 2 // max(1, count))

    def may_take(self, nbytes: int, priority: Priority) -> bool:
        """Whether there is room for a body of this length."""
        kept_bytes = self.limit_bytes // READ_AHEAD_SHARE if priority is Priority.READ_AHEAD else 0
        return self.free_bytes - nbytes > max(self._reserve_bytes, kept_bytes)

    @property
    def waiting(self) -> int:
        """The number of connections that wait."""
        return sum(map(len, self._waiting.values()))

    def wait(self, resume: Callable[[], None], nbytes: int = 0, priority: Priority = Priority.NEXT) -> None:
        """Call `resume` once there is room for `nbytes`, in the order of the calls to `wait`."""
        self.cancel_wait(resume)
        self._waiting[priority][resume] = nbytes

    def cancel_wait(self, resume: Callable[[], None]) -> None:
        for waiting in self._waiting.values():
            waiting.pop(resume, None)

    def resume_waiting(self) -> None:
        """Let as many connections read as there is room for. To be called periodically."""
        self.refresh()
        granted_bytes = 0  # those resumed read one after another, and hold nothing more yet
        for priority, waiting in self._waiting.items():
            for resume, nbytes in list(waiting.items()):
                if not self.may_take(nbytes + granted_bytes, priority):
                    return  # none of lower priority goes first
                waiting.pop(resume, None)
                resume()
                granted_bytes += MIN_READ_BYTES


class Holding:
    """What one connection holds of a budget."""

    __slots__ = ("_budget", "_is_released", "_kernel_bytes", "_nbytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget, self._nbytes, self._kernel_bytes, self._is_released = budget, 0, 0, False

    def set(self, own_bytes: int, kernel_bytes: int = 0) -> None:
        """The connection holds so much in this process now, and so much in the kernel."""
        if not self._is_released:
            nbytes = own_bytes + kernel_bytes
            self._budget.held_bytes += nbytes - self._nbytes
            self._budget.kernel_bytes += kernel_bytes - self._kernel_bytes
            self._nbytes, self._kernel_bytes = nbytes, kernel_bytes

    def release(self) -> None:
        """The connection has ended, and holds nothing whatever it reports."""
        self.set(0)
        self._is_released = True

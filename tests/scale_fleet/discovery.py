"""A simulated discovery that serves calls in order, on a virtual clock or that of an event loop.

Assumptions: all machines together serve `per_s` calls a second from one queue; a call that has waited
longer than MAX_QUEUE_S is answered 503. `refusals_cost` says whether that takes as long as an answer, as the
contract does not specify it. A call abandoned by its caller stays in the queue.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

MAX_QUEUE_S = 2.0  # longest time that a call spends in the queue
RESET_S = 0.001  # until a refused connection is reset


class Scheduler(Protocol):
    def time(self) -> float: ...

    def call_at(self, when: float, callback: Callable[[], object], /) -> object: ...


class Timeline:
    """A virtual clock that jumps to the next scheduled callback."""

    def __init__(self) -> None:
        self._now, self._count = 0.0, 0
        self._due: list[tuple[float, int, Callable[[], object]]] = []

    def time(self) -> float:
        return self._now

    def call_at(self, when: float, callback: Callable[[], object], /) -> None:
        self._count += 1
        heapq.heappush(self._due, (max(when, self._now), self._count, callback))

    def run(self, until_s: float, done: Callable[[], bool]) -> None:
        while self._due and self._due[0][0] <= until_s and not done():
            self._now, _, callback = heapq.heappop(self._due)
            callback()


class Caller(Protocol):
    def answered(self) -> bool:
        """Returns whether the caller was still waiting."""
        ...

    def failed(self) -> None: ...


class SimulatedDiscovery:
    def __init__(self, scheduler: Scheduler, per_s: float, refusals_cost: bool, hangs: bool = False) -> None:
        """`hangs`: while it is down, calls get no response; otherwise they are reset."""
        self.per_s, self.up = per_s, True
        self.calls, self.outcomes = Counter[int](), Counter[str]()  # calls by whole seconds
        self._scheduler, self._refusals_cost, self._hangs = scheduler, refusals_cost, hangs
        self._queue: deque[tuple[float, Caller]] = deque()
        self._is_busy = False

    def call(self, caller: Caller) -> None:
        now = self._scheduler.time()
        self.calls[int(now)] += 1
        if self.up:
            self._queue.append((now, caller))
            if not self._is_busy:
                self._start_next()
        elif not self._hangs:
            self.outcomes["reset"] += 1
            self._scheduler.call_at(now + RESET_S, caller.failed)

    def _start_next(self) -> None:
        now, self._is_busy = self._scheduler.time(), False
        while self._queue and not self._is_busy:
            arrived, caller = self._queue.popleft()
            late = now - arrived > MAX_QUEUE_S
            if late and not self._refusals_cost:
                self._refuse(caller)
                continue
            self._is_busy = True
            self._scheduler.call_at(now + 1 / self.per_s, partial(self._finish_call, caller, late))

    def _finish_call(self, caller: Caller, late: bool) -> None:
        if late:
            self._refuse(caller)
        else:
            self.outcomes["answered" if caller.answered() else "answered in vain"] += 1
        self._start_next()

    def _refuse(self, caller: Caller) -> None:
        self.outcomes["refused"] += 1
        caller.failed()

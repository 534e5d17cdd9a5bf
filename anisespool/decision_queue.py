"""The decision module and its queue of events: one event at a time, each followed by its actions."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from shuntlead import interface as api

QUIET_S = 1.0  # between two tracebacks in the log

Perform = Callable[..., None]


class Module(Protocol):
    """What decides; `now` in nanoseconds of the monotonic clock."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


class Decisions:
    """Passes events to the module in order, and carries out its actions."""

    def __init__(
        self, module: Module, on_handled: Callable[[api.Event], None], on_fault: Callable[[int], None]
    ) -> None:
        """`on_handled`: the event's actions are done. `on_fault`: the module failed on an event of this
        request, and decides nothing more for it."""
        self.module = module
        self.actions: dict[type, Perform] = {}  # how each kind is carried out; others are left out
        self._on_handled, self._on_fault = on_handled, on_fault
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._complained_at = 0.0

    def handle(self, event: api.Event) -> None:
        """An action may end an attempt at once, and that event waits its turn."""
        self._events.append(event)
        if not self._handling:
            self._drain()

    def handle_first(self, event: api.Event) -> None:
        """Ahead of those that wait."""
        self._events.appendleft(event)
        if not self._handling:
            self._drain()

    @contextmanager
    def held(self) -> Iterator[None]:
        """Events of this time wait until the next one is handled."""
        before, self._handling = self._handling, True
        try:
            yield
        finally:
            self._handling = before

    def _drain(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._one(self._events.popleft())
        finally:
            self._handling = False

    def _one(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(time.monotonic_ns(), event)
        except Exception:
            # The module's fault must cost one request, not all that are open.
            self._complain()
            if isinstance(event, api.Request | api.Outcome | api.ClientGone):
                self._on_fault(event.request)
            if isinstance(event, api.Request | api.Outcome):
                self._events.append(api.ClientGone(event.request))
            return
        for action in actions:
            perform = self.actions.get(type(action))
            if perform:  # else the settings forbid it, or the watch does it unasked
                perform(action)
        self._on_handled(event)

    def _complain(self) -> None:
        if time.monotonic() >= self._complained_at + QUIET_S:
            self._complained_at = time.monotonic()
            traceback.print_exc()

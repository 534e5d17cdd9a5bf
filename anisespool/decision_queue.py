"""Feeds events to the decision module one at a time, and performs the actions that each one returns."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from shuntlead import interface as api

TRACEBACK_INTERVAL_S = 1.0  # minimum time between logged tracebacks

ActionHandler = Callable[..., None]


class DecisionModule(Protocol):
    """The decision module (`shuntlead.Balancer`). `now`: monotonic time in nanoseconds."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


class DecisionQueue:
    """Queues events for the decision module and performs the actions it returns, in order."""

    def __init__(
        self,
        module: DecisionModule,
        on_handled: Callable[[api.Event], None],
        on_module_error: Callable[[int], None],
    ) -> None:
        """`on_handled`: called once an event's actions are performed. `on_module_error`: called with the
        request whose event raised an exception in the module, which makes no further decisions for it."""
        self.module = module
        self.actions: dict[type, ActionHandler] = {}  # handler by action type; other types are ignored
        self._on_handled, self._on_module_error = on_handled, on_module_error
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._traceback_logged_at = 0.0

    def handle(self, event: api.Event) -> None:
        """Process an event, or queue it while another is in progress: an action may end an attempt at once,
        which causes a further event."""
        self._events.append(event)
        if not self._handling:
            self._drain()

    def handle_next(self, event: api.Event) -> None:
        """Process an event ahead of those already queued."""
        self._events.appendleft(event)
        if not self._handling:
            self._drain()

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Within this context events are only queued; the next event handled outside it processes them."""
        before, self._handling = self._handling, True
        try:
            yield
        finally:
            self._handling = before

    def _drain(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._process(self._events.popleft())
        finally:
            self._handling = False

    def _process(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(time.monotonic_ns(), event)
        except Exception:
            # An error in the module must fail only the request concerned, not all open ones.
            self._log_traceback()
            if isinstance(event, api.Request | api.Outcome | api.ClientGone):
                self._on_module_error(event.request)
            if isinstance(event, api.Request | api.Outcome):
                self._events.append(api.ClientGone(event.request))
            return
        for action in actions:
            perform = self.actions.get(type(action))
            if perform:  # no handler: disabled by the settings, or done by the discovery watch anyway
                perform(action)
        self._on_handled(event)

    def _log_traceback(self) -> None:
        if time.monotonic() >= self._traceback_logged_at + TRACEBACK_INTERVAL_S:
            self._traceback_logged_at = time.monotonic()
            traceback.print_exc()

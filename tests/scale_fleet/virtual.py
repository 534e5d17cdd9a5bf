"""An event loop whose clock jumps to the next timer, so that asyncio code runs hours in seconds."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any


class _JumpingSelector(selectors.BaseSelector):
    """A selector with no ready sockets; waiting advances the virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self._keys[fileobj] = key = selectors.SelectorKey(fileobj, descriptor, events, data)
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled, but a task is still waiting")
        self.now += max(0.0, timeout)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jumping_selector = _JumpingSelector()
        super().__init__(self.jumping_selector)

    def time(self) -> float:
        return self.jumping_selector.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)

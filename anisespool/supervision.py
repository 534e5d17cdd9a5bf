"""Tasks that have to run for as long as the process does: what ends one is logged, and it starts again."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from anisespool.log import say

AGAIN_S = 0.5


async def supervise(name: str, work: Callable[[], Awaitable[object]]) -> None:
    """Run `work` until it returns; whenever it raises, again after AGAIN_S. Being cancelled ends it."""
    while True:
        try:
            await work()
            return
        except Exception as error:
            say("anisespool", f"{name} failed and starts again: {type(error).__name__}: {error}")
            traceback.print_exc()
        await asyncio.sleep(AGAIN_S)

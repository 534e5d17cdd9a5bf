"""Restarts background tasks that fail, so that they run as long as the process."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from anisespool.log import log_info

RESTART_DELAY_S = 0.5  # delay before a failed task is restarted


async def supervise(name: str, work: Callable[[], Awaitable[object]]) -> None:
    """Run `work` until it returns. If it raises, log the exception and run it again after AGAIN_S;
    cancellation ends it."""
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_info("anisespool", f"{name} failed and starts again: {type(error).__name__}: {error}")
            traceback.print_exc()
        await asyncio.sleep(RESTART_DELAY_S)

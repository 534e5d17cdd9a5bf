"""Waits for one of several events, with a timeout."""

from __future__ import annotations

import asyncio


async def wait_for_any(events: tuple[asyncio.Event, ...], timeout_s: float) -> bool:
    """Wait until one of the events is set or the timeout expires. Returns whether one is set."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        done, _ = await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
    return bool(done)

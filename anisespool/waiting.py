"""Waiting for one of several events, for so long at most."""

from __future__ import annotations

import asyncio


async def first_of(events: tuple[asyncio.Event, ...], timeout_s: float) -> bool:
    """Until one of the events is set, or the time is over; whether one is."""
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        done, _ = await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
    return bool(done)

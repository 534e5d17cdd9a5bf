"""The figures of one real sidecar process at one size, taken as those of hollow ones (tests/scale/job.py)."""

from __future__ import annotations

import asyncio
import gc
import time
from pathlib import Path
from typing import Any

from tests.scale.job import TOLD, observations
from tests.scale.listing import Listing, line
from tests.scale.measure import Meter, Spread
from tests.scale.real import RealSidecar, real_sidecar

ROUNDS = 3  # of the changes, and windows of waiting


PAUSE_S = 0.002  # between two datagrams: what its socket cannot hold is lost
SETTLE_S = 1.5  # after the start: the last of what it makes then


async def real_figures(home: Path, size: int, seed: int, store: bool, changes: int,
                       idle_s: float, learned: bool = True) -> dict[str, Any]:  # fmt: skip
    """`learned`: also what it takes once peers have told of every server."""
    home.mkdir()
    listing = Listing(size, seed)
    full = listing.full()
    told = line(full)
    async with real_sidecar(home, size, seed, full["members"][0], store) as car:
        meter = car.meter
        figures: dict[str, Any] = {"size": size, "store": store, "base_rss": meter.rss()}
        await asyncio.sleep(SETTLE_S)
        idle = await _idle(meter, idle_s)
        cpu, rss, at = meter.cpu_s(), meter.rss(), time.monotonic()
        await car.tell(told)
        await car.until_listed(full["members"][-1]["id"])
        if store:
            await car.until_saved(listing.revision)
        figures["cpu_list"] = meter.cpu_s() - cpu - (time.monotonic() - at) * idle
        figures["rss_list"] = meter.rss() - rss
        windows = [await _idle(meter, idle_s) for _ in range(ROUNDS)]
        figures["cpu_idle"] = Spread.of(windows)
        figures |= await _changes(car, listing, store, changes, Spread.of(windows).median)
        if learned:
            figures["cpu_learned"] = await _learned(car, observations(listing.rows), idle_s)
        return figures


async def _learned(car: RealSidecar, datagrams: list[bytes], idle_s: float) -> Spread:
    """What a second of waiting takes once peers have told of every server, and go on to."""
    with car.peer() as tell:
        for data in datagrams:
            tell(data)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(SETTLE_S * 2)  # the store takes up what was heard
        windows, count = [], round(TOLD * idle_s)
        for _ in range(ROUNDS):
            before, at = car.meter.cpu_s(), time.monotonic()
            for _ in range(count):
                await asyncio.sleep(idle_s / count)
                datagrams.append(datagrams.pop(0))
                tell(datagrams[-1])
            windows.append((car.meter.cpu_s() - before) / (time.monotonic() - at))
    return Spread.of(windows)


async def _idle(meter: Meter, idle_s: float) -> float:
    before, at = meter.cpu_s(), time.monotonic()
    await asyncio.sleep(idle_s)
    return (meter.cpu_s() - before) / (time.monotonic() - at)


async def _changes(car: RealSidecar, listing: Listing, store: bool, count: int,
                   idle: float) -> dict[str, Any]:  # fmt: skip
    """Less what the waiting takes. With the store, each change is told once the one before it is on the
    disk: else the store would take several at a time."""
    rounds, meter, written = [], car.meter, car.meter.written()
    for _ in range(ROUNDS):
        told = []
        for n in range(count):
            change = listing.change("added" if n + 1 == count else "")  # the last is seen in the log
            told.append((listing.revision, change["members"][0]["id"], line(change)))
        gc.collect()
        cpu, at = meter.cpu_s(), time.monotonic()
        for revision, _, data in told:
            await car.tell(data)
            if store:
                await car.until_saved(revision)
        await car.until_listed(told[-1][1])
        rounds.append((meter.cpu_s() - cpu - (time.monotonic() - at) * idle) / count)
    return {"cpu_change": Spread.of(rounds), "written_change": (meter.written() - written) / ROUNDS / count}

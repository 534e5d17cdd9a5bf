"""Measures one real sidecar process at one size, as tests/scale/job.py measures hollow sidecars."""

from __future__ import annotations

import asyncio
import gc
import time
from pathlib import Path
from typing import Any

from tests.scale.job import DATAGRAMS_PER_S, observations
from tests.scale.listing import Listing, line
from tests.scale.measure import Meter, Spread
from tests.scale.real import RealSidecar, real_sidecar

REPETITIONS = 3  # of the changes, and of the idle windows
PAUSE_S = 0.002  # between datagrams: the socket drops what overflows its buffer
SETTLE_S = 1.5  # after the start, until start-up work is over


async def real_figures(home: Path, size: int, seed: int, store: bool, changes: int,
                       idle_s: float, learned: bool = True) -> dict[str, Any]:  # fmt: skip
    """`learned`: also measure the idle cost once peers have reported every server."""
    home.mkdir()
    listing = Listing(size, seed)
    full = listing.full()
    full_line = line(full)
    async with real_sidecar(home, size, seed, full["members"][0], store) as sidecar:
        meter = sidecar.meter
        figures: dict[str, Any] = {"size": size, "store": store, "base_rss": meter.rss()}
        await asyncio.sleep(SETTLE_S)
        idle = await _idle(meter, idle_s)
        cpu, rss, at = meter.cpu_s(), meter.rss(), time.monotonic()
        await sidecar.send_line(full_line)
        await sidecar.wait_until_listed(full["members"][-1]["id"])
        if store:
            await sidecar.wait_until_saved(listing.revision)
        figures["cpu_list"] = meter.cpu_s() - cpu - (time.monotonic() - at) * idle
        figures["rss_list"] = meter.rss() - rss
        windows = [await _idle(meter, idle_s) for _ in range(REPETITIONS)]
        figures["cpu_idle"] = Spread.of(windows)
        figures |= await _changes(sidecar, listing, store, changes, Spread.of(windows).median)
        if learned:
            figures["cpu_learned"] = await _learned(sidecar, observations(listing.rows), idle_s)
        return figures


async def _learned(sidecar: RealSidecar, datagrams: list[bytes], idle_s: float) -> Spread:
    """CPU time per idle second once peers have reported every server, and while they keep reporting."""
    with sidecar.peer() as send_datagram:
        for data in datagrams:
            send_datagram(data)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(SETTLE_S * 2)  # until the store has saved the reports
        windows, count = [], round(DATAGRAMS_PER_S * idle_s)
        for _ in range(REPETITIONS):
            before, at = sidecar.meter.cpu_s(), time.monotonic()
            for _ in range(count):
                await asyncio.sleep(idle_s / count)
                datagrams.append(datagrams.pop(0))
                send_datagram(datagrams[-1])
            windows.append((sidecar.meter.cpu_s() - before) / (time.monotonic() - at))
    return Spread.of(windows)


async def _idle(meter: Meter, idle_s: float) -> float:
    before, at = meter.cpu_s(), time.monotonic()
    await asyncio.sleep(idle_s)
    return (meter.cpu_s() - before) / (time.monotonic() - at)


async def _changes(sidecar: RealSidecar, listing: Listing, store: bool, count: int,
                   idle: float) -> dict[str, Any]:  # fmt: skip
    """The cost of changes, less the idle cost. With a store, each change is sent once the previous one is on
    disk, as the store would otherwise save several at once."""
    rounds, meter, written = [], sidecar.meter, sidecar.meter.written()
    for _ in range(REPETITIONS):
        pending = []
        for n in range(count):
            change = listing.change("added" if n + 1 == count else "")  # the sidecar logs an added server
            pending.append((listing.revision, change["members"][0]["id"], line(change)))
        gc.collect()
        cpu, at = meter.cpu_s(), time.monotonic()
        for revision, _, data in pending:
            await sidecar.send_line(data)
            if store:
                await sidecar.wait_until_saved(revision)
        await sidecar.wait_until_listed(pending[-1][1])
        rounds.append((meter.cpu_s() - cpu - (time.monotonic() - at) * idle) / count)
    return {
        "cpu_change": Spread.of(rounds),
        "written_change": (meter.written() - written) / REPETITIONS / count,
    }

"""The CPU cost of a list change in a real process, with a short and a long list, with faults in between."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from anisespool.state.store import Store
from tests.net import until
from tests.scale.listing import Listing, line
from tests.scale.real import RealSidecar, real_sidecar

SHORT, LONG = 100, 3_000
CHANGES = 40


async def apply_changes(sidecar: RealSidecar, listing: Listing, count: int) -> None:
    """Send changes one at a time, each once the previous one is on disk."""
    for change in listing.changes(count):
        await sidecar.send_line(change)
        await sidecar.wait_until_saved(json.loads(change)["revision"])


async def pause_process(sidecar: RealSidecar, listing: Listing) -> None:
    """Stop the process; the changes sent meanwhile arrive together when it continues."""
    sidecar.process.send_signal(signal.SIGSTOP)
    for change in listing.changes(10):
        await sidecar.send_line(change)
    sidecar.process.send_signal(signal.SIGCONT)
    await sidecar.wait_until_saved(listing.revision)


async def reconnect(sidecar: RealSidecar, listing: Listing) -> None:
    """Cut the watch; the sidecar calls again and gets the full list, which has changed meanwhile."""
    calls = len(sidecar.discovery.connections)
    sidecar.discovery.connections[-1][1].transport.abort()
    listing.changes(10)
    await until(lambda: len(sidecar.discovery.connections) > calls)
    await sidecar.send_line(line(listing.full()))
    await sidecar.wait_until_saved(listing.revision)


async def change_cost(home: Path, size: int) -> float:
    """CPU seconds per change. Also checks that the list is on disk after the process is killed."""
    home.mkdir()
    listing, spent = Listing(size, 5), 0.0
    async with real_sidecar(home, size, 5, listing.full()["members"][0], store=True) as sidecar:
        await sidecar.send_line(line(listing.full()))
        await sidecar.wait_until_saved(listing.revision)
        for fault in (pause_process, reconnect):
            before = sidecar.meter.cpu_s()
            await apply_changes(sidecar, listing, CHANGES)
            spent += sidecar.meter.cpu_s() - before
            await fault(sidecar, listing)
        sidecar.process.kill()
        await sidecar.process.wait()
    store = Store.open(home, "n0")
    assert store and (stored := store.last_list())
    store.close()
    assert stored[0].revision == listing.revision
    assert {row["id"]: row for row in json.loads(stored[1])["members"]} == listing.rows
    return spent / (2 * CHANGES)


@pytest.mark.timeout(40)
async def test_a_change_costs_a_sidecar_as_much_whether_its_list_is_short_or_long(tmp_path: Path) -> None:
    """The cost used to grow with the list: with 9,100 servers and the store a change took 15 ms of CPU time,
    in which requests wait. Both run side by side, so that other load on the machine affects both."""
    short, long = await asyncio.gather(*(change_cost(tmp_path / f"{n}", n) for n in (SHORT, LONG)))
    print(f"{short * 1e3:.2f} ms a change at {SHORT} listed, {long * 1e3:.2f} ms at {LONG}")
    assert 0 < long < 3 * short

"""What a change of the list costs a real process, short list and long, with faults between."""

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


async def take(car: RealSidecar, listing: Listing, count: int) -> None:
    """Changes one by one, each told once the one before it is on the disk."""
    for change in listing.changes(count):
        await car.tell(change)
        await car.until_saved(json.loads(change)["revision"])


async def stopped(car: RealSidecar, listing: Listing) -> None:
    """What is told meanwhile comes at once when it goes on."""
    car.process.send_signal(signal.SIGSTOP)
    for change in listing.changes(10):
        await car.tell(change)
    car.process.send_signal(signal.SIGCONT)
    await car.until_saved(listing.revision)


async def cut_off(car: RealSidecar, listing: Listing) -> None:
    """It calls anew, and gets the whole list, of which some has changed."""
    calls = len(car.discovery.connections)
    car.discovery.connections[-1][1].transport.abort()
    listing.changes(10)
    await until(lambda: len(car.discovery.connections) > calls)
    await car.tell(line(listing.full()))
    await car.until_saved(listing.revision)


async def change_cost(home: Path, size: int) -> float:
    """Processor seconds for a change, of a process that ends by SIGKILL with discovery's list on its disk."""
    home.mkdir()
    listing, spent = Listing(size, 5), 0.0
    async with real_sidecar(home, size, 5, listing.full()["members"][0], store=True) as car:
        await car.tell(line(listing.full()))
        await car.until_saved(listing.revision)
        for fault in (stopped, cut_off):
            before = car.meter.cpu_s()
            await take(car, listing, CHANGES)
            spent += car.meter.cpu_s() - before
            await fault(car, listing)
        car.process.kill()
        await car.process.wait()
    store = Store.open(home, "n0")
    assert store and (stored := store.last_list())
    store.close()
    assert stored[0].revision == listing.revision
    assert {row["id"]: row for row in json.loads(stored[1])["members"]} == listing.rows
    return spent / (2 * CHANGES)


@pytest.mark.timeout(40)
async def test_a_change_costs_a_sidecar_as_much_whether_its_list_is_short_or_long(tmp_path: Path) -> None:
    """It cost by what was listed: at 9,100, with the store, 15 ms of a core, in which requests wait.
    Both are measured side by side, so that what else the machine does falls on both."""
    short, long = await asyncio.gather(*(change_cost(tmp_path / f"{n}", n) for n in (SHORT, LONG)))
    print(f"{short * 1e3:.2f} ms a change at {SHORT} listed, {long * 1e3:.2f} ms at {LONG}")
    assert 0 < long < 3 * short

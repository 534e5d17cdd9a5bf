"""Measures hollow sidecars at one size in a separate process: `python -m tests.scale.job JOB`, with the job
as JSON. The result is JSON on standard output."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from anisespool.peers import FORMAT_VERSION, shared_id
from shuntlead import interface as api
from shuntlead.peer_codec import encode_peer_message
from tests.scale.decider import BalancerDriver
from tests.scale.hollow import HollowSidecar, read_config, write_config
from tests.scale.listing import Listing, line
from tests.scale.measure import Meter, Spread, Times

Figures = dict[str, Any]
DATAGRAMS_PER_S = 6  # from peers, full: 36 servers each, as many as are learned in traffic


class Job:
    def __init__(self, size: int, seed: int, store: bool, sidecars: int, changes: int, idle_s: float) -> None:
        self.size, self.seed, self.store, self.sidecars = size, seed, store, sidecars
        self.changes, self.idle_s = changes, idle_s
        self.meter = Meter()
        self.figures: Figures = {"size": size, "store": store}
        self.hollows: list[HollowSidecar] = []
        self._datagrams: list[bytes] = []  # peers' reports, sent in turn
        self._changes, self._means, self._written = Times(), list[float](), list[float]()  # per sidecar

    async def run(self, folder: Path) -> Figures:
        listing = Listing(self.size, self.seed)
        full = line(listing.full())
        changes = listing.changes(self.changes)
        last = dict(listing.rows)
        self.figures["bytes_list"] = len(full)
        self.figures["bytes_change"] = Spread.of([len(change) for change in changes])
        config = read_config(write_config(folder, self.size, self.seed, [json.loads(full)["members"][0]]))
        self.figures["base_rss"] = self.meter.rss()
        for n in range(self.sidecars):
            home = folder / f"n{n}"
            home.mkdir()
            self.hollows.append(HollowSidecar(config, home if self.store else None))
            self.hollows[-1].start_storing()
        await asyncio.sleep(0)
        await self._measure_list(full)
        for hollow in self.hollows:  # one at a time: several would share the loop's wake-up cost
            hollow.start_idle_tasks()
            if hollow is self.hollows[0]:
                await self._measure_idle("idle")
            await self._measure_changes(hollow, changes)
            await hollow.stop_idle_tasks()
        self._receive_all_datagrams()
        self.hollows[0].start_idle_tasks()
        await self._measure_idle("settling")  # until the store has saved the reports
        await self._measure_idle("learned", DATAGRAMS_PER_S)
        if (store := self.hollows[0].store) and (found := store.last_list()):
            self.figures["stored"] = len(json.loads(found[1])["members"])
            self.figures["whole"] = self.figures["stored"] == len(last)
        self.figures["same"] = all(_matches(hollow, last) for hollow in self.hollows)
        for hollow in self.hollows:
            await hollow.stop()
        await asyncio.get_running_loop().shutdown_default_executor()
        for hollow in self.hollows:
            hollow.close()
        if not self.store:
            self.figures |= draws(self.size, self.seed)
        return self.figures

    async def _measure_list(self, full: bytes) -> None:
        gc.collect()
        gc.freeze()  # as a sidecar does once it is ready
        cpu, memory = [], []
        for hollow in self.hollows:
            before, rss = self.meter.cpu_s(), self.meter.rss()
            hollow.receive(full)
            await hollow.wait_until_stored()
            cpu.append(self.meter.cpu_s() - before)
            gc.collect()
            memory.append(self.meter.rss() - rss)
        self.figures |= {"cpu_list": Spread.of(cpu), "cpu_first": cpu[0],
                         "rss_list": Spread.of(memory), "rss_first": memory[0],
                         "rss_row": statistics.median(memory) / self.size}  # fmt: skip

    async def _measure_idle(self, name: str, datagrams_per_s: int = 0) -> None:
        """CPU time per idle second of the first sidecar, which gets so many full datagrams from peers."""
        windows, count = [], round(datagrams_per_s * self.idle_s)
        for _ in range(3):
            before = self.meter.cpu_s()
            for _ in range(count):
                await asyncio.sleep(self.idle_s / count)
                self._receive_datagram(self.hollows[:1])
            await asyncio.sleep(0 if count else self.idle_s)
            windows.append((self.meter.cpu_s() - before) / self.idle_s)
        self.figures[f"cpu_{name}"] = Spread.of(windows)

    async def _measure_changes(self, hollow: HollowSidecar, changes: list[bytes]) -> None:
        """The cost of changes, less the idle cost."""
        total, written, idle = 0.0, self.meter.written(), self.figures["cpu_idle"].median
        for change in changes:
            before, at = self.meter.cpu_s(), time.monotonic()
            hollow.receive(change)
            await hollow.wait_until_stored()
            took = self.meter.cpu_s() - before - (time.monotonic() - at) * idle
            self._changes.add(took)
            total += took
        self._means.append(total / len(changes))
        self._written.append((self.meter.written() - written) / len(changes))
        self.figures |= {"cpu_change": self._changes.spread(), "cpu_change_mean": Spread.of(self._means),
                         "written_change": Spread.of(self._written)}  # fmt: skip

    def _receive_all_datagrams(self) -> None:
        """Process peers' reports on every server."""
        hear, self._datagrams = Times(), observations(self.hollows[0].sidecar.servers.numbers)
        for _ in self._datagrams:
            before = self.meter.cpu_s()
            self._receive_datagram(self.hollows)
            hear.add((self.meter.cpu_s() - before) / self.sidecars)
        self.figures["cpu_hear"] = hear.spread()

    def _receive_datagram(self, hollows: list[HollowSidecar]) -> None:
        """Deliver one datagram to each sidecar, with the next servers of the list."""
        self._datagrams.append(self._datagrams.pop(0))
        for hollow in hollows:
            assert hollow.sidecar.peers
            hollow.sidecar.peers.datagram_received(self._datagrams[-1], hollow.sidecar.peers.addresses[1])


def observations(ids: Iterable[str]) -> list[bytes]:
    """Peers' reports on all these servers, in full datagrams."""
    seen = [api.Observation(shared_id(member_id), 1.5, 1.0, 0) for member_id in ids]
    return [FORMAT_VERSION + encode_peer_message(0.1, tuple(seen[at : at + api.MAX_OBSERVATIONS]))
            for at in range(0, len(seen), api.MAX_OBSERVATIONS)]  # fmt: skip


def _matches(hollow: HollowSidecar, rows: dict[str, Any]) -> bool:
    """Whether the sidecar has the same servers as discovery, and the same ones up."""
    servers = hollow.sidecar.servers
    up = {n for n, row in rows.items() if row["phase"] == "up"}
    return set(servers.numbers) == set(rows) and {servers.numbers[n] for n in up} == servers.ready


def draws(size: int, seed: int) -> Figures:
    decider = BalancerDriver(Listing(size, seed), seed)
    decider.serve(1_000)
    requests, outcomes = Times(), Times()
    decider.serve(2_000, requests.add, outcomes.add)
    return {"cpu_draw": requests.spread(), "cpu_outcome": outcomes.spread()}


def main() -> None:
    job = json.loads(sys.argv[1])
    answer = os.dup(1)
    with tempfile.TemporaryDirectory() as folder, open(Path(folder) / "log", "w") as log:
        sys.stderr = log
        figures = asyncio.run(Job(**job).run(Path(folder)))
    os.write(answer, json.dumps(figures).encode())


if __name__ == "__main__":
    main()

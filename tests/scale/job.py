"""The figures of hollow sidecars at one size, in a process of their own: `python -m tests.scale.job JOB`,
with the job as JSON; the answer is JSON on standard output."""

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
from tests.scale.decider import Decider
from tests.scale.hollow import Hollow, read_config, write_config
from tests.scale.listing import Listing, line
from tests.scale.measure import Meter, Spread, Times

Figures = dict[str, Any]
TOLD = 6  # full datagrams a second from peers: with 36 servers each, what is learned in traffic


class Job:
    def __init__(self, size: int, seed: int, store: bool, sidecars: int, changes: int, idle_s: float) -> None:
        self.size, self.seed, self.store, self.sidecars = size, seed, store, sidecars
        self.changes, self.idle_s = changes, idle_s
        self.meter = Meter()
        self.figures: Figures = {"size": size, "store": store}
        self.hollows: list[Hollow] = []
        self._datagrams: list[bytes] = []  # what peers tell, in turn
        self._changes, self._means, self._written = Times(), list[float](), list[float]()  # a sidecar

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
            self.hollows.append(Hollow(config, home if self.store else None))
            self.hollows[-1].start_storing()
        await asyncio.sleep(0)
        await self._take_list(full)
        for hollow in self.hollows:  # one at a time: several would share what their loop takes to wake
            hollow.start_waiting()
            if hollow is self.hollows[0]:
                await self._wait("idle")
            await self._take_changes(hollow, changes)
            await hollow.stop_waiting()
        self._hear_all()
        self.hollows[0].start_waiting()
        await self._wait("settling")  # the store takes up what was heard
        await self._wait("learned", TOLD)
        if (store := self.hollows[0].store) and (found := store.last_list()):
            self.figures["stored"] = len(json.loads(found[1])["members"])
            self.figures["whole"] = self.figures["stored"] == len(last)
        self.figures["same"] = all(_has(hollow, last) for hollow in self.hollows)
        for hollow in self.hollows:
            await hollow.stop()
        await asyncio.get_running_loop().shutdown_default_executor()
        for hollow in self.hollows:
            hollow.close()
        if not self.store:
            self.figures |= draws(self.size, self.seed)
        return self.figures

    async def _take_list(self, full: bytes) -> None:
        gc.collect()
        gc.freeze()  # as a sidecar does once it is ready
        cpu, memory = [], []
        for hollow in self.hollows:
            before, rss = self.meter.cpu_s(), self.meter.rss()
            hollow.take(full)
            await hollow.settle()
            cpu.append(self.meter.cpu_s() - before)
            gc.collect()
            memory.append(self.meter.rss() - rss)
        self.figures |= {"cpu_list": Spread.of(cpu), "cpu_first": cpu[0],
                         "rss_list": Spread.of(memory), "rss_first": memory[0],
                         "rss_row": statistics.median(memory) / self.size}  # fmt: skip

    async def _wait(self, name: str, told: int = 0) -> None:
        """What a second of waiting takes the first sidecar, in which peers send so many full datagrams."""
        windows, count = [], round(told * self.idle_s)
        for _ in range(3):
            before = self.meter.cpu_s()
            for _ in range(count):
                await asyncio.sleep(self.idle_s / count)
                self._hear(self.hollows[:1])
            await asyncio.sleep(0 if count else self.idle_s)
            windows.append((self.meter.cpu_s() - before) / self.idle_s)
        self.figures[f"cpu_{name}"] = Spread.of(windows)

    async def _take_changes(self, hollow: Hollow, changes: list[bytes]) -> None:
        """Less what the waiting takes."""
        total, written, idle = 0.0, self.meter.written(), self.figures["cpu_idle"].median
        for change in changes:
            before, at = self.meter.cpu_s(), time.monotonic()
            hollow.take(change)
            await hollow.settle()
            took = self.meter.cpu_s() - before - (time.monotonic() - at) * idle
            self._changes.add(took)
            total += took
        self._means.append(total / len(changes))
        self._written.append((self.meter.written() - written) / len(changes))
        self.figures |= {"cpu_change": self._changes.spread(), "cpu_change_mean": Spread.of(self._means),
                         "written_change": Spread.of(self._written)}  # fmt: skip

    def _hear_all(self) -> None:
        """Datagrams with what peers saw of every server."""
        hear, self._datagrams = Times(), observations(self.hollows[0].sidecar.servers.numbers)
        for _ in self._datagrams:
            before = self.meter.cpu_s()
            self._hear(self.hollows)
            hear.add((self.meter.cpu_s() - before) / self.sidecars)
        self.figures["cpu_hear"] = hear.spread()

    def _hear(self, hollows: list[Hollow]) -> None:
        """Each of them one datagram, of the servers that come next in the list."""
        self._datagrams.append(self._datagrams.pop(0))
        for hollow in hollows:
            assert hollow.sidecar.peers
            hollow.sidecar.peers.datagram_received(self._datagrams[-1], hollow.sidecar.peers.addresses[1])


def observations(ids: Iterable[str]) -> list[bytes]:
    """What peers tell of all these servers, in full datagrams."""
    seen = [api.Observation(shared_id(member_id), 1.5, 1.0, 0) for member_id in ids]
    return [FORMAT_VERSION + encode_peer_message(0.1, tuple(seen[at : at + api.MAX_OBSERVATIONS]))
            for at in range(0, len(seen), api.MAX_OBSERVATIONS)]  # fmt: skip


def _has(hollow: Hollow, rows: dict[str, Any]) -> bool:
    """Whether its list is discovery's: which servers, and which of them are up."""
    servers = hollow.sidecar.servers
    up = {n for n, row in rows.items() if row["phase"] == "up"}
    return set(servers.numbers) == set(rows) and {servers.numbers[n] for n in up} == servers.ready


def draws(size: int, seed: int) -> Figures:
    decider = Decider(Listing(size, seed), seed)
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

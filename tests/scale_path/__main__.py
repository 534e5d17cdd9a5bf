"""Measures the data path: `python -m tests.scale_path [--rate 187] [--seconds 15] [--json FILE]`.

Prints tables of latency direct and through one sidecar, CPU time per call, the calls/s that saturate a core,
and the cost of longer lists and of list changes."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from statistics import median
from typing import Any

from tests.scale_path.figures import Group, Run, dump, make_run, yardstick_ms
from tests.scale_path.generator import Result
from tests.scale_path.sidecar import FLEET, Setting, SidecarUnderLoad, sidecar
from tests.scale_path.tables import direct_and_through, lists, rates

SETTLE_S = 8.0  # warm-up calls before each measured run
FIRST_LIST_S = 4.0  # for applying a long first list on a busy machine
LISTED = (15, 200, 910, 2_275, FLEET)
RATE_FACTORS = (0.27, 0.5, 1.0, 2.0, 4.0)  # of the planned rate: 50, 94, 187, 374 and 748 calls/s
SPEED_SAMPLE_S = 0.5  # between measurements of the cores' speed
PARTS = ("main", "rates", "lists", "changes")
Calls = Callable[[float, float, int, str], Awaitable[Result]]


class Bench:
    def __init__(self, rate: float, seconds: float, runs: int, arrivals: str, peers: bool) -> None:
        self.rate, self.seconds, self.runs, self.arrivals = rate, seconds, runs, arrivals
        self._peers, self._seed = peers, 0
        self.groups: list[Group] = []

    async def measure_both(self, car: SidecarUnderLoad, idle_share: float) -> tuple[Group, Group]:
        """Direct runs (the cost of generator, order servers and machine) and runs through the sidecar, in
        alternation, so that other load on the machine affects both."""
        direct, through = Group("direct", self.rate, []), Group("through", self.rate, [], idle_share)
        await self._settle(car, self.rate)
        for _ in range(self.runs):
            direct.runs.append(await self._run(car, car.direct, self.rate))
            await self._settle(car, self.rate)
            through.runs.append(await self._run(car, car.through, self.rate))
        return self._add_group(direct), self._add_group(through)

    async def through(self, car: SidecarUnderLoad, name: str, rate: float, idle_share: float) -> Group:
        await self._settle(car, rate)
        runs = [await self._run(car, car.through, rate) for _ in range(self.runs)]
        return self._add_group(Group(name, rate, runs, idle_share))

    async def _settle(self, car: SidecarUnderLoad, rate: float) -> None:
        """Warm up, until each server that may be selected has its connections."""
        await car.through(rate, min(SETTLE_S, self.seconds), self._next_seed(), self.arrivals)

    async def _run(self, car: SidecarUnderLoad, calls: Calls, rate: float) -> Run:
        before, revision, speeds = car.usage(), car.discovery.revision, list[float]()
        watched = asyncio.create_task(_watch_speed(speeds))
        result = await calls(rate, self.seconds, self._next_seed(), self.arrivals)
        watched.cancel()
        usage, changes = car.usage().since(before), car.discovery.revision - revision
        return make_run(result, usage, changes, median(speeds))

    async def idle_share(self, car: SidecarUnderLoad) -> float:
        """Share of a core when idle, over the length of a run, after the first list was applied."""
        await asyncio.sleep(FIRST_LIST_S)
        before = car.usage()
        await asyncio.sleep(self.seconds)
        return car.usage().since(before).share

    async def main(self, with_rates: bool) -> None:
        """15 servers, direct and through the sidecar, and at other rates."""
        with tempfile.TemporaryDirectory() as folder:
            async with sidecar(Path(folder), Setting(peers=self._peers)) as car:
                idle = await self.idle_share(car)
                direct, through = await self.measure_both(car, idle)
                print(direct_and_through(direct, through), flush=True)
                if with_rates:
                    others = [
                        through if share == 1 else
                        await self.through(car, f"{share * self.rate:.0f}/s", share * self.rate, idle)
                        for share in RATE_FACTORS
                    ]  # fmt: skip
                    print(rates(others), flush=True)

    async def lists(self) -> None:
        found = [await self._listed(f"{n} listed", Setting(listed=n, peers=self._peers)) for n in LISTED]
        print(lists("By the length of the list", found), flush=True)

    async def changes(self) -> None:
        found = [
            await self._listed(
                f"{FLEET} listed, {per_s:.0f} changes/s, {'with' if store else 'no'} state store",
                Setting(listed=FLEET, changes_per_s=per_s, store=store, peers=self._peers),
            )
            for per_s, store in ((0.0, True), (4.0, False), (4.0, True))
        ]  # fmt: skip
        print(lists("With changes of the list, one row at a time", found), flush=True)

    async def _listed(self, name: str, setting: Setting) -> Group:
        with tempfile.TemporaryDirectory() as folder:
            async with sidecar(Path(folder), setting) as car:
                idle = await self.idle_share(car)
                return await self.through(car, name, self.rate, idle)

    def _next_seed(self) -> int:
        self._seed += 1
        return self._seed

    def _add_group(self, group: Group) -> Group:
        self.groups.append(group)
        return group


async def _watch_speed(speeds: list[float]) -> None:
    while True:
        speeds.append(yardstick_ms())
        await asyncio.sleep(SPEED_SAMPLE_S)


def load() -> str:
    return "load {:.2f} {:.2f} {:.2f}".format(*os.getloadavg())


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.scale_path", description=__doc__)
    parser.add_argument("--rate", type=float, default=187.0, help="calls/s of one sidecar")
    parser.add_argument("--seconds", type=float, default=15.0, help="length of each run")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--arrivals", choices=("poisson", "fixed"), default="poisson")
    parser.add_argument("--peers", action="store_true", help="send datagrams to the fleet's other sidecars")
    parser.add_argument("--part", choices=PARTS, action="append", help="run only these parts (default: all)")
    parser.add_argument("--json", type=Path, help="all figures, as JSON")
    args = parser.parse_args()
    bench = Bench(args.rate, args.seconds, args.runs, args.arrivals, args.peers)
    parts, began = args.part or PARTS, load()
    works: list[Coroutine[Any, Any, None]] = []
    if {"main", "rates"} & set(parts):
        works.append(bench.main("rates" in parts))
    works += [bench.lists()] if "lists" in parts else []
    works += [bench.changes()] if "changes" in parts else []
    for work in works:
        asyncio.run(work)
        loads = f"{began} at the start, {load()} by now, {os.cpu_count()} cores"
        print(loads, flush=True)
        if args.json:
            args.json.write_text(dump(bench.groups, loads=loads))
    return 0 if not any(group.faults() for group in bench.groups) else 1


if __name__ == "__main__":
    sys.exit(main())

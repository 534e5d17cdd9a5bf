"""The soak by hand: `python -m tests.soak --seeds 1-50 --jobs 5`. Exit status 1 where a rule was broken."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import tempfile
from pathlib import Path

from tests.soak.plan import draw
from tests.soak.play import Outcome, play

SHOWN = 8  # violations of a run


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def _all(seeds: list[int], jobs: int, folder: Path, program: Path | None) -> list[Outcome]:
    places = asyncio.Semaphore(jobs)

    async def one(seed: int) -> Outcome:
        async with places:
            home = folder / f"seed-{seed}"
            shutil.rmtree(home, ignore_errors=True)  # a state store of another run would have its lists
            home.mkdir(parents=True)
            outcome = await play(draw(seed), home, program)
        print(outcome, flush=True)
        for text in outcome.violations[:SHOWN]:
            print(f"    {text}", flush=True)
        return outcome

    return await asyncio.gather(*map(one, seeds))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-50"), help="one, or a range: 1-50")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time; two cores each")
    parser.add_argument("--folder", type=Path, help="where logs stay; otherwise they go")
    parser.add_argument("--program", type=Path, help="the checkout whose sidecar is run")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = given.folder or Path(temporary)
        outcomes = asyncio.run(_all(given.seeds, given.jobs, folder, given.program))
    broken = [outcome.plan.seed for outcome in outcomes if outcome.violations]
    requests = sum(outcome.requests for outcome in outcomes)
    print(f"{len(outcomes)} seeds, {requests} requests, {len(broken)} with a broken rule: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())

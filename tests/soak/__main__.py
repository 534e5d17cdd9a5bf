"""Runs the soak test: `python -m tests.soak --seeds 1-50 --jobs 5`. Exits with 1 if a rule was violated."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import tempfile
from pathlib import Path

from tests.soak.crowds import draw_crowds
from tests.soak.outcome import Outcome
from tests.soak.plan import draw_plan
from tests.soak.run_plan import run_plan

MAX_SHOWN = 8  # violations printed per run


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def _all(
    seeds: list[int], jobs: int, folder: Path, program: Path | None, crowd_size: str | None
) -> list[Outcome]:
    places = asyncio.Semaphore(jobs)

    async def one(seed: int) -> Outcome:
        async with places:
            home = folder / f"seed-{seed}"
            shutil.rmtree(home, ignore_errors=True)  # an old state store would contain lists of another run
            home.mkdir(parents=True)
            plan = draw_plan(seed)
            is_large = crowd_size == "large"
            crowds = draw_crowds(seed, plan.processes, is_large) if crowd_size else None
            outcome = await run_plan(plan, home, program, crowds)
        print(outcome, flush=True)
        for text in outcome.violations[:MAX_SHOWN]:
            print(f"    {text}", flush=True)
        return outcome

    return await asyncio.gather(*map(one, seeds))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument(
        "--seeds", type=_seeds, default=_seeds("1-50"), help="a seed or a range, such as 1-50"
    )
    parser.add_argument("--jobs", type=int, default=4, help="concurrent runs, two cores each")
    parser.add_argument("--folder", type=Path, help="where to keep logs; default: a temporary folder")
    parser.add_argument("--program", type=Path, help="checkout whose sidecar to run")
    parser.add_argument(
        "--crowds", nargs="?", const="usual", choices=("usual", "large"),
        help="crowds and signals in series beside the plan; large: of more clients than the pages allow",
    )  # fmt: skip
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = given.folder or Path(temporary)
        outcomes = asyncio.run(_all(given.seeds, given.jobs, folder, given.program, given.crowds))
    broken = [outcome.plan.seed for outcome in outcomes if outcome.violations]
    requests = sum(outcome.requests for outcome in outcomes)
    print(f"{len(outcomes)} seeds, {requests} requests, {len(broken)} with violations: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())

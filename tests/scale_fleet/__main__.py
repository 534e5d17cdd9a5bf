"""`python -m tests.scale_fleet [--sizes ...] [--seed N] [--json FILE]`: prints tables, in some minutes."""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from math import isfinite
from pathlib import Path

from tests.scale_fleet import agreement, collisions, gossip_scenarios, list_cost, scenarios, tables
from tests.scale_fleet.lines import CHANGES_S, ZONES
from tests.scale_fleet.scenarios import CAPACITIES
from tests.scale_fleet.simulation import Params
from tests.scale_fleet.tables import Row

SIZES = (200, 455, 910, 2275, 4550, 9100, 18200)
WORKERS = 4  # leaves cores for others on the machine
BUDGET_CORE = 0.013  # share of a core for control work

Job = Callable[[], list[Row]]


def cost(size: int, seed: int) -> list[Row]:
    it = list_cost.measure(size)
    figures = {name: value for name, value in it._asdict().items() if name != "size"}
    share = CHANGES_S * it.line_ms / 1000
    zone_s = 2 * size / ZONES * it.line_ms / 1000
    figures |= {"part of a core, steady": share, "zone, a line a server (s)": zone_s}
    broken = tables.over({"1.3 % of a core": share > BUDGET_CORE, "10 s": zone_s > tables.CHANGE_S})
    return [Row("list path of a real sidecar:", "ms of a core", size, figures, broken)]


def jobs(sizes: Sequence[int], seed: int) -> list[Job]:
    """All jobs, the longest first."""
    checks = [[Params(20, 20, 3.0, True, down_s=8.0)],
              [Params(20, 20, 8.0, True, down_s=8.0), Params(20, 20, 8.0, True)] * 2,
              [Params(20, 20, 4.0, False, down_s=8.0), Params(20, 20, 4.0, False)] * 2]  # fmt: skip
    out: list[Job] = [partial(agreement.check_processes, params_list, seed) for params_list in checks]
    for params in (Params(455, 455, 80.0, True, down_s=8.0), Params(455, 455, 80.0, False, down_s=8.0),
                   Params(200, 200, 80.0, True, down_s=8.0),
                   Params(20, 20, 8.0, True, down_s=8.0)):  # fmt: skip
        out.append(partial(agreement.check_watches, params, seed))
    for size in sorted(sizes, reverse=True):
        for per_s in CAPACITIES:
            out += [partial(scenarios.outage, size, seed, per_s, costs) for costs in (True, False)]
        out += [partial(gossip_scenarios.rates, size, seed, n) for n in gossip_scenarios.TENANTS_PLAYED]
        for make_rows in (scenarios.needed, scenarios.region, scenarios.steady, scenarios.answers,
                        scenarios.lost, scenarios.restarts, gossip_scenarios.talk, gossip_scenarios.warm,
                        gossip_scenarios.ejections, gossip_scenarios.ids, cost):  # fmt: skip
            out.append(partial(make_rows, size, seed))
    return out


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    began = time.monotonic()
    with ProcessPoolExecutor(WORKERS) as pool:
        futures = [pool.submit(job) for job in jobs(arguments.sizes, arguments.seed)]
        rows = [row for future in futures for row in future.result()]
    rows.sort(key=lambda row: (row.scenario, row.case, row.size))
    print(tables.text(rows))
    first = tables.first_broken(rows)
    print("\nthe smallest size at which a bound breaks, or a check differs (-: at none played)")
    for case, size in first.items():
        print(f"{size:>8,}  {case}" if size else f"{'-':>8}  {case}")
    print("\nthe real list, of two servers with one shared id:", collisions.reached(arguments.seed))
    print(f"seed {arguments.seed}, {time.monotonic() - began:.0f} s")
    if arguments.json:
        body = [row._asdict() | {"figures": {name: value if isfinite(value) else None
                                             for name, value in row.figures.items()}}
                for row in rows]  # fmt: skip
        arguments.json.write_text(
            json.dumps({"seed": arguments.seed, "rows": body, "first": first}, indent=1)
        )


if __name__ == "__main__":
    main()

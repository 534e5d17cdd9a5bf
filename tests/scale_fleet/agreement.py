"""Compares the simulation with real watches on the virtual clock and with real processes."""

from __future__ import annotations

import statistics
from math import isfinite

from tests.scale_fleet import processes, simulation, watches
from tests.scale_fleet.simulation import Params
from tests.scale_fleet.tables import Row, over

TOLERANCE = 0.2
SEEDS = 20  # simulated runs, whose median is compared with one real run


def differs(one_s: float, other_s: float) -> bool:
    if isfinite(one_s) != isfinite(other_s):
        return True
    return isfinite(one_s) and abs(one_s - other_s) > TOLERANCE * other_s


def _row(case: str, params: Params, p99_s: float, last_s: float, seed: int, more: dict[str, float]) -> Row:
    results = [simulation.recover(params, seed + n) for n in range(SEEDS if params.callers < 100 else 3)]
    simulated = statistics.median(it.last_s for it in results)
    figures = {"calls/s": params.per_s, "down (s)": params.down_s, "99 in 100 (s)": p99_s, "last (s)": last_s,
               "simulated (s)": simulated, **more}  # fmt: skip
    policy = "costs as an answer" if params.refusals_cost else "costs nothing"
    return Row("check:", f"{case}, a 503 {policy}", params.fleet_size, figures,
               over({"within 20 %": differs(last_s, simulated)}))  # fmt: skip


def check_watches(params: Params, seed: int) -> list[Row]:
    """Real watches with in-memory streams; deterministic."""
    return [_row("real watches, virtual clock", params, *watches.recover(params, seed), seed, {})]


def check_processes(params_list: list[Params], seed: int) -> list[Row]:
    """Real sidecars on loopback; depends on the load of the machine."""
    return [_row("real processes", it.params, it.p99_s, it.last_s, seed,
                 {"calls": it.calls, "MB a sidecar": it.resident_mb})
            for it in processes.check(params_list)]  # fmt: skip

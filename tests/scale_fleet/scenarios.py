"""Operational events in a fleet of a given size, simulated from a seed, as rows of figures."""

from __future__ import annotations

from math import ceil

from anisespool.discovery.clock import CALL_TIMEOUT_S, MAX_PAUSE_S
from tests.scale_fleet import lines, simulation
from tests.scale_fleet.lines import BUDGET_BYTES_S, CHANGES_S, MACHINES, RACK, ZONES
from tests.scale_fleet.simulation import Params, Start
from tests.scale_fleet.tables import CHANGE_S, FRESH_S, Row, over

ONE_S = 80.0  # calls a second, assumed for one machine as measured
CAPACITIES = ONE_S, ONE_S * MACHINES
REGIONS, HOUR_S, DOWN_S = 7, 3600.0, 8.0
RESTARTS_A_DAY, PLANNED = 570, 9100  # restarts a day at the planned number of sidecars
WORST_HOUR = 0.1  # assumed share of a day's restarts
RELEASE = 0.1  # assumed share of the sidecars restarted at once


def steady(size: int, seed: int) -> list[Row]:
    rows = []
    for case, changes_s in (("22,000 changes a day", CHANGES_S),
                            ("changes as the fleet grows", CHANGES_S * size / PLANNED)):  # fmt: skip
        it = lines.steady(size, changes_s, seed)
        figures = {"B/s a sidecar": it.bytes_s, "lines/s": it.lines_s, "lines/s in all": it.all_lines_s,
                   "KB/s a machine": it.machine_bytes_s / 1000}  # fmt: skip
        rows.append(Row("a. steady state:", case, size, figures,
                        over({"13 KB/s": it.bytes_s > BUDGET_BYTES_S})))  # fmt: skip
    return rows


def _simulate(scenario: str, case: str, params: Params, seed: int) -> Row:
    it = simulation.recover(params, seed)
    policy = "costs as an answer" if params.refusals_cost else "costs nothing"
    figures = {"callers": params.callers, "told": it.updated,
               "99 in 100 (s)": it.p99_s, "last (s)": it.last_s,
               "calls": it.calls, "failed": it.failed, "calls/s at most": it.peak}  # fmt: skip
    return Row(scenario, f"{case}; {params.per_s:,.0f} calls/s, a 503 {policy}", params.fleet_size, figures,
               over({"6 s": it.last_s > FRESH_S}))  # fmt: skip


def outage(size: int, seed: int, per_s: float, costs: bool) -> list[Row]:
    ended, scenario = Params(size, size, per_s, costs), "b. all watches lost:"
    return [_simulate(scenario, "discovery back at once", ended, seed),
            _simulate(scenario, "down for 8 s", ended._replace(down_s=DOWN_S), seed)]  # fmt: skip


def answers(size: int, seed: int) -> list[Row]:
    """Bytes of the answers if all sidecars get one, checked against the budget and the links."""
    cases = (("b. answer after 8 s:", "the changes since", lines.rows_missed(size, DOWN_S), size),
             ("b. answer:", "the whole list", size, size),
             ("e. answer to a release (a tenth):", "the whole list", size, ceil(RELEASE * size)),
             ("f. answer to a region after an hour:", "the changes since", lines.rows_missed(size, HOUR_S),
              size // REGIONS))  # fmt: skip
    return [_burst(scenario, case, lines.burst(size, rows, 1, listeners), FRESH_S)
            for scenario, case, rows, listeners in cases]  # fmt: skip


def _burst(scenario: str, case: str, it: lines.Burst, bound_s: float) -> Row:
    figures = {"rows": it.rows, "lines": it.lines, "KB a sidecar": it.bytes / 1000,
               "s of 13 KB/s": it.budget_s, "s of 1 Gbit/s a machine": it.link_s}  # fmt: skip
    bounds = f"{bound_s:.0f} s by 13 KB/s", f"{bound_s:.0f} s by links"
    return Row(scenario, case, it.size, figures,
               over({bounds[0]: it.budget_s > bound_s, bounds[1]: it.link_s > bound_s}))  # fmt: skip


def lost(size: int, seed: int) -> list[Row]:
    """Loss of a zone and of a rack: list changes for all sidecars, and calls of their own sidecars."""
    rows, zone, rack = [], lines.zone_rows(size), min(RACK, size)
    for scenario, count in (("c. a zone lost and back:", zone), ("d. a rack lost and back:", 2 * rack)):
        # Removal and return take at least two lines.
        rows.append(_burst(scenario, "told on one line each", lines.burst(size, count, 2, size), CHANGE_S))
        rows.append(_burst(scenario, "a line a server", lines.burst(size, count, count, size), CHANGE_S))
    for per_s in CAPACITIES:
        for scenario, callers in (("c. a zone's sidecars start:", ceil(size / ZONES)),
                                  ("d. a rack's sidecars start:", rack)):  # fmt: skip
            params = Params(callers, size, per_s, True, Start.RESTARTED)
            rows.append(_simulate(scenario, "stored list", params, seed))
    return rows


def restarts(size: int, seed: int) -> list[Row]:
    day = RESTARTS_A_DAY * size / PLANNED
    whole = lines.burst(size, size, 1, 1).bytes
    figures = {"a day": day, "calls in the worst hour": WORST_HOUR * day,
               "GB of whole lists in it": WORST_HOUR * day * whole / 1e9}  # fmt: skip
    rows = [Row("e. restarts:", "as the fleet grows", size, figures)]
    for per_s in CAPACITIES:
        for start, case in ((Start.RESTARTED, "stored list"), (Start.NEW, "no list")):
            params = Params(ceil(RELEASE * size), size, per_s, True, start)
            rows.append(_simulate("e. a release restarts a tenth at once:", case, params, seed))
    return rows


def region(size: int, seed: int) -> list[Row]:
    """A region cut off for an hour. Calls that hang when the cut ends are assumed to time out."""
    rows = []
    for per_s in CAPACITIES:
        params = Params(size // REGIONS, size, per_s, True, Start.SILENT, HOUR_S)
        row = _simulate("f. a region back after an hour:", "calls hung", params, seed)
        row.figures["calls in the hour"] = params.callers * HOUR_S / (CALL_TIMEOUT_S + 0.75 * MAX_PAUSE_S)
        rows.append(row)
    return rows


def needed(size: int, seed: int) -> list[Row]:
    """The rate at which discovery must serve calls for all sidecars to be updated in time."""
    rows = []
    for costs in (True, False):
        figures = dict[str, float]()
        for name, down_s in (("back at once", 0.0), ("after 8 s", DOWN_S)):
            params = Params(size, size, 1.0, costs, down_s=down_s)
            per_s = simulation.capacity_needed(params, FRESH_S, seed)
            figures |= {f"calls/s, {name}": per_s, f"a machine, {name}": per_s / MACHINES}
        case = f"a 503 {'costs as an answer' if costs else 'costs nothing'}"
        rows.append(Row("b. needed for 6 s:", case, size, figures))
    return rows

"""Computes figures from calls: quantiles, CPU time per call, and a linear fit."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from math import nan
from statistics import mean, median
from time import thread_time
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from tests.scale_path.generator import ALLOWED, Result

QUANTILES = (10.0, 50.0, 99.0, 99.9)
SPAN_NS, ON_TIME_NS = 100_000_000, 100_000  # see calm()
YARDSTICK = 20_000  # loop iterations
Row = tuple[int, int, int, int, bool, int]  # see Result.rows
HISTOGRAM_MIN_NS, HISTOGRAM_MAX_NS, HISTOGRAM_DIGITS = 1_000, 10_000_000_000, 3
SEND_DELAY, LATENCY, TO_SERVER, FROM_SERVER, FIRST_ON_CONNECTION, PLANNED_AT = range(6)  # positions in a Row


def quantiles_ms(values: Iterable[int]) -> list[float]:
    """The QUANTILES, to three digits; nan if there are no values."""
    histogram = HdrHistogram(HISTOGRAM_MIN_NS, HISTOGRAM_MAX_NS, HISTOGRAM_DIGITS)
    for value in values:
        histogram.record_value(max(HISTOGRAM_MIN_NS, value))
    if not histogram.get_total_count():
        return [nan] * len(QUANTILES)
    return [histogram.get_value_at_percentile(q) / 1e6 for q in QUANTILES]


def yardstick_ms() -> float:
    """CPU time of a fixed piece of Python work. On cores shared with other machines the same work can take
    several times the CPU time, so figures taken at different times are compared relative to it."""
    began, total = thread_time(), 0
    for n in range(YARDSTICK):
        total += n & 7
    return (thread_time() - began) * 1e3


def calm(rows: list[Row]) -> list[Row]:
    """The calls of those tenths of a second in which all were sent on time. The generator's own delays show
    when the machine was short of cores, and do not depend on how a call goes."""
    late = {row[PLANNED_AT] // SPAN_NS for row in rows if row[SEND_DELAY] > ON_TIME_NS}
    return [row for row in rows if row[PLANNED_AT] // SPAN_NS not in late]


class ResourceUsage(NamedTuple):
    """Resource use of a sidecar and its machine: totals since the start, or differences between two
    readings."""

    at_s: float = 0.0
    cpu_s: float = 0.0  # CPU time of the sidecar
    waited_s: float = 0.0  # main thread ready to run, but without a core
    machine_s: float = 0.0  # over all cores
    idle_s: float = 0.0
    stolen_s: float = 0.0  # taken by other virtual machines

    def since(self, before: ResourceUsage) -> ResourceUsage:
        return ResourceUsage(*(now - then for now, then in zip(self, before, strict=True)))

    @property
    def share(self) -> float:
        """Share of one core."""
        return self.cpu_s / self.at_s


@dataclass(frozen=True)
class Run:
    """One run of a generator. `between_ms`: a call's time from send to answer, less the order server's own,
    which leaves that of the network and the sidecar."""

    planned: int
    counts: dict[str, int]
    late_ms: list[float]
    took_ms: list[float]
    between_ms: list[float]
    there_ms: list[float]
    back_ms: list[float]
    new_share: float  # share of calls that were the first on their server connection
    kept_ms: list[float]  # latency of the others
    calm_ms: list[float]  # latency in calm moments, see calm()
    calm_share: float
    worst_ms: float
    used: ResourceUsage  # over the run
    list_changes: int
    yardstick_ms: float  # median over the run

    @property
    def answered(self) -> int:
        return self.counts.get("answered", 0)


def make_run(result: Result, usage: ResourceUsage, list_changes: int, yardstick: float) -> Run:
    rows, still = result.rows, calm(result.rows)
    return Run(
        planned=result.planned,
        counts=result.counts,
        late_ms=quantiles_ms(row[SEND_DELAY] for row in rows),
        took_ms=quantiles_ms(row[LATENCY] for row in rows),
        between_ms=quantiles_ms(row[TO_SERVER] + row[FROM_SERVER] for row in rows),
        there_ms=quantiles_ms(row[TO_SERVER] for row in rows),
        back_ms=quantiles_ms(row[FROM_SERVER] for row in rows),
        new_share=sum(row[FIRST_ON_CONNECTION] for row in rows) / max(1, len(rows)),
        kept_ms=quantiles_ms(row[LATENCY] for row in rows if not row[FIRST_ON_CONNECTION]),
        calm_ms=quantiles_ms(row[LATENCY] for row in still),
        calm_share=len(still) / max(1, len(rows)),
        worst_ms=max((row[LATENCY] for row in rows), default=0) / 1e6,
        used=usage,
        list_changes=list_changes,
        yardstick_ms=yardstick,
    )  # fmt: skip


@dataclass(frozen=True)
class Group:
    """Runs of one kind. `idle_share`: the share of a core that the idle sidecar uses."""

    name: str
    rate: float
    runs: list[Run]
    idle_share: float = 0.0

    def of(self, figure: Callable[[Run], float]) -> tuple[float, float, float]:
        """Median, minimum and maximum."""
        values = [figure(run) for run in self.runs]
        return median(values), min(values), max(values)

    def cpu_ms(self, run: Run) -> float:
        """CPU time per call, less the idle cost."""
        return (run.used.cpu_s - self.idle_share * run.used.at_s) * 1e3 / max(1, run.answered)

    def machine(self) -> str:
        """The shares of the machine's cores that were idle and stolen during the runs."""
        idle = self.of(lambda run: 100 * run.used.idle_s / run.used.machine_s)
        stolen = self.of(lambda run: 100 * run.used.stolen_s / run.used.machine_s)
        return f"{idle[0]:.0f} / {stolen[0]:.0f}"

    def faults(self) -> dict[str, int]:
        """The counts of calls and connections with a fault."""
        found: dict[str, int] = {}
        for run in self.runs:
            for name, count in run.counts.items():
                if count and name not in ALLOWED:
                    found[name] = found.get(name, 0) + count
        return found

    def as_json(self) -> dict[str, Any]:
        return asdict(self)


@dataclass(frozen=True)
class Line:
    """Share of a core as a linear function of calls/s."""

    slope: float  # seconds per call
    base: float
    deviation: float  # root mean square, as a share of a core

    @property
    def full_at(self) -> float:
        """The calls/s that saturate one core."""
        return (1 - self.base) / self.slope


def fit_line(points: list[tuple[float, float]]) -> Line:
    x0, y0 = mean(x for x, _ in points), mean(y for _, y in points)
    slope = sum((x - x0) * (y - y0) for x, y in points) / sum((x - x0) ** 2 for x, _ in points)
    base = y0 - slope * x0
    deviation = mean((y - base - slope * x) ** 2 for x, y in points) ** 0.5
    return Line(slope, base, deviation)


def fit_groups(groups: Iterable[Group]) -> Line:
    """The line through all runs: the share of a core used, by the calls/s answered."""
    return fit_line([(r.answered / r.used.at_s, r.used.share) for g in groups for r in g.runs])


def spread(values: tuple[float, float, float], digits: int = 2) -> str:
    middle, least, most = (f"{value:.{digits}f}" for value in values)
    return f"{middle} ({least} to {most})"


def table(title: str, heads: list[str], rows: list[list[str]]) -> str:
    lines = [title, "", "| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows]) + "\n"


def dump(groups: Iterable[Group], **more: Any) -> str:
    return json.dumps(more | {"groups": [group.as_json() for group in groups]}, indent=1) + "\n"

"""From calls to figures: quantiles, processor time a call, and the line through it."""

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
YARDSTICK = 20_000  # passes of a loop
Row = tuple[int, int, int, int, bool, int]  # of a Result
LEAST_NS, MOST_NS, DIGITS = 1_000, 10_000_000_000, 3
LATE, TOOK, THERE, BACK, FIRST, PLANNED = range(6)  # of a row


def quantiles_ms(values: Iterable[int]) -> list[float]:
    """Those of QUANTILES, to three digits; of no values, none is a number."""
    histogram = HdrHistogram(LEAST_NS, MOST_NS, DIGITS)
    for value in values:
        histogram.record_value(max(LEAST_NS, value))
    if not histogram.get_total_count():
        return [nan] * len(QUANTILES)
    return [histogram.get_value_at_percentile(q) / 1e6 for q in QUANTILES]


def yardstick_ms() -> float:
    """Processor time of a fixed piece of work, in Python as the sidecar is. On cores that other
    machines share, the same work takes several times the processor time; figures of two moments are to be
    compared by it."""
    began, total = thread_time(), 0
    for n in range(YARDSTICK):
        total += n & 7
    return (thread_time() - began) * 1e3


def calm(rows: list[Row]) -> list[Row]:
    """The calls of those tenths of a second in which all were sent on time. The generator's own delays tell
    when the machine had no core for whoever wanted one, and know nothing of what becomes of a call."""
    late = {row[PLANNED] // SPAN_NS for row in rows if row[LATE] > ON_TIME_NS}
    return [row for row in rows if row[PLANNED] // SPAN_NS not in late]


class Used(NamedTuple):
    """Of a stretch of time, what a sidecar used and what the machine had: sums since the start, or what
    passed between two looks."""

    at_s: float = 0.0
    cpu_s: float = 0.0  # processor time of the sidecar
    waited_s: float = 0.0  # of its main thread, ready to run and without a core
    machine_s: float = 0.0  # of all cores
    idle_s: float = 0.0
    stolen_s: float = 0.0  # by other machines of the host

    def since(self, before: Used) -> Used:
        return Used(*(now - then for now, then in zip(self, before, strict=True)))

    @property
    def share(self) -> float:
        """Of a core."""
        return self.cpu_s / self.at_s


@dataclass(frozen=True)
class Run:
    """One run of a generator. `between`: of a call's time all but the order server's own, from send to
    answer, so what the ways and whoever stands in them take."""

    planned: int
    counts: dict[str, int]
    late_ms: list[float]
    took_ms: list[float]
    between_ms: list[float]
    there_ms: list[float]
    back_ms: list[float]
    new_share: float  # calls that were the first on the order server's connection
    kept_ms: list[float]  # the time of the others
    calm_ms: list[float]  # of calls in calm moments, see calm()
    calm_share: float
    worst_ms: float
    used: Used  # over the run
    list_changes: int
    yardstick_ms: float  # median over the run

    @property
    def answered(self) -> int:
        return self.counts.get("answered", 0)


def run_of(result: Result, used: Used, list_changes: int, yardstick: float) -> Run:
    rows, still = result.rows, calm(result.rows)
    return Run(
        planned=result.planned,
        counts=result.counts,
        late_ms=quantiles_ms(row[LATE] for row in rows),
        took_ms=quantiles_ms(row[TOOK] for row in rows),
        between_ms=quantiles_ms(row[THERE] + row[BACK] for row in rows),
        there_ms=quantiles_ms(row[THERE] for row in rows),
        back_ms=quantiles_ms(row[BACK] for row in rows),
        new_share=sum(row[FIRST] for row in rows) / max(1, len(rows)),
        kept_ms=quantiles_ms(row[TOOK] for row in rows if not row[FIRST]),
        calm_ms=quantiles_ms(row[TOOK] for row in still),
        calm_share=len(still) / max(1, len(rows)),
        worst_ms=max((row[TOOK] for row in rows), default=0) / 1e6,
        used=used,
        list_changes=list_changes,
        yardstick_ms=yardstick,
    )  # fmt: skip


@dataclass(frozen=True)
class Group:
    """Runs of one kind. `idle_share`: of a core, what the sidecar uses with no calls."""

    name: str
    rate: float
    runs: list[Run]
    idle_share: float = 0.0

    def of(self, figure: Callable[[Run], float]) -> tuple[float, float, float]:
        """Median, least and most."""
        values = [figure(run) for run in self.runs]
        return median(values), min(values), max(values)

    def cpu_ms(self, run: Run) -> float:
        """Processor time a call, less what it costs to stand idle."""
        return (run.used.cpu_s - self.idle_share * run.used.at_s) * 1e3 / max(1, run.answered)

    def machine(self) -> str:
        """How much of the machine's cores was idle and stolen in the meantime."""
        idle = self.of(lambda run: 100 * run.used.idle_s / run.used.machine_s)
        stolen = self.of(lambda run: 100 * run.used.stolen_s / run.used.machine_s)
        return f"{idle[0]:.0f} / {stolen[0]:.0f}"

    def lost(self) -> dict[str, int]:
        """Calls and connections with which something was wrong."""
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
    """Share of a core by calls/s, by least squares."""

    slope: float  # seconds a call
    base: float
    deviation: float  # root mean square, of a core

    @property
    def full_at(self) -> float:
        """Calls/s at which one core is full."""
        return (1 - self.base) / self.slope


def fitted(points: list[tuple[float, float]]) -> Line:
    x0, y0 = mean(x for x, _ in points), mean(y for _, y in points)
    slope = sum((x - x0) * (y - y0) for x, y in points) / sum((x - x0) ** 2 for x, _ in points)
    base = y0 - slope * x0
    deviation = mean((y - base - slope * x) ** 2 for x, y in points) ** 0.5
    return Line(slope, base, deviation)


def line_of(groups: Iterable[Group]) -> Line:
    """Each run is a point: what it used of a core, at the calls/s that it answered."""
    return fitted([(r.answered / r.used.at_s, r.used.share) for g in groups for r in g.runs])


def spread(values: tuple[float, float, float], digits: int = 2) -> str:
    middle, least, most = (f"{value:.{digits}f}" for value in values)
    return f"{middle} ({least} to {most})"


def table(title: str, heads: list[str], rows: list[list[str]]) -> str:
    lines = [title, "", "| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    return "\n".join(lines + ["| " + " | ".join(row) + " |" for row in rows]) + "\n"


def dump(groups: Iterable[Group], **more: Any) -> str:
    return json.dumps(more | {"groups": [group.as_json() for group in groups]}, indent=1) + "\n"

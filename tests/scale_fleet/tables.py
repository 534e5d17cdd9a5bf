"""Figures as table rows: per scenario and fleet size, with the bounds that they exceed."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import groupby
from math import isfinite, isnan
from typing import NamedTuple

FRESH_S = 6.0  # until a fresh list is applied, from when discovery is reachable
CHANGE_S = 10.0  # until a change is applied everywhere


class Row(NamedTuple):
    scenario: str
    case: str
    size: int
    figures: dict[str, float]
    broken: str = ""  # the bounds exceeded


def over(bounds: dict[str, bool]) -> str:
    """The names of the exceeded bounds."""
    return ", ".join(name for name, broken in bounds.items() if broken)


def show(value: float) -> str:
    if not isfinite(value):
        return "not played" if isnan(value) else "never"
    if value == int(value) and abs(value) < 1e15:
        return f"{int(value):,}"
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def text(rows: Iterable[Row]) -> str:
    """One table for each case."""
    out = []
    for (scenario, case), group in groupby(rows, key=lambda row: row[:2]):
        listed = list(group)
        names = ["sidecars", *listed[0].figures, "breaks"]
        cells = [names, *([f"{row.size:,}", *map(show, row.figures.values()), row.broken] for row in listed)]
        widths = [max(len(line[n]) for line in cells) for n in range(len(names))]
        out += ["", f"{scenario} {case}"]
        for line in cells:
            out.append("  " + "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)))
    return "\n".join(out)


def first_broken(rows: Iterable[Row]) -> dict[str, int | None]:
    """For each case the smallest size at which a bound is exceeded, if any."""
    first: dict[str, int | None] = {}
    for row in sorted(rows, key=lambda row: row.size):
        name = f"{row.scenario} {row.case}"
        if row.broken and first.get(name) is None:
            first[name] = row.size
        first.setdefault(name, None)
    return first

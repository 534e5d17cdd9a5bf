"""Prints the figures: a table, fits over the sizes, and hollow sidecars compared with real ones."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from tests.scale.measure import Spread, fit

TOLERANCE = 0.2  # relative difference of a hollow sidecar's figure from a real one's
STORED = (
    "cpu_list",
    "cpu_change",
    "written_change",
    "rss_list",
    "rss_first",
)  # include the cost of the stored list
Figures = dict[str, Any]


class Row(NamedTuple):
    text: str
    kind: str  # hollow or real
    store: bool
    key: str
    unit: float  # in which the figure is shown
    fitted: bool = False


ROWS = (
    Row("list on the wire, KB", "hollow", False, "bytes_list", 1e3, True),
    Row("one-row change on the wire, bytes", "hollow", False, "bytes_change", 1),
    Row("list taken in, no store, CPU ms", "hollow", False, "cpu_list", 1e-3, True),
    Row("list taken in, store, CPU ms", "hollow", True, "cpu_list", 1e-3, True),
    Row("one-row change, no store, CPU ms", "hollow", False, "cpu_change", 1e-3, True),
    Row("one-row change, store, CPU ms", "hollow", True, "cpu_change", 1e-3, True),
    Row("rows of the list that the store keeps", "hollow", True, "stored", 1),
    Row("written to disk for a change, KB", "hollow", True, "written_change", 1e3, True),
    Row("list in memory, no store, MB", "hollow", False, "rss_list", 1e6, True),
    Row("list in memory, store, MB", "hollow", True, "rss_list", 1e6, True),
    Row("the same, first of its process, MB", "hollow", True, "rss_first", 1e6, True),
    Row("list in memory, store, bytes a row", "hollow", True, "rss_row", 1),
    Row("module, one request, CPU us", "hollow", False, "cpu_draw", 1e-6, True),
    Row("module, one answer, CPU us", "hollow", False, "cpu_outcome", 1e-6),
    Row("peer's datagram of 36 servers, CPU us", "hollow", True, "cpu_hear", 1e-6),
    Row("waiting, no store, CPU ms/s", "hollow", False, "cpu_idle", 1e-3, True),
    Row("waiting, store, CPU ms/s", "hollow", True, "cpu_idle", 1e-3, True),
    Row("the same, all servers known, 6 datagrams, CPU ms/s", "hollow", True, "cpu_learned", 1e-3, True),
    Row("real: waiting, no store, CPU ms/s", "real", False, "cpu_idle", 1e-3, True),
    Row("real: waiting, store, CPU ms/s", "real", True, "cpu_idle", 1e-3, True),
    Row("real: all servers known, 6 datagrams, CPU ms/s", "real", True, "cpu_learned", 1e-3, True),
    Row("real: one-row change, no store, CPU ms", "real", False, "cpu_change", 1e-3, True),
    Row("real: one-row change, store, CPU ms", "real", True, "cpu_change", 1e-3, True),
    Row("real: list in memory, store, MB", "real", True, "rss_list", 1e6, True),
    Row("real: before the list, MB", "real", True, "base_rss", 1e6, True),
)
COMPARED_KEYS = (("cpu_first", "cpu_list"), ("cpu_change_mean", "cpu_change"), ("rss_first", "rss_list"),
           ("written_change", "written_change"), ("cpu_idle", "cpu_idle"),
           ("cpu_learned", "cpu_learned"))  # fmt: skip


def lines(found: Sequence[Figures]) -> Iterator[str]:
    by = {(f["kind"], f["store"], f["size"]): f for f in found}
    sizes = sorted({f["size"] for f in found})
    yield "figure | " + " | ".join(str(size) for size in sizes)
    yield "--- | " + " | ".join("---" for _ in sizes)
    for row in ROWS:
        cells = [by.get((row.kind, row.store, size), {}).get(row.key) for size in sizes]
        yield f"{row.text} | " + " | ".join(_cell(cell, row.unit) for cell in cells)
    yield ""
    yield "fit over sizes | at 0 rows | for 1,000 rows | greatest deviation"
    yield "--- | --- | --- | ---"
    for row in ROWS:
        yield from _fit(row, by, sizes)
    yield ""
    yield "hollow against real | size | store | hollow | real | hollow / real"
    yield "--- | --- | --- | --- | --- | ---"
    yield from (checked.text for checked in [*compare_with_real(found), *compare_slopes_with_real(found)])


class Comparison(NamedTuple):
    text: str
    ratio: float

    @property
    def is_within_tolerance(self) -> bool:
        return abs(self.ratio - 1) <= TOLERANCE


def compare_with_real(found: Sequence[Figures]) -> list[Comparison]:
    """The ratio hollow to real for each figure that both have."""
    hollow = {(f["store"], f["size"]): f for f in found if f["kind"] == "hollow"}
    checked = []
    for real in [f for f in found if f["kind"] == "real"]:
        hollow_figures = hollow.get((real["store"], real["size"]))
        for ours, theirs in COMPARED_KEYS if hollow_figures else ():
            assert hollow_figures
            if theirs in real and (ours != "written_change" or real["store"]):
                a, b = _median(hollow_figures[ours]), _median(real[theirs])
                checked.append(_compare(theirs, str(real["size"]), real["store"], a, b))
    return checked


def compare_slopes_with_real(found: Sequence[Figures]) -> list[Comparison]:
    """The growth of each figure per row of the list, over the sizes at which both were measured."""
    checked = []
    for store in (False, True):
        by = {(f["kind"], f["size"]): f for f in found if f["store"] is store}
        sizes = [size for kind, size in by if kind == "real" and ("hollow", size) in by]
        for ours, theirs in (("cpu_change_mean", "cpu_change"), ("rss_first", "rss_list")):
            if len(sizes) > 1:
                a = fit([(size, _median(by["hollow", size][ours])) for size in sizes]).slope
                b = fit([(size, _median(by["real", size][theirs])) for size in sizes]).slope
                checked.append(_compare(theirs, "a row", store, a, b))
    return checked


def _compare(name: str, size: str, store: bool, ours: float, theirs: float) -> Comparison:
    ratio = ours / theirs if theirs else float("inf")
    verdict = "" if abs(ratio - 1) <= TOLERANCE else " (over 20 % off)"
    text = f"{name} | {size} | {'yes' if store else 'no'} | {ours:.4g} | {theirs:.4g} | {ratio:.2f}{verdict}"
    return Comparison(text, ratio)


def _fit(row: Row, by: dict[tuple[str, bool, int], Figures], sizes: Sequence[int]) -> Iterator[str]:
    found = {size: by[row.kind, row.store, size] for size in sizes if (row.kind, row.store, size) in by}
    points = [(size, _median(figures[row.key]) / row.unit) for size, figures in found.items()
              if row.key in figures and not (row.store and row.key in STORED
              and _is_cut(by, size))]  # fmt: skip
    if row.fitted and len(points) > 2:
        line = fit(points)
        worst = f"{line.worst:.3g} at {line.worst_at:.0f}"
        yield f"{row.text} | {line.base:.3g} | {line.slope * 1000:.3g} | {worst} of {len(points)} sizes"


def _is_cut(by: dict[tuple[str, bool, int], Figures], size: int) -> bool:
    """Whether the store keeps only part of a list of this size; such sizes are left out of the fit."""
    return not by.get(("hollow", True, size), {}).get("whole", True)


def _median(value: Any) -> float:
    return float(value[0] if isinstance(value, list | tuple) else value)


def _cell(value: Any, unit: float) -> str:
    if value is None:
        return "-"
    if isinstance(value, list | tuple):
        return str(Spread(*(part / unit for part in value)))
    return f"{value / unit:.4g}"

"""Prints the figures as tables: the median of the runs, with minimum and maximum."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter

from tests.scale_path.figures import QUANTILES, Group, Run, fit_groups, spread, table

_QUANTILE_HEADS = [f"p{q:g} ms" for q in QUANTILES]

_LAST_HEADS = ["CPU ms a call", "wait for a core, ms a call", "yardstick ms", "answered",
               "cores idle / stolen %"]  # fmt: skip


def _quantile(name: str, place: int) -> Callable[[Run], float]:
    read = attrgetter(name)
    return lambda run: float(read(run)[place])


def _quantiles(group: Group, name: str) -> list[str]:
    return [spread(group.of(_quantile(name, place))) for place in range(len(QUANTILES))]


def _waited_ms(run: Run) -> float:
    return run.used.waited_s * 1e3 / max(1, run.answered)


def _yardstick(group: Group) -> str:
    return spread(group.of(lambda run: run.yardstick_ms))


def _calm(group: Group) -> str:
    return f"{100 * group.of(lambda run: run.calm_share)[0]:.0f} % of the calls"


def _outcome(group: Group) -> str:
    answered, planned = sum(r.answered for r in group.runs), sum(r.planned for r in group.runs)
    other = ", ".join(f"{count} {name}" for name, count in sorted(group.faults().items()))
    return f"{answered} of {planned}" + (f"; {other}" if other else "")


def direct_and_through(direct: Group, through: Group) -> str:
    rows = [
        ["sent after the planned moment, direct", *_quantiles(direct, "late_ms")],
        ["sent after the planned moment, through", *_quantiles(through, "late_ms")],
        ["a call, direct", *_quantiles(direct, "took_ms")],
        ["a call, through", *_quantiles(through, "took_ms")],
        ["difference of these quantiles", *_differences(direct, through, "took_ms")],
        ["a call, through, on a kept connection to the server", *_quantiles(through, "kept_ms")],
        [f"a call, direct, in calm moments ({_calm(direct)})", *_quantiles(direct, "calm_ms")],
        [f"a call, through, in calm moments ({_calm(through)})", *_quantiles(through, "calm_ms")],
        ["difference of these quantiles", *_differences(direct, through, "calm_ms")],
        ["all but the order server's own, direct", *_quantiles(direct, "between_ms")],
        ["all but the order server's own, through", *_quantiles(through, "between_ms")],
        ["to the order server, through", *_quantiles(through, "there_ms")],
        ["back from the order server, through", *_quantiles(through, "back_ms")],
    ]
    title = f"{through.rate:.0f} calls/s, {len(through.runs)} runs: {_outcome(direct)} answered direct, "
    title += f"{_outcome(through)} through; CPU {spread(through.of(through.cpu_ms), 3)} ms a call beside "
    title += f"{through.idle_share:.4f} of a core idle; first on the server's connection: "
    title += spread(through.of(lambda run: 100 * run.new_share), 1) + " %; the sidecar waited "
    title += f"{spread(through.of(_waited_ms), 3)} ms a call for a core; yardstick "
    title += f"{_yardstick(through)} ms; of the cores {direct.machine()} % "
    title += f"idle / stolen direct, {through.machine()} through"
    return table(title, ["", *_QUANTILE_HEADS], rows)


def _differences(direct: Group, through: Group, name: str) -> list[str]:
    """Differences of the medians. The quantiles of the difference itself cannot be measured."""
    places = [_quantile(name, place) for place in range(len(QUANTILES))]
    return [f"{through.of(place)[0] - direct.of(place)[0]:.2f}" for place in places]


def rates(groups: list[Group]) -> str:
    rows = [
        [f"{g.rate:.0f}", *_quantiles(g, "took_ms"), spread(g.of(g.cpu_ms), 3), spread(g.of(_waited_ms), 3),
         _yardstick(g), _outcome(g), g.machine()]
        for g in groups
    ]  # fmt: skip
    line = fit_groups(groups)
    text = table("By calls/s", ["calls/s", *_QUANTILE_HEADS, *_LAST_HEADS], rows)
    text += f"\nLeast squares: {line.slope * 1e3:.3f} ms a call and {line.base:.4f} of a core, "
    return text + f"deviation {line.deviation:.4f} of a core; a core is full at {line.full_at:.0f} calls/s.\n"


def lists(title: str, groups: list[Group]) -> str:
    heads = ["", *_QUANTILE_HEADS, "worst ms", "idle, of a core", "new %", *_LAST_HEADS]
    rows = [
        [g.name, *_quantiles(g, "took_ms"), spread(g.of(lambda run: run.worst_ms), 1),
         f"{g.idle_share:.4f}", spread(g.of(lambda run: 100 * run.new_share), 1),
         spread(g.of(g.cpu_ms), 3), spread(g.of(_waited_ms), 3), _yardstick(g),
         _outcome(g), g.machine()]
        for g in groups
    ]  # fmt: skip
    return table(title, heads, rows)

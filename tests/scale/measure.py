"""CPU time, memory and bytes written of a process; medians with their range; a least-squares fit."""

from __future__ import annotations

import ctypes
import os
import statistics
import time
from collections.abc import Sequence
from typing import NamedTuple

import psutil
from hdrh.histogram import HdrHistogram

_LIBC = ctypes.CDLL(None)


class Spread(NamedTuple):
    """The median and the range of repeated measurements."""

    median: float
    low: float
    high: float

    @classmethod
    def of(cls, values: Sequence[float]) -> Spread:
        return cls(statistics.median(values), min(values), max(values))

    def __str__(self) -> str:
        return f"{self.median:.3g} ({self.low:.3g}..{self.high:.3g})"


class Times:
    """A histogram of durations in seconds: the median, and p10 to p90."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, 600_000_000_000, 3)

    def add(self, seconds: float) -> None:
        self._histogram.record_value(max(1, int(seconds * 1e9)))

    def spread(self) -> Spread:
        return Spread(*(self._histogram.get_value_at_percentile(p) / 1e9 for p in (50, 10, 90)))


class Fit(NamedTuple):
    """y = base + slope * x; `worst` is the greatest deviation of a point, at x = `worst_at`."""

    base: float
    slope: float
    worst: float
    worst_at: float


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """The least-squares line through the points."""
    mean_x, mean_y = (statistics.fmean(column) for column in zip(*points, strict=True))
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = over / sum((x - mean_x) ** 2 for x, _ in points)
    base = mean_y - slope * mean_x
    worst, worst_at = max((abs(base + slope * x - y), x) for x, y in points)
    return Fit(base, slope, worst, worst_at)


class Meter:
    """Reads the resource use of one process, by default this one."""

    def __init__(self, pid: int | None = None) -> None:
        self._process = psutil.Process(pid or os.getpid())
        clock = ctypes.c_int()
        if _LIBC.clock_getcpuclockid(self._process.pid, ctypes.byref(clock)):
            raise ProcessLookupError(pid)
        self._clock = clock.value

    def cpu_s(self) -> float:
        """CPU time of all threads, to the nanosecond: psutil's steps of 10 ms exceed an idle second's use."""
        return time.clock_gettime(self._clock)

    def rss(self) -> int:
        return int(self._process.memory_info().rss)

    def written(self) -> int:
        """Bytes sent to the disk (write_bytes of /proc/PID/io)."""
        return int(self._process.io_counters().write_bytes)

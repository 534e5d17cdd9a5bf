"""Counters, and log lines about single requests, for whoever has to find out later what a sidecar did."""

from __future__ import annotations

import time
from collections import Counter

from anisespool.log import say

LINES_PER_S, LINES_BURST = 2.0, 20.0  # a log must not become a load


class Telemetry:
    """Counts since the start of the process, by name, and a bounded number of lines on requests."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._tokens, self._tokens_at_s = LINES_BURST, time.monotonic()

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def log_counts(self) -> None:
        """One line, `counters: NAME N, ...`, by name."""
        say("counters", ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items())))

    def request(self, trace: bytes, text: str) -> None:
        """Why a request was sent again or ended without an answer of a server. Lines over the bound are
        counted as `lines left out`."""
        now_s = time.monotonic()
        earned = (now_s - self._tokens_at_s) * LINES_PER_S
        self._tokens, self._tokens_at_s = min(LINES_BURST, self._tokens + earned), now_s
        if self._tokens < 1:
            self.count("lines left out")
            return
        self._tokens -= 1
        say("request", f"{trace.decode('ascii', 'replace')}: {text}")


TELEMETRY = Telemetry()  # this process's

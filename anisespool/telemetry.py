"""Counters, and rate-limited log lines about single requests, for diagnosis."""

from __future__ import annotations

import time
from collections import Counter

from anisespool.log import log_info

LINES_PER_S, LINES_BURST = 2.0, 20.0  # limits the cost of logging


class Telemetry:
    """Counters since the start of the process, and a token bucket that limits the lines about requests."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._tokens, self._tokens_at_s = LINES_BURST, time.monotonic()

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] += 1

    def log_counts(self) -> None:
        """Log all counters on one line, sorted by name: `counters: NAME N, ...`."""
        log_info("counters", ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items())))

    def request(self, trace: bytes, text: str) -> None:
        """Log why a request was retried or failed without a server's answer. Lines over the rate limit are
        only counted, as `lines left out`."""
        now_s = time.monotonic()
        earned = (now_s - self._tokens_at_s) * LINES_PER_S
        self._tokens, self._tokens_at_s = min(LINES_BURST, self._tokens + earned), now_s
        if self._tokens < 1:
            self.count("lines left out")
            return
        self._tokens -= 1
        log_info("request", f"{trace.decode('ascii', 'replace')}: {text}")


TELEMETRY = Telemetry()  # shared by the whole process

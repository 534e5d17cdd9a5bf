"""Outlier ejection: which endpoints get nothing new for a while, by their own failures or by what peers say.

Own evidence is the smoothed share of an endpoint's attempts that failed, held against the mean of all: in an
overload all fail alike, and none is an outlier. A peer's verdict alone ejects nothing; QUORUM distinct peers
do. Never more than MOST_EJECTED of the endpoints are out at once, so a broken or lying peer, or a broken
network at this sidecar, cannot empty the pool. Each verdict expires by itself; the endpoint comes back cold.
"""

from __future__ import annotations

from collections.abc import Iterable

from shuntlead.interface import Status, Verdict

FAIL_SHARE_ALPHA = 0.35  # three failures in a row make an outlier of a sound endpoint
MEAN_ALPHA = 0.02  # the mean of all moves over some 50 attempts
OUTLIER = 0.6  # failing share over the mean's from which on an endpoint is ejected
AFTER_RETURN = 0.3  # its share when it comes back: it takes fewer failures to eject it again
BASE_NS, LONGEST_NS = 5_000_000_000, 40_000_000_000  # the first ejection; each next one twice as long
MOST_EJECTED = 0.3  # of the endpoints that discovery has as up
QUORUM = 2  # distinct peers whose word counts as evidence; all of them in a fleet of two
BAD = frozenset((Status.ERROR, Status.TIMEOUT, Status.CONNECT_FAILED, Status.RESET))


def quorum(fleet_size: int) -> int:
    """How many distinct peers' word counts as evidence in a fleet of that size."""
    return max(1, min(QUORUM, fleet_size - 1))


class _Record:
    __slots__ = ("failing", "own", "peers", "reason", "times", "until")

    def __init__(self) -> None:
        self.failing = 0.0  # smoothed share of its attempts
        self.until = self.times = 0  # ejected until then, and how often in a row
        self.reason, self.own = Status.ERROR, False  # own: by what this sidecar saw
        self.peers: dict[int, int] = {}  # sender -> until when its verdict holds


class Verdicts:
    def __init__(self, fleet_size: int) -> None:
        self.quorum = quorum(fleet_size)
        self.mean = 0.0  # failing share of all attempts
        self._records: dict[int, _Record] = {}

    def observe(self, now: int, endpoint: int, status: Status) -> bool:
        """Learn how an attempt ended; whether its endpoint is an outlier by that."""
        bad = status in BAD
        if not bad and status is not Status.OK:
            return False
        record = self._records.setdefault(endpoint, _Record())
        record.failing += FAIL_SHARE_ALPHA * (bad - record.failing)
        self.mean += MEAN_ALPHA * (bad - self.mean)
        if not bad:
            record.times = 0 if record.failing < AFTER_RETURN / 4 else record.times
            return False
        return record.until <= now and record.failing - self.mean >= OUTLIER

    def hear(self, now: int, sender: int, verdict: Verdict) -> bool:
        """A peer's verdict; whether there is a quorum of them now."""
        record = self._records.setdefault(verdict.endpoint, _Record())
        record.peers[sender] = now + min(max(0, verdict.left_ns), LONGEST_NS)
        record.peers = {peer: until for peer, until in record.peers.items() if until > now}
        return record.until <= now and len(record.peers) >= self.quorum

    def eject(self, now: int, endpoint: int, reason: Status, left_ns: int, own: bool) -> int:
        """Out from now on; until when. `left_ns`: for so long, not by its own history."""
        record = self._records.setdefault(endpoint, _Record())
        record.times, record.reason, record.own = record.times + 1, reason, own
        length = left_ns or BASE_NS << min(record.times - 1, 8)
        record.until = now + min(length, LONGEST_NS)
        record.failing = AFTER_RETURN + self.mean
        return record.until

    def quorum_ns(self, now: int, endpoint: int) -> int:
        """For how long a quorum of peers still holds it out."""
        longest = sorted(self._records[endpoint].peers.values(), reverse=True)
        return max(1, longest[self.quorum - 1] - now)

    def count(self, now: int) -> int:
        return sum(record.until > now for record in self._records.values())

    def is_out(self, now: int, endpoint: int) -> bool:
        record = self._records.get(endpoint)
        return record is not None and record.until > now

    def next_return(self, now: int) -> int:
        """When the next of those that are out comes back; 0 where none is out."""
        return min((r.until for r in self._records.values() if r.until > now), default=0)

    def standing(self, now: int) -> tuple[Verdict, ...]:
        """What this sidecar holds ejected, and for how much longer."""
        return tuple(Verdict(endpoint, record.until - now, record.reason)
                     for endpoint, record in self._records.items() if record.until > now)  # fmt: skip

    def own(self, now: int) -> tuple[Verdict, ...]:
        """Of those the ones by own evidence, for peers and the store. What is hearsay here would come
        to count as one more sidecar's word."""
        return tuple(v for v in self.standing(now) if self._records[v.endpoint].own)

    def reset(self, endpoint: int) -> None:
        """Another process runs there now."""
        self._records.pop(endpoint, None)

    def keep(self, endpoints: Iterable[int]) -> None:
        """Forget all endpoints but these."""
        kept = set(endpoints)
        self._records = {n: record for n, record in self._records.items() if n in kept}

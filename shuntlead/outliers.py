"""Outlier ejection: which endpoints get no new requests for a while, by local failures or by peers' reports.

The local evidence is the smoothed share of an endpoint's attempts that failed, compared with the mean of all
endpoints: in an overload all of them fail alike, and none is an outlier. One peer's ejection alone has no
such effect here; QUORUM distinct peers are needed. The caller never ejects more than MAX_EJECTED_SHARE of the
endpoints at once, so that a broken or lying peer, or a broken network at this sidecar, cannot empty the pool.
Each ejection expires by itself; the endpoint then warms up again."""

from __future__ import annotations

from collections.abc import Iterable

from shuntlead.interface import Ejection, Status

FAIL_SHARE_ALPHA = 0.35  # three failures in a row make a healthy endpoint an outlier
MEAN_ALPHA = 0.02  # averages over about 50 attempts
OUTLIER_MARGIN = 0.6  # an endpoint is ejected if its failed share exceeds the mean by this much
RETURN_FAIL_SHARE = 0.3  # failed share assumed on return, so that fewer failures eject it again
FIRST_EJECTION_NS, MAX_EJECTION_NS = 5_000_000_000, 40_000_000_000  # doubles with each ejection in a row
MAX_EJECTED_SHARE = 0.3  # of the endpoints that discovery lists as ready
QUORUM = 2  # distinct peers whose reports count as evidence; in a fleet of two, the only peer
FAILURES = frozenset((Status.ERROR, Status.TIMEOUT, Status.CONNECT_FAILED, Status.RESET))


def quorum(fleet_size: int) -> int:
    """How many distinct peers must report an endpoint in a fleet of that size."""
    return max(1, min(QUORUM, fleet_size - 1))


class _Record:
    """The failures and the ejection of one endpoint."""

    __slots__ = ("fail_share", "own", "peers", "reason", "ejections_in_row", "until")

    def __init__(self) -> None:
        self.fail_share = 0.0  # smoothed share of its attempts that failed
        self.until = self.ejections_in_row = 0  # until: end of the ejection
        self.reason, self.own = Status.ERROR, False  # own: ejected on this sidecar's own evidence
        self.peers: dict[int, int] = {}  # sidecar -> when the ejection that it reported expires


class OutlierDetector:
    """The evidence on each endpoint, and the ejections that follow from it."""

    def __init__(self, fleet_size: int) -> None:
        self.quorum = quorum(fleet_size)
        self.mean = 0.0  # failed share of all attempts
        self._records: dict[int, _Record] = {}

    def on_attempt_end(self, now: int, endpoint: int, status: Status) -> bool:
        """Updates the failed shares; returns whether the endpoint is now an outlier that is not ejected
        yet."""
        failed = status in FAILURES
        if not failed and status is not Status.OK:
            return False
        record = self._records.setdefault(endpoint, _Record())
        record.fail_share += FAIL_SHARE_ALPHA * (failed - record.fail_share)
        self.mean += MEAN_ALPHA * (failed - self.mean)
        if not failed:
            record.ejections_in_row = (
                0 if record.fail_share < RETURN_FAIL_SHARE / 4 else record.ejections_in_row
            )
            return False
        return record.until <= now and record.fail_share - self.mean >= OUTLIER_MARGIN

    def add_peer_ejection(self, now: int, sender: int, ejection: Ejection) -> bool:
        """Records a peer's ejection; returns whether a quorum of peers now reports an endpoint that is not
        ejected here."""
        record = self._records.setdefault(ejection.endpoint, _Record())
        record.peers[sender] = now + min(max(0, ejection.left_ns), MAX_EJECTION_NS)
        record.peers = {peer: until for peer, until in record.peers.items() if until > now}
        return record.until <= now and len(record.peers) >= self.quorum

    def eject(self, now: int, endpoint: int, reason: Status, left_ns: int, own: bool) -> int:
        """Ejects the endpoint and returns until when. With `left_ns` 0 the duration follows from how many
        times in a row it has been ejected."""
        record = self._records.setdefault(endpoint, _Record())
        record.ejections_in_row, record.reason, record.own = record.ejections_in_row + 1, reason, own
        length = left_ns or FIRST_EJECTION_NS << min(record.ejections_in_row - 1, 8)
        record.until = now + min(length, MAX_EJECTION_NS)
        record.fail_share = RETURN_FAIL_SHARE + self.mean
        return record.until

    def quorum_left_ns(self, now: int, endpoint: int) -> int:
        """For how much longer a quorum of peers reports the endpoint as ejected."""
        longest = sorted(self._records[endpoint].peers.values(), reverse=True)
        return max(1, longest[self.quorum - 1] - now)

    def count(self, now: int) -> int:
        """The number of endpoints that are ejected at `now`."""
        return sum(record.until > now for record in self._records.values())

    def is_ejected(self, now: int, endpoint: int) -> bool:
        record = self._records.get(endpoint)
        return record is not None and record.until > now

    def next_return(self, now: int) -> int:
        """When the next ejection expires; 0 if there is none."""
        return min((r.until for r in self._records.values() if r.until > now), default=0)

    def active(self, now: int) -> tuple[Ejection, ...]:
        """All current ejections, with their remaining time."""
        return tuple(Ejection(endpoint, record.until - now, record.reason)
                     for endpoint, record in self._records.items() if record.until > now)  # fmt: skip

    def own_ejections(self, now: int) -> tuple[Ejection, ...]:
        """The current ejections on this sidecar's own evidence. Only these go to peers and into the store:
        repeating what peers reported would count towards their quorum as one more sidecar's evidence."""
        return tuple(v for v in self.active(now) if self._records[v.endpoint].own)

    def reset(self, endpoint: int) -> None:
        """Forgets an endpoint at which another process runs now."""
        self._records.pop(endpoint, None)

    def keep_only(self, endpoints: Iterable[int]) -> None:
        """Forgets all endpoints but these."""
        kept = set(endpoints)
        self._records = {n: record for n, record in self._records.items() if n in kept}

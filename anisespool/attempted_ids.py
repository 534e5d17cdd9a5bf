"""The ids of requests that may have run at an endpoint, so that none of them runs a second time.

A client whose connection ends sends its request once more, under the same id, and may come to the other
process of an upgrade with it. Requests that are safe to repeat are not kept, and those with a key only count
once the endpoints no longer drop a repeat.
"""

from __future__ import annotations

import hashlib
import time
from functools import lru_cache

from anisespool.exchange import Call, Exchange
from anisespool.state.shared_ids import IdRecord, SharedIds
from anisespool.telemetry import TELEMETRY
from shuntlead import Settings
from shuntlead.interface import Effect

MAX_IDS = 8192  # the oldest are dropped beyond that
HASH_CACHE_SIZE = 128  # ids of requests in progress, each of which is looked up a few times
RETENTION_DEADLINES = 2  # times the longest deadline: no client comes again with a request later than that


class AttemptedIds:
    """Times are in monotonic nanoseconds, which are the same in all processes of this machine."""

    def __init__(self, settings: Settings, shared: SharedIds | None = None) -> None:
        """`shared`: through which the processes of an upgrade know each other's ids."""
        self._classes, self._shared = settings.classes, shared
        self._retention_ns = RETENTION_DEADLINES * max(each.deadline_ns for each in settings.classes)
        self._first_sent_ns: dict[int, int] = {}  # by hash of the id; the oldest first

    def has_run(self, call: Call) -> bool:
        """Whether an earlier request with this id may have run, so that this one must not."""
        request_class = self._classes[call.cls]
        if request_class.effect is Effect.REPEATABLE:
            return False
        self._read_shared()
        now_ns = time.monotonic_ns()
        sent_ns = self._first_sent_ns.get(_hash(call))
        if sent_ns is None or now_ns > sent_ns + self._retention_ns:
            return False
        if request_class.effect is Effect.BY_KEY and now_ns < sent_ns + request_class.dedup_window_ns:
            return False
        TELEMETRY.count("requests with an id that may have run")
        return True

    def on_send(self, call: Call) -> None:
        """An attempt begins."""
        if self._classes[call.cls].effect is not Effect.REPEATABLE:
            record = IdRecord(_hash(call), time.monotonic_ns(), True)
            if self._shared and record.id_hash not in self._first_sent_ns:
                self._shared.write([record])
            self._apply(record)

    def on_end(self, exchange: Exchange) -> None:
        """All attempts of a request have ended. If none of them has run, its id may be used again."""
        if self._classes[exchange.call.cls].effect is Effect.REPEATABLE:
            return
        if exchange.attempts and all(attempt.never_ran for attempt in exchange.attempts):
            record = IdRecord(_hash(exchange.call), time.monotonic_ns(), False)
            if self._shared:
                self._shared.write([record])
            self._apply(record)

    def on_process_count_change(self, has_other: bool) -> None:
        """Tell the other process of an upgrade what is known here, or end that."""
        if self._shared:
            self._shared.enable(has_other)
            self._shared.write([IdRecord(*each, True) for each in self._first_sent_ns.items()])

    def _read_shared(self) -> None:
        for record in self._shared.read() if self._shared else ():
            self._apply(record)

    def _apply(self, record: IdRecord) -> None:
        if not record.may_have_run:
            self._first_sent_ns.pop(record.id_hash, None)
            return
        self._first_sent_ns.setdefault(record.id_hash, record.at_ns)
        while self._is_oldest_dispensable(record.at_ns):
            del self._first_sent_ns[next(iter(self._first_sent_ns))]

    def _is_oldest_dispensable(self, now_ns: int) -> bool:
        oldest_ns = next(iter(self._first_sent_ns.values()))
        return len(self._first_sent_ns) > MAX_IDS or now_ns > oldest_ns + self._retention_ns


def _hash(call: Call) -> int:
    return _hash_id(call.request.headers.get(b"x-trace-id", b""))


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash_id(trace: bytes) -> int:
    """The same in every process."""
    return int.from_bytes(hashlib.blake2b(trace, digest_size=8).digest(), "little")

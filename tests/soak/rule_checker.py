"""Checks the rules on the recorded events. It shares no code with the sidecars."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from math import sqrt
from time import monotonic

from tests.fleet import START_S
from tests.soak.discovery import History
from tests.soak.plan import GRACE_S, Plan
from tests.soak.record import CROWD_PREFIX, ClientRequest, End, ProcessRun, Received, Record

# How long after it was available, or after SIGHUP, a change counts as known.
KNOWN_AFTER_S, KNOWN_AFTER_MOVE_S = 6.0, 4.0
SLACK_S = 0.1  # for a busy machine; includes the documented 50 ms
CLIENT_GONE_S = 0.1  # latest start of an attempt after its client disconnected
DEADLINE_SLACK_S = 0.15  # how much the time announced to a server may exceed the client's remaining time
ANSWER_SLACK_S = 0.5  # how long after its deadline a request may be answered
EXCUSED_S = 0.7  # after SIGTERM; requests sent before that and unanswered at SIGKILL are not lost
CAPACITY = 100.0  # minimum capacity of a warm server, in requests per second
START_SHARE, COLD_S, FALL_MULTIPLE, FALL_S = 0.25, 10.0, 2.5, 1.0  # as in tests.support.raw_settings


class RuleChecker:
    def __init__(self, plan: Plan, history: History, record: Record) -> None:
        self._plan, self._history, self._record = plan, history, record

    def violations(self) -> list[str]:
        found = [
            text
            for receipt in self._record.received
            if receipt.trace
            for text in self._late_attempts(receipt)
        ]
        found += [text for request in self._record.requests.values() for text in self._losses(request)]
        return found + list(self._duplicates()) + list(self._cold_overloads()) + list(self._crashes())

    # drain, clients gone, deadlines -------------------------------------------------------------------

    def _late_attempts(self, receipt: Received) -> Iterator[str]:
        request = self._record.requests.get(receipt.trace)
        what = f"{receipt.trace} at s-{receipt.server}"
        if request is None and receipt.trace.startswith(CROWD_PREFIX):
            return
        if request is None:
            yield f"duplicate: {what}, which no client sent"
            return
        known_s, why = self._withdrawal_known_s(receipt, request)
        late_s = receipt.first_byte_s - known_s - GRACE_S
        if late_s > SLACK_S:
            yield f"drain: {what} {late_s:.2f} s after the drain grace, {why}"
        if request.end is End.LEFT and receipt.first_byte_s > request.end_s + CLIENT_GONE_S + SLACK_S:
            yield f"lost: {what} began {receipt.first_byte_s - request.end_s:.2f} s after its client left"
        left_s = request.at_s + request.left_s - receipt.first_byte_s
        if receipt.announced_s > left_s + DEADLINE_SLACK_S + SLACK_S:
            yield f"deadline: {what} was told {receipt.announced_s:.2f} s with {left_s:.2f} s left"

    def _withdrawal_known_s(self, receipt: Received, request: ClientRequest) -> tuple[float, str]:
        """Returns when the process must know of the withdrawal, and why. Infinite if the server was up."""
        revision = self._withdrawn_at(receipt)
        if revision is None:
            return float("inf"), ""
        began_s = self._record.process_runs[request.process][request.run_index].began_s
        written_s = self._record.written.get(request.process, {}).get(revision, float("inf"))
        known_s, by = min(
            (max(written_s, began_s), "written"), *self._known_by_s(revision, request.process, began_s)
        )
        ages = f"{receipt.first_byte_s - self._history.published_s[revision]:.2f} s after publication"
        return (
            known_s,
            f"by revision {revision}, {by}; {ages}, {request.at_s - began_s:.2f} s after the start",
        )

    def _withdrawn_at(self, receipt: Received) -> int | None:
        """Returns the revision that withdrew this run of the server, or None."""
        server, was_up = f"s-{receipt.server}", False
        for revision, state in enumerate(self._history.states):
            row = state.get(server)
            is_up = row is not None and row["phase"] == "up" and row["up_since_ms"] == receipt.start_ms
            if was_up and not is_up:
                return revision
            was_up = is_up
        return None

    def _known_by_s(self, revision: int, process: int, began_s: float) -> Iterator[tuple[float, str]]:
        """Yields the times by which the change must be known, whether or not it was written."""
        published_s = max(self._history.published_s[revision] + self._plan.lag_s, began_s)
        yield self._reachable_after(published_s, KNOWN_AFTER_S), "6 s"
        for silent_s in self._record.silences.get(process, []):
            if silent_s >= began_s and silent_s <= published_s < silent_s + KNOWN_AFTER_S:
                yield self._reachable_after(silent_s, KNOWN_AFTER_S), "silent watch"
        moves = self._record.moves.get(process, [])
        for moved_s, next_s in pairwise([*moves, float("inf")]):
            if moved_s >= began_s and published_s < moved_s + KNOWN_AFTER_MOVE_S <= next_s:
                yield self._reachable_after(moved_s, KNOWN_AFTER_MOVE_S), "changed address"

    def _reachable_after(self, from_s: float, span_s: float) -> float:
        """Returns when discovery had been reachable for `span_s` without interruption since `from_s`."""
        for began_s, ended_s in sorted(self._record.outages):
            if began_s < from_s + span_s and ended_s > from_s:
                from_s = ended_s
        return from_s + span_s

    # lost -----------------------------------------------------------------------------------------------

    def _losses(self, request: ClientRequest) -> Iterator[str]:
        run = self._record.process_runs[request.process][request.run_index]
        if request.end is End.LEFT or request.end is End.OPEN:
            return
        took_s = request.end_s - request.at_s
        if request.end is End.ANSWERED:
            if took_s > request.left_s + ANSWER_SLACK_S + SLACK_S:
                yield f"lost: {request.trace} was answered {took_s - request.left_s:.2f} s after its deadline"
        elif not self._is_excused(request, run):
            came = "" if request.is_first_on_connection else ", on a reused connection"
            reached = any(r.trace == request.trace for r in self._record.received)
            yield (
                f"lost: {request.trace} has no answer after {took_s:.2f} of {request.left_s:.2f} s{came}"
                f"{', seen by a server' if reached else ''}; {request.at_s - run.term_s:.2f} s after SIGTERM"
            )

    def _is_excused(self, request: ClientRequest, run: ProcessRun) -> bool:
        """Whether the process was killed meanwhile, or the connection ended before the request was read."""
        if run.killed_s <= request.end_s + SLACK_S:
            is_planned = run.term_s < run.killed_s
            return not is_planned or request.at_s < run.term_s + EXCUSED_S
        reached = any(r.trace == request.trace for r in self._record.received)
        took_s = request.end_s - request.at_s
        crossed = took_s < SLACK_S or run.ended_s <= request.at_s + SLACK_S
        return crossed and not reached and (not request.is_first_on_connection or request.was_reset)

    # duplicate ------------------------------------------------------------------------------------------

    def _duplicates(self) -> Iterator[str]:
        """Yields non-repeatable requests that ran more than once."""
        runs: defaultdict[str, int] = defaultdict(int)
        for receipt in self._record.received:
            runs[receipt.trace] += not receipt.never_ran
        for trace, count in runs.items():
            request = self._record.requests.get(trace)
            if request and request.cls == "once" and count > 1:
                yield f"duplicate: {trace} ran {count} times"

    # failback -------------------------------------------------------------------------------------------

    def _cold_overloads(self) -> Iterator[str]:
        """Allows N + 2 * sqrt(N) + 2 requests per window of `fall-ns`; below N = 30, N + 3 * sqrt(N) + 3."""
        starts: defaultdict[tuple[int, int], list[float]] = defaultdict(list)
        for receipt in self._record.received:
            # A crowd is answered by servers without a capacity, so the sidecars send it at that rate.
            if receipt.start_ms and not receipt.trace.startswith(CROWD_PREFIX):
                starts[receipt.server, receipt.start_ms].append(receipt.first_byte_s)
        for (server, start_ms), times in starts.items():
            began_s = self._published_start_s(server, start_ms)
            for n, first_s in enumerate(sorted(times)):
                ramp = START_SHARE + (1 - START_SHARE) * min(1.0, max(0.0, first_s - began_s) / COLD_S)
                allowed = FALL_MULTIPLE * FALL_S * CAPACITY * ramp
                most = allowed + (2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3)
                count = sum(first_s <= each < first_s + FALL_S for each in sorted(times)[n:])
                if count > most:
                    yield f"failback: s-{server} got {count} in {FALL_S} s, {first_s - began_s:.1f} s old"
                    break

    def _published_start_s(self, server: int, start_ms: int) -> float:
        for published_s, state in zip(self._history.published_s, self._history.states, strict=True):
            row = state.get(f"s-{server}")
            if row and row["up_since_ms"] == start_ms:
                return published_s
        return float("-inf")

    # crashes --------------------------------------------------------------------------------------------

    def _crashes(self) -> Iterator[str]:
        for process, process_runs in self._record.process_runs.items():
            for n, run in enumerate(process_runs):
                if run.status is not None and run.killed_s == float("inf") and run.status != 0:
                    yield f"crash: n{process}, life {n}, ended with {run.status}"
                if not run.ready_s and monotonic() - run.began_s > START_S:
                    yield f"crash: n{process}, life {n}, was never ready"

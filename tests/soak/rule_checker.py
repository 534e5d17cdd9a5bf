"""The rules, judged by what was seen from outside. It shares no code with the sidecars."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from math import sqrt

from tests.soak.discovery import History
from tests.soak.plan import GRACE_S, Plan
from tests.soak.record import Asked, End, Life, Received, Record

TOLD_S, MOVED_TOLD_S = 6.0, 4.0  # a change counts as told so long after it could be had; after SIGHUP
SLACK_S = 0.1  # of a busy machine, and of the page's 50 ms
GONE_S = 0.1  # an attempt begins no later after its client closed
DEADLINE_SLACK_S = 0.15  # a server is told at most so much more than the client has left
ANSWER_SLACK_S = 0.5  # past its time a request has got its answer by then
EXCUSED_S = 0.7  # after SIGTERM: what came by then and is unanswered at SIGKILL is not lost
CAPACITY = 100.0  # requests a second that a warm server could answer at least
START_SHARE, COLD_S, FALL_MULTIPLE, FALL_S = 0.25, 10.0, 2.5, 1.0  # tests.support.raw_settings


class Judge:
    def __init__(self, plan: Plan, history: History, record: Record) -> None:
        self._plan, self._history, self._record = plan, history, record

    def violations(self) -> list[str]:
        found = [text for receipt in self._record.received if receipt.trace for text in self._sent(receipt)]
        found += [text for asked in self._record.asked.values() for text in self._lost(asked)]
        return found + list(self._twice()) + list(self._cold()) + list(self._crashed())

    # drain, clients gone, deadlines -------------------------------------------------------------------

    def _sent(self, receipt: Received) -> Iterator[str]:
        asked = self._record.asked.get(receipt.trace)
        what = f"{receipt.trace} at s-{receipt.server}"
        if asked is None:
            yield f"duplicate: {what}, which no client sent"
            return
        told_s, why = self._told_out_s(receipt, asked)
        late_s = receipt.first_byte_s - told_s - GRACE_S
        if late_s > SLACK_S:
            yield f"drain: {what} {late_s:.2f} s after the grace, {why}"
        if asked.end is End.LEFT and receipt.first_byte_s > asked.end_s + GONE_S + SLACK_S:
            yield f"lost: {what} began {receipt.first_byte_s - asked.end_s:.2f} s after its client left"
        left_s = asked.at_s + asked.left_s - receipt.first_byte_s
        if receipt.told_s > left_s + DEADLINE_SLACK_S + SLACK_S:
            yield f"deadline: {what} was told {receipt.told_s:.2f} s with {left_s:.2f} s left"

    def _told_out_s(self, receipt: Received, asked: Asked) -> tuple[float, str]:
        """Since when its process counts as told that the server is out, and by what; infinite: it was up."""
        revision = self._out_since(receipt)
        if revision is None:
            return float("inf"), ""
        began_s = self._record.lives[asked.process][asked.life].began_s
        written_s = self._record.written.get(asked.process, {}).get(revision, float("inf"))
        told_s, by = min(
            (max(written_s, began_s), "written"), *self._counts_s(revision, asked.process, began_s)
        )
        ages = f"{receipt.first_byte_s - self._history.had_s[revision]:.2f} s after discovery had it"
        return told_s, f"by revision {revision}, {by}; {ages}, {asked.at_s - began_s:.2f} s after the start"

    def _out_since(self, receipt: Received) -> int | None:
        """The revision that took this process of the server out, if discovery had it by then."""
        server, was_up = f"s-{receipt.server}", False
        for revision, state in enumerate(self._history.states):
            row = state.get(server)
            is_up = row is not None and row["phase"] == "up" and row["up_since_ms"] == receipt.start_ms
            if was_up and not is_up:
                return revision
            was_up = is_up
        return None

    def _counts_s(self, revision: int, process: int, began_s: float) -> Iterator[tuple[float, str]]:
        """When the change counts as told, whether or not it was written."""
        had_s = max(self._history.had_s[revision] + self._plan.lag_s, began_s)
        yield self._reachable_after(had_s, TOLD_S), "6 s"
        for silent_s in self._record.silences.get(process, []):
            if silent_s >= began_s and silent_s <= had_s < silent_s + TOLD_S:
                yield self._reachable_after(silent_s, TOLD_S), "a silent watch"
        moves = self._record.moves.get(process, [])
        for moved_s, next_s in pairwise([*moves, float("inf")]):
            if moved_s >= began_s and had_s < moved_s + MOVED_TOLD_S <= next_s:
                yield self._reachable_after(moved_s, MOVED_TOLD_S), "a move"

    def _reachable_after(self, from_s: float, span_s: float) -> float:
        """The moment by which discovery could have been reached for so long, in one piece."""
        for began_s, ended_s in sorted(self._record.outages):
            if began_s < from_s + span_s and ended_s > from_s:
                from_s = ended_s
        return from_s + span_s

    # lost -----------------------------------------------------------------------------------------------

    def _lost(self, asked: Asked) -> Iterator[str]:
        life = self._record.lives[asked.process][asked.life]
        if asked.end is End.LEFT or asked.end is End.OPEN:
            return
        took_s = asked.end_s - asked.at_s
        if asked.end is End.ANSWERED:
            if took_s > asked.left_s + ANSWER_SLACK_S + SLACK_S:
                yield f"lost: {asked.trace} was answered {took_s - asked.left_s:.2f} s after its time"
        elif not self._is_excused(asked, life):
            came = "" if asked.is_first else ", on a connection in use"
            reached = any(r.trace == asked.trace for r in self._record.received)
            yield (
                f"lost: {asked.trace} has no answer after {took_s:.2f} of {asked.left_s:.2f} s{came}"
                f"{', begun at a server' if reached else ''}; {asked.at_s - life.term_s:.2f} s after SIGTERM"
            )

    def _is_excused(self, asked: Asked, life: Life) -> bool:
        """The process was killed under it, or may never have read it: its connection ended as it came."""
        if life.killed_s <= asked.end_s + SLACK_S:
            is_planned = life.term_s < life.killed_s
            return not is_planned or asked.at_s < life.term_s + EXCUSED_S
        reached = any(r.trace == asked.trace for r in self._record.received)
        took_s = asked.end_s - asked.at_s
        crossed = took_s < SLACK_S or life.ended_s <= asked.at_s + SLACK_S
        return crossed and not reached and (not asked.is_first or asked.was_reset)

    # duplicate ------------------------------------------------------------------------------------------

    def _twice(self) -> Iterator[str]:
        """What runs at most once has been begun once."""
        runs: defaultdict[str, int] = defaultdict(int)
        for receipt in self._record.received:
            runs[receipt.trace] += not receipt.never_ran
        for trace, count in runs.items():
            asked = self._record.asked.get(trace)
            if asked and asked.cls == "once" and count > 1:
                yield f"duplicate: {trace} ran {count} times"

    # failback -------------------------------------------------------------------------------------------

    def _cold(self) -> Iterator[str]:
        """N + 2 x root of N + 2 requests in the time of the settings, N under 30: N + 3 x root of N + 3."""
        starts: defaultdict[tuple[int, int], list[float]] = defaultdict(list)
        for receipt in self._record.received:
            if receipt.start_ms:
                starts[receipt.server, receipt.start_ms].append(receipt.first_byte_s)
        for (server, start_ms), times in starts.items():
            began_s = self._had_start_s(server, start_ms)
            for n, first_s in enumerate(sorted(times)):
                ramp = START_SHARE + (1 - START_SHARE) * min(1.0, max(0.0, first_s - began_s) / COLD_S)
                allowed = FALL_MULTIPLE * FALL_S * CAPACITY * ramp
                most = allowed + (2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3)
                count = sum(first_s <= each < first_s + FALL_S for each in sorted(times)[n:])
                if count > most:
                    yield f"failback: s-{server} got {count} in {FALL_S} s, {first_s - began_s:.1f} s old"
                    break

    def _had_start_s(self, server: int, start_ms: int) -> float:
        for had_s, state in zip(self._history.had_s, self._history.states, strict=True):
            row = state.get(f"s-{server}")
            if row and row["up_since_ms"] == start_ms:
                return had_s
        return float("-inf")

    # crashes --------------------------------------------------------------------------------------------

    def _crashed(self) -> Iterator[str]:
        for process, lives in self._record.lives.items():
            for n, life in enumerate(lives):
                if life.status is not None and life.killed_s == float("inf") and life.status != 0:
                    yield f"crash: n{process}, life {n}, ended with {life.status}"
                if not life.ready_s:
                    yield f"crash: n{process}, life {n}, was never ready"

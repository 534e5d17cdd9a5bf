"""Estimates: how long requests usually take, and for each endpoint i its slowdown x_i and its load L_i, from
which the selection weights follow (shuntlead/selection.py).

This module writes the slowdowns and the queue of Endpoint records, and nothing else outside itself."""

from __future__ import annotations

from math import exp2

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.interface import Status
from shuntlead.records import Endpoint, Pending

# Weights of a new sample in the moving averages:
ALPHA = 0.3  # an endpoint's slowdown: a single sample already tells much, so the memory is short
FAIL_ALPHA = 0.6  # the same for a failure, which is rarer than an answer and tells more
KIND_ALPHA = 0.1  # a machine kind's mean, about 10 answers: used for endpoints without samples of their own
CLASS_ALPHA = 0.02  # a class's usual response time, about 50 answers: slower than any endpoint's slowdown
CLASS_MEMORY = 8  # an endpoint's slowdown in one class has rarer samples and so this many times the half-life
UNREACHABLE_SLOWDOWN = 25.0  # from this slowdown on an endpoint counts as unreachable rather than slow
MAX_SLOWDOWN = 50.0  # limit of one sample, so that a single stall cannot exclude an endpoint for long
IDLE_DRIFT = 1e-4  # growth per answer of the least response time seen: it doubles in about 7000 answers


class Estimates:
    """The moving averages of response times and of the queues that endpoints report."""

    def __init__(self, ctx: Context) -> None:
        self._ctx, classes = ctx, ctx.settings.classes
        self.class_ns = [c.target_ns / 4 for c in classes]  # usual response time of each class
        self._class_answers, self._hint_mean = [0] * len(classes), [0.0] * len(classes)
        self._answer_share = self.idle_share = 0.0  # share of the target that answers take; its minimum
        self.kind_slowdowns: dict[tuple[int, int], float] = {}  # (machine kind, zone) -> mean slowdown
        self.mean_queue, self.mean_weight = 0.0, 1.0
        columns = ctx.settings.report_columns
        reported_columns = [*columns, "queue", "inflight"]  # "inflight" may be past the end: not reported
        self._load_column = reported_columns.index("queue" if "queue" in columns else "inflight")

    def expected_ns(self, req: Pending) -> float:
        """How long this request should take: the usual time of its class, plus the difference between its
        hint of the work to do and the mean hint of the class."""
        usual, hint = self.class_ns[req.event.cls], req.event.hint_ns
        if hint is not None and self._class_answers[req.event.cls]:
            usual = max(usual + hint - self._hint_mean[req.event.cls], usual / 4)
        return max(1.0, min(usual, MAX_SLOWDOWN * self.class_ns[req.event.cls]))  # a hint may be any number

    def typical_slowdown(self, e: Endpoint) -> float:
        """The slowdown assumed of an endpoint without samples: the mean of its machine kind in its zone, or
        else by its weight. In a large fleet most endpoints have no recent samples, and a common value would
        send a slow kind as much as a fast one."""
        return self.kind_slowdowns.get((e.row.kind, e.zone)) or self.mean_weight / e.weight

    def load(self, e: Endpoint) -> float:
        """L_i: the last reported queue, decaying with its age towards the mean of all endpoints, plus this
        sidecar's attempts since the report. At least the number of this sidecar's open attempts."""
        now = self._ctx.now
        open_count, fade = (
            len(e.in_flight) - e.transferring,
            exp2((e.queue_at - now) / self._ctx.half_life_ns),
        )
        queue = self.mean_queue + (e.queue - self.mean_queue) * fade
        return max(open_count, queue + min(e.sent_since_report, open_count))

    def slowdown(self, e: Endpoint, cls: int | None = None) -> float:
        """x_i, decaying towards the mean of its kind, so that one bad sample cannot exclude an endpoint for
        ever. The samples of the class `cls` take precedence: an endpoint that fails only one class looks
        healthy by its overall mean."""
        now, half_life_ns, slow = self._ctx.now, self._ctx.half_life_ns, self.typical_slowdown(e)
        slow += (e.slowdown - slow) * exp2((e.slowdown_at - now) / half_life_ns) if e.slowdown_at else 0
        if cls in e.class_slowdowns:
            class_slowdown, at = e.class_slowdowns[cls]
            slow += (class_slowdown - slow) * exp2((at - now) / (CLASS_MEMORY * half_life_ns))
        # A stalled endpoint gives no samples, so the time already waited counts as one. Not for attempts sent
        # before one that it has answered: those are single lost or long requests, and avoiding the endpoint
        # for them would overload the others.
        oldest_open = next((a for a in e.in_flight.values() if a.sent_at > e.answered_sent_at), None)
        if oldest_open:
            slow = max(slow, min((now - oldest_open.sent_at) / oldest_open.expected_ns, MAX_SLOWDOWN))
        return slow

    def learn_answer(self, req: Pending, took: int) -> None:
        """Updates the averages of a request's class with its response time."""
        cls = req.event.cls
        self._class_answers[cls] += 1
        alpha = max(CLASS_ALPHA, 1 / self._class_answers[cls])
        self.class_ns[cls] += alpha * (took - self.class_ns[cls])
        answers, share = sum(self._class_answers), min(took / req.cls.target_ns, 1.0)
        self._answer_share += max(CLASS_ALPHA, 1 / answers) * (share - self._answer_share)
        minimum = self.idle_share * (1 + IDLE_DRIFT) if answers * CLASS_ALPHA >= 1 else 1.0
        self.idle_share = min(minimum, self._answer_share)  # response times near the target may be normal
        # With the same weight as class_ns: means over different requests would drift apart.
        if req.event.hint_ns is not None:
            self._hint_mean[cls] += alpha * (req.event.hint_ns - self._hint_mean[cls])

    def set_slowdown(self, e: Endpoint, slow: float, at: int) -> None:
        """Sets an endpoint's slowdown as of `at`, and updates the mean of its machine kind."""
        e.slowdown, e.slowdown_at, kind = slow, at, self.typical_slowdown(e)
        if slow >= UNREACHABLE_SLOWDOWN:  # tells nothing about other endpoints of its kind
            return
        self.kind_slowdowns[e.row.kind, e.zone] = kind + KIND_ALPHA * (slow - kind)

    def learn_attempt(self, e: Endpoint, cls: int, status: Status, sample: float, before: float) -> bool:
        """Updates the endpoint's slowdowns with the end of an attempt. `sample`: its duration as a multiple
        of the expected time; `before`: the slowdown so far. Returns whether the sample was used."""
        now = self._ctx.now
        if status is Status.CANCELLED and sample <= before:
            return False  # cancelled before its duration told anything
        if status is Status.CONNECT_FAILED:
            # The endpoint is down for all classes. Counted as ordinary slow answers, the refused connections
            # of a lost zone would use up the retry budget before its endpoints are avoided.
            e.class_slowdowns.clear()  # earlier good answers would hide the failure
            self.set_slowdown(e, before + FAIL_ALPHA * (MAX_SLOWDOWN - before), now)
            return True
        class_slowdown = self.slowdown(e, cls)
        alpha = ALPHA if status is Status.OK else FAIL_ALPHA
        e.class_slowdowns[cls] = class_slowdown + alpha * (sample - class_slowdown), now
        self.set_slowdown(e, before + ALPHA * (sample - before), now)
        return True

    def on_report(self, e: Endpoint, load: tuple[float, ...]) -> None:
        """Takes the queue from a load report."""
        value = load[self._load_column] if self._load_column < len(load) else -1.0
        if 0 <= value < 1e9:  # ignores nan, inf and out-of-range values
            e.queue, e.queue_at, e.sent_since_report = value, self._ctx.now, 0
            self.mean_queue += ALPHA * (value - self.mean_queue)

    def add_observation(self, e: Endpoint, observation: api.Observation) -> None:
        """Takes over from a peer or the store what was observed later than this sidecar's own samples."""
        at = self._ctx.now - max(0, observation.age_ns)
        if at > max(e.slowdown_at, e.cold_from) and 0 < observation.slowdown < 1e9:
            self.set_slowdown(e, min(observation.slowdown, MAX_SLOWDOWN), at)
        if at > max(e.queue_at, e.cold_from) and 0 <= observation.queue < 1e9:
            e.queue, e.queue_at, e.sent_since_report = observation.queue, at, 0

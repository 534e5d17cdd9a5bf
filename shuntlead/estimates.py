"""What requests usually take, and how slow and how full each endpoint is: x_i and L_i of the design's rule.

It writes the slowness and queue of Endpoint records, and nothing else outside itself."""

from __future__ import annotations

from math import exp2

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.interface import Status
from shuntlead.records import Endpoint, Pending

ALPHA = 0.3  # weight of a new response time: the paper finds one sample enough, so a short memory
FAIL_ALPHA = 0.6  # the same of a failure: rarer than answers, and worth more
KIND_ALPHA = 0.1  # a kind's mean moves over some 10 answers: it stands for endpoints unheard of
CLASS_ALPHA = 0.02  # a class's usual time moves over some 50 answers: slower than any endpoint's
CLASS_MEMORY = 8  # an endpoint's answers in one class are rarer, and remembered that much longer
NOBODY = 25.0  # slowdown from which on an endpoint is taken for gone, not for slow
MAX_SLOWDOWN = 50.0  # bound on one sample, in usual response times: one stall must not starve for ever
IDLE_DRIFT = 1e-4  # growth per answer of the least time known: doubles in some 7000 answers


class Estimates:
    def __init__(self, desk: Desk) -> None:
        self._desk, classes = desk, desk.settings.classes
        self.class_ns = [c.target_ns / 4 for c in classes]  # usual response time, learned
        self._class_seen, self._hint_mean = [0] * len(classes), [0.0] * len(classes)
        self._usual_share = self.idle = 0.0  # share of the target that answers take, and its least
        self.kind_slow: dict[tuple[int, int], float] = {}  # mean x_i of a kind of machine in a zone
        self.mean_queue, self.mean_weight = 0.0, 1.0
        columns = desk.settings.report_columns
        figures = [*columns, "queue", "inflight"]  # past the end: not reported
        self._load_column = figures.index("queue" if "queue" in columns else "inflight")

    def usual(self, req: Pending) -> float:
        """What this request usually takes: its class's usual time, and what its hint adds to the class's."""
        usual, hint = self.class_ns[req.event.cls], req.event.hint_ns
        if hint is not None and self._class_seen[req.event.cls]:
            usual = max(usual + hint - self._hint_mean[req.event.cls], usual / 4)
        return max(1.0, min(usual, MAX_SLOWDOWN * self.class_ns[req.event.cls]))  # a hint may be any number

    def typical(self, e: Endpoint) -> float:
        """Of many endpoints most are unheard of, and a slow kind would take a fast one's odds."""
        return self.kind_slow.get((e.row.kind, e.zone)) or self.mean_weight / e.weight

    def load(self, e: Endpoint) -> float:
        """L_i: the reported queue, faded by age toward the fleet's, and own sends since."""
        now = self._desk.now
        out, fade = len(e.out) - e.passing, exp2((e.queue_at - now) / self._desk.forget_ns)
        queue = self.mean_queue + (e.queue - self.mean_queue) * fade
        return max(out, queue + min(e.since, out))

    def slowdown(self, e: Endpoint, cls: int | None = None) -> float:
        """x_i, fading toward the fleet's mean so that one bad sample cannot starve an endpoint. One
        that fails a class and serves the others looks well by its mean: what its class knows comes first."""
        now, forget_ns, slow = self._desk.now, self._desk.forget_ns, self.typical(e)
        slow += (e.slow - slow) * exp2((e.slow_at - now) / forget_ns) if e.slow_at else 0
        if cls in e.by_class:
            own, at = e.by_class[cls]
            slow += (own - slow) * exp2((at - now) / (CLASS_MEMORY * forget_ns))
        # A stalled endpoint sends no samples. Waiting for it is a sample; but what it has overtaken
        # is one lost or long request, and an endpoint shunned for it drives the others into overload.
        oldest = next((a for a in e.out.values() if a.sent > e.answered), None)
        if oldest:
            slow = max(slow, min((now - oldest.sent) / oldest.usual, MAX_SLOWDOWN))
        return slow

    def learn_class(self, req: Pending, took: int) -> None:
        cls = req.event.cls
        self._class_seen[cls] += 1
        alpha = max(CLASS_ALPHA, 1 / self._class_seen[cls])
        self.class_ns[cls] += alpha * (took - self.class_ns[cls])
        seen, share = sum(self._class_seen), min(took / req.cls.target_ns, 1.0)
        self._usual_share += max(CLASS_ALPHA, 1 / seen) * (share - self._usual_share)
        least = self.idle * (1 + IDLE_DRIFT) if seen * CLASS_ALPHA >= 1 else 1.0
        self.idle = min(least, self._usual_share)  # Idle answers near the target are no overload
        if req.event.hint_ns is not None:  # Means of different requests drift apart
            self._hint_mean[cls] += alpha * (req.event.hint_ns - self._hint_mean[cls])

    def learn(self, e: Endpoint, slow: float, at: int) -> None:
        e.slow, e.slow_at, kind = slow, at, self.typical(e)
        if slow >= NOBODY:  # it says nothing of its kind, whose odds those unheard of would share
            return
        self.kind_slow[e.row.kind, e.zone] = kind + KIND_ALPHA * (slow - kind)

    def learn_attempt(self, e: Endpoint, cls: int, status: Status, sample: float, before: float) -> bool:
        """How an attempt ended, in usual response times; `before`: its slowdown till then. Whether it says
        anything."""
        now = self._desk.now
        if status is Status.CANCELLED and sample <= before:
            return False  # given up early
        if status is Status.CONNECT_FAILED:
            # Nobody is there, for any class. As one slow answer each, the refusals of a lost zone
            # would use up the re-sends that its requests need.
            e.by_class.clear()  # or their good answers would hide it
            self.learn(e, before + FAIL_ALPHA * (MAX_SLOWDOWN - before), now)
            return True
        own = self.slowdown(e, cls)
        alpha = ALPHA if status is Status.OK else FAIL_ALPHA
        e.by_class[cls] = own + alpha * (sample - own), now
        self.learn(e, before + ALPHA * (sample - before), now)
        return True

    def on_report(self, e: Endpoint, load: tuple[float, ...]) -> None:
        value = load[self._load_column] if self._load_column < len(load) else -1.0
        if 0 <= value < 1e9:  # not for nan, inf or nonsense
            e.queue, e.queue_at, e.since = value, self._desk.now, 0
            self.mean_queue += ALPHA * (value - self.mean_queue)

    def see(self, e: Endpoint, seen: api.Sighting) -> None:
        """What a peer saw later than this sidecar takes the place of what it knew."""
        at = self._desk.now - max(0, seen.age_ns)
        if at > max(e.slow_at, e.cold_from) and 0 < seen.slow < 1e9:
            self.learn(e, min(seen.slow, MAX_SLOWDOWN), at)
        if at > max(e.queue_at, e.cold_from) and 0 <= seen.queue < 1e9:
            e.queue, e.queue_at, e.since = seen.queue, at, 0

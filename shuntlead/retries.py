"""Retry policy: how long an attempt may take, whether another one may follow, and when a refused client
should try again.

This module keeps its own counts and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Context
from shuntlead.interface import Effect
from shuntlead.records import Pending

RETRY_SHARE, RETRY_BURST = 0.2, 50.0  # retry tokens earned per first attempt, and the most that are kept
# Expected response times until another attempt is made: shorter would waste more work on slow answers, longer
# would leave less time to recover from lost ones.
ATTEMPT_TIMEOUT_FACTOR = 4.0
MIN_TIME_LEFT_FACTOR = 3.0  # expected response times that must then be left: with less, waiting is as good
MAX_VOTES = 100  # limit of the majority vote on the usual time that clients allow
RETRY_AFTER_RANGE = 0.25, 0.75  # when a refused client is told to retry, as a share of the time to spare


class Retries:
    """The retry budget, and the time that clients usually allow."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._tokens = RETRY_BURST / 5
        self._usual_time_left = [(0, 0)] * len(ctx.settings.classes)  # per class: (time in ns, votes for it)

    def on_first_attempt(self) -> None:
        """Adds to the retry budget, which is proportional to the number of first attempts."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def waited_ns(self, event: api.Request, cls: api.RequestClass) -> int:
        """How long the client has already spent on earlier tries of this request. A client allows a try
        either its usual time, which is found by majority vote, or what is left of the class's deadline.
        Without this most work in an overload would go to retries that cannot meet the target."""
        usual, votes = self._usual_time_left[event.cls]
        usual = usual if votes else event.left_ns
        same = abs(event.left_ns - usual) <= self._ctx.settings.resolution_ns
        self._usual_time_left[event.cls] = (usual, min(votes + 1, MAX_VOTES) if same else votes - 1)
        return 0 if same else max(0, cls.deadline_ns - event.left_ns)

    def attempt_timeout_ns(self, req: Pending, expected_ns: float) -> int:
        """How long an attempt may take before another is made; 0: as long as the request itself. Without a
        timeout a silent endpoint or a lost answer would use up all the time for a retry."""
        timeout_ns, s = int(ATTEMPT_TIMEOUT_FACTOR * expected_ns), self._ctx.settings
        fits = (
            self._ctx.now + timeout_ns + MIN_TIME_LEFT_FACTOR * expected_ns < req.target_at
            and len(req.attempts) + 1 < s.attempts_cap
        )
        repeats = req.cls.effect is not Effect.ONCE and not req.cls.stream and self._tokens >= 1
        repeats = repeats and not req.event.has_long_body
        return timeout_ns if fits and repeats else 0

    def may_resend(self, req: Pending) -> bool:
        """Whether another attempt may follow, and takes it from the budget: retries add to an overload and
        may repeat an effect."""
        harmful = req.cls.effect is Effect.ONCE and req.maybe_ran() or req.streaming
        if harmful or len(req.attempts) >= self._ctx.settings.attempts_cap or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def retry_after_ns(self, req: Pending, expected_ns: float) -> int:
        """When a refused client should retry while still meeting the target. Random, so that clients refused
        at the same time do not all return at once."""
        room = req.target_at - self._ctx.now - int(expected_ns)
        return min(self._ctx.settings.max_retry_after_ns,
                   int(max(0, room) * self._ctx.random.uniform(*RETRY_AFTER_RANGE)))  # fmt: skip

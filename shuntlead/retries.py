"""How long an attempt may take, whether there may be another, and what a client that retries is told.

It keeps its own counts and writes nothing outside itself."""

from __future__ import annotations

from shuntlead import interface as api
from shuntlead.context import Desk
from shuntlead.interface import Effect
from shuntlead.records import Pending

RETRY_SHARE, RETRY_BURST = 0.2, 50.0  # re-sends per first attempt, and how many may be saved up
PATIENCE = 4.0  # usual times that an attempt may take before another: lost answers against waste
AMPLE = 3.0  # usual times that must then be left: a further attempt with less is no better than waiting on
MAX_VOTES = 100  # lead of a majority that tells the usual length of a client's try
COME_BACK = 0.25, 0.75  # a refused client does so within these parts of the time that its retry has to spare


class Retries:
    def __init__(self, desk: Desk) -> None:
        self._desk = desk
        self._tokens = RETRY_BURST / 5
        self._usual_left = [(0, 0)] * len(desk.settings.classes)

    def first(self) -> None:
        """A first attempt fills the budget of further ones."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def waited(self, event: api.Request, cls: api.RequestClass) -> int:
        """How long the client has waited before. A try is given the class's usual time (by majority vote) or
        all that is left. In an overload most work would go to retries that cannot be in time."""
        usual, votes = self._usual_left[event.cls]
        usual = usual if votes else event.left_ns
        same = abs(event.left_ns - usual) <= self._desk.settings.resolution_ns
        self._usual_left[event.cls] = (usual, min(votes + 1, MAX_VOTES) if same else votes - 1)
        return 0 if same else max(0, cls.deadline_ns - event.left_ns)

    def patience(self, req: Pending, usual: float) -> int:
        """How long an attempt may take before another is made; 0: as long as there is. At a silent
        endpoint, or where answers are lost, it would use up all the time there was to recover in."""
        early, s = int(PATIENCE * usual), self._desk.settings
        fits = self._desk.now + early + AMPLE * usual < req.aim and len(req.attempts) + 1 < s.attempts_cap
        repeats = req.cls.effect is not Effect.ONCE and not req.cls.stream and self._tokens >= 1
        repeats = repeats and not req.event.has_long_body
        return early if fits and repeats else 0

    def may_resend(self, req: Pending) -> bool:
        """Retries feed an overload, and may repeat an effect. First attempts fill their budget."""
        harmful = req.cls.effect is Effect.ONCE and req.risky() or req.streaming
        if harmful or len(req.attempts) >= self._desk.settings.attempts_cap or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def come_back_ns(self, req: Pending, usual: float) -> int:
        """When a retry may fare better, yet be in time. Told the same, all would come back as one."""
        room = req.aim - self._desk.now - int(usual)
        return min(self._desk.settings.max_retry_after_ns,
                   int(max(0, room) * self._desk.random.uniform(*COME_BACK)))  # fmt: skip

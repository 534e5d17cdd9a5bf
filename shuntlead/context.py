"""What every room may use: the settings, the time of the event in hand, randomness, the actions so far, the
log and the timers. It knows no endpoint and no request."""

from __future__ import annotations

from random import Random

from shuntlead import interface as api

MAX_TIMER_NS = 3_600_000_000_000  # an hour: longer waits are never meant, and the wire bounds them


class Desk:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.now, self.started, self.salt = 0, 0, self.random.getrandbits(64)
        self.actions: list[api.Action] = []
        self.timers: dict[int, tuple[str, int]] = {}  # token -> what for, request
        self._logged: dict[str, int] = {}  # topic -> when it may be logged again
        self._next_token = 0
        self.forget_ns = max(c.deadline_ns for c in settings.classes)  # half-life of what is known
        self.tightest_ns = min(c.target_ns for c in settings.classes)
        self.longest_ns = max(c.target_ns for c in settings.classes)

    def act(self, *actions: api.Action) -> None:
        self.actions.extend(actions)

    def log(self, topic: str, text: str) -> None:
        """The README has the topics. One line a topic in a longest deadline: a log must not become a load."""
        if self.now >= self._logged.get(topic, 0):
            self._logged[topic] = self.now + self.forget_ns
            self.actions.append(api.Log(f"{topic}: {text}"))

    def set_timer(self, what: str, delay: int, subject: int = 0) -> None:
        self._next_token = (self._next_token + 1) % 2**32
        self.timers[self._next_token] = (what, subject)
        self.actions.append(api.SetTimer(max(0, min(delay, MAX_TIMER_NS)), self._next_token))


def mix(key: int, endpoint: int) -> int:
    """A number that is the same at every sidecar and looks random."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 29

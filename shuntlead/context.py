"""State shared by the parts of the decision module: the settings, the time of the current event, the random
generator, the actions to return, the log and the timers. It has no knowledge of endpoints or requests."""

from __future__ import annotations

from random import Random

from shuntlead import interface as api

MAX_TIMER_NS = 3_600_000_000_000  # one hour: no wait needs more, and the simulator's wire format has a limit


class Context:
    """The shared state of one Balancer. Times are monotonic nanoseconds."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        # now: time of the current event; started: when the first endpoint list arrived; salt: makes this
        # sidecar's ranking of the endpoints differ from that of other sidecars.
        self.now, self.started, self.salt = 0, 0, self.random.getrandbits(64)
        self.actions: list[api.Action] = []
        self.timers: dict[int, tuple[str, int]] = {}  # token -> (purpose, request id or other argument)
        self._next_log_at: dict[str, int] = {}  # topic -> time from which it may be logged again
        self._next_token = 0
        self.half_life_ns = max(c.deadline_ns for c in settings.classes)  # half-life of all estimates
        self.min_target_ns = min(c.target_ns for c in settings.classes)
        self.max_target_ns = max(c.target_ns for c in settings.classes)

    def emit(self, *actions: api.Action) -> None:
        """Appends to the actions that the current event returns."""
        self.actions.extend(actions)

    def log(self, topic: str, text: str) -> None:
        """Logs at most one line per topic within the longest class deadline, so that logging cannot become a
        load of its own. The README lists the topics."""
        if self.now >= self._next_log_at.get(topic, 0):
            self._next_log_at[topic] = self.now + self.half_life_ns
            self.actions.append(api.Log(f"{topic}: {text}"))

    def set_timer(self, purpose: str, delay: int, subject: int = 0) -> None:
        """Sets a timer for `delay` ns, MAX_TIMER_NS at most. `subject`: a request id or other argument."""
        self._next_token = (self._next_token + 1) % 2**32
        self.timers[self._next_token] = (purpose, subject)
        self.actions.append(api.SetTimer(max(0, min(delay, MAX_TIMER_NS)), self._next_token))


def stable_hash(key: int, endpoint: int) -> int:
    """A 64-bit hash that is the same at every sidecar and in every process."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 29

"""Many decision modules before emulated servers, some of which have just started: what the fleet sends
those in any span of the rule's length, against what the settings allow them then. No sockets, and no clock
but its own."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from shuntlead import interface as api
from shuntlead.balancer import Balancer
from tests.support import MS, SECOND, listed, settings

WAIT_NS, DEADLINE_NS = 30 * MS, 1 * SECOND  # what an answer takes beside the work; its longest
WARM_S = 6.0  # of traffic before the servers start


class Worst(NamedTuple):
    """Of all spans at all cold servers: the most sent beyond the budget and its chance, and the part used."""

    beyond: float  # requests over N + 2 x root of N + 2; below 0: never
    used: float  # of all budgets together, mean


class ColdFleet:
    def __init__(self, seed: int, sidecars: int, servers: int, cold: int, load: float, per_sidecar: float,
                 **changes: Any) -> None:  # fmt: skip
        """`load`: what is asked for, as part of what all servers can do when warm. `per_sidecar`: requests a
        second, in the mean; they get from a third to three times that."""
        self.random, self.seed, self.count = Random(seed), seed, sidecars
        self._changes = {"fleet_size": sidecars, "report__columns": ["queue", "util"], **changes}
        self.util = 0.3  # part of their cores in use that servers report, late as reports are
        self.settings = settings(**self._changes)
        self.rates = [per_sidecar * self.random.choice([0.33, 0.5, 1.0, 3.0]) for _ in range(sidecars)]
        self.capacity = sum(self.rates) / servers / load  # requests a second, of one warm server
        self.warm = list(range(1, servers - cold + 1))
        self.cold = list(range(servers - cold + 1, servers + 1))
        self.states: dict[int, int] = {}  # of the warm ones that are not up
        self.slow = 1.0  # how much longer the warm ones take
        self.burst = 1.0  # how much more is asked for
        self.now = 1000 * SECOND
        self.sent: dict[int, list[int]] = {n: [] for n in self.cold}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._free_at: dict[int, int] = {}  # by server: when all that it has taken is done
        self._ids = itertools.count(1)
        self.cars: list[Balancer] = []
        self.started = 0
        self.processes = 1  # of each sidecar: in an upgrade there are two, of one index

    def at(self, when: int, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), do))

    def rows(self) -> list[api.ListedEndpoint]:
        old = [listed(n, state=self.states.get(n, api.EndpointState.READY)) for n in self.warm]
        return old + [listed(n, started_ns=self.started) for n in self.cold if self.started]

    def start(self, n: int) -> None:
        """Sidecar N, from nothing."""
        changes = self._changes | {"self_index": n // self.processes}
        car = Balancer(settings(**changes), self.random.getrandbits(32))
        self.cars[n : n + 1] = [car]
        self._act(car, car.handle(self.now, api.EndpointList(1, api.ListForm.FULL, tuple(self.rows()))))

    def tell(self) -> None:
        """All sidecars the list as it is now."""
        for car in self.cars:
            self._act(car, car.handle(self.now, api.EndpointList(2, api.ListForm.DELTA, tuple(self.rows()))))

    def run(self, seconds: float, then: Callable[[ColdFleet], None] | None = None) -> Worst:
        """Traffic till the fleet has learned, then the cold servers, and `then` at their start."""
        for n in range(self.count):
            self.start(n)
            self.at(self.now + int(self.random.random() * SECOND), lambda n=n: self._arrive(n))  # type: ignore[misc]
        self._until(self.now + int(WARM_S * SECOND))
        self.started = self.now
        self.tell()
        if then:
            then(self)
        self._until(self.now + int(seconds * SECOND))
        return self._worst(seconds)

    def _until(self, end: int) -> None:
        while self._events and self._events[0][0] < end:
            self.now, _, do = heapq.heappop(self._events)
            do()
        self.now = end

    def _arrive(self, n: int) -> None:
        car, cls = self.cars[n], self.random.choice([0, 0, 0, 2])
        request = api.Request(next(self._ids), cls, 2 * SECOND)
        self._act(car, car.handle(self.now, request))
        gap = self.random.expovariate(self.rates[n] * self.burst)
        self.at(self.now + int(gap * SECOND), lambda: self._arrive(n))

    def _act(self, car: Balancer, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(car, action)
            elif isinstance(action, api.SetTimer):
                timer = api.Timer(action.token)
                self.at(self.now + action.delay_ns, lambda t=timer: self._handle(car, t))  # type: ignore[misc]

    def _handle(self, car: Balancer, event: api.Event) -> None:
        if car in self.cars:
            self._act(car, car.handle(self.now, event))

    def _send(self, car: Balancer, send: api.Send) -> None:
        part, slow = 1.0, self.slow
        if send.endpoint in self.sent:
            self.sent[send.endpoint].append(self.now)
            part, slow = self._part(self.now), 1.0
        work = SECOND / self.capacity / part * self.random.uniform(0.5, 1.5)
        free_at = max(self.now, self._free_at.get(send.endpoint, 0)) + int(work)
        took = free_at - self.now + int(WAIT_NS * slow)
        status = api.Status.OK
        if took < DEADLINE_NS:
            self._free_at[send.endpoint] = free_at
        else:  # turned away in time: its work is not done
            took, status = DEADLINE_NS, api.Status.TIMEOUT
        attempt = len(car.pending[send.request].attempts) - 1
        load = (0.0, self.util) if status is api.Status.OK else ()
        outcome = api.Outcome(send.request, send.endpoint, attempt, took, status, True, load)
        self.at(self.now + took, lambda: self._handle(car, outcome))

    def _worst(self, seconds: float) -> Worst:
        s, beyond, used = self.settings, -1e9, []
        for times in self.sent.values():
            for first, at in enumerate(times):
                budget = self._budget(at)
                count = sum(at <= t < at + s.fall_ns for t in itertools.islice(times, first, None))
                beyond = max(beyond, count - (budget + 2 * budget**0.5 + 2))
            spans = [self.started + n * s.fall_ns for n in range(int(seconds * SECOND / s.fall_ns))]
            used += [sum(at <= t < at + s.fall_ns for t in times) / self._budget(at) for at in spans]
        return Worst(beyond, sum(used) / len(used))

    def _budget(self, at: int) -> float:
        """N, by the slowest ramp that the settings guarantee."""
        s = self.settings
        return s.fall_multiple * self._part(at) * self.capacity * s.fall_ns / SECOND

    def _part(self, at: int) -> float:
        """Of a warm server's capacity, what a cold one is sure to have."""
        s = self.settings
        return s.start_capacity + (1 - s.start_capacity) * min(1.0, (at - self.started) / s.cold_ns)

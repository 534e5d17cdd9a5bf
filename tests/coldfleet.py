"""Discrete-event simulation of many decision modules in front of servers, some of them newly started.

Compares the requests that the fleet sends a cold server within any window of `fall-ns` with the budget that
the settings allow. Uses no sockets, and a simulated clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from shuntlead import interface as api
from shuntlead.balancer import Balancer
from tests.support import MS, SECOND, listed, settings

BASE_LATENCY_NS, DEADLINE_NS = 30 * MS, 1 * SECOND  # response time without the work; its maximum
WARM_UP_S = 6.0  # of traffic before the cold servers start


class BudgetUse(NamedTuple):
    """Budget use over all windows at all cold servers."""

    excess: float  # most requests above N + 2 * sqrt(N) + 2; negative if none was above
    used_share: float  # mean used fraction of the budgets


class ColdFleet:
    def __init__(self, seed: int, sidecars: int, servers: int, cold: int, load: float, per_sidecar: float,
                 **changes: Any) -> None:  # fmt: skip
        """`load`: offered load as a fraction of the capacity of all servers when warm. `per_sidecar`: mean
        requests per second; a single sidecar gets from a third to three times that."""
        self.random, self.seed, self.count = Random(seed), seed, sidecars
        self._changes = {"fleet_size": sidecars, "report__columns": ["queue", "util"], **changes}
        self.util = 0.3  # CPU utilization that servers report; constant, as reports lag behind
        self.settings = settings(**self._changes)
        self.rates = [per_sidecar * self.random.choice([0.33, 0.5, 1.0, 3.0]) for _ in range(sidecars)]
        self.capacity = sum(self.rates) / servers / load  # requests per second of one warm server
        self.warm = list(range(1, servers - cold + 1))
        self.cold = list(range(servers - cold + 1, servers + 1))
        self.states: dict[int, int] = {}  # of warm servers that are not READY
        self.slowdown = 1.0  # latency factor of the warm servers
        self.load_factor = 1.0  # factor on the request rate
        self.now = 1000 * SECOND
        self.sent: dict[int, list[int]] = {n: [] for n in self.cold}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._free_at: dict[int, int] = {}  # by server: when its queue is empty
        self._ids = itertools.count(1)
        self.balancers: list[Balancer] = []
        self.started = 0
        self.processes = 1  # per sidecar: two with the same index during an upgrade

    def schedule(self, when: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), callback))

    def rows(self) -> list[api.ListedEndpoint]:
        old = [listed(n, state=self.states.get(n, api.EndpointState.READY)) for n in self.warm]
        return old + [listed(n, started_ns=self.started) for n in self.cold if self.started]

    def start(self, n: int) -> None:
        """Starts sidecar N without any state."""
        changes = self._changes | {"self_index": n // self.processes}
        balancer = Balancer(settings(**changes), self.random.getrandbits(32))
        self.balancers[n : n + 1] = [balancer]
        self._apply(
            balancer, balancer.handle(self.now, api.EndpointList(1, api.ListForm.FULL, tuple(self.rows())))
        )

    def publish_list(self) -> None:
        """Sends the current list to all sidecars."""
        for balancer in self.balancers:
            self._apply(
                balancer,
                balancer.handle(self.now, api.EndpointList(2, api.ListForm.DELTA, tuple(self.rows()))),
            )

    def run(self, seconds: float, change: Callable[[ColdFleet], None] | None = None) -> BudgetUse:
        """Runs the warm-up traffic, then starts the cold servers and applies `change` at that time."""
        for n in range(self.count):
            self.start(n)
            self.schedule(self.now + int(self.random.random() * SECOND), lambda n=n: self._arrive(n))  # type: ignore[misc]
        self._until(self.now + int(WARM_UP_S * SECOND))
        self.started = self.now
        self.publish_list()
        if change:
            change(self)
        self._until(self.now + int(seconds * SECOND))
        return self._budget_use(seconds)

    def _until(self, end: int) -> None:
        while self._events and self._events[0][0] < end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def _arrive(self, n: int) -> None:
        balancer, cls = self.balancers[n], self.random.choice([0, 0, 0, 2])
        request = api.Request(next(self._ids), cls, 2 * SECOND)
        self._apply(balancer, balancer.handle(self.now, request))
        gap = self.random.expovariate(self.rates[n] * self.load_factor)
        self.schedule(self.now + int(gap * SECOND), lambda: self._arrive(n))

    def _apply(self, balancer: Balancer, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(balancer, action)
            elif isinstance(action, api.SetTimer):
                timer = api.Timer(action.token)
                self.schedule(self.now + action.delay_ns, lambda t=timer: self._handle(balancer, t))  # type: ignore[misc]

    def _handle(self, balancer: Balancer, event: api.Event) -> None:
        if balancer in self.balancers:
            self._apply(balancer, balancer.handle(self.now, event))

    def _send(self, balancer: Balancer, send: api.Send) -> None:
        capacity_share, slowdown = 1.0, self.slowdown
        if send.endpoint in self.sent:
            self.sent[send.endpoint].append(self.now)
            capacity_share, slowdown = self._capacity_share(self.now), 1.0
        work = SECOND / self.capacity / capacity_share * self.random.uniform(0.5, 1.5)
        free_at = max(self.now, self._free_at.get(send.endpoint, 0)) + int(work)
        took = free_at - self.now + int(BASE_LATENCY_NS * slowdown)
        status = api.Status.OK
        if took < DEADLINE_NS:
            self._free_at[send.endpoint] = free_at
        else:  # timed out: the server does not do the work
            took, status = DEADLINE_NS, api.Status.TIMEOUT
        attempt = len(balancer.pending[send.request].attempts) - 1
        load = (0.0, self.util) if status is api.Status.OK else ()
        outcome = api.Outcome(send.request, send.endpoint, attempt, took, status, True, load)
        self.schedule(self.now + took, lambda: self._handle(balancer, outcome))

    def _budget_use(self, seconds: float) -> BudgetUse:
        s, excess, used_share = self.settings, -1e9, []
        for times in self.sent.values():
            for first, at in enumerate(times):
                budget = self._budget(at)
                count = sum(at <= t < at + s.fall_ns for t in itertools.islice(times, first, None))
                excess = max(excess, count - (budget + 2 * budget**0.5 + 2))
            spans = [self.started + n * s.fall_ns for n in range(int(seconds * SECOND / s.fall_ns))]
            used_share += [sum(at <= t < at + s.fall_ns for t in times) / self._budget(at) for at in spans]
        return BudgetUse(excess, sum(used_share) / len(used_share))

    def _budget(self, at: int) -> float:
        """Returns N, by the slowest ramp that the settings guarantee."""
        s = self.settings
        return s.fall_multiple * self._capacity_share(at) * self.capacity * s.fall_ns / SECOND

    def _capacity_share(self, at: int) -> float:
        """Returns the guaranteed capacity of a cold server as a fraction of a warm one's."""
        s = self.settings
        return s.start_capacity + (1 - s.start_capacity) * min(1.0, (at - self.started) / s.cold_ns)

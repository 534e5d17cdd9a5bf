"""Drives the balancer alone, with a list as a sidecar numbers it and a simulated clock. The same seed gives
the same decisions."""

from __future__ import annotations

import time
from collections.abc import Callable

from anisespool.config import NameIndex
from anisespool.servers import Servers
from shuntlead import Balancer, Settings
from shuntlead import interface as api
from shuntlead.interface import ListForm
from tests.net import settings_json
from tests.scale.listing import EPOCH_MS, SKUS, ZONES, Listing
from tests.support import SECOND

RATE = 187  # requests a second to one sidecar
ANSWER_NS = 20_000_000


class BalancerDriver:
    def __init__(self, listing: Listing, seed: int) -> None:
        settings = Settings.from_dict(settings_json(allowed__peers=True, fleet_size=len(listing.rows)))
        epoch_ns = EPOCH_MS * 1_000_000 - 1_000 * SECOND
        zones, kinds = ({name: n for n, name in enumerate(names)} for names in (ZONES, SKUS))
        self._names = NameIndex({}, {}, zones, kinds, epoch_ns)
        self.servers = Servers({}, epoch_ns)
        self.balancer = Balancer(settings, seed)
        self.now, self.requests = 1_000 * SECOND, 0
        self.chosen: list[int] = []
        self.apply_list(listing.full())

    def apply_list(self, raw: dict[str, object]) -> None:
        update = self._names.member_list(raw)
        form = ListForm.FULL if update.complete else ListForm.DELTA
        entries = tuple(row for _, row in self.servers.apply(update, form).rows)
        self.balancer.handle(self.now, api.EndpointList(update.revision, form, entries))

    def serve(self, count: int, on_request: Callable[[float], None] = lambda s: None,
              on_outcome: Callable[[float], None] = lambda s: None) -> None:  # fmt: skip
        """Send requests one at a time and answer each; the callbacks get the balancer's CPU time."""
        for _ in range(count):
            self.requests += 1
            self.now += SECOND // RATE
            began = time.thread_time_ns()
            actions = self.balancer.handle(self.now, api.Request(self.requests, 0, 2 * SECOND))
            on_request((time.thread_time_ns() - began) / 1e9)
            for send in [a for a in actions if isinstance(a, api.Send)]:
                self.chosen.append(send.endpoint)
                event = api.Outcome(send.request, send.endpoint, 0, ANSWER_NS, api.Status.OK, True, (0.0,))
                began = time.thread_time_ns()
                self.balancer.handle(self.now + ANSWER_NS, event)
                on_outcome((time.thread_time_ns() - began) / 1e9)

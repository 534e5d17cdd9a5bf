"""Tenants' rates between the two processes of an upgrade, by way of the state store: they have one number
among the sidecars and one address for datagrams, which the old process holds until it ends."""

from __future__ import annotations

import asyncio
import json
import os

from anisespool.errors import StoreError
from anisespool.external_state import Outside
from anisespool.fleet.shared_state import clock_ms
from anisespool.log import say
from anisespool.state.store import Record, Store
from shuntlead.interface import TenantReport

EVERY_S = 0.2
KEPT_MS = 1_000  # what a process that ended asked for is void by then
KIND = "rates"


class BesideRates:
    def __init__(self, store: Store, outside: Outside) -> None:
        self._store, self._outside = store, outside
        self.two = False  # another process of this sidecar lives
        self._id = str(os.getpid())

    async def follow(self) -> None:
        complaint = ""
        while True:
            await asyncio.sleep(EVERY_S)
            if not self.two:
                continue
            try:
                await self._exchange()
                complaint = ""
            except (StoreError, ValueError, TypeError) as error:
                if complaint != str(error):
                    complaint = str(error)
                    say("upgrade", f"the other process's rates cannot be had: {error}"[:300])

    async def _exchange(self) -> None:
        shared, now = self._outside.share_reports(), clock_ms()
        rows = [[r.sidecar, now - r.age_ns // 1_000_000, *r.rates] for r in shared.reports[1:]]
        body = json.dumps([shared.process_rates, rows])
        await self._store.put([Record(KIND, self._id, now, now + KEPT_MS, body)])
        for record in self._store.records(KIND):
            if record.id != self._id:
                here, others = json.loads(record.body)
                left_ns = (record.until_ms - now) * 1_000_000
                self._outside.beside(left_ns, tuple(float(rate) for rate in here))
                self._outside.tenant_reports(tuple(
                    TenantReport(int(n), max(0, now - at) * 1_000_000, tuple(map(float, rates)))
                    for n, at, *rates in others
                ))  # fmt: skip

"""Exchanges tenants' request rates between the two processes of an upgrade, through the state store. They
cannot use datagrams: both have the same sidecar index and the same address, which the old process keeps until
it ends."""

from __future__ import annotations

import asyncio
import json
import os

from anisespool.errors import StoreError
from anisespool.external_state import ExternalState
from anisespool.fleet.shared_state import clock_ms
from anisespool.log import log_info
from anisespool.state.store import Record, Store
from shuntlead.interface import TenantReport

EXCHANGE_INTERVAL_S = 0.2
RETENTION_MS = 1_000  # rates of a process that has ended are ignored after this
KIND = "rates"  # of these records in the store


class UpgradeRates:
    """Writes this process's rates to the store and passes those of the other process to the decision
    module."""

    def __init__(self, store: Store, external: ExternalState) -> None:
        self._store, self._external = store, external
        self.has_other_process = False  # whether another process of this sidecar is running
        self._id = str(os.getpid())

    async def follow(self) -> None:
        """Exchange rates periodically while there is another process."""
        last_logged = ""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            if not self.has_other_process:
                continue
            try:
                await self._exchange()
                last_logged = ""
            except (StoreError, ValueError, TypeError) as error:
                if last_logged != str(error):
                    last_logged = str(error)
                    log_info("upgrade", f"cannot exchange rates with the other process: {error}"[:300])

    async def _exchange(self) -> None:
        """Store this process's rates and read those of the other process. Raises StoreError, or ValueError or
        TypeError if a record is malformed."""
        shared, now = self._external.share_reports(), clock_ms()
        rows = [[r.sidecar, now - r.age_ns // 1_000_000, *r.rates] for r in shared.reports[1:]]
        body = json.dumps([shared.process_rates, rows])
        await self._store.put([Record(KIND, self._id, now, now + RETENTION_MS, body)])
        for record in self._store.records(KIND):
            if record.id != self._id:
                other_rates, reports = json.loads(record.body)
                left_ns = (record.until_ms - now) * 1_000_000
                self._external.set_other_process_rates(left_ns, tuple(float(rate) for rate in other_rates))
                self._external.on_tenant_reports(tuple(
                    TenantReport(int(n), max(0, now - at_ms) * 1_000_000, tuple(map(float, rates)))
                    for n, at_ms, *rates in reports
                ))  # fmt: skip

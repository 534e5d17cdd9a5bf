"""The calls of the admin address, and their answers."""

from __future__ import annotations

from collections.abc import Iterable

from anisespool.admin import AdminCall
from anisespool.config import Config
from anisespool.errors import NoStore, NotServing, UnknownServer
from anisespool.log import log_info
from anisespool.maintenance import Maintenance
from anisespool.sidecar import Sidecar
from anisespool.state.store import SCHEMA

MAX_SHOWN_SERVERS = 20  # server ids in an answer, to limit its length


class AdminCommands:
    """Implements the admin calls. `serving` and `stopping` are the state of the process, set by its owner."""

    def __init__(self, config: Config, sidecar: Sidecar, maintenance: Maintenance) -> None:
        self._config, self._sidecar, self._maintenance = config, sidecar, maintenance
        self._store = maintenance.store
        self.serving = self.stopping = False
        self.calls: dict[str, AdminCall] = {
            "READY": self._ready, "DISABLE ": self._disable, "ENABLE ": self._enable, "STATE": self._state,
            "FLEET": self._fleet_state}  # fmt: skip

    async def _ready(self, argument: str) -> str:
        if self.stopping:
            raise NotServing("this process is on its way out")
        if not self.serving:
            raise NotServing("waiting for the first list of servers")
        return "serving"

    async def _disable(self, server: str) -> str:
        await self._order(server, True)
        return f"{server} takes nothing new"

    async def _enable(self, server: str) -> str:
        await self._order(server, False)
        return f"{server} may serve"

    async def _state(self, argument: str) -> str:
        """The state store and the ids of the disabled servers, up to STATE_SHOWN."""
        if self._store is None or not self._store.is_open:
            raise NoStore("no state store")
        out = sorted(server for server, order in self._maintenance.orders.items() if order.out)
        shown = " ".join(out[:MAX_SHOWN_SERVERS]) + (" ..." if len(out) > MAX_SHOWN_SERVERS else "")
        return f"store {self._store.path.name} schema {SCHEMA}; {len(out)} out: {shown}".rstrip()

    async def _fleet_state(self, argument: str) -> str:
        """The state of the fleet: each tenant's request rate and quota per second, the number and age of the
        reports from other sidecars, and the ejected servers."""
        shared, tenants = self._sidecar.external.share_reports(), self._config.settings.tenants
        rates = (f"{name} {shared.fleet_rates[n]:.1f} of {tenants[n].quota_per_s:.1f}/s"
                 for name, n in self._config.names.tenants.items())  # fmt: skip
        ages = sorted(report.age_ns / 1e9 for report in shared.reports[1:])
        oldest = f", the oldest {ages[-1]:.2f} s" if ages else ""
        out = sorted(self._sidecar.servers.ids_of(ejection.endpoint for ejection in shared.ejected))
        shown = " ".join(out[:MAX_SHOWN_SERVERS]) + (" ..." if len(out) > MAX_SHOWN_SERVERS else "")
        return f"{', '.join(rates)}; {len(ages)} reports{oldest}; {len(out)} ejected: {shown}".rstrip()

    def on_orders(self, servers: Iterable[str]) -> None:
        """Orders have changed, by a call here or at the other process of an upgrade."""
        servers = list(servers)
        for server in servers:
            state = "out" if self._maintenance.orders[server].out else "enabled again and treated as cold"
            log_info("maintenance", f"{server} is {state}")
        self._sidecar.refresh(servers)

    async def _order(self, server: str, out: bool) -> None:
        if not (self._sidecar.servers.has_listed(server) or server in self._maintenance.orders):
            raise UnknownServer(f"no server {server} has been listed")
        await self._maintenance.order(server, out)

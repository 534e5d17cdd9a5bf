"""How the limits are divided, and what is held of them."""

from __future__ import annotations

import asyncio
import os
import resource
from pathlib import Path

from anisespool.admin import MOST_CALLERS
from anisespool.config import Config
from anisespool.endpoints import Endpoints
from anisespool.front.server import Server
from anisespool.log import say
from anisespool.sidecar import Sidecar
from anisespool.telemetry import TELEMETRY

SPARE_SOCKETS = 24  # descriptors for all but clients, endpoints and operators
ENDPOINTS_PART = 3  # of the descriptors: what clients' requests hold at most, and each wants a server
RESOURCES_S = 5.0  # between two lines of what is held: leaks show in the log long before they bite


def shares(config: Config, two: bool) -> tuple[int, int]:
    """Connections to clients and to servers that fit the limit on descriptors, in each process."""
    processes = 2 if two else 1
    servers = config.sockets // ENDPOINTS_PART // processes
    spare = SPARE_SOCKETS + (MOST_CALLERS if config.admin else 0)
    return max(8, config.sockets // processes - servers - spare), max(8, servers)


async def log_resources(server: Server, sidecar: Sidecar, endpoints: Endpoints) -> None:
    while True:
        await asyncio.sleep(RESOURCES_S)
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
            pages = int(Path("/proc/self/statm").read_text().split()[1])
        except OSError:  # none is left for the look itself
            descriptors, pages = "all", 0
        say(
            "resources",
            f"{descriptors} descriptors, {server.connection_summary()}; "
            f"{len(endpoints.connections)} connections to endpoints; {sidecar.open} requests, "
            f"{len(asyncio.all_tasks())} tasks; {pages * resource.getpagesize() >> 10} KiB",
        )
        endpoints.log_traffic()
        TELEMETRY.log_counts()

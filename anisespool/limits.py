"""Divides the resource limits between clients and servers, and logs the usage."""

from __future__ import annotations

import asyncio
import os
import resource
from pathlib import Path

from anisespool.admin import MAX_CALLERS
from anisespool.config import Config
from anisespool.endpoints import Endpoints
from anisespool.front.connection_ceiling import served_connections
from anisespool.front.server import Server
from anisespool.log import log_info
from anisespool.memory_budget import MemoryBudget
from anisespool.memory_monitor import MemoryMonitor
from anisespool.sidecar import Sidecar
from anisespool.socket_buffers import SocketBuffers
from anisespool.telemetry import TELEMETRY

SPARE_SOCKETS = 24  # descriptors reserved for everything but clients, endpoints and operators
ENDPOINTS_DIVISOR = 3  # a third of the descriptors: each request of a client needs a server connection
MIN_CONNECTIONS = 8  # to clients and to servers, however low the limit
RESOURCES_INTERVAL_S = 5.0  # between log lines: a leak shows long before a limit is reached


def connection_limits(config: Config, has_other: bool) -> tuple[int, int]:
    """Maximum connections to clients that are served, and to servers, for each process, within the descriptor
    limit. `has_other`: two processes share the limit during an upgrade."""
    processes = 2 if has_other else 1
    servers = config.sockets // ENDPOINTS_DIVISOR // processes
    spare = SPARE_SOCKETS + (MAX_CALLERS if config.admin else 0)
    clients = served_connections(config.sockets // processes - servers - spare)
    return max(MIN_CONNECTIONS, clients), max(MIN_CONNECTIONS, servers)


def memory_budget(config: Config) -> MemoryBudget:
    """What all connections together may hold, before the process has been measured."""
    buffers = SocketBuffers.for_limits(config.memory_bytes, config.sockets)
    return MemoryBudget(config.memory_bytes, buffers)


async def log_resources(
    server: Server, sidecar: Sidecar, endpoints: Endpoints, memory: MemoryMonitor
) -> None:
    """Log the resource usage, the traffic and the counters at regular intervals, until cancelled."""
    while True:
        await asyncio.sleep(RESOURCES_INTERVAL_S)
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
            pages = int(Path("/proc/self/statm").read_text().split()[1])
        except OSError:  # no descriptor left to read /proc
            descriptors, pages = "all", 0
        log_info(
            "resources",
            f"{descriptors} descriptors, {server.connection_summary()}; "
            f"{len(endpoints.connections)} connections to endpoints; {sidecar.open} requests, "
            f"{len(asyncio.all_tasks())} tasks; {pages * resource.getpagesize() >> 10} KiB",
        )
        memory.log()
        endpoints.log_traffic()
        TELEMETRY.log_counts()

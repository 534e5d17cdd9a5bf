"""Start, signals and the end of one sidecar. The log goes to standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from anisespool.config import Address, Config, ConfigError, load, reload_discovery
from anisespool.discovery import Watch
from anisespool.endpoints import Endpoints
from anisespool.server import Server
from anisespool.sidecar import Sidecar
from shuntlead.interface import RosterForm

ACCEPT_S = 0.5  # after SIGTERM: new connections go on coming for up to 0.4 s
LAST_S = 0.5  # past the longest deadline of what was taken till then: nothing can still be in time
SPARE_SOCKETS = 64  # descriptors for all but clients and endpoints
RESOURCES_S = 5.0  # between two lines of what is held: leaks show in the log long before they bite


async def run(
    config: Config,
    stop: asyncio.Event,
    moves: asyncio.Queue[Address],
    on_listening: Callable[[Address], None],
) -> None:
    """One sidecar from its start until `stop` is set and all that it took is answered. Discovery is watched
    where the configuration says, and from then on where `moves` does."""
    loop = asyncio.get_running_loop()
    settings, most = config.settings, max(8, (config.sockets - SPARE_SOCKETS) // 2)
    endpoints = Endpoints(settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, most)
    sidecar = Sidecar(config, endpoints)
    if sidecar.peers:
        await sidecar.peers.open()
    sidecar.listed(config.known, RosterForm.CACHED)
    watch = Watch(config.discovery, config.names, config.known, settings.fleet_size, sidecar.listed)
    server = Server(sidecar, config.names, settings, most)
    tasks = [
        loop.create_task(watch.follow(moves)),
        loop.create_task(endpoints.sweep()),
        loop.create_task(server.sweep()),
        loop.create_task(_log_resources(server, sidecar, endpoints)),
    ]
    try:
        on_listening(server.listen(config.listen))
    except OSError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    gc.freeze()  # what start-up made stays for good: no collection need look at it
    await stop.wait()
    try:
        async with asyncio.timeout(ACCEPT_S + max(c.deadline_ns for c in settings.classes) / 1e9 + LAST_S):
            await server.stop(ACCEPT_S)
    except TimeoutError:
        print("server: ended with connections still in use", file=sys.stderr)
    for task in tasks:
        task.cancel()
    if sidecar.peers:
        sidecar.peers.close()


async def _log_resources(server: Server, sidecar: Sidecar, endpoints: Endpoints) -> None:
    while True:
        await asyncio.sleep(RESOURCES_S)
        try:
            descriptors = str(len(os.listdir("/proc/self/fd")))
            pages = int(Path("/proc/self/statm").read_text().split()[1])
        except OSError:  # none is left for the look itself
            descriptors, pages = "all", 0
        print(
            f"resources: {descriptors} descriptors, {server.census()}; "
            f"{len(endpoints.connections)} connections to endpoints; {sidecar.open} requests, "
            f"{len(asyncio.all_tasks())} tasks; {pages * resource.getpagesize() >> 10} KiB",
            file=sys.stderr,
        )
        endpoints.log_traffic()


async def _until_signalled(config: Config) -> None:
    loop, stop, moves = asyncio.get_running_loop(), asyncio.Event(), asyncio.Queue[Address]()

    def reload() -> None:
        try:
            moves.put_nowait(reload_discovery(os.environ))
        except ConfigError as error:  # a bad file must not cost what works
            print(f"anisespool: the old configuration stays: {error}", file=sys.stderr)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await run(config, stop, moves, lambda address: None)


def main() -> int:
    try:
        config = load(os.environ)
        asyncio.run(_until_signalled(config))
    except ConfigError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

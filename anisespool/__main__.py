"""Start, signals and the end of one sidecar. The log goes to standard error."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable

from anisespool.config import Address, Config, load
from anisespool.discovery.watch import Move
from anisespool.errors import ConfigError
from anisespool.log import say
from anisespool.reload import Reload
from anisespool.service import Service
from anisespool.supervision import supervise


async def run(
    config: Config,
    stop: asyncio.Event,
    moves: asyncio.Queue[Move],
    on_listening: Callable[[Address], None],
) -> None:
    await Service(config).run(stop, moves, on_listening)


async def _until_signalled(config: Config) -> None:
    loop, stop, reload = asyncio.get_running_loop(), asyncio.Event(), Reload(os.environ, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.ask)
    reload.ask()  # for a signal that came before its handler stood
    following = loop.create_task(supervise("the configuration's reader", reload.follow))
    try:
        await run(config, stop, reload.moves, lambda address: None)
    finally:
        following.cancel()


def main() -> int:
    try:
        config = load(os.environ)
        asyncio.run(_until_signalled(config))
    except ConfigError as error:
        say("anisespool", str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

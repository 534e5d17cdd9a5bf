"""Start, signals and the end of one sidecar. The log goes to standard error."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping

from anisespool.config import Address, Config, load
from anisespool.discovery.watch import AddressChange
from anisespool.errors import ConfigError, ConfigUnreadable
from anisespool.log import say
from anisespool.reload import Reload
from anisespool.service import Service
from anisespool.supervision import supervise

WHOLE_S, WHOLE_AGAIN_S = 2.0, 0.05  # for a file that is being written as the process starts


async def run(
    config: Config,
    stop: asyncio.Event,
    moves: asyncio.Queue[AddressChange],
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


def load_once_whole(env: Mapping[str, str], wait_s: float = WHOLE_S) -> Config:
    """The configuration; a file that is being replaced is read again, for `wait_s`. Raises ConfigError."""
    until_s = time.monotonic() + wait_s
    while True:
        try:
            return load(env)
        except ConfigUnreadable:
            if time.monotonic() >= until_s:
                raise
        time.sleep(WHOLE_AGAIN_S)


def main() -> int:
    try:
        config = load_once_whole(os.environ)
        asyncio.run(_until_signalled(config))
    except ConfigError as error:
        say("anisespool", str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

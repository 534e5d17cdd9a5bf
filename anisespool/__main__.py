"""Starts one sidecar process, handles its signals and shuts it down. The log goes to standard error."""

from __future__ import annotations

from anisespool import without_openssl as without_openssl  # before asyncio

# isort: split

import asyncio
import faulthandler
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping

from anisespool.config import Address, Config, load
from anisespool.discovery.watch import AddressChange
from anisespool.errors import ConfigError, ConfigUnreadable
from anisespool.log import log_info
from anisespool.process_memory import configure_allocator
from anisespool.reload import ConfigReloader
from anisespool.service import Service
from anisespool.supervision import supervise

# Total time, and time between reads: the file may be half written when the process starts.
CONFIG_READ_TIMEOUT_S, CONFIG_READ_RETRY_S = 2.0, 0.05


async def run(
    config: Config,
    stop: asyncio.Event,
    address_changes: asyncio.Queue[AddressChange],
    on_listening: Callable[[Address], None],
) -> None:
    """Run one sidecar until `stop` is set. `on_listening` gets the address for clients."""
    await Service(config, measures_memory=True).run(stop, address_changes, on_listening)


async def _until_signalled(config: Config) -> None:
    loop, stop, reload = asyncio.get_running_loop(), asyncio.Event(), ConfigReloader(os.environ, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop_signal, number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload.request)
    reload.request()  # covers a SIGHUP that arrived before its handler was installed
    following = loop.create_task(supervise("the configuration reader", reload.follow))
    try:
        await run(config, stop, reload.address_changes, lambda address: None)
    finally:
        following.cancel()
    log_info("anisespool", "ended" if stop.is_set() else "ended without a signal")


def _on_stop_signal(number: signal.Signals, stop: asyncio.Event) -> None:
    if not stop.is_set():
        log_info("anisespool", f"{number.name} received, shutting down")
    stop.set()


def load_with_retries(env: Mapping[str, str], wait_s: float = CONFIG_READ_TIMEOUT_S) -> Config:
    """Load the configuration. A file that cannot be read or parsed yet is retried for `wait_s`. Raises
    ConfigError."""
    until_s = time.monotonic() + wait_s
    while True:
        try:
            return load(env)
        except ConfigUnreadable:
            if time.monotonic() >= until_s:
                raise
        time.sleep(CONFIG_READ_RETRY_S)


def main() -> int:
    """Returns the exit status: 2 if the configuration is invalid."""
    faulthandler.enable()  # a traceback on SIGSEGV, SIGBUS and the like
    configure_allocator()
    try:
        config = load_with_retries(os.environ)
        asyncio.run(_until_signalled(config))
    except ConfigError as error:
        log_info("anisespool", str(error))
        return 2
    except Exception as error:
        log_info("anisespool", f"ended by a fault: {type(error).__name__}: {error}")
        raise
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Rereads discovery's address from the configuration file after SIGHUP, and retries until it is readable."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from anisespool.config import Address, Config, reload_discovery
from anisespool.discovery.watch import AddressChange
from anisespool.errors import ConfigError
from anisespool.log import log_info
from anisespool.waiting import wait_for_any

RETRY_S, MAX_RETRY_S = 0.05, 0.5  # between reads of an unreadable file, doubled each time


class ConfigReloader:
    """Reads the file on request, and passes each new address to the discovery watch through
    `address_changes`."""

    def __init__(self, env: Mapping[str, str], config: Config) -> None:
        """`config`: the configuration that the process started with."""
        self.address_changes = asyncio.Queue[AddressChange]()  # read by the discovery watch
        self._env, self._discovery = env, config.discovery
        self._requested = asyncio.Event()
        self._requested_s = 0.0  # monotonic seconds

    def request(self) -> None:
        """Request a reread, as the file may have been replaced. Also called once when the SIGHUP handler is
        installed, as earlier signals are ignored (`run` in the deploy file)."""
        self._requested_s = time.monotonic()
        self._requested.set()

    async def follow(self) -> None:
        """Serve requests until cancelled. The first read, made at the start, is used only if it gives an
        address other than the environment's: the file may have been replaced since that was set."""
        await self._requested.wait()
        self._requested.clear()
        address = await self._read(default=self._discovery)
        if address != self._discovery:
            self._emit(address)
        while True:
            await self._requested.wait()
            self._requested.clear()
            self._emit(await self._read())

    def _emit(self, address: Address) -> None:
        self._discovery = address
        self.address_changes.put_nowait(AddressChange(address, self._requested_s))

    async def _read(self, default: Address | None = None) -> Address:
        """The address in the file, or `default` if it has none. Retries while the file is invalid, for
        example half written."""
        pause_s, last_error = RETRY_S, ""
        while True:
            if self._requested.is_set():  # requested again: start over
                self._requested.clear()
                pause_s, last_error = RETRY_S, ""
            try:
                return reload_discovery(self._env, default)
            except ConfigError as error:  # an invalid file must not affect the current configuration
                if str(error) != last_error:
                    last_error = str(error)
                    log_info(
                        "anisespool",
                        f"the old configuration stays in use, and the file is read again: {error}",
                    )
            await wait_for_any((self._requested,), pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

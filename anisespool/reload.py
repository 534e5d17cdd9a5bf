"""A new configuration at SIGHUP: where the file says that discovery is, however long it cannot be read."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from anisespool.config import Address, Config, reload_discovery
from anisespool.discovery.watch import AddressChange
from anisespool.errors import ConfigError
from anisespool.log import say
from anisespool.waiting import first_of

AGAIN_S, LONGEST_AGAIN_S = 0.05, 0.5  # between two looks at a file that cannot be read, at first and later


class Reload:
    """Reads the file whenever it is asked to, until it can be read, and names each address to the watch."""

    def __init__(self, env: Mapping[str, str], config: Config) -> None:
        """`config`: what was read at the start of the process."""
        self.moves = asyncio.Queue[AddressChange]()  # for the watch on discovery
        self._env, self._discovery = env, config.discovery
        self._asked = asyncio.Event()
        self._asked_s = 0.0  # monotonic seconds

    def ask(self) -> None:
        """The file has been replaced. A signal before the handler of SIGHUP stood was ignored (`run` in the
        deploy file), so this is called once as it stands, too."""
        self._asked_s = time.monotonic()
        self._asked.set()

    async def follow(self) -> None:
        """For good. The first time the file counts only where it names another address: its writer may have
        meant it for this process, whose environment is older."""
        await self._asked.wait()
        self._asked.clear()
        address = await self._read(otherwise=self._discovery)
        if address != self._discovery:
            self._move(address)
        while True:
            await self._asked.wait()
            self._asked.clear()
            self._move(await self._read())

    def _move(self, address: Address) -> None:
        self._discovery = address
        self.moves.put_nowait(AddressChange(address, self._asked_s))

    async def _read(self, otherwise: Address | None = None) -> Address:
        """The address in the file, once it can be read, or `otherwise` if it has none. A file may be seen
        half written."""
        pause_s, complaint = AGAIN_S, ""
        while True:
            if self._asked.is_set():  # again, meanwhile
                self._asked.clear()
                pause_s, complaint = AGAIN_S, ""
            try:
                return reload_discovery(self._env, otherwise)
            except ConfigError as error:  # a bad file must not cost what works
                if str(error) != complaint:
                    complaint = str(error)
                    say("anisespool", f"the old configuration stays, and is read again: {error}")
            await first_of((self._asked,), pause_s)
            pause_s = min(2 * pause_s, LONGEST_AGAIN_S)

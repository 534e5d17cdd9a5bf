"""A hollow sidecar: all code that a list from discovery passes through, without sockets or a watch. Unlike an
idle real sidecar it has no discovery connection, no client listener and no log line on resources."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

from anisespool import http1
from anisespool.config import Config, load
from anisespool.discovery.object_decoder import ObjectDecoder
from anisespool.endpoints import Endpoints
from anisespool.limits import connection_limits
from anisespool.maintenance import Maintenance
from anisespool.sidecar import Sidecar
from anisespool.state.learned_state import LearnedState
from anisespool.state.list_snapshot import ListSnapshot
from anisespool.state.store import ListHead, Store
from anisespool.upgrade_locks import UpgradeLocks
from shuntlead.interface import ListForm
from tests.net import member_list, settings_json
from tests.scale.listing import HEAD, SKUS, ZONES, Row, chunk

READ_BYTES = 65536  # bytes that the watch reads at a time


def write_config(folder: Path, size: int, seed: int, known: Sequence[Row], peer_port: int = 7946) -> Path:
    """The configuration of sidecar 0 in a fleet with as many sidecars as servers."""
    settings = settings_json(allowed__peers=True, fleet_size=size) | {"zones": ZONES, "skus": SKUS}
    peers = [f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}:{peer_port}" for n in range(0x10001, 0x10001 + size)]
    raw = {"seed": f"{seed:x}", "limits": {"sockets": 256, "memory_mb": 256}, "settings": settings,
           "known": member_list(0, list(known)), "peer_listen": f"127.0.0.1:{peer_port}", "peers": peers,
           "peers_all": f"127.0.0.1:{peer_port + 1}"}  # fmt: skip
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return path


def read_config(path: Path, name: str = "n0") -> Config:
    nowhere = "127.0.0.1:9"
    return load({"LB_NAME": name, "LB_LISTEN": nowhere, "LB_DISCOVERY": nowhere, "LB_CONFIG": str(path)})


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class TrackedStore(Store):
    """Tracks the revision of the last list that was written to disk."""

    def __init__(self, path: Path, name: str) -> None:
        super().__init__(path, name)
        self.saved, self._saved_event = 0, asyncio.Event()

    async def change_list(self, head: ListHead, before: str, changed: Mapping[str, object]) -> bool:
        done = await super().change_list(head, before, changed)
        if done:
            self._mark_saved(head)
        return done

    async def replace_list(self, head: ListHead, members: Mapping[str, object]) -> None:
        await super().replace_list(head, members)
        self._mark_saved(head)

    def _mark_saved(self, head: ListHead) -> None:
        self.saved = head.revision
        self._saved_event.set()

    async def wait_until_saved(self, revision: int) -> None:
        while self.saved < revision:
            self._saved_event.clear()
            await self._saved_event.wait()


class HollowSidecar:
    def __init__(self, config: Config, folder: Path | None = None) -> None:
        """`folder`: for the state store, if any. Needs a running event loop."""
        settings = config.settings
        self.config, self.store = config, None
        if folder:
            self.store = TrackedStore.open(folder, config.name)
            assert isinstance(self.store, TrackedStore)
        self.endpoints = Endpoints(settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns,
                                   connection_limits(config, False)[1])  # fmt: skip
        self.upgrade_locks = UpgradeLocks(folder, config.name)
        self.upgrade_locks.poll()
        self.maintenance = Maintenance(self.store, self.upgrade_locks, self._on_order)
        self.sidecar: Sidecar = Sidecar(config, self.endpoints, self.maintenance.orders)
        self.snapshot = ListSnapshot(self.store, config.known_members) if self.store else None
        self.learned_state: LearnedState | None = None
        if self.store:
            self.learned_state = LearnedState(
                self.store, self.upgrade_locks, self.sidecar.external, keeps_pins=True
            )
        self.revision = 0
        self._decoder, self._chunks = ObjectDecoder(), list[bytes]()
        self._parser = http1.ResponseParser(lambda data: self._chunks.append(data))
        self._tasks: list[asyncio.Task[None]] = []
        self._idle_tasks: list[asyncio.Task[None]] = []
        self.sidecar.apply_list(config.known, ListForm.CACHED)
        self._parser.feed(HEAD)

    def _on_order(self, servers: Iterable[str]) -> None:
        self.sidecar.refresh(servers)

    def start_storing(self) -> None:
        """Start saving the list to the store."""
        if self.snapshot:
            self._tasks.append(asyncio.create_task(self.snapshot.follow()))

    def start_idle_tasks(self) -> None:
        """Start the periodic tasks of an idle sidecar."""
        works = [self.endpoints.sweep(), self.upgrade_locks.follow(), self.maintenance.follow()]
        works += [self.learned_state.follow()] if self.learned_state else []
        self._idle_tasks = [asyncio.create_task(work) for work in works]

    async def stop_idle_tasks(self) -> None:
        await _cancel(self._idle_tasks)

    async def stop(self) -> None:
        await _cancel([*self._idle_tasks, *self._tasks])

    def close(self) -> None:
        """Call only once the store's threads have ended: a write goes on after its task is cancelled, and
        closing the database connection during a write crashes the process."""
        if self.store:
            self.store.close()

    def receive(self, line: bytes) -> None:
        """Process a line as received from the socket, as anisespool/discovery/watch.py does."""
        data = chunk(line)
        for at in range(0, len(data), READ_BYTES):
            self._parser.feed(data[at : at + READ_BYTES])
            chunks, self._chunks = self._chunks, []
            for raw in self._decoder.feed(b"".join(chunks)):
                update = self.config.names.member_list(raw)
                self.sidecar.apply_list(update)
                if self.snapshot:
                    self.snapshot.on_update(raw, update)
                self.revision = update.revision

    async def wait_until_stored(self) -> None:
        """Wait until the last line received is on disk."""
        if isinstance(self.store, TrackedStore):
            await self.store.wait_until_saved(self.revision)

"""A hollow sidecar: all that a list of discovery passes through in a real one, with no socket and no watch.
What it lacks of an idle real one: the watch's connection, the clients' listener and the line on resources."""

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

READ = 65536  # bytes that the watch reads at a time


def write_config(folder: Path, size: int, seed: int, known: Sequence[Row], peer_port: int = 7946) -> Path:
    """Of sidecar 0 of as many as there are servers."""
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


class NoticedStore(Store):
    """Says which list has reached the disk last."""

    def __init__(self, path: Path, name: str) -> None:
        super().__init__(path, name)
        self.saved, self._news = 0, asyncio.Event()

    async def change_list(self, head: ListHead, before: str, changed: Mapping[str, object]) -> bool:
        done = await super().change_list(head, before, changed)
        if done:
            self._note(head)
        return done

    async def replace_list(self, head: ListHead, members: Mapping[str, object]) -> None:
        await super().replace_list(head, members)
        self._note(head)

    def _note(self, head: ListHead) -> None:
        self.saved = head.revision
        self._news.set()

    async def until_saved(self, revision: int) -> None:
        while self.saved < revision:
            self._news.clear()
            await self._news.wait()


class Hollow:
    def __init__(self, config: Config, folder: Path | None = None) -> None:
        """`folder`: of the state store. Made within the event loop that it runs in."""
        settings = config.settings
        self.config, self.store = config, None
        if folder:
            self.store = NoticedStore.open(folder, config.name)
            assert isinstance(self.store, NoticedStore)
        self.endpoints = Endpoints(settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns,
                                   connection_limits(config, False)[1])  # fmt: skip
        self.upgrade_locks = UpgradeLocks(folder, config.name)
        self.upgrade_locks.poll()
        self.maintenance = Maintenance(self.store, self.upgrade_locks, self._ordered)
        self.sidecar: Sidecar = Sidecar(config, self.endpoints, self.maintenance.orders)
        self.snapshot = ListSnapshot(self.store, config.known_members) if self.store else None
        self.memory: LearnedState | None = None
        if self.store:
            self.memory = LearnedState(self.store, self.upgrade_locks, self.sidecar.external, keeps_pins=True)
        self.revision = 0
        self._lines, self._chunks = ObjectDecoder(), list[bytes]()
        self._parser = http1.ResponseParser(lambda data: self._chunks.append(data))
        self._tasks: list[asyncio.Task[None]] = []
        self._waiting: list[asyncio.Task[None]] = []
        self.sidecar.apply_list(config.known, ListForm.CACHED)
        self._parser.feed(HEAD)

    def _ordered(self, servers: Iterable[str]) -> None:
        self.sidecar.refresh(servers)

    def start_storing(self) -> None:
        """Keep the list."""
        if self.snapshot:
            self._tasks.append(asyncio.create_task(self.snapshot.follow()))

    def start_waiting(self) -> None:
        """What a sidecar does with nothing to do."""
        works = [self.endpoints.sweep(), self.upgrade_locks.follow(), self.maintenance.follow()]
        works += [self.memory.follow()] if self.memory else []
        self._waiting = [asyncio.create_task(work) for work in works]

    async def stop_waiting(self) -> None:
        await _cancel(self._waiting)

    async def stop(self) -> None:
        await _cancel([*self._waiting, *self._tasks])

    def close(self) -> None:
        """A write of the store that is under way on its thread goes on after its task is cancelled,
        and a connection that is closed under it ends the process. So the threads have to be over."""
        if self.store:
            self.store.close()

    def take(self, line: bytes) -> None:
        """A line as it comes off the socket; passed on as in anisespool/discovery/watch.py."""
        data = chunk(line)
        for at in range(0, len(data), READ):
            self._parser.feed(data[at : at + READ])
            chunks, self._chunks = self._chunks, []
            for raw in self._lines.feed(b"".join(chunks)):
                update = self.config.names.member_list(raw)
                self.sidecar.apply_list(update)
                if self.snapshot:
                    self.snapshot.on_update(raw, update)
                self.revision = update.revision

    async def settle(self) -> None:
        """Until what it was told last is on the disk."""
        if isinstance(self.store, NoticedStore):
            await self.store.until_saved(self.revision)

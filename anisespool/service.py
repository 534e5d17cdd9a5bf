"""Builds the components of one sidecar process, starts them, and shuts them down in order."""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable, Iterator
from urllib.parse import quote

from anisespool.admin import Admin
from anisespool.admin_commands import AdminCommands
from anisespool.clock import CLOCK
from anisespool.config import Address, Config, MemberList
from anisespool.discovery.watch import AddressChange, Watch
from anisespool.endpoints import Endpoints
from anisespool.fleet.shared_state import FleetState
from anisespool.fleet.upgrade_rates import UpgradeRates
from anisespool.front.listener import open_listener, open_with_retry
from anisespool.front.server import Server
from anisespool.front.shutdown import Shutdown
from anisespool.limits import connection_limits, log_resources, memory_budget
from anisespool.log import log_info
from anisespool.maintenance import Maintenance
from anisespool.memory_monitor import MemoryMonitor
from anisespool.process_memory import files_bytes
from anisespool.sidecar import Sidecar
from anisespool.sockets import callback_failed
from anisespool.state.clock import restore_clock, save_clock
from anisespool.state.learned_state import LearnedState
from anisespool.state.list_snapshot import Entry, ListSnapshot
from anisespool.state.peer_lists import WarmStart
from anisespool.state.shared_ids import SharedIds
from anisespool.state.store import Store
from anisespool.supervision import supervise
from anisespool.upgrade_locks import UpgradeLocks
from anisespool.waiting import wait_for_any
from shuntlead.interface import Effect, ListForm

CANCEL_TIMEOUT_S = 0.2  # for cancelled tasks to end
LIST_WAIT_S = 3.0  # for discovery's first list in an upgrade: the new process must be ready within 6 s
PUSHED_LIST_WAIT_S = 1.0  # for the discovery agent's list: the process must use it from its start
ADMIN_BACKLOG = 128


class Service:
    """The components of one sidecar process, and their lifetimes."""

    def __init__(self, config: Config, measures_memory: bool = False) -> None:
        """`measures_memory`: this process is the sidecar and nothing else, so that all of its memory
        counts."""
        self._measures_memory = measures_memory
        settings, (clients, servers) = config.settings, connection_limits(config, False)
        self._config, self._memory = config, memory_budget(config)
        self._endpoints = Endpoints(
            settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, servers, self._memory
        )
        self._store = Store.attach(config.state_dir, config.name) if config.state_dir else None
        if self._store:  # first: all timestamps below use this clock
            restore_clock(CLOCK, self._store)
        self._upgrade_locks = UpgradeLocks(
            config.shared_dir or config.state_dir, config.name,
            self._on_process_count_change if config.inherited_fd is not None else None,
        )  # fmt: skip
        self._memory_monitor = MemoryMonitor(
            self._memory, config.memory_bytes, self._files_bytes, lambda: len(self._sidecar.servers.ids),
            self._upgrade_locks.other_pid,
            lambda nbytes: self._server.release_memory(nbytes),
            expects_upgrade=config.inherited_fd is not None,
        )  # fmt: skip
        legacy = Maintenance.legacy_path(config.shared_dir, config.name)
        self._maintenance = Maintenance(
            self._store, self._upgrade_locks, lambda servers: self._admin_commands.on_orders(servers), legacy
        )
        shared_folder = config.shared_dir or config.state_dir
        shared_ids = SharedIds(shared_folder, config.name) if shared_folder else None
        self._sidecar = Sidecar(config, self._endpoints, self._maintenance.orders, shared_ids)
        self._admin_commands = AdminCommands(config, self._sidecar, self._maintenance)
        self._server = Server(self._sidecar, config.names, settings, clients, self._memory)
        self._endpoints.on_shortage(self._server.make_room, self._server.end_stalled_upload)
        self._snapshot = ListSnapshot(self._store, config.known_members) if self._store else None
        external = self._sidecar.external
        # The dedup group of a key need not be stored if all servers drop its repeats: any may get one.
        keeps_pins = any(c.effect is Effect.BY_KEY and c.dedup_scope != "all" for c in settings.classes)
        self._learned_state = (
            LearnedState(self._store, self._upgrade_locks, external, keeps_pins) if self._store else None
        )
        self._watch = Watch(
            config.discovery, config.names, config.known, settings.fleet_size, settings.ask_within_ns,
            self._sidecar.apply_list, at_once=config.inherited_fd is not None or settings.discovery == "push",
            on_raw=self._store_list if self._snapshot else None, on_message=self._sidecar.discovery_caught_up,
            on_late_update=self._sidecar.apply_withdrawals,
        )  # fmt: skip
        self._watch.make_room = self._server.make_room
        self._sidecar.read_pending = self._watch.read_pending
        self._upgrade_rates = UpgradeRates(self._store, external) if self._store else None
        self._warm_start = None
        if self._sidecar.peers:
            self._fleet_state = FleetState(self._sidecar.peers, external)
            self._warm_start = WarmStart(self._sidecar.peers, external, settings.fleet_size,
                                   settings.self_index, self._watch.list_received.is_set)  # fmt: skip
        self._admin = Admin(self._admin_commands.calls, self._server.make_room)

    @property
    def open(self) -> int:
        """Number of requests that are not answered yet, or whose attempts have not all ended."""
        return self._sidecar.open

    @property
    def connections(self) -> int:
        """Number of connections to servers that are in use."""
        return self._endpoints.busy

    async def run(
        self,
        stop: asyncio.Event,
        address_changes: asyncio.Queue[AddressChange],
        on_listening: Callable[[Address], None],
    ) -> None:
        """Serve until `stop` is set and all accepted requests are answered. Discovery is watched at the
        address in the configuration, then at each new address from `address_changes`."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(callback_failed)
        self._upgrade_locks.poll()  # before any order: until then the other process is unaware of this one
        await self._maintenance.load()
        if self._config.admin and not await self._open_admin(self._config.admin, stop):
            return
        known = self._config.known
        if self._snapshot:  # more recent than `known`, whose servers may have drained since
            known = self._snapshot.load(self._config.names, known)
        self._sidecar.apply_list(known, ListForm.CACHED)
        self._watch.revision = known.revision  # discovery is asked for changes to the list in use
        if self._learned_state:
            self._learned_state.load()
        tasks = [
            loop.create_task(supervise(name, work)) for name, work in self._background_tasks(address_changes)
        ]
        self._server.stall_detector.start()
        if self._config.inherited_fd is not None:
            await wait_for_any((self._watch.list_received, stop), LIST_WAIT_S)
        elif self._config.settings.discovery == "push":
            await wait_for_any((self._watch.list_received, stop, self._watch.call_failed), PUSHED_LIST_WAIT_S)
        if self._config.inherited_fd is None and self._warm_start:
            await self._warm_start.query_peers(self._watch.list_received)
            tasks.append(loop.create_task(supervise("the comparison with peers' lists", self._follow_peers)))
        # Otherwise the other process would miss the first pins of keys.
        await asyncio.sleep(self._upgrade_locks.undetected_s())
        address = await open_with_retry(*self._listener(), stop)
        if address is not None:
            on_listening(address)
            if self._measures_memory:
                self._memory_monitor.start()
            self._admin_commands.serving = True
            gc.freeze()  # exempt the long-lived objects of start-up from garbage collection
            await stop.wait()
        await self._end(tasks)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Planned shutdown: answer all accepted requests, then write all pending state to the store."""
        shutdown = self._plan_shutdown()
        self._admin_commands.stopping = True
        if self._sidecar.peers:
            self._sidecar.peers.close()  # a new process waits for this address
        self._sidecar.answer_by(shutdown.answer_by_ns)
        # Long answers may go on for minutes, and a new process waits for this address too.
        asyncio.get_running_loop().call_at(shutdown.ends_by_ns / 1e9, self._admin.close)
        await self._server.stop(shutdown)
        for task in tasks:
            task.cancel()
        # So that no cancelled write overlaps with the flush.
        await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT_S)
        await self._flush()
        self._admin.close()
        if self._store:
            self._store.close()

    def _background_tasks(
        self, address_changes: asyncio.Queue[AddressChange]
    ) -> Iterator[tuple[str, Callable[[], Awaitable[object]]]]:
        """The tasks that run as long as the process, with their names for the log."""
        yield "the watch on discovery", lambda: self._watch.follow(address_changes)
        yield "the sweep of connections to servers", self._endpoints.sweep
        yield "the sweep of clients", self._server.sweep
        yield "the log of resources", self._log_resources
        yield "the locks of an upgrade", self._upgrade_locks.follow
        yield "the orders of operators", self._maintenance.follow
        if store := self._store:
            yield "the stored clock", lambda: save_clock(CLOCK, store)  # the start does not wait for the disk
        if self._snapshot:
            yield "the stored list", self._snapshot.follow
        if self._learned_state:
            yield "the stored pins, loads and ejections", self._learned_state.follow
        if self._sidecar.peers:
            yield "the peers' socket", self._sidecar.peers.open
        if self._config.inherited_fd is not None and self._upgrade_rates:
            yield "the other process's rates", self._upgrade_rates.follow

    async def _log_resources(self) -> None:
        await log_resources(self._server, self._sidecar, self._endpoints, self._memory_monitor)

    def _files_bytes(self) -> int:
        """What the files of this sidecar take where they count as memory."""
        temporary, name = self._config.shared_dir, quote(self._config.name, safe="")
        prefixes = f"sailbridge-{name}.", f"anisespool-{name}."
        return files_bytes((temporary,), prefixes) if temporary else 0

    async def _follow_peers(self) -> None:
        if self._warm_start:
            await self._warm_start.follow(self._watch.list_received, self._watch.is_list_stale)

    def _store_list(self, raw: Entry, update: MemberList) -> None:
        """Store the list after an update from discovery has been applied."""
        if self._snapshot:
            servers = self._sidecar.servers
            self._snapshot.on_update(raw, update, servers.is_behind, servers.is_withdrawn)

    async def _flush(self) -> None:
        """Make a last attempt to write all pending state to the store."""
        owners = (self._maintenance, self._snapshot, self._learned_state)
        await asyncio.gather(*(owner.flush() for owner in owners if owner))

    def _on_process_count_change(self, has_other: bool) -> None:
        """Divide the limits between the processes of an upgrade, or give them all to the one that remains."""
        log_info("upgrade", "two processes share the limits" if has_other else "one process")
        clients, servers = connection_limits(self._config, has_other)
        if self._upgrade_rates:
            self._upgrade_rates.has_other_process = has_other
        self._sidecar.attempted_ids.on_process_count_change(has_other)
        self._server.set_connection_limit(clients)
        self._endpoints.limit(servers)

    async def _open_admin(self, address: Address, stop: asyncio.Event) -> bool:
        """Open the admin address. Returns False if `stop` was set first."""
        name = "LB_ADMIN_ADDR or key admin_addr"
        listener = await open_with_retry(name, lambda: open_listener(address, ADMIN_BACKLOG), stop)
        if listener:
            self._admin.listen(listener)
        return listener is not None

    def _listener(self) -> tuple[str, Callable[[], Address]]:
        """The name of the setting for the client address, and the function that opens the listener."""
        descriptor = self._config.inherited_fd
        if descriptor is None:
            return "LB_LISTEN", lambda: self._server.listen(self._config.listen)
        return "LB_INHERITED_FD", lambda: self._server.inherit(descriptor)

    def _plan_shutdown(self) -> Shutdown:
        longest_ns = max(c.deadline_ns for c in self._config.settings.classes)
        return Shutdown(time.monotonic_ns(), longest_ns, self._config.inherited_fd is not None)

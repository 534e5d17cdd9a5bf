"""One sidecar: its parts, its start and its end."""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Awaitable, Callable, Iterator

from anisespool.admin import Admin
from anisespool.admin_commands import Operators
from anisespool.clock import CLOCK
from anisespool.config import Address, Config, MemberList
from anisespool.discovery.watch import AddressChange, Watch
from anisespool.endpoints import Endpoints
from anisespool.fleet.shared_state import FleetState
from anisespool.fleet.upgrade_rates import UpgradeRates
from anisespool.front.listener import open_listener, open_with_retry
from anisespool.front.server import Server
from anisespool.front.shutdown import Shutdown
from anisespool.limits import log_resources, shares
from anisespool.log import say
from anisespool.maintenance import Maintenance
from anisespool.sidecar import Sidecar
from anisespool.sockets import callback_failed
from anisespool.state.clock import restore_clock, save_clock
from anisespool.state.learned_state import LearnedState
from anisespool.state.list_snapshot import Entry, ListSnapshot
from anisespool.state.peer_lists import WarmStart
from anisespool.state.store import Store
from anisespool.supervision import supervise
from anisespool.upgrade_locks import Pair
from anisespool.waiting import first_of
from shuntlead.interface import Effect, ListForm

BUFFERS_PART = 8  # of the memory, for long bodies on their way
CANCEL_S = 0.2  # for the tasks to end that were cancelled
LIST_WAIT_S = 3.0  # a new process of an upgrade has 6 s to say that it is ready
PUSHED_WAIT_S = 1.0  # for what the agent has: it counts as told from a process's first moment
ADMIN_BACKLOG = 128


class Service:
    """The parts of one sidecar, and who ends each."""

    def __init__(self, config: Config) -> None:
        settings, (clients, servers) = config.settings, shares(config, False)
        self._config = config
        self._endpoints = Endpoints(
            settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, servers
        )
        self._store = Store.attach(config.state_dir, config.name) if config.state_dir else None
        if self._store:  # all that is dated below goes by this clock
            restore_clock(CLOCK, self._store)
        self._pair = Pair(config.folder or config.state_dir, config.name,
                          self._share if config.inherited_fd is not None else None)  # fmt: skip
        legacy = Maintenance.legacy_place(config.folder, config.name)
        self._maintenance = Maintenance(
            self._store, self._pair, lambda servers: self._operators.ordered(servers), legacy
        )
        self._sidecar = Sidecar(config, self._endpoints, self._maintenance.orders)
        self._operators = Operators(config, self._sidecar, self._maintenance)
        buffers = config.memory_bytes // BUFFERS_PART
        self._server = Server(self._sidecar, config.names, settings, clients, buffers)
        self._endpoints.make_room = self._server.make_room
        self._snapshot = ListSnapshot(self._store, config.known_members) if self._store else None
        outside = self._sidecar.outside
        # Keys that have to be kept: where all servers drop a repeat, any of them may get it.
        keeps_pins = any(c.effect is Effect.BY_KEY and c.dedup_scope != "all" for c in settings.classes)
        self._memory = LearnedState(self._store, self._pair, outside, keeps_pins) if self._store else None
        self._watch = Watch(
            config.discovery, config.names, config.known, settings.fleet_size, settings.ask_within_ns,
            self._sidecar.apply_list, at_once=config.inherited_fd is not None or settings.discovery == "push",
            on_raw=self._store_list if self._snapshot else None, on_message=self._sidecar.discovery_caught_up,
            on_late_update=self._sidecar.apply_withdrawals,
        )  # fmt: skip
        self._watch.make_room = self._server.make_room
        self._sidecar.read_pending = self._watch.read_pending
        self._beside = UpgradeRates(self._store, outside) if self._store else None
        self._warm = None
        if self._sidecar.peers:
            self._fleet = FleetState(self._sidecar.peers, outside)
            self._warm = WarmStart(self._sidecar.peers, outside, settings.fleet_size,
                                   settings.self_index, self._watch.list_received.is_set)  # fmt: skip
        self._admin = Admin(self._operators.calls, self._server.make_room)

    @property
    def open(self) -> int:
        """Requests that are owed an answer, or whose attempts have not all ended."""
        return self._sidecar.open

    @property
    def connections(self) -> int:
        """To servers, that are not idle."""
        return self._endpoints.busy

    async def run(
        self,
        stop: asyncio.Event,
        moves: asyncio.Queue[AddressChange],
        on_listening: Callable[[Address], None],
    ) -> None:
        """Until `stop` is set and all that was taken is answered. Discovery is watched where the
        configuration says, and from then on where `moves` does."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(callback_failed)
        self._pair.look()  # The other process would not know of an order taken here before this lock
        await self._maintenance.load()
        if self._config.admin and not await self._open_admin(self._config.admin, stop):
            return
        known = self._config.known
        if self._snapshot:  # `known` may name as up what drained long since
            known = self._snapshot.load(self._config.names, known)
        self._sidecar.apply_list(known, ListForm.CACHED)
        self._watch.revision = known.revision  # what is asked for is what follows the list in use
        if self._memory:
            self._memory.load()
        tasks = [loop.create_task(supervise(name, work)) for name, work in self._works(moves)]
        self._server.stall_detector.start()
        if self._config.inherited_fd is not None:
            await first_of((self._watch.list_received, stop), LIST_WAIT_S)
        elif self._config.settings.discovery == "push":
            await first_of((self._watch.list_received, stop, self._watch.call_failed), PUSHED_WAIT_S)
        if self._config.inherited_fd is None and self._warm:
            await self._warm.query_peers(self._watch.list_received)
            tasks.append(loop.create_task(supervise("what peers' lists say", self._follow_peers)))
        await asyncio.sleep(self._pair.unknown_s())  # or its first keys would be unknown there
        address = await open_with_retry(*self._listener(), stop)
        if address is not None:
            on_listening(address)
            self._operators.serving = True
            gc.freeze()  # what start-up made stays for good: no collection need look at it
            await stop.wait()
        await self._end(tasks)

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """The planned end: all that was taken is answered, and all that is owed to the store is written."""
        shutdown = self._plan_shutdown()
        self._operators.stopping = True
        if self._sidecar.peers:
            self._sidecar.peers.close()  # a new process waits for the address
        self._sidecar.end_by(shutdown.answer_by_ns)
        await self._server.stop(shutdown)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=CANCEL_S)  # so that none is still at a write that it will not end
        await self._flush()
        self._admin.close()
        if self._store:
            self._store.close()

    def _works(
        self, moves: asyncio.Queue[AddressChange]
    ) -> Iterator[tuple[str, Callable[[], Awaitable[object]]]]:
        """What runs for as long as the process, by name."""
        yield "the watch on discovery", lambda: self._watch.follow(moves)
        yield "the sweep of connections to servers", self._endpoints.sweep
        yield "the sweep of clients", self._server.sweep
        yield "the log of resources", lambda: log_resources(self._server, self._sidecar, self._endpoints)
        yield "the locks of an upgrade", self._pair.follow
        yield "the orders of operators", self._maintenance.follow
        if store := self._store:
            yield "the stored clock", lambda: save_clock(CLOCK, store)  # no start waits for the disk
        if self._snapshot:
            yield "the stored list", self._snapshot.follow
        if self._memory:
            yield "the stored memory", self._memory.follow
        if self._sidecar.peers:
            yield "the socket of peers", self._sidecar.peers.open
        if self._config.inherited_fd is not None and self._beside:
            yield "the other process's rates", self._beside.follow

    async def _follow_peers(self) -> None:
        if self._warm:
            await self._warm.follow(self._watch.list_received, self._watch.is_list_stale)

    def _store_list(self, raw: Entry, update: MemberList) -> None:
        """A line of discovery has been taken up."""
        if self._snapshot:
            servers = self._sidecar.servers
            self._snapshot.on_update(raw, update, servers.is_behind, servers.is_withdrawn)

    async def _flush(self) -> None:
        """What is still owed to the store, in a last attempt."""
        owners = (self._maintenance, self._snapshot, self._memory)
        await asyncio.gather(*(owner.flush() for owner in owners if owner))

    def _share(self, two: bool) -> None:
        """In an upgrade the limits are for both processes together."""
        say("upgrade", "two processes share the limits" if two else "one process")
        clients, servers = shares(self._config, two)
        if self._beside:
            self._beside.has_other_process = two
        self._server.set_connection_limit(clients)
        self._endpoints.limit(servers)

    async def _open_admin(self, address: Address, stop: asyncio.Event) -> bool:
        """False: `stop` came first."""
        name = "LB_ADMIN_ADDR or key admin_addr"
        listener = await open_with_retry(name, lambda: open_listener(address, ADMIN_BACKLOG), stop)
        if listener:
            self._admin.listen(listener)
        return listener is not None

    def _listener(self) -> tuple[str, Callable[[], Address]]:
        """The setting that names where clients connect, and what opens that."""
        descriptor = self._config.inherited_fd
        if descriptor is None:
            return "LB_LISTEN", lambda: self._server.listen(self._config.listen)
        return "LB_INHERITED_FD", lambda: self._server.inherit(descriptor)

    def _plan_shutdown(self) -> Shutdown:
        longest_ns = max(c.deadline_ns for c in self._config.settings.classes)
        return Shutdown(time.monotonic_ns(), longest_ns, self._config.inherited_fd is not None)

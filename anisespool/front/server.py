"""The server that clients connect to: accepting, limits across all connections, and the planned shutdown."""

from __future__ import annotations

import asyncio
import random
import select
import socket
import time
from collections import Counter

from anisespool.bounded_socket import BoundedSocket
from anisespool.config import Address, NameIndex
from anisespool.errors import NoRoomForClients
from anisespool.front.client_connection import ClientConnection
from anisespool.front.client_reader import PausedConnections
from anisespool.front.connection_ceiling import connection_ceiling
from anisespool.front.eviction import half_written_only, idle_first
from anisespool.front.listener import Acceptor, adopt_listener, open_listener
from anisespool.front.request_reader import CONNECTION_BYTES
from anisespool.front.responder import Responder
from anisespool.front.shutdown import Shutdown, Stage
from anisespool.front.stall_detector import StallDetector
from anisespool.log import log_error
from anisespool.memory_budget import DEFAULT_MEMORY_BYTES, MIN_READ_BYTES, MemoryBudget
from anisespool.sidecar import Sidecar
from anisespool.socket_buffers import SOCKET_BYTES
from anisespool.telemetry import TELEMETRY
from shuntlead import Settings

BACKLOG = 512  # connections
SHUTDOWN_POLL_INTERVAL_S = 0.01  # between two passes over the connections during a shutdown
MAX_ACCEPTS_PER_TURN = 8
MIN_CONNECTIONS = 16  # that are accepted whatever memory is left
CONNECTIONS_SHARE = 2  # one part in so many of the memory is for connections and what was read of a head
IDLE_CLIENT_BYTES = CONNECTION_BYTES + SOCKET_BYTES + MIN_READ_BYTES
ACCEPT_RETRY_DELAY_S = 0.05  # when no descriptor is left, or accept(2) fails with an unknown error
SWEEP_INTERVAL_S = 0.25


class Server:
    """Owns the listening socket and all client connections. It calls accept(2) itself instead of using an
    asyncio server, so that it can empty the accept queue before closing: connections left in it are reset."""

    def __init__(
        self,
        sidecar: Sidecar,
        names: NameIndex,
        settings: Settings,
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """`memory`: what all connections of the process together may hold."""
        self.sidecar, self.names, self.settings = sidecar, names, settings
        self.memory = memory or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self.streaming: set[Responder] = set()
        self.connections: set[ClientConnection] = set()
        self.paused_connections = PausedConnections(self.memory.resume_waiting)
        self.stall_detector = StallDetector()
        self._shutdown: Shutdown | None = None
        self._max_connections = max_connections  # that are served
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None
        self._shares_listener = False  # another process accepts from it too, and takes what is queued
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._eviction = idle_first(self.connections)
        self._replacement = half_written_only(self.connections)

    @property
    def stopping(self) -> bool:
        """A planned shutdown is in progress: each connection closes after its last pipelined request."""
        return self._shutdown is not None

    @property
    def over_connection_limit(self) -> bool:
        """Whether new requests are refused, as the process is too close to its limit on descriptors. It could
        do nothing without any."""
        return len(self.connections) > self._max_connections

    def set_connection_limit(self, max_connections: int) -> None:
        """Change the limit, and evict what exceeds it: two processes of an upgrade share the descriptors."""
        self._max_connections = max_connections
        while self.over_connection_limit and self.make_room():
            pass

    def retry_after_s(self) -> float:
        """When a connection slot is likely to be free. Randomised: otherwise all refused clients would retry
        at the same time."""
        wait_ns = min(self.settings.max_retry_after_ns, min(c.target_ns for c in self.settings.classes))
        return wait_ns / 1e9 * random.uniform(0.25, 0.75)

    def admit(self, connection: ClientConnection) -> None:
        """Register a new connection. Over the limit, an idle connection is evicted for it, so that clients
        without a request don't keep out those that have one."""
        self.connections.add(connection)
        if self.over_connection_limit:
            self.make_room(connection)

    def make_room(self, excluded: ClientConnection | None = None) -> bool:
        """Evict one connection to free its descriptor; returns whether one was evicted."""
        return self._eviction.evict_one(excluded)

    def end_stalled_upload(self) -> bool:
        """Evict one client that has stopped in the middle of a long body, to free its connection to an
        endpoint; returns whether there was one."""
        stalled = [connection for connection in self.connections if connection.has_stalled_upload]
        now = time.monotonic()
        stalled.sort(key=lambda connection: connection.idle_score(now), reverse=True)
        return any(connection.evict() for connection in stalled)

    def release_memory(self, nbytes: int) -> None:
        """Refuse requests that are being received until that much memory is released, or there are none."""
        for connection in list(self.connections):
            if nbytes <= 0:
                return
            nbytes -= connection.release_memory()

    async def sweep(self) -> None:
        """Enforce the timeouts periodically, of clients that send no complete request or do not read."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            self._eviction.drop_if_stale(now)
            self._replacement.drop_if_stale(now)
            for connection in list(self.connections):
                connection.enforce_timeouts(now)

    def connection_summary(self) -> str:
        """For the log: the number of client connections in each stage."""
        states = Counter(connection.stage for connection in self.connections)
        return f"{len(self.connections)} clients ({', '.join(f'{n} {s}' for s, n in sorted(states.items()))})"

    def listen(self, address: Address) -> Address:
        """Bind the address, and start to accept."""
        self._listener = open_listener(address, BACKLOG, self.memory.buffers)
        self._start_accepting()
        return Address(*self._listener.getsockname())

    def inherit(self, descriptor: int) -> Address:
        """Accept from an inherited listening socket, from which other processes may accept too."""
        self._listener = adopt_listener(descriptor)
        self.memory.buffers.bound_receiving(self._listener)
        self._shares_listener = True
        self._start_accepting()
        return Address(*self._listener.getsockname())

    def _accept(self) -> None:
        """Accept a limited number of connections. A burst must neither block the event loop for the existing
        connections, nor use up all descriptors before evicted connections have closed."""
        if self._listener and self._acceptor:
            self._acceptor.accept()

    def _start_serving(self, connected: socket.socket) -> None:
        bounded = BoundedSocket.wrap(connected, self.memory)
        task = asyncio.get_running_loop().create_task(self._serve(bounded))
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)

    def _start_accepting(self) -> None:
        if self._listener:
            self._acceptor = Acceptor("server", self._listener, ACCEPT_RETRY_DELAY_S, self.make_room,
                                      self._start_serving, MAX_ACCEPTS_PER_TURN,
                                      self._has_room_for_connection)  # fmt: skip
            self._acceptor.start()

    def _has_room_for_connection(self) -> bool:
        """Whether one more connection may be accepted. Those over the limit of connections are there to be
        refused, and have descriptors of their own."""
        count = len(self.connections) + len(self._accept_tasks)
        is_below = count < connection_ceiling(self._max_connections)
        if is_below or self._replacement.evict_one() or self.make_room():
            return self._has_memory_for_connection()
        TELEMETRY.count("accepts put off for descriptors")
        return False

    def _has_memory_for_connection(self) -> bool:
        """Whether one more connection may be accepted. When memory has run out, or connections take their
        share of it, only in place of an idle one, or if there are next to none."""
        self.memory.refresh()
        share_bytes = self.memory.limit_bytes // CONNECTIONS_SHARE
        has_room = not self.memory.is_exhausted and len(self.connections) * IDLE_CLIENT_BYTES < share_bytes
        if has_room or len(self.connections) < MIN_CONNECTIONS or self.make_room():
            return True
        TELEMETRY.count("accepts put off for memory")
        return False

    async def _serve(self, connected: BoundedSocket) -> None:
        loop = asyncio.get_running_loop()
        try:
            connected.setblocking(False)
            await loop.connect_accepted_socket(lambda: ClientConnection(self), connected)
        except OSError:  # the client has reset it in the meantime
            connected.close()

    async def stop(self, shutdown: Shutdown) -> None:
        """Run the shutdown: keep accepting for a while, and close each connection as its stage's time runs
        out. Every request read meanwhile is answered, as the driver limits deadlines by the same schedule.
        Responses go on until their last byte, for as long as their bytes move."""
        self._shutdown = shutdown
        if self._shares_listener:  # the other process accepts what is in its queue
            self._close_listener()
        while time.monotonic_ns() < shutdown.accept_until_ns:
            self._end_overdue_stages(shutdown)
            if self._shares_listener and not (self.connections or self._accept_tasks):
                return
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        await self._drain_accept_queue(shutdown)
        self._close_listener()
        while self._has_work(shutdown):
            self._end_overdue_stages(shutdown)
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    def _has_work(self, shutdown: Shutdown) -> bool:
        """Whether the shutdown has to wait for a connection. Past the schedule's end this is so only for
        responses that have begun, and until SIGKILL for requests that have arrived."""
        now_ns = time.monotonic_ns()
        if now_ns < shutdown.ends_by_ns:
            return bool(self.connections or self._accept_tasks)
        if now_ns < shutdown.kill_ns and any(connection.has_unread() for connection in self.connections):
            return True
        return any(connection.is_sending for connection in self.connections)

    def _end_overdue_stages(self, shutdown: Shutdown) -> None:
        now_ns = time.monotonic_ns()
        if now_ns >= shutdown.close_by_ns and self.sidecar.answer_pending():
            return  # after a stall of the process, this runs before the timers that answer requests
        for connection in list(self.connections):
            if connection.is_sending:
                continue
            stage = connection.stage
            if now_ns >= shutdown.stage_deadline_ns(stage):
                if stage is Stage.BUSY:
                    log_error("server", NoRoomForClients(f"closed a connection at shutdown in stage {stage}"))
                connection.end_stage(stage)

    async def _drain_accept_queue(self, shutdown: Shutdown) -> None:
        """Accept what is still queued: closing the listener resets the connections in its queue."""
        while (
            self._listener
            and select.select([self._listener], [], [], 0)[0]
            and time.monotonic_ns() < shutdown.queue_until_ns
        ):
            self._accept()
            await asyncio.sleep(0.001)

    def _close_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

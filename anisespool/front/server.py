"""The listener, the limits that all clients share, and a planned end."""

from __future__ import annotations

import asyncio
import random
import select
import socket
import time
from collections import Counter
from operator import itemgetter

from anisespool.config import Address, Names
from anisespool.errors import NoRoomForClients
from anisespool.front.client_connection import ClientConnection
from anisespool.front.client_reader import Paused
from anisespool.front.http_connection import Conversation
from anisespool.front.listener import Acceptor, inherited_listener, open_listener
from anisespool.front.response_writer import HIGH
from anisespool.front.shutdown import Shutdown, Stage
from anisespool.front.stall_detector import Heartbeat
from anisespool.log import fault
from anisespool.sidecar import Sidecar
from shuntlead import Settings

BACKLOG = 512
SHUTDOWN_LOOK_S = 0.01  # between two looks at the connections in a shutdown
ACCEPTED_AT_ONCE = 8
ACCEPT_PAUSE_S = 0.05  # with no descriptor left, or where accept(2) fails in an unknown way
SWEEP_S = 0.25
ORDER_S = 0.05  # that an order of who makes room for newcomers holds
LOW_SHARE = 4 * 1024  # the least of that, with many long bodies at once


class Server:
    """The listener. It accepts by itself, so that nothing queued is reset when it closes."""

    def __init__(
        self, sidecar: Sidecar, names: Names, settings: Settings, most: int, buffers: int = 1 << 23
    ) -> None:
        """`most`: connections. `buffers`: bytes that may wait for all clients of long answers together."""
        self.sidecar, self.names, self.settings = sidecar, names, settings
        self._buffers = buffers
        self.long_answers: set[Conversation] = set()
        self.connections: set[ClientConnection] = set()
        self.paused, self.heartbeat = Paused(), Heartbeat()
        self._shutdown: Shutdown | None = None
        self._most = most
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None
        self._shares_listener = False  # with another process: what waits in its queue is not ours to take
        self._accepting: set[asyncio.Task[None]] = set()
        self._order: list[tuple[float, ClientConnection]] = []  # who makes room, the first last
        self._ordered_at = -ORDER_S

    @property
    def stopping(self) -> bool:
        """A planned shutdown is under way: a connection closes once nothing more was sent ahead on it."""
        return self._shutdown is not None

    @property
    def crowded(self) -> bool:
        """Too near the limit on descriptors: the newest are sent away, for without any nothing works."""
        return len(self.connections) > self._most

    def limit(self, most: int) -> None:
        """What is over it is taken from the other process of an upgrade."""
        self._most = most
        while self.crowded and self.make_room():
            pass

    def retry_after_s(self) -> float:
        """When a place is likely to be free again. Told the same, all would come back as one."""
        wait_ns = min(self.settings.max_retry_after_ns, min(c.target_ns for c in self.settings.classes))
        return wait_ns / 1e9 * random.uniform(0.25, 0.75)

    def admit(self, connection: ClientConnection) -> None:
        """Those that bring no request must not hold the places of those that do."""
        self.connections.add(connection)
        if self.crowded:
            self.make_room(connection)

    def make_room(self, but: ClientConnection | None = None) -> bool:
        """A descriptor is wanted; whether one will be free. To put all clients in order for each
        newcomer of a crowd takes longer than they take to come; they wait unread, nobody knows how long."""
        now = time.monotonic()
        if now < self._ordered_at + ORDER_S and self._end_quietest(now, but):
            return True
        self._ordered_at = now
        self._order = sorted(((c.quiet(now), c) for c in self.connections if c.may_go), key=itemgetter(0))
        return self._end_quietest(now, but)

    def _end_quietest(self, now: float, but: ClientConnection | None) -> bool:
        """Of those in order: but not who has brought something since."""
        while self._order:
            quiet, connection = self._order.pop()
            stays = connection is but or connection not in self.connections or not connection.may_go
            if not stays and connection.quiet(now) >= quiet and connection.make_room():
                return True
        return False

    def share(self, connection: Conversation) -> int:
        """Bytes that may wait for one more client of a long answer."""
        self.long_answers.add(connection)
        return max(LOW_SHARE, min(HIGH, self._buffers // len(self.long_answers)))

    async def sweep(self) -> None:
        """A peer may connect and send nothing or half a request, or read no answer, and stay."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = time.monotonic()
            for connection in list(self.connections):
                connection.end_if_late(now)

    def census(self) -> str:
        """For the log: what the clients' connections are at."""
        states = Counter(connection.stage for connection in self.connections)
        return f"{len(self.connections)} clients ({', '.join(f'{n} {s}' for s, n in sorted(states.items()))})"

    def listen(self, address: Address) -> Address:
        """Take the address for ourselves, and accept."""
        self._listener = open_listener(address, BACKLOG)
        self._watch_listener()
        return Address(*self._listener.getsockname())

    def inherit(self, descriptor: int) -> Address:
        """Accept from a socket that the platform holds, and that other processes accept from as well."""
        self._listener = inherited_listener(descriptor)
        self._shares_listener = True
        self._watch_listener()
        return Address(*self._listener.getsockname())

    def _accept(self) -> None:
        """A crowd at the door must not keep the loop from all the others, nor take all descriptors
        before those that make room have gone."""
        if self._listener and self._acceptor:
            self._acceptor.accept()

    def _accepted(self, connected: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(connected))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)

    def _watch_listener(self) -> None:
        if self._listener:
            self._acceptor = Acceptor("server", self._listener, ACCEPT_PAUSE_S, self.make_room,
                                      self._accepted, ACCEPTED_AT_ONCE)  # fmt: skip
            self._acceptor.watch()

    async def _serve(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            connected.setblocking(False)
            await loop.connect_accepted_socket(lambda: ClientConnection(self), connected)
        except OSError:  # it has been reset by now
            connected.close()

    async def stop(self, shutdown: Shutdown) -> None:
        """Run the shutdown: accept for a while, then end each connection when its stage allows. Every request
        that is read meanwhile is answered, as the driver caps deadlines by the same schedule."""
        self._shutdown = shutdown
        if self._shares_listener:  # what waits in its queue is for the other process
            self._end_listener()
        while time.monotonic_ns() < shutdown.accept_until_ns:
            self._end_stages(shutdown)
            if self._shares_listener and not (self.connections or self._accepting):
                return
            await asyncio.sleep(SHUTDOWN_LOOK_S)
        await self._empty_listener_queue(shutdown)
        self._end_listener()
        while (self.connections or self._accepting) and time.monotonic_ns() < shutdown.ends_by_ns:
            self._end_stages(shutdown)
            await asyncio.sleep(SHUTDOWN_LOOK_S)

    def _end_stages(self, shutdown: Shutdown) -> None:
        now_ns = time.monotonic_ns()
        if now_ns >= shutdown.close_by_ns and self.sidecar.answer_all():
            return  # A process that stood still gets here before the timers of these answers
        for connection in list(self.connections):
            stage = connection.stage
            if now_ns >= shutdown.stays_until_ns(stage):
                if stage in (Stage.BUSY, Stage.ANSWERING_AT_LENGTH):
                    fault("server", NoRoomForClients(f"ended with a connection {stage}"))
                connection.end_stage(stage)

    async def _empty_listener_queue(self, shutdown: Shutdown) -> None:
        """Closing the listener resets the connections that still wait in its queue."""
        while (
            self._listener
            and select.select([self._listener], [], [], 0)[0]
            and time.monotonic_ns() < shutdown.queue_until_ns
        ):
            self._accept()
            await asyncio.sleep(0.001)

    def _end_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

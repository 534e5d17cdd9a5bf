"""All endpoints by the driver's numbers: which connection an attempt gets, and how many there are."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from math import inf

from anisespool import http1
from anisespool.config import Address
from anisespool.endpoints.attempt import Attempt
from anisespool.endpoints.connection import Connection
from anisespool.endpoints.pool import REST_S, Idle, Pool
from anisespool.errors.system import SystemFailure, classify, described, is_short_here
from anisespool.log import fault, say
from shuntlead.interface import Status

FORWARDED = {b"x-trace-id": b"X-Trace-Id", b"idempotency-key": b"Idempotency-Key",
             b"content-type": b"Content-Type"}  # fmt: skip
IDLE_SHARE = 0.75  # of the settings' keepalive: past it the endpoint closes, and a request on it is a reset
MAX_IDLE = 48  # idle connections kept to one endpoint
SWEEP_S = 1.0
QUIET_S = 0.5  # between two lines on broken connections
SHORT_PAUSE_S = 0.02  # between two tries to connect while this machine has no descriptor, port or buffer left
STALL_S = 10.0  # in the midst of a long body: peers may take seconds, but not for ever


class Endpoints:
    def __init__(
        self, columns: tuple[str, ...], connect_timeout_ns: int, keepalive_ns: int, most: int
    ) -> None:
        self.columns = columns
        self._connect_timeout_s = connect_timeout_ns / 1e9 or 1.0
        self._idle_s = keepalive_ns / 1e9 * IDLE_SHARE
        self._most = most
        self._opening = 0
        self._pools: dict[int, Pool] = {}
        # Those with connections, or of which the log has to tell: what is done each second is done for these
        # alone, few of a long list. Removed and replaced ones stay till their connections end.
        self._used: dict[Pool, None] = {}
        self._logged_at = self._made_room_at = -inf
        self.make_room: Callable[[], object] = lambda: None  # frees a descriptor that is not a server's
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> int:
        """Connections that are not idle."""
        return len(self.connections) - sum(len(pool.idle) for pool in self._used)

    def limit(self, most: int) -> None:
        """Of those over it the idle ones go at once, those that have been so longest first."""
        self._most = most
        while len(self.connections) + self._opening > most and self._evict():
            pass

    def log_traffic(self) -> None:
        """One line, to be added up over the fleet: so endpoints go by the names that all sidecars know."""
        rows = []
        for pool in self._used:
            if pool.counts or pool.held:
                done = f"{pool.counts['sends']}/{pool.counts['connects']}/{pool.held}"
                bad = "+".join(f"{n}{s.name.lower()}" for s in Status if (n := pool.counts[s.name]))
                load = ",".join(f"{value:.2g}" for value in pool.load)
                rows.append(f"{pool.name} {done} {bad or '-'} {load or '-'}")
                pool.counts.clear()
        self._used = {pool: None for pool in self._used if pool.held or pool.waiting}
        say("traffic", "; ".join(rows))

    def log_broken(self, text: str) -> None:
        if self._may_log():
            say("broken", text)

    def _may_log(self) -> bool:
        now = time.monotonic()
        if now < self._logged_at + QUIET_S:
            return False
        self._logged_at = now
        return True

    def update(self, number: int, name: str, address: Address, started_ns: int, open_to_new: bool) -> None:
        pool = self._pools.get(number)
        if pool and (pool.address, pool.started_ns) == (address, started_ns):
            if open_to_new:
                pool.open_to_new = True
            elif pool.open_to_new:
                pool.retire()
            return
        # Connections of a process that is no more end as resets.
        if pool:
            pool.retire()
        self._pools[number] = Pool(name, address, started_ns, open_to_new)

    def remove(self, number: int) -> None:
        if pool := self._pools.pop(number, None):
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt. It may end before this returns."""
        pool = self._pools.get(attempt.endpoint)
        if pool is None or not pool.open_to_new:  # rule 3, whatever was decided
            attempt.end(Status.MOOT)
            return
        self._used[pool] = None
        attempt.counts = pool.counts
        pool.counts["sends"] += 1
        is_full = len(self.connections) + self._opening >= self._most
        if connection := pool.take(time.monotonic() - (0.0 if is_full else REST_S)):
            self._start(connection, pool, attempt)
            return
        if is_full and not self._evict():
            attempt.end(Status.CONNECT_FAILED)
            return
        self._opening += 1
        pool.counts["connects"] += 1
        pool.waiting.add(attempt)
        task = asyncio.get_running_loop().create_task(self._open(pool, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, pool: Pool, attempt: Attempt) -> None:
        unreached = Status.CONNECT_FAILED
        connection: Idle | None = None
        try:
            connection = await self._connect(pool, attempt)
        except OSError as error:
            if is_short_here(error):  # it says nothing of the server, but the request never ran there
                unreached = Status.MOOT
        except ValueError:  # a name or port that cannot be one
            pass
        finally:
            self._opening -= 1
            pool.waiting.discard(attempt)
        # One lost while it came up has told its loss already, and would never end the attempt.
        if connection is None or not connection.fresh():
            if connection:
                connection.discard()
            attempt.end(unreached)
        elif attempt.may_start(attempt):
            self._start(connection, pool, attempt)
        else:  # given up meanwhile; the handshake is paid for
            self.release(connection, pool)

    async def _connect(self, pool: Pool, attempt: Attempt) -> Idle:
        """A connection for this attempt, before the time to connect is over; else OSError. While this machine
        has nothing left to connect with, one that has hardly rested will do, or there is another try."""
        loop = asyncio.get_running_loop()
        short: OSError | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                while short is None or attempt.status is None:
                    try:
                        _, connection = await loop.create_connection(
                            lambda: Connection(self, pool), *pool.address
                        )
                        return connection
                    except OSError as error:
                        if not is_short_here(error):
                            short = None
                            raise
                        short = error
                    if idle := pool.take(time.monotonic()):
                        return idle
                    self._relieve(short)
                    await asyncio.sleep(SHORT_PAUSE_S)
        except TimeoutError:
            if short is None:
                if pool.heard_ns < attempt.started_ns:
                    pool.close_idle()  # as for Connection.suspect
                raise
        assert short
        raise short

    def _relieve(self, short: OSError) -> None:
        """This machine is short of something: one connection goes that is not needed now, and no more of them
        for all attempts that wait together."""
        if self._may_log():
            fault("broken", described(short))
        now = time.monotonic()
        if now >= self._made_room_at + SHORT_PAUSE_S:
            self._made_room_at = now
            if not self._evict() and classify(short) is SystemFailure.NO_RESOURCES:
                self.make_room()

    def _start(self, connection: Idle, pool: Pool, attempt: Attempt) -> None:
        """Write the request, unless its time is over: nobody would wait for the answer."""
        left_ms = (attempt.deadline_ns - time.monotonic_ns()) // 1_000_000
        if left_ms < 1:  # its timer has not run yet, as this process stood still
            self.release(connection, pool)
            attempt.end(Status.MOOT)
            return
        headers = {
            name: attempt.request.headers[key]
            for key, name in FORWARDED.items()
            if key in attempt.request.headers
        }
        headers[b"X-Expires-In-Ms"] = b"%d" % left_ms
        host = f"{pool.address.host}:{pool.address.port}".encode()
        connection.start(attempt, http1.encode_request(attempt.request, host, headers))

    def release(self, connection: Idle, pool: Pool) -> None:
        if pool.open_to_new and len(pool.idle) < MAX_IDLE and connection.fresh():
            connection.idle_since = time.monotonic()
            pool.idle.append(connection)
        else:
            connection.discard()

    def close_idle(self, number: int) -> None:
        if pool := self._pools.get(number):
            pool.close_idle()

    def _evict(self) -> bool:
        """Make room for one more connection by closing the one that has been idle longest."""
        pools = [p for p in self._used if p.idle]
        if not pools:
            return False
        min(pools, key=lambda p: p.idle[0].idle_since).idle.pop(0).discard()
        return True

    async def sweep(self) -> None:
        """Close idle connections well before the endpoint does, and those on which a long body stalls."""
        while True:
            await asyncio.sleep(SWEEP_S)
            oldest = time.monotonic() - self._idle_s
            for pool in self._used:
                while pool.idle and pool.idle[0].idle_since < oldest:
                    pool.idle.pop(0).discard()
            before_ns = time.monotonic_ns() - int(STALL_S * 1e9)
            for connection in [c for c in self.connections if c.is_stalled(before_ns)]:
                connection.end_stalled()

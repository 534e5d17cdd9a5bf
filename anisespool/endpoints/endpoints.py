"""The connection pools of all endpoints: chooses a connection for each attempt and limits their number."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from math import inf

from anisespool.config import Address
from anisespool.endpoints.attempt import Attempt
from anisespool.endpoints.connecting import connect
from anisespool.endpoints.connection import Connection
from anisespool.endpoints.forwarding import encode_attempt
from anisespool.endpoints.pool import REUSE_DELAY_S, Pool, PooledConnection
from anisespool.endpoints.shortage import SHORTAGE_PAUSE_S, ConnectionLimitReached, ShortageHandler
from anisespool.errors.system import is_local_shortage
from anisespool.log import log_error, log_info
from anisespool.memory_budget import DEFAULT_MEMORY_BYTES, MemoryBudget
from shuntlead.interface import Status

# Share of the configured keep-alive after which idle connections are closed. The endpoint closes them at its
# full keep-alive, and a request sent at that moment ends in a reset.
KEEPALIVE_SHARE = 0.75
MAX_IDLE_PER_ENDPOINT = 48  # connections
SWEEP_INTERVAL_S = 1.0  # interval of the checks for expired and stalled connections
LOG_INTERVAL_S = 0.5  # minimum between two log lines on failed connections
STALL_S = 10.0  # without progress of a streamed body, before the attempt ends; pauses of seconds are normal


class Endpoints:
    """The pools by endpoint number."""

    def __init__(
        self, report_columns: tuple[str, ...], connect_timeout_ns: int, keepalive_ns: int,
        max_connections: int, memory: MemoryBudget | None = None,
    ) -> None:  # fmt: skip
        """`memory`: what all connections of the process together may hold."""
        self.report_columns = report_columns
        self.memory = memory or MemoryBudget(DEFAULT_MEMORY_BYTES)
        self._connect_timeout_s = connect_timeout_ns / 1e9 or 1.0
        self._max_idle_s = keepalive_ns / 1e9 * KEEPALIVE_SHARE
        self._max_connections = max_connections
        self._connecting: set[Attempt] = set()  # those whose connection is being established
        self._pools: dict[int, Pool] = {}
        # Pools with connections, or with counters not logged yet. Periodic work visits only these, a small
        # part of a long list. Pools of removed endpoints stay here until their connections have ended.
        self._active: dict[Pool, None] = {}
        self._logged_at = -inf
        self._shortages = ShortageHandler(self._evict, self.log_error)
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: set[Connection] = set()

    @property
    def busy(self) -> int:
        """The number of connections that carry an attempt."""
        return len(self.connections) - sum(len(pool.idle) for pool in self._active)

    @property
    def _opening(self) -> int:
        return len(self._connecting)

    def limit(self, max_connections: int) -> None:
        """Sets the maximum of connections. Idle ones over it are closed at once, the longest idle first."""
        self._max_connections = max_connections
        while len(self.connections) + self._opening > max_connections and self._evict():
            pass

    def log_traffic(self) -> None:
        """Logs one line of counters by endpoint name. Names are the same in all sidecars, unlike numbers, so
        the lines can be added up over the fleet."""
        rows = [pool.take_counts() for pool in self._active if pool.counts or pool.connection_count]
        self._active = {pool: None for pool in self._active if pool.connection_count or pool.connecting}
        log_info("traffic", "; ".join(rows))

    def on_shortage(
        self, free_descriptor: Callable[[], object], free_connection: Callable[[], object]
    ) -> None:
        """Sets what is called while attempts wait, and no connection is idle: for a descriptor that something
        else uses, and for a connection of a request that makes no progress."""
        self._shortages.free_descriptor, self._shortages.free_connection = free_descriptor, free_connection

    def log_failure(self, text: str) -> None:
        """Logs a broken connection, at most one line per LOG_INTERVAL_S."""
        if self._may_log():
            log_info("broken", text)

    def log_error(self, error: BaseException) -> None:
        """The same for an error of this host."""
        if self._may_log():
            log_error("broken", error)

    def _may_log(self) -> bool:
        now = time.monotonic()
        if now < self._logged_at + LOG_INTERVAL_S:
            return False
        self._logged_at = now
        return True

    def update(
        self, number: int, name: str, address: Address, started_ns: int, accepts_requests: bool
    ) -> None:
        """Adds or changes an endpoint. `number` is its id in the balancer, `name` its id in discovery."""
        pool = self._pools.get(number)
        if pool and (pool.address, pool.started_ns) == (address, started_ns):
            if accepts_requests:
                pool.accepts_requests = True
            elif pool.accepts_requests:
                pool.retire()
            return
        # The address or start time has changed, so connections to the old server process are useless.
        if pool:
            pool.retire()
        self._pools[number] = Pool(name, address, started_ns, accepts_requests)

    def remove(self, number: int) -> None:
        """Closes a removed endpoint to new requests, see Pool.retire."""
        if pool := self._pools.pop(number, None):
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt. It may end before this returns."""
        pool = self._pools.get(attempt.endpoint)
        if pool is None or not pool.accepts_requests:  # never send to a draining server, whatever was decided
            attempt.end(Status.MOOT)
            return
        self._active[pool] = None
        attempt.counts = pool.counts
        pool.counts["sends"] += 1
        if connection := pool.acquire(time.monotonic() - REUSE_DELAY_S):
            self._start(connection, pool, attempt)
            return
        pool.counts["connects"] += 1
        pool.connecting.add(attempt)
        task = asyncio.get_running_loop().create_task(self._open(pool, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, pool: Pool, attempt: Attempt) -> None:
        failure_status = Status.CONNECT_FAILED
        connection: PooledConnection | None = None
        try:
            connection = await self._connect(pool, attempt)
        except OSError as error:
            if is_local_shortage(error):  # the fault is in this host, and the request did not run
                failure_status = Status.MOOT
        except ValueError:  # invalid host name or port
            pass
        finally:
            pool.connecting.discard(attempt)
        # A connection lost before the attempt is bound to it would never end the attempt.
        if connection is None or not connection.is_usable():
            if connection:
                connection.discard()
            attempt.end(failure_status)
        elif attempt.may_start(attempt):
            self._start(connection, pool, attempt)
        else:  # the attempt ended meanwhile; keep the new connection for others
            self.release(connection, pool)

    async def _connect(self, pool: Pool, attempt: Attempt) -> PooledConnection:
        """Opens a connection for this attempt; raises OSError on failure or after the connect timeout. While
        this host has no connection, descriptor, port or buffer left, it retries, or takes a connection that
        has been idle for REUSE_DELAY_S meanwhile."""
        shortage: OSError | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                while shortage is None or attempt.status is None:
                    try:
                        return await self._open_connection(pool, attempt)
                    except OSError as error:
                        if not is_local_shortage(error):
                            shortage = None
                            raise
                        shortage = error
                    attempt.lacks_resources = True
                    if idle := pool.acquire(time.monotonic() - REUSE_DELAY_S):
                        return idle
                    if not pool.idle:  # otherwise one of them can be used soon
                        self._shortages.handle(shortage)
                    await asyncio.sleep(SHORTAGE_PAUSE_S)
        except TimeoutError:
            if shortage is None:
                if pool.last_received_ns < attempt.started_ns:
                    pool.close_idle()  # for the reason given at Connection.close_idle_if_silent
                raise
        assert shortage
        raise shortage

    async def _open_connection(self, pool: Pool, attempt: Attempt) -> Connection:
        """Raises OSError, and ConnectionLimitReached if all connections are in use."""
        is_full = len(self.connections) + self._opening >= self._max_connections
        if is_full and not self._evict():
            raise ConnectionLimitReached(self._max_connections)
        self._connecting.add(attempt)
        on_open = partial(self._connecting.discard, attempt)
        try:
            return await connect(lambda: Connection(self, pool, on_open), pool.address, self.memory)
        finally:
            on_open()

    def _start(self, connection: PooledConnection, pool: Pool, attempt: Attempt) -> None:
        """Writes the request, unless its deadline has passed."""
        left_ms = (attempt.deadline_ns - time.monotonic_ns()) // 1_000_000
        if left_ms < 1:  # the process was stalled, and the timer of the deadline has not run yet
            self.release(connection, pool)
            attempt.end(Status.MOOT)
            return
        connection.start(attempt, encode_attempt(attempt, pool.address, left_ms))

    def release(self, connection: PooledConnection, pool: Pool) -> None:
        """Keeps the connection for another request, or closes it."""
        is_kept = (
            pool.accepts_requests and len(pool.idle) < MAX_IDLE_PER_ENDPOINT and not self.memory.is_short
        )
        if is_kept and connection.is_usable():
            connection.idle_since = time.monotonic()
            pool.idle.append(connection)
        else:
            connection.discard()

    def close_idle(self, number: int) -> None:
        if pool := self._pools.get(number):
            pool.close_idle()

    def _evict(self) -> bool:
        """Closes the connection that has been idle longest. Returns False if none is idle."""
        pools = [p for p in self._active if p.idle]
        if not pools:
            return False
        min(pools, key=lambda p: p.idle[0].idle_since).idle.pop(0).discard()
        return True

    async def sweep(self) -> None:
        """Periodically closes expired idle connections, and ends attempts whose streamed body has stalled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            oldest = time.monotonic() - self._max_idle_s
            for pool in self._active:
                while pool.idle and pool.idle[0].idle_since < oldest:
                    pool.idle.pop(0).discard()
            before_ns = time.monotonic_ns() - int(STALL_S * 1e9)
            for connection in [c for c in self.connections if c.is_stalled(before_ns)]:
                connection.end_stalled()

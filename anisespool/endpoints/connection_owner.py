"""What a connection to an endpoint uses of the pools that it belongs to, as a protocol that avoids an import
cycle."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anisespool.endpoints.pool import Pool
from anisespool.memory_budget import MemoryBudget

if TYPE_CHECKING:
    from anisespool.endpoints.connection import Connection


class ConnectionOwner(Protocol):
    """Counts the open connections and takes back those that are free for another request."""

    report_columns: tuple[str, ...]
    memory: MemoryBudget
    connections: set[Connection]

    def release(self, connection: Connection, pool: Pool) -> None: ...

    def log_failure(self, text: str) -> None: ...

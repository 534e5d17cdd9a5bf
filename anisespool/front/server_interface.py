"""What client connections use of the server that owns them, as protocols that avoid an import cycle."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anisespool.config import NameIndex
from anisespool.front.client_reader import PausedConnections
from anisespool.front.stall_detector import StallDetector
from anisespool.memory_budget import MemoryBudget
from anisespool.sidecar import Sidecar
from shuntlead import Settings

if TYPE_CHECKING:
    from anisespool.front.client_connection import ClientConnection
    from anisespool.front.responder import Responder


class ServerInterface(Protocol):
    """The state and the limits that all client connections share."""

    sidecar: Sidecar
    names: NameIndex
    settings: Settings
    streaming: set[Responder]
    paused_connections: PausedConnections
    stall_detector: StallDetector
    memory: MemoryBudget

    @property
    def stopping(self) -> bool: ...

    @property
    def over_connection_limit(self) -> bool: ...

    def retry_after_s(self) -> float: ...


class ConnectionRegistry(ServerInterface, Protocol):
    """The server's set of open connections, which is limited in size."""

    connections: set[ClientConnection]

    def admit(self, connection: ClientConnection) -> None: ...

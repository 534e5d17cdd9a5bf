"""Whose connections a client's are: the listener's side, as they see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from anisespool.config import Names
from anisespool.front.client_reader import Paused
from anisespool.front.stall_detector import Heartbeat
from anisespool.sidecar import Sidecar
from shuntlead import Settings

if TYPE_CHECKING:
    from anisespool.front.client_connection import ClientConnection
    from anisespool.front.http_connection import Conversation


class Front(Protocol):
    """Whose connection it is: the shared limits, and the driver."""

    sidecar: Sidecar
    names: Names
    settings: Settings
    long_answers: set[Conversation]
    paused: Paused
    heartbeat: Heartbeat

    @property
    def stopping(self) -> bool: ...

    @property
    def crowded(self) -> bool: ...

    def share(self, connection: Conversation) -> int: ...

    def retry_after_s(self) -> float: ...


class Place(Front, Protocol):
    """Where connections have their places, so many at most."""

    connections: set[ClientConnection]

    def admit(self, connection: ClientConnection) -> None: ...

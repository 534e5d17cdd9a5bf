"""Error types. Each error describes what was found, and its type says what an operator can do about it.
There is one module for each area of the sidecar; docs/on-call.md lists all error types."""

from anisespool.errors.admin import AdminFault, NoStore, NotDurable, NotServing, UnknownCall, UnknownServer
from anisespool.errors.base import Fault
from anisespool.errors.configuration import ConfigError, ConfigUnreadable
from anisespool.errors.discovery import (
    DiscoveryFault,
    DiscoveryRefused,
    DiscoverySilent,
    DiscoveryUnreachable,
    UnreadableList,
)
from anisespool.errors.limits import AddressTaken, MemoryShort, NoDescriptors, NoRoomForClients
from anisespool.errors.peers import PeerAddressTaken, PeerMessageDropped
from anisespool.errors.state import (
    StoreBusy,
    StoreDamaged,
    StoreError,
    StoreForeign,
    StoreUnreadable,
    Unstorable,
)

__all__ = [
    "AddressTaken", "AdminFault", "ConfigError", "ConfigUnreadable", "DiscoveryFault", "DiscoveryRefused",
    "DiscoverySilent", "DiscoveryUnreachable", "Fault", "MemoryShort", "NoDescriptors", "NoRoomForClients",
    "NoStore", "NotDurable",
    "NotServing", "PeerAddressTaken", "PeerMessageDropped", "StoreBusy", "StoreDamaged", "StoreError",
    "StoreForeign", "StoreUnreadable", "UnknownCall", "UnknownServer", "UnreadableList",
    "Unstorable",
]  # fmt: skip

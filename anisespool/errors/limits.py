"""Errors about file descriptors, listening addresses and the time to shut down."""

from __future__ import annotations

from anisespool.errors.base import Fault


class NoDescriptors(Fault):
    """No file descriptor is free for a waiting connection."""

    remedy = "raise limits.sockets, or find in the 'resources:' log lines what uses the descriptors"


class AddressTaken(Fault):
    """An address to listen on is in use at the start."""

    remedy = "normal while an earlier process ends: retried for 10 s; otherwise stop what listens there"


class NoRoomForClients(Fault):
    """Connections were still in use when the time for a graceful shutdown had elapsed."""

    remedy = "nothing to do if it is rare; otherwise look for clients that do not read their answers"


class MemoryShort(Fault):
    """The process at rest takes all of its memory limit."""

    remedy = "raise limits.memory_mb; until then only the smallest requests are served side by side"

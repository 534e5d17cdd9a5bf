"""The limits on descriptors and memory."""

from __future__ import annotations

from anisespool.errors.base import Fault


class NoDescriptors(Fault):
    """None is left for a connection that waits."""

    remedy = "raise limits.sockets, or find in the resources: lines who holds them"


class AddressTaken(Fault):
    """An address to listen on cannot be had at the start."""

    remedy = "no fault while an earlier process ends, it is tried again for 10 s; else end what listens there"


class NoRoomForClients(Fault):
    """Connections were still in use when the time for a planned end was over."""

    remedy = "nothing to do if it is rare; else look for clients that read no answers"

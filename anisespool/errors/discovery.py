"""Errors in calls to discovery and in their answers. Meanwhile the last valid list stays in use."""

from __future__ import annotations

from anisespool.errors.base import Fault


class DiscoveryFault(Fault):
    """Discovery is not answering as expected, so the server list may be out of date."""

    remedy = "check discovery; the sidecar retries by itself"


class DiscoveryUnreachable(DiscoveryFault):
    """The connection to discovery could not be opened, or was lost."""

    remedy = (
        "check that discovery runs at the configured address; otherwise change the address and send SIGHUP"
    )


class DiscoveryRefused(DiscoveryFault):
    """Discovery answered a call with an error status instead of a watch: 503 when it is overloaded."""

    remedy = "discovery has more callers than it can serve; it recovers, as sidecars spread their retries"


class DiscoverySilent(DiscoveryFault):
    """A watch sent nothing, not even the empty line that is due every 2 s, or a call got no answer."""

    remedy = "if it persists, check the network between this machine and discovery; a new watch is requested"


class UnreadableList(DiscoveryFault):
    """A JSON object sent on the watch is not a valid server list."""

    remedy = "check what discovery sends; this update is skipped, and the next list is read as usual"

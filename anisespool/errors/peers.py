"""Errors in datagrams between sidecars. A sidecar also serves without these datagrams."""

from __future__ import annotations

from anisespool.errors.base import Fault


class PeerAddressTaken(Fault):
    """The address for datagrams is in use."""

    remedy = "normal in an upgrade until the old process ends; otherwise stop what uses the address"


class PeerMessageDropped(Fault):
    """A datagram was dropped: this release cannot read it, or its sender is not a peer."""

    remedy = "normal while releases are mixed; otherwise find out what sends to this address"

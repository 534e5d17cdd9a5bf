"""Allocates loopback ports for test listeners, each at most once."""

from __future__ import annotations

import os
import random
import socket
from contextlib import suppress

# Below the ephemeral range: a connection of a concurrent test could otherwise take the port between the check
# here and listen(). The workers of one run draw from disjoint subsets.
_FIRST, _PAST_LAST, _PARTS = 10_000, 32_000, 8
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_PORTS = list(range(_FIRST + _WORKER % _PARTS, _PAST_LAST, _PARTS))
random.SystemRandom().shuffle(_PORTS)  # concurrent runs draw in different orders


def free_port() -> int:
    """Return a free loopback port. Raises IndexError once all have been used."""
    while True:
        port = _PORTS.pop()
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port

"""Ports for listeners of the tests, each handed out once."""

from __future__ import annotations

import os
import random
import socket
from contextlib import suppress

# Below the ports that the kernel hands out: between the look here and the listening, a connection of any test
# beside this one would take one of those now and then. And no two workers of a run draw from the same part.
_FIRST, _PAST_LAST, _PARTS = 10_000, 32_000, 8
_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_PORTS = list(range(_FIRST + _WORKER % _PARTS, _PAST_LAST, _PARTS))
random.SystemRandom().shuffle(_PORTS)  # so that runs side by side do not draw alike


def free_port() -> int:
    """A port of the loopback address on which nobody listens. IndexError once all have been handed out."""
    while True:
        port = _PORTS.pop()
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port

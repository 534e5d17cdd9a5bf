"""Opens one TCP connection, with buffers of a bounded size."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from anisespool.bounded_socket import BoundedSocket
from anisespool.config import Address
from anisespool.memory_budget import MemoryBudget

Protocol = TypeVar("Protocol", bound=asyncio.BaseProtocol)


async def connect(make_protocol: Callable[[], Protocol], address: Address, memory: MemoryBudget) -> Protocol:
    """Raises OSError if the connection cannot be opened, and ValueError if the address is invalid."""
    loop, connected = asyncio.get_running_loop(), BoundedSocket.open(memory)
    try:
        connected.setblocking(False)
        await loop.sock_connect(connected, address)
        _, protocol = await loop.create_connection(make_protocol, sock=connected)
    except BaseException:
        connected.close()
        raise
    return protocol

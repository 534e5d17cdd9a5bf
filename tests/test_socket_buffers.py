"""The kernel holds no more for a connection than the limits of the process allow."""

from __future__ import annotations

import socket

import pytest

from anisespool.bounded_socket import BoundedSocket
from anisespool.memory_budget import Holding, MemoryBudget
from anisespool.socket_buffers import (
    MAX_BUFFER_BYTES,
    MIN_BUFFER_BYTES,
    OVERHEAD_FACTOR,
    SocketBuffers,
)
from anisespool.socket_state import unacknowledged_bytes, unread_bytes

SMALL = SocketBuffers(MIN_BUFFER_BYTES, MIN_BUFFER_BYTES)


def connect(memory: MemoryBudget) -> tuple[BoundedSocket, socket.socket]:
    """A connection that nobody reads, with small buffers at the other side."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        connected = BoundedSocket.open(memory)
        connected.connect(listener.getsockname())
        connected.setblocking(False)
        return connected, listener.accept()[0]


def fill(connected: socket.socket) -> None:
    with pytest.raises(BlockingIOError):
        while True:
            connected.send(bytes(MAX_BUFFER_BYTES))


@pytest.mark.parametrize("used_share", [0.0, 0.6])
def test_the_kernel_takes_less_of_what_is_not_read_once_memory_is_half_used(used_share: float) -> None:
    memory = MemoryBudget(1 << 24, SMALL)
    Holding(memory).set(int(memory.limit_bytes * used_share))
    connected, other = connect(memory)
    with connected, other:
        fill(connected)
        size_bytes = MIN_BUFFER_BYTES if used_share else MAX_BUFFER_BYTES
        assert 0 < unacknowledged_bytes(connected.fileno()) <= size_bytes * OVERHEAD_FACTOR


def test_a_full_buffer_of_a_bounded_socket_does_not_look_writable() -> None:
    memory = MemoryBudget(1 << 24, SMALL)
    Holding(memory).set(memory.limit_bytes)
    connected, other = connect(memory)
    with connected, other:
        fill(connected)
        connected.settimeout(0.05)
        with pytest.raises(TimeoutError):
            socket.socket.sendall(connected, bytes(10 * MAX_BUFFER_BYTES))


def test_a_connection_that_is_not_read_fills_no_more_than_its_receive_buffer() -> None:
    memory = MemoryBudget(1 << 24, SMALL)
    connected, other = connect(memory)
    with connected, other:
        other.setblocking(False)
        fill(other)
        assert 0 < unread_bytes(connected.fileno()) <= SMALL.receive_capacity_bytes


def test_buffers_shrink_with_the_memory_of_each_descriptor() -> None:
    sizes = [SocketBuffers.for_limits(mb * 10**6, sockets).receive_bytes
             for mb, sockets in ((32, 1024), (64, 1024), (80, 384), (192, 256))]  # fmt: skip
    assert sizes == sorted(sizes)
    assert (sizes[0], sizes[-1]) == (MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)

"""The sending direction of one connection: what was written, and how much of it the other side has.

Progress is measured in acknowledged bytes. The size of a write buffer is no measure: it is refilled as fast
as it drains, and the kernel takes nothing for seconds from a sender whose peer reads slowly but steadily.
"""

from __future__ import annotations

import asyncio

from anisespool.socket_state import unacknowledged_bytes

# One part in so many comes on top of what waits in the kernel, and in a buffer of this process.
KERNEL_OVERHEAD_SHARE, BUFFER_OVERHEAD_SHARE = 4, 8


class Outgoing:
    """Writes to one transport and counts the bytes."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._written_bytes = 0
        self._acknowledged_bytes = -1  # at the last `has_moved`; less than none before the first
        self._may_wait_in_kernel = False

    def write(self, data: bytes) -> None:
        if self.transport:
            self._written_bytes += len(data)
            self._may_wait_in_kernel = True
            self.transport.write(data)

    @property
    def unsent_bytes(self) -> int:
        """Bytes not yet handed to the kernel, which would be lost if this process exited."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @property
    def buffer_bytes(self) -> int:
        """The memory of these, as a buffer that grows is larger than what it holds."""
        unsent_bytes = self.unsent_bytes
        return unsent_bytes + unsent_bytes // BUFFER_OVERHEAD_SHARE

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the other machine has not acknowledged, whether in this process or in the kernel."""
        unsent_bytes = self.unsent_bytes
        if not self.transport or self.transport.is_closing() and not unsent_bytes:
            return 0  # the socket may be closed
        return unsent_bytes + unacknowledged_bytes(self.transport.get_extra_info("socket").fileno())

    @property
    def kernel_bytes(self) -> int:
        """What the kernel holds of it."""
        if not self._may_wait_in_kernel:
            return 0
        waiting_bytes = self.undelivered_bytes - self.unsent_bytes
        self._may_wait_in_kernel = waiting_bytes > 0
        return waiting_bytes + waiting_bytes // KERNEL_OVERHEAD_SHARE

    def has_moved(self) -> bool:
        """Whether any byte was acknowledged since the last call, or none is due. True in the first call."""
        undelivered_bytes, previous_bytes = self.undelivered_bytes, self._acknowledged_bytes
        self._acknowledged_bytes = self._written_bytes - undelivered_bytes
        return not undelivered_bytes or self._acknowledged_bytes > previous_bytes

"""Measures what counts toward the memory limit: anonymous memory of this process and of the other one of an
upgrade, and the files of both. Linux only.

The kernel's figures stay readable through descriptors that are open already, so also when none is left.
"""

from __future__ import annotations

import ctypes
import os
import resource
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

PAGE_BYTES = resource.getpagesize()
STATM_BYTES = 128  # one line of seven numbers
BLOCK_BYTES = 512  # of `st_blocks`
LARGE_BUFFER_BYTES = 16 * 1024
DEFAULT_MMAP_THRESHOLD_BYTES = 128 * 1024  # of the C library
M_MMAP_THRESHOLD, M_ARENA_MAX = -3, -8  # of mallopt(3), malloc.h
PR_SET_THP_DISABLE = 41  # of prctl(2), linux/prctl.h


class ResidentMemory:
    """The resident memory of one process, from /proc/PID/statm."""

    def __init__(self, pid: int) -> None:
        """Raises OSError if the process has ended, or no descriptor is left."""
        self.pid = pid
        self._descriptor = os.open(f"/proc/{pid}/statm", os.O_RDONLY | os.O_CLOEXEC)

    def read_bytes(self) -> int:
        """Its anonymous memory. 0 once the process has ended."""
        resident_bytes, mapped_bytes = self._read()
        return resident_bytes - mapped_bytes

    def read_mapped_bytes(self) -> int:
        """Its pages of mapped files, such as the program's. 0 once the process has ended."""
        return self._read()[1]

    def _read(self) -> tuple[int, int]:
        try:
            _, resident, shared, *_ = os.pread(self._descriptor, STATM_BYTES, 0).split()
        except (OSError, ValueError):
            return 0, 0
        return int(resident) * PAGE_BYTES, int(shared) * PAGE_BYTES

    def close(self) -> None:
        os.close(self._descriptor)


def files_bytes(folders: Iterable[Path], prefixes: tuple[str, ...]) -> int:
    """What the files in these folders take whose names begin with one of the prefixes."""
    total_bytes = 0
    for folder in folders:
        with suppress(OSError), os.scandir(folder) as entries:
            for entry in entries:
                if entry.name.startswith(prefixes):
                    with suppress(OSError):
                        total_bytes += entry.stat(follow_symlinks=False).st_blocks * BLOCK_BYTES
    return total_bytes


def return_free_memory() -> None:
    """Return free pages of the C library's heap to the kernel. Without it the heap stays as large as it was
    with the largest bodies. Does nothing with a C library that has no malloc_trim."""
    if _malloc_trim is not None:
        _malloc_trim(0)


def configure_allocator() -> None:
    """Let all threads of this process share one heap, as a heap for each would keep memory of its own, and
    let the kernel use small pages: of a huge one that is used in part nothing can be returned. To be called
    before there are threads. Does nothing with a C library that has no such calls, or where the kernel
    refuses."""
    if _mallopt is not None:
        _mallopt(M_ARENA_MAX, 1)
    if _prctl is not None:
        _prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0)


def map_large_buffers(is_enabled: bool) -> None:
    """Let the C library take each large buffer from the kernel and return it as soon as it is freed. In the
    heap, which is faster, the buffers of requests leave gaps between smaller objects that are never returned.
    Does nothing with a C library that has no mallopt."""
    if _mallopt is not None:
        _mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES if is_enabled else DEFAULT_MMAP_THRESHOLD_BYTES)


_c_library = ctypes.CDLL(None)
_malloc_trim = getattr(_c_library, "malloc_trim", None)
_mallopt = getattr(_c_library, "mallopt", None)
_prctl = getattr(_c_library, "prctl", None)

"""Measures what a sidecar process holds, in a process of its own, as many sockets take time to count.

For each line on standard input, a process id and a folder, it writes the bytes held on a line.
"""

from __future__ import annotations

import sys
from pathlib import Path

from tests.limited_process import files_bytes, resident_bytes
from tests.socket_memory import held_by_process

FILE_PREFIXES = "sailbridge-", "anisespool-"


def held_bytes(pid: int, folder: Path) -> int:
    """Of the process, of the kernel for its sockets, and of its files; 0 if the process has ended."""
    try:
        return resident_bytes(pid) + held_by_process(pid) + files_bytes(folder, FILE_PREFIXES)
    except (OSError, KeyError):
        return 0


if __name__ == "__main__":
    for line in sys.stdin:
        pid, _, folder = line.strip().partition(" ")
        print(held_bytes(int(pid), Path(folder)), flush=True)

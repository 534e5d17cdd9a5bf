"""Keeps the memory budget of the connections in line with what the whole process holds.

The account is: the limit, less a margin, less this process at rest, less the other process of an upgrade,
less the files that count as memory, less the pages of the program's files. What is left is the connections'
(`MemoryBudget.limit_bytes`), with what the kernel holds for their sockets. What this process holds beyond its
rest and what the connections report is taken off too: objects that nobody reports, and memory that the
allocator keeps.
"""

from __future__ import annotations

import gc
import os
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from anisespool.errors import MemoryShort
from anisespool.log import log_error, log_info
from anisespool.memory_budget import MemoryBudget
from anisespool.process_memory import ResidentMemory, map_large_buffers, return_free_memory

SAMPLE_INTERVAL_S = 0.005  # between two measurements while connections read
SLOW_SAMPLE_INTERVAL_S = 0.25  # of what changes slowly: files, and which other process there is
RETURN_INTERVAL_S = 0.1  # between two attempts to return memory to the kernel
COLLECT_INTERVAL_S = 1.0  # between two searches for cyclic garbage while memory is short
LOG_INTERVAL_S = 1.0
# One part in so many of the limit stays free, for buffers that live for one call; and one for those of the
# other process of an upgrade.
MARGIN_SHARE, OTHER_MARGIN_SHARE = 32, 64
LIST_WORK_BYTES = 2 * 1024  # a server, for a moment, while a whole list is taken in
PROGRAM_RESERVE_SHARE = 8  # one part in so many of the limit is left beside the program's files
MIN_BUDGET_SHARE = 128  # a process that is larger than its limit still serves with one part in so many
PROCESS_BYTES = 16_000_000  # of a process at rest, until that is measured
RETURNABLE_BYTES = 256 * 1024  # less than that is not worth a search for free pages


@dataclass(frozen=True)
class Account:
    """The parts of the limit, in bytes."""

    limit: int
    at_rest: int
    resident: int
    other_process: int  # running, or to come in an upgrade
    files: int
    listed_servers: int = 0
    program: int = 0  # pages of the program's files

    @property
    def min_for_connections(self) -> int:
        """What the connections may hold whatever else the process has grown by."""
        return self.limit // MIN_BUDGET_SHARE

    @property
    def for_connections(self) -> int:
        margin = self.limit // MARGIN_SHARE + self.listed_servers * LIST_WORK_BYTES
        if self.other_process:
            margin += self.limit // OTHER_MARGIN_SHARE
        left = self.limit - margin - self.at_rest - self.other_process - self.files
        # The kernel can drop pages of the program's files, so they never take all that is left.
        left_beside_program = max(left - self.program, min(left, self.limit // PROGRAM_RESERVE_SHARE))
        return max(left_beside_program, self.min_for_connections)


class MemoryMonitor:
    """Measures the process, and sets the limit of its budget."""

    def __init__(
        self, budget: MemoryBudget, limit_bytes: int, files_bytes: Callable[[], int],
        listed: Callable[[], int], other_pid: Callable[[], int], release: Callable[[int], None],
        expects_upgrade: bool,
    ) -> None:  # fmt: skip
        """`listed`: the number of servers. `other_pid`: of the other process of an upgrade, 0 if there is
        none. `release`: lets connections give up that many bytes. `expects_upgrade`: another process may
        start at any time, and needs its part of the limit then."""
        self._budget, self._limit_bytes = budget, limit_bytes
        self._files_bytes, self._listed = files_bytes, listed
        self._other_pid, self._expects_upgrade = other_pid, expects_upgrade
        self._release = release
        self._own: ResidentMemory | None = None
        self._other: ResidentMemory | None = None
        self._at_rest_bytes = PROCESS_BYTES
        self._sampled_at = self._slow_sampled_at = self._returned_at = self._collected_at = 0.0
        self._logged_at, self._files, self._program = 0.0, 0, 0
        self._was_short = self._was_half_used = False
        self.account = Account(limit_bytes, PROCESS_BYTES, 0, PROCESS_BYTES if expects_upgrade else 0, 0)
        budget.set_limit(self.account.for_connections, self.account.min_for_connections)

    def start(self) -> None:
        """The process has started, and is at rest now."""
        with suppress(OSError):
            self._own = ResidentMemory(os.getpid())
        gc.collect()
        return_free_memory()
        if self._own:
            self._at_rest_bytes = self._own.read_bytes()
        self._budget.refresh = self.refresh
        self._sample(time.monotonic())
        if self._limit_bytes - self._at_rest_bytes < self.account.min_for_connections:
            log_error(
                "memory", MemoryShort(f"the process holds {self._at_rest_bytes >> 10} KiB at its start")
            )

    def refresh(self) -> None:
        """Measure, unless that was done a moment ago."""
        now_s = time.monotonic()
        if now_s >= self._sampled_at + SAMPLE_INTERVAL_S:
            self._sample(now_s)
            self._log_changes(now_s)

    def log(self) -> None:
        """Log the account."""
        self._sample(time.monotonic())
        log_info("memory", self._describe())

    def _describe(self) -> str:
        account, budget = self.account, self._budget
        parts = {
            "at rest": account.at_rest, "held by connections": budget.held_bytes,
            "of that in the kernel": budget.kernel_bytes,
            "not accounted": budget.unaccounted_bytes, "another process": account.other_process,
            "files": account.files, "program": account.program,
            "lists": account.listed_servers * LIST_WORK_BYTES, "free": budget.free_bytes,
        }  # fmt: skip
        text = ", ".join(f"{name} {nbytes >> 10} KiB" for name, nbytes in parts.items())
        return f"{account.limit >> 10} KiB: {text}; {budget.waiting} connections wait"

    def _sample(self, now_s: float) -> None:
        self._sampled_at = now_s
        if now_s >= self._slow_sampled_at + SLOW_SAMPLE_INTERVAL_S:
            self._slow_sampled_at = now_s
            self._find_other_process()
            self._files = self._files_bytes()
            self._program = self._own.read_mapped_bytes() if self._own else 0
        self._measure()
        is_half_used = self._budget.free_bytes < self._budget.limit_bytes // 2
        if is_half_used != self._was_half_used:
            self._was_half_used = is_half_used
            map_large_buffers(is_half_used)
        if is_half_used and self._budget.unaccounted_bytes > RETURNABLE_BYTES:
            self._return_memory(now_s)
        overrun_bytes = -self._budget.free_bytes
        if overrun_bytes > self._limit_bytes // MARGIN_SHARE // 2:
            self._release(overrun_bytes)

    def _measure(self) -> None:
        resident_bytes = self._own.read_bytes() if self._own else 0
        self.account = Account(
            self._limit_bytes, self._at_rest_bytes, resident_bytes, self._other_bytes(), self._files,
            self._listed(), self._program,
        )  # fmt: skip
        accounted_bytes = self._at_rest_bytes + self._budget.held_bytes - self._budget.kernel_bytes
        self._budget.unaccounted_bytes = max(0, resident_bytes - accounted_bytes)
        self._budget.set_limit(self.account.for_connections, self.account.min_for_connections)

    def _find_other_process(self) -> None:
        pid = self._other_pid()
        if self._other and self._other.pid != pid:
            self._other.close()
            self._other = None
        if pid and self._other is None:
            with suppress(OSError):
                self._other = ResidentMemory(pid)

    def _other_bytes(self) -> int:
        """What the other process of an upgrade holds. One that starts takes what this one took at its
        start."""
        held_bytes = self._other.read_bytes() if self._other else 0
        return max(held_bytes, self._at_rest_bytes if self._expects_upgrade else 0)

    def _return_memory(self, now_s: float) -> None:
        if now_s < self._returned_at + RETURN_INTERVAL_S:
            return
        self._returned_at = now_s
        if now_s >= self._collected_at + COLLECT_INTERVAL_S:
            self._collected_at = now_s
            gc.collect()
        return_free_memory()
        self._measure()

    def _log_changes(self, now_s: float) -> None:
        """Log that memory has become short, or is no longer."""
        if self._budget.is_short != self._was_short and now_s >= self._logged_at + LOG_INTERVAL_S:
            self._was_short, self._logged_at = self._budget.is_short, now_s
            log_info("memory", f"{'short' if self._was_short else 'enough again'}; {self._describe()}")

"""Crowds of clients at one sidecar process, and the memory that it takes.

By hand: `python -m tests.memory_crowd KIND CLIENTS MEMORY_MB SOCKETS [upgrade | restarts]`.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from tests.crowd_clients import KINDS, Crowd
from tests.limited_process import LimitedProcess, Limits, limited_process

POLL_S = 0.01
PLAY_S = 15.0  # at most
REST_S = 0.5  # before the crowd
CROWD_S = 3.0  # of a crowd, before and after an upgrade
READY_S = 4.0  # for a new process; an upgrade allows 6 s
RESTARTS, LIFE_S = 5, 1.0  # SIGKILLs in series, and how long a process lives between two
CLIENT_SHARE = 0.8  # of the play, for one client


@dataclass
class Figures:
    """The result of one crowd: memory in MB, and the number of clients by what they got."""

    at_rest_mb: float
    results: Counter[str]
    peak_mb: float = 0.0
    at_peak: str = ""
    peak_with_kernel_mb: float = 0.0  # with what the kernel holds for the sockets
    peak_with_program_mb: float = 0.0  # and with the program files, of which the kernel can drop its copies

    def record(self, process: LimitedProcess) -> None:
        """Sample what is held. Raises OSError or KeyError if a process has ended."""
        held_mb, kernel_mb = process.held_mb(), process.kernel_mb()
        if held_mb > self.peak_mb:
            self.peak_mb, self.at_peak = held_mb, process.describe_held()
        self.peak_with_kernel_mb = max(self.peak_with_kernel_mb, held_mb + kernel_mb)
        with_program_mb = held_mb + kernel_mb + process.mapped_mb()
        self.peak_with_program_mb = max(self.peak_with_program_mb, with_program_mb)


async def play(
    folder: Path, kind: str, clients: int, memory_mb: int, sockets: int, deadline_s: float = 5.0,
    play_s: float = PLAY_S,
) -> Figures:  # fmt: skip
    """Start a sidecar with these limits, and let a crowd of this kind at it."""
    client, make_endpoint = KINDS[kind]
    limits = Limits(memory_mb, sockets, deadline_s=deadline_s, target_s=0.8 * deadline_s)
    async with limited_process(folder, make_endpoint, limits) as process:
        crowd = Crowd(lambda: process.address, CLIENT_SHARE * play_s)
        await asyncio.sleep(REST_S)
        figures = Figures(process.held_mb(), crowd.results)
        running = asyncio.gather(*(crowd.run(n, client) for n in range(clients)))
        await watch(process, figures, running.done, play_s)
        running.cancel()
        assert process.is_running, "the process has ended by itself"
    return figures


async def play_upgrade(folder: Path, kind: str, clients: int, memory_mb: int, sockets: int) -> Figures:
    """Start a second process while a crowd is at the first one, and let the first end as in an upgrade."""

    async def upgrade(process: LimitedProcess) -> None:
        await asyncio.sleep(CROWD_S)
        await process.spawn()
        await asyncio.sleep(READY_S)
        await process.end(signal.SIGTERM)
        await asyncio.sleep(CROWD_S)

    return await _play_along(
        folder, kind, clients, Limits(memory_mb, sockets, 2.0, 1.0), upgrade, inherits=True
    )


async def play_restarts(folder: Path, kind: str, clients: int, memory_mb: int, sockets: int) -> Figures:
    """Kill the process several times while a crowd is at it, a second after each start. The crowd stays."""

    async def restart(process: LimitedProcess) -> None:
        for _ in range(RESTARTS):
            await asyncio.sleep(LIFE_S)
            await process.end()
            await process.spawn()
        await asyncio.sleep(CROWD_S)

    return await _play_along(folder, kind, clients, Limits(memory_mb, sockets, 2.0, 1.0), restart)


async def _play_along(
    folder: Path, kind: str, clients: int, limits: Limits, act: Callable[[LimitedProcess], Awaitable[None]],
    inherits: bool = False,
) -> Figures:  # fmt: skip
    """Let a crowd at a sidecar again and again, until `act` is done with it."""
    client, make_endpoint = KINDS[kind]
    async with limited_process(folder, make_endpoint, limits, inherits) as process:
        crowd = Crowd(lambda: process.address, PLAY_S)
        await asyncio.sleep(REST_S)
        figures, stopped = Figures(process.held_mb(), crowd.results), asyncio.Event()
        running = [asyncio.create_task(crowd.repeat(n, client, stopped)) for n in range(clients)]
        watching = asyncio.create_task(watch(process, figures, stopped.is_set, 2 * PLAY_S))
        await act(process)
        assert process.is_running, "a process has ended by itself"
        stopped.set()
        await watching
        for each in running:
            each.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    return figures


async def watch(
    process: LimitedProcess, figures: Figures, is_over: Callable[[], bool], play_s: float
) -> None:
    """Record the most that is held, until the crowd has ended or the play is over."""
    until_s = monotonic() + play_s
    while not is_over() and monotonic() < until_s:
        with suppress(KeyError, OSError):
            figures.record(process)
        await asyncio.sleep(POLL_S)


def main() -> None:
    kinds = KINDS if sys.argv[1] == "all" else [sys.argv[1]]
    how = {"upgrade": play_upgrade, "restarts": play_restarts}.get(sys.argv[-1], play)
    for kind in kinds:
        with tempfile.TemporaryDirectory() as folder:
            figures = asyncio.run(how(Path(folder), kind, *map(int, sys.argv[2:5])))
        print(f"{kind}: {figures.at_rest_mb:.1f} MB at rest, {figures.peak_mb:.1f} MB at most, "
              f"{figures.peak_with_kernel_mb:.1f} with the kernel's, {figures.peak_with_program_mb:.1f} with "
              f"the program; {dict(figures.results)}", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

"""A sidecar process with limits of its own, four scripted endpoints, and the memory that it holds."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from anisespool.config import Address
from tests.net import Peer, free_port, member, write_config
from tests.planned_end import classes_with
from tests.test_program import NOWHERE, start

ENDPOINTS = 4


@dataclass(frozen=True)
class Limits:
    """What the configuration tells a process, and the times of all request classes in seconds."""

    memory_mb: int
    sockets: int
    deadline_s: float
    target_s: float


@dataclass(frozen=True)
class LimitedProcess:
    """A running process."""

    pid: int
    address: Address

    def held_mb(self) -> float:
        """What the process holds, without the files that it has mapped, in MB. Raises OSError or KeyError if
        it has ended."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        rows = dict(line.split(":", 1) for line in lines)
        return (int(rows["RssAnon"].split()[0]) + int(rows["RssShmem"].split()[0])) / 1000


@asynccontextmanager
async def limited_process(
    folder: Path, make_endpoint: Callable[[], Peer], limits: Limits
) -> AsyncIterator[LimitedProcess]:
    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(make_endpoint().serve()) for _ in range(ENDPOINTS)]
        rows = [member(f"s-{n}", endpoint.address) for n, endpoint in enumerate(endpoints)]
        listen, classes = f"127.0.0.1:{free_port()}", classes_with(limits.deadline_s, limits.target_s)
        env = write_config(folder, NOWHERE, rows, listen, request_classes=classes)
        path = Path(env["LB_CONFIG"])
        told = {"limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb}}
        path.write_text(json.dumps(json.loads(path.read_text()) | told))
        process = await start(env)
        try:
            yield LimitedProcess(process.pid, Address.parse(listen))
        finally:
            process.kill()
            await process.wait()

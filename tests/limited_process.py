"""A sidecar with limits of its own, four scripted endpoints, and the memory that its processes hold."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from anisespool.config import Address
from tests import socket_memory
from tests.net import Peer, exchange, free_port, member, write_config
from tests.planned_end import classes_with
from tests.test_program import NOWHERE

ENDPOINTS = 4
BACKLOG = 512  # connections
READY_POLL_S = 0.01
CONNECT_TIMEOUT_NS = 2_000_000_000  # no crowd, and no busy machine, is to look like a server that is gone
LOG_NAME = "log"
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\n\r\n"


@dataclass(frozen=True)
class Limits:
    """What the configuration tells a process, and the times of all request classes in seconds."""

    memory_mb: int
    sockets: int
    deadline_s: float
    target_s: float


def resident_bytes(pid: int) -> int:
    """What a process holds, without the files that it has mapped. Raises OSError or KeyError if it ended."""
    return _status_bytes(pid, "RssAnon") + _status_bytes(pid, "RssShmem")


def mapped_bytes(pid: int) -> int:
    """What a process has of mapped files, such as its program. Raises OSError or KeyError if it ended."""
    return _status_bytes(pid, "RssFile")


def _status_bytes(pid: int, name: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    rows = dict(line.split(":", 1) for line in lines)
    return int(rows[name].split()[0]) * 1024


def files_bytes(folder: Path, prefixes: tuple[str, ...] = ("",)) -> int:
    """What the files in a folder hold whose names begin so: they count as memory."""
    total_bytes = 0
    for path in folder.iterdir():
        with suppress(FileNotFoundError):
            total_bytes += path.stat().st_blocks * 512 if path.name.startswith(prefixes) else 0
    return total_bytes


@dataclass
class LimitedProcess:
    """One sidecar: its processes, of which an upgrade has two, and its `TMPDIR`."""

    address: Address
    temporary: Path
    env: dict[str, str]
    log: int  # descriptor, for the standard error of all processes
    listener: socket.socket | None = (
        None  # held by the platform and inherited; None: processes bind their own
    )
    server_ports: set[int] = field(default_factory=set)
    max_descriptors: int = 0  # that the platform lets each process have; 0: any number
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    exits: list[int] = field(default_factory=list)  # statuses of processes that ended without a signal

    @property
    def pid(self) -> int:
        """Of the newest process."""
        return self.processes[-1].pid

    @property
    def is_running(self) -> bool:
        """Whether no process has ended by itself."""
        return not self.exits and all(process.returncode is None for process in self.processes)

    def held_mb(self) -> float:
        """What all processes and the files hold together, in MB. Raises OSError or KeyError if one has
        ended."""
        resident = sum(resident_bytes(process.pid) for process in self.processes)
        return (resident + files_bytes(self.temporary)) / 1e6

    def kernel_mb(self) -> float:
        """What the kernel holds for their sockets, in MB: a memory cgroup counts that too."""
        return socket_memory.held_bytes(self.address.port, self.server_ports) / 1e6

    def mapped_mb(self) -> float:
        """What the processes have of mapped files, in MB: they share them."""
        return max((mapped_bytes(process.pid) for process in self.processes), default=0) / 1e6

    def describe_held(self) -> str:
        """The same, by process and for the files, in KB."""
        residents = [f"{resident_bytes(process.pid) // 1000} KB" for process in self.processes]
        return f"{' and '.join(residents)}, files {files_bytes(self.temporary) // 1000} KB"

    async def spawn(self) -> None:
        """Start one more process, without waiting for it."""
        descriptors = (self.listener.fileno(),) if self.listener else ()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "anisespool", env=os.environ | self.env,
            stderr=self.log, pass_fds=descriptors,
        )  # fmt: skip
        if self.max_descriptors:
            with suppress(ProcessLookupError):
                resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (self.max_descriptors,) * 2)
        self.processes.append(process)

    async def until_ready(self) -> None:
        """Wait until a request is answered that is made on a new connection."""
        while self.is_running:
            with suppress(OSError, EOFError):
                if (await exchange(self.address, HEALTH_REQUEST)).status == 200:
                    return
            await asyncio.sleep(READY_POLL_S)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Signal the oldest process, and wait until it has ended."""
        process = self.processes[0]
        if process.returncode is None:
            process.send_signal(number)
        elif process.returncode:
            self.exits.append(process.returncode)
        await process.wait()
        self.processes.remove(process)


@asynccontextmanager
async def limited_process(
    folder: Path, make_endpoint: Callable[[], Peer], limits: Limits, inherits: bool = False
) -> AsyncIterator[LimitedProcess]:
    """`inherits`: the platform holds the clients' listening socket, as for upgrades."""
    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(make_endpoint().serve()) for _ in range(ENDPOINTS)]
        rows = [member(f"s-{n}", endpoint.address) for n, endpoint in enumerate(endpoints)]
        listener = stack.enter_context(_listener()) if inherits else None
        log = stack.enter_context((folder / LOG_NAME).open("ab"))
        address = Address(*listener.getsockname()) if listener else Address("127.0.0.1", free_port())
        classes = classes_with(limits.deadline_s, limits.target_s)
        env = write_config(
            folder, NOWHERE, rows, "{}:{}".format(*address), request_classes=classes,
            allowed__connect_timeout_ns=CONNECT_TIMEOUT_NS,
        )  # fmt: skip
        path, temporary = Path(env["LB_CONFIG"]), folder / "temporary"
        told = {"limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb}}
        path.write_text(json.dumps(json.loads(path.read_text()) | told))
        temporary.mkdir(exist_ok=True)
        env |= {"TMPDIR": str(temporary)}
        if listener:
            env["LB_INHERITED_FD"] = str(listener.fileno())
        ports = {endpoint.address.port for endpoint in endpoints}
        process = LimitedProcess(address, temporary, env, log.fileno(), listener, ports, limits.sockets)
        try:
            await process.spawn()
            await process.until_ready()
            yield process
        finally:
            while process.processes:
                await process.end()


def _listener() -> socket.socket:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(BACKLOG)
    return listener

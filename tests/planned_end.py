"""A planned shutdown of a real process as the platform performs it: SIGTERM, late clients, then SIGKILL
at the earliest time that the protocol allows. Lost requests are found from what clients and servers saw."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, monotonic_ns
from typing import Any

from anisespool import http1
from anisespool.config import Address
from anisespool.front.shutdown import Shutdown
from tests.net import Endpoint, Streams, free_port, member, read_response, write_config
from tests.support import SECOND, raw_settings
from tests.test_program import NOWHERE, start

MAX_COUNTED_DEADLINE_S = 3.0  # cap on the longest request deadline in the kill time
KILL_MARGIN_S = 0.7  # SIGKILL comes this long after SIGTERM plus the capped longest deadline
KILL_EXEMPTION_S = 0.7  # a request sent within this time of SIGTERM and in flight at SIGKILL isn't lost


def classes_with(deadline_s: float, target_s: float = 0.3) -> list[dict[str, Any]]:
    """The request classes of the tests, all with this deadline."""
    times = {"deadline-ns": int(deadline_s * SECOND), "target-ns": int(target_s * SECOND)}
    return [row | times | {"late-worth": 0.5} for row in raw_settings()["request-classes"]]


@dataclass
class Sent:
    """A client request and its result. Times are monotonic seconds."""

    trace: str
    written_at: float
    status: int | None = None
    answered_at: float | None = None
    response: http1.Response | None = None


@dataclass
class PlannedShutdown:
    """A sidecar process that is being shut down."""

    process: asyncio.subprocess.Process
    address: Address
    config_file: Path
    longest_s: float
    term_at: float = 0.0
    sent: list[Sent] = field(default_factory=list)
    _kill_task: asyncio.Task[None] | None = None

    @property
    def kill_at(self) -> float:
        return self.term_at + min(self.longest_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S

    def terminate(self) -> None:
        """Send SIGTERM now and schedule SIGKILL at the earliest allowed time."""
        self.term_at = monotonic()
        self.process.send_signal(signal.SIGTERM)
        self._kill_task = asyncio.create_task(self._kill())

    async def _kill(self) -> None:
        await self.sleep_until(self.kill_at - self.term_at)
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def sleep_until(self, after_term_s: float) -> None:
        """Sleep until `after_term_s` after SIGTERM, the reference point of the shutdown protocol."""
        while (left_s := self.term_at + after_term_s - monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def request(self, streams: Streams, trace: str, rest: bytes) -> Sent:
        """Write the last bytes of a request and read its response, if any."""
        sent = Sent(trace, monotonic())
        self.sent.append(sent)
        reader, writer = streams
        try:
            writer.write(rest)
            sent.response = await read_response(reader)
            sent.status, sent.answered_at = sent.response.status, monotonic()
        except (EOFError, OSError):
            pass  # the connection ended without an answer
        return sent

    async def wait_exit(self) -> int:
        """Wait for the process to exit; return its exit status, negative for a signal."""
        assert self.process.stderr
        status, _ = await asyncio.gather(self.process.wait(), self.process.stderr.read())
        if self._kill_task:
            self._kill_task.cancel()
        return status

    def lost_requests(self, *servers: Endpoint) -> list[str]:
        """Trace ids of requests that were forwarded to a server but never answered. After a SIGKILL, those
        sent within KILL_EXEMPTION_S of SIGTERM are excluded."""
        forwarded = {r.headers[b"x-trace-id"].decode() for server in servers for r in server.requests}
        killed = self.process.returncode == -signal.SIGKILL
        return [s.trace for s in self.sent if s.status is None and s.trace in forwarded
                and not (killed and s.written_at < self.term_at + KILL_EXEMPTION_S)]  # fmt: skip

    def reload(self, discovery: Address) -> None:
        """Write a configuration with a new discovery address and send SIGHUP."""
        raw = json.loads(self.config_file.read_text())
        self.config_file.write_text(json.dumps(raw | {"discovery": "{}:{}".format(*discovery)}))
        self.process.send_signal(signal.SIGHUP)


def immediate_shutdown() -> Shutdown:
    """The shortest possible shutdown: the longest request deadline is 0."""
    return Shutdown(monotonic_ns(), longest_deadline_ns=0, is_listener_shared=False)


async def sidecar(folder: Path, longest_s: float, *servers: Endpoint, **changes: Any) -> PlannedShutdown:
    """Start a sidecar process with these servers and this deadline for all request classes."""
    listen = f"127.0.0.1:{free_port()}"
    rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
    env = write_config(folder, NOWHERE, rows, listen, request_classes=classes_with(longest_s), **changes)
    return PlannedShutdown(await start(env), Address.parse(listen), Path(env["LB_CONFIG"]), longest_s)

"""A planned end of a real process as the platform plays it: SIGTERM, late clients, then SIGKILL at the
earliest moment that the protocol allows. It judges by the rule, from what clients and servers saw."""

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

COUNTED_AS_S = 3.0  # the longest deadline, where it is longer than this
KILL_AFTER_S = 0.7  # later than the longest deadline, counted from SIGTERM
EXCUSED_S = 0.7  # what came before it and is under way at SIGKILL is not lost


def classes_with(deadline_s: float, target_s: float = 0.3) -> list[dict[str, Any]]:
    """The request classes of the tests, all with one deadline."""
    times = {"deadline-ns": int(deadline_s * SECOND), "target-ns": int(target_s * SECOND)}
    return [row | times | {"late-worth": 0.5} for row in raw_settings()["request-classes"]]


@dataclass
class Sent:
    """One request of a client, and what became of it. Times in monotonic seconds."""

    trace: str
    written_at: float
    status: int | None = None
    answered_at: float | None = None
    response: http1.Response | None = None


@dataclass
class PlannedEnd:
    """One sidecar process on its way out."""

    process: asyncio.subprocess.Process
    address: Address
    config_file: Path
    longest_s: float
    term_at: float = 0.0
    sent: list[Sent] = field(default_factory=list)
    _killing: asyncio.Task[None] | None = None

    @property
    def kill_at(self) -> float:
        return self.term_at + min(self.longest_s, COUNTED_AS_S) + KILL_AFTER_S

    def terminate(self) -> None:
        """SIGTERM now, and SIGKILL as soon as it may come."""
        self.term_at = monotonic()
        self.process.send_signal(signal.SIGTERM)
        self._killing = asyncio.create_task(self._kill())

    async def _kill(self) -> None:
        await self.at(self.kill_at - self.term_at)
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def at(self, after_term_s: float) -> None:
        """Until so many seconds after SIGTERM: the rule itself is about that moment."""
        while (left_s := self.term_at + after_term_s - monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def request(self, streams: Streams, trace: str, rest: bytes) -> Sent:
        """Write the last bytes of a request, and read its answer, if there is one."""
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

    async def over(self) -> int:
        """Once the process has ended: its exit status, below 0 for a signal."""
        assert self.process.stderr
        status, _ = await asyncio.gather(self.process.wait(), self.process.stderr.read())
        if self._killing:
            self._killing.cancel()
        return status

    def lost(self, *servers: Endpoint) -> list[str]:
        """The requests that were read and have no answer: a server got them, and no client has heard. Those
        that came before the kill's excuse and were under way at SIGKILL are left out."""
        forwarded = {r.headers[b"x-trace-id"].decode() for server in servers for r in server.requests}
        killed = self.process.returncode == -signal.SIGKILL
        return [s.trace for s in self.sent if s.status is None and s.trace in forwarded
                and not (killed and s.written_at < self.term_at + EXCUSED_S)]  # fmt: skip

    def reload(self, discovery: Address) -> None:
        """A new configuration and SIGHUP."""
        raw = json.loads(self.config_file.read_text())
        self.config_file.write_text(json.dumps(raw | {"discovery": "{}:{}".format(*discovery)}))
        self.process.send_signal(signal.SIGHUP)


def end_now() -> Shutdown:
    """The shortest shutdown: of a program whose requests have no time at all."""
    return Shutdown(monotonic_ns(), longest_deadline_ns=0, is_listener_shared=False)


async def sidecar(folder: Path, longest_s: float, *servers: Endpoint, **changes: Any) -> PlannedEnd:
    """A running sidecar process with these servers, whose classes have this deadline."""
    listen = f"127.0.0.1:{free_port()}"
    rows = [member(f"s-{n}", server.address) for n, server in enumerate(servers)]
    env = write_config(folder, NOWHERE, rows, listen, request_classes=classes_with(longest_s), **changes)
    return PlannedEnd(await start(env), Address.parse(listen), Path(env["LB_CONFIG"]), longest_s)

"""A draining server gets no new request after the grace period, whatever a request was waiting for."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from anisespool import http1
from anisespool.endpoints.connection import Connection
from anisespool.endpoints.endpoints import Endpoints
from shuntlead.retries import Retries
from tests.drain_scenario import FULL, drain_scenario
from tests.net import OK, Endpoint, Streams, held_until, reset, until
from tests.observer import DEADLINE_SLACK_S, Observer, Server
from tests.support import SECOND
from tests.test_deadlines import LONG_DEADLINE
from tests.test_gone import DelayedAccept

STALL_S = 0.15  # stall of the process between deciding on an attempt and sending it
WAKE_UP_SLACK_S = 0.04  # for late wake-ups on a busy machine


async def test_held_requests_are_sent_once_a_server_is_up_and_only_there(tmp_path: Path) -> None:
    async with drain_scenario(tmp_path) as scenario:
        await scenario.send_update(scenario.row(0, "draining"), scenario.row(1, "draining"))
        held = [scenario.start(f"{cls}{n}", cls=cls) for cls in ("look", "keyed", "once") for n in range(5)]
        await until(lambda: scenario.sidecar.service.open == 15)
        await scenario.wait_for_grace()
        await scenario.send_update(scenario.row(1, "up"))
        assert [await answer for answer in held] == [200] * 15
        assert not scenario.observer.traces("s-0") and len(set(scenario.observer.traces("s-1"))) == 15


async def test_the_next_request_of_a_key_is_not_sent_to_a_draining_server(tmp_path: Path) -> None:
    """In-order requests of one key wait for each other; the first is in progress as its server drains."""
    release = asyncio.Event()
    classes = [{"target-ns": SECOND, "deadline-ns": 2 * SECOND, "effect": effect, "worth": 1.0,
                "dedup-scope": "all", "dedup-window-ns": SECOND, "in-order": True}
               for effect in ("repeatable", "by_key", "once")]  # fmt: skip
    async with drain_scenario(tmp_path, held_until(release), request_classes=classes) as scenario:
        await scenario.send_update(scenario.row(1, "draining"))
        line = [scenario.start(f"o{n}", cls="keyed", headers="X-Props: key=7\r\nIdempotency-Key: k\r\n")
                for n in range(3)]  # fmt: skip
        await until(lambda: scenario.sidecar.service.open == 3 and len(scenario.observer.receipts) >= 1)
        await scenario.send_update(scenario.row(0, "draining"), scenario.row(1, "up"))
        before = len(scenario.observer.traces("s-0"))
        await scenario.wait_for_grace()
        release.set()
        assert [await answer for answer in line] == [200] * 3
        assert len(scenario.observer.traces("s-0")) == before


@pytest.mark.parametrize("phase", ["draining", "removed"])
async def test_requests_waiting_for_a_handshake_with_a_draining_server_go_elsewhere(
    tmp_path: Path, phase: str
) -> None:
    async with DelayedAccept().serve() as dial:
        slow = Endpoint()
        slow.address = dial.address
        async with drain_scenario(tmp_path, slow, allowed__connect_timeout_ns=5 * SECOND) as scenario:
            await scenario.send_update(scenario.row(1, "draining"))
            waiting = [scenario.start(f"w{n}") for n in range(5)]
            await until(lambda: scenario.sidecar.service._endpoints._opening == 5)
            await scenario.send_update(scenario.row(0, phase), scenario.row(1, "up"))
            assert [await answer for answer in waiting] == [200] * 5
            await dial.accept_connection()
            assert dial.received == b"" and len(set(scenario.observer.traces("s-1"))) == 5


async def test_a_connection_established_in_the_same_loop_iteration_as_a_drain_is_used_within_the_grace_only(
    tmp_path: Path,
) -> None:
    """The change and the completed handshakes are ready in the same loop iteration, in either order."""
    async with drain_scenario(tmp_path) as scenario:
        await until(lambda: bool(scenario.sidecar.discovery.connections))
        for n in range(3):
            calls = [scenario.start(f"c{n}-{m}") for m in range(4)]
            await until(
                lambda: scenario.sidecar.service._endpoints._opening > 0 or all(c.done() for c in calls)  # noqa: B023
            )
            await scenario.send_update(scenario.row(0, "draining"))
            assert {await answer for answer in calls} == {200}
            assert await scenario.call(f"later{n}") == 200
            assert f"later{n}" not in scenario.observer.traces("s-0")
            await scenario.send_update(scenario.row(0, "up", up_since_ms=n + 1))


class StalledServer(Server):
    """Answers the first request at once, then reads nothing more until `resume` is set."""

    receive_buffer_bytes = 4096

    def __init__(self, observer: Observer, name: str) -> None:
        super().__init__(observer, name)
        self.resume = asyncio.Event()

    async def _requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser, transport = http1.RequestParser(), writer.transport
        head = await reader.read(512)
        receipt = self._receipt()
        transport.pause_reading()  # type: ignore[attr-defined]
        parser.feed(head)
        writer.write(OK)
        await self.resume.wait()
        transport.resume_reading()  # type: ignore[attr-defined]
        done = 0
        while data := await reader.read(65536):
            for request in parser.feed(data):
                receipt = receipt if not done else self._receipt()
                receipt.trace, done = request.headers[b"x-trace-id"].decode(), done + 1


async def test_no_request_is_sent_on_a_connection_with_unread_bytes(tmp_path: Path) -> None:
    """A server's early answer leaves the rest of a body in the send buffer. A request behind it would begin
    when the server reads again, which may be after it drains."""
    observer = Observer()
    async with (
        StalledServer(observer, "s-0").serve() as stalled_server,
        drain_scenario(tmp_path, stalled_server) as scenario,
    ):
        scenario.observer = stalled_server.observer = observer
        observer.record_list({"revision": 1, "complete": True, "members": [scenario.row(0), scenario.row(1)]})
        await scenario.send_update(scenario.row(1, "draining"))
        assert await scenario.call("body", cls="once", body=b"x" * 20_000) == 200
        await scenario.wait_until_reusable()
        late = scenario.start("behind", left_ms=500)
        service = (
            scenario.sidecar.service
        )  # wait until the request has a connection and no handshake is pending
        await until(lambda: late.done() or service.open == 1 and not service._endpoints._opening)
        await scenario.drain(0)
        stalled_server.resume.set()
        assert await late == 200


async def test_a_retry_after_a_full_answer_does_not_go_to_a_server_that_drained_meanwhile(
    tmp_path: Path,
) -> None:
    waiting: list[Streams] = []

    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting.append((reader, writer))

    for cls in ("look", "keyed", "once"):
        async with drain_scenario(tmp_path, hold, hold) as scenario:
            await scenario.send_update(scenario.row(1, "draining"))
            call = scenario.start(cls, cls=cls)
            await until(lambda: len(waiting) == 1)
            await scenario.send_update(scenario.row(1, "up"))
            await scenario.drain(1)
            waiting.pop()[1].write(FULL)
            await until(lambda: len(waiting) == 1 or call.done())  # noqa: B023
            assert set(scenario.observer.traces("s-1")) == set()
            for _, writer in waiting:
                writer.write(OK)
            waiting.clear()
            await call


@pytest.mark.parametrize("outcome", ["full", "reset", "time-out"])
async def test_a_retry_after_a_drain_goes_to_a_server_that_is_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, outcome: str
) -> None:
    release = asyncio.Event()
    monkeypatch.setattr(Retries, "attempt_timeout_ns", lambda self, req, usual: 0 if req.attempts else SECOND)
    classes = [{"target-ns": 4 * SECOND, "deadline-ns": 4 * SECOND, "effect": "repeatable", "worth": 1.0}]

    async def fail(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        if outcome == "full":
            writer.write(FULL)
        elif outcome == "reset":
            reset(writer)

    async with drain_scenario(tmp_path, fail, request_classes=[dict(row) for row in classes * 3]) as scenario:
        await scenario.send_update(scenario.row(1, "draining"))
        calls = [scenario.start(f"a{n}", left_ms=4000) for n in range(4)]
        await until(lambda: len(scenario.observer.traces("s-0")) == 4)
        await scenario.send_update(scenario.row(0, "draining"), scenario.row(1, "up"))
        await scenario.wait_for_grace()
        release.set()
        statuses = [await call for call in calls]
        assert len(scenario.observer.traces("s-0")) == 4
        assert statuses == [200] * 4 and len(set(scenario.observer.traces("s-1"))) == 4


@pytest.mark.parametrize(("owner", "name"), [(Endpoints, "_start"), (Connection, "start")])
async def test_a_stall_between_the_decision_and_the_write_stays_within_the_grace_period(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, owner: type, name: str
) -> None:
    """The process stalls while sending a request, before or after the remaining time is computed, and the
    drain is sent meanwhile. The observer also checks the remaining time that the server is sent."""
    stalls: list[Callable[[], None]] = []
    original = getattr(owner, name)

    def stalled(self: object, *args: object) -> None:
        if stalls:
            stalls.pop()()
        original(self, *args)

    monkeypatch.setattr(owner, name, stalled)
    stall_s = STALL_S if owner is Endpoints else DEADLINE_SLACK_S - WAKE_UP_SLACK_S
    async with drain_scenario(tmp_path, request_classes=[dict(LONG_DEADLINE) for _ in range(3)]) as scenario:
        await until(lambda: bool(scenario.sidecar.discovery.connections))
        for n in range(3):
            scenario.revision += 1
            row = scenario.row(0, "draining", up_since_ms=n)
            line = {"revision": scenario.revision, "complete": False, "members": [row]}

            def stall(line: dict[str, object] = line) -> None:
                scenario.observer.send_update(scenario.sidecar.discovery, line)
                time.sleep(stall_s)

            stalls.append(stall)
            assert await scenario.call(f"stalled{n}") == 200 and not stalls
            await scenario.wait_until_applied()
            assert await scenario.call(f"next{n}") == 200
            assert scenario.observer.traces("s-0").count(f"next{n}") == 0
            await scenario.send_update(scenario.row(0, "up", up_since_ms=n + 1))

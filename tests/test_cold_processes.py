"""Total load of 20 sidecar processes on newly started servers, without peer messages and with restarts."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from pathlib import Path
from time import monotonic

import pytest

from tests.fleet import fleet
from tests.net import Discovery, Endpoint, StaticDiscovery, member, member_list
from tests.support import raw_settings
from tests.test_fleet import answer_slowly, load

pytestmark = pytest.mark.xdist_group("many processes")  # run serially: they measure rates
COUNT, WARM, COLD = 20, 8, 2
PER_S = 6.0  # requests per second at each sidecar
KILLED = range(0, COUNT, 5)


@pytest.mark.timeout(60)
async def test_twenty_processes_together_stay_within_the_budget_of_a_cold_server(tmp_path: Path) -> None:
    """The warm servers are slow, so without the budget each new server would get most of the traffic."""
    rules = raw_settings()["guarantees"]
    span_s, arrived = rules["fall-ns"] / 1e9, [list[float]() for _ in range(COLD)]
    async with AsyncExitStack() as stack:
        warm = await stack.enter_async_context(Endpoint(answer_slowly).serve())
        cold = [await stack.enter_async_context(Arrivals(times).serve()) for times in arrived]
        rows = [member(f"s-{n}", warm.address) for n in range(WARM)]
        discovery = await stack.enter_async_context(StaticDiscovery(member_list(2, rows)).serve())
        sidecars = await stack.enter_async_context(fleet(tmp_path, COUNT))
        sidecars.relay.cut = lambda x, y: True
        await asyncio.gather(*(sidecars.start(n, discovery.address, rows) for n in range(COUNT)))
        await asyncio.gather(*(load(sidecars, n, PER_S, 3) for n in range(COUNT)))
        started_at, started_ms = monotonic(), int(time.time() * 1000)
        rows += [member(f"c-{n}", c.address, up_since_ms=started_ms) for n, c in enumerate(cold)]
        discovery.line = member_list(3, rows)
        for _, writer in discovery.connections:
            Discovery.write_line(writer, discovery.line)
        for n in KILLED:
            await sidecars.kill(n)
        await asyncio.gather(*(sidecars.start(n, discovery.address, rows) for n in KILLED))
        statuses = await asyncio.gather(*(load(sidecars, n, PER_S, 4) for n in range(COUNT)))
        served = [status for each in statuses for status in each]
        assert served.count(200) > 0.9 * len(served)
    requests_per_s = COUNT * PER_S / WARM  # a second, by a warm one

    def budget(at: float) -> float:
        part = (
            rules["start-capacity"]
            + (1 - rules["start-capacity"]) * (at - started_at) * 1e9 / rules["cold-ns"]
        )
        return float(rules["fall-multiple"] * part * requests_per_s * span_s)

    excess = max(sum(at <= t < at + span_s for t in times) - budget(at) - 2 * budget(at) ** 0.5 - 2
                for times in arrived for at in times)  # fmt: skip
    used = [len(times) / (budget(started_at + 2) / span_s * 4) for times in arrived]
    print(f"at worst {excess:.1f} beyond N + 2 x root of N + 2; part of the budget used {used}")
    assert excess <= 0 and min(used) > 0.05


class Arrivals(Endpoint):
    """An endpoint that records the arrival time of each request."""

    def __init__(self, times: list[float]) -> None:
        super().__init__(self._answer_at)
        self._times = times

    async def _answer_at(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._times.append(monotonic())
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

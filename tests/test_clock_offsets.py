"""Tenant reports between sidecars whose clocks differ, for example after one clock was stepped."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.fleet.clock_offsets import EARLY_MS, LATE_MS, SETTLE_S, ClockOffsets
from shuntlead.quotas import REPORT_INTERVAL_NS
from tests.fleet import fleet
from tests.net import Endpoint, StaticDiscovery, member, member_list
from tests.stepped_clock import ClockStepper
from tests.test_fleet import BUSY, SETTINGS, asked, load
from tests.test_wall_clock import STEPS_S

REPORT_INTERVAL_S = REPORT_INTERVAL_NS / 1e9


@pytest.mark.xdist_group("many processes")
@pytest.mark.parametrize("step_s", [-3600.0, 3600.0])
async def test_sidecars_with_clocks_an_hour_apart_exchange_reports(tmp_path: Path, step_s: float) -> None:
    async with Endpoint(BUSY).serve() as server, fleet(tmp_path, 2) as sidecars:
        rows = [member(f"s-{n}", server.address) for n in range(8)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            await sidecars.start(0, discovery.address, rows, **SETTINGS)
            stepper = ClockStepper(tmp_path)
            stepper.step_to(step_s)
            sidecars.module, sidecars.env = "tests.stepped_clock", stepper.env
            await sidecars.start(1, discovery.address, rows, **SETTINGS)
            await asyncio.gather(*(load(sidecars, n, 90, SETTLE_S + 1.0) for n in (0, 1)))
            assert (await asked(sidecars, 0))[1] == 1
            assert (await asked(sidecars, 1))[1] == 1


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_peers_clock_offset_is_applied_once_it_has_settled(step_s: float) -> None:
    clock_offsets, step_ms, now_s = ClockOffsets(), round(step_s * 1000), 100.0
    assert clock_offsets.offset_ms(0, 5, now_s) == 0
    offsets = []
    for n in range(20):
        offsets.append(clock_offsets.offset_ms(0, step_ms + 5 + n % 3, now_s + n * REPORT_INTERVAL_S))
        assert clock_offsets.offset_ms(1, 5, now_s + n * REPORT_INTERVAL_S) == 0  # other peer: unchanged
    assert offsets[0] == 0 and offsets[-1] == step_ms + 5
    assert offsets.count(0) <= SETTLE_S / REPORT_INTERVAL_S + 1
    for n in range(20, 40):  # the peer's clock is stepped back
        offsets.append(clock_offsets.offset_ms(0, 5, now_s + n * REPORT_INTERVAL_S))
    assert offsets[-1] == 0


def test_a_backlog_of_unread_reports_does_not_change_the_offset() -> None:
    clock_offsets = ClockOffsets()
    assert clock_offsets.offset_ms(0, 5, 100.0) == 0
    for n in range(50):  # backlog of a 10 s pause; the last report is about LATE_MS old
        assert clock_offsets.offset_ms(0, LATE_MS + 10_000 - 200 * n, 110.0 + 0.001 * n) == 0
    assert clock_offsets.offset_ms(0, 5, 110.1) == 0
    assert clock_offsets.offset_ms(0, LATE_MS + 5_000, 200.0) == 0  # a later pause is evaluated separately
    assert clock_offsets.offset_ms(0, -EARLY_MS, 200.1) == 0

"""Tenants' reports between sidecars whose clocks differ, as after a step of one of them."""

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

EVERY_S = REPORT_INTERVAL_NS / 1e9


@pytest.mark.xdist_group("many processes")
@pytest.mark.parametrize("step_s", [-3600.0, 3600.0])
async def test_sidecars_whose_clocks_are_an_hour_apart_know_of_each_other(
    tmp_path: Path, step_s: float
) -> None:
    async with Endpoint(BUSY).serve() as server, fleet(tmp_path, 2) as it:
        rows = [member(f"s-{n}", server.address) for n in range(8)]
        async with StaticDiscovery(member_list(2, rows)).serve() as discovery:
            await it.start(0, discovery.address, rows, **SETTINGS)
            stepper = ClockStepper(tmp_path)
            stepper.step_to(step_s)
            it.module, it.env = "tests.stepped_clock", stepper.env
            await it.start(1, discovery.address, rows, **SETTINGS)
            await asyncio.gather(*(load(it, n, 90, SETTLE_S + 1.0) for n in (0, 1)))
            assert (await asked(it, 0))[1] == 1
            assert (await asked(it, 1))[1] == 1


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_peer_is_read_by_its_own_clock_once_that_is_sure(step_s: float) -> None:
    it, step_ms, now_s = ClockOffsets(), round(step_s * 1000), 100.0
    assert it.offset_ms(0, 5, now_s) == 0
    offsets = []
    for n in range(20):
        offsets.append(it.offset_ms(0, step_ms + 5 + n % 3, now_s + n * EVERY_S))
        assert it.offset_ms(1, 5, now_s + n * EVERY_S) == 0  # the others' stays
    assert offsets[0] == 0 and offsets[-1] == step_ms + 5
    assert offsets.count(0) <= SETTLE_S / EVERY_S + 1
    for n in range(20, 40):  # and back
        offsets.append(it.offset_ms(0, 5, now_s + n * EVERY_S))
    assert offsets[-1] == 0


def test_what_lay_unread_is_old_however_much_of_it_there_is() -> None:
    it = ClockOffsets()
    assert it.offset_ms(0, 5, 100.0) == 0
    for n in range(50):  # a stop of 10 s; the last of them is as old as LATE_MS
        assert it.offset_ms(0, LATE_MS + 10_000 - 200 * n, 110.0 + 0.001 * n) == 0
    assert it.offset_ms(0, 5, 110.1) == 0
    assert it.offset_ms(0, LATE_MS + 5_000, 200.0) == 0  # the next stop is another
    assert it.offset_ms(0, -EARLY_MS, 200.1) == 0

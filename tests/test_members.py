"""Incremental list changes: same result as a full refresh, at a cost independent of the list length."""

from __future__ import annotations

import gc
import random
import sys
from types import FrameType
from typing import Any

import pytest

from shuntlead import interface as api
from shuntlead import members
from shuntlead.interface import EndpointState, ListForm, Status
from shuntlead.members import Members
from tests.support import SECOND, Sidecar, listed

STATES = (EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE)


def ready_state(table: Members) -> tuple[list[tuple[int, float, bool, int]], float]:
    ready = [(e.id, e.weight, e.ejected, e.cold_from) for e in table.ready]
    return ready, round(table._estimates.mean_weight, 9)


@pytest.mark.parametrize("ejection", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_incremental_changes_give_the_same_result_as_a_full_refresh(seed: int, ejection: bool) -> None:
    """Random drains, restarts, removals, returns and weights; ejections exercise both code paths."""
    draw = random.Random(seed)
    sidecar = Sidecar([listed(n) for n in range(1, 41)], seed, ejection=ejection, report__columns=["util"])
    table, steps_without_return = sidecar.balancer.members, 0
    for step in range(400):
        sidecar.now += draw.randrange(SECOND // 4)
        rows = [listed(draw.randrange(1, 61), weight=draw.choice((0.5, 1.0, 2.0)), state=draw.choice(STATES),
                       started_ns=draw.choice((0, 0, sidecar.now)))
                for _ in range(draw.choice((1, 1, 1, 5)))]  # fmt: skip
        steps_without_return += not table._next_return_at
        sidecar.apply_list(rows)
        found = ready_state(table)
        table.refresh_ready()
        assert found == ready_state(table), step
        if ejection and draw.random() < 0.1:
            table.eject(table.ready[0].id, Status.RESET, SECOND, "here")
    assert steps_without_return == 400 if not ejection else 40 < steps_without_return < 360


def count_calls(sidecar: Sidecar, rows: list[api.ListedEndpoint]) -> int:
    """Returns how many calls, including built-ins, the module makes to apply a change."""
    count = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    gc.disable()  # a collection would call the gc.callbacks registered by other tests in this process
    sys.setprofile(profile)
    try:
        sidecar.apply_list(rows)
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def test_a_change_costs_the_same_on_a_long_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 9,100 endpoints each one-row change took 6 ms and blocked all requests."""
    monkeypatch.setattr(members, "GET_WEIGHT", lambda e: e.weight)  # its calls are counted
    costs = {}
    for size in (50, 2000):
        sidecar = Sidecar([listed(n) for n in range(1, size + 1)])
        drain, restart, new = (listed(7, state=EndpointState.DRAINING), listed(9, started_ns=sidecar.now),
                               listed(size + 1))  # fmt: skip
        costs[size] = [count_calls(sidecar, [row]) for row in (drain, restart, new)]
    assert costs[50] == costs[2000]
    assert min(costs[50]) > 0


def test_full_list_replaces_all_members() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 41)])
    sidecar.apply_list([listed(n) for n in range(21, 61)], ListForm.FULL)
    assert sorted(e.id for e in sidecar.balancer.members.ready) == list(range(21, 61))
    orders = [e.rank for e in sidecar.balancer.members.ready]
    assert orders == sorted(orders)

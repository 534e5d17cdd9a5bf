"""The list and its standing: a change costs what it changes, and leaves what settling all would."""

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


def standing(room: Members) -> tuple[list[tuple[int, float, bool, int]], float]:
    ready = [(e.id, e.weight, e.ejected, e.cold_from) for e in room.ready]
    return ready, round(room._estimates.mean_weight, 9)


@pytest.mark.parametrize("ejection", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_changes_one_by_one_leave_what_settling_all_would(seed: int, ejection: bool) -> None:
    """Drains, restarts, removals, returns and new weights; some ejected, so that both ways are taken."""
    draw = random.Random(seed)
    car = Sidecar([listed(n) for n in range(1, 41)], seed, ejection=ejection, report__columns=["util"])
    room, calm = car.balancer.members, 0
    for step in range(400):
        car.now += draw.randrange(SECOND // 4)
        rows = [listed(draw.randrange(1, 61), weight=draw.choice((0.5, 1.0, 2.0)), state=draw.choice(STATES),
                       started_ns=draw.choice((0, 0, car.now)))
                for _ in range(draw.choice((1, 1, 1, 5)))]  # fmt: skip
        calm += not room._next_return_at
        car.roster(rows)
        found = standing(room)
        room.refresh_ready()
        assert found == standing(room), step
        if ejection and draw.random() < 0.1:
            room.eject(room.ready[0].id, Status.RESET, SECOND, "here")
    assert calm == 400 if not ejection else 40 < calm < 360


def calls_of(car: Sidecar, rows: list[api.ListedEndpoint]) -> int:
    """Calls that the module makes to take in a change, its own and of built-ins."""
    count = 0

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    gc.disable()  # a collection in between calls what other tests of this process have put on gc.callbacks
    sys.setprofile(profile)
    try:
        car.roster(rows)
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def test_a_change_costs_the_same_on_a_long_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """At 9,100 listed each one-row change took 6 ms, in which all requests waited."""
    monkeypatch.setattr(members, "GET_WEIGHT", lambda e: e.weight)  # so that it counts as a call
    costs = {}
    for size in (50, 2000):
        car = Sidecar([listed(n) for n in range(1, size + 1)])
        drain, restart, new = (listed(7, state=EndpointState.DRAINING), listed(9, started_ns=car.now),
                               listed(size + 1))  # fmt: skip
        costs[size] = [calls_of(car, [row]) for row in (drain, restart, new)]
    assert costs[50] == costs[2000]
    assert min(costs[50]) > 0


def test_a_whole_list_is_settled_as_a_whole() -> None:
    car = Sidecar([listed(n) for n in range(1, 41)])
    car.roster([listed(n) for n in range(21, 61)], ListForm.FULL)
    assert sorted(e.id for e in car.balancer.members.ready) == list(range(21, 61))
    orders = [e.rank for e in car.balancer.members.ready]
    assert orders == sorted(orders)

"""Cold servers fall under the sum of what all sidecars send: no span brings more than a budget and chance.

The operators' terms: of a budget of N requests only 2 x root of N + 2 beyond it are chance, whatever the
number of processes, without a word between them."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from shuntlead.interface import EndpointState
from tests.coldfleet import ColdFleet

# Sidecars, servers, cold ones of them, requests a second of a sidecar in the mean.
SIZES = [(4, 10, 3, 20.0), (20, 40, 10, 8.0), (30, 60, 20, 3.0), (200, 60, 20, 1.0)]


def steady(it: ColdFleet) -> None:
    pass


def burst(it: ColdFleet) -> None:
    it.burst = 3.0


def warm_ones_slow(it: ColdFleet) -> None:
    it.slow = 10.0


def half_restarted(it: ColdFleet) -> None:
    for n in range(0, it.count, 2):
        it.start(n)


def nine_in_ten_replaced(it: ColdFleet) -> None:
    it.states = {n: EndpointState.DRAINING for n in it.warm[: len(it.warm) * 9 // 10]}
    it.tell()


def all_replaced(it: ColdFleet) -> None:
    it.states = {n: EndpointState.DRAINING for n in it.warm}
    it.tell()


def all_new(it: ColdFleet) -> None:
    it.states = {n: EndpointState.DRAINING for n in it.warm}
    for n in range(it.count):
        it.start(n)


@pytest.mark.parametrize("then", [steady, burst, warm_ones_slow, half_restarted, nine_in_ten_replaced,
                                  all_replaced, all_new], ids=lambda f: f.__name__)  # fmt: skip
def test_the_fleets_sum_stays_within_the_budget_of_a_cold_server(then: Callable[[ColdFleet], None]) -> None:
    for seed, (sidecars, servers, cold, rate) in enumerate(SIZES):
        worst = ColdFleet(seed, sidecars, servers, cold, 0.7, rate).run(2.5, then)
        print(f"{sidecars} sidecars, {cold} of {servers} cold: {worst}")
        assert worst.beyond <= 0.0, (sidecars, worst)
        assert worst.used > 0.05, (sidecars, worst)  # a new server is no use to anyone if it gets nothing


@pytest.mark.parametrize("then", [steady, burst, all_replaced, all_new], ids=lambda f: f.__name__)
def test_two_processes_of_each_sidecar_stay_within_the_same_budget(then: Callable[[ColdFleet], None]) -> None:
    """In an upgrade, with the clients split between them: the settings say how many sidecars there are."""
    for seed, (sidecars, servers, cold, rate) in enumerate(SIZES[:2]):
        it = ColdFleet(seed, 2 * sidecars, servers, cold, 0.7, rate / 2, fleet_size=sidecars)
        it.processes = 2
        worst = it.run(2.5, then)
        print(f"{sidecars} sidecars of two processes, {cold} of {servers} cold: {worst}")
        assert worst.beyond <= 0.0, (sidecars, worst)

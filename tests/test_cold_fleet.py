"""The requests of all sidecars together stay within the budget of a cold server in every window.

For a budget of N requests, up to 2 * sqrt(N) + 2 more count as random variation, for any number of processes
and without communication between them."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from shuntlead.interface import EndpointState
from tests.coldfleet import ColdFleet

# Sidecars, servers, cold servers among them, mean requests per second of a sidecar.
SIZES = [(4, 10, 3, 20.0), (20, 40, 10, 8.0), (30, 60, 20, 3.0), (200, 60, 20, 1.0)]


def steady(simulation: ColdFleet) -> None:
    pass


def burst(simulation: ColdFleet) -> None:
    simulation.load_factor = 3.0


def warm_ones_slow(simulation: ColdFleet) -> None:
    simulation.slowdown = 10.0


def half_restarted(simulation: ColdFleet) -> None:
    for n in range(0, simulation.count, 2):
        simulation.start(n)


def nine_in_ten_replaced(simulation: ColdFleet) -> None:
    simulation.states = {n: EndpointState.DRAINING for n in simulation.warm[: len(simulation.warm) * 9 // 10]}
    simulation.publish_list()


def all_replaced(simulation: ColdFleet) -> None:
    simulation.states = {n: EndpointState.DRAINING for n in simulation.warm}
    simulation.publish_list()


def all_new(simulation: ColdFleet) -> None:
    simulation.states = {n: EndpointState.DRAINING for n in simulation.warm}
    for n in range(simulation.count):
        simulation.start(n)


@pytest.mark.parametrize("change", [steady, burst, warm_ones_slow, half_restarted, nine_in_ten_replaced,
                                  all_replaced, all_new], ids=lambda f: f.__name__)  # fmt: skip
def test_total_of_all_sidecars_stays_within_the_budget_of_a_cold_server(
    change: Callable[[ColdFleet], None],
) -> None:
    for seed, (sidecars, servers, cold, rate) in enumerate(SIZES):
        use = ColdFleet(seed, sidecars, servers, cold, 0.7, rate).run(2.5, change)
        print(f"{sidecars} sidecars, {cold} of {servers} cold: {use}")
        assert use.excess <= 0.0, (sidecars, use)
        assert use.used_share > 0.05, (sidecars, use)  # a new server that gets no requests is of no use


@pytest.mark.parametrize("change", [steady, burst, all_replaced, all_new], ids=lambda f: f.__name__)
def test_two_processes_of_each_sidecar_stay_within_the_same_budget(
    change: Callable[[ColdFleet], None],
) -> None:
    """During an upgrade the clients are split between both; the settings state the number of sidecars."""
    for seed, (sidecars, servers, cold, rate) in enumerate(SIZES[:2]):
        simulation = ColdFleet(seed, 2 * sidecars, servers, cold, 0.7, rate / 2, fleet_size=sidecars)
        simulation.processes = 2
        use = simulation.run(2.5, change)
        print(f"{sidecars} sidecars of two processes, {cold} of {servers} cold: {use}")
        assert use.excess <= 0.0, (sidecars, use)

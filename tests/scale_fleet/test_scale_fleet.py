"""The quick form of the scale tests: checks a fleet of 200, and the simulation itself.

Real processes are compared with the simulation only in the full form (`python -m tests.scale_fleet`), as
starting them takes too long here. This form compares real watches on a virtual clock.
"""

from __future__ import annotations

import json
import statistics
from math import sqrt

import pytest

from anisespool.peers import MAX_DATAGRAM_BYTES
from tests.scale_fleet import collisions, datagrams, gossip_scenarios, lines, scenarios, simulation, watches
from tests.scale_fleet.agreement import TOLERANCE
from tests.scale_fleet.discovery import MAX_QUEUE_S, SimulatedDiscovery, Timeline
from tests.scale_fleet.list_cost import row
from tests.scale_fleet.simulation import Params, Start
from tests.scale_fleet.tables import FRESH_S, Row

PLANNED = 9100


def small_scenarios(seed: int) -> list[Row]:
    """The rows of each scenario at a small size."""
    one = scenarios.CAPACITIES[0]
    row_lists = [scenarios.outage(200, seed, one, costs) for costs in (True, False)]
    for make_rows in (scenarios.steady, scenarios.answers, scenarios.lost, scenarios.restarts,
                      scenarios.region, gossip_scenarios.talk, gossip_scenarios.ejections):  # fmt: skip
        row_lists.append(make_rows(200, seed))
    row_lists.append(gossip_scenarios.rates(20, seed, 8))
    return [row for rows in row_lists for row in rows]


def test_figures_depend_on_the_seed_alone() -> None:
    first = small_scenarios(3)
    assert first == small_scenarios(3)
    differ = {a.scenario for a, b in zip(first, small_scenarios(4), strict=True) if a != b}
    drawn = ("a. steady", "b. all watches", "c. a zone's", "f. a region back", "g. sightings", "g. verdict")
    assert all(any(name.startswith(start) for name in differ) for start in drawn), differ


@pytest.mark.parametrize("costs", [True, False])
@pytest.mark.parametrize("start, down_s", [(Start.ENDED, 0.0), (Start.ENDED, 8.0), (Start.SILENT, 8.0)])
def test_after_an_outage_200_sidecars_have_a_fresh_list_within_6_s(
    start: Start, down_s: float, costs: bool
) -> None:
    """Discovery serves 80 calls a second. Retrying refused calls too soon would break this."""
    for seed in range(3):
        it = simulation.recover(Params(200, 200, 80.0, costs, start, down_s), seed)
        assert it.updated == 200 and it.last_s <= FRESH_S, it


def test_200_real_watches_have_a_fresh_list_within_6_s() -> None:
    _, last_s = watches.recover(Params(200, 200, 80.0, True, down_s=8.0), 1)
    assert last_s <= FRESH_S


@pytest.mark.parametrize("params", [Params(20, 20, 8.0, True), Params(20, 20, 4.0, False, down_s=8.0)])
def test_the_simulation_takes_as_long_as_real_watches(params: Params) -> None:
    real_s = statistics.median(watches.recover(params, seed)[1] for seed in range(5))
    simulated_s = statistics.median(simulation.recover(params, seed).last_s for seed in range(20))
    assert abs(real_s - simulated_s) <= TOLERANCE * real_s


class _Waiting:
    def __init__(self, times: Timeline) -> None:
        self._times, self.answered_at, self.failed_at = times, 0.0, 0.0

    def answered(self) -> bool:
        self.answered_at = self._times.time()
        return True

    def failed(self) -> None:
        self.failed_at = self._times.time()


@pytest.mark.parametrize("costs, refused_at", [(True, [4.0, 5.0]), (False, [3.0, 3.0])])
def test_the_simulated_discovery_serves_in_order_and_refuses_calls_that_waited_too_long(
    costs: bool, refused_at: list[float]
) -> None:
    times = Timeline()
    simulated_discovery, calls = SimulatedDiscovery(times, 1.0, costs), [_Waiting(times) for _ in range(5)]
    for call in calls:
        simulated_discovery.call(call)
    times.run(100.0, lambda: False)
    assert [call.answered_at for call in calls] == [1.0, 2.0, MAX_QUEUE_S + 1.0, 0.0, 0.0]
    assert [call.failed_at for call in calls[3:]] == refused_at


def test_open_watches_and_peer_messages_are_within_the_budget_at_the_planned_size() -> None:
    watched, exchanged = lines.steady(PLANNED, lines.CHANGES_S, 1), datagrams.talk(PLANNED, 1)
    assert watched.bytes_s + exchanged.sent_bytes + exchanged.heard_most_bytes <= lines.BUDGET_BYTES_S
    assert all(size - datagrams.HEADER_BYTES <= MAX_DATAGRAM_BYTES for size in datagrams.sizes())


def test_the_bytes_of_a_row_match_a_generated_list() -> None:
    made = [len(json.dumps(row(n))) + 2 for n in range(0, PLANNED, 100)]
    assert abs(statistics.mean(made) - lines.ROW_BYTES) <= 0.1 * lines.ROW_BYTES


def test_shared_ids_collide_as_often_as_32_bits_let_them() -> None:
    it = collisions.count(PLANNED, 1)
    assert abs(it.pairs - it.expected) <= 4 * sqrt(it.expected)
    assert it.likely == pytest.approx(PLANNED * (PLANNED - 1) / 2 / 2**32, rel=0.01)

"""The deadline for a fresh list, through discovery faults in any order, on a virtual clock."""

from __future__ import annotations

import asyncio
from enum import Enum
from functools import partial

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from anisespool.config import Address
from tests.virtual_discovery import ADDRESS, Fault, Phase, Sidecar, VirtualDiscovery, run_virtual

LIST_DEADLINE_S, MOVE_DEADLINE_S = 6.0, 4.0  # required by operators: changes count as delivered then
SETTLE_S = 9.0  # until the watch is open
LONG_S = 30.0
FLEETS = [1, 5, 40, 200]


class Loss(Enum):
    """How the watch is lost."""

    SILENT = "it falls silent"
    RESET = "it is reset"
    ENDED = "it ends with the last chunk"


def lose_watches(discovery: VirtualDiscovery, loss: Loss) -> None:
    if loss is Loss.SILENT:
        discovery.fall_silent()
    elif loss is Loss.RESET:
        discovery.reset_all()
    else:
        discovery.end_all()


async def recover_after_loss(
    discovery: VirtualDiscovery, fleet_size: int, loss: Loss, phases: list[Phase], at_s: float = 0.3
) -> tuple[float, float]:
    """The seconds from the loss of an open watch until a change made at that moment is applied, and until
    discovery's faults end."""
    sidecar, loop = Sidecar(fleet_size), asyncio.get_running_loop()
    await asyncio.sleep(SETTLE_S + at_s)
    assert discovery.watches
    since_s, down_s = loop.time(), discovery.set_faults(phases)
    lose_watches(discovery, loss)
    discovery.publish_change()
    return await sidecar.wait_for_revision(discovery.revision, since_s + LONG_S + down_s) - since_s, down_s


@pytest.mark.parametrize("fleet_size", FLEETS)
@pytest.mark.parametrize("fault", [Fault.HEAD_ONLY, Fault.MID_OBJECT, Fault.TRICKLE, Fault.CLEAN_END])
@pytest.mark.parametrize("loss", Loss)
def test_a_partly_answered_call_leaves_time_for_another(loss: Loss, fault: Fault, fleet_size: int) -> None:
    """Head and first complete line share one time-out, and only a complete line counts as progress."""
    phases = [Phase(fault, 3.6)]
    for seed in range(10):
        updated_s, _ = run_virtual(
            lambda discovery: recover_after_loss(discovery, fleet_size, loss, phases), seed
        )
        assert updated_s < LIST_DEADLINE_S, (seed, updated_s)


@pytest.mark.parametrize("fleet_size", FLEETS)
@pytest.mark.parametrize("loss", [Loss.RESET, Loss.ENDED])
def test_a_call_refused_after_its_time_in_the_queue_leaves_time_for_another(
    loss: Loss, fleet_size: int
) -> None:
    """A 503 is an answer: discovery was reachable, so the 6 s keep running."""
    phases = [Phase(Fault.REFUSED_LATE, 1.4)]
    for seed in range(20):
        updated_s, _ = run_virtual(lambda discovery: recover_after_loss(discovery, fleet_size, loss, phases),
                                   seed, partial(VirtualDiscovery, 1.95))  # fmt: skip
        assert updated_s < LIST_DEADLINE_S, (seed, updated_s)


@pytest.mark.parametrize("fleet_size", FLEETS)
@pytest.mark.parametrize("queue_s", [0.0, 1.95])
def test_an_old_list_at_the_start_is_replaced_in_time_despite_a_hung_call(
    queue_s: float, fleet_size: int
) -> None:
    async def start(discovery: VirtualDiscovery) -> float:
        discovery.publish_change()
        discovery.set_faults([Phase(Fault.HANG, 1.4)])
        sidecar = Sidecar(fleet_size)
        return await sidecar.wait_for_revision(2, LONG_S)

    for seed in range(20):
        assert run_virtual(start, seed, partial(VirtualDiscovery, queue_s)) < LIST_DEADLINE_S, seed


PHASES = st.lists(st.builds(Phase, st.sampled_from(Fault), st.floats(0.0, 9.0)), max_size=5)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(Loss), PHASES, st.sampled_from(FLEETS), st.floats(0.0, 1.9), st.floats(0.0, 1.9),
       st.integers(0, 9))  # fmt: skip
@example(Loss.SILENT, [Phase(Fault.HEAD_ONLY, 4.0)], 200, 1.9, 0.0, 1)
@example(Loss.RESET, [Phase(Fault.RESET, 3.0), Phase(Fault.MID_OBJECT, 3.0)], 200, 1.9, 0.0, 1)
@example(Loss.ENDED, [Phase(Fault.HANG, 30.0)], 200, 1.9, 0.0, 1)
def test_after_any_faults_a_fresh_list_is_applied_within_6_s_of_discovery_recovering(
    loss: Loss, phases: list[Phase], fleet_size: int, queue_s: float, at_s: float, seed: int
) -> None:
    """Faults in any order; after them each call waits `queue_s` before its answer."""
    updated_s, down_s = run_virtual(
        lambda discovery: recover_after_loss(discovery, fleet_size, loss, phases, at_s), seed,
        partial(VirtualDiscovery, queue_s))  # fmt: skip
    assert updated_s < down_s + LIST_DEADLINE_S


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.floats(0.0, 1.5), st.sampled_from(FLEETS), st.floats(0.0, 1.9), st.integers(0, 9))
@example(1.5, 200, 1.9, 1)
def test_the_deadline_of_the_first_of_two_moves_holds_through_the_second(
    between_s: float, fleet_size: int, queue_s: float, seed: int
) -> None:
    """After each SIGHUP the old address refuses new connections, and its watches end 1.5 s later."""

    async def moved(discovery: VirtualDiscovery) -> tuple[float, float]:
        sidecar, loop = Sidecar(fleet_size), asyncio.get_running_loop()
        await asyncio.sleep(SETTLE_S)
        since_s = loop.time()
        discovery.fall_silent()
        discovery.publish_change()
        for address in (Address("second", 80), Address("third", 80)):
            discovery.closed_addresses.add(sidecar.watch.address)
            sidecar.move(address)
            last_s = loop.time()
            await asyncio.sleep(between_s)
        updated_s = await sidecar.wait_for_revision(2, since_s + LONG_S)
        return updated_s - since_s, updated_s - last_s

    first_s, last_s = run_virtual(moved, seed, partial(VirtualDiscovery, queue_s))
    assert last_s < MOVE_DEADLINE_S
    assert first_s < MOVE_DEADLINE_S


def test_a_failed_call_to_the_new_address_is_retried_in_time() -> None:
    """The new address may start late: whatever failed, its list is due 4 s after SIGHUP."""

    async def moved(discovery: VirtualDiscovery) -> float:
        sidecar, loop = Sidecar(200), asyncio.get_running_loop()
        await asyncio.sleep(SETTLE_S)
        since_s = loop.time()
        discovery.closed_addresses.add(ADDRESS)
        discovery.set_faults([Phase(Fault.RESET, 1.5)])
        discovery.fall_silent()
        discovery.publish_change()
        sidecar.move(Address("second", 80))
        return await sidecar.wait_for_revision(2, since_s + LONG_S) - since_s

    for seed in range(20):
        assert run_virtual(moved, seed, partial(VirtualDiscovery, 1.0)) < MOVE_DEADLINE_S, seed

"""The memory limit binds all that a sidecar holds: its processes, their connections, and its files."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.memory_crowd import play, play_restarts, play_upgrade

MIN_MEMORY_MB, MAX_SOCKETS = 32, 1024  # the least memory and the most descriptors that a process is given
CROWD_CLIENTS, CROWD_MEMORY_MB = 820, 64


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    ("kind", "clients"),
    [("small_chunks", 340), ("long_readers", 340), ("unread_answers", 340), ("mixed", 900)],
)
async def test_a_crowd_takes_a_process_of_the_least_memory_over_its_limit(
    tmp_path: Path, kind: str, clients: int
) -> None:
    figures = await play(tmp_path, kind, clients, MIN_MEMORY_MB, MAX_SOCKETS)
    assert figures.peak_mb < MIN_MEMORY_MB, figures


@pytest.mark.timeout(60)
async def test_the_two_processes_of_an_upgrade_go_over_the_limit_that_they_share(tmp_path: Path) -> None:
    figures = await play_upgrade(tmp_path, "mixed", 200, MIN_MEMORY_MB, MAX_SOCKETS)
    assert figures.peak_mb < MIN_MEMORY_MB, figures


@pytest.mark.timeout(60)
@pytest.mark.parametrize("kind", ["mixed", "long_readers"])
async def test_a_crowd_that_stays_over_restarts_in_series_takes_a_process_over_its_limit(
    tmp_path: Path, kind: str
) -> None:
    figures = await play_restarts(tmp_path, kind, 340, MIN_MEMORY_MB, MAX_SOCKETS)
    assert figures.peak_mb < MIN_MEMORY_MB, figures


@pytest.mark.timeout(90)
async def test_pipelined_requests_are_refused_or_dropped_while_half_of_the_memory_is_free(
    tmp_path: Path,
) -> None:
    async with asyncio.timeout(80):
        figures = await play(tmp_path, "all_pipelined", 128, 80, 384, deadline_s=40.0, play_s=60.0)
    assert figures.peak_mb < 80, figures
    assert figures.results == {"200": 128}, figures


@pytest.mark.timeout(60)
@pytest.mark.parametrize("kind", ["half_uploads", "hung_uploads", "long_readers", "mixed"])
async def test_what_the_kernel_holds_for_a_crowd_takes_a_process_over_its_limit(
    tmp_path: Path, kind: str
) -> None:
    figures = await play(tmp_path, kind, CROWD_CLIENTS, CROWD_MEMORY_MB, MAX_SOCKETS)
    assert figures.peak_with_program_mb < CROWD_MEMORY_MB, figures


@pytest.mark.timeout(60)
@pytest.mark.parametrize(("clients", "memory_mb"), [(CROWD_CLIENTS, CROWD_MEMORY_MB), (340, MIN_MEMORY_MB)])
async def test_answers_that_nobody_reads_take_a_process_over_its_limit_in_the_kernel(
    tmp_path: Path, clients: int, memory_mb: int
) -> None:
    figures = await play(tmp_path, "unread_answers", clients, memory_mb, MAX_SOCKETS)
    assert figures.peak_with_kernel_mb < memory_mb, figures


@pytest.mark.timeout(60)
@pytest.mark.parametrize("kind", ["half_uploads", "long_readers", "mixed"])
async def test_a_crowd_that_is_there_before_a_killed_process_listens_takes_it_over_its_limit(
    tmp_path: Path, kind: str
) -> None:
    figures = await play_restarts(tmp_path, kind, CROWD_CLIENTS, CROWD_MEMORY_MB, MAX_SOCKETS)
    assert figures.peak_with_program_mb < CROWD_MEMORY_MB, figures

"""What one process holds is bounded as a sum over all its connections, in both directions."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from pathlib import Path

import pytest

from anisespool import http1
from anisespool.memory_budget import Holding, MemoryBudget
from tests.memory_crowd import play

SOCKETS = 1024
BODY_CHUNKS = b"1\r\nx\r\n" * 30_000


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    ("kind", "clients", "memory_mb"),
    [
        ("small_chunks", 128, 32), ("slow_bodies", 128, 32), ("short_fields", 128, 32),
        ("repeated_fields", 128, 32), ("long_pipelines", 128, 32), ("short_pipelines", 128, 32),
        ("slow_readers", 300, 36),
    ],
)  # fmt: skip
async def test_a_crowd_does_not_take_a_process_over_its_memory_limit(
    tmp_path: Path, kind: str, clients: int, memory_mb: int
) -> None:
    """review/7, and the first picture of issue 47: nothing bounded the sum, nor counted the objects."""
    figures = await play(tmp_path, kind, clients, memory_mb, SOCKETS)
    assert figures.peak_mb < memory_mb, figures
    assert figures.results["TimeoutError"] == 0, figures


def test_a_head_of_many_short_fields_is_counted_as_it_was_sent_and_not_kept() -> None:
    parser = http1.RequestParser()
    parser.feed(b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: t1\r\n" + b"a:\r\n" * 2000)
    assert parser.held_bytes < 1000
    parser.feed(b"a:\r\n" * 2000)
    assert parser.error == HTTPStatus.REQUEST_ENTITY_TOO_LARGE


def test_a_body_in_chunks_of_a_byte_takes_no_more_than_its_length() -> None:
    parser = http1.RequestParser()
    parser.feed(b"POST /once/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + BODY_CHUNKS)
    assert 30_000 <= parser.held_bytes < 31_000
    answer = http1.ResponseParser()
    answer.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + BODY_CHUNKS)
    assert 30_000 <= answer.held_bytes < 31_000


def test_a_budget_lets_those_read_first_that_have_waited_longest() -> None:
    budget, resumed = MemoryBudget(1 << 20), list[int]()
    holding = Holding(budget)
    holding.set(1 << 20)
    waiting = [partial(resumed.append, n) for n in range(20)]
    for resume in waiting:
        budget.wait(resume)
    budget.resume_waiting()
    assert budget.is_exhausted and budget.is_short and not resumed
    holding.set(1 << 19)
    budget.resume_waiting()
    assert resumed == list(range(8))  # one read each of what is free
    budget.cancel_wait(waiting[8])
    budget.resume_waiting()
    assert resumed[8:] == list(range(9, 17))


def test_reads_become_smaller_as_a_budget_runs_out() -> None:
    budget = MemoryBudget(1 << 20)
    holding, sizes = Holding(budget), list[int]()
    for held_bytes in (0, 1 << 19, (1 << 20) - 8192, 1 << 20, 1 << 21):
        holding.set(held_bytes)
        sizes.append(budget.read_bytes)
    assert sizes == [65536, 65536, 2048, 1024, 1024]

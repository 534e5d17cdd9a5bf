"""What one process holds is bounded as a sum over all its connections, in both directions."""

from __future__ import annotations

import os
from http import HTTPStatus
from pathlib import Path
from typing import ClassVar

import pytest

from anisespool import http1, memory_monitor
from anisespool.http1.messages import MAX_KEPT_HEAD_BYTES
from anisespool.memory_budget import MAX_READ_BYTES, Holding, MemoryBudget, Priority
from anisespool.memory_monitor import (
    LIST_WORK_BYTES,
    MARGIN_SHARE,
    OTHER_MARGIN_SHARE,
    Account,
    MemoryMonitor,
)
from anisespool.process_memory import ResidentMemory, files_bytes
from anisespool.state import tables
from anisespool.state.records import Record
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


def test_a_head_that_repeats_a_field_without_end_is_too_long_in_memory_before_it_is_as_sent() -> None:
    parser = http1.RequestParser()
    parser.feed(b"GET /look/1 HTTP/1.1\r\n" + b"X-Trace-Id:\r\n" * 200)
    assert not parser.error
    parser.feed(b"X-Trace-Id:\r\n" * 200)
    assert HTTPStatus(parser.error) is HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert parser.held_bytes < MAX_KEPT_HEAD_BYTES + 1000


def test_a_body_that_is_dropped_ends_with_its_last_byte_and_the_next_request_is_read() -> None:
    parser = http1.RequestParser()
    parser.feed(b"POST /once/1 HTTP/1.1\r\nContent-Length: 30000\r\n\r\n" + b"x" * 10_000)
    assert parser.buffered_body_limit_bytes == 30_000
    parser.refuse_body()
    assert parser.buffered_body_limit_bytes == 0 and parser.held_bytes < 1000
    refused, following = parser.feed(b"x" * 20_000 + b"GET /look/1 HTTP/1.1\r\n\r\n")
    assert refused.is_refused and not refused.body
    assert not following.is_refused and following.method == b"GET"


class Body:
    """A connection that waits for a body of 64 KiB, as the budget sees it."""

    resumed: ClassVar[list[int]] = []

    def __init__(self, budget: MemoryBudget, number: int, priority: Priority = Priority.NEXT) -> None:
        self.holding, self.number = Holding(budget), number
        budget.wait(self.resume, MAX_READ_BYTES, priority)

    def resume(self) -> None:
        self.holding.set(MAX_READ_BYTES)
        self.resumed.append(self.number)


def test_a_budget_lets_those_read_first_that_have_waited_longest_and_none_that_does_not_fit() -> None:
    budget, resumed = MemoryBudget(1 << 20), Body.resumed
    resumed.clear()
    held = Holding(budget)
    held.set(1 << 20)
    ahead = [Body(budget, n, Priority.READ_AHEAD) for n in range(100, 110)]
    bodies = [Body(budget, n) for n in range(20)]
    budget.resume_waiting()
    assert budget.is_exhausted and budget.is_short and not resumed and budget.waiting == 30
    held.set(1 << 19)  # of the other half an eighth of all stays free
    budget.resume_waiting()
    assert resumed == list(range(5))
    for body in bodies[:5]:
        body.holding.release()
        body.holding.set(1 << 20)  # nothing any more
    budget.cancel_wait(bodies[5].resume)
    budget.resume_waiting()
    assert resumed[5:] == list(range(6, 11))
    held.release()
    for body in bodies:
        budget.cancel_wait(body.resume)
    budget.resume_waiting()
    assert resumed[10:] == [100, 101]  # half of all stays free
    assert budget.waiting == len(ahead) - 2


def test_reads_become_smaller_as_a_budget_runs_out() -> None:
    budget = MemoryBudget(1 << 20)
    holding, sizes = Holding(budget), list[int]()
    for held_bytes in (0, 1 << 19, (1 << 20) - (1 << 17) - 16_384, 1 << 20, 1 << 21):
        holding.set(held_bytes)
        sizes.append(budget.read_bytes)
    assert sizes == [65536, 49152, 2048, 1024, 1024]


def test_what_nobody_reports_leaves_less_but_never_nothing() -> None:
    budget = MemoryBudget(1 << 20)
    budget.unaccounted_bytes = 1 << 19
    assert budget.free_bytes == 1 << 19
    budget.unaccounted_bytes = 1 << 30  # the allocator has it, and new objects are made of it
    assert budget.free_bytes == 1 << 17
    Holding(budget).set(1 << 17)
    assert budget.is_exhausted
    budget.set_limit(1 << 20, 1 << 18)
    assert budget.free_bytes == 1 << 17


@pytest.mark.parametrize("limit_mb", [32, 64, 192])
@pytest.mark.parametrize("other_mb", [0, 14])
@pytest.mark.parametrize("servers", [0, 200])
def test_all_parts_of_an_account_and_the_margins_are_the_limit(
    limit_mb: int, other_mb: int, servers: int
) -> None:
    limit, at_rest, files = limit_mb * 10**6, 14 * 10**6, 200_000
    account = Account(limit, at_rest, at_rest, other_mb * 10**6, files, servers)
    margins = limit // MARGIN_SHARE + servers * LIST_WORK_BYTES
    margins += limit // OTHER_MARGIN_SHARE if other_mb else 0
    parts = account.for_connections + at_rest + other_mb * 10**6 + files + margins
    assert parts == limit


@pytest.mark.parametrize(
    ("limit_mb", "other_mb", "left_mb"), [(64, 0, 40.0), (64, 14, 25.0), (32, 0, 9.0), (32, 14, 2.5)]
)
def test_program_files_count_where_the_limit_leaves_room_beside_them(
    limit_mb: int, other_mb: int, left_mb: float
) -> None:
    limit, at_rest, program = limit_mb * 10**6, 14 * 10**6, 8 * 10**6
    account = Account(limit, at_rest, at_rest, other_mb * 10**6, 0, program=program)
    assert account.for_connections == left_mb * 10**6


def test_a_process_larger_than_its_limit_still_serves_a_little() -> None:
    account = Account(8 * 10**6, 14 * 10**6, 14 * 10**6, 0, 0)
    assert account.for_connections == account.min_for_connections == 62_500


def test_the_monitor_counts_files_and_the_other_process_and_asks_for_memory_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(memory_monitor, "SAMPLE_INTERVAL_S", 0.0)
    monkeypatch.setattr(memory_monitor, "SLOW_SAMPLE_INTERVAL_S", 0.0)
    own_bytes = ResidentMemory(os.getpid()).read_bytes()
    budget, others, released = MemoryBudget(0), [0], list[int]()
    limit = 2 * own_bytes + 64 * 10**6
    monitor = MemoryMonitor(
        budget, limit, lambda: 10**6, lambda: 0, lambda: others[0], released.append, expects_upgrade=False
    )
    monitor.start()
    alone = budget.limit_bytes
    assert monitor.account.program > 10**6
    assert alone == limit - monitor.account.at_rest - 10**6 - limit // MARGIN_SHARE - monitor.account.program
    others[0] = os.getpid()
    budget.refresh()
    assert alone - budget.limit_bytes >= own_bytes // 2
    assert not released
    Holding(budget).set(2 * limit)
    budget.refresh()
    assert released and released[0] >= limit // 2


def test_files_of_this_sidecar_count_and_no_others(tmp_path: Path) -> None:
    for name in ("sailbridge-n0.sqlite", "sailbridge-n0.sqlite-wal", "anisespool-n0.ids", "sailbridge-n1.x"):
        (tmp_path / name).write_bytes(b"x" * 10_000)
    counted = files_bytes([tmp_path, tmp_path / "nowhere"], ("sailbridge-n0.", "anisespool-n0."))
    assert 30_000 <= counted < 40_000


def test_the_write_ahead_log_of_the_store_does_not_grow_with_the_writes(tmp_path: Path) -> None:
    connection = tables.connect(tmp_path / "store.sqlite")
    tables.prepare(connection)
    for n in range(300):
        record = Record("learned", f"s-{n}", n, 10**15, "x" * 2000)
        tables.put_records(connection, "n0", [record])
    connection.execute("SELECT count(*) FROM records").fetchone()
    assert (tmp_path / "store.sqlite-wal").stat().st_size < 3 * tables.LOG_PAGES * tables.PAGE_BYTES

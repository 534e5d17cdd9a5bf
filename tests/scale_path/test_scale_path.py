"""The quick form of the measurement: checks what it counts and how it plans, whatever the speed of the
machine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from statistics import mean, pstdev

import pytest

from tests.net import OK, Endpoint
from tests.scale_path.figures import (
    FIRST_ON_CONNECTION,
    SEND_DELAY,
    SPAN_NS,
    Row,
    calm,
    fit_line,
    make_run,
    quantiles_ms,
    yardstick_ms,
)
from tests.scale_path.generator import Generator, Plan, Result, arrival_times
from tests.scale_path.order_servers import Body, encode, trace_of
from tests.scale_path.sidecar import Setting, sidecar

RATE, SECONDS = 90.0, 0.8


async def generated(plan: Plan) -> Result:
    return await asyncio.to_thread(lambda: Generator(plan).run())


def answer(trace: bytes, received_ns: int = 0) -> bytes:
    received_ns = received_ns or time.monotonic_ns()
    body = encode(Body(trace, received_ns, received_ns, False))
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def test_each_call_through_a_real_sidecar_is_answered_once_by_an_order_server(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with sidecar(tmp_path, Setting(real=3, listed=30, fleet=2)) as sidecar_process:
        before = sidecar_process.usage()
        result = await sidecar_process.through(RATE, SECONDS, seed=7, arrivals="fixed")
        run = make_run(result, sidecar_process.usage().since(before), 0, yardstick_ms())
    assert result.planned == round(RATE * SECONDS) == run.answered == len(result.rows)
    assert set(run.counts) <= {"answered", "opened", "unanswered", "closed between calls"}
    assert run.counts["unanswered"] == 0
    # The sidecar selects among 12 servers at least, each with its own connections; the generator has four.
    assert 12 <= sum(row[FIRST_ON_CONNECTION] for row in result.rows) < run.answered
    assert min(row[SEND_DELAY] for row in result.rows) >= 0
    assert 0 < run.used.cpu_s < run.used.at_s
    with capsys.disabled():
        cpu_ms = run.used.cpu_s * 1e3 / run.answered
        print(f" [CPU {cpu_ms:.2f} ms a call, yardstick {run.yardstick_ms:.2f} ms] ", end="")


async def test_calls_are_sent_as_planned_though_none_is_answered() -> None:
    """A generator that waited for answers would never send the last call."""
    plan, all_came = Plan([], 40.0, 0.5, seed=3), asyncio.Event()
    count = len(arrival_times(plan))

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        trace = server.requests[-1].headers[b"x-trace-id"]
        if len(server.requests) == count:
            all_came.set()
        await all_came.wait()
        writer.write(answer(trace))

    async with (server := Endpoint(handler)).serve():
        result = await generated(Plan([server.address.port], 40.0, 0.5, seed=3))
    assert result.planned == count == result.counts["answered"] > 10
    assert len(server.connections) == count == result.counts["opened"] + 1


@pytest.mark.parametrize(
    ("response", "counted"),
    [
        (lambda trace: answer(b"another"), "wrong body"),
        (lambda trace: answer(trace, received_ns=1), "wrong body"),  # before the call was sent
        (lambda trace: OK, "wrong body"),
        (lambda trace: b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "status 503"),
        (lambda trace: b"HTTP/1.1 200 OK\r\nContent-Le", "broken"),
    ],
    ids=["another's", "too early", "no such body", "a refusal", "half an answer"],
)
async def test_a_call_answered_wrongly_is_counted_by_what_was_wrong(
    response: Callable[[bytes], bytes], counted: str
) -> None:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(response(server.requests[-1].headers[b"x-trace-id"]))
        if counted == "broken":
            writer.close()

    async with (server := Endpoint(handler)).serve():
        result = await generated(Plan([server.address.port], 80.0, 0.05, seed=1, arrivals="fixed"))
    assert result.planned == 4 == result.counts[counted] and not result.rows


async def test_a_second_answer_is_counted() -> None:
    """It is written before the last call's answer, so that it has arrived by the end."""
    both_came = asyncio.Event()

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        trace = answer(server.requests[-1].headers[b"x-trace-id"])
        if len(server.requests) == 1:
            await both_came.wait()
            writer.write(trace)
            await asyncio.sleep(0.05)  # usually read by then; otherwise the first answer is too long
            writer.write(trace)
            both_came.clear()
        else:
            both_came.set()
            while both_came.is_set():
                await asyncio.sleep(0.001)
            writer.write(trace)

    async with (server := Endpoint(handler)).serve():
        result = await generated(Plan([server.address.port], 20.0, 0.1, seed=1, arrivals="fixed"))
    assert result.planned == 2
    assert result.counts.get("second answer", 0) + result.counts.get("wrong body", 0) >= 1


async def test_a_close_just_before_a_call_costs_one_more_connection_and_no_answer() -> None:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if (reader, writer) in server.connections[:2]:
            writer.close()
            return
        writer.write(answer(server.requests[-1].headers[b"x-trace-id"]))

    async with (server := Endpoint(handler)).serve():
        plan = Plan([server.address.port], 80.0, 0.05, seed=1, arrivals="fixed", connections=2)
        result = await generated(plan)
    # Retried on a new connection, as the other idle one is about to be closed as well.
    assert result.counts["answered"] == 4 and result.counts["sent once more"] >= 1
    assert "broken" not in result.counts


def test_planned_moments_come_from_the_seed_at_the_rate_and_spread_as_poisson_arrivals_do() -> None:
    found = arrival_times(Plan([1], 200.0, 50.0, seed=5))
    assert (
        found
        == arrival_times(Plan([1], 200.0, 50.0, seed=5))
        != arrival_times(Plan([1], 200.0, 50.0, seed=6))
    )
    gaps = [after - before for before, after in pairwise(found)]
    assert min(gaps) >= 0 and abs(len(found) - 10_000) < 400  # four deviations of a Poisson count
    assert pstdev(gaps) == pytest.approx(mean(gaps), rel=0.05)
    assert arrival_times(Plan([1], 4.0, 1.0, 5, "fixed")) == [
        250_000_000,
        500_000_000,
        750_000_000,
        1_000_000_000,
    ]


def test_figures_of_known_values() -> None:
    calls: list[Row] = [(0, 1, 1, 1, False, 10), (200_000, 1, 1, 1, False, 20), (0, 2, 1, 1, False, SPAN_NS)]
    assert calm(calls) == calls[2:] and calm(calls[::2]) == calls[::2]
    values = range(1_000_000, 1_001_000_000, 1_000_000)
    assert quantiles_ms(values) == pytest.approx([100, 500, 990, 999], rel=2e-3)
    line = fit_line([(50.0, 0.06), (100.0, 0.11), (200.0, 0.21), (400.0, 0.41)])
    assert (line.slope, line.base, line.deviation) == pytest.approx((0.001, 0.01, 0.0), abs=1e-12)
    assert line.full_at == pytest.approx(990)


def test_the_id_of_a_request_is_found_whatever_the_case_of_the_headers_name() -> None:
    assert trace_of(b"GET / HTTP/1.1\r\nx-TRACE-id: 9b1f \r\nHost: a") == b"9b1f"
    assert trace_of(b"GET / HTTP/1.1\r\nHost: a") == b""

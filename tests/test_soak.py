"""The soak test with fixed seeds, about a minute on four workers, and tests of its rule checker."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.soak.clients import is_reset
from tests.soak.discovery import History
from tests.soak.plan import GRACE_S, draw_plan
from tests.soak.record import ClientRequest, End, ProcessRun, Received, Record
from tests.soak.rule_checker import RuleChecker
from tests.soak.run_plan import run_plan
from tests.soak.servers import Server

SEEDS = (5, 7, 13, 17, 18, 24)  # seeds with which the release of 2026-12-02 violated a rule


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", SEEDS)
async def test_no_rule_is_broken_under_faults_drawn_from_the_seed(seed: int, tmp_path: Path) -> None:
    outcome = await run_plan(draw_plan(seed), tmp_path)
    print(outcome)
    assert outcome.violations == []
    served = outcome.answers.get(200, 0)
    assert served > outcome.requests / 2  # otherwise the run would not exercise the rules


class Scenario:
    """One process and one server, s-0, which drains with revision 1 at 10 s."""

    def __init__(self) -> None:
        self.plan, self.history, self.record = draw_plan(1), History(), Record()
        self.plan.lag_s = 0.0
        server = Server(0, 1, self.record)
        self.history.states = [
            {"s-0": {"id": "s-0", "phase": "up", "up_since_ms": 0}},
            {"s-0": {"id": "s-0", "phase": "draining", "up_since_ms": 0}},
        ]
        self.history.published_s, self.server = [0.0, 10.0], server
        self.record.process_runs[0] = [ProcessRun(0.5, 1.0)]

    def client_request(
        self, trace: str, at_s: float, end: End, after_s: float = 0.1, cls: str = "look"
    ) -> ClientRequest:
        request = ClientRequest(trace, cls, 0, 0, at_s, 1.0, True, end, at_s + after_s, 200)
        self.record.requests[trace] = request
        return request

    def server_received(
        self, trace: str, at_s: float, announced_s: float = 0.5, never_ran: bool = False
    ) -> None:
        self.record.received.append(Received(0, 0, at_s, trace, announced_s, never_ran))

    def violations(self) -> list[str]:
        found = RuleChecker(self.plan, self.history, self.record).violations()
        return [text.partition(":")[0] for text in found]


@pytest.mark.parametrize(
    ("written", "at_s", "violations"),
    [(True, 10.4, []), (True, 10.8, ["drain"]), (False, 16.4, []), (False, 16.8, ["drain"])],
)
def test_checker_reports_a_request_after_the_drain_grace(
    written: bool, at_s: float, violations: list[str]
) -> None:
    scenario = Scenario()
    if written:
        scenario.record.record_write(0, 1, 10.0)
    scenario.client_request("a", at_s, End.ANSWERED)
    scenario.server_received("a", at_s)
    assert scenario.violations() == violations
    scenario.record.outages.append((10.0, 30.0))  # discovery was unreachable meanwhile
    assert scenario.violations() == (violations if written else [])


def test_checker_reports_lost_requests_late_answers_and_attempts_without_client() -> None:
    scenario = Scenario()
    scenario.client_request("served", 2.0, End.ANSWERED)
    scenario.client_request("late", 2.0, End.ANSWERED, after_s=1.8)
    scenario.client_request("closed", 2.0, End.CLOSED, after_s=0.5)
    scenario.client_request("left", 2.0, End.LEFT, after_s=0.1)
    scenario.server_received("left", 2.35)
    scenario.server_received("unasked", 2.0)
    scenario.client_request("told", 2.0, End.ANSWERED)
    scenario.server_received("told", 2.6, announced_s=0.7)
    assert sorted(scenario.violations()) == ["deadline", "duplicate", "lost", "lost", "lost"]


def test_checker_excuses_requests_cut_off_by_a_kill_but_not_late_ones_before_a_planned_kill() -> None:
    scenario = Scenario()
    run = scenario.record.process_runs[0][0]
    run.term_s, run.killed_s = 5.0, 6.7
    scenario.client_request("early", 5.6, End.CLOSED, after_s=1.1)
    assert scenario.violations() == []
    scenario.client_request("late", 5.8, End.CLOSED, after_s=0.9)
    assert scenario.violations() == ["lost"]
    run.term_s = float("inf")
    assert scenario.violations() == []


@pytest.mark.parametrize("is_read", [False, True])
def test_client_tells_a_request_that_crossed_the_closing_from_one_that_was_read(is_read: bool) -> None:
    """Both end in an orderly way. The first was written to a closed connection, which resets it; seed 24 was
    reported as lost for one."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as client,
    ):
        accepted, _ = listener.accept()
        if not is_read:
            accepted.close()
        client.sendall(b"request")
        if is_read:
            assert accepted.recv(100) == b"request"
            accepted.close()
        assert client.recv(100) == b""
        assert is_reset(client) is not is_read


def test_checker_excuses_an_unread_first_request_only_if_its_connection_was_reset() -> None:
    scenario = Scenario()
    crossed = scenario.client_request("crossed", 2.0, End.CLOSED, after_s=0.01)
    assert scenario.violations() == ["lost"]
    crossed.was_reset = True
    assert scenario.violations() == []
    scenario.server_received("crossed", 2.0)
    assert scenario.violations() == ["lost"]


def test_checker_reports_duplicate_runs_unless_the_server_rejected_the_request() -> None:
    scenario = Scenario()
    scenario.client_request("twice", 2.0, End.ANSWERED, cls="once")
    scenario.server_received("twice", 2.0, never_ran=True)
    scenario.server_received("twice", 2.1)
    assert scenario.violations() == []
    scenario.server_received("twice", 2.2)
    assert scenario.violations() == ["duplicate"]


def test_checker_reports_an_overloaded_cold_server() -> None:
    scenario = Scenario()
    for n, at_s in enumerate([5.0] * 62 + [5.5] * 20):
        scenario.client_request(f"r{n}", at_s, End.ANSWERED)
        scenario.record.received.append(Received(1, 7, at_s, f"r{n}", 0.5))
    scenario.history.states.append({"s-1": {"id": "s-1", "phase": "up", "up_since_ms": 7}})
    scenario.history.published_s.append(4.9)
    assert scenario.violations() == []  # 62.5 + 2 * sqrt(62.5) + 2 = 80.3, and more at an age of 0.1 s
    scenario.client_request("more", 5.6, End.ANSWERED)
    for n in range(3):
        scenario.record.received.append(Received(1, 7, 5.6 + n / 100, "more", 0.5))
    assert scenario.violations() == ["failback"]


def test_a_plan_is_the_same_for_the_same_seed_and_has_the_rules_own_grace() -> None:
    assert draw_plan(5) == draw_plan(5) != draw_plan(6)
    assert draw_plan(5).settings()["guarantees__drain_grace_ns"] == GRACE_S * 10**9

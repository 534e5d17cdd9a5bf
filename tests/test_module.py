"""The decision module as a whole: code limits, imports, log, determinism and bounded state."""

from __future__ import annotations

import ast
import os
import random
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

from shuntlead import interface as api
from shuntlead.interface import EndpointState, Status
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
)

ROOT = Path(__file__).parent.parent
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def test_module_limits() -> None:
    """Limits the length of each policy file and each function."""
    texts = [path.read_text() for path in POLICY]
    assert all(text.count("\n") <= 250 for text in texts)
    functions = [node for text in texts for node in ast.walk(ast.parse(text))
                 if isinstance(node, ast.FunctionDef)]  # fmt: skip
    longest = max(functions, key=lambda node: (node.end_lineno or 0) - node.lineno)
    assert (longest.end_lineno or 0) - longest.lineno < 45, longest.name


def test_policy_modules_import_only_lower_modules_and_the_standard_library() -> None:
    """Guards against sockets, clocks and circular imports in the decision code."""
    modules = [f"shuntlead.{path.stem}" for path in POLICY]
    for n, path in enumerate(POLICY):
        imported = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                imported |= {name.name for name in node.names}
            elif isinstance(node, ast.ImportFrom):
                imported.add(str(node.module))
        internal = {m for m in imported if m.partition(".")[0] not in sys.stdlib_module_names}
        assert internal <= {*modules[n + 1 :], "shuntlead", "shuntlead.interface", "shuntlead.peer_codec"}, (
            path
        )
        assert not imported & {"time", "datetime", "os", "threading", "socket", "asyncio"}


def test_repeated_failures_are_logged_at_a_limited_rate() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    lines: list[str] = []
    for _ in range(200):
        sidecar._last += 1
        actions = sidecar.balancer.handle(sidecar.now, api.Request(sidecar._last, 2, 2 * SECOND))
        for send in sends(actions):
            event = api.Outcome(send.request, send.endpoint, 0, MS, Status.ERROR, False)
            actions += sidecar.balancer.handle(sidecar.now, event)
        lines += [a.text for a in actions if isinstance(a, api.Log)]
        sidecar.now += 20 * MS
    assert 1 <= len(lines) <= 3
    assert lines[0].startswith("failing: endpoint ")


def test_each_topic_of_the_log_is_in_the_readme() -> None:
    page = (ROOT / "README.md").read_text()
    topics = {
        str(node.args[0].value)
        for path in POLICY
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and getattr(node.func, "attr", "") == "log"
        and isinstance(node.args[0], ast.Constant)
    }  # fmt: skip
    assert len(topics) >= 4
    for topic in topics:
        assert f"`{topic}:`" in page, topic


def replay(seed: int) -> list[api.Action]:
    draw = random.Random(seed)
    sidecar = Sidecar([listed(n * 101, zone=n % 2) for n in range(1, 8)], seed=seed)
    log: list[Any] = []
    for _ in range(300):
        actions = sidecar.request(draw.randrange(3), key=draw.randrange(1 << 60))
        log += actions
        sidecar.now += draw.randrange(40) * MS
        for send in sends(actions):
            log += sidecar.outcome(send, draw.choice((Status.OK, Status.OK, Status.ERROR)))
    return log


def test_same_events_same_actions_whatever_the_hash_seed() -> None:
    code = "from tests.test_module import replay; print(hash(tuple(map(repr, replay(3)))) and replay(3))"
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("0", "1", "77")
    }  # fmt: skip
    assert len(outputs) == 1
    assert outputs == {(repr(replay(3)) + "\n").encode()}


def test_modules_in_one_process_are_independent() -> None:
    alone = replay(5)
    sidecar = Sidecar([listed(1)])
    sidecar.serve(10)
    assert replay(5) == alone


def test_state_stays_bounded() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    for n in range(3000):
        pending, attempt = sidecar.request(key=n), 0
        while pending:
            action = pending.pop(0)
            if isinstance(action, api.SetTimer):
                pending += sidecar.balancer.handle(sidecar.now, api.Timer(action.token))
            elif isinstance(action, api.Send):
                pending += sidecar.outcome(action, Status.OK if n % 5 else Status.RESET, attempt=attempt)
                attempt += 1
        sidecar.now += 10 * MS
        sidecar.apply_list([listed(1000 + n), listed(1000 + n - 5, state=EndpointState.GONE)])
    assert len(sidecar.balancer.endpoints) < 20
    assert len(sidecar.balancer.pending) < 20
    assert len(sidecar.balancer.ctx.timers) < 50


def test_hundreds_of_endpoints() -> None:
    sidecar = Sidecar([listed(n) for n in range(500)])
    assert len(sidecar.serve(50)) == 50

"""The plan of a soak run, drawn entirely from the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from tests.support import MS, SECOND, raw_settings

GRACE_S = 0.5  # drain grace in the settings of the soak
LENGTH_S = 22.0
FIRST_FAULT_S = 1.5  # before the first fault
MIN_UP_SERVERS = 2  # servers that never drain


class Fault(Enum):
    """A fault of discovery, for some or all processes."""

    SILENT = auto()  # open watches send nothing more
    RESET = auto()  # open watches are reset
    ENDS = auto()  # open watches end instead of sending the next change
    REFUSED = auto()  # watches end and calls are answered with 503
    HUNG = auto()  # watches end and calls are not answered
    DOWN = auto()  # watches and calls are reset


OUTAGES = (Fault.REFUSED, Fault.HUNG, Fault.DOWN)


class ProcessFault(Enum):
    """An event for a sidecar process."""

    TERMINATE = auto()  # SIGTERM, SIGKILL at the earliest permitted time, restart
    KILL = auto()  # SIGKILL, restart with an empty state folder
    MOVE = auto()  # SIGHUP, with the other discovery address configured
    MOVE_HALF = auto()  # as MOVE, with the file half written at the signal
    STALL = auto()  # SIGSTOP for up to 0.15 s
    CROWD = auto()  # more idle clients than it has descriptors


@dataclass(frozen=True)
class DiscoveryFault:
    at_s: float
    kind: Fault
    length_s: float  # of an outage
    spared: int | None  # the unaffected process; None: all are affected


@dataclass(frozen=True)
class ProcessEvent:
    at_s: float
    kind: ProcessFault
    process: int


@dataclass(frozen=True)
class ServerEvent:
    """A server drains for `drains_s`, is removed for `away_s`, and returns as a new process."""

    at_s: float
    server: int
    drains_s: float
    away_s: float
    hangs: bool  # it stops answering when the drain begins


@dataclass
class Plan:
    seed: int
    processes: int
    servers: int
    deadline_s: float
    clients: int  # per process
    think_s: float  # a client's mean pause between requests
    abandon_rate: float  # fraction of requests whose client disconnects before the answer
    loss: float  # fraction of datagrams lost between processes
    cpu_share: float  # of a core per process; 1.0: unlimited
    lag_s: float  # delay of discovery's second address
    full_list_rate: float  # fraction of calls answered with the full list
    omits_draining: bool  # full lists omit draining servers
    faults: list[DiscoveryFault] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    changes: list[ServerEvent] = field(default_factory=list)

    def settings(self) -> dict[str, Any]:
        """Returns changes for tests.support.raw_settings."""
        times = {
            "deadline-ns": int(self.deadline_s * SECOND),
            "target-ns": int(0.5 * self.deadline_s * SECOND),
        }
        classes = [row | times | {"late-worth": 0.5} for row in raw_settings()["request-classes"]]
        return {
            "request_classes": classes,
            "guarantees__drain_grace_ns": int(GRACE_S * SECOND),
            "allowed__connect_timeout_ns": 200 * MS,
        }


def draw_plan(seed: int) -> Plan:
    rng = random.Random(seed)
    short = rng.random() < 0.5
    plan = Plan(
        seed=seed,
        processes=rng.randint(2, 5),
        servers=rng.randint(5, 8),
        deadline_s=rng.uniform(0.3, 0.9) if short else rng.uniform(1.5, 5.0),
        clients=rng.randint(4, 8),
        think_s=rng.uniform(0.08, 0.2),
        abandon_rate=rng.choice((0.0, 0.05)),
        loss=rng.choice((0.0, 0.1, 0.3)),
        cpu_share=rng.choice((1.0, 1.0, 1.0, 0.25)),
        lag_s=rng.choice((0.0, 0.0, 1.0, 2.0, 4.0)),
        full_list_rate=rng.choice((0.1, 0.9)),
        omits_draining=rng.random() < 0.5,
    )
    plan.changes = _changes(rng, plan)
    plan.faults = _faults(rng, plan)
    plan.process_events = _process_events(rng, plan)
    return plan


def _changes(rng: random.Random, plan: Plan) -> list[ServerEvent]:
    """Replaces servers one after another, so that enough are up at any time."""
    changes, at_s = [], FIRST_FAULT_S
    for n in rng.sample(range(MIN_UP_SERVERS, plan.servers), plan.servers - MIN_UP_SERVERS):
        at_s += rng.uniform(0.3, 4.0)
        hangs = rng.random() < 0.2
        drains_s, away_s = rng.uniform(1.0, 8.0), rng.uniform(0.5, 4.0)
        changes.append(ServerEvent(at_s, n, drains_s, away_s, hangs))
    return changes


def _faults(rng: random.Random, plan: Plan) -> list[DiscoveryFault]:
    faults, at_s = [], FIRST_FAULT_S
    while (at_s := at_s + rng.uniform(0.2, 4.0)) < LENGTH_S - 4.0:
        kind = rng.choice(list(Fault))
        spared = rng.randrange(plan.processes) if rng.random() < 0.5 else None
        length_s = rng.uniform(0.5, 9.0) if kind in OUTAGES else 0.0
        faults.append(DiscoveryFault(at_s, kind, length_s, spared))
        at_s += length_s
    return faults


def _process_events(rng: random.Random, plan: Plan) -> list[ProcessEvent]:
    kinds = [
        ProcessFault.TERMINATE,
        ProcessFault.TERMINATE,
        ProcessFault.KILL,
        ProcessFault.MOVE,
        ProcessFault.MOVE,
        ProcessFault.MOVE_HALF,
        ProcessFault.STALL,
        ProcessFault.CROWD,
    ]
    process_events, at_s = [], FIRST_FAULT_S
    while (at_s := at_s + rng.uniform(0.1, 3.0)) < LENGTH_S - 5.0:
        process_events.append(ProcessEvent(at_s, rng.choice(kinds), rng.randrange(plan.processes)))
    return process_events

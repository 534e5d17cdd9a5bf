"""What a soak plays: everything is drawn from the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from tests.support import MS, SECOND, raw_settings

GRACE_S = 0.5  # of the rule on drains, as the settings of the soak have it
LENGTH_S = 22.0
QUIET_S = 1.5  # before the first fault
LEAST_UP = 2  # servers that are always in use


class Fault(Enum):
    """What happens to discovery, for some of the processes or all."""

    SILENT = auto()  # the watches that are open say nothing more
    RESET = auto()  # the watches that are open are reset
    ENDS = auto()  # the watches that are open end in place of telling the next change
    REFUSED = auto()  # and watches end: calls are answered 503
    HUNG = auto()  # and watches end: calls are not answered
    DOWN = auto()  # and watches are reset: calls are reset


OUTAGES = (Fault.REFUSED, Fault.HUNG, Fault.DOWN)


class Act(Enum):
    """What happens to a process."""

    TERMINATE = auto()  # SIGTERM, SIGKILL as soon as it may come, and a start
    KILL = auto()  # SIGKILL and a start with an empty disk
    MOVE = auto()  # SIGHUP: discovery at the other address
    MOVE_HALF = auto()  # ... with the file half written at the signal
    STALL = auto()  # stopped for up to 0.15 s
    CROWD = auto()  # idle clients, more than it has descriptors for


@dataclass(frozen=True)
class DiscoveryFault:
    at_s: float
    kind: Fault
    length_s: float  # of an outage
    spared: int | None  # the process that it does not concern; None: it concerns all


@dataclass(frozen=True)
class ProcessEvent:
    at_s: float
    act: Act
    process: int


@dataclass(frozen=True)
class ServerEvent:
    """A server drains, is removed so much later, and is back as a new process after that."""

    at_s: float
    server: int
    drains_s: float
    away_s: float
    hangs: bool  # it answers nothing from then on


@dataclass
class Plan:
    seed: int
    processes: int
    servers: int
    deadline_s: float
    clients: int  # of each process
    think_s: float  # a client's mean pause between two requests
    leaves: float  # part of the requests whose client does not wait for the answer
    loss: float  # part of the datagrams between processes
    share: float  # of a core for each process; 1.0: as much as it wants
    lag_s: float  # by which discovery's second address is behind
    whole: float  # part of the calls that are answered with the whole list
    leaves_out: bool  # whole lists leave out what drains
    faults: list[DiscoveryFault] = field(default_factory=list)
    acts: list[ProcessEvent] = field(default_factory=list)
    changes: list[ServerEvent] = field(default_factory=list)

    def settings(self) -> dict[str, Any]:
        """Changes of the tests' settings, as tests.support.raw_settings takes them."""
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


def draw(seed: int) -> Plan:
    rng = random.Random(seed)
    short = rng.random() < 0.5
    plan = Plan(
        seed=seed,
        processes=rng.randint(2, 5),
        servers=rng.randint(5, 8),
        deadline_s=rng.uniform(0.3, 0.9) if short else rng.uniform(1.5, 5.0),
        clients=rng.randint(4, 8),
        think_s=rng.uniform(0.08, 0.2),
        leaves=rng.choice((0.0, 0.05)),
        loss=rng.choice((0.0, 0.1, 0.3)),
        share=rng.choice((1.0, 1.0, 1.0, 0.25)),
        lag_s=rng.choice((0.0, 0.0, 1.0, 2.0, 4.0)),
        whole=rng.choice((0.1, 0.9)),
        leaves_out=rng.random() < 0.5,
    )
    plan.changes = _changes(rng, plan)
    plan.faults = _faults(rng, plan)
    plan.acts = _acts(rng, plan)
    return plan


def _changes(rng: random.Random, plan: Plan) -> list[ServerEvent]:
    """One server after another, so that enough are up at any time."""
    changes, at_s = [], QUIET_S
    for n in rng.sample(range(LEAST_UP, plan.servers), plan.servers - LEAST_UP):
        at_s += rng.uniform(0.3, 4.0)
        hangs = rng.random() < 0.2
        drains_s, away_s = rng.uniform(1.0, 8.0), rng.uniform(0.5, 4.0)
        changes.append(ServerEvent(at_s, n, drains_s, away_s, hangs))
    return changes


def _faults(rng: random.Random, plan: Plan) -> list[DiscoveryFault]:
    faults, at_s = [], QUIET_S
    while (at_s := at_s + rng.uniform(0.2, 4.0)) < LENGTH_S - 4.0:
        kind = rng.choice(list(Fault))
        spared = rng.randrange(plan.processes) if rng.random() < 0.5 else None
        length_s = rng.uniform(0.5, 9.0) if kind in OUTAGES else 0.0
        faults.append(DiscoveryFault(at_s, kind, length_s, spared))
        at_s += length_s
    return faults


def _acts(rng: random.Random, plan: Plan) -> list[ProcessEvent]:
    kinds = [Act.TERMINATE, Act.TERMINATE, Act.KILL, Act.MOVE, Act.MOVE, Act.MOVE_HALF, Act.STALL, Act.CROWD]
    acts, at_s = [], QUIET_S
    while (at_s := at_s + rng.uniform(0.1, 3.0)) < LENGTH_S - 5.0:
        acts.append(ProcessEvent(at_s, rng.choice(kinds), rng.randrange(plan.processes)))
    return acts

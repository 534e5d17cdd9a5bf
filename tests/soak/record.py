"""What is seen from outside the sidecars; times in monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

Row = dict[str, Any]


class End(Enum):
    """How a request ended for its client."""

    OPEN = auto()  # not yet
    ANSWERED = auto()
    LEFT = auto()  # the client closed its connection
    CLOSED = auto()  # the sidecar ended the connection, or the client gave up late, with no whole answer


@dataclass
class Asked:
    """One request, as its client wrote it; the last byte at `at_s`."""

    trace: str
    cls: str
    process: int
    life: int  # which of the process's lives
    at_s: float
    left_s: float
    is_first: bool  # on its connection
    end: End = End.OPEN
    end_s: float = 0.0
    status: int = 0
    was_reset: bool = False  # the connection ended at once, so that the request may not have been read


@dataclass
class Received:
    """A request as a server's stand-in received it."""

    server: int
    start_ms: int  # of the server's process
    first_byte_s: float
    trace: str = ""
    told_s: float = 0.0  # how long the sidecar will wait
    never_ran: bool = False  # it was turned away


@dataclass
class Life:
    """One process of a sidecar."""

    began_s: float
    ready_s: float = 0.0
    term_s: float = float("inf")  # SIGTERM
    killed_s: float = float("inf")  # SIGKILL
    ended_s: float = float("inf")
    status: int | None = None


@dataclass
class Record:
    asked: dict[str, Asked] = field(default_factory=dict)
    received: list[Received] = field(default_factory=list)
    lives: dict[int, list[Life]] = field(default_factory=dict)
    # By process: when a line that has this revision's change was written to it.
    written: dict[int, dict[int, float]] = field(default_factory=dict)
    moves: dict[int, list[float]] = field(default_factory=dict)  # by process: SIGHUP to the other address
    silences: dict[int, list[float]] = field(default_factory=dict)  # by process: a watch fell silent
    outages: list[tuple[float, float]] = field(default_factory=list)  # of discovery, for all processes

    def wrote(self, process: int, revision: int, at_s: float) -> None:
        """All up to this revision has been written to that process."""
        told = self.written.setdefault(process, {})
        for each in range(revision, -1, -1):
            if each in told:
                break
            told[each] = at_s

"""The bytes of discovery's lines: in the steady state, for a burst of changes and for a full list.

Bytes are counted at the IP level in both directions, with headers and acknowledgements. The budget is a
planned cost, not a link speed: traffic beyond it still arrives.
"""

from __future__ import annotations

import random
from math import ceil
from typing import NamedTuple

from anisespool.discovery.clock import HEARTBEAT_INTERVAL_S

BUDGET_BYTES_S = 13_000.0  # of control traffic per sidecar
MACHINES = 14  # machines of the control plane
LINK_BYTES_S = 125e6  # assumed for each machine: 1 Gbit/s
ROW_BYTES = 146  # of a server in discovery's JSON
FRAME_BYTES = 55 + 8  # of a line: revision, brackets, and the chunk's size
HEADER_BYTES, ACK_BYTES, SEGMENT_BYTES = 52, 52, 1448  # IP and TCP, with time stamps
CHANGES_S = 22_000 / 86_400
ZONES, RACK = 28, 40


def line_bytes(rows: int) -> int:
    """IP bytes of one line, in both directions."""
    body = FRAME_BYTES + ROW_BYTES * rows if rows else len(b"1\r\n\n\r\n")
    return body + (HEADER_BYTES + ACK_BYTES) * ceil(body / SEGMENT_BYTES)


class Steady(NamedTuple):
    size: int
    bytes_s: float  # a sidecar
    lines_s: float  # a sidecar
    all_lines_s: float  # of discovery
    machine_bytes_s: float


def steady(size: int, changes_s: float, seed: int, for_s: float = 3600.0) -> Steady:
    """Open watches: a line for each change, and an empty one after each 2 s without a change."""
    draw = random.Random(seed)
    now = total = 0.0
    lines = 0
    while now < for_s:
        wait = draw.expovariate(changes_s)
        empties = int(wait / HEARTBEAT_INTERVAL_S)
        lines += empties + 1
        total += empties * line_bytes(0) + line_bytes(1)
        now += wait
    bytes_s, lines_s = total / now, lines / now
    return Steady(size, bytes_s, lines_s, lines_s * size, bytes_s * size / MACHINES)


class Burst(NamedTuple):
    """The cost of sending rows to one sidecar and to all."""

    size: int
    rows: int
    lines: int
    bytes: int  # a sidecar
    budget_s: float  # of the byte budget
    link_s: float  # time on the links of all machines, for all `listeners`


def burst(size: int, rows: int, lines: int, listeners: int) -> Burst:
    each, more = divmod(rows, lines)
    total = more * line_bytes(each + 1) + (lines - more) * line_bytes(each)
    link_s = total * listeners / MACHINES / LINK_BYTES_S
    return Burst(size, rows, lines, total, total / BUDGET_BYTES_S, link_s)


def zone_rows(size: int) -> int:
    """Rows of a zone whose servers go and return within a second."""
    return 2 * ceil(size / ZONES)


def rows_missed(size: int, for_s: float, changes_s: float = CHANGES_S) -> int:
    """Rows in a change since an old revision, with one row for each changed server."""
    unchanged: float = (1 - 1 / size) ** (changes_s * for_s)
    return round(size * (1 - unchanged))

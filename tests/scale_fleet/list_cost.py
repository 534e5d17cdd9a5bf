"""CPU cost of discovery's lines in the real sidecar, from their bytes to the balancer's selection."""

from __future__ import annotations

import asyncio
import json
import logging
import statistics
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from anisespool.config import Address, load
from anisespool.discovery.object_decoder import ObjectDecoder
from anisespool.endpoints import Endpoints
from anisespool.sidecar import Sidecar
from tests.net import member, member_list, write_config
from tests.scale_fleet.lines import ZONES

PIECES = 1448, 65536  # bytes per read: a TCP segment, and a full read buffer
ROUNDS = 20


class ListCost(NamedTuple):
    """Milliseconds of CPU time."""

    size: int
    row_bytes: float
    read_segments_ms: float  # decoding the full list
    read_chunks_ms: float
    whole_ms: float  # applying the full list
    line_ms: float  # a change of one server
    zone_ms: float  # a change of a zone's servers, on one line


def row(n: int, phase: str = "up") -> dict[str, Any]:
    address = Address(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 5000)
    return member(f"s-{n * 2654435761 % 2**32:08x}", address, phase, locality=f"z{n % ZONES}", cell=n % 600,
                  up_since_ms=1_700_000_000_000 + n)  # fmt: skip


def _cpu_ms(do: Any, *args: Any) -> tuple[float, Any]:
    began = time.process_time()
    result = do(*args)
    return 1000 * (time.process_time() - began), result


def _read(data: bytes, piece: int) -> list[dict[str, Any]]:
    lines, found = ObjectDecoder(), []
    for at in range(0, len(data), piece):
        found += lines.feed(data[at : at + piece])
    return found


async def _measure(size: int, folder: Path) -> ListCost:
    config = load(write_config(folder, Address("127.0.0.1", 1), [], fleet_size=size))
    s = config.settings
    sidecar = Sidecar(config, Endpoints(s.report_columns, s.connect_timeout_ns, config.keepalive_ns, 80))

    def take(revision: int, rows: list[dict[str, Any]], complete: bool = False) -> None:
        data = json.dumps(member_list(revision, rows, complete)).encode() + b"\n"
        for raw in _read(data, PIECES[1]):
            sidecar.apply_list(config.names.member_list(raw))

    rows = [row(n) for n in range(size)]
    whole = json.dumps(member_list(1, rows)).encode() + b"\n"
    segments_ms, chunks_ms = (_cpu_ms(_read, whole, piece)[0] for piece in PIECES)
    whole_ms, _ = _cpu_ms(take, 1, rows, True)
    single = [_cpu_ms(take, n + 2, [row(n % size, "draining")])[0] for n in range(ROUNDS)]
    zone = [_cpu_ms(take, 100 + n, [row(m, "draining") for m in range(0, size, ZONES)])[0] for n in range(5)]
    return ListCost(size, len(whole) / size, segments_ms, chunks_ms, whole_ms, statistics.median(single),
                    statistics.median(zone))  # fmt: skip


def measure(size: int) -> ListCost:
    """Medians on a shared machine, so they vary between runs."""
    logging.disable(logging.INFO)
    try:
        with TemporaryDirectory() as folder:
            return asyncio.run(_measure(size, Path(folder)))
    finally:
        logging.disable(logging.NOTSET)

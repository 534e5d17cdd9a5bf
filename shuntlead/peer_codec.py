"""Codec of the messages between sidecars: the same bytes in the simulator and in UDP datagrams."""

from __future__ import annotations

import struct
from math import log2

from shuntlead import interface as api

_OBSERVATION = struct.Struct("<IBBB")  # endpoint, slowdown, queue, age
_REPORT = struct.Struct("<HI")  # sidecar, time of measurement in ms modulo 2^32; then one rate per tenant
_RATE_STEP, _MAX_RATE_STEPS = 0.1, 0xFFFF  # unit of a rate in requests per second, and its largest value
_MAX_BODY_BYTES = 254  # of a 256-byte message: the number of tenants and the reports
_STAMP_RANGE = 1 << 32
_STEPS_PER_DOUBLING, _AGE_UNIT_NS = 16, 50_000_000  # logarithmic scale of slowdown and queue; unit of age

_SLOWDOWNS = tuple(2.0 ** (n / _STEPS_PER_DOUBLING - 4) for n in range(256))  # by encoded byte: 1/16 to 3800
_QUEUES = tuple(2.0 ** (n / _STEPS_PER_DOUBLING) - 1 for n in range(256))


def decode_peer_message(sender: int, data: bytes) -> api.PeerMessage | None:
    """None if the format is unknown, as a peer may run another release."""
    if not data or (len(data) - 1) % _OBSERVATION.size:
        return None
    rows = _OBSERVATION.iter_unpack(data[1:])
    observations = tuple(
        [
            api.Observation(n, _SLOWDOWNS[slow], _QUEUES[queue], age * _AGE_UNIT_NS)
            for n, slow, queue, age in rows
        ]
    )
    return api.PeerMessage(sender, data[0] / 255, observations)


def _byte(value: float) -> int:
    return max(0, min(255, round(value)))


def encode_peer_message(pressure: float, observations: tuple[api.Observation, ...]) -> bytes:
    """The message, with the first MAX_OBSERVATIONS of the observations."""
    rows = [
        _OBSERVATION.pack(
            s.endpoint,
            _byte(_STEPS_PER_DOUBLING * (log2(max(s.slowdown, 1e-9)) + 4)),
            _byte(_STEPS_PER_DOUBLING * log2(s.queue + 1)),
            _byte(s.age_ns / _AGE_UNIT_NS),
        )
        for s in observations[: api.MAX_OBSERVATIONS]
    ]
    return bytes((_byte(255 * pressure),)) + b"".join(rows)


def max_reports(tenants: int) -> int:
    """How many reports fit into one message."""
    return (_MAX_BODY_BYTES - 1) // (_REPORT.size + 2 * tenants)


def encode_reports(reports: tuple[api.TenantReport, ...], clock_ms: int) -> bytes:
    """`clock_ms`: time of a clock that sender and receiver share, so that the receiver can tell the age of a
    message that was read late; or 0 on both sides, to send the ages themselves."""
    tenants = len(reports[0].rates) if reports else 0
    rows = []
    for sidecar, age_ns, rates in reports[: max_reports(tenants)]:
        steps = [max(0, min(_MAX_RATE_STEPS, round(rate / _RATE_STEP))) for rate in rates]
        stamp = (clock_ms - age_ns // 1_000_000) % _STAMP_RANGE
        rows.append(_REPORT.pack(sidecar, stamp) + struct.pack(f"<{tenants}H", *steps))
    data = bytes((tenants,)) + b"".join(rows)
    # The simulator's messages have no type: there a length that no list of observations has marks reports.
    return data if (len(data) - 1) % _OBSERVATION.size else data + b"\0"


def decode_reports(data: bytes, clock_ms: int) -> tuple[api.TenantReport, ...] | None:
    """None if the format is unknown. Reports with a time in the future are left out."""
    size = _REPORT.size + 2 * data[0] if data else 0
    if not size or (len(data) - 1) % _OBSERVATION.size == 0 or (len(data) - 1) % size > 1:
        return None
    reports = []
    for at in range(1, len(data) - size + 1, size):
        sidecar, stamp = _REPORT.unpack_from(data, at)
        age_ms = (clock_ms - stamp) % _STAMP_RANGE
        rates = tuple(n * _RATE_STEP for n in struct.unpack_from(f"<{data[0]}H", data, at + _REPORT.size))
        if age_ms < _STAMP_RANGE // 2:
            reports.append(api.TenantReport(sidecar, age_ms * 1_000_000, rates))
    return tuple(reports)

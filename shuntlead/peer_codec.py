"""What one sidecar tells another, as bytes: the same in the simulator and in datagrams."""

from __future__ import annotations

import struct
from math import log2

from shuntlead import interface as api

_SIGHTING = struct.Struct("<IBBB")
_REPORT = struct.Struct("<HI")  # sidecar, when measured (ms of the clock, low half); then a rate a tenant
_RATE_STEP, _MOST_RATE = 0.1, 0xFFFF  # requests a second
_BODY = 254  # of a datagram of 256 bytes, or of the simulator's: the tenants' count, and the rows
_STAMPS = 1 << 32
_STEPS, _AGE_NS = 16, 50_000_000  # steps to a doubling, and the unit of age

_SLOW = tuple(2.0 ** (n / _STEPS - 4) for n in range(256))  # a byte's value: 1/16 to 3800
_QUEUE = tuple(2.0 ** (n / _STEPS) - 1 for n in range(256))


def decode_peer(sender: int, data: bytes) -> api.PeerMessage | None:
    """None: a peer may run another release, and this is no message of ours."""
    if not data or (len(data) - 1) % _SIGHTING.size:
        return None
    rows = _SIGHTING.iter_unpack(data[1:])
    seen = tuple([api.Sighting(n, _SLOW[slow], _QUEUE[queue], age * _AGE_NS) for n, slow, queue, age in rows])
    return api.PeerMessage(sender, data[0] / 255, seen)


def _byte(value: float) -> int:
    return max(0, min(255, round(value)))


def encode_peer(strain: float, sightings: tuple[api.Sighting, ...]) -> bytes:
    rows = [
        _SIGHTING.pack(
            s.endpoint,
            _byte(_STEPS * (log2(max(s.slow, 1e-9)) + 4)),
            _byte(_STEPS * log2(s.queue + 1)),
            _byte(s.age_ns / _AGE_NS),
        )
        for s in sightings[: api.MAX_SIGHTINGS]
    ]
    return bytes((_byte(255 * strain),)) + b"".join(rows)


def most_reports(tenants: int) -> int:
    """How many reports one message holds."""
    return (_BODY - 1) // (_REPORT.size + 2 * tenants)


def encode_reports(reports: tuple[api.TenantReport, ...], clock_ms: int) -> bytes:
    """`clock_ms`: of the clock that the receiver reads too, so that a message that lay unread for long is
    known to be old; or 0 at both, for plain ages."""
    tenants = len(reports[0].rates) if reports else 0
    rows = []
    for sidecar, age_ns, rates in reports[: most_reports(tenants)]:
        steps = [max(0, min(_MOST_RATE, round(rate / _RATE_STEP))) for rate in rates]
        stamp = (clock_ms - age_ns // 1_000_000) % _STAMPS
        rows.append(_REPORT.pack(sidecar, stamp) + struct.pack(f"<{tenants}H", *steps))
    data = bytes((tenants,)) + b"".join(rows)
    # In the simulator the length tells a report from a sighting.
    return data if (len(data) - 1) % _SIGHTING.size else data + b"\0"


def decode_reports(data: bytes, clock_ms: int) -> tuple[api.TenantReport, ...] | None:
    """None: this is no message of ours. What is from the future is left out."""
    size = _REPORT.size + 2 * data[0] if data else 0
    if not size or (len(data) - 1) % _SIGHTING.size == 0 or (len(data) - 1) % size > 1:
        return None
    reports = []
    for at in range(1, len(data) - size + 1, size):
        sidecar, stamp = _REPORT.unpack_from(data, at)
        age_ms = (clock_ms - stamp) % _STAMPS
        rates = tuple(n * _RATE_STEP for n in struct.unpack_from(f"<{data[0]}H", data, at + _REPORT.size))
        if age_ms < _STAMPS // 2:
            reports.append(api.TenantReport(sidecar, age_ms * 1_000_000, rates))
    return tuple(reports)

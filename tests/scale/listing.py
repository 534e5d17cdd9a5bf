"""Generates a fleet of order servers from a seed: its list in discovery's format, and a stream of changes."""

from __future__ import annotations

import json
from random import Random
from typing import Any

REGIONS, ZONES_EACH = 7, 4
ZONES = tuple(f"r{region}-{zone}" for region in range(REGIONS) for zone in "abcd"[:ZONES_EACH])
SKUS = ("m1", "m2")
SERVICE_MEAN = 15  # mean number of servers per service
KINDS = ("drain", "removed", "added", "restarted")
EPOCH_MS = 1_790_000_000_000  # of the simulated clock
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

Row = dict[str, Any]


def line(raw: dict[str, Any]) -> bytes:
    """An object as discovery writes it: on one line, without spaces."""
    return json.dumps(raw, separators=(",", ":")).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Listing:
    """Discovery's list. `change` alters it and returns the change as discovery would send it."""

    def __init__(self, count: int, seed: int, now_ms: int = EPOCH_MS) -> None:
        self._random, self._count, self._now_ms = Random(seed), count, now_ms
        self.revision, self.services = 1, 0
        self.rows: dict[str, Row] = {}
        self._draining: list[str] = []
        while len(self.rows) < count:
            self.services += 1
            for _ in range(min(self._random.randint(1, 2 * SERVICE_MEAN - 1), count - len(self.rows))):
                self._add(since_ms=0)

    def full(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": list(self.rows.values())}

    def change(self, kind: str = "") -> dict[str, Any]:
        """Change one row, in the given way or in one drawn from those possible."""
        if not kind:
            kind = self._random.choice(KINDS)
            if kind == "removed" and not self._draining or kind == "added" and len(self.rows) >= self._count:
                kind = "drain"
        self._now_ms += self._random.randint(100, 8_000)  # 22,000 a day, 4 s apart on average
        row: Row = getattr(self, f"_{kind}")()
        self.revision += 1
        return {"revision": self.revision, "complete": False, "members": [row]}

    def changes(self, count: int) -> list[bytes]:
        return [line(self.change()) for _ in range(count)]

    def _add(self, since_ms: int) -> Row:
        draw = self._random
        member_id = f"s-{draw.getrandbits(32):08x}"
        while member_id in self.rows:
            member_id = f"s-{draw.getrandbits(32):08x}"
        place = f"127.{draw.randrange(1, 255)}.{draw.randrange(256)}.{draw.randrange(1, 255)}:5000"
        row = {"id": member_id, "host_port": place, "locality": draw.choice(ZONES),
               "flavor": draw.choice(SKUS), "cell": draw.randrange(8), "phase": "up",
               "size": draw.choice((0.5, 1.0, 2.0)), "up_since_ms": since_ms}  # fmt: skip
        self.rows[member_id] = row
        return row

    def _added(self) -> Row:
        return self._add(self._now_ms)

    def _drain(self) -> Row:
        member_id = self._random.choice([n for n, row in self.rows.items() if row["phase"] == "up"])
        self._draining.append(member_id)
        self.rows[member_id] = self.rows[member_id] | {"phase": "draining"}
        return self.rows[member_id]

    def _removed(self) -> Row:
        member_id = self._draining.pop(self._random.randrange(len(self._draining)))
        return self.rows.pop(member_id) | {"phase": "removed"}

    def _restarted(self) -> Row:
        """Restart a server; a draining one is up again."""
        member_id = self._random.choice(list(self.rows))
        if member_id in self._draining:
            self._draining.remove(member_id)
        self.rows[member_id] = self.rows[member_id] | {"phase": "up", "up_since_ms": self._now_ms}
        return self.rows[member_id]

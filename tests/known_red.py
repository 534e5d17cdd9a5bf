"""The list of known failures, KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

A line each: `TEST | CAUSE | ISSUE`, TEST being a node id of pytest, with or without its parameters. Lines
that begin with # are comments. A listed test has to fail; an entry that matches no test fails the run.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

PLACE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_ENTRIES = 3


class KnownFailure(NamedTuple):
    test: str
    cause: str
    issue: str

    def matches(self, node_id: str) -> bool:
        return node_id == self.test or node_id.split("[", 1)[0] == self.test


def read(text: str) -> list[KnownFailure]:
    """The entries. ValueError: one has another form, or there are too many."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    entries = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: no `TEST | CAUSE | ISSUE`: {line!r}")
        entries.append(KnownFailure(*fields))
    if len(entries) > MOST_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt: {len(entries)} entries, {MOST_ENTRIES} are allowed")
    return entries


def unmatched(entries: Iterable[KnownFailure], node_ids: Iterable[str]) -> list[KnownFailure]:
    """The entries that stand for none of the tests that ran."""
    ran = list(node_ids)
    return [entry for entry in entries if not any(entry.matches(node_id) for node_id in ran)]

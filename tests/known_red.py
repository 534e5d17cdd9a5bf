"""Parses KNOWN-RED.txt, the list of tests that fail because of a known, unfixed bug.

Each line has the form `TEST | CAUSE | ISSUE`, where TEST is a pytest node id with or without parameters.
Lines starting with # are comments. A listed test must fail; an entry that matches no test fails the run.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

LIST_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    test: str
    cause: str
    issue: str

    def matches(self, node_id: str) -> bool:
        return node_id == self.test or node_id.split("[", 1)[0] == self.test


def read(text: str) -> list[KnownFailure]:
    """Parses the entries. Raises ValueError for a malformed entry or too many entries."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    entries = []
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: line is not `TEST | CAUSE | ISSUE`: {line!r}")
        entries.append(KnownFailure(*fields))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"KNOWN-RED.txt: {len(entries)} entries, at most {MAX_ENTRIES} allowed")
    return entries


def unmatched(entries: Iterable[KnownFailure], node_ids: Iterable[str]) -> list[KnownFailure]:
    """Returns the entries that match none of the tests that ran."""
    ran = list(node_ids)
    return [entry for entry in entries if not any(entry.matches(node_id) for node_id in ran)]

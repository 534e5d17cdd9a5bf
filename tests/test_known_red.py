"""The list of known failures covers exactly the tests that it names."""

from __future__ import annotations

import pytest

from tests import known_red

ENTRY = "tests/test_a.py::test_b | lists behind | 32"


def test_entry_matches_its_test_with_all_parameters_and_no_other() -> None:
    [entry] = known_red.read(f"# the incident\n\n{ENTRY}\n")
    assert entry == ("tests/test_a.py::test_b", "lists behind", "32")
    assert entry.matches("tests/test_a.py::test_b") and entry.matches("tests/test_a.py::test_b[x-1]")
    assert not entry.matches("tests/test_a.py::test_bc")


def test_entry_without_matching_test_is_reported() -> None:
    entries = known_red.read(f"{ENTRY}\ntests/test_a.py::test_c | x | 32")
    assert known_red.unmatched(entries, ["tests/test_a.py::test_b[1]", "tests/test_d.py::test_e"]) == [
        entries[1]
    ]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "a | b", "a || c", "\n".join([ENTRY] * 4)])
def test_malformed_entry_and_too_many_entries_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        known_red.read(text)

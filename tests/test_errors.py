"""Each fault has a remedy, and the on-call page lists exactly the faults and remedies in the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from anisespool import errors, log

PAGE = Path(__file__).parent.parent / "docs/on-call.md"


def fault_types(root: type[errors.Fault]) -> set[type[errors.Fault]]:
    return {root}.union(*(fault_types(each) for each in root.__subclasses__()))


def test_the_on_call_page_lists_every_fault_with_its_remedy() -> None:
    section = PAGE.read_text().partition("## Errors and what to do")[2].partition("\n## ")[0]
    rows = dict(re.findall(r"^\| `(\w+)` \|[^|]*\| (.*?) \|$", section, re.MULTILINE))
    faults = {fault.__name__: fault.remedy for fault in fault_types(errors.Fault) if fault.remedy}
    assert rows == faults
    assert set(faults) <= set(errors.__all__)


def test_a_log_entry_is_one_line_with_the_fault_and_its_remedy(
    capfd: pytest.CaptureFixture[str],
) -> None:
    log.log_error("state", errors.StoreBusy("cannot be written:\nlocked"))
    log.log_error("peers", OSError("odd"))
    log.log_info("traffic", "x" * 100_000)
    fault, other, long, *rest = capfd.readouterr().err.split("\n")
    assert fault == f"state: cannot be written: locked [StoreBusy: {errors.StoreBusy.remedy}]"
    assert other == "peers: OSError: odd" and len(long) == log.MAX_LINE_CHARS and rest == [""]

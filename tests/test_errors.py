"""Each fault has a remedy, and the page for staff on call lists just those that the code has."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from anisespool import errors, log

PAGE = Path(__file__).parent.parent / "docs/on-call.md"


def kinds(of: type[errors.Fault]) -> set[type[errors.Fault]]:
    return {of}.union(*(kinds(each) for each in of.__subclasses__()))


def test_the_page_for_staff_on_call_lists_every_fault_with_its_remedy() -> None:
    section = PAGE.read_text().partition("## Errors and what to do")[2].partition("\n## ")[0]
    rows = dict(re.findall(r"^\| `(\w+)` \|[^|]*\| (.*?) \|$", section, re.MULTILINE))
    faults = {kind.__name__: kind.remedy for kind in kinds(errors.Fault) if kind.remedy}
    assert rows == faults
    assert set(faults) <= set(errors.__all__)


def test_a_line_of_the_log_is_one_line_and_names_the_fault_and_what_to_do(
    capfd: pytest.CaptureFixture[str],
) -> None:
    log.log_error("state", errors.StoreBusy("cannot be written:\nlocked"))
    log.log_error("peers", OSError("odd"))
    log.log_info("traffic", "x" * 100_000)
    fault, other, long, *rest = capfd.readouterr().err.split("\n")
    assert fault == f"state: cannot be written: locked [StoreBusy: {errors.StoreBusy.remedy}]"
    assert other == "peers: OSError: odd" and len(long) == log.MAX_LINE_CHARS and rest == [""]

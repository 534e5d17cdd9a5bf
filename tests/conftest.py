"""Marks the tests listed in KNOWN-RED.txt as strict expected failures, and reports them."""

from __future__ import annotations

import pytest

from tests import known_red

ENTRIES = pytest.StashKey[list[known_red.KnownFailure]]()
TESTS_RUN = pytest.StashKey[set[str]]()


def _entries() -> list[known_red.KnownFailure]:
    try:
        return known_red.read(known_red.LIST_PATH.read_text()) if known_red.LIST_PATH.exists() else []
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_configure(config: pytest.Config) -> None:
    config.stash[ENTRIES] = _entries()
    config.stash[TESTS_RUN] = set()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        for entry in config.stash[ENTRIES]:
            if entry.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {entry.cause}"))


class _ReportCollector:
    """Collects the ids of the tests that ran, including those on xdist workers."""

    def __init__(self, config: pytest.Config) -> None:
        self._config = config

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self._config.stash[TESTS_RUN].add(report.nodeid)


def pytest_sessionstart(session: pytest.Session) -> None:
    session.config.pluginmanager.register(_ReportCollector(session.config))


def _is_full_run(config: pytest.Config) -> bool:
    return not (config.getoption("keyword") or config.getoption("markexpr")) and list(config.args) == list(
        config.getini("testpaths")
    )


def _unmatched_entries(config: pytest.Config) -> list[known_red.KnownFailure]:
    if not _is_full_run(config):
        return []
    entries, ran = config.stash[ENTRIES], config.stash[TESTS_RUN]
    return known_red.unmatched(entries, ran)


def pytest_sessionfinish(session: pytest.Session) -> None:
    if hasattr(session.config, "workerinput"):
        return
    if _unmatched_entries(session.config):
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, exitstatus: int, config: pytest.Config
) -> None:
    for entry in config.stash[ENTRIES]:
        terminalreporter.write_line(f"known red: {entry.test}: {entry.cause} (issue {entry.issue})")
    for entry in _unmatched_entries(config):
        terminalreporter.write_line(f"KNOWN-RED.txt: matches no test: {entry.test}", red=True)

"""What keeps a damaged store from making a crash loop: a count of loads, and setting it aside."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from anisespool.state.records import log, now_ms

LOADS_BEFORE_ASIDE = 2  # loads that never ended: the third start sets the file aside (crash-loop guard)


class LoadGuard:
    """Counts loads that began and never ended, in a file beside the store: where the store itself makes a
    start crash, it cannot hold the count. A disk that does not take the file costs the count alone: the store
    may well be read, and it says which servers are out."""

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(path.name + ".loading")

    def starts_failed(self) -> int:
        try:
            return int(self._path.read_text() or 0)
        except ValueError:
            return LOADS_BEFORE_ASIDE
        except OSError:  # it is not there, or cannot be read
            return 0

    def begin(self) -> None:
        with suppress(OSError):
            self._path.write_text(str(self.starts_failed() + 1))

    def end(self) -> None:
        with suppress(OSError):
            self._path.unlink()


def set_aside(path: Path, why: str) -> None:
    """A damaged file loaded again at every start would make a crash loop of one fault."""
    aside = path.with_name(f"{path.name}.aside-{now_ms()}")
    for suffix in ("", "-wal", "-shm", ".loading"):
        source = path.with_name(path.name + suffix)
        if source.exists():
            os.replace(source, aside.with_name(aside.name + suffix))
    log(f"the store is set aside as {aside.name}, and a new one begun: {why}")

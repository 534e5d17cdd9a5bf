"""Prevents a damaged store from causing a crash loop: counts unfinished loads and sets the store aside."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from anisespool.state.records import log, now_ms

MAX_FAILED_LOADS = 2  # consecutive loads that did not finish; the next start sets the file aside


class LoadGuard:
    """Counts loads of the store that began and did not finish, in a separate file, since a store that crashes
    the process on loading cannot hold the count. If that file cannot be written, only the count is lost: the
    store itself may still be readable, and it says which servers operators have taken out."""

    def __init__(self, path: Path) -> None:
        self._path = path.with_name(path.name + ".loading")

    def failed_loads(self) -> int:
        """How many loads in a row did not finish; the maximum if the file is malformed."""
        try:
            return int(self._path.read_text() or 0)
        except ValueError:
            return MAX_FAILED_LOADS
        except OSError:  # the file does not exist or cannot be read
            return 0

    def begin(self) -> None:
        """Record that a load has begun."""
        with suppress(OSError):
            self._path.write_text(str(self.failed_loads() + 1))

    def end(self) -> None:
        """Record that the load has ended, with or without an error."""
        with suppress(OSError):
            self._path.unlink()


def set_aside(path: Path, reason: str) -> None:
    """Rename the files of a store so that a new one is created. Loading a damaged file again at every start
    would turn one fault into a crash loop."""
    target = path.with_name(f"{path.name}.aside-{now_ms()}")
    for suffix in ("", "-wal", "-shm", ".loading"):
        source = path.with_name(path.name + suffix)
        if source.exists():
            os.replace(source, target.with_name(target.name + suffix))
    log(f"the store is set aside as {target.name}, and a new one is created: {reason}")

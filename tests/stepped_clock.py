"""Runs a sidecar whose wall clock a test can step, by the number of seconds in the file $STEP_FILE, which the
test rewrites while the process runs. The monotonic clock is left alone, as in a real step."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

STEP_FILE = "STEP_FILE"
NO_BOOT_ID = "NO_BOOT_ID"  # if set, the kernel's boot id cannot be read
_unstepped_ns = time.time_ns


def offset_ns() -> int:
    """The seconds in the file, in ns."""
    return round(float(Path(os.environ[STEP_FILE]).read_text()) * 1e9)


def stepped_ns() -> int:
    return _unstepped_ns() + offset_ns()


class ClockStepper:
    """Writes the file through which a test steps the clock."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "step"
        self.step_to(0.0)
        self.env = {STEP_FILE: str(self._path)}

    def step_to(self, seconds: float) -> None:
        """Set the offset of the wall clock from the machine's."""
        written = self._path.with_suffix(".new")
        written.write_text(str(seconds))
        os.replace(written, self._path)


if __name__ == "__main__":
    time.time_ns = stepped_ns
    time.time = lambda: stepped_ns() / 1e9
    from anisespool.__main__ import main
    from anisespool.state import clock

    if os.environ.get(NO_BOOT_ID):
        clock.BOOT_ID_FILE = Path(os.environ[STEP_FILE] + ".none")
    sys.exit(main())

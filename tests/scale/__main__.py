"""`python -m tests.scale hollow [--sizes N,...] [--real N,...] [--seed N] [--json FILE]`: measures
hollow sidecars at each size, and real processes at some sizes for comparison. Takes about four minutes."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

from tests.scale.check import real_figures
from tests.scale.report import compare_with_real, lines

SIZES = (200, 910, 2_275, 4_550, 9_100, 18_200)
REAL = (200, 2_275, 9_100, 18_200)
SIDECARS = 5  # hollow sidecars in one process
CHANGES, MAX_CHANGES, TOTAL_CHANGED_ROWS = 30, 120, 24_000  # per sidecar; more for short lists
IDLE_S, REAL_IDLE_S = 2.0, 5.0  # length of each of three idle windows
MAX_PROCESSES = 4  # run at once; hollow and real ones of one size run side by side

Figures = dict[str, Any]


async def hollow_figures(size: int, seed: int, store: bool, changes: int, sidecars: int = SIDECARS,
                         idle_s: float = IDLE_S) -> Figures:  # fmt: skip
    """The figures of hollow sidecars, measured in a separate process."""
    job = {"size": size, "seed": seed, "store": store, "sidecars": sidecars, "changes": changes}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.scale.job", json.dumps(job | {"idle_s": idle_s}),
        stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        out, _ = await process.communicate()
    finally:
        with suppress(ProcessLookupError):
            process.kill()
    if process.returncode:
        raise RuntimeError(f"the hollow sidecars at size {size} exited with status {process.returncode}")
    figures: Figures = json.loads(out)
    return {"kind": "hollow"} | figures


async def _all(sizes: list[int], real: list[int], seed: int) -> list[Figures]:
    semaphore = asyncio.Semaphore(MAX_PROCESSES)

    async def measure_one(kind: str, size: int, store: bool) -> Figures:
        changes = max(CHANGES, min(MAX_CHANGES, TOTAL_CHANGED_ROWS // size))
        async with semaphore:
            if kind == "hollow":
                return await hollow_figures(size, seed, store, changes)
            figures = await real_figures(folder / f"{size}-{store}", size, seed, store, changes, REAL_IDLE_S)
            return {"kind": "real"} | figures

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        jobs = [measure_one(kind, size, store) for size in sorted({*sizes, *real}, reverse=True)
                for store in (False, True) for kind, some in (("hollow", sizes), ("real", real))
                if size in some]  # fmt: skip
        return await asyncio.gather(*jobs)


def _sizes(text: str) -> list[int]:
    return [int(size) for size in text.split(",") if size]


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests.scale", description=__doc__)
    parser.add_argument("what", choices=("hollow",))
    parser.add_argument("--sizes", type=_sizes, default=list(SIZES))
    parser.add_argument("--real", type=_sizes, default=list(REAL))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    found = asyncio.run(_all(arguments.sizes, arguments.real, arguments.seed))
    if arguments.json:
        arguments.json.write_text(json.dumps(found, indent=1) + "\n")
    print("\n".join(lines(found)))
    return 0 if all(checked.is_within_tolerance for checked in compare_with_real(found)) else 1


if __name__ == "__main__":
    sys.exit(main())

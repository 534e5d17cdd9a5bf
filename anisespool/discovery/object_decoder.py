"""Discovery's stream as objects. Most come on a line each; a list may also come indented, over many lines."""

from __future__ import annotations

import json
import re
from typing import Any

from anisespool.errors import UnreadableList

_STRING = re.compile(rb'"(?:\\.|[^"\\])*"')  # a bracket in a name closes nothing
MOST_BYTES = 4 * 1024 * 1024  # of an object, or of a line


class Lines:
    """Bytes in, whole JSON objects out. A line that nobody can read must not hide those behind it."""

    def __init__(self) -> None:
        self.signs = 0  # of life so far: whole objects, and empty lines outside of one
        self._skipped: list[str] = []
        self._rest: list[bytes] = []  # of the line that has not ended, as it came
        self._rest_size = 0
        self._pending: list[bytes] = []  # the lines of an object that has not ended
        self._depth = self._size = 0

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Each object that is whole now."""
        self._rest.append(data)
        self._rest_size += len(data)
        lines: list[bytes] = []
        if b"\n" in data:  # Joined at each piece, a long list in small ones takes a second of a core
            *lines, rest = b"".join(self._rest).split(b"\n")
            self._rest, self._rest_size = [rest], len(rest)
        return self._objects(lines)

    def finish(self) -> list[dict[str, Any]]:
        """No more bytes will come: what is whole but for the end of its line."""
        lines, self._rest, self._rest_size = [b"".join(self._rest)], [], 0
        return self._objects([line for line in lines if line.strip()])

    def check_size(self) -> None:
        """Raises UnreadableList where an object is longer than any list can be: the watch has to be opened
        anew."""
        if self._rest_size + self._size > MOST_BYTES:
            raise UnreadableList(f"an object of over {MOST_BYTES >> 20} MiB")

    def take_skipped(self) -> list[str]:
        """What could not be read since the last look, and why."""
        skipped, self._skipped = self._skipped, []
        return skipped

    def _objects(self, lines: list[bytes]) -> list[dict[str, Any]]:
        found = [value for line in lines if (value := self._line(line)) is not None]
        self.signs += len(found)
        return found

    def _line(self, line: bytes) -> dict[str, Any] | None:
        if not line.strip():  # the sign of life; within an object only where its rest got lost
            self.signs += not self._pending
            self._drop()
            return None
        starts = line.startswith(b"{")
        if starts and (value := _read(line)) is not None and ("revision" in value or not self._pending):
            self._drop()
            return value
        if not self._pending and not starts:
            self._skip(line)
            return None
        self._pending.append(line)
        self._size += len(line)
        bare = _STRING.sub(b"", line)
        self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        if self._depth > 0:
            return None
        whole = b"\n".join(self._pending)
        self._forget()
        value = _read(whole)
        if value is None:
            self._skip(whole)
        return value

    def _drop(self) -> None:
        if self._pending:
            self._skip(self._pending[0])
            self._forget()

    def _forget(self) -> None:
        self._pending, self._depth, self._size = [], 0, 0

    def _skip(self, line: bytes) -> None:
        self._skipped.append(f"no JSON object: {line[:80]!r}")


def _read(text: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None

"""Decodes discovery's stream into JSON objects. Most are on one line each; a list may also be indented and
span many lines. Empty lines are heartbeats."""

from __future__ import annotations

import json
import re
from typing import Any

from anisespool.errors import UnreadableList

_STRING = re.compile(rb'"(?:\\.|[^"\\])*"')  # brackets inside strings do not count for nesting
MAX_OBJECT_BYTES = 4 * 1024 * 1024  # of an object or a line


class ObjectDecoder:
    """An incremental decoder. A line that cannot be parsed is skipped, and those after it are still read."""

    def __init__(self) -> None:
        self.message_count = 0  # complete objects so far, and empty lines outside of an object
        self._skipped: list[str] = []
        self._rest: list[bytes] = []  # the pieces of the incomplete last line
        self._rest_size = 0  # in bytes
        self._pending: list[bytes] = []  # the lines of an incomplete object
        self._depth = self._size = 0  # of the incomplete object: open brackets, bytes

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Returns the objects that `data` completes."""
        self._rest.append(data)
        self._rest_size += len(data)
        lines: list[bytes] = []
        if b"\n" in data:  # joining on every call would cost a second of CPU for a long list in small pieces
            *lines, rest = b"".join(self._rest).split(b"\n")
            self._rest, self._rest_size = [rest], len(rest)
        return self._decode_lines(lines)

    def finish(self) -> list[dict[str, Any]]:
        """At the end of the stream: returns the object that lacks only its newline, if any."""
        lines, self._rest, self._rest_size = [b"".join(self._rest)], [], 0
        return self._decode_lines([line for line in lines if line.strip()])

    def check_size(self) -> None:
        """Raises UnreadableList if an incomplete object is larger than any list can be. The watch has to be
        reopened then."""
        if self._rest_size + self._size > MAX_OBJECT_BYTES:
            raise UnreadableList(f"object larger than {MAX_OBJECT_BYTES >> 20} MiB")

    def take_skipped(self) -> list[str]:
        """Returns a description of each line skipped since the last call."""
        skipped, self._skipped = self._skipped, []
        return skipped

    def _decode_lines(self, lines: list[bytes]) -> list[dict[str, Any]]:
        found = [value for line in lines if (value := self._decode_line(line)) is not None]
        self.message_count += len(found)
        return found

    def _decode_line(self, line: bytes) -> dict[str, Any] | None:
        if not line.strip():  # a heartbeat; inside an object it means that the rest of the object was lost
            self.message_count += not self._pending
            self._drop_pending()
            return None
        starts = line.startswith(b"{")
        if (
            starts
            and (value := _parse_object(line)) is not None
            and ("revision" in value or not self._pending)
        ):
            self._drop_pending()
            return value
        if not self._pending and not starts:
            self._skip(line)
            return None
        self._pending.append(line)
        self._size += len(line)
        unquoted = _STRING.sub(b"", line)
        self._depth += (
            unquoted.count(b"{") + unquoted.count(b"[") - unquoted.count(b"}") - unquoted.count(b"]")
        )
        if self._depth > 0:
            return None
        text = b"\n".join(self._pending)
        self._clear_pending()
        value = _parse_object(text)
        if value is None:
            self._skip(text)
        return value

    def _drop_pending(self) -> None:
        if self._pending:
            self._skip(self._pending[0])
            self._clear_pending()

    def _clear_pending(self) -> None:
        self._pending, self._depth, self._size = [], 0, 0

    def _skip(self, line: bytes) -> None:
        self._skipped.append(f"not a JSON object: {line[:80]!r}")


def _parse_object(text: bytes) -> dict[str, Any] | None:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None

"""A file by which the two processes of an upgrade tell each other at once which request ids may have run.

Each appends before it sends a request, and reads before it accepts one, so there is no time in between in
which the other does not know. The state store is written some milliseconds later, which would be too late.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote

from anisespool.errors.system import to_fault
from anisespool.log import log_error

_RECORD = struct.Struct("<QQQ")
MAX_READ_BYTES = 4096 * _RECORD.size


class IdRecord(NamedTuple):
    """A request id, and whether its request may have run from now on."""

    id_hash: int
    at_ns: int  # monotonic
    may_have_run: bool


class SharedIds:
    """The file of one sidecar. It is used only while two processes of it run."""

    def __init__(self, folder: Path, name: str) -> None:
        self._path = folder / f"anisespool-{quote(name, safe='')}.ids"
        self._descriptor: int | None = None
        self._offset = 0  # of the first record not read yet

    def enable(self, is_enabled: bool) -> None:
        """Open the file, or remove it once this process is alone."""
        try:
            if is_enabled and self._descriptor is None:
                flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
                self._descriptor, self._offset = os.open(self._path, flags, 0o600), 0
            elif not is_enabled:
                self.close()
                self._path.unlink(missing_ok=True)
        except OSError as error:
            log_error("upgrade", to_fault(error))

    def write(self, records: Iterable[IdRecord]) -> None:
        """Append records, if the file is in use."""
        data = b"".join(_RECORD.pack(*record) for record in records)
        if self._descriptor is None or not data:
            return
        try:
            os.write(self._descriptor, data)
        except OSError as error:
            log_error("upgrade", to_fault(error))

    def read(self) -> Iterable[IdRecord]:
        """The records that were appended since the last call, by either process."""
        if self._descriptor is None:
            return
        while data := self._read_more():
            for id_hash, at_ns, may_have_run in _RECORD.iter_unpack(data):
                yield IdRecord(id_hash, at_ns, bool(may_have_run))

    def _read_more(self) -> bytes:
        assert self._descriptor is not None
        try:
            data = os.pread(self._descriptor, MAX_READ_BYTES, self._offset)
        except OSError as error:
            log_error("upgrade", to_fault(error))
            return b""
        data = data[: len(data) // _RECORD.size * _RECORD.size]
        self._offset += len(data)
        return data

    def close(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

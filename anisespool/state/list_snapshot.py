"""Stores the last list from discovery, so that a restarted sidecar starts from that list rather than from the
configuration's `known`, and sends no new requests to servers that are draining or removed."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import Any

from anisespool.config import MemberList, NameIndex
from anisespool.errors import StoreError
from anisespool.log import log_info
from anisespool.state.pending_writes import PendingWrite
from anisespool.state.store import ListHead, Store

Entry = dict[str, Any]  # one server as discovery's JSON


def digest(entries: Iterable[Entry | None]) -> int:
    """The exclusive or of the entries' digests, so that a change can be applied without the other entries."""
    bodies = (json.dumps(entry).encode() for entry in entries if entry is not None)
    return reduce(xor, (int.from_bytes(blake2b(body, digest_size=16).digest()) for body in bodies), 0)


class ListSnapshot:
    """Discovery's entries by id after its last update, and which of them are not stored yet. Only one write
    runs at a time; each has all changes since the previous one."""

    def __init__(self, store: Store, known_members: Iterable[Entry]) -> None:
        """`known_members`: the configuration's list. Discovery's first update may only have what changed
        since that list, so a list made from updates alone would lack all servers that have not changed."""
        self._store = store
        self._members = {str(entry["id"]): entry for entry in known_members}
        self._revision = 0
        self._digest: int | None = None  # of `_members`; None: not computed yet
        self._etag = ""  # of the stored list, to which `_unstored` applies; "": unknown
        self._list_in_use: dict[str, Entry] | None = None  # set while it is older than the stored list
        self._has_discovery_list = False  # `_members` has content from discovery or the store
        self._unstored: dict[str, Entry | None] = {}  # changed entries by server; None: removed
        self._pending_write = PendingWrite(
            "state", "the list is not stored", "the list is stored again", self._write
        )
        store.on_new_file.append(self._on_new_file)

    def load(self, names: NameIndex, known: MemberList) -> MemberList:
        """The list to start with: `known` if its revision is later or the stored list cannot be read,
        otherwise the stored list. At equal revisions the stored list is preferred, as it came from
        discovery."""
        try:
            stored = self._store.last_list()
            if stored is None or stored[0].revision < known.revision:
                return known
            raw = json.loads(stored[1])
            if raw.get("whole") is not True:
                raise ValueError("it was stored by a release that stored only changes")
            stored_list, etag = names.member_list(raw)._replace(source="state store"), stored[0].etag
            self._digest = int(etag, 16) if etag else None
        except (StoreError, ValueError, AttributeError, RecursionError) as error:
            log_info("state", f"the stored list is ignored: {error}"[:300])
            return known
        self._revision, self._etag, self._has_discovery_list = stored_list.revision, etag, True
        self._members = {str(entry["id"]): entry for entry in raw["members"]}
        log_info("state", f"starting from the stored list of revision {stored_list.revision}")
        return stored_list

    def on_update(
        self,
        raw: dict[str, Any],
        update: MemberList,
        is_behind: bool = False,
        is_withdrawn: Callable[[str], bool] = lambda server: False,
    ) -> None:
        """Apply an update from discovery: `raw` as received, `update` as parsed. `is_behind`: the list in
        use is older than an earlier one, which stays stored until the list in use has caught up.
        `is_withdrawn`: whether a server is out of use although it is up by the list in use; it is not stored
        as up then."""
        updates: dict[str, Entry | None] = {
            str(entry["id"]): None if entry.get("phase") == "removed" else entry for entry in raw["members"]
        }
        if is_behind or self._list_in_use is not None:
            self._list_in_use = _merged(
                self._members if self._list_in_use is None else self._list_in_use, updates, update.complete
            )
            if is_behind:
                return
            updates, self._list_in_use = dict(self._list_in_use), None
            update = update._replace(complete=True)
        if update.complete:
            updates |= dict.fromkeys(self._members.keys() - updates.keys())
        self._apply({s: entry for s, entry in updates.items() if not (_is_up(entry) and is_withdrawn(s))})
        self._revision = update.revision
        self._has_discovery_list = True
        self._pending_write.schedule()

    def _apply(self, updates: dict[str, Entry | None]) -> None:
        """Change the entries (None: removed) and the digest, and note what has to be stored."""
        if self._digest is None:
            self._digest = digest(self._members.values())
        for server, entry in updates.items():
            previous = self._members.get(server)
            if previous == entry:
                continue
            self._unstored[server] = entry
            self._digest ^= digest((previous, entry))
            if entry is None:
                del self._members[server]
            else:
                self._members[server] = entry

    async def follow(self) -> None:
        await self._pending_write.follow()

    async def flush(self) -> None:
        """Try once more to write what is not stored yet."""
        await self._pending_write.flush()

    def _on_new_file(self) -> None:
        """Store the complete list in a new file. The configuration's list alone is not stored, as the list in
        the file may be later."""
        self._etag = ""
        if self._has_discovery_list:
            self._pending_write.schedule()

    async def _write(self) -> None:
        """Store the changes, or the complete list if another list is stored or the last write failed. Raises
        StoreError."""
        head, expected_etag, changed = self._head(), self._etag, self._unstored
        self._unstored, self._etag = {}, ""  # after a failed write the stored list is unknown
        if not expected_etag or not await self._store.change_list(head, expected_etag, changed):
            head, self._unstored = self._head(), {}  # the complete list includes later changes
            await self._store.replace_list(head, dict(self._members))
        self._etag = head.etag

    def _head(self) -> ListHead:
        return ListHead(self._revision, f"{self._digest or 0:032x}")


def _is_up(entry: Entry | None) -> bool:
    return entry is not None and entry.get("phase") == "up"


def _merged(entries: dict[str, Entry], updates: dict[str, Entry | None], complete: bool) -> dict[str, Entry]:
    """The entries after an update from discovery."""
    merged = {} if complete else dict(entries)
    for server, entry in updates.items():
        if entry is None:
            merged.pop(server, None)
        else:
            merged[server] = entry
    return merged

"""The last list of discovery, kept in the state store, so that a restart starts from what discovery said
last rather than from the configuration's `known`: servers that drain or are gone get nothing new from it."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import Any

from anisespool.config import MemberList, NameIndex
from anisespool.errors import StoreError
from anisespool.log import say
from anisespool.state.pending_writes import OwedWrite
from anisespool.state.store import ListHead, Store

Entry = dict[str, Any]


def digest(entries: Iterable[Entry | None]) -> int:
    """The exclusive or of each entry's own: a change costs no look at the others."""
    bodies = (json.dumps(entry).encode() for entry in entries if entry is not None)
    return reduce(xor, (int.from_bytes(blake2b(body, digest_size=16).digest()) for body in bodies), 0)


class ListSnapshot:
    """Discovery's entries by id, as its lines left them, and which of them the store does not have yet. One
    write goes at a time, with what has changed since the one before it, the last change always among them."""

    def __init__(self, store: Store, known_members: Iterable[Entry]) -> None:
        """`known_members`: the configuration's list. Discovery's first line may be what changed since
        it, and a list kept of the changes alone would lose all servers that did not change."""
        self._store = store
        self._members = {str(entry["id"]): entry for entry in known_members}
        self._revision = 0
        self._digest: int | None = None  # of `_members`; None: not yet known
        self._etag = ""  # of the stored list that `_members` is, but for `_changed`; "": of none
        self._in_use: dict[str, Entry] | None = None  # the list in use, while it is behind the stored one
        self._has_news = False  # `_members` is more than the configuration's list
        self._changed: dict[str, Entry | None] = {}  # None: gone
        self._owed = OwedWrite("state", "the list is not stored", "the list is stored again", self._write)
        store.on_new_file.append(self._new_file)

    def loaded(self, names: NameIndex, known: MemberList) -> MemberList:
        """The stored list, unless `known` is later or it can't be read; else `known`. Of one revision the
        stored list is the one that discovery told here."""
        try:
            stored = self._store.last_list()
            if stored is None or stored[0].revision < known.revision:
                return known
            raw = json.loads(stored[1])
            if raw.get("whole") is not True:
                raise ValueError("it was kept by a release that stored changes alone")
            found, etag = names.member_list(raw)._replace(source="state store"), stored[0].etag
            self._digest = int(etag, 16) if etag else None
        except (StoreError, ValueError, AttributeError, RecursionError) as error:
            say("state", f"the stored list is left out: {error}"[:300])
            return known
        self._revision, self._etag, self._has_news = found.revision, etag, True
        self._members = {str(entry["id"]): entry for entry in raw["members"]}
        say("state", f"starting from the stored list of revision {found.revision}")
        return found

    def heard(
        self,
        raw: dict[str, Any],
        update: MemberList,
        is_behind: bool = False,
        is_held: Callable[[str], bool] = lambda server: False,
    ) -> None:
        """A line of discovery, already read into `update`. `is_behind`: the list in use is older than one
        told before, which stays stored until it has caught up. `is_held`: whether a server that the list in
        use has as up is out all the same, so that the store must not have it as up."""
        told: dict[str, Entry | None] = {
            str(entry["id"]): None if entry.get("phase") == "removed" else entry for entry in raw["members"]
        }
        if is_behind or self._in_use is not None:
            self._in_use = _merged(
                self._members if self._in_use is None else self._in_use, told, update.complete
            )
            if is_behind:
                return
            told, self._in_use = dict(self._in_use), None
            update = update._replace(complete=True)
        if update.complete:
            told |= dict.fromkeys(self._members.keys() - told.keys())
        self._store_told({s: entry for s, entry in told.items() if not (_is_up(entry) and is_held(s))})
        self._revision = update.revision
        self._has_news = True
        self._owed.mark()

    def _store_told(self, told: dict[str, Entry | None]) -> None:
        if self._digest is None:
            self._digest = digest(self._members.values())
        for server, entry in told.items():
            held = self._members.get(server)
            if held == entry:
                continue
            self._changed[server] = entry
            self._digest ^= digest((held, entry))
            if entry is None:
                del self._members[server]
            else:
                self._members[server] = entry

    async def follow(self) -> None:
        await self._owed.follow()

    async def flush(self) -> None:
        """A last attempt at what the store does not have yet."""
        await self._owed.flush()

    def _new_file(self) -> None:
        """What it has may be later than the configuration's list, so that alone is not written."""
        self._etag = ""
        if self._has_news:
            self._owed.mark()

    async def _write(self) -> None:
        """What changed, or all where the store has another list, or the last write failed. Raises
        StoreError."""
        head, before, changed = self._head(), self._etag, self._changed
        self._changed, self._etag = {}, ""  # A write that fails may have left anything
        if not before or not await self._store.change_list(head, before, changed):
            head, self._changed = self._head(), {}  # what came meanwhile is in the whole list
            await self._store.replace_list(head, dict(self._members))
        self._etag = head.etag

    def _head(self) -> ListHead:
        return ListHead(self._revision, f"{self._digest or 0:032x}")


def _is_up(entry: Entry | None) -> bool:
    return entry is not None and entry.get("phase") == "up"


def _merged(entries: dict[str, Entry], told: dict[str, Entry | None], complete: bool) -> dict[str, Entry]:
    """The entries after a line of discovery."""
    after = {} if complete else dict(entries)
    for server, entry in told.items():
        if entry is None:
            after.pop(server, None)
        else:
            after[server] = entry
    return after

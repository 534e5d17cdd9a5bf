"""Discovery's list of servers: its entries, and the parser of its JSON objects."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from shuntlead.interface import EndpointState, ListedEndpoint

STATE_BY_PHASE = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}


class Address(NamedTuple):
    """A host and a TCP or UDP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: Any) -> Address:
        """Raises ValueError unless `text` is a valid host:port."""
        host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
        if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
            raise ValueError(f"{text!r} is not a valid host:port")
        return cls(host, int(port))


class Member(NamedTuple):
    """One entry of discovery's list. `row.endpoint` is 0 and `row.started_ns` only preliminary, based on the
    epoch of NameIndex; `Servers` sets both."""

    id: str
    address: Address
    row: ListedEndpoint
    up_since_ms: int = 0  # Unix time, by the wall clock of another host; 0: long ago


class MemberList(NamedTuple):
    """A list of servers of one revision, or the changes up to that revision."""

    revision: int
    complete: bool  # whether it is the whole list; otherwise only the entries that have changed
    members: tuple[Member, ...]
    source: str = "configuration"  # where the list comes from, for the log


@dataclass(frozen=True)
class NameIndex:
    """The positions of names in the lists of the settings. An unknown zone, kind or tenant gets the position
    past the end, which the balancer treats as unknown."""

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]  # of servers: "flavor" in the list, "skus" in the settings
    epoch_ns: int  # Unix time minus monotonic time

    def member_list(self, raw: Any) -> MemberList:
        """Parses a JSON object of discovery. Raises ValueError if any of it is invalid."""
        try:
            members = tuple(self._parse_member(entry) for entry in raw["members"])
            return MemberList(int(raw["revision"]), raw["complete"] is True, members)
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None

    def valid_changes(self, raw: Any) -> MemberList:
        """Parses the valid entries of an object that `member_list` rejects, as changes. Servers that are
        missing do not count as removed, as their entries may be the invalid ones. Raises ValueError if no
        entry is valid."""
        entries = raw.get("members") if isinstance(raw, dict) else None
        revision = raw.get("revision") if isinstance(raw, dict) else None
        members = tuple(
            member for entry in (entries if isinstance(entries, list) else ())
            if (member := self._parse_valid(entry)) is not None
        )  # fmt: skip
        if not members or type(revision) is not int:
            raise ValueError("no valid entry")
        return MemberList(revision, False, members)

    def _parse_valid(self, raw: Any) -> Member | None:
        try:
            return self._parse_member(raw)
        except (KeyError, TypeError, AttributeError, OverflowError, ValueError):
            return None

    def _parse_member(self, raw: dict[str, Any]) -> Member:
        state = STATE_BY_PHASE[raw["phase"]]
        # A removed server may be listed by its id alone.
        gone = state == EndpointState.GONE
        address = Address("", 0) if gone else Address.parse(raw["host_port"])
        since_ms = int(raw.get("up_since_ms", 0))
        started_ns = max(1, since_ms * 1_000_000 - self.epoch_ns) if since_ms else 0
        zone = self.zones.get(raw.get("locality", ""), len(self.zones))
        kind = self.kinds.get(raw.get("flavor", ""), len(self.kinds))
        weight, cell = float(raw.get("size", 1.0)), int(raw.get("cell", 0))
        return Member(
            str(raw["id"]), address, ListedEndpoint(0, weight, cell, kind, zone, state, started_ns), since_ms
        )

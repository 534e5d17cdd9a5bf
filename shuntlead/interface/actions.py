"""The actions that the decision module returns, to be carried out in order."""

from __future__ import annotations

from typing import NamedTuple, Union

from shuntlead.interface.events import Ejection, KeyPin, Observation, TenantReport


class Send(NamedTuple):
    """Start an attempt."""

    request: int
    endpoint: int
    timeout_ns: int = 0  # 0: until the client gives up


class Refuse(NamedTuple):
    """Final answer: not served; a retry is harmless."""

    request: int
    retry_after_ns: int = 0
    over_quota: bool = False  # refused because its tenant exceeds its quota


class Fail(NamedTuple):
    """Final answer: not served; the request may have run, so a retry may repeat its effect."""

    request: int


class Cancel(NamedTuple):
    """Give up an open attempt."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver a Timer event with this token after the delay."""

    delay_ns: int
    token: int


class Log(NamedTuple):
    """Write a line `topic: text` to the log."""

    text: str


class Fault(NamedTuple):
    """The decision module has failed."""

    text: str


class Fetch(NamedTuple):
    """Ask discovery for the whole list once."""


class Watch(NamedTuple):
    """Subscribe to discovery's changes, or stop."""

    active: bool = True


class CloseIdle(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class SendToPeer(NamedTuple):
    """Send a PeerMessage."""

    peer: int  # -1: every peer
    pressure: float = 0.0
    observations: tuple[Observation, ...] = ()  # at most MAX_OBSERVATIONS


class Probe(NamedTuple):
    """Ask an endpoint for its load report."""

    endpoint: int


class SendEjections(NamedTuple):
    """Send this sidecar's own ejections."""

    peer: int  # -1: every peer
    ejections: tuple[Ejection, ...]


class Snapshot(NamedTuple):
    """Store what the next process of this sidecar should know."""

    observations: tuple[Observation, ...]
    ejections: tuple[Ejection, ...]


class SendReports(NamedTuple):
    """Send the tenants' rates."""

    peer: int
    reports: tuple[TenantReport, ...]


class ShareReports(NamedTuple):
    """The state of the quotas and ejections, as requested by a TakeReports event. Rates are in requests per
    second, one for each tenant."""

    process_rates: tuple[float, ...]  # at this process alone
    reports: tuple[TenantReport, ...]  # of this sidecar, and the fresh ones of others
    fleet_rates: tuple[float, ...]  # estimated, over all sidecars
    ejected: tuple[Ejection, ...]


class SavePin(NamedTuple):
    """Store a pin, for the next process and for the other one during an upgrade."""

    pinned: KeyPin


Action = Union[
    Send, Refuse, Fail, Cancel, SetTimer, Log, Fault, Fetch, Watch, CloseIdle, SendToPeer, Probe,
    SendEjections, Snapshot, SavePin, SendReports, ShareReports,
]  # fmt: skip

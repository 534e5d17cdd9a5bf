"""What happens to a sidecar: the events that the module handles, and the rows that they hold."""

from __future__ import annotations

from typing import NamedTuple, Union

from shuntlead.interface.enums import RosterForm, Status


class Listed(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: int
    weight: float
    cell: int
    kind: int
    zone: int
    state: int
    started_ns: int  # 0: long ago


class Roster(NamedTuple):
    version: int
    form: RosterForm
    entries: tuple[Listed, ...] = ()


class Request(NamedTuple):
    request: int
    cls: int
    left_ns: int  # until the client gives this try up
    hint_ns: int | None = None  # anticipated work, on a standard core
    key: int = 0
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False
    has_long_body: bool = False  # too long to hold, so what has gone to an endpoint can't be sent again
    dedup_key: int = 0  # not 0: the client's idempotency key, by which endpoints drop repeats


class BodyMoved(NamedTuple):
    """Of a long body the first bytes have gone to an endpoint, or the last ones."""

    request: int
    attempt: int
    whole: bool


class FirstByte(NamedTuple):
    """An answer too long to hold has begun, and passes on to the client."""

    request: int
    endpoint: int
    latency_ns: int
    attempt: int


class Outcome(NamedTuple):
    request: int
    endpoint: int
    attempt: int
    latency_ns: int
    status: Status
    finished: bool
    load: tuple[float, ...] = ()


class ClientGone(NamedTuple):
    request: int


class Ending(NamedTuple):
    """The process ends: each request, open or yet to come, has its final answer within `left_ns`."""

    left_ns: int


class Timer(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    endpoint: int
    status: Status
    latency_ns: int
    load: tuple[float, ...] = ()


class Sighting(NamedTuple):
    """What one sidecar last learned of an endpoint, for another."""

    endpoint: int
    slow: float  # response times over what their requests usually take
    queue: float
    age_ns: int


class PeerMessage(NamedTuple):
    sender: int
    strain: float = -1.0  # waits of late: 0 as in an idle fleet, 1 all targets missed, below 0 not told
    sightings: tuple[Sighting, ...] = ()


class Verdict(NamedTuple):
    """An endpoint that a sidecar has ejected, for so much longer, and the failure that tipped it."""

    endpoint: int
    left_ns: int
    reason: Status


class PeerVerdicts(NamedTuple):
    """What a peer holds ejected."""

    sender: int
    verdicts: tuple[Verdict, ...]


class PeerAsked(NamedTuple):
    """A peer that has just started asks what is ejected here, and maybe what was seen of endpoints."""

    peer: int
    sightings: bool


class Pinned(NamedTuple):
    """A keyed request was sent to a dedup group, which alone may see its key again for so much longer."""

    key: int
    cls: int
    zone: int
    cell: int
    left_ns: int


class TenantReport(NamedTuple):
    """What one sidecar's tenants asked of it a while ago, in requests a second, in the settings' order."""

    sidecar: int
    age_ns: int
    rates: tuple[float, ...]


class TenantReports(NamedTuple):
    """From a peer, or from the other process of an upgrade."""

    reports: tuple[TenantReport, ...]


class Beside(NamedTuple):
    """What the tenants ask of the other process of an upgrade; void after so much longer."""

    left_ns: int
    rates: tuple[float, ...]


class TakeReports(NamedTuple):
    """Asks for a ShareReports action, for the other process of an upgrade, or for an operator."""


class Recall(NamedTuple):
    """What an earlier process of this sidecar knew, with its age."""

    sightings: tuple[Sighting, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    pins: tuple[Pinned, ...] = ()


class TakeSnapshot(NamedTuple):
    """Asks for a Remember action."""


Event = Union[
    Roster, Request, BodyMoved, FirstByte, Outcome, ClientGone, Timer, ProbeResult, PeerMessage,
    PeerVerdicts, PeerAsked, Recall, TakeSnapshot, TenantReports, Beside, TakeReports, Ending,
]  # fmt: skip

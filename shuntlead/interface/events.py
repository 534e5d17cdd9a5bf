"""The events that the decision module handles, and the types of their fields."""

from __future__ import annotations

from typing import NamedTuple, Union

from shuntlead.interface.enums import ListForm, Status


class ListedEndpoint(NamedTuple):
    """One endpoint in the list from discovery."""

    endpoint: int
    weight: float
    cell: int
    kind: int
    zone: int
    state: int
    started_ns: int  # start of its process; 0: long ago or unknown


class EndpointList(NamedTuple):
    """An answer of discovery: a whole list, a change of it, or a failed call, as `form` tells."""

    version: int
    form: ListForm
    entries: tuple[ListedEndpoint, ...] = ()


class Request(NamedTuple):
    """A request from a client has arrived."""

    request: int
    cls: int
    left_ns: int  # until the client gives up this try
    hint_ns: int | None = None  # expected CPU time on a standard core
    key: int = 0  # see RequestClass.in_order and Settings.warm_keys; 0: none
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False
    has_long_body: bool = False  # too long to buffer: what was sent to an endpoint cannot be sent again
    dedup_key: int = 0  # not 0: the client's idempotency key, by which endpoints drop repeats


class BodyProgress(NamedTuple):
    """The first or the last bytes of a long request body have been sent to an endpoint."""

    request: int
    attempt: int
    complete: bool  # True: the last bytes


class FirstByte(NamedTuple):
    """An answer too long to buffer has begun, and is being passed on to the client."""

    request: int
    endpoint: int
    latency_ns: int
    attempt: int


class Outcome(NamedTuple):
    """An attempt has ended."""

    request: int
    endpoint: int
    attempt: int
    latency_ns: int
    status: Status
    finished: bool  # the client has its answer or is gone
    load: tuple[float, ...] = ()  # the endpoint's load report, with the columns of the settings


class ClientGone(NamedTuple):
    """The client has given up the request."""

    request: int


class ProcessEnding(NamedTuple):
    """The process is shutting down: every open or new request must get its final answer within `left_ns`."""

    left_ns: int


class Timer(NamedTuple):
    """A timer set by a SetTimer action has expired."""

    token: int


class ProbeResult(NamedTuple):
    """The answer to a Probe action."""

    endpoint: int
    status: Status
    latency_ns: int
    load: tuple[float, ...] = ()


class Observation(NamedTuple):
    """What one sidecar has last observed of an endpoint, for another sidecar or its own next process."""

    endpoint: int
    slowdown: float  # response time as a multiple of what the same requests usually take
    queue: float  # reported requests queued or running there
    age_ns: int


class PeerMessage(NamedTuple):
    """What a peer tells of the overall load and of single endpoints."""

    sender: int
    # Share of their targets that the sender's recent requests took: 1 if all miss them, below 0 if unknown.
    pressure: float = -1.0
    observations: tuple[Observation, ...] = ()


class Ejection(NamedTuple):
    """An endpoint that a sidecar has ejected for `left_ns` more, and the last failure before that."""

    endpoint: int
    left_ns: int
    reason: Status


class PeerEjections(NamedTuple):
    """The endpoints that a peer has ejected."""

    sender: int
    ejections: tuple[Ejection, ...]


class PeerStarted(NamedTuple):
    """A peer that has just started asks for the ejections of this sidecar, and for its observations if
    `observations` is set."""

    peer: int
    observations: bool


class KeyPin(NamedTuple):
    """The dedup group (zone or cell) to which a request with an idempotency key was sent. For `left_ns` more
    repeats with that key may only go to this group."""

    key: int
    cls: int
    zone: int
    cell: int
    left_ns: int


class TenantReport(NamedTuple):
    """Requests per second of each tenant at one sidecar, in the order of the settings, as of `age_ns` ago."""

    sidecar: int
    age_ns: int
    rates: tuple[float, ...]


class TenantReports(NamedTuple):
    """Reports from a peer, or from the other process during an upgrade."""

    reports: tuple[TenantReport, ...]


class OtherProcessRates(NamedTuple):
    """Requests per second of each tenant at the other process during an upgrade, valid for `left_ns`."""

    left_ns: int
    rates: tuple[float, ...]


class TakeReports(NamedTuple):
    """Requests a ShareReports action, for the other process of an upgrade or for an operator."""


class Restore(NamedTuple):
    """State stored by an earlier process of this sidecar."""

    observations: tuple[Observation, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    pins: tuple[KeyPin, ...] = ()


class TakeSnapshot(NamedTuple):
    """Requests a Snapshot action."""


Event = Union[
    EndpointList, Request, BodyProgress, FirstByte, Outcome, ClientGone, Timer, ProbeResult, PeerMessage,
    PeerEjections, PeerStarted, Restore, TakeSnapshot, TenantReports, OtherProcessRates, TakeReports,
    ProcessEnding,
]  # fmt: skip

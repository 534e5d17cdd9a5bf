"""Codec of the simulator's binary protocol: converts between its records (little-endian, without padding) and
the events and actions of the interface."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import NamedTuple, Union

from shuntlead import interface as api
from shuntlead.peer_codec import decode_peer_message, decode_reports, encode_peer_message, encode_reports

BATCH_HEADER = struct.Struct("<IIQ")
CLOCK_BYTES = 8  # the clock follows the length field and is included in the length
REPLY_HEADER = struct.Struct("<II")

_CODE = struct.Struct("<H")
_INSTANCE = struct.Struct("<I")
_BOOT = struct.Struct("<IQI")
_NUMBERED_LIST = struct.Struct("<II")
_ENTRY = struct.Struct("<IfHHHBQ")
_LIST_REF = struct.Struct("<IQBI")
_REQUEST = struct.Struct("<IQQQQHHB")
_FIRST_BYTE = struct.Struct("<IQIQH")
_OUTCOME = struct.Struct("<IQIHQBBB")
_CLIENT_GONE = struct.Struct("<IQ")
_TIMER = struct.Struct("<II")
_PROBE_RESULT = struct.Struct("<IBIQB")
_PEER_MESSAGE = struct.Struct("<IHH")

_HINT_VALID, _IS_RETRY, _IS_WRITE = 1, 2, 4
_EVERY_PEER = 0xFFFFFFFF
_MAX_TEXT = 1000  # bytes of a text in an action


class WireError(ValueError):
    """The data violates the protocol."""


class Boot(NamedTuple):  # an instance starts
    seed: int
    params: bytes  # its settings, as JSON


class Down(NamedTuple):  # an instance ends
    pass


class NumberedList(NamedTuple):
    """An endpoint list that all instances may refer to by its number, until the number is reused."""

    number: int
    entries: tuple[api.ListedEndpoint, ...]


class ListRef(NamedTuple):
    """An EndpointList event that refers to a NumberedList."""

    version: int
    form: int
    list_number: int


WireEvent = Union[api.Event, Boot, Down, NumberedList, ListRef]


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """The (instance, event) pairs of a batch's records; the instance of a NumberedList is -1."""
    events: list[tuple[int, WireEvent]] = []
    at = 0
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(body, at)
            reader = _READERS.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code}")
            instance, event, at = reader(body, at + 2)
            events.append((instance, event))
    except struct.error as error:
        raise WireError(f"truncated record: {error}") from None
    if at != len(body):
        raise WireError(f"{len(body) - at} bytes left after the last record")
    return events


_Read = tuple[int, WireEvent, int]


def _read_bytes(body: bytes, at: int, size: int) -> tuple[bytes, int]:
    if at + size > len(body):
        raise WireError("truncated record: a field runs past the frame")
    return body[at : at + size], at + size


def _read_load(body: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    raw, end = _read_bytes(body, at, 4 * count)
    return struct.unpack(f"<{count}f", raw), end


def _decode_status(value: int) -> api.Status:
    try:
        return _STATUSES[value]
    except IndexError:
        raise WireError(f"unknown status {value}") from None


_STATUSES = tuple(api.Status(n) for n in range(len(api.Status)))


def _read_boot(body: bytes, at: int) -> _Read:
    instance, seed, size = _BOOT.unpack_from(body, at)
    params, end = _read_bytes(body, at + _BOOT.size, size)
    return instance, Boot(seed, params), end


def _read_down(body: bytes, at: int) -> _Read:
    (instance,) = _INSTANCE.unpack_from(body, at)
    return instance, Down(), at + _INSTANCE.size


def _read_numbered_list(body: bytes, at: int) -> _Read:
    number, count = _NUMBERED_LIST.unpack_from(body, at)
    raw, end = _read_bytes(body, at + _NUMBERED_LIST.size, count * _ENTRY.size)
    return -1, NumberedList(number, tuple(map(api.ListedEndpoint._make, _ENTRY.iter_unpack(raw)))), end


def _read_list_ref(body: bytes, at: int) -> _Read:
    instance, version, form, list_number = _LIST_REF.unpack_from(body, at)
    if form > api.ListForm.CACHED:
        raise WireError(f"unknown form {form} of an endpoint list")
    return instance, ListRef(version, form, list_number), at + _LIST_REF.size


def _read_request(body: bytes, at: int) -> _Read:
    instance, request, hint, key, left, tenant, flags, cls = _REQUEST.unpack_from(body, at)
    event = api.Request(
        request, cls, left, hint if flags & _HINT_VALID else None, key, tenant,
        bool(flags & _IS_RETRY), bool(flags & _IS_WRITE),
    )  # fmt: skip
    return instance, event, at + _REQUEST.size


def _read_first_byte(body: bytes, at: int) -> _Read:
    instance, request, endpoint, latency, attempt = _FIRST_BYTE.unpack_from(body, at)
    return instance, api.FirstByte(request, endpoint, latency, attempt), at + _FIRST_BYTE.size


def _read_outcome(body: bytes, at: int) -> _Read:
    fields = _OUTCOME.unpack_from(body, at)
    instance, request, endpoint, attempt, latency, status, finished, columns = fields
    load, end = _read_load(body, at + _OUTCOME.size, columns)
    event = api.Outcome(request, endpoint, attempt, latency, _decode_status(status), bool(finished), load)
    return instance, event, end


def _read_client_gone(body: bytes, at: int) -> _Read:
    instance, request = _CLIENT_GONE.unpack_from(body, at)
    return instance, api.ClientGone(request), at + _CLIENT_GONE.size


def _read_timer(body: bytes, at: int) -> _Read:
    instance, token = _TIMER.unpack_from(body, at)
    return instance, api.Timer(token), at + _TIMER.size


def _read_probe_result(body: bytes, at: int) -> _Read:
    instance, status, endpoint, latency, columns = _PROBE_RESULT.unpack_from(body, at)
    load, end = _read_load(body, at + _PROBE_RESULT.size, columns)
    return instance, api.ProbeResult(endpoint, _decode_status(status), latency, load), end


def _read_peer_message(body: bytes, at: int) -> _Read:
    instance, sender, size = _PEER_MESSAGE.unpack_from(body, at)
    data, end = _read_bytes(body, at + _PEER_MESSAGE.size, size)
    if (reports := decode_reports(data, 0)) is not None:
        return instance, api.TenantReports(reports), end
    return instance, decode_peer_message(sender, data) or api.PeerMessage(sender), end


_READERS: dict[int, Callable[[bytes, int], _Read]] = {
    1000: _read_boot,
    1010: _read_list_ref,
    1020: _read_request,
    1030: _read_first_byte,
    1040: _read_outcome,
    1050: _read_client_gone,
    1060: _read_timer,
    1070: _read_probe_result,
    1080: _read_peer_message,
    1090: _read_down,
    1100: _read_numbered_list,
}

_FAIL = struct.Struct("<HIQ")
_SET_TIMER = struct.Struct("<HIQI")
_TEXT = struct.Struct("<HIH")
_CANCEL = struct.Struct("<HIQH")
_FETCH = struct.Struct("<HI")
_ENDPOINT_ACTION = struct.Struct("<HII")
_WATCH = struct.Struct("<HIB")
_REFUSE = struct.Struct("<HIQQ")
_SEND = struct.Struct("<HIQIQ")
_SEND_TO_PEER = struct.Struct("<HIIH")


def _encode_text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:_MAX_TEXT].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def encode_action(instance: int, action: api.Action) -> bytes:
    """One action as a reply record; empty for actions that the simulator does not have."""
    match action:
        case api.Send(request, endpoint, timeout):
            return _SEND.pack(1090, instance, request, endpoint, timeout)
        case api.SetTimer(delay, token):
            return _SET_TIMER.pack(1010, instance, delay, token)
        case api.Refuse(request, retry_after):
            return _REFUSE.pack(1080, instance, request, retry_after)
        case api.Fail(request):
            return _FAIL.pack(1000, instance, request)
        case api.Cancel(request, attempt):
            return _CANCEL.pack(1030, instance, request, attempt)
        case api.Fault(text):
            return _encode_text(1020, instance, text)
        case api.Log(text):
            return _encode_text(1050, instance, text)
        case api.Fetch():
            return _FETCH.pack(1040, instance)
        case api.CloseIdle(endpoint):
            return _ENDPOINT_ACTION.pack(1060, instance, endpoint)
        case api.Watch(active):
            return _WATCH.pack(1070, instance, active)
        case api.SendToPeer(peer, pressure, observations):
            data = encode_peer_message(pressure, observations)
            target = _EVERY_PEER if peer < 0 else peer
            return _SEND_TO_PEER.pack(1100, instance, target, len(data)) + data
        case api.Probe(endpoint):
            return _ENDPOINT_ACTION.pack(1110, instance, endpoint)
        case api.SendReports(peer, reports):
            data = encode_reports(reports, 0)
            return _SEND_TO_PEER.pack(1100, instance, peer, len(data)) + data
        case api.SendEjections() | api.Snapshot() | api.SavePin() | api.ShareReports():
            return b""


def encode_reply(actions: list[tuple[int, api.Action]]) -> bytes:
    records = [record for instance, action in actions if (record := encode_action(instance, action))]
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body

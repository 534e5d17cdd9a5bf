"""A long body is read ahead while there is room, and timed from when its client may have written it."""

from __future__ import annotations

import pytest

from anisespool.front.last_write import CAUGHT_UP_NS, MAX_CLIENT_BUFFER_BYTES, SAMPLE_BYTES, LastWriteEstimate
from anisespool.request_body import RequestBody
from tests.support import MS

LONG_BYTES = 3 * MAX_CLIENT_BUFFER_BYTES


class SlowSink:
    """Takes so many parts, and is then blocked until the test lets it take more."""

    def __init__(self, body: RequestBody, parts: int) -> None:
        self.body, self.parts = body, parts
        self.taken, self.has_ended = b"", False

    def take(self, parts: int) -> None:
        self.parts = parts
        self.body.resume()

    def stream_data(self, data: bytes) -> None:
        self.taken += data
        self.parts -= 1
        if self.parts <= 0:
            self.body.pause()

    def stream_end(self) -> None:
        self.has_ended = True

    def stream_failed(self) -> None:
        raise AssertionError


class Source:
    """Counts whether it is read."""

    def __init__(self, room_bytes: int) -> None:
        self.room_bytes, self.is_read = room_bytes, True
        self.body = RequestBody(None, self._pause, self._resume, lambda: self.room_bytes)

    def _pause(self) -> None:
        assert self.is_read
        self.is_read = False

    def _resume(self) -> None:
        assert not self.is_read
        self.is_read = True


def test_a_body_is_read_while_its_endpoint_takes_nothing_until_the_room_is_full() -> None:
    source = Source(room_bytes=10)
    source.body.feed(b"a" * 8)
    sink = SlowSink(source.body, 1)
    source.body.attach(sink)
    source.body.feed(b"b" * 8)
    assert source.is_read and sink.taken == b"a" * 8
    source.body.feed(b"c" * 8)
    assert not source.is_read and source.body.held_bytes == 16
    sink.take(1)
    assert not source.is_read  # there is room again once half of it is free
    sink.take(1)
    assert source.is_read and sink.taken == b"a" * 8 + b"b" * 8 + b"c" * 8


def test_without_room_a_body_is_read_as_its_endpoint_takes_it() -> None:
    source = Source(room_bytes=0)
    source.body.feed(b"a")
    assert not source.is_read
    sink = SlowSink(source.body, 2)
    source.body.attach(sink)
    assert source.is_read and sink.taken == b"a"
    source.body.feed(b"b")
    assert not source.is_read and source.body.held_bytes == 0
    source.room_bytes = 10
    source.body.update()
    assert source.is_read


def test_a_body_ends_at_its_endpoint_once_that_has_taken_all_of_it() -> None:
    source = Source(room_bytes=10)
    sink = SlowSink(source.body, 1)
    source.body.attach(sink)
    for part in (b"a", b"b", b"c"):
        source.body.feed(part)
    source.body.end()
    assert source.body.done and not sink.has_ended and source.is_read
    sink.take(1)
    assert not sink.has_ended
    sink.take(9)
    assert sink.has_ended and sink.taken == b"abc" and source.body.held_bytes == 0


def test_what_waits_of_a_body_is_let_go_of_when_it_is_discarded() -> None:
    source = Source(room_bytes=4)
    source.body.feed(b"a" * 9)
    assert not source.is_read
    source.body.discard()
    assert source.is_read and source.body.held_bytes == 0
    source.body.feed(b"b")
    assert source.body.held_bytes == 0


def test_a_body_that_was_read_as_it_came_has_its_time_from_its_arrival() -> None:
    estimate = LastWriteEstimate()
    estimate.on_arrival(10**6, 100 * MS, 0)
    assert estimate.earliest_end_ns(10**6, 10**6) is None


@pytest.mark.parametrize("length", [10**6, None])
def test_all_that_arrives_after_reading_had_stopped_may_have_been_written_before(length: int | None) -> None:
    estimate = LastWriteEstimate()
    estimate.on_stop(200_000, 100 * MS)
    for n in range(9):
        estimate.on_arrival(200_000 + 100_000 * n, (150 + 40 * n) * MS, 0)
    assert estimate.earliest_end_ns(10**6, length) == 100 * MS


def test_a_client_whose_kernel_had_nothing_to_send_had_not_written_the_rest() -> None:
    estimate = LastWriteEstimate()
    estimate.on_stop(200_000, 100 * MS)
    estimate.on_arrival(300_000, 200 * MS, CAUGHT_UP_NS)
    assert estimate.earliest_end_ns(300_000, 10**6) is None


def test_more_than_a_kernel_holds_was_not_written_when_reading_stopped() -> None:
    estimate = LastWriteEstimate()
    estimate.on_stop(0, 100 * MS)
    assert estimate.earliest_end_ns(0, LONG_BYTES) is None
    nbytes, now_ns = 0, 100 * MS
    while nbytes < LONG_BYTES:
        nbytes, now_ns = nbytes + SAMPLE_BYTES, now_ns + MS
        estimate.on_arrival(nbytes, now_ns, 0)
        earliest_ns = estimate.earliest_end_ns(nbytes, LONG_BYTES)
        assert (earliest_ns is None) == (nbytes < LONG_BYTES - MAX_CLIENT_BUFFER_BYTES)
    whole_ns = now_ns - MAX_CLIENT_BUFFER_BYTES // SAMPLE_BYTES * MS
    assert earliest_ns is not None and whole_ns - MS <= earliest_ns <= whole_ns

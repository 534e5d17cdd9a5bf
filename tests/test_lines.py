"""Decoding discovery's stream in pieces as small as single TCP segments."""

from __future__ import annotations

import json
import time

from anisespool.config import Address
from anisespool.discovery.object_decoder import ObjectDecoder
from tests.net import member, member_list

SEGMENT_BYTES = 1448  # payload of a TCP segment


def full_list_line(size: int) -> bytes:
    rows = [member(f"s-{n:08x}", Address("10.1.0.18", 5000)) for n in range(size)]
    return json.dumps(member_list(7, rows)).encode() + b"\n"


def cpu_ns(data: bytes) -> int:
    """The least CPU time, of several runs, to decode the data in pieces."""
    took = []
    for _ in range(5):
        lines, began = ObjectDecoder(), time.process_time_ns()
        for n in range(0, len(data) - 1, SEGMENT_BYTES):
            assert not lines.feed(data[n : min(n + SEGMENT_BYTES, len(data) - 1)])
        took.append(time.process_time_ns() - began)
    return min(took)


def test_a_list_in_pieces_decodes_as_the_full_list_line() -> None:
    data = b"\n" + full_list_line(300) + b"\n" + full_list_line(20)
    for piece in (1, 7, SEGMENT_BYTES, len(data)):
        lines, found = ObjectDecoder(), []
        for n in range(0, len(data), piece):
            found += lines.feed(data[n : n + piece])
        assert [len(each["members"]) for each in found] == [300, 20], piece
        assert found == [json.loads(line) for line in data.split(b"\n") if line]
        assert not lines.take_skipped()


def test_the_cost_of_a_list_in_pieces_is_linear_in_its_length() -> None:
    """Joining each piece to those before it made a list eight times as long cost forty times as much, and one
    of 9,100 servers a second of CPU time."""
    assert cpu_ns(full_list_line(16_000)) < 24 * cpu_ns(full_list_line(2_000))

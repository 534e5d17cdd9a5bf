"""Discovery's stream read in pieces, as small as the network makes them."""

from __future__ import annotations

import json
import time

from anisespool.config import Address
from anisespool.discovery.object_decoder import ObjectDecoder
from tests.net import member, member_list

PIECE = 1448  # bytes: a segment of TCP


def whole_list(size: int) -> bytes:
    rows = [member(f"s-{n:08x}", Address("10.1.0.18", 5000)) for n in range(size)]
    return json.dumps(member_list(7, rows)).encode() + b"\n"


def cpu_ns(data: bytes) -> int:
    """Of reading it in pieces: the least of some runs."""
    took = []
    for _ in range(5):
        lines, began = ObjectDecoder(), time.process_time_ns()
        for n in range(0, len(data) - 1, PIECE):
            assert not lines.feed(data[n : min(n + PIECE, len(data) - 1)])
        took.append(time.process_time_ns() - began)
    return min(took)


def test_a_list_in_pieces_is_what_it_is_as_a_whole() -> None:
    data = b"\n" + whole_list(300) + b"\n" + whole_list(20)
    for piece in (1, 7, PIECE, len(data)):
        lines, found = ObjectDecoder(), []
        for n in range(0, len(data), piece):
            found += lines.feed(data[n : n + piece])
        assert [len(each["members"]) for each in found] == [300, 20], piece
        assert found == [json.loads(line) for line in data.split(b"\n") if line]
        assert not lines.take_skipped()


def test_the_pieces_of_a_long_list_cost_by_their_sum() -> None:
    """With each piece joined to those before it, eight times the list cost forty times as much, and a
    list of 9,100 servers a second of a core."""
    assert cpu_ns(whole_list(16_000)) < 24 * cpu_ns(whole_list(2_000))

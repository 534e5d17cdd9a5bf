"""HTTP/1.1 parsing and framing, the same for clients, endpoints and discovery. No sockets here."""

from anisespool.http1.encode import (
    LAST_CHUNK,
    encode_chunk,
    encode_head,
    encode_request,
    encode_response,
    parse_load,
)
from anisespool.http1.messages import MAX_BODY, MAX_HEAD, MAX_LONG, Request, Response
from anisespool.http1.request_parser import RequestParser
from anisespool.http1.response_parser import ResponseParser

__all__ = [
    "LAST_CHUNK", "MAX_BODY", "MAX_HEAD", "MAX_LONG", "Request", "RequestParser", "Response",
    "ResponseParser", "encode_chunk", "encode_head", "encode_request", "encode_response", "parse_load",
]  # fmt: skip

"""HTTP/1.1 parsing and encoding for client, endpoint and discovery connections. It does no I/O."""

from anisespool.http1.encode import (
    LAST_CHUNK,
    encode_chunk,
    encode_head,
    encode_request,
    encode_response,
    parse_load_report,
)
from anisespool.http1.messages import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_STREAMED_BODY_BYTES,
    Request,
    Response,
)
from anisespool.http1.request_parser import RequestParser
from anisespool.http1.response_parser import ResponseParser

__all__ = [
    "LAST_CHUNK", "MAX_BUFFERED_BODY_BYTES", "MAX_HEAD_BYTES", "MAX_STREAMED_BODY_BYTES", "Request",
    "RequestParser", "Response", "ResponseParser",
    "encode_chunk", "encode_head", "encode_request", "encode_response", "parse_load_report",
]  # fmt: skip

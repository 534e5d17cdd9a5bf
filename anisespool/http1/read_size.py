"""How much of a client's input is read at once."""

from __future__ import annotations

HEAD_READ_BYTES, CHUNKED_READ_BYTES = 4 * 1024, 16 * 1024


def wanted_bytes(in_body: bool, body_left_bytes: int | None, is_streamed: bool) -> int:
    """Many short requests take many times their length once they are parsed, so what follows the body of the
    current one is left unread. So do chunks of few bytes take long to parse, while other connections wait.
    `body_left_bytes`: None if it is not known."""
    if not in_body:
        return HEAD_READ_BYTES
    if body_left_bytes is None:
        return CHUNKED_READ_BYTES if is_streamed else HEAD_READ_BYTES
    return max(0, body_left_bytes) + HEAD_READ_BYTES

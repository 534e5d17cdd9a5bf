"""How many client connections are accepted, beside those that are served."""

from __future__ import annotations

MIN_REFUSED, REFUSED_SHARE = 8, 8  # connections over the limit, or one for so many that are served


def connection_ceiling(max_connections: int) -> int:
    """How many connections are accepted where so many are served. The rest is refused at once, which leaves
    nobody waiting."""
    return max_connections + max(MIN_REFUSED, max_connections // REFUSED_SHARE)


def served_connections(max_accepted: int) -> int:
    """How many connections are served where so many may be accepted."""
    return min(max_accepted * REFUSED_SHARE // (REFUSED_SHARE + 1), max_accepted - MIN_REFUSED)

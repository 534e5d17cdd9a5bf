"""Keeps OpenSSL out of the process: it takes a tenth of the memory of a process at rest, and nothing uses it.

asyncio does without TLS and hashlib has the digests of its own, if these modules cannot be imported. To be
imported before either of them.
"""

from __future__ import annotations

import sys

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


def block_openssl() -> None:
    """Let imports of these modules fail, unless they are loaded already."""
    for name in OPENSSL_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]


block_openssl()

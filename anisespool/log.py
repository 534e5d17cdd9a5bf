"""The log on standard error, through the `logging` module. Each line has the form `topic: text`; the README
lists the topics."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from anisespool.errors import Fault

MAX_LINE_CHARS = 8000


class _ToStderr(logging.StreamHandler[TextIO]):
    """Writes to the current `sys.stderr`, even if it is replaced after the import."""

    def __init__(self) -> None:
        logging.Handler.__init__(self)

    @property
    def stream(self) -> TextIO:  # type: ignore[override]
        return sys.stderr


_ROOT = logging.getLogger("sailbridge")
_ROOT.propagate = False
_ROOT.setLevel(logging.INFO)
if not _ROOT.handlers:
    _handler = _ToStderr()
    _handler.setFormatter(logging.Formatter("%(message)s"))
    _ROOT.addHandler(_handler)


def log_info(topic: str, text: str) -> None:
    """Log one line; line breaks in the text become spaces."""
    _ROOT.getChild(topic).info("%s", f"{topic}: {text}"[:MAX_LINE_CHARS].replace("\n", " "))


def log_error(topic: str, error: Fault | BaseException) -> None:
    """Log an error on one line: a `Fault` with its type and remedy, any other with the name of its type."""
    text = str(error) if isinstance(error, Fault) else f"{type(error).__name__}: {error}"
    _ROOT.getChild(topic).warning("%s", f"{topic}: {text}"[:MAX_LINE_CHARS].replace("\n", " "))

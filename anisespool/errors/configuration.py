"""What a sidecar is told at its start, or at SIGHUP."""

from __future__ import annotations

from anisespool.errors.base import Fault


class ConfigError(Fault, ValueError):
    """The text names the variable or key, what was found and what is needed."""

    remedy = (
        "mend that variable or key and start again; "
        "after SIGHUP the old configuration stays until the file can be read"
    )


class ConfigUnreadable(ConfigError):
    """The file is not there, or is no JSON: it may be half written."""

"""Errors in the configuration that a sidecar reads at its start or at SIGHUP."""

from __future__ import annotations

from anisespool.errors.base import Fault


class ConfigError(Fault, ValueError):
    """A variable or key has an invalid value; the text names it, what was found and what is expected."""

    remedy = (
        "correct that variable or key and restart; "
        "after SIGHUP the old configuration stays in use until the file is valid"
    )


class ConfigUnreadable(ConfigError):
    """The file does not exist or is not valid JSON, perhaps because it is only partly written."""

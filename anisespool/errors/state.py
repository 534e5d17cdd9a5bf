"""Errors of the state store. None of them stops a sidecar."""

from __future__ import annotations

from anisespool.errors.base import Fault


class StoreError(Fault):
    """An operation on the store failed; the text says why."""

    remedy = "check the state folder: space, owner, and that no other program holds the file"


class StoreBusy(StoreError):
    """A write failed because the file is locked, the disk is full or the folder is read-only."""

    remedy = "free space or end whatever holds the file; it is written once that is done"


class Unstorable(StoreError):
    """A value does not fit the type of its column, so retrying the write cannot succeed."""

    remedy = "look at what discovery writes: an id that is no text, or a revision of over 64 bits"


class StoreDamaged(StoreError):
    """The file fails its integrity check, or cannot use a write-ahead log."""

    remedy = "keep the .aside file for a look, and give the orders on servers out again"


class StoreForeign(StoreError):
    """The file has the schema of a later release."""

    remedy = "start the later release again, or give the orders on servers out again"


class StoreUnreadable(StoreError):
    """Rows cannot be read, or are malformed."""

    remedy = (
        "the read is retried automatically; if it still fails, stop the sidecar and delete the store file"
    )

"""The state store. None of these ends a sidecar."""

from __future__ import annotations

from anisespool.errors.base import Fault


class StoreError(Fault):
    """The store could not do what was asked; the text says why."""

    remedy = "check the state folder: space, owner, and that no other program holds the file"


class StoreBusy(StoreError):
    """A write found the file locked, the disk full or the folder read-only."""

    remedy = "free space or end whatever holds the file; it is written once that is done"


class Unstorable(StoreError):
    """What is to be stored has a form that no column takes; no later write of it can succeed."""

    remedy = "look at what discovery writes: an id that is no text, or a revision of over 64 bits"


class StoreDamaged(StoreError):
    """The file fails its check, or takes no write-ahead log."""

    remedy = "keep the .aside file for a look, and give the orders on servers out again"


class StoreForeign(StoreError):
    """The file is of a later schema."""

    remedy = "start the later release again, or give the orders on servers out again"


class StoreUnreadable(StoreError):
    """Rows cannot be read, or are of no form."""

    remedy = "it is read again by itself; if it stays, stop the sidecar and remove the store file"

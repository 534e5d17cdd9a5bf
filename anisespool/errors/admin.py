"""Errors reported to operators on the admin socket."""

from __future__ import annotations

from anisespool.errors.base import Fault


class AdminFault(Fault):
    """An operator's call was refused; the text says why."""


class UnknownCall(AdminFault):
    """The line received is not a known call."""

    remedy = "one call and at most one argument a line, as docs/on-call.md lists them"


class UnknownServer(AdminFault):
    """No list received since the start contains the server."""

    remedy = "look the id up in the lines 'driver: endpoint N is ID'"


class NotServing(AdminFault):
    """This process does not accept requests yet, or no longer does."""

    remedy = "ask again within 3 s; in an upgrade leave the other process as it is until this one says yes"


class NotDurable(AdminFault):
    """The order is in force in this process but is not in the store; the text says why."""

    remedy = "mend the store: the order is written once that is done; until then a restart will not know it"


class NoStore(AdminFault):
    """This process runs without a state store."""

    remedy = "name a folder in LB_STATE_DIR that can be written, and restart; orders end with this process"

"""What a call of an operator is refused for."""

from __future__ import annotations

from anisespool.errors.base import Fault


class AdminFault(Fault):
    """The answer is a no; the text says why."""


class UnknownCall(AdminFault):
    """The line is no call."""

    remedy = "one call and at most one argument a line, as docs/on-call.md lists them"


class UnknownServer(AdminFault):
    """No list since the start has named it."""

    remedy = "look the id up in the lines 'driver: endpoint N is ID'"


class NotServing(AdminFault):
    """This process takes no requests yet, or no more."""

    remedy = "ask again within 3 s; in an upgrade leave the other process as it is until this one says yes"


class NotDurable(AdminFault):
    """The order holds in this process, but the store has not kept it; the text says why."""

    remedy = "mend the store: the order is written once that is done; until then a restart will not know it"


class NoStore(AdminFault):
    """This process runs without a state store."""

    remedy = "name a folder in LB_STATE_DIR that can be written, and restart; orders end with this process"

"""What a failed system call on a socket means: one classification of errno for all that call by hand.

By the pages of Linux: accept(2), connect(2), socket(2), send(2), recv(2), tcp(7), ip(7)."""

from __future__ import annotations

import errno
import socket
from enum import Enum, auto

from anisespool.errors.base import Fault
from anisespool.errors.limits import NoDescriptors


class SystemFailure(Enum):
    """What the caller can do about it."""

    NOTHING_TO_DO = auto()  # nothing is there yet: wait until the descriptor is ready
    CONNECTION_GONE = auto()  # that one connection only: go on with the next
    UNREACHABLE = auto()  # the peer, or the way to it, at present
    NO_RESOURCES = auto()  # this machine is short of descriptors or buffers: make room and pause
    NO_PORT = auto()  # this machine has no local port left for that peer: pause
    FATAL = auto()  # a fault of ours, or unknown: pause, so that a repeat does not spin


_CLASSES: dict[SystemFailure, tuple[int, ...]] = {
    SystemFailure.NOTHING_TO_DO: (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS,
                                  errno.EALREADY),
    SystemFailure.CONNECTION_GONE: (errno.ECONNABORTED, errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN,
                                    errno.ESHUTDOWN, errno.EPROTO, errno.ENOPROTOOPT, errno.EOPNOTSUPP),
    SystemFailure.UNREACHABLE: (errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH,
                                errno.ENETDOWN, errno.ENETRESET, errno.EHOSTDOWN, errno.ENONET, errno.EPERM,
                                errno.EACCES),
    SystemFailure.NO_RESOURCES: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC),
    SystemFailure.NO_PORT: (errno.EADDRNOTAVAIL, errno.EADDRINUSE),
}  # fmt: skip
_BY_NUMBER = {number: failure for failure, numbers in _CLASSES.items() for number in numbers}


def classify(error: OSError) -> SystemFailure:
    """The class of a failed call. A name that cannot be resolved leads to no peer."""
    if isinstance(error, socket.gaierror):
        return SystemFailure.UNREACHABLE
    return _BY_NUMBER.get(error.errno or 0, SystemFailure.FATAL)


def concerns_one_peer(error: OSError) -> bool:
    """Of accept(2): errors that were pending on the new connection, or a firewall's no to it. The next one in
    the queue may be sound."""
    return classify(error) in (SystemFailure.CONNECTION_GONE, SystemFailure.UNREACHABLE)


def is_short_here(error: OSError) -> bool:
    """Of socket(2) and connect(2): this machine has no descriptor, port or buffer for the call at present,
    which says nothing about the peer."""
    return classify(error) in (SystemFailure.NO_RESOURCES, SystemFailure.NO_PORT)


def described(error: OSError, otherwise: type[Fault] | None = None) -> Fault | OSError:
    """For the log, with its remedy: of a lack of resources, or of the fault that it is `otherwise`."""
    if classify(error) is SystemFailure.NO_RESOURCES:
        return NoDescriptors(str(error))
    return otherwise(str(error)) if otherwise else error

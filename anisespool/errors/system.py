"""Classifies the errno of failed system calls on sockets, for all code that calls sockets directly.

Sources: the Linux manual pages accept(2), connect(2), socket(2), send(2), recv(2), tcp(7) and ip(7)."""

from __future__ import annotations

import errno
import socket
from enum import Enum, auto

from anisespool.errors.base import Fault
from anisespool.errors.limits import NoDescriptors


class SystemFailure(Enum):
    """Classes of failures, by what the caller can do about them."""

    WOULD_BLOCK = auto()  # not possible yet: wait until the descriptor is ready
    CONNECTION_GONE = auto()  # only this connection has failed: continue with the next
    UNREACHABLE = auto()  # the remote address cannot be reached at present
    NO_RESOURCES = auto()  # out of descriptors or buffers on this machine: free some and pause
    NO_PORT = auto()  # no local port is free for that remote address: pause
    FATAL = auto()  # a bug here, or unknown: pause, so that retries do not spin


_CLASSES: dict[SystemFailure, tuple[int, ...]] = {
    SystemFailure.WOULD_BLOCK: (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.EINPROGRESS,
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
    """The class of a failed call. A host name that cannot be resolved counts as unreachable."""
    if isinstance(error, socket.gaierror):
        return SystemFailure.UNREACHABLE
    return _BY_NUMBER.get(error.errno or 0, SystemFailure.FATAL)


def affects_one_connection(error: OSError) -> bool:
    """Whether a failed accept(2) concerns only the new connection: an error was pending on it, or a firewall
    rejected it. The next connection in the queue may be usable."""
    return classify(error) in (SystemFailure.CONNECTION_GONE, SystemFailure.UNREACHABLE)


def is_local_shortage(error: OSError) -> bool:
    """Whether socket(2) or connect(2) failed because this machine has no free descriptor, port or buffer,
    which says nothing about the remote side."""
    return classify(error) in (SystemFailure.NO_RESOURCES, SystemFailure.NO_PORT)


def to_fault(error: OSError, default: type[Fault] | None = None) -> Fault | OSError:
    """The error with its remedy, for the log: NoDescriptors when resources are exhausted, otherwise an error
    of type `default`, or `error` itself if there is no default."""
    if classify(error) is SystemFailure.NO_RESOURCES:
        return NoDescriptors(str(error))
    return default(str(error)) if default else error

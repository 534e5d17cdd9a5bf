"""What the kernel holds for the TCP sockets of a process, as its socket diagnostics tell (SK_MEMINFO)."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator
from contextlib import suppress
from typing import NamedTuple

NETLINK_SOCK_DIAG = 4  # linux/netlink.h
SOCK_DIAG_BY_FAMILY, NLMSG_ERROR, NLMSG_DONE = 20, 2, 3
NLM_F_REQUEST_DUMP = 0x301
INET_DIAG_SKMEMINFO = 7  # linux/inet_diag.h
OPEN_STATES = 0xFFF & ~(1 << 6)  # all but TIME_WAIT, linux/tcp_states.h
HEADER, MESSAGE_BYTES = struct.Struct("=IHHII"), 72  # struct nlmsghdr; struct inet_diag_msg
PORTS, ATTRIBUTE = struct.Struct("!HH"), struct.Struct("=HH")
INODE, MEMORY = struct.Struct("=I"), struct.Struct("=9I")
PORTS_OFFSET, INODE_OFFSET = 4, 68
ANSWER_BYTES = 1 << 16


class SocketMemory(NamedTuple):
    """One socket: its ports, its inode (0: no process has it open), and what the kernel holds for it."""

    local_port: int
    remote_port: int
    inode: int
    nbytes: int


def tcp_sockets() -> Iterator[SocketMemory]:
    """All open TCP sockets over IPv4 of this machine. Raises OSError."""
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_SKMEMINFO - 1), 0,
                          OPEN_STATES) + bytes(48)  # fmt: skip
    header = HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as diagnostics:
        diagnostics.sendto(header + request, (0, 0))
        while True:
            answer, offset = diagnostics.recv(ANSWER_BYTES), 0
            while offset < len(answer):
                length, kind, *_ = HEADER.unpack_from(answer, offset)
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError("the kernel has no socket diagnostics")
                yield _parse(answer[offset + HEADER.size : offset + length])
                offset += (length + 3) & ~3


def _parse(message: bytes) -> SocketMemory:
    local_port, remote_port = PORTS.unpack_from(message, PORTS_OFFSET)
    (inode,) = INODE.unpack_from(message, INODE_OFFSET)
    offset, nbytes = MESSAGE_BYTES, 0
    while offset < len(message):
        length, kind = ATTRIBUTE.unpack_from(message, offset)
        if kind == INET_DIAG_SKMEMINFO:
            received, _, _, _, ahead, queued, options, backlog, _ = MEMORY.unpack_from(message, offset + 4)
            nbytes = received + ahead + queued + options + backlog
        offset += (length + 3) & ~3
    return SocketMemory(local_port, remote_port, inode, nbytes)


def held_bytes(listen_port: int, server_ports: set[int]) -> int:
    """What the kernel holds for the open sockets of a sidecar that listens at one port, and connects to the
    others."""
    return sum(
        each.nbytes for each in tcp_sockets()
        if each.inode and (each.local_port == listen_port or each.remote_port in server_ports)
    )  # fmt: skip


def held_by_process(pid: int) -> int:
    """What the kernel holds for the sockets of one process. Raises OSError if it has ended."""
    folder = f"/proc/{pid}/fd"
    names = set()
    for name in os.listdir(folder):
        with suppress(FileNotFoundError):
            names.add(os.readlink(f"{folder}/{name}"))
    return sum(each.nbytes for each in tcp_sockets() if f"socket:[{each.inode}]" in names)

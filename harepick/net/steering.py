"""Steers new connections from one listening socket of an SO_REUSEPORT group to the one that came after it.

The kernel completes handshakes on behalf of a listening socket until the moment of its close, and resets what
lies in its queue then: no order of accepts and a close is free of that. A filter of the group (classic BPF,
Linux 4.5 and later) has the kernel choose another socket for whatever comes new; what had begun here is
taken, and then the socket can be closed with nothing in its queue.
"""

from __future__ import annotations

import socket
import struct

ATTACH, DETACH = 51, 68  # SO_ATTACH_REUSEPORT_CBPF, SO_DETACH_REUSEPORT_BPF: not in the standard library
RETURN = 0x06  # BPF_RET | BPF_K
SUCCESSOR = (
    1  # sockets of a group are numbered by age; an index that is not there leaves the choice to the kernel
)


def steer_away(sock: socket.socket) -> bool:
    """New connections go to the second oldest of the group, the successor. False: that cannot be had."""
    import ctypes  # only needed in a drain

    program = struct.pack("=HBBI", RETURN, 0, 0, SUCCESSOR)
    held = ctypes.create_string_buffer(program, len(program))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH, struct.pack("@HP", 1, ctypes.addressof(held)))
    except OSError:
        return False
    return True


def spread(sock: socket.socket) -> None:
    """Takes back what a process before this one has set for the group."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, DETACH, 0)
    except OSError:  # there was none, or the kernel is older
        return

"""Directs new connections from the oldest listening socket of an SO_REUSEPORT group to the next one.

The kernel completes handshakes on behalf of a listening socket until it is closed, and resets the
connections in its queue at the close; no order of accept and close calls avoids that. A classic BPF filter
on the group (Linux 4.5 and later) makes the kernel choose another socket for new connections. Connections
already begun on the old one are accepted, and it can then be closed with an empty queue."""

from __future__ import annotations

import socket
import struct

# SO_ATTACH_REUSEPORT_CBPF and SO_DETACH_REUSEPORT_BPF; the socket module lacks them.
ATTACH_CBPF, DETACH_BPF = 51, 68
BPF_RETURN = 0x06  # BPF_RET | BPF_K
# Sockets of a group are numbered by age; with an unused index the kernel chooses as usual.
SUCCESSOR_INDEX = 1


def steer_away(sock: socket.socket) -> bool:
    """Directs new connections to the second oldest socket of the group, the successor.

    Returns False if the kernel refuses the filter, or the socket is in no group."""
    import ctypes  # imported here because only a drain needs it

    program = struct.pack("=HBBI", BPF_RETURN, 0, 0, SUCCESSOR_INDEX)
    buffer = ctypes.create_string_buffer(program, len(program))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_CBPF, struct.pack("@HP", 1, ctypes.addressof(buffer)))
    except OSError:
        return False
    return True


def detach_filter(sock: socket.socket) -> None:
    """Removes a filter that an earlier process has attached to the group."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, DETACH_BPF, 0)
    except OSError:  # no filter is attached, or the kernel does not support them
        return

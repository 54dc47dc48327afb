"""Random free ports on loopback for test instances."""

from __future__ import annotations

import secrets
import socket
from contextlib import suppress

HOST = "127.0.0.1"
BELOW_EPHEMERAL = range(20_000, 32_000)  # the system assigns none of these to unbound sockets


def free_port(host: str = HOST) -> int:
    """A port that is free for TCP and UDP. It is below the ephemeral range, so that the system does not
    assign it to another socket before the program that it is meant for has started."""
    while True:
        port = secrets.choice(BELOW_EPHEMERAL)
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            suppress(OSError),
        ):
            tcp.bind((host, port))
            udp.bind((host, port))
            return port


def free_ports(count: int) -> list[int]:
    """`count` different free ports."""
    ports: dict[int, None] = {}
    while len(ports) < count:
        ports[free_port()] = None
    return list(ports)

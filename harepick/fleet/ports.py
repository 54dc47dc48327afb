"""Free ports on loopback, chosen and never fixed."""

from __future__ import annotations

import secrets
import socket
from contextlib import suppress

HOST = "127.0.0.1"
BELOW_EPHEMERAL = range(20_000, 32_000)  # the system gives none of these to sockets without a port


def free_port(host: str = HOST) -> int:
    """A port that is free for TCP and UDP, below those that the system gives to sockets without one: it stays
    free until the program that it is for has started."""
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
    """So many, no two the same."""
    ports: dict[int, None] = {}
    while len(ports) < count:
        ports[free_port()] = None
    return list(ports)

"""A client that sends faster than its messages are handled is not read any faster, from its first byte on."""

from __future__ import annotations

import os
import signal
import socket
import struct
import threading
import time
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path

import pytest

from benchmarks.daemons import Cluster, config_text
from harepick.net import binary
from harepick.store.transport import MAX_TOOLS
from harepick.store.wire import FRAME_TIMEOUT_S, MAX_FRAME, Hello, Request, frame
from tests import peers
from tests.dnspeers import EnumProgram, Upstream
from tests.flooder import MESSAGES
from tests.test_memory_bounds import MEMORY_MB, peak_memory_mb

FLOOD_S = 2.0


@dataclass
class Port:
    """A listening port of a running program, and what a client sends there."""

    process: int
    number: int
    first: bytes
    message: bytes  # repeated


def start(front: str, stack: ExitStack, folder: Path) -> Port:
    """Starts the program with one of its listeners."""
    if front in ("platform", "ops"):
        platform = peers.Platform()
        process = stack.enter_context(platform.run()).process.pid
        if front == "ops":
            return Port(process, platform.ops, b"GET / HTTP/1.1\r\nHost: x\r\n", b"a: b\r\n")
        return Port(
            process,
            platform.port,
            b"",
            binary.Message(binary.TEST, b"12345678", {binary.CAUSE: b"\0"}).encode(),
        )
    upstream = Upstream()
    if front == "ENUM":
        program = EnumProgram(upstream)
        process = stack.enter_context(program.run()).process.pid
        return Port(process, program.port, b"", MESSAGES["queries outside"]())
    cluster = Cluster(1, folder, config_text(("north", upstream.port)))
    cluster.start()
    (daemon,) = cluster.daemons
    stack.callback(daemon.kill)
    assert daemon.process is not None
    peers.until(lambda: b'"serving"' in daemon.log.read_bytes(), 20.0, "the start")
    hello = frame(Hello("tool", cluster.name))
    return Port(daemon.process.pid, daemon.store_port, hello, frame(Request(1, "status")))


def discard(sock: socket.socket) -> None:
    """Reads until the connection ends."""
    with suppress(OSError):
        while sock.recv(1 << 20):
            pass


@pytest.mark.alone
@pytest.mark.parametrize("reads", [True, False], ids=["reads", "never reads"])
@pytest.mark.parametrize("front", ["platform", "ops", "ENUM", "store"])
def test_client_at_full_speed_from_its_first_byte_on_does_not_fill_the_memory(
    front: str, reads: bool, tmp_path: Path
) -> None:
    """Regression: data that was there before the first read was read without end: 849 MB in 5 s."""
    with ExitStack() as stack:
        port = start(front, stack, tmp_path)
        block = port.message * ((1 << 20) // len(port.message))
        end = time.monotonic() + FLOOD_S
        while time.monotonic() < end:
            os.kill(port.process, signal.SIGSTOP)  # the bytes are there when it accepts the connection
            with suppress(OSError), socket.create_connection(("127.0.0.1", port.number)) as sock:
                if reads:
                    threading.Thread(target=discard, args=(sock,), daemon=True).start()
                sock.settimeout(0.05)
                with suppress(TimeoutError):
                    sock.sendall(port.first + block)
                os.kill(port.process, signal.SIGCONT)
                while time.monotonic() < end:
                    with suppress(TimeoutError):
                        sock.sendall(block)
            os.kill(port.process, signal.SIGCONT)
        assert peak_memory_mb(port.process) < MEMORY_MB / 2


def stalled_tool(port: int, cluster: str) -> socket.socket:
    """A tool that has sent most of a request, and sends no more."""
    sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
    sock.sendall(frame(Hello("tool", cluster)))
    sock.recv(4096)
    with suppress(OSError):
        sock.sendall(struct.pack(">I", MAX_FRAME) + b"x" * (MAX_FRAME - 10))
    return sock


@pytest.mark.alone
def test_tools_that_stop_half_way_through_a_request_lock_nobody_out(tmp_path: Path) -> None:
    """Regression: 64 of them took 260 MB, and no further tool was admitted for 300 s."""
    cluster = Cluster(1, tmp_path, config_text(("north", Upstream().port)))
    cluster.start()
    (daemon,) = cluster.daemons
    try:
        assert daemon.process is not None
        peers.until(lambda: b'"serving"' in daemon.log.read_bytes(), 20.0, "the start")
        stalled = [stalled_tool(daemon.store_port, cluster.name) for _ in range(MAX_TOOLS + 20)]
        cluster.tool("store", "status", "--operator", str(daemon.path))
        assert peak_memory_mb(daemon.process.pid) < MEMORY_MB / 2
        started_at = time.monotonic()
        stalled[-1].settimeout(FRAME_TIMEOUT_S + 2.0)
        assert stalled[-1].recv(4096) == b"", "it is disconnected"
        assert time.monotonic() - started_at < FRAME_TIMEOUT_S + 1.0
    finally:
        daemon.kill()

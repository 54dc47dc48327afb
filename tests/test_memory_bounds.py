"""Memory of the real program under floods, and parts of it that must let go of requests."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from harepick import interface
from harepick.core.call_table import CallTable
from harepick.core.inbox import Inbox
from harepick.core.messages import Offer
from harepick.core.timers import Timers
from harepick.net import sip
from harepick.net.connection_limits import MAX_OUTBOX_BYTES, CallerMessage
from harepick.net.outbox import Outbox
from tests import peers
from tests.flooder import new_set_up
from tests.test_engine_orders import CallWorld

MEMORY_MB = 192  # the platform's limit; above it the program is killed
LARGE_DESCRIPTION = b"d" * 16_000


def peak_memory_mb(process: int) -> float:
    """The largest resident set of the process so far."""
    status = Path(f"/proc/{process}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def large_set_up() -> bytes:
    """A set-up of nearly the longest size, with a new id."""
    return new_set_up(LARGE_DESCRIPTION)


def send_at_full_speed(port: int, message: Callable[[], bytes], stop: threading.Event) -> None:
    """One client that sends on one connection and discards its answers."""
    sock = socket.create_connection(("127.0.0.1", port))

    def discard_answers() -> None:
        with suppress(OSError):
            while sock.recv(1 << 20):
                pass

    threading.Thread(target=discard_answers, daemon=True).start()
    with suppress(OSError):
        while not stop.is_set():
            sock.sendall(b"".join(message() for _ in range(10)))


def serve(server: peers.SetupServer, answer: bytes | None) -> None:
    """Accepts and reads in the background; answers set-ups with this description, if there is one."""

    def serve_connection(connection: socket.socket) -> None:
        decoder = sip.Decoder()
        with suppress(OSError):
            while data := connection.recv(1 << 16):
                for message in decoder.feed(data) if answer is not None else ():
                    if message.method == "INVITE" and not message.status:
                        peers.reply(peers.Peer(connection, decoder), message, 200, answer or b"")

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = server.listener.accept()
                threading.Thread(target=serve_connection, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


@pytest.mark.alone
def test_large_set_ups_at_full_speed_stay_within_the_memory_limit() -> None:
    """Regression: the timer of each call kept its request until the caller's deadline, even for calls that
    were refused at once: 717 MB after 8 s."""
    platform = peers.Platform()
    serve(platform.servers[0], answer=None)  # it hangs
    stop = threading.Event()
    with platform.run() as running:
        clients = [
            threading.Thread(target=send_at_full_speed, args=(platform.port, large_set_up, stop), daemon=True)
            for _ in range(4)
        ]
        for client in clients:
            client.start()
        # All of these come within the time for which the timers of the first are set.
        running.wait_for_counter("callers.set_ups", 2 * (MEMORY_MB << 20) // len(LARGE_DESCRIPTION), 30.0)
        stop.set()
        assert peak_memory_mb(running.process.pid) < MEMORY_MB / 2


def test_requests_of_open_calls_are_bounded_in_bytes() -> None:
    """Regression: only their number was bounded, and 20,000 of the longest take over 300 MB."""
    world = CallWorld(cancelling=True)
    table = world.engine._calls = CallTable(20_000, max_request_bytes=100)
    for number in range(3):
        world.engine.process([Offer(f"d{number}", "a", 0, number, world.now + 4.0, world, b"", 60)])
    assert len(table) == 2 and table.request_bytes == 120 and world.finals == ["refused"]


@pytest.mark.anyio
async def test_new_calls_that_wait_for_the_core_are_bounded_in_bytes() -> None:
    """Regression: 8,192 requests of 16 KiB could wait in the inbox."""
    inbox = Inbox(max_request_bytes=100)
    offer = Offer("c1", "a", 0, 1, 9.0, CallWorld(cancelling=True), b"", request_bytes=60)
    await inbox.put(offer)
    await inbox.put(offer)
    with anyio.move_on_after(0.05) as scope:
        await inbox.put(offer)
    assert scope.cancelled_caught and len(inbox) == 2
    assert len(await inbox.drain(0)) == 2
    await inbox.put(offer)
    assert len(inbox) == 1


def test_caller_that_does_not_read_is_disconnected_at_a_bound_in_bytes() -> None:
    """Regression: 2,048 answers of 16 KiB could wait for one caller."""
    outbox: Outbox[CallerMessage] = Outbox(max_bytes=MAX_OUTBOX_BYTES, size_of=CallerMessage.size)
    answer = CallerMessage(b"", b"a" * 16_384, "answer")
    for _ in range(MAX_OUTBOX_BYTES // 16_384):
        assert outbox.put(answer)
    assert not outbox.put(answer)
    assert len(outbox.take()) == 32 and outbox.put(answer)
    assert len(outbox.clear()) == 33 and not len(outbox) and outbox.put(answer)


def test_cancelled_timers_let_go_of_their_items() -> None:
    """Regression: a timer kept its item until it was due."""
    timers: Timers[str] = Timers()
    cancelled = [timers.set(10.0 + n, f"item {n}") for n in range(1_000)]
    kept = timers.set(500.5, "kept")
    for timer in cancelled:
        timers.cancel(timer)
        timers.cancel(timer)
    timers.cancel(None)
    assert len(timers) == 1 and len(timers._heap) < 600 and all(timer.item is None for timer in cancelled)
    assert timers.next_due() == 500.5 and timers.due(500.4) == [] and timers.due(501.0) == ["kept"]
    timers.cancel(kept)
    assert len(timers) == 0 and timers.next_due() == float("inf")


def test_core_drops_a_request_as_soon_as_its_call_is_not_sent_again() -> None:
    """Regression: it was kept while the call stood, and beyond."""
    world = CallWorld(cancelling=True)
    table: CallTable = world.engine._calls
    world.engine.process([Offer("c2", "a", 0, 78, world.now + 4.0, world, b"request", request_bytes=7)])
    record = table.get("c2")
    assert record is not None and table.request_bytes == 7 and record.offer.request == b"request"
    (placed,) = [attempt for attempt in world.waiting if attempt.call == "c2"]
    world.engine._on_attempt_ended(placed, interface.Outcome.RESET, world.now)
    assert table.request_bytes == 7, "it is sent again after the release guard"
    world.engine._close_answer(record)
    assert table.request_bytes == 0 and record.offer.request is None

"""Clients that leave with much of what they sent still unread, and ids that come again."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress

import anyio
import pytest
from anyio.abc import SocketStream

from harepick.net import sip
from harepick.net.read_ahead import DISCONNECTED, MAX_CONNECTION_BYTES, ReadAhead, ReadAheadBudget
from tests import peers
from tests.flooder import new_set_up

GONE_AFTER_S = 0.1  # an attempt that begins later after its client left breaks a rule


class RecordingServer:
    """A setup server that records the time of each set-up, and answers it if `answers`."""

    def __init__(self, server: peers.SetupServer, *, answers: bool) -> None:
        self.set_ups: list[tuple[float, str]] = []
        self._listener, self._answers = server.listener, answers
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        self._listener.settimeout(None)
        with suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        decoder = sip.Decoder()
        peer = peers.Peer(connection, decoder)
        with suppress(OSError):
            while data := connection.recv(1 << 16):
                now = time.time()
                for message in decoder.feed(data):
                    if message.method == "INVITE" and not message.status:
                        self.set_ups.append((now, message.call))
                        if self._answers:
                            peers.reply(peer, message, 200, b"answer")


@pytest.mark.alone
@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
@pytest.mark.parametrize("count", [400, 2_000])
def test_nothing_is_sent_for_a_client_that_sent_much_before_it_left(how: str, count: int) -> None:
    """Regression: the end of the connection was read only after all set-ups before it had been handled, and
    580 of 2,000 were sent to a server up to 0.23 s after their client had left."""
    platform = peers.Platform()
    with platform.run() as running:
        server = RecordingServer(platform.servers[0], answers=True)
        sock = socket.create_connection(("127.0.0.1", platform.port))
        sock.sendall(b"".join(new_set_up() for _ in range(count)))
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        if how == "half-close":
            sock.shutdown(socket.SHUT_WR)
        else:
            sock.close()
        left_at = time.time()
        peers.until(lambda: running.events("closed") or time.time() > left_at + 1.0, why="the end")
        time.sleep(0.5)
        late = [at - left_at for at, _ in server.set_ups if at - left_at > GONE_AFTER_S]
        assert not late, f"{len(late)} set-ups were sent up to {max(late):.3f} s after their client had left"
        other = peers.Caller(platform.port)
        other.final_answer(other.call())


@pytest.mark.anyio
async def test_read_ahead_keeps_the_order_and_its_bounds() -> None:
    listener = peers.listen()
    client = socket.create_connection(listener.getsockname())
    stream = await SocketStream.from_socket(listener.accept()[0])
    budget, ended = ReadAheadBudget(), anyio.Event()
    incoming = ReadAhead(stream, budget, ended.set)
    data = bytes(range(256)) * 16_384  # 4 MiB

    def send() -> None:
        client.sendall(data)
        client.close()

    threading.Thread(target=send, daemon=True).start()
    async with anyio.create_task_group() as tasks:
        found = bytearray(await incoming.receive())
        incoming.start(tasks)
        incoming.start(tasks)
        await anyio.sleep(0.2)
        assert MAX_CONNECTION_BYTES <= incoming.held == budget.held < MAX_CONNECTION_BYTES + (1 << 18)
        assert not ended.is_set()
        with pytest.raises(DISCONNECTED):
            while True:
                found += await incoming.receive()
        assert found == data and ended.is_set() and budget.held == 0
    await stream.aclose()

"""Clients that leave with much of what they sent still unread, and ids that come again."""

from __future__ import annotations

import signal
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketStream

from harepick.core.effects import KEEP_S, MAX_CALLS, EffectChange, PossibleEffects
from harepick.counters import Counters
from harepick.fleet.ports import free_port
from harepick.net import binary, sip
from harepick.net.effect_file import MAX_FILE_BYTES, EffectFile
from harepick.net.read_ahead import DISCONNECTED, MAX_CONNECTION_BYTES, ReadAhead, ReadAheadBudget
from harepick.settings import Address
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


@pytest.mark.parametrize("effect", ["single_shot", "guarded", "free"])
def test_id_that_comes_again_after_its_client_left_does_not_run_twice(effect: str) -> None:
    """Regression: a call that must not be repeated, and may have taken effect, was sent again."""
    platform = peers.Platform()
    platform.config["settings"]["Classes"][0]["Effect"] = effect
    with platform.run() as running:
        server = RecordingServer(platform.servers[0], answers=False)
        client = peers.Caller(platform.port)
        call = client.call()
        peers.until(lambda: server.set_ups, why="the set-up")
        client.close()
        running.wait_for_counter("attempts.cancelled")
        time.sleep(0.3)  # longer than the release guard
        again = peers.Caller(platform.port)
        again.call(call_id=call)
        if effect == "free":
            peers.until(lambda: len(server.set_ups) == 2, why="the second set-up")
        else:
            answer = again.final_answer(call)
            assert answer.type == binary.RELEASE and answer.parameters[binary.CAUSE] == bytes([41])
            assert len(server.set_ups) == 1 and running.counters()["answers.repeated"] == 1


def test_id_of_a_call_that_never_ran_can_be_used_again() -> None:
    platform = peers.Platform(servers=2)
    platform.config["settings"]["Classes"][0]["Effect"] = "single_shot"
    platform.config["settings"]["Bounds"]["TryLimit"] = 1
    with platform.run():
        call, caller = b"12345678", peers.Caller(platform.port)
        for _ in range(2):
            caller.call(call_id=call)
            connection, invite = peers.until(lambda: platform.servers[0].invited(0.1), why="the set-up")
            peers.reply(connection, invite, 503)  # full: it never ran
            assert caller.final_answer(call).type == binary.RELEASE


def test_possible_effects_are_bounded_and_forgotten() -> None:
    effects = PossibleEffects()
    for number in range(MAX_CALLS + 10):
        effects.add(str(number), 100.0)
    assert len(effects) == MAX_CALLS and not effects.includes("9", 100.0) and effects.includes("10", 100.0)
    effects.add("10", 130.0)
    assert effects.includes("10", 100.0 + KEEP_S + 1.0) and len(effects) == 1
    assert not effects.includes("10", 131.0 + KEEP_S) and len(effects) == 0


def test_id_that_ran_in_the_old_process_of_an_upgrade_does_not_run_in_the_new_one(tmp_path: Path) -> None:
    """Regression: the two processes knew nothing of each other's calls."""
    platform = peers.Platform()
    platform.config["settings"]["Classes"][0]["Effect"] = "single_shot"
    with platform.run(TMPDIR=str(tmp_path)) as old:
        server = RecordingServer(platform.servers[0], answers=False)
        client = peers.Caller(platform.port)
        call = client.call()
        peers.until(lambda: server.set_ups, why="the set-up")
        platform.config["ops"] = f"127.0.0.1:{free_port()}"
        with platform.run(TMPDIR=str(tmp_path)):
            old.process.send_signal(signal.SIGTERM)
            peers.until(lambda: old.events("not_listening"), why="the end of the old listener")
            client.close()
            again = peers.Caller(platform.port)
            again.call(call_id=call, time_limit_ms=1_000)
            assert again.final_answer(call).parameters[binary.CAUSE] == bytes([41])
            assert len(server.set_ups) == 1, "the call was set up in both processes"


def test_effect_file_is_bounded_and_survives_what_it_cannot_read(tmp_path: Path) -> None:
    counters, listen = Counters(), Address("127.0.0.1", 5080)
    one, other = (EffectFile(tmp_path, listen, counters) for _ in range(2))
    possible, impossible = EffectChange("00" * 8, True), EffectChange("00" * 8, False)
    assert list(other.read_new()) == []
    one.append(possible)
    other.append(impossible)
    assert list(other.read_new()) == [possible, impossible] == list(one.read_new())
    (path,) = tmp_path.iterdir()
    with path.open("ab") as file:
        file.write(b"torn")
    assert list(one.read_new()) == []
    other.append(possible)
    assert path.stat().st_size == 27 and list(one.read_new()) == [possible]
    path.write_bytes(bytes(MAX_FILE_BYTES))
    one.append(possible)
    assert path.stat().st_size == 9 and list(other.read_new()) == [possible]
    path.unlink()
    path.mkdir()
    one.append(possible)
    assert counters["effects.unwritten"] == 1 and list(one.read_new()) == []

"""The process supervisor: starts the rig's instances, and ends all of them however the rig ends.

Its protocol is JSON lines. Input: `{"start": NAME, "words": [...], "folder": F, "log": PATH}`,
`{"signal": NAME, "number": N}`. Output: `{"started": NAME, "id": PID}`, `{"ended": NAME, "code": C}`. When
its standard input ends, which the kernel ensures even if the rig is killed, it kills all processes that it
started, including those paused by a signal, and waits for them.

    python -m harepick.fleet.supervisor
"""

from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

READ_SIZE = 65_536
MAX_LINE_BYTES = 1024 * 1024
KILL_TIMEOUT_S = 5.0  # for a killed process to end


class Supervisor:
    """The parent of all instances, so that a process id is not reused before the process was waited for."""

    def __init__(self) -> None:
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def serve(self) -> None:
        """Handles commands until standard input ends, then kills all processes."""
        wakeup_read, wakeup_write = os.pipe()
        os.set_blocking(wakeup_write, False)
        signal.set_wakeup_fd(wakeup_write)
        signal.signal(signal.SIGCHLD, lambda *_: None)
        # Only the end of standard input ends the supervisor, not a signal from the terminal.
        for ignored in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            signal.signal(ignored, signal.SIG_IGN)
        buffer = b""
        try:
            while True:
                ready, _, _ = select.select([0, wakeup_read], [], [])
                if wakeup_read in ready:
                    os.read(wakeup_read, READ_SIZE)
                    self._reap()
                if 0 in ready:
                    data = os.read(0, READ_SIZE)
                    if not data or len(buffer) > MAX_LINE_BYTES:
                        return
                    *lines, buffer = (buffer + data).split(b"\n")
                    for line in lines:
                        self._handle(orjson.loads(line))
        finally:
            self.end()

    def _send(self, **line: object) -> None:
        os.write(1, orjson.dumps(line) + b"\n")

    def _handle(self, line: dict[str, Any]) -> None:
        if "start" in line:
            name = line["start"]
            try:
                with Path(line["log"]).open("ab") as log:
                    process = subprocess.Popen(
                        line["words"],
                        cwd=line["folder"],
                        stdin=subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                    )
            except OSError as error:
                self._send(started=name, id=0, error=str(error))
                return
            self._running[name] = process
            self._send(started=name, id=process.pid)
        elif running := self._running.get(line["signal"]):
            running.send_signal(line["number"])

    def _reap(self) -> None:
        for name, process in list(self._running.items()):
            if process.poll() is not None:
                del self._running[name]
                self._send(ended=name, code=process.returncode)

    def end(self) -> None:
        """Kills all running processes and waits for them."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait(KILL_TIMEOUT_S)
        self._running.clear()


if __name__ == "__main__":
    try:
        Supervisor().serve()
    except BrokenPipeError:
        sys.exit(0)  # the rig has ended; `serve` has killed all processes

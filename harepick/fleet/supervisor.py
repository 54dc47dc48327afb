"""The keeper: a small process that starts the rig's instances and ends each of them, however the rig ends.

Spoken to in JSON lines. In: `{"start": NAME, "words": [...], "folder": F, "log": PATH}`,
`{"signal": NAME, "number": N}`. Out: `{"started": NAME, "id": PID}`, `{"ended": NAME, "code": C}`. When its
standard input ends, which the kernel sees to also if the rig is killed, every process that it started is
killed by its id, stopped ones too, and waited for.

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

READ = 65_536
MAX_LINE = 1024 * 1024
LAST_WAIT = 5.0  # seconds for a killed process to be gone


class Supervisor:
    """Owns the processes: the parent of each, so that an id is its own until it has been waited for."""

    def __init__(self) -> None:
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def serve(self) -> None:
        """Until the end of standard input."""
        wake, woken = os.pipe()
        os.set_blocking(woken, False)
        signal.set_wakeup_fd(woken)
        signal.signal(signal.SIGCHLD, lambda *_: None)
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)  # the rig's end is the sign to go, not the terminal's
        buffer = b""
        try:
            while True:
                ready, _, _ = select.select([0, wake], [], [])
                if wake in ready:
                    os.read(wake, READ)
                    self._reap()
                if 0 in ready:
                    data = os.read(0, READ)
                    if not data or len(buffer) > MAX_LINE:
                        return
                    *lines, buffer = (buffer + data).split(b"\n")
                    for line in lines:
                        self._obey(orjson.loads(line))
        finally:
            self.end()

    def _tell(self, **line: object) -> None:
        os.write(1, orjson.dumps(line) + b"\n")

    def _obey(self, line: dict[str, Any]) -> None:
        if "start" in line:
            name = line["start"]
            try:
                with Path(line["log"]).open("ab") as out:
                    process = subprocess.Popen(
                        line["words"],
                        cwd=line["folder"],
                        stdin=subprocess.DEVNULL,
                        stdout=out,
                        stderr=out,
                    )
            except OSError as error:
                self._tell(started=name, id=0, error=str(error))
                return
            self._running[name] = process
            self._tell(started=name, id=process.pid)
        elif known := self._running.get(line["signal"]):
            known.send_signal(line["number"])

    def _reap(self) -> None:
        for name, process in list(self._running.items()):
            if process.poll() is not None:
                del self._running[name]
                self._tell(ended=name, code=process.returncode)

    def end(self) -> None:
        """Kills what still runs."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait(LAST_WAIT)
        self._running.clear()


if __name__ == "__main__":
    try:
        Supervisor().serve()
    except BrokenPipeError:
        sys.exit(0)  # the rig is gone; all that ran was ended on the way here

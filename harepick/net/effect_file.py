"""A file in $TMPDIR through which the two processes of an upgrade tell each other what may have taken effect.

The platform keeps $TMPDIR over an upgrade and empties it at any other start. The file holds records of nine
bytes, each appended in one write: the call id, and whether the call may have taken effect. It is created with
the first call that must not be repeated."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from harepick.core.effects import EffectChange
from harepick.counters import Counters
from harepick.settings import Address

ID_BYTES = 8
RECORD_BYTES = ID_BYTES + 1
POSSIBLE, IMPOSSIBLE = b"\1", b"\0"
MAX_FILE_BYTES = 1 << 20  # the file is begun anew then; $TMPDIR counts as memory


class EffectFile:
    """The file of the border controller that listens on `listen`; implements `EffectJournal`."""

    def __init__(self, folder: Path, listen: Address, counters: Counters) -> None:
        self._path = folder / f"harepick-effects-{listen.port}"
        self._counters = counters
        self._read_bytes = 0

    def append(self, change: EffectChange) -> None:
        """Adds a change; one that can't be written is counted as `effects.unwritten`."""
        record = bytes.fromhex(change.call) + (POSSIBLE if change.possible else IMPOSSIBLE)
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        try:
            descriptor = os.open(self._path, flags, 0o600)
            try:
                size = os.fstat(descriptor).st_size
                if size >= MAX_FILE_BYTES:
                    os.ftruncate(descriptor, 0)
                elif size % RECORD_BYTES:  # a write that was cut off
                    os.ftruncate(descriptor, size - size % RECORD_BYTES)
                os.write(descriptor, record)
            finally:
                os.close(descriptor)
        except OSError:
            self._counters.add("effects.unwritten")

    def read_new(self) -> Iterable[EffectChange]:
        """Returns the changes since the last time; none if there is no file or it can't be read."""
        try:
            size = self._path.stat().st_size
            if size < self._read_bytes:  # begun anew
                self._read_bytes = 0
            if size == self._read_bytes:
                return []
            with self._path.open("rb") as file:
                file.seek(self._read_bytes)
                data = file.read(size - self._read_bytes)
        except OSError:
            return []
        whole = len(data) - len(data) % RECORD_BYTES
        self._read_bytes += whole
        records = [data[start : start + RECORD_BYTES] for start in range(0, whole, RECORD_BYTES)]
        return [EffectChange(record[:ID_BYTES].hex(), record[ID_BYTES:] == POSSIBLE) for record in records]

"""A file layer in memory that crashes, tears, reorders, flips bits and fills up, as a seed says."""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random

from harepick.store.disk.files import Handle, LockedError


class Crash(BaseException):
    """The power goes at this operation."""


class _File:
    def __init__(self) -> None:
        self.durable = b""
        self.pending: list[bytes] = []  # writes since the last sync

    @property
    def data(self) -> bytes:
        return self.durable + b"".join(self.pending)

    def copy(self) -> _File:
        other = _File()
        other.durable, other.pending = self.durable, list(self.pending)
        return other


class _Handle:
    def __init__(self, files: FaultyFiles, file: _File) -> None:
        self._files, self._file = files, file

    def write(self, data: bytes) -> None:
        def torn() -> None:
            self._file.pending.append(data[: len(data) // 2])

        self._files.operation("write", torn)
        room = self._files.room
        if room is not None and self._files.size() + len(data) > room:
            self._file.pending.append(data[: max(0, room - self._files.size())])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._file.pending.append(data)

    def sync(self) -> None:
        if self._files.fail_syncs:
            self._files.operation("sync", lambda: None)
            raise OSError(errno.EIO, "Input/output error")
        self._files.operation("sync", lambda: None)
        if not self._files.lying_sync:
            self._file.durable, self._file.pending = self._file.data, []

    def close(self) -> None:
        pass


class FaultyFiles:
    """The folder. Names have a durable and a present form; `sync_folder` makes the one the other."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.present: dict[str, _File] = {}
        self.durable: dict[str, _File] = {}
        self.steps: list[Callable[[dict[str, _File]], None]] = []  # changes of names since the last sync
        self.room: int | None = None
        self.fail_syncs = False
        self.crash_at: int | None = None  # operations until the power goes
        self.operations = 0
        self.locked = False
        self.lying_sync = False  # a disk that says it has synced, and has not: to show that tests find it

    def __str__(self) -> str:
        return "memory"

    def size(self) -> int:
        return sum(len(f.data) for f in self.present.values())

    def operation(self, kind: str, half: Callable[[], None]) -> None:
        self.operations += 1
        if self.crash_at is not None and self.operations >= self.crash_at:
            half()
            self.crash_at = None
            raise Crash(kind)

    def names(self) -> list[str]:
        return sorted(self.present)

    def read(self, name: str) -> bytes:
        return self.present[name].data

    def append(self, name: str) -> Handle:
        self.operation("create", lambda: None)
        if name not in self.present:
            file = self.present[name] = _File()
            self.steps.append(lambda names: names.__setitem__(name, file))
        return _Handle(self, self.present[name])

    def truncate(self, name: str, size: int) -> None:
        self.operation("truncate", lambda: None)
        file = self.present[name]
        file.durable, file.pending = file.data[:size], []

    def rename(self, old: str, new: str) -> None:
        self.operation("rename", lambda: None)
        file = self.present[new] = self.present.pop(old)

        def step(names: dict[str, _File]) -> None:
            names.pop(old, None)
            names[new] = file

        self.steps.append(step)

    def remove(self, name: str) -> None:
        self.operation("remove", lambda: None)
        del self.present[name]

        def step(names: dict[str, _File]) -> None:
            names.pop(name, None)

        self.steps.append(step)

    def sync_folder(self) -> None:
        self.operation("sync_folder", lambda: None)
        self.durable, self.steps = dict(self.present), []

    def lock(self) -> None:
        if self.locked:
            raise LockedError("folder memory is in use by another process")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    # What a test does to it

    def process_dies(self) -> None:
        """The process is killed, the machine goes on: what was written is there."""
        self.locked = False

    def power_fails(self) -> None:
        """What was not synced may be there, in part, in any order, or not at all."""
        rng = self.rng
        names = dict(self.durable)
        for step in self.steps[: rng.randint(0, len(self.steps))]:
            step(names)
        for file in {id(f): f for f in names.values()}.values():
            kept = [rng.choice(("all", "part", "none")) for _ in file.pending]
            tail = b""
            for write, how in zip(file.pending, kept, strict=True):
                if how == "all":
                    tail += write
                elif how == "part":
                    cut = rng.randint(0, len(write))
                    parts = [write[:cut], bytes(len(write) - cut)]
                    if rng.random() < 0.3:
                        parts = [bytes(cut), write[cut:]]
                    tail += b"".join(parts)
                else:
                    tail += bytes(len(write))
            if rng.random() < 0.5:
                tail = tail[: rng.randint(0, len(tail))]  # the size was not written either
            file.durable, file.pending = file.durable + tail, []
        self.present, self.durable, self.steps = names, dict(names), []
        self.locked = False

    def flip(self, name: str, bit: int) -> None:
        file = self.present[name]
        data = bytearray(file.data)
        data[bit // 8] ^= 1 << bit % 8
        file.durable, file.pending = bytes(data), []

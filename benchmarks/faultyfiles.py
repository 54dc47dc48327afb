"""An in-memory file layer for the store's disk code that injects seeded storage faults.

It can lose power in the middle of a write, tear or reorder unsynced writes, flip bits, run out of space,
fail syncs and acknowledge syncs that it did not perform.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random

from harepick.store.disk.files import Handle, LockedError


class Crash(BaseException):
    """Power failure at a file operation; the text names the operation."""


class _File:
    """Contents of a file: what was synced, and the writes after that."""

    def __init__(self) -> None:
        self.durable = b""
        self.pending: list[bytes] = []  # writes since the last sync

    @property
    def data(self) -> bytes:
        """What a process reads now."""
        return self.durable + b"".join(self.pending)

    def copy(self) -> _File:
        """An independent copy."""
        other = _File()
        other.durable, other.pending = self.durable, list(self.pending)
        return other


class _Handle:
    """Appends to one file."""

    def __init__(self, files: FaultyFiles, file: _File) -> None:
        self._files, self._file = files, file

    def write(self, data: bytes) -> None:
        """Appends; writes half of the data if the power fails, and what fits if the disk is full."""

        def write_half() -> None:
            self._file.pending.append(data[: len(data) // 2])

        self._files.operation("write", write_half)
        capacity = self._files.capacity
        if capacity is not None and self._files.size() + len(data) > capacity:
            self._file.pending.append(data[: max(0, capacity - self._files.size())])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._file.pending.append(data)

    def sync(self) -> None:
        """Makes the writes durable, unless syncs fail or are only claimed."""
        if self._files.fail_syncs:
            self._files.operation("sync", lambda: None)
            raise OSError(errno.EIO, "Input/output error")
        self._files.operation("sync", lambda: None)
        if not self._files.ignore_syncs:
            self._file.durable, self._file.pending = self._file.data, []

    def close(self) -> None:
        pass


class FaultyFiles:
    """One folder. `present` holds the names that processes see, `durable` those that survive a power failure.

    `sync_folder` makes the present names durable."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.present: dict[str, _File] = {}
        self.durable: dict[str, _File] = {}
        # Changes of names since the last `sync_folder`.
        self.name_changes: list[Callable[[dict[str, _File]], None]] = []
        self.capacity: int | None = None  # bytes that fit; None: no limit
        self.fail_syncs = False
        self.crash_at: int | None = None  # value of `operations` at which the power fails
        self.operations = 0
        self.locked = False
        self.ignore_syncs = False  # syncs are acknowledged but not done, to prove that the tests detect it

    def __str__(self) -> str:
        return "memory"

    def size(self) -> int:
        """Bytes in all files."""
        return sum(len(f.data) for f in self.present.values())

    def operation(self, kind: str, write_part: Callable[[], None]) -> None:
        """Counts an operation. At `crash_at` performs part of it and raises `Crash`."""
        self.operations += 1
        if self.crash_at is not None and self.operations >= self.crash_at:
            write_part()
            self.crash_at = None
            raise Crash(kind)

    def names(self) -> list[str]:
        """The names that a process sees."""
        return sorted(self.present)

    def read(self, name: str) -> bytes:
        """The contents that a process sees."""
        return self.present[name].data

    def append(self, name: str) -> Handle:
        """Opens a file for appending; creates it if there is none."""
        self.operation("create", lambda: None)
        if name not in self.present:
            file = self.present[name] = _File()
            self.name_changes.append(lambda names: names.__setitem__(name, file))
        return _Handle(self, self.present[name])

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file, durably."""
        self.operation("truncate", lambda: None)
        file = self.present[name]
        file.durable, file.pending = file.data[:size], []

    def rename(self, old: str, new: str) -> None:
        """Renames a file; durable after `sync_folder`."""
        self.operation("rename", lambda: None)
        file = self.present[new] = self.present.pop(old)

        def apply_rename(names: dict[str, _File]) -> None:
            names.pop(old, None)
            names[new] = file

        self.name_changes.append(apply_rename)

    def remove(self, name: str) -> None:
        """Removes a file; durable after `sync_folder`."""
        self.operation("remove", lambda: None)
        del self.present[name]

        def apply_removal(names: dict[str, _File]) -> None:
            names.pop(name, None)

        self.name_changes.append(apply_removal)

    def sync_folder(self) -> None:
        """Makes the present names durable."""
        self.operation("sync_folder", lambda: None)
        self.durable, self.name_changes = dict(self.present), []

    def lock(self) -> None:
        """Raises `LockedError` if a process holds the lock."""
        if self.locked:
            raise LockedError("folder memory is in use by another process")
        self.locked = True

    def close(self) -> None:
        """Releases the lock."""
        self.locked = False

    # Faults

    def process_dies(self) -> None:
        """Kills the process: what was written stays, synced or not, and the lock is released."""
        self.locked = False

    def power_fails(self) -> None:
        """Fails the power: each unsynced write survives whole, in part or not at all, in any order."""
        rng = self.rng
        names = dict(self.durable)
        for change in self.name_changes[: rng.randint(0, len(self.name_changes))]:
            change(names)
        for file in {id(f): f for f in names.values()}.values():
            outcomes = [rng.choice(("all", "part", "none")) for _ in file.pending]
            tail = b""
            for write, outcome in zip(file.pending, outcomes, strict=True):
                if outcome == "all":
                    tail += write
                elif outcome == "part":
                    split = rng.randint(0, len(write))
                    parts = [write[:split], bytes(len(write) - split)]
                    if rng.random() < 0.3:
                        parts = [bytes(split), write[split:]]
                    tail += b"".join(parts)
                else:
                    tail += bytes(len(write))
            if rng.random() < 0.5:
                tail = tail[: rng.randint(0, len(tail))]  # the file's new length was lost as well
            file.durable, file.pending = file.durable + tail, []
        self.present, self.durable, self.name_changes = names, dict(names), []
        self.locked = False

    def flip(self, name: str, bit: int) -> None:
        """Flips one bit of a file; bits count from the first byte's lowest."""
        file = self.present[name]
        data = bytearray(file.data)
        data[bit // 8] ^= 1 << bit % 8
        file.durable, file.pending = bytes(data), []

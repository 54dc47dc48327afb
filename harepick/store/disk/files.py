"""The file system operations that the storage needs, as an interface that tests implement with faults."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class StorageError(Exception):
    """The folder can't be used as it is; the text names the file and the offset."""


class LockedError(StorageError):
    """Another process uses the folder."""


class Handle(Protocol):
    """A file that is open for appending. Every method may raise `OSError`."""

    def write(self, data: bytes) -> None:
        """Appends all of `data`, or raises `OSError`."""

    def sync(self) -> None:
        """Makes everything written so far durable."""

    def close(self) -> None: ...


class Files(Protocol):
    """The files of one folder. Every method may raise `OSError`."""

    def names(self) -> list[str]:
        """Returns the names of the files; none if the folder does not exist."""

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> Handle:
        """Opens a file for appending; creates it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to `size` bytes, durably."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""

    def lock(self) -> None:
        """Locks the folder until `close` or the end of the process; raises `LockedError`."""

    def close(self) -> None:
        """Releases the lock."""


class _OsHandle:
    """A `Handle` on a file descriptor."""

    def __init__(self, path: Path) -> None:
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view) :]

    def sync(self) -> None:
        os.fdatasync(self._fd)

    def close(self) -> None:
        os.close(self._fd)


class OsFiles:
    """`Files` on a folder of the operating system."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self._lock: int | None = None

    def __str__(self) -> str:
        return str(self.folder)

    def names(self) -> list[str]:
        return sorted(path.name for path in self.folder.iterdir()) if self.folder.exists() else []

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def append(self, name: str) -> Handle:
        return _OsHandle(self.folder / name)

    def truncate(self, name: str, size: int) -> None:
        fd = os.open(self.folder / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise LockedError(f"folder {self.folder} is in use by another process") from None
        self._lock = fd

    def close(self) -> None:
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

"""The few things that the storage asks of a file system, so that tests can stand in a faulty one."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class StorageError(Exception):
    """The folder can't be used as it is; the text names file and place."""


class LockedError(StorageError):
    """Another process works in this folder."""


class Handle(Protocol):
    """An open file that grows at its end."""

    def write(self, data: bytes) -> None:
        """All of it, or `OSError`."""

    def sync(self) -> None: ...

    def close(self) -> None: ...


class Files(Protocol):
    """One folder. Every method may raise `OSError`."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str) -> Handle:
        """Opens for writing at the end; makes the file if it is not there."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts to `size` bytes, durably."""

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...

    def lock(self) -> None:
        """For this process alone, until it ends; raises `LockedError`."""

    def close(self) -> None: ...


class _OsHandle:
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
    """A folder of the real file system."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder)
        self._lock: int | None = None

    def __str__(self) -> str:
        return str(self.folder)

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folder.iterdir()) if self.folder.exists() else []

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

"""The few things that the journal asks of a disk, and the real one.

Guarantees: append() returns once the operating system has the bytes, sync() once the disk has them; nothing
is retried here, as a failed sync leaves unknown what the disk holds. Every error is an OSError.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderFiles(Protocol):
    """One folder of append-only files."""

    def names(self) -> list[str]: ...

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Its first bytes, all of them by default. Raises FileNotFoundError."""

    def size(self, name: str) -> int: ...

    def create(self, name: str) -> None:
        """An empty file, open for append(); its name is lasting after sync_folder()."""

    def append(self, name: str, data: bytes) -> None: ...

    def sync(self, name: str) -> None: ...

    def close(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...


class FolderInUseError(OSError):
    """Another process writes this folder."""


class LocalFolder:
    """A real folder; one process at a time may write it, any may read."""

    def __init__(self, path: str, for_writing: bool = True) -> None:
        self.path = Path(path)
        self.descriptors: dict[str, int] = {}
        self.lock_descriptor = -1
        if not for_writing:
            return
        self.path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_descriptor = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.lock_descriptor)
            raise FolderInUseError(f"{path} is in use by another process") from None

    def names(self) -> list[str]:
        return sorted(each.name for each in self.path.iterdir() if each.is_file())

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        with open(self.path / name, "rb") as file:
            return file.read(max_bytes)

    def size(self, name: str) -> int:
        return (self.path / name).stat().st_size

    def create(self, name: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self.descriptors[name] = os.open(self.path / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self.descriptors[name], remaining) :]

    def sync(self, name: str) -> None:
        os.fsync(self.descriptors[name])

    def close(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, -1)
        if descriptor >= 0:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close_all(self) -> None:
        """Close everything; the lock goes last."""
        for name in list(self.descriptors):
            self.close(name)
        if self.lock_descriptor >= 0:
            os.close(self.lock_descriptor)
            self.lock_descriptor = -1

"""The file operations that the journal needs, and their implementation on a local folder.

append() returns once the operating system has the bytes, sync() once the disk has them. No operation is
retried here: after a failed sync it is unknown which bytes the disk holds. Every error is an OSError.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class FolderFiles(Protocol):
    """The operations on one folder of append-only files."""

    def names(self) -> list[str]:
        """Returns the names of the files, in any order."""

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Returns the first max_bytes bytes of the file; a negative max_bytes reads all of it.

        Raises FileNotFoundError if there is no such file.
        """

    def size(self, name: str) -> int:
        """Returns the file's size in bytes."""

    def create(self, name: str) -> None:
        """Creates an empty file and opens it for append(); its name is durable after sync_folder()."""

    def append(self, name: str, data: bytes) -> None:
        """Appends all of the data to a file opened by create()."""

    def sync(self, name: str) -> None:
        """Syncs the file's content to disk."""

    def close(self, name: str) -> None:
        """Closes the file if it is open."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces any file of the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Syncs the folder, which makes the names of its files durable."""


class FolderInUseError(OSError):
    """Another process holds the folder's lock."""


class LocalFolder:
    """A folder on a local disk. One process at a time may write to it; any number may read.

    With for_writing, the constructor creates the folder if it is missing and locks it until close_all().
    Raises FolderInUseError if another process holds the lock.
    """

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
        """Returns the names of the files, sorted."""
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file())

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Returns the first max_bytes bytes of the file; a negative max_bytes reads all of it.

        Raises FileNotFoundError if there is no such file.
        """
        with open(self.path / name, "rb") as file:
            return file.read(max_bytes)

    def size(self, name: str) -> int:
        """Returns the file's size in bytes."""
        return (self.path / name).stat().st_size

    def create(self, name: str) -> None:
        """Creates an empty file and opens it for append(); its name is durable after sync_folder()."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
        self.descriptors[name] = os.open(self.path / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        """Appends all of the data to a file opened by create()."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self.descriptors[name], remaining) :]

    def sync(self, name: str) -> None:
        """Syncs the file's content to disk."""
        os.fsync(self.descriptors[name])

    def close(self, name: str) -> None:
        """Closes the file if it is open."""
        descriptor = self.descriptors.pop(name, -1)
        if descriptor >= 0:
            os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces any file of the new name."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Syncs the folder, which makes the names of its files durable."""
        folder_descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def close_all(self) -> None:
        """Closes all files, then releases the folder's lock."""
        for name in list(self.descriptors):
            self.close(name)
        if self.lock_descriptor >= 0:
            os.close(self.lock_descriptor)
            self.lock_descriptor = -1

"""A simulated disk for the journal. Data that was synced survives a power loss; other data may be kept whole,
cut short, zeroed in places, reordered or lost.
"""

from __future__ import annotations

import random


class PowerLoss(BaseException):
    """The power fails during a call. A BaseException, so that no handler of errors catches it."""


class SimulatedDisk:
    """Files with the interface that the journal uses.

    Each call that changes the disk is counted and can raise PowerLoss or an OSError.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.synced: dict[str, bytes] = {}  # names and contents that survive a power loss
        self.files: dict[str, bytes] = {}  # as the operating system shows them to the process
        self.contents: dict[str, bytes] = {}  # synced contents by current name, also of names not synced yet
        self.call_count, self.crash_at_call = 0, 0
        self.errors_by_call: dict[str, OSError] = {}  # name of a call -> what it raises from now on
        self.free_bytes: int | None = None  # None: unlimited

    def _call(self, name: str) -> None:
        """Counts the call; raises PowerLoss or the error that the test set for it."""
        self.call_count += 1
        if self.call_count == self.crash_at_call:
            raise PowerLoss
        if name in self.errors_by_call:
            raise self.errors_by_call[name]

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        """Returns the first `max_bytes` of a file, or all of it."""
        return self.files[name] if max_bytes < 0 else self.files[name][:max_bytes]

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        return len(self.files[name])

    def create(self, name: str) -> None:
        """Creates an empty file; raises FileExistsError if the name is in use."""
        self._call("create")
        if name in self.files:
            raise FileExistsError(name)
        self.files[name] = b""
        self.contents[name] = b""

    def append(self, name: str, data: bytes) -> None:
        """Appends data. A power loss keeps a random part of it, a full disk the part that fits."""
        try:
            self._call("append")
        except PowerLoss:
            self.files[name] += data[: self.random.randrange(len(data) + 1)]
            raise
        if self.free_bytes is not None and len(data) > self.free_bytes:
            self.files[name] += data[: self.free_bytes]
            self.free_bytes = 0
            raise OSError(28, "No space left on device")
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        self.files[name] += data

    def sync(self, name: str) -> None:
        """Makes the contents of a file survive a power loss; the name needs sync_folder()."""
        try:
            self._call("sync")
        except PowerLoss:
            if self.random.random() < 0.5:  # the power failed after the disk had written everything
                self.contents[name] = self.files[name]
            raise
        self.contents[name] = self.files[name]

    def close(self, name: str) -> None:
        """Does nothing; the simulated files have no descriptors."""
        pass

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces one of the new name."""
        self._call("rename")
        self.files[new], self.contents[new] = self.files.pop(old), self.contents.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file; the removal survives a power loss after sync_folder()."""
        self._call("remove")
        self.files.pop(name)

    def sync_folder(self) -> None:
        """Makes all names, with the synced contents of each file, survive a power loss."""
        self._call("sync_folder")
        self.synced = {name: self.contents.get(name, b"") for name in self.files}

    def close_all(self) -> None:
        """Does nothing; the simulated files have no descriptors."""
        pass

    def after_power_loss(self) -> SimulatedDisk:
        """Returns the disk that a process finds after the power loss.

        A name that was not synced is kept with probability 1/2, as is one whose removal was not synced.
        """
        found = SimulatedDisk(self.random.randrange(1 << 30))
        names = set(self.synced) | {name for name in self.files if self.random.random() < 0.5}
        for name in names:
            if name not in self.files and self.random.random() < 0.5:
                continue  # its removal reached the disk
            synced = self.contents.get(name, self.synced.get(name, b""))
            current = self.files.get(name, synced)
            found.files[name] = synced + self._damage(current[len(synced) :])
            found.contents[name] = found.synced[name] = found.files[name]
        return found

    def _damage(self, unsynced: bytes) -> bytes:
        """Returns unsynced bytes whole or cut short, in places zeroed or overwritten by other ranges."""
        data = bytearray(
            unsynced[: self.random.randrange(len(unsynced) + 1)] if self.random.random() < 0.7 else unsynced
        )
        for _ in range(self.random.randrange(3) if data else 0):
            start = self.random.randrange(len(data))
            end = min(len(data), start + self.random.randrange(1, 64))
            if self.random.random() < 0.5:
                data[start:end] = bytes(end - start)
            else:
                source = self.random.randrange(len(data))
                data[start:end] = bytes(data[source : source + end - start]).ljust(end - start, b"\0")
        return bytes(data)

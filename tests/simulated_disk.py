"""A stand-in disk that keeps what was synced; the rest may be there, torn, zeroed, swapped or gone."""

from __future__ import annotations

import random


class PowerLoss(BaseException):
    """The power is gone; nothing catches this."""


class SimulatedDisk:
    """Files as the journal asks for them. Every call may be the last one, and may fail."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.synced: dict[str, bytes] = {}  # lasting names and contents
        self.files: dict[str, bytes] = {}  # as the operating system shows them
        self.contents: dict[str, bytes] = {}  # synced contents of files, whatever their names
        self.call_count, self.crash_at_call = 0, 0
        self.errors_by_call: dict[str, OSError] = {}  # by call: what it raises from now on
        self.free_bytes: int | None = None  # bytes that still fit

    def _call(self, name: str) -> None:
        self.call_count += 1
        if self.call_count == self.crash_at_call:
            raise PowerLoss
        if name in self.errors_by_call:
            raise self.errors_by_call[name]

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        return self.files[name] if max_bytes < 0 else self.files[name][:max_bytes]

    def size(self, name: str) -> int:
        return len(self.files[name])

    def create(self, name: str) -> None:
        self._call("create")
        if name in self.files:
            raise FileExistsError(name)
        self.files[name] = b""
        self.contents[name] = b""

    def append(self, name: str, data: bytes) -> None:
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
        try:
            self._call("sync")
        except PowerLoss:
            if self.random.random() < 0.5:  # the crash came after the disk had all of it
                self.contents[name] = self.files[name]
            raise
        self.contents[name] = self.files[name]

    def close(self, name: str) -> None:
        pass

    def rename(self, old: str, new: str) -> None:
        self._call("rename")
        self.files[new], self.contents[new] = self.files.pop(old), self.contents.pop(old)

    def remove(self, name: str) -> None:
        self._call("remove")
        self.files.pop(name)

    def sync_folder(self) -> None:
        self._call("sync_folder")
        self.synced = {name: self.contents.get(name, b"") for name in self.files}

    def close_all(self) -> None:
        pass

    def after_power_loss(self) -> SimulatedDisk:
        """What is found when the machine is back."""
        fresh = SimulatedDisk(self.random.randrange(1 << 30))
        names = set(self.synced) | {name for name in self.files if self.random.random() < 0.5}
        for name in names:
            if name not in self.files and self.random.random() < 0.5:
                continue  # its removal had reached the disk
            safe = self.contents.get(name, self.synced.get(name, b""))
            now = self.files.get(name, safe)
            fresh.files[name] = safe + self._damaged(now[len(safe) :])
            fresh.contents[name] = fresh.synced[name] = fresh.files[name]
        return fresh

    def _damaged(self, tail: bytes) -> bytes:
        """Bytes that no sync covered: whole, cut, with holes of zeros, or with pieces in another order."""
        data = bytearray(tail[: self.random.randrange(len(tail) + 1)] if self.random.random() < 0.7 else tail)
        for _ in range(self.random.randrange(3) if data else 0):
            begin = self.random.randrange(len(data))
            end = min(len(data), begin + self.random.randrange(1, 64))
            if self.random.random() < 0.5:
                data[begin:end] = bytes(end - begin)
            else:
                other = self.random.randrange(len(data))
                data[begin:end] = bytes(data[other : other + end - begin]).ljust(end - begin, b"\0")
        return bytes(data)

"""Registers on disk: a log of their states, each one there before it is spoken of.

Guarantees: what save() returned from is read again after any crash; a log that has grown beyond GROWN times
what is in it, and LEAST bytes, is written anew without what was overwritten, so the disk is bounded by the
registers."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from spanwing.store.messages import Register

GROWN, LEAST = 4, 4 << 20


class DiskError(Exception):
    """The directory cannot be used; the text says why."""


class Disk:
    """Appends and syncs; at its start it reads the log and writes it anew without what was overwritten."""

    def __init__(self, directory: str) -> None:
        self.folder = Path(directory)
        self.path = self.folder / "registers.log"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock = open(self.folder / "lock", "w")  # noqa: SIM115 - held for the life of the process
            # Two processes over one log would promise the same ballot twice.
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.registers = self._read()
            self.file = self._compact()
        except BlockingIOError:
            raise DiskError(f"{directory} is in use by another process") from None
        except OSError as error:
            raise DiskError(f"{directory}: {error.strerror}") from None

    def _read(self) -> dict[str, Register]:
        registers: dict[str, Register] = {}
        lines = self.path.read_bytes().split(b"\n") if self.path.exists() else []
        # A last line without its end was being written when the process died: it was never spoken of.
        for number, line in enumerate(lines[:-1], 1):
            try:
                register = msgspec.json.decode(line, type=Register)
            except ValueError as error:
                raise DiskError(f"{self.path} line {number} is damaged: {error}") from None
            registers[register.key] = register
        return registers

    def _compact(self):
        fresh = self.path.with_suffix(".new")
        with open(fresh, "wb") as file:
            for register in self.registers.values():
                file.write(msgspec.json.encode(register) + b"\n")
            file.flush()
            self.live = self.size = file.tell()
            os.fsync(file.fileno())
        os.replace(fresh, self.path)
        folder = os.open(self.folder, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)
        return open(self.path, "ab", buffering=0)

    def save(self, register: Register) -> None:
        line = msgspec.json.encode(register) + b"\n"
        self.file.write(line)
        os.fsync(self.file.fileno())
        self.size += len(line)
        if self.size > max(LEAST, GROWN * self.live):
            self.registers[register.key] = register
            try:
                old, self.file = self.file, self._compact()
                old.close()
            except OSError:  # what was saved stands in the old log, which goes on
                self.live = self.size

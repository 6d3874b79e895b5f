"""The registers' log on disk; each state is there before a reply mentions it.

What save() has returned from is read again after any crash. A log that has grown beyond COMPACTION_FACTOR
times its compacted size and MIN_COMPACTION_BYTES is written anew without overwritten states, which bounds
the disk by the registers.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from spanwing.store.messages import Register

COMPACTION_FACTOR, MIN_COMPACTION_BYTES = 4, 4 << 20


class RegisterLogError(Exception):
    """The directory cannot be used; the text says why."""


class RegisterLog:
    """Appends states of registers and syncs them; reads and compacts the log at its start.

    Raises RegisterLogError there if the directory is in use, unreadable or damaged.
    """

    def __init__(self, directory: str) -> None:
        self.folder = Path(directory)
        self.path = self.folder / "registers.log"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock_file = open(self.folder / "lock", "w")  # noqa: SIM115 - held for the life of the process
            # Two processes over one log would promise the same ballot twice.
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.registers = self._load()
            self.log_file = self._compact()
        except BlockingIOError:
            raise RegisterLogError(f"{directory} is in use by another process") from None
        except OSError as error:
            raise RegisterLogError(f"{directory}: {error.strerror}") from None

    def _load(self) -> dict[str, Register]:
        registers: dict[str, Register] = {}
        lines = self.path.read_bytes().split(b"\n") if self.path.exists() else []
        # A last line without its end was being written when the process died: no reply mentioned it.
        for number, line in enumerate(lines[:-1], 1):
            try:
                register = msgspec.json.decode(line, type=Register)
            except ValueError as error:
                raise RegisterLogError(f"{self.path} line {number} is damaged: {error}") from None
            registers[register.key] = register
        return registers

    def _compact(self):
        new_path = self.path.with_suffix(".new")
        with open(new_path, "wb") as new_file:
            for register in self.registers.values():
                new_file.write(msgspec.json.encode(register) + b"\n")
            new_file.flush()
            self.compacted_bytes = self.log_bytes = new_file.tell()
            os.fsync(new_file.fileno())
        os.replace(new_path, self.path)
        folder_descriptor = os.open(self.folder, os.O_RDONLY)
        os.fsync(folder_descriptor)
        os.close(folder_descriptor)
        return open(self.path, "ab", buffering=0)

    def save(self, register: Register) -> None:
        """Appends the register's state and syncs it. Raises OSError."""
        line = msgspec.json.encode(register) + b"\n"
        self.log_file.write(line)
        os.fsync(self.log_file.fileno())
        self.log_bytes += len(line)
        if self.log_bytes > max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * self.compacted_bytes):
            self.registers[register.key] = register
            try:
                old_file, self.log_file = self.log_file, self._compact()
                old_file.close()
            except OSError:  # the old log has all that was saved, and stays in use
                self.compacted_bytes = self.log_bytes

"""The log of a member's registers on disk.

A register's state is on disk before a reply to a proposer contains it: a state that save() has stored is
found again after any crash. A log larger than both MIN_COMPACTION_BYTES and COMPACTION_FACTOR times its
compacted size is compacted: rewritten without overwritten states. This bounds the disk space by the size of
the registers.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from spanwing.store.messages import Register

COMPACTION_FACTOR, MIN_COMPACTION_BYTES = 4, 4 << 20


class RegisterLogError(Exception):
    """The log directory cannot be used; the message says why."""


class RegisterLog:
    """Appends states of registers to a log and syncs them.

    The constructor locks the directory, loads the log and compacts it. It raises RegisterLogError if another
    process uses the directory, or if the log is damaged or cannot be read or written.
    """

    def __init__(self, directory: str) -> None:
        self.folder = Path(directory)
        self.path = self.folder / "registers.log"
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock_file = open(self.folder / "lock", "w")  # noqa: SIM115 - locked until the process exits
            # Two processes with one log could each promise the same ballot.
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
        # A last line without a line end was cut off by a crash, before any reply contained it.
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
        """Appends the register's state and syncs it. Raises OSError if that fails.

        A failed compaction is not an error: the old log contains all states and stays in use.
        """
        line = msgspec.json.encode(register) + b"\n"
        self.log_file.write(line)
        os.fsync(self.log_file.fileno())
        self.log_bytes += len(line)
        if self.log_bytes > max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * self.compacted_bytes):
            self.registers[register.key] = register
            try:
                old_file, self.log_file = self.log_file, self._compact()
                old_file.close()
            except OSError:  # retried at COMPACTION_FACTOR times the present size
                self.compacted_bytes = self.log_bytes

"""The policy cache: a scheduler's own folder of policies, to start from while the store is unreachable.

A version counts only once its file is complete and synced under its name; a torn or foreign file is skipped
and reported. One process at a time locks the folder, until it exits. A permit is stored with the id of the
boot that its clock belongs to. Bounds: MAX_CACHED_VERSIONS versions.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from spanwing.policy.records import PolicyVersion, policy_digest

MAX_CACHED_VERSIONS = 40


class PolicyCacheError(Exception):
    """The folder cannot be used; the text says why."""


class CachedPermit(msgspec.Struct):
    """A stored permit: the version, and its expiry in ms by the clock of one boot."""

    version: int
    expires_at_ms: float = msgspec.field(name="until")
    boot_id: str = msgspec.field(name="boot")


def current_boot_id() -> str:
    """Returns the id of the machine's current boot.

    A monotonic clock's value means nothing after another boot.
    """
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class PolicyCache:
    """The cache folder, locked for this process. Raises PolicyCacheError."""

    def __init__(self, directory: str) -> None:
        self.folder, self.skipped_files = Path(directory), list[str]()
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock_file = open(self.folder / "lock", "w")  # noqa: SIM115 - locked until the process exits
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.versions = self._load_versions()
        except BlockingIOError:
            raise PolicyCacheError(f"{directory} is in use by another process") from None
        except OSError as error:
            raise PolicyCacheError(f"{directory}: {error.strerror}") from None

    def _load_versions(self) -> dict[int, PolicyVersion]:
        found = {}
        for path in self.folder.glob("version-*.json"):
            try:
                version = msgspec.json.decode(path.read_bytes(), type=PolicyVersion)
            except ValueError as error:
                self.skipped_files.append(f"{path.name}: {error}")
                continue
            if version.digest and policy_digest(version.text) != version.digest:
                self.skipped_files.append(f"{path.name}: its text is not the one that was written")
            else:
                found[version.number] = version
        return dict(sorted(found.items()))

    def store_version(self, version: PolicyVersion) -> None:
        """Stores a version and drops the oldest beyond the bound.

        Raises OSError; if the version's own file could not be written, nothing has changed.
        """
        if self.versions.get(version.number) == version:
            return
        self._write_file(f"version-{version.number}.json", msgspec.json.encode(version))
        self.versions[version.number] = version
        for number in sorted(self.versions)[:-MAX_CACHED_VERSIONS]:
            del self.versions[number]
            (self.folder / f"version-{number}.json").unlink(missing_ok=True)

    def store_permit(self, version_number: int, expires_at_ms: float) -> None:
        """Stores the permit with the current boot's id. Raises OSError."""
        self._write_file(
            "permit.json", msgspec.json.encode(CachedPermit(version_number, expires_at_ms, current_boot_id()))
        )

    def load_permit(self) -> tuple[PolicyVersion, float] | None:
        """Returns the version to start with and its permit's expiry in ms; None unless it is of this boot."""
        try:
            permit = msgspec.json.decode((self.folder / "permit.json").read_bytes(), type=CachedPermit)
        except (OSError, ValueError):
            return None
        version = self.versions.get(permit.version)
        return (
            (version, permit.expires_at_ms)
            if version is not None and permit.boot_id == current_boot_id()
            else None
        )

    def _write_file(self, name: str, data: bytes) -> None:
        new_path = self.folder / f"{name}.new"
        with open(new_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self.folder / name)
        folder_descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

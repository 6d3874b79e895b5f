"""The policy cache: a scheduler's directory of policy versions, for a start while the store is unreachable.

A file is written under another name, synced and renamed, so that a crash leaves no incomplete file under the
final name; files that cannot be decoded or do not match their digest are skipped and reported. One process
at a time locks the directory, until it exits. A permit is stored with the id of the boot to which its expiry
refers. Bounds: MAX_CACHED_VERSIONS versions.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from spanwing.policy.records import PolicyVersion, policy_digest

MAX_CACHED_VERSIONS = 40


class PolicyCacheError(Exception):
    """The cache directory cannot be used; the message says why."""


class CachedPermit(msgspec.Struct):
    """A stored permit: the version, and its expiry in ms since the boot with this id."""

    version: int
    expires_at_ms: float = msgspec.field(name="until")
    boot_id: str = msgspec.field(name="boot")


def current_boot_id() -> str:
    """Returns the id of the machine's current boot, outside of which the time since boot has no meaning."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


class PolicyCache:
    """The cache directory, locked for this process.

    The constructor loads all versions. It raises PolicyCacheError if another process uses the directory, or
    if it cannot be read or created.
    """

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
        versions = {}
        for path in self.folder.glob("version-*.json"):
            try:
                version = msgspec.json.decode(path.read_bytes(), type=PolicyVersion)
            except ValueError as error:
                self.skipped_files.append(f"{path.name}: {error}")
                continue
            if version.digest and policy_digest(version.text) != version.digest:
                self.skipped_files.append(f"{path.name}: its text does not match its digest")
            else:
                versions[version.number] = version
        return dict(sorted(versions.items()))

    def store_version(self, version: PolicyVersion) -> None:
        """Stores a version, and removes the oldest versions beyond MAX_CACHED_VERSIONS.

        Raises OSError. If the file of the version could not be written, the cache is unchanged.
        """
        if self.versions.get(version.number) == version:
            return
        self._write_file(f"version-{version.number}.json", msgspec.json.encode(version))
        self.versions[version.number] = version
        for number in sorted(self.versions)[:-MAX_CACHED_VERSIONS]:
            del self.versions[number]
            (self.folder / f"version-{number}.json").unlink(missing_ok=True)

    def store_permit(self, version_number: int, expires_at_ms: float) -> None:
        """Stores the permit for a version, with the id of the current boot. Raises OSError."""
        self._write_file(
            "permit.json", msgspec.json.encode(CachedPermit(version_number, expires_at_ms, current_boot_id()))
        )

    def remove_permit(self) -> None:
        """Removes the stored permit, if there is one. Raises OSError."""
        (self.folder / "permit.json").unlink(missing_ok=True)
        self._sync_folder()

    def load_permit(self) -> tuple[PolicyVersion, float] | None:
        """Returns the version of the stored permit, and the permit's expiry in ms since boot.

        Returns None if there is no usable permit of the current boot, or no version for it.
        """
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
        self._sync_folder()

    def _sync_folder(self) -> None:
        folder_descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

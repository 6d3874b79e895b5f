"""Whole folders of an earlier program, against this one: read as they were, and written to the same bytes.

The folders and answers stand in tests/golden/ and are never written by a test; golden_folders.py says how
each was made.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from golden_files import ANSWERS, FOLDERS, copy_folder, folder_bytes, read_json
from golden_folders import READERS, WRITERS, restart_journal, status, write_claims


def golden(subject: str, which: str) -> dict[str, bytes]:
    return folder_bytes(FOLDERS / subject / which)


def answer(name: str):
    return read_json(f"{ANSWERS.name}/{name}.json")


def as_json(value):
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("subject", WRITERS)
def test_the_same_events_write_the_same_folder(subject: str, tmp_path: Path) -> None:
    WRITERS[subject](tmp_path)
    assert folder_bytes(tmp_path) == golden(subject, "written")


@pytest.mark.parametrize("subject", READERS)
def test_a_folder_is_read_as_it_was(subject: str, tmp_path: Path) -> None:
    assert as_json(READERS[subject](copy_folder(subject, tmp_path / subject))) == answer(subject)


@pytest.mark.parametrize(
    "subject, which", [("journal", "written"), ("store", "opened"), ("policy", "written")]
)
def test_opening_a_folder_leaves_what_it_left(subject: str, which: str, tmp_path: Path) -> None:
    copy = copy_folder(subject, tmp_path / subject)
    READERS[subject](copy)
    assert folder_bytes(copy) == golden(subject, which)


def test_the_journal_restarts_on_what_a_crash_left(tmp_path: Path) -> None:
    copy = copy_folder("journal", tmp_path / "journal")
    assert as_json(restart_journal(copy)) == answer("journal, restarted")
    assert folder_bytes(copy) == golden("journal", "restarted")


def test_claims_and_settings_are_taken_under_the_same_keys_and_values() -> None:
    assert as_json(write_claims()) == answer("claims")


def test_the_status_has_the_same_names_and_values() -> None:
    assert as_json(status()) == answer("status")

"""Decodes messages and stored values of an earlier version, and compares encodings byte for byte.

The golden bytes are under tests/golden/ and are never written by a test. golden_messages.py has the object of
each name.
"""

from __future__ import annotations

import json

import pytest
from golden_files import (
    ANSWERS,
    FORMS,
    GOLDEN,
    measure_tolerance,
    read_json,
    read_messages,
    read_tolerance,
    reduce_message,
)
from golden_messages import (
    SUBJECTS,
    fields_left_at_default,
    read_settings,
    structs_without_message,
    transfer_state,
)

CASES = [
    pytest.param(subject, name, id=f"{subject}: {name}")
    for subject in SUBJECTS
    for name in SUBJECTS[subject].objects
]
TOLERANCE = read_tolerance()
REJECTED = [line.split("\t") for line in (GOLDEN / "refused.tsv").read_text().splitlines()]


def decoder(subject: str, name: str):
    """Returns a function that decodes data as the type of the named object."""
    kind = type(SUBJECTS[subject].objects[name])
    return lambda data: SUBJECTS[subject].decode(data, kind)


def test_golden_messages_and_objects_have_the_same_names() -> None:
    assert {each.stem for each in FORMS.iterdir()} == set(SUBJECTS) == set(TOLERANCE)
    for subject, each in SUBJECTS.items():
        assert list(read_messages(subject)) == list(each.objects) == list(TOLERANCE[subject])


def test_every_struct_of_the_modules_has_a_golden_message() -> None:
    assert structs_without_message() == set()


@pytest.mark.parametrize("subject, name", CASES)
def test_encoding_is_unchanged(subject: str, name: str) -> None:
    assert SUBJECTS[subject].encode(SUBJECTS[subject].objects[name]) == read_messages(subject)[name]


@pytest.mark.parametrize("subject, name", CASES)
def test_golden_message_decodes_to_its_object(subject: str, name: str) -> None:
    assert decoder(subject, name)(read_messages(subject)[name]) == SUBJECTS[subject].objects[name]


@pytest.mark.parametrize("subject, name", CASES)
def test_tolerance_of_missing_and_unknown_fields_is_unchanged(subject: str, name: str) -> None:
    data, binary = read_messages(subject)[name], SUBJECTS[subject].binary
    assert measure_tolerance(data, binary, decoder(subject, name)) == TOLERANCE[subject][name]


@pytest.mark.parametrize("subject, name", [each for each in CASES if each.values[1].endswith(" least")])
def test_missing_fields_get_their_defaults(subject: str, name: str) -> None:
    for data in reduce_message(
        read_messages(subject)[name], SUBJECTS[subject].binary, TOLERANCE[subject][name]
    ):
        assert decoder(subject, name)(data) == SUBJECTS[subject].objects[name]


@pytest.mark.parametrize("subject, name", [each for each in CASES if each.values[1].endswith(" full")])
def test_full_objects_have_no_field_at_its_default(subject: str, name: str) -> None:
    assert fields_left_at_default(SUBJECTS[subject].objects[name]) == []


@pytest.mark.parametrize("subject, name, text", REJECTED)
def test_invalid_message_is_rejected(subject: str, name: str, text: str) -> None:
    data = bytes.fromhex(text) if SUBJECTS[subject].binary else text.encode()
    with pytest.raises(ValueError):
        decoder(subject, name)(data)


def test_scheduler_imports_the_state_of_a_hot_restart() -> None:
    golden = read_messages("handover-messages")
    workers, scheduler = transfer_state(golden["state of workers"], golden["state of the module"])
    assert (workers, scheduler) == (golden["state of workers, told on"], golden["state of the module"])


def test_policy_text_gives_the_same_settings() -> None:
    decoded = read_settings(read_messages("settings")["options full"])
    assert json.loads(json.dumps(decoded)) == read_json(f"{ANSWERS.name}/settings.json")

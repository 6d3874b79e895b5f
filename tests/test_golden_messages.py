"""What an earlier program stored or sent, against this one: read as it was, and written byte for byte.

The golden bytes stand in tests/golden/ and are never written by a test; golden_messages.py says which object
each name stands for.
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
REFUSED = [line.split("\t") for line in (GOLDEN / "refused.tsv").read_text().splitlines()]


def decoder(subject: str, name: str):
    kind = type(SUBJECTS[subject].objects[name])
    return lambda data: SUBJECTS[subject].decode(data, kind)


def test_every_golden_form_has_an_object_and_every_object_a_form() -> None:
    assert {each.stem for each in FORMS.iterdir()} == set(SUBJECTS) == set(TOLERANCE)
    for subject, each in SUBJECTS.items():
        assert list(read_messages(subject)) == list(each.objects) == list(TOLERANCE[subject])


def test_every_struct_of_the_golden_modules_has_a_form() -> None:
    assert structs_without_message() == set()


@pytest.mark.parametrize("subject, name", CASES)
def test_the_object_is_written_as_it_was(subject: str, name: str) -> None:
    assert SUBJECTS[subject].encode(SUBJECTS[subject].objects[name]) == read_messages(subject)[name]


@pytest.mark.parametrize("subject, name", CASES)
def test_what_was_written_is_read_as_the_object(subject: str, name: str) -> None:
    assert decoder(subject, name)(read_messages(subject)[name]) == SUBJECTS[subject].objects[name]


@pytest.mark.parametrize("subject, name", CASES)
def test_what_is_missing_or_more_is_taken_as_it_was(subject: str, name: str) -> None:
    data, binary = read_messages(subject)[name], SUBJECTS[subject].binary
    assert measure_tolerance(data, binary, decoder(subject, name)) == TOLERANCE[subject][name]


@pytest.mark.parametrize("subject, name", [each for each in CASES if each.values[1].endswith(" least")])
def test_what_is_missing_has_its_default(subject: str, name: str) -> None:
    for data in reduce_message(
        read_messages(subject)[name], SUBJECTS[subject].binary, TOLERANCE[subject][name]
    ):
        assert decoder(subject, name)(data) == SUBJECTS[subject].objects[name]


@pytest.mark.parametrize("subject, name", [each for each in CASES if each.values[1].endswith(" full")])
def test_a_full_object_has_no_field_at_its_default(subject: str, name: str) -> None:
    assert fields_left_at_default(SUBJECTS[subject].objects[name]) == []


@pytest.mark.parametrize("subject, like, text", REFUSED)
def test_what_is_of_no_known_kind_is_refused(subject: str, like: str, text: str) -> None:
    data = bytes.fromhex(text) if SUBJECTS[subject].binary else text.encode()
    with pytest.raises(ValueError):
        decoder(subject, like)(data)


def test_a_module_takes_over_the_state_that_was_told() -> None:
    golden = read_messages("handover-messages")
    workers, module = transfer_state(golden["state of workers"], golden["state of the module"])
    assert (workers, module) == (golden["state of workers, told on"], golden["state of the module"])


def test_a_policy_of_the_store_makes_the_same_settings() -> None:
    made = read_settings(read_messages("settings")["options full"])
    assert json.loads(json.dumps(made)) == read_json(f"{ANSWERS.name}/settings.json")

"""A Faktory speaker makes the process keep no more than the bounds of its commands."""

from __future__ import annotations

import unittest

import msgspec

from spanwing.frontends.faktory import (
    MAX_LABEL_LENGTH,
    MAX_LABELS,
    MAX_WORKER_ID_LENGTH,
    FaktoryHello,
    FaktoryJob,
    read_labels,
)


class HelloTests(unittest.TestCase):
    def test_a_hello_of_more_labels_than_the_bound_is_malformed(self) -> None:
        read_labels(FaktoryHello(labels=["zone:a"] * MAX_LABELS))
        with self.assertRaises(ValueError):
            read_labels(FaktoryHello(labels=["zone:a"] * (MAX_LABELS + 1)))

    def test_a_hello_of_a_longer_label_or_worker_id_than_the_bound_is_malformed(self) -> None:
        read_labels(FaktoryHello(wid="w" * MAX_WORKER_ID_LENGTH, labels=["l" * MAX_LABEL_LENGTH]))
        for hello in (
            FaktoryHello(wid="w" * (MAX_WORKER_ID_LENGTH + 1)),
            FaktoryHello(labels=["l" * (MAX_LABEL_LENGTH + 1)]),
        ):
            with self.assertRaises(ValueError):
                read_labels(hello)

    def test_labels_that_nobody_uses_are_not_kept(self) -> None:
        hello = FaktoryHello(labels=["zone:a", "colour:red", "plain", "cell:3"])
        self.assertEqual(read_labels(hello), {"zone": "a", "cell": "3"})


class JobTests(unittest.TestCase):
    def test_the_arguments_of_a_job_are_not_decoded_one_by_one(self) -> None:
        data = b'{"jid":"12345678","jobtype":"x","args":[%s]}' % b",".join([b"1"] * 10_000)
        job = msgspec.json.decode(data, type=FaktoryJob)
        self.assertIsInstance(job.args, msgspec.Raw)

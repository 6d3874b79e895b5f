"""Plays every order of the events in the life of a claim; see claim_model.py."""

from __future__ import annotations

import unittest
from unittest import mock

from claim_model import LOOP, Limits, search

from spanwing.core.messages import FinalAnswer
from spanwing.frontends import faktory
from spanwing.frontends.faktory_jobs import PushedJob, encode_answer
from spanwing.net.resp import OK
from spanwing.store.claims import Claims

LIMITS = Limits(pushes=2, lost_changes=2, crashes=1)
LIMITS_OF_WAITING_CLIENTS = Limits(pushes=2, lost_changes=1, crashes=1, waits_for_outcome=True)


def tearDownModule() -> None:
    LOOP.close()


def encode_repeated_as_accepted(answer: FinalAnswer) -> bytes:
    return OK if answer.kind == "repeated" else encode_answer(answer)


class ClaimLife(unittest.TestCase):
    def test_no_order_of_events_runs_a_job_twice_or_loses_it(self) -> None:
        for limits in (LIMITS, LIMITS_OF_WAITING_CLIENTS):
            with self.subTest(limits):
                result = search(limits)
                self.assertEqual((result.violation, result.choices), ("", ()))
                self.assertGreater(result.state_count, 2000)
                self.assertGreater(result.end_count, 100)


class PlantedFaults(unittest.TestCase):
    """Faults that there were: the search has to find each."""

    def assert_found(self, text: str, limits: Limits = LIMITS) -> None:
        self.assertIn(text, search(limits).violation)

    def test_outcome_that_is_written_once(self) -> None:
        """The claim outlives the refusal of its job (review/9)."""
        with mock.patch.object(Claims, "_start_retrying", lambda claims: claims.settling_claims.clear()):
            self.assert_found("does not accept it again")

    def test_claimed_job_that_is_answered_as_accepted(self) -> None:
        """The jid is claimed, and nobody holds the job."""
        with mock.patch.object(faktory, "encode_answer", encode_repeated_as_accepted):
            self.assert_found("+OK for a job that nobody holds")

    def test_unconfirmed_claim_that_stays(self) -> None:
        """The PUSH was answered -BUSY, and another member finds the jid claimed for good."""
        with mock.patch.object(Claims, "_end_unconfirmed", lambda claims, jid, token: None):
            self.assert_found("does not accept it again")

    def test_claim_of_a_withdrawn_job_that_stays(self) -> None:
        with mock.patch.object(PushedJob, "_handle_withdrawn", lambda pushed, jid, may_have_run: None):
            self.assert_found("does not accept it again", LIMITS_OF_WAITING_CLIENTS)

    def test_refused_job_whose_claim_is_free_although_it_may_have_run(self) -> None:
        with mock.patch.object(Claims, "_refused_tokens", lambda claims, jid: _all_tokens(claims, jid)):
            self.assert_found("runs a second time")


def _all_tokens(claims: Claims, jid: str) -> tuple[str, ...]:
    settling = claims.settling_claims.get(jid)
    return settling.tokens if settling is not None else ()


if __name__ == "__main__":
    unittest.main()

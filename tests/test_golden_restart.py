"""A daemon starts on what an earlier one left, killed, in its folders: tests/golden/folder.

That one had the tables journal, store, zones and policy. Of its jobs, all of a class that must not run twice,
one had ended well, one had failed, and one was sent and had not ended.
"""

from __future__ import annotations

import json
import shutil

import pytest
from golden_compare import GOLDEN
from standins import Barrier, FaktoryClient, FaktoryWorker
from test_golden_process import FRONTS, Running


@pytest.fixture
def running(monkeypatch):
    started = Running(
        (*FRONTS, "journal", "store", "zones", "policy"),
        "folder",
        lambda where: shutil.copytree(GOLDEN / "folder", where, dirs_exist_ok=True),
    )
    yield started
    started.close()


def test_no_job_of_an_earlier_daemon_runs_again(running) -> None:
    fetched = Barrier(1)
    FaktoryWorker(running.daemon, "f0", 1, ["schedule-apply"], fetched)
    pushed = FaktoryClient(running.daemon)
    told = {}
    for job in ("job-done", "job-failing", "job-left-open", "job-new-one"):
        given = {"jid": job, "jobtype": "schedule-apply", "queue": "schedule-apply", "args": ["done"]}
        told[job] = pushed.ask("PUSH", json.dumps({**given, "custom": {"answer": "outcome"}}))
    pushed.close()
    assert told == {
        "job-done": "+OK",
        "job-failing": "-ERR failed",
        "job-left-open": "-REPEATED sent to f0 at 2026-12-02T05:41:53.667+00:00, before a crash; "
        "its outcome is not known",
        "job-new-one": "+OK",
    }
    assert fetched.missing_count == 0  # one job went to a worker, the new one


def test_the_journal_and_the_policy_are_those_of_the_earlier_daemon(running) -> None:
    said = running.daemon.said()
    assert "possibly_sent request=job-left-open" in said, said
    assert "skipped" not in said and "Traceback" not in said, said
    shown = {
        job: [json.loads(line) for line in running.page(f"/journal/show/{job}")[1]]
        for job in ("job-done", "job-failing", "job-left-open")
    }
    states = {
        job: [(each["state"], each["result"], each["answer"]) for each in rows] for job, rows in shown.items()
    }
    assert states == {
        "job-done": [("sent", "ok", "served")],
        "job-failing": [("sent", "error", "failed")],
        "job-left-open": [("sent", "", "")],
    }
    kept = json.loads((GOLDEN / "folder" / "policy" / "version-1.json").read_text())
    policy = running.ask(do="policy")
    assert (policy["version"], policy["digest"]) == (kept["number"], kept["digest"])
    assert json.loads(running.ask(do="policy_text", version=1)["text"]) == json.loads(kept["text"])

"""Starts a daemon on the folders of an earlier daemon that was killed: tests/golden/folder.

The earlier daemon had the tables journal, store, zones and policy. Its jobs were all of a non-idempotent
class: one had succeeded, one had failed, and one was sent and had not ended.
"""

from __future__ import annotations

import json
import shutil

import pytest
from golden_compare import GOLDEN
from standins import Barrier, FaktoryClient, FaktoryWorker
from test_golden_process import FRONTS, RunningDaemon


@pytest.fixture
def running(monkeypatch):
    started = RunningDaemon(
        (*FRONTS, "journal", "store", "zones", "policy"),
        "folder",
        lambda folder: shutil.copytree(GOLDEN / "folder", folder, dirs_exist_ok=True),
    )
    yield started
    started.close()


def test_jobs_of_the_earlier_daemon_do_not_run_again(running) -> None:
    barrier = Barrier(1)
    FaktoryWorker(running.daemon, "f0", 1, ["schedule-apply"], barrier)
    client = FaktoryClient(running.daemon)
    replies = {}
    for job in ("job-done", "job-failing", "job-left-open", "job-new-one"):
        payload = {"jid": job, "jobtype": "schedule-apply", "queue": "schedule-apply", "args": ["done"]}
        replies[job] = client.ask("PUSH", json.dumps({**payload, "custom": {"answer": "outcome"}}))
    client.close()
    assert replies == {
        "job-done": "+OK",
        "job-failing": "-ERR failed",
        "job-left-open": "-REPEATED sent to f0 at 2026-12-02T05:41:53.667+00:00, before a crash; "
        "its outcome is not known",
        "job-new-one": "+OK",
    }
    assert barrier.missing_count == 0  # only the new job went to a worker


def test_journal_and_policy_of_the_earlier_daemon_are_read(running) -> None:
    stderr = running.daemon.stderr_text()
    assert "possibly_sent request=job-left-open" in stderr, stderr
    assert "skipped" not in stderr and "Traceback" not in stderr, stderr
    rows_by_job = {
        job: [json.loads(line) for line in running.page(f"/journal/show/{job}")[1]]
        for job in ("job-done", "job-failing", "job-left-open")
    }
    states = {
        job: [(each["state"], each["result"], each["answer"]) for each in rows]
        for job, rows in rows_by_job.items()
    }
    assert states == {
        "job-done": [("sent", "ok", "served")],
        "job-failing": [("sent", "error", "failed")],
        "job-left-open": [("sent", "", "")],
    }
    cached = json.loads((GOLDEN / "folder" / "policy" / "version-1.json").read_text())
    policy = running.ask(do="policy")
    assert (policy["version"], policy["digest"]) == (cached["number"], cached["digest"])
    assert json.loads(running.ask(do="policy_text", version=1)["text"]) == json.loads(cached["text"])

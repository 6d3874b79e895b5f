"""The adapter's protocol: framing, translation, crash and restart of a node, faults of a decision."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from spanwing.adapter import serve

ROOT = Path(__file__).parent.parent
OPTIONS = {
    "balancers": 1,
    "position": 0,
    "zone": "a",
    "areas": ["a"],
    "unheard_of": 1,
    "classes": [{"name": "look", "aim_ms": 300.0, "deadline_ms": 5000.0, "idempotency": "safe"}],
    "permissions": {"max_attempts": 3, "cancel": True},
    "rules": {"stop_sending_within_ms": 500.0},
}
INIT = ["Init", "node_0", 5, OPTIONS]
WORKER_LIST = ["Membership", "node_0", "Persisted", 1, [["healthy", "a", 0, 1, "std", None, 11, "extra"]]]
SUBMIT = ["Submit", "node_0", "t/1", None, 1, None, "look", False, False, None, 6000.0, None, False]


def batch(now: float, *messages: list) -> list:
    return [["Sync", now], *messages, ["Go"]]


def run_adapter(*messages) -> tuple[int, list, str]:
    source = io.BytesIO("\n".join(m if isinstance(m, str) else json.dumps(m) for m in messages).encode())
    sink = io.BytesIO()
    code = serve(source, sink)
    return code, [json.loads(line) for line in sink.getvalue().splitlines()], sink.getvalue().decode()


def test_request_outcome_crash_and_restart_in_one_session():
    code, replies, _ = run_adapter(
        *batch(0.0, INIT, WORKER_LIST),
        *batch(10.0, SUBMIT, ["Novelty", "node_0", 1]),
        *batch(20.0, ["Returned", "node_0", "t/1", 9.0, None, 0, 11, "OK", True, None]),
        *batch(30.0, ["CrashNow", "node_0"], INIT, WORKER_LIST, [*SUBMIT[:2], "t/2", *SUBMIT[3:]]),
        *batch(31.0),
    )
    assert code == 0 and [m for m in replies if m == ["Eor"]] == [["Eor"]] * 5
    assert [m[2:4] for m in replies if m[0] == "CallOut"] == [["t/1", 11], ["t/2", 11]]


@pytest.mark.parametrize(
    "lines",
    [
        ["not json"],
        [["Go"]],
        [["Sync", 1.0], ["Sync", 2.0]],
        [["Sync"]],
        [*batch(0.0, INIT, WORKER_LIST)[:-1], ["Submit", "node_0"]],
        [["Sync", 0.0], ["Init", "node_0"]],
    ],
)
def test_framing_error_exits_with_2_and_names_the_line(lines, capsys):
    code, replies, _ = run_adapter(*lines)
    assert code == 2 and replies == []
    assert capsys.readouterr().err.startswith(f"line {len(lines)}: ")


def test_exception_in_a_decision_is_reported_as_die(capsys):
    wrong = {**OPTIONS, "balancers": -3}
    code, replies, _ = run_adapter(*batch(0.0, ["Init", "node_0", 5, wrong]))
    assert code == 0 and replies[0][:2] == ["Die", "node_0"] and "nodes" in replies[0][2]
    assert "Traceback" in capsys.readouterr().err


def test_nodes_act_alike_in_one_process_and_in_several():
    def session(node: str) -> list:
        events = [[name, node, *rest] for name, _, *rest in (INIT, WORKER_LIST, SUBMIT)]
        return [*batch(0.0, *events[:2]), *batch(5.0, events[2]), *batch(5000.0, ["Wakeup", node, 0])]

    both = [
        m
        for pair in zip(session("node_1"), session("node_2"), strict=True)
        for m in (pair if pair[0] != pair[1] else pair[:1])
    ]

    def actions(lines: list) -> list:
        text = "\n".join(map(json.dumps, lines)) + "\n"
        done = subprocess.run(
            [sys.executable, "-m", "spanwing.adapter"],
            input=text,
            text=True,
            capture_output=True,
            cwd=ROOT,
            check=True,
        )
        return [line for line in done.stdout.splitlines() if "Eor" not in line]

    assert sorted(actions(both)) == sorted(actions(session("node_1")) + actions(session("node_2")))

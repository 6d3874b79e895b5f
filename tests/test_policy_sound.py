"""The validation of proposed policies by a scheduler."""

from __future__ import annotations

import copy
import json
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from measure.daemons import settings
from spanwing.policy.records import MAX_POLICY_BYTES
from spanwing.policy.validation import (
    MAX_CLASSES,
    RunningState,
    describe_differences,
    find_objection,
    parse_policy,
)
from spanwing.settings import PlatformSettings, scheduler_settings

NAMES = st.sampled_from(["classes", "orgs", "name", "rules", "aim_ms", "x"])
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda each: st.lists(each, max_size=4) | st.dictionaries(NAMES, each),
    max_leaves=12,
)


def create_policy(**changes) -> dict:
    per_scheduler = {"position", "zone"}
    return {
        name: copy.deepcopy(value) for name, value in settings(**changes).items() if name not in per_scheduler
    }


def running_state(**fields) -> RunningState:
    options = msgspec.json.decode(json.dumps(create_policy()), type=PlatformSettings)
    options.zone = "a"
    return RunningState(scheduler_settings(options), **fields)


class ValidationTests(unittest.TestCase):
    def find_objection(self, policy: dict | str, **fields) -> str:
        """Returns the objection to a policy, and checks that it is one line."""
        text = policy if isinstance(policy, str) else json.dumps(policy)
        objection = find_objection(text, running_state(**fields))
        self.assertNotIn("\n", objection)
        return objection

    def test_valid_policies(self) -> None:
        self.assertEqual(self.find_objection(create_policy()), "")
        policy = create_policy()
        policy["classes"][0]["aim_ms"] = 500.0
        self.assertEqual(self.find_objection(policy, open_requests={"status-read": 7}), "")
        self.assertEqual(
            parse_policy(json.dumps(policy), running_state().settings).classes[0].latency_objective_ms, 500.0
        )

    def test_invalid_policies_and_their_objections(self) -> None:
        policy = create_policy()
        too_long = create_policy(kinds=["x" * MAX_POLICY_BYTES])
        unknown_field = copy.deepcopy(policy)
        unknown_field["classes"][1]["preempts"] = True
        negative_objective = copy.deepcopy(policy)
        negative_objective["classes"][0]["aim_ms"] = -1.0
        too_many_classes = create_policy(
            classes=[
                {"name": f"c{number}", "aim_ms": 1.0, "deadline_ms": 2.0} for number in range(MAX_CLASSES + 1)
            ]
        )
        for text, objection in (
            (too_long, "bytes"),
            ("{", "cannot be read"),
            ("[]", "not a JSON object"),
            (dict(policy, position=1), "is set for each scheduler"),
            (unknown_field, r"classes\[1\].preempts: this"),
            (negative_objective, "aim"),
            (too_many_classes, "classes: 65"),
            (dict(policy, orgs=[{"name": "corrib", "allowance_per_s": 0.0}]), "a quota of 0"),
            (dict(policy, areas=["b"]), "zone"),
            (dict(policy, balancers=0), "nodes"),
            (
                dict(policy, orgs=[{"name": f"o{number}", "allowance_per_s": 1.0} for number in range(300)]),
                "MB",
            ),
        ):
            with self.subTest(objection):
                self.assertRegex(self.find_objection(text, available_memory_mb=0.1), objection)

    def test_open_requests_and_idempotency_keys_prevent_changes(self) -> None:
        removed = create_policy()
        del removed["classes"][1]
        safe = create_policy()
        safe["classes"][1]["idempotency"] = "safe"
        shorter_window = create_policy()
        shorter_window["classes"][2]["window_ms"] = 1000.0
        longer_window = create_policy()
        longer_window["classes"][2]["window_ms"] = 99000.0
        open_keys = {"idempotency_windows_ms": {"setpoint-push": 800.0}}
        for policy, fields, objection in (
            (removed, {"open_requests": {"schedule-apply": 2}}, "cannot be removed with 2 requests open"),
            (removed, {}, "^$"),
            (
                safe,
                {"open_requests": {"schedule-apply": 1}},
                "effect cannot change from unsafe to safe with 1 request open",
            ),
            (safe, {}, "^$"),
            (shorter_window, open_keys, "may be used again for 0.8 s"),
            (shorter_window, {}, "^$"),
            (longer_window, open_keys, "^$"),
        ):
            with self.subTest(objection):
                self.assertRegex(self.find_objection(policy, **fields), objection)

    @given(JSON)
    def test_the_objection_to_any_json_is_one_line(self, value) -> None:
        self.find_objection(json.dumps(value))

    @given(st.text(max_size=40))
    def test_the_objection_to_any_text_is_one_line(self, text: str) -> None:
        self.find_objection(text)

    def test_differences_name_each_changed_setting(self) -> None:
        new = create_policy()
        new["classes"][0]["aim_ms"] = 500.0
        del new["kinds"]
        new["orgs"] = [{"name": "corrib", "allowance_per_s": 3.0}]
        self.assertEqual(
            describe_differences(json.dumps(create_policy()), json.dumps(new)),
            [
                "  classes[status-read].aim_ms: 850.0 -> 500.0",
                "- kinds = ['big']",
                "+ orgs[corrib].allowance_per_s = 3.0",
                "+ orgs[corrib].name = corrib",
            ],
        )


if __name__ == "__main__":
    unittest.main()

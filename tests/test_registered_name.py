"""The name of a scheduler under a fleet's policy, which registers it by that name."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from player import config

from spanwing.config import load_configuration
from spanwing.config_errors import ConfigurationError

POLICY = """
[zones]
members = { a = "127.0.0.1:9" }
[policy]
directory = "/var/lib/spanwing/policy"
"""


def load(folder: Path, name: str, fronts: str = POLICY) -> str:
    """Returns the name that is read from the configuration."""
    (folder / "config.json").write_text(json.dumps({**config(), "name": name}))
    (folder / "fronts.toml").write_text(fronts)
    files = {"ROUTER_CONFIG": str(folder / "config.json"), "SPANWING_FRONTS": str(folder / "fronts.toml")}
    return load_configuration(files).name


@pytest.mark.parametrize("name", ["a" * 25, "\u00e4" * 26])
def test_name_that_the_policy_cannot_register(tmp_path: Path, name: str) -> None:
    """Guards against a start that waits for ever, as a name of over 24 characters is never registered."""
    with pytest.raises(ConfigurationError, match=r"^name: has 2[56] characters, with \[policy\] 1 to 24"):
        load(tmp_path, name)


def test_name_at_the_limit_and_name_without_a_policy(tmp_path: Path) -> None:
    assert load(tmp_path, "a" * 24) == "a" * 24
    assert load(tmp_path, "a" * 60, fronts="") == "a" * 60

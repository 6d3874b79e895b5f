"""Compares the errors for wrong values of every setting with the golden files in tests/golden/settings.

platform.json and fronts.toml there contain every setting of the two configuration files, with a valid value.
"""

from __future__ import annotations

import copy
import json
import tomllib
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
import tomli_w
from golden_compare import GOLDEN, compare_text

from spanwing.cli.main import main
from spanwing.config import PlatformFile, load_configuration
from spanwing.config_errors import ConfigurationError
from spanwing.operator_file import OperatorFile
from spanwing.settings import PlatformSettings

VALID_PLATFORM = json.loads((GOLDEN / "settings" / "platform.json").read_text())
VALID_FRONTS = tomllib.loads((GOLDEN / "settings" / "fronts.toml").read_text())
ENVIRONMENTS = (
    *[{name: "nonsense"} for name in ("ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MANAGEMENT", "ROUTER_FD")],
    {"ROUTER_LISTEN": "127.0.0.1:7500"},
    {"ROUTER_NAME": "n1"},
    {"ROUTER_FD": "3"},
    {"ROUTER_CONFIG": "/nowhere/config"},
    {"ROUTER_CONFIG": ""},
    {"SPANWING_FRONTS": "/nowhere/fronts"},
)
SettingPath = tuple[str | int, ...]  # keys and indexes from the top of a file


def iter_values(value: Any, path: SettingPath = ()) -> Iterator[tuple[SettingPath, Any]]:
    """Yields the path and the value of every setting below this value."""
    entries = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    for key, each in entries:
        yield (*path, key), each
        yield from iter_values(each, (*path, key))


def replaced(settings: Any, path: SettingPath, value: Any) -> Any:
    """Returns a copy of the settings with this value at the path; None removes the setting."""
    result = copy.deepcopy(settings)
    container = result
    for key in path[:-1]:
        container = container[key]
    if value is None:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return result


def wrong_variants(settings: Any) -> Iterator[tuple[str, Any]]:
    """Yields a title and a changed copy of the settings for each way in which a setting can be wrong.

    A setting has a wrong type, is below 0, has another text, has an unknown key or is left out.
    """
    for path, value in iter_values(settings):
        name = ".".join(map(str, path))
        yield f"{name} of a wrong type", replaced(settings, path, 1 if isinstance(value, str) else "wrong")
        if isinstance(value, int | float) and not isinstance(value, bool):
            yield f"{name} below 0", replaced(settings, path, type(value)(-1))
        if isinstance(value, str):
            yield f"{name} with another text", replaced(settings, path, "no such")
        if isinstance(value, dict):
            yield f"{name} with an unknown key", replaced(settings, (*path, "nonsense"), 1)
        if not isinstance(path[-1], int):
            yield f"{name} left out", replaced(settings, path, None)


class ConfigurationFiles:
    """The two configuration files in a folder, and the results of a check and of a start with them."""

    def __init__(self, folder, monkeypatch, capsys) -> None:
        self.folder, self.capsys = folder, capsys
        self.platform_file, self.fronts_file = folder / "config.json", folder / "fronts.toml"
        self.write(VALID_PLATFORM, VALID_FRONTS)
        for name in ("ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MANAGEMENT", "ROUTER_FD", "ROUTER_NAME"):
            monkeypatch.delenv(name, raising=False)

    def write(self, platform: Any, fronts: Any) -> None:
        self.platform_file.write_text(json.dumps(platform))
        self.fronts_file.write_text(tomli_w.dumps(fronts))

    def check(self, *arguments: str) -> str:
        """Returns the output of `spanwing check`, and its exit status."""
        self.capsys.readouterr()
        status = main(["check", *arguments])
        captured = self.capsys.readouterr()
        return self.without_folder(f"{captured.out}{captured.err}exit {status}\n")

    def start(self, **environment: str) -> str:
        """Returns the error that ends a start of the daemon, or its name if the configuration is valid."""
        file_variables = {
            "ROUTER_CONFIG": str(self.platform_file),
            "SPANWING_FRONTS": str(self.fronts_file),
        }
        try:
            return f"taken, as {load_configuration({**file_variables, **environment}).name}\n"
        except ConfigurationError as error:
            return self.without_folder(f"{error}\n")

    def without_folder(self, text: str) -> str:
        return text.replace(str(self.folder), "TMP")


@pytest.fixture
def files(tmp_path, monkeypatch, capsys) -> ConfigurationFiles:
    return ConfigurationFiles(tmp_path, monkeypatch, capsys)


def render_results(files: ConfigurationFiles, title: str) -> str:
    """Returns the title, the result of a start, and the output of `spanwing check` for both files."""
    start_result = files.start()
    check_output = files.check(str(files.platform_file), "--fronts", str(files.fronts_file))
    return f"# {title}\n{start_result}{check_output}\n"


def test_wrong_values_of_each_setting_of_the_platform_file(files: ConfigurationFiles) -> None:
    results = []
    for title, platform in wrong_variants(VALID_PLATFORM):
        files.write(platform, VALID_FRONTS)
        results.append(render_results(files, title))
    compare_text("settings/platform.txt", "".join(results))


def test_wrong_values_of_each_setting_of_the_fronts_file(files: ConfigurationFiles) -> None:
    results = []
    for title, fronts in wrong_variants(VALID_FRONTS):
        files.write(VALID_PLATFORM, fronts)
        results.append(render_results(files, title))
    compare_text("settings/fronts.txt", "".join(results))


def test_unreadable_files_and_many_errors_at_once(files: ConfigurationFiles) -> None:
    platform_path, fronts_path = str(files.platform_file), str(files.fronts_file)
    results = [
        f"# both good\n{files.start()}{files.check(platform_path, '--fronts', fronts_path)}"
        f"{files.check(fronts_path)}\n"
    ]
    platform, fronts = copy.deepcopy(VALID_PLATFORM), copy.deepcopy(VALID_FRONTS)
    for path, value in list(iter_values(VALID_PLATFORM)):
        if len(path) == 2 and not isinstance(value, dict):
            platform = replaced(platform, path, 1 if isinstance(value, str) else "wrong")
    for path, value in list(iter_values(VALID_FRONTS)):
        if len(path) == 2:
            fronts = replaced(fronts, path, 1 if isinstance(value, str) else "wrong")
    files.write(platform, fronts)
    results.append(render_results(files, "all of a wrong type"))
    results.append(f"# the fronts file alone\n{files.check(fronts_path)}\n")
    files.write(VALID_PLATFORM, VALID_FRONTS)
    files.platform_file.write_text("{")
    files.fronts_file.write_text("[")
    results.append(render_results(files, "no JSON, no TOML"))
    results.append(f"# nowhere\n{files.check('/nowhere/config', '--fronts', '/nowhere/fronts')}\n")
    compare_text("settings/files.txt", "".join(results))


def test_environment_variables(files: ConfigurationFiles) -> None:
    files.write(VALID_PLATFORM, {name: table for name, table in VALID_FRONTS.items() if name != "policy"})
    results = [f"# {json.dumps(each)}\n{files.start(**each)}\n" for each in ENVIRONMENTS]
    files.write(VALID_PLATFORM, VALID_FRONTS)
    results.append(f"# ROUTER_FD beside [policy]\n{files.start(ROUTER_FD='3')}\n")
    compare_text("settings/environment.txt", "".join(results))


def iter_setting_paths(type_info: Any, path: SettingPath = ()) -> Iterator[SettingPath]:
    """Yields the path of every setting that a type declares; 0 stands for the items of a list."""
    inspect = msgspec.inspect
    if isinstance(type_info, inspect.UnionType):
        type_info = next(each for each in type_info.types if not isinstance(each, inspect.NoneType))
    if isinstance(type_info, inspect.ListType):
        yield from iter_setting_paths(type_info.item_type, (*path, 0))
    if isinstance(type_info, inspect.StructType):
        for field in type_info.fields:
            yield (*path, field.encode_name)
            yield from iter_setting_paths(field.type, (*path, field.encode_name))


@pytest.mark.parametrize(
    ("struct_type", "valid_settings"),
    [
        (PlatformFile, VALID_PLATFORM),
        (PlatformSettings, VALID_PLATFORM["settings"]),
        (OperatorFile, VALID_FRONTS),
    ],
)
def test_golden_files_contain_every_setting(struct_type: type, valid_settings: dict) -> None:
    declared = set(iter_setting_paths(msgspec.inspect.type_info(struct_type)))
    assert declared <= {path for path, _ in iter_values(valid_settings)}

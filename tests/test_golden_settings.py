"""Every setting of both files, and the line that a wrong value of it gives, against tests/golden/settings.

platform.json and fronts.toml there name every setting once, with a value that is taken.
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
from goldenfiles import GOLDEN, compare_text

from spanwing.cli.main import main
from spanwing.config import PlatformFile, load_configuration
from spanwing.config_errors import ConfigurationError
from spanwing.operator_file import OperatorFile
from spanwing.settings import PlatformSettings

PLATFORM = json.loads((GOLDEN / "settings" / "platform.json").read_text())
FRONTS = tomllib.loads((GOLDEN / "settings" / "fronts.toml").read_text())
ENVIRONMENT = (
    *[{name: "nonsense"} for name in ("ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MANAGEMENT", "ROUTER_FD")],
    {"ROUTER_LISTEN": "127.0.0.1:7500"},
    {"ROUTER_NAME": "n1"},
    {"ROUTER_FD": "3"},
    {"ROUTER_CONFIG": "/nowhere/config"},
    {"ROUTER_CONFIG": ""},
    {"SPANWING_FRONTS": "/nowhere/fronts"},
)
Place = tuple[str | int, ...]


def places(value: Any, place: Place = ()) -> Iterator[tuple[Place, Any]]:
    """Every value below the top, with where it stands."""
    entries = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    for key, each in entries:
        yield (*place, key), each
        yield from places(each, (*place, key))


def changed(whole: Any, place: Place, value: Any) -> Any:
    """A copy with another value there; with none, without that place."""
    result = copy.deepcopy(whole)
    into = result
    for each in place[:-1]:
        into = into[each]
    if value is None:
        del into[place[-1]]
    else:
        into[place[-1]] = value
    return result


def variants(whole: Any) -> Iterator[tuple[str, Any]]:
    """Each place of a wrong type, out of any range, away, and each table with a key that there is not."""
    for place, value in places(whole):
        name = ".".join(map(str, place))
        yield f"{name} of a wrong type", changed(whole, place, 1 if isinstance(value, str) else "wrong")
        if isinstance(value, int | float) and not isinstance(value, bool):
            yield f"{name} below 0", changed(whole, place, type(value)(-1))
        if isinstance(value, str):
            yield f"{name} with another text", changed(whole, place, "no such")
        if isinstance(value, dict):
            yield f"{name} with an unknown key", changed(whole, (*place, "nonsense"), 1)
        if not isinstance(place[-1], int):
            yield f"{name} left out", changed(whole, place, None)


class Files:
    """Both files as they are checked, and what is said of them."""

    def __init__(self, folder, monkeypatch, capsys) -> None:
        self.folder, self.capsys = folder, capsys
        self.config, self.fronts = folder / "config.json", folder / "fronts.toml"
        self.write(PLATFORM, FRONTS)
        for name in ("ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MANAGEMENT", "ROUTER_FD", "ROUTER_NAME"):
            monkeypatch.delenv(name, raising=False)

    def write(self, platform: Any, fronts: Any) -> None:
        self.config.write_text(json.dumps(platform))
        self.fronts.write_text(tomli_w.dumps(fronts))

    def check(self, *arguments: str) -> str:
        """What `spanwing check` says, and its exit status."""
        self.capsys.readouterr()
        status = main(["check", *arguments])
        said = self.capsys.readouterr()
        return self.plain(f"{said.out}{said.err}exit {status}\n")

    def start(self, **environment: str) -> str:
        """The line that ends a start; a name, where the files are taken."""
        both = {"ROUTER_CONFIG": str(self.config), "SPANWING_FRONTS": str(self.fronts)}
        try:
            return f"taken, as {load_configuration({**both, **environment}).name}\n"
        except ConfigurationError as error:
            return self.plain(f"{error}\n")

    def plain(self, text: str) -> str:
        return text.replace(str(self.folder), "TMP")


@pytest.fixture
def files(tmp_path, monkeypatch, capsys) -> Files:
    return Files(tmp_path, monkeypatch, capsys)


def told(files: Files, name: str) -> str:
    """The line at a start, and all that `check` names where it names more than that."""
    first = files.start()
    all_of_them = files.check(str(files.config), "--fronts", str(files.fronts))
    return f"# {name}\n{first}{all_of_them}\n"


def test_each_setting_of_the_platforms_file(files: Files) -> None:
    lines = []
    for name, platform in variants(PLATFORM):
        files.write(platform, FRONTS)
        lines.append(told(files, name))
    compare_text("settings/platform.txt", "".join(lines))


def test_each_setting_of_the_fronts_file(files: Files) -> None:
    lines = []
    for name, fronts in variants(FRONTS):
        files.write(PLATFORM, fronts)
        lines.append(told(files, name))
    compare_text("settings/fronts.txt", "".join(lines))


def test_files_that_are_none_and_many_faults_at_once(files: Files) -> None:
    config, fronts = str(files.config), str(files.fronts)
    lines = [f"# both good\n{files.start()}{files.check(config, '--fronts', fronts)}{files.check(fronts)}\n"]
    wrong, odd = copy.deepcopy(PLATFORM), copy.deepcopy(FRONTS)
    for place, value in list(places(PLATFORM)):
        if len(place) == 2 and not isinstance(value, dict):
            wrong = changed(wrong, place, 1 if isinstance(value, str) else "wrong")
    for place, value in list(places(FRONTS)):
        if len(place) == 2:
            odd = changed(odd, place, 1 if isinstance(value, str) else "wrong")
    files.write(wrong, odd)
    lines.append(told(files, "all of a wrong type"))
    lines.append(f"# the fronts file alone\n{files.check(fronts)}\n")
    files.write(PLATFORM, FRONTS)
    files.config.write_text("{")
    files.fronts.write_text("[")
    lines.append(told(files, "no JSON, no TOML"))
    lines.append(f"# nowhere\n{files.check('/nowhere/config', '--fronts', '/nowhere/fronts')}\n")
    compare_text("settings/files.txt", "".join(lines))


def test_the_environment(files: Files) -> None:
    files.write(PLATFORM, {name: table for name, table in FRONTS.items() if name != "policy"})
    lines = [f"# {json.dumps(each)}\n{files.start(**each)}\n" for each in ENVIRONMENT]
    files.write(PLATFORM, FRONTS)
    lines.append(f"# ROUTER_FD beside [policy]\n{files.start(ROUTER_FD='3')}\n")
    compare_text("settings/environment.txt", "".join(lines))


def named_in(form: Any, place: Place = ()) -> Iterator[Place]:
    """Every setting that a form knows."""
    kinds = msgspec.inspect
    if isinstance(form, kinds.UnionType):
        form = next(each for each in form.types if not isinstance(each, kinds.NoneType))
    if isinstance(form, kinds.ListType):
        yield from named_in(form.item_type, (*place, 0))
    if isinstance(form, kinds.StructType):
        for field in form.fields:
            yield (*place, field.encode_name)
            yield from named_in(field.type, (*place, field.encode_name))


@pytest.mark.parametrize(
    ("form", "whole"),
    [(PlatformFile, PLATFORM), (PlatformSettings, PLATFORM["settings"]), (OperatorFile, FRONTS)],
)
def test_the_two_files_name_every_setting(form: type, whole: dict) -> None:
    known = set(named_in(msgspec.inspect.type_info(form)))
    assert known <= {place for place, _ in places(whole)}

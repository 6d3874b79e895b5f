"""Copies the files that the bench needs from the kit to this project's deployments (deploy/sites).

    python -m measure.sites [--kit KIT]               # ../given/kit by default
    python -m measure.sites --draw SEED [--kit KIT]   # also writes deploy/sites/drawn-SEED.toml

Git ignores the files written. A drawn deployment starts from one of the kit's or of this project's
deployments and varies every setting: a rare sequence of events may break one deployment and not another.
Equal seeds draw equal deployments.
"""

from __future__ import annotations

import argparse
import random
import shutil
import tomllib
from pathlib import Path
from typing import Any

SITES = Path(__file__).parent.parent / "deploy" / "sites"
#: Files of the kit to copy: name in SITES, path in the kit.
KIT_FILES = {
    "real.json": "sites/real.json",
    "wire.json": "sites/wire.json",
    "unlock.txt": "more/mass/unlock.txt",
}
#: Deployments that a drawn one may start from: those of the kit and those of this project.
KIT_SITES = ("sites/corrib-controls-eu.toml", "more/mass/other/lj-labels.toml")
OWN_SITES = ("orla-lifts.toml", "visla-meters.toml")


def copy_kit_files(kit: Path) -> list[Path]:
    """Copies the files that the bench needs, except where a file of that name exists.

    Returns the deployment files.
    """
    for name, source in KIT_FILES.items():
        if not (SITES / name).exists():
            shutil.copyfile(kit / source, SITES / name)
    return sorted(SITES.glob("*.toml"))


def draw_site(seed: int, base_files: list[Path]) -> dict[str, Any]:
    """Returns the content of a deployment file, drawn from a seed and based on one of `base_files`."""
    draw = random.Random(seed)
    with draw.choice(base_files).open("rb") as file:
        site = tomllib.load(file)
    site.pop("stock", None)
    site["name"] = f"drawn-{seed}"
    site["discovery"]["mode"] = draw.choice(["push", "ask"])
    site["allow"].update(
        cancel=draw.random() < 0.6,
        probes=draw.random() < 0.6,
        second_copies=draw.random() < 0.3,
        retry_after=draw.random() < 0.6,
        max_attempts=draw.choice([1, 2, 3, 4, 5]),
        cpu_ms_per_s=draw.choice([15, 25, 40, 80]),
    )
    site["rules"]["drain_grace_ms"] = draw.choice([100, 200, 300, 500, 900, 1500, 2500, 4000])
    site["rules"]["fall_multiple"] = draw.choice([2, 2.5, 3, 4])
    tier = site["tier"][0]
    tier["conn"]["idle_s"] = draw.choice([1, 2, 3, 5, 8, 15, 30])
    tier["conn"]["connect_timeout_ms"] = draw.choice([100, 150, 250, 400, 600, 1000])
    if tier["report"]["how"] == "probe" and not site["allow"]["probes"]:
        tier["report"]["how"] = "answers"
    for index, each in enumerate(site["class"]):
        each.pop("group", None)
        each.pop("window_ms", None)
        each.update(
            name=f"cls-{chr(97 + index)}{seed}",
            effect=draw.choice(["safe", "keyed", "unsafe"]),
            deadline_ms=draw.choice([1000, 1500, 2500, 4000, 8000, 15000, 25000]),
        )
        each["aim_ms"] = min(each["aim_ms"], each["deadline_ms"] // 2)
        if each["effect"] == "keyed":
            each.update(
                group=draw.choice(["all", "zone", "cell"]),
                window_ms=draw.choice([700, 1500, 3000, 6000, 12000]),
            )
    family = site["fam"]
    family["tells_start"] = draw.random() < 0.6
    family["progress_s"] = draw.choice([0.0, 0.0, 0.5, 1.0]) if family["tells_start"] else 0.0
    family["order"] = draw.choice(["fifo", "backfill", "priority"])
    family["drain_returns"] = draw.random() < 0.5
    site["clients"]["impatient"] = [0.02, 0.1]
    site["net"]["zones"] = [f"z{seed}{letter}" for letter in "abcd"[: draw.choice([1, 2, 3, 4])]]
    return site


def main(argv: list[str] | None = None) -> None:
    """Copies the kit's files, draws a deployment if asked to, and prints the deployment files."""
    parser = argparse.ArgumentParser(prog="python -m measure.sites")
    parser.add_argument("--kit", type=Path, default=Path("../given/kit"))
    parser.add_argument("--draw", type=int, metavar="SEED")
    arguments = parser.parse_args(argv)
    if arguments.draw is not None:
        import tomli_w

        site = draw_site(
            arguments.draw,
            [*(arguments.kit / each for each in KIT_SITES), *(SITES / each for each in OWN_SITES)],
        )
        with (SITES / f"drawn-{arguments.draw}.toml").open("wb") as file:
            tomli_w.dump(site, file)
    for each in copy_kit_files(arguments.kit):
        print(each.relative_to(SITES.parent.parent))


if __name__ == "__main__":
    main()

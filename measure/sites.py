"""Lays beside our own deployments (deploy/sites) what the bench wants there, from the kit; git ignores it.

    python -m measure.sites [--kit KIT]               # ../given/kit by default
    python -m measure.sites --draw SEED [--kit KIT]   # and deploy/sites/drawn-SEED.toml, also ignored

A drawn deployment starts from one of the kit's or of ours and differs in all that settings can say: what a
rare moment breaks in one deployment it may not in another. The same seed draws the same.
"""

from __future__ import annotations

import argparse
import random
import shutil
import tomllib
from pathlib import Path
from typing import Any

SITES = Path(__file__).parent.parent / "deploy" / "sites"
WANTED = {
    "real.json": "sites/real.json",
    "wire.json": "sites/wire.json",
    "unlock.txt": "more/mass/unlock.txt",
}
OTHERS = ("sites/corrib-controls-eu.toml", "more/mass/other/lj-labels.toml")
OURS = ("orla-lifts.toml", "visla-meters.toml")


def lay(kit: Path) -> list[Path]:
    """The deployments, with what the bench wants beside each. A file of our own of that name stays."""
    for name, source in WANTED.items():
        if not (SITES / name).exists():
            shutil.copyfile(kit / source, SITES / name)
    return sorted(SITES.glob("*.toml"))


def drawn(seed: int, bases: list[Path]) -> dict[str, Any]:
    """A deployment as its file has it."""
    draw = random.Random(seed)
    with draw.choice(bases).open("rb") as file:
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
    reader = argparse.ArgumentParser(prog="python -m measure.sites")
    reader.add_argument("--kit", type=Path, default=Path("../given/kit"))
    reader.add_argument("--draw", type=int, metavar="SEED")
    told = reader.parse_args(argv)
    if told.draw is not None:
        import tomli_w

        site = drawn(told.draw, [*(told.kit / each for each in OTHERS), *(SITES / each for each in OURS)])
        with (SITES / f"drawn-{told.draw}.toml").open("wb") as file:
            tomli_w.dump(site, file)
    for each in lay(told.kit):
        print(each.relative_to(SITES.parent.parent))


if __name__ == "__main__":
    main()

"""Deployments that are drawn from a seed, to look for rare moments in others' settings."""

from __future__ import annotations

import tomllib
import unittest

import tomli_w

from measure.sites import OURS, SITES, drawn


class Drawn(unittest.TestCase):
    def test_the_same_seed_draws_the_same_and_others_differ_in_what_settings_say(self) -> None:
        bases = [SITES / name for name in OURS]
        sites = [drawn(seed, bases) for seed in range(40)]
        self.assertEqual(sites, [drawn(seed, bases) for seed in range(40)])
        for said in (
            lambda site: site["allow"]["cancel"],
            lambda site: site["discovery"]["mode"],
            lambda site: tuple(each["effect"] for each in site["class"]),
            lambda site: site["rules"]["drain_grace_ms"],
            lambda site: site["fam"]["tells_start"],
        ):
            self.assertGreater(len({said(site) for site in sites}), 1)
        for site in sites:
            self.assertEqual(tomllib.loads(tomli_w.dumps(site)), site)
            for each in site["class"]:
                self.assertLess(each["aim_ms"], each["deadline_ms"])
                self.assertEqual(each["effect"] == "keyed", "window_ms" in each and "group" in each)


if __name__ == "__main__":
    unittest.main()

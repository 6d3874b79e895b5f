"""Tests of the deployments that are drawn from a seed to find faults that only rare settings show."""

from __future__ import annotations

import tomllib
import unittest

import tomli_w

from measure.sites import OWN_SITES, SITES, draw_site


class DrawSiteTest(unittest.TestCase):
    def test_equal_seeds_draw_equal_sites_and_other_seeds_vary_the_settings(self) -> None:
        base_files = [SITES / name for name in OWN_SITES]
        sites = [draw_site(seed, base_files) for seed in range(40)]
        self.assertEqual(sites, [draw_site(seed, base_files) for seed in range(40)])
        for setting in (
            lambda site: site["allow"]["cancel"],
            lambda site: site["discovery"]["mode"],
            lambda site: tuple(each["effect"] for each in site["class"]),
            lambda site: site["rules"]["drain_grace_ms"],
            lambda site: site["fam"]["tells_start"],
        ):
            self.assertGreater(len({setting(site) for site in sites}), 1)
        for site in sites:
            self.assertEqual(tomllib.loads(tomli_w.dumps(site)), site)
            for each in site["class"]:
                self.assertLess(each["aim_ms"], each["deadline_ms"])
                self.assertEqual(each["effect"] == "keyed", "window_ms" in each and "group" in each)


if __name__ == "__main__":
    unittest.main()

"""Scenario files: ready ones play, damaged ones are refused with all their faults, troubles begin and end."""

from __future__ import annotations

import re
import unittest

from spanwing.faults import ConfigurationError, ErrorCollector
from spanwing.simulation.fault_injection import FaultInjector, FaultSpec
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation
from spanwing.simulation.scenario import SCENARIO_LIBRARY, Scenario, load_scenario, parse_scenario

READY = sorted(each.stem for each in SCENARIO_LIBRARY.glob("*.toml"))


def scenario(name: str = "calm-day", more: str = "") -> Scenario:
    faults = ErrorCollector()
    return parse_scenario((SCENARIO_LIBRARY / f"{name}.toml").read_bytes() + more.encode(), faults)


def play(made: Scenario, seconds: float, seed: int = 1) -> tuple[FleetSimulation, list[AnsweredRequest]]:
    told: list[AnsweredRequest] = []
    fleet = FleetSimulation(made.build_plan(seed), seed, told.append)
    FaultInjector(fleet, made.faults, made.day_ms)
    fleet.run(seconds * 1000.0)
    return fleet, told


class Files(unittest.TestCase):
    def test_all_ready_ones_are_good(self) -> None:
        self.assertGreaterEqual(len(READY), 8)
        for name in READY:
            faults = ErrorCollector(collects_all=True)
            self.assertEqual((load_scenario(name, faults).name, faults.errors), (name, []))

    def test_damaged_ones_are_refused_each_with_a_plain_line(self) -> None:
        tried = 0
        for name in READY:
            lines = (SCENARIO_LIBRARY / f"{name}.toml").read_text().splitlines()
            for at, line in enumerate(lines):
                if not (match := re.match(r"(\w+) = (.*)", line)):
                    continue
                key, value = match[1], match[2]
                damages = [f"zz_{key} = {value}", f"{key} = {{ a = 1 }}"]
                if re.fullmatch(r"[0-9.]+", value):
                    damages += [f"{key} = -1", f"{key} = nan"]
                for damage in damages:
                    text = "\n".join([*lines[:at], damage, *lines[at + 1 :]]).encode()
                    faults = ErrorCollector(collects_all=True)
                    self.assertIsNone(parse_scenario(text, faults), damage)
                    self.assertTrue(faults.errors, damage)
                    for place, fault in faults.errors:
                        self.assertTrue(place and fault and "\n" not in place + fault, (place, fault))
                    with self.assertRaises(ConfigurationError):
                        parse_scenario(text, ErrorCollector())
                    tried += 1
        self.assertGreater(tried, 100)

    def test_all_faults_are_named_at_once_with_their_places(self) -> None:
        text = (SCENARIO_LIBRARY / "calm-day.toml").read_text().replace("level = 0.5", "level = -1")
        text = text.replace("speed = 0.9", 'speed = "fast"').replace("work_ms = 660", "work = 660")
        faults = ErrorCollector(collects_all=True)
        self.assertIsNone(parse_scenario(text.encode(), faults))
        places = {place for place, _ in faults.errors}
        self.assertLessEqual(
            {"workers[1].speed", "classes[2].work", "classes[2].work_ms", "load.level"}, places
        )

    def test_what_is_not_possible_together(self) -> None:
        for more, place in (
            ('what = "flood"\nat = 1\ntimes = 2.0\nbrand = "nobody"', "troubles[0].brand"),
            ('what = "partition"\nat = 1\nbetween = ["galway", "galway"]', "troubles[0].between"),
            ('what = "silent"\nat = 900\nshare = 0.5', "troubles[0].at"),
            ('what = "silent"\nat = 1\nshare = 0.0', "troubles[0].share"),
            ('what = "stolen_cpu"\nat = 1\nshare = 0.5\nscheduler = "s9"', "troubles[0].scheduler"),
            ('what = "crash"\nat = 1\nshare = 0.5\nkind = "tiny"', "troubles[0].kind"),
        ):
            with self.assertRaisesRegex(ConfigurationError, re.escape(place)):
                scenario(more=f"\n[[troubles]]\n{more}\n")


class Played(unittest.TestCase):
    def test_every_trouble_begins_and_ends(self) -> None:
        common = {"begin_s": 2.0, "duration_s": 2.0}
        troubles = [
            FaultSpec(**common, **each)
            for each in (
                {"fault_kind": "silent", "share": 0.3},
                {"fault_kind": "fast_failing", "share": 0.3},
                {"fault_kind": "neighbour", "share": 0.5, "times": 0.4},
                {"fault_kind": "crash", "share": 0.2},
                {"fault_kind": "heavy_tail", "share": 0.05, "times": 20.0},
                {"fault_kind": "cold_snap", "times": 2.0},
                {"fault_kind": "flood", "times": 5.0, "tenant": "burren"},
                {"fault_kind": "discovery_down"},
                {"fault_kind": "partition", "zone_pair": ("galway", "dublin")},
                {"fault_kind": "stolen_cpu", "share": 0.9, "scheduler": "s0"},
            )
        ]
        made = scenario()
        fleet = FleetSimulation(made.build_plan(1), 1)
        FaultInjector(
            fleet, (*troubles, *troubles), made.day_ms
        )  # each twice: one end does not end the other
        fleet.event_queue.run_until(3000.0)
        workers = [place.worker for place in fleet.worker_hosts.values()]
        during = (
            sum(each.is_silent for each in workers),
            sum(each.fails_fast for each in workers),
            sum(each.speed_factor < 1 for each in workers),
            sum(each.is_down for each in workers),
        )
        self.assertTrue(all(during), during)
        self.assertEqual(
            (
                fleet.clients.load_factor_by_tenant["burren"],
                fleet.is_discovery_up,
                len(fleet.network.partitioned_pairs),
            ),
            (100.0, False, 1),
        )
        fleet.event_queue.run_until(4100.0)
        workers = [place.worker for place in fleet.worker_hosts.values()]
        self.assertFalse(
            any(
                each.is_silent or each.fails_fast or each.speed_factor < 1 or each.is_down for each in workers
            )
        )
        self.assertEqual(
            (
                fleet.clients.load_factor_by_tenant["burren"],
                fleet.is_discovery_up,
                len(fleet.network.partitioned_pairs),
            ),
            (1.0, True, 0),
        )
        self.assertEqual((fleet.heavy_tail, fleet.schedulers[0].stolen_cpu_share), ((0.0, 1.0), 0.0))

    def test_a_zone_is_lost_and_schedulers_are_killed_and_all_come_back(self) -> None:
        made = scenario("fleet-calm")
        fleet = FleetSimulation(made.build_plan(1), 1)
        FaultInjector(
            fleet,
            (
                FaultSpec(fault_kind="zone_lost", begin_s=1.0, duration_s=2.0, zone="galway"),
                FaultSpec(fault_kind="schedulers_killed", begin_s=1.5, duration_s=2.0, share=0.5),
            ),
            made.day_ms,
        )
        fleet.event_queue.run_until(2000.0)
        up = [each for each in fleet.schedulers if each.is_up]
        self.assertEqual(
            {each.worker.spec.zone for each in fleet.worker_hosts.values() if each.worker.is_down}, {"galway"}
        )
        self.assertTrue(0 < len(up) <= 20 and all(each.zone != "galway" for each in up))
        fleet.event_queue.run_until(5600.0)
        self.assertTrue(
            all(each.is_up for each in fleet.schedulers)
            and len(fleet.schedulers_believed_up) == len(fleet.schedulers)
        )
        self.assertFalse(any(each.worker.is_down for each in fleet.worker_hosts.values()))
        fleet.event_queue.run_until(7000.0)  # by now the last has its list
        self.assertEqual({len(each.decision_module.worker_states) for each in fleet.schedulers}, {60})

    def test_workers_are_replaced_by_cold_ones_while_all_is_accounted_for(self) -> None:
        made = scenario("fleet-join")
        fleet, told = FleetSimulation(made.build_plan(1), 1), []
        fleet.on_answered = told.append
        FaultInjector(
            fleet, (FaultSpec(fault_kind="join", begin_s=1.0, duration_s=2.0, share=0.6),), made.day_ms
        )
        fleet.run(4000.0)
        alive = [each for each in fleet.worker_hosts.values() if not each.worker.is_down]
        self.assertEqual(
            (len(fleet.worker_hosts), len(alive), len(told)), (96, 60, fleet.accounting.request_count)
        )
        self.assertEqual(
            {each.slots for each in [fleet.clients.next_request() for _ in range(200)]}, {1, 2, 4}
        )

    def test_troubled_days_account_for_everything(self) -> None:
        for name in ("deploy-with-silent", "retry-storm", "brand-flood"):
            fleet, told = play(scenario(name), 16.0)  # run() checks places and work
            self.assertEqual(len(told), fleet.accounting.request_count)
            self.assertGreater(sum(each.outcome == "served" for each in told), 0.5 * len(told))

    def test_one_of_two_seeds_moves_nothing_of_the_other(self) -> None:
        """More retries leave arrivals and work as they are, so that runs compare pair by pair."""
        plain, storm = (scenario(name) for name in ("calm-day", "retry-storm"))
        first, second = (FleetSimulation(each.build_plan(5), 5) for each in (plain, storm))
        for _ in range(200):
            one, other = first.clients.next_request(), second.clients.next_request()
            self.assertEqual(
                (one.class_spec.name, one.tenant, one.sticky_key, one.work_ms),
                (other.class_spec.name, other.tenant, other.sticky_key, other.work_ms),
            )

    def test_stolen_cpu_holds_up_what_a_scheduler_decides(self) -> None:
        took = []
        for share in (0.0, 0.99):
            made = scenario()
            fleet, told = FleetSimulation(made.build_plan(2)._replace(decision_ms=0.5), 2), []
            fleet.on_answered = told.append
            if share:
                FaultInjector(
                    fleet,
                    tuple(
                        FaultSpec(fault_kind="stolen_cpu", begin_s=0.0, share=share, scheduler=f"s{n}")
                        for n in range(4)
                    ),
                    made.day_ms,
                )
            fleet.run(8000.0)
            took.append(sum(each.elapsed_ms for each in told if each.outcome == "served") / len(told))
        self.assertGreater(took[1], took[0] + 50.0)


if __name__ == "__main__":
    unittest.main()

"""Scenario files: library files run, invalid files are rejected with all errors, faults begin and end."""

from __future__ import annotations

import re
import unittest

from spanwing.config_errors import ConfigurationError, ErrorCollector
from spanwing.simulation.fault_injection import FaultInjector, FaultSpec
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation
from spanwing.simulation.scenario import SCENARIO_LIBRARY, Scenario, load_scenario, parse_scenario

LIBRARY_NAMES = sorted(each.stem for each in SCENARIO_LIBRARY.glob("*.toml"))


def read_scenario(name: str = "calm-day", appended: str = "") -> Scenario:
    """Reads a scenario of the library, with some text appended to the file."""
    errors = ErrorCollector()
    return parse_scenario((SCENARIO_LIBRARY / f"{name}.toml").read_bytes() + appended.encode(), errors)


def run_scenario(
    scenario: Scenario, seconds: float, seed: int = 1
) -> tuple[FleetSimulation, list[AnsweredRequest]]:
    """Runs the first seconds of a scenario; returns the fleet and the answered requests."""
    answered: list[AnsweredRequest] = []
    fleet = FleetSimulation(scenario.build_plan(seed), seed, answered.append)
    FaultInjector(fleet, scenario.faults, scenario.day_ms)
    fleet.run(seconds * 1000.0)
    return fleet, answered


class ScenarioFiles(unittest.TestCase):
    def test_all_files_of_the_library_are_valid(self) -> None:
        self.assertGreaterEqual(len(LIBRARY_NAMES), 8)
        for name in LIBRARY_NAMES:
            errors = ErrorCollector(collects_all=True)
            self.assertEqual((load_scenario(name, errors).name, errors.errors), (name, []))

    def test_invalid_files_are_rejected_with_errors_of_one_line(self) -> None:
        rejected_count = 0
        for name in LIBRARY_NAMES:
            lines = (SCENARIO_LIBRARY / f"{name}.toml").read_text().splitlines()
            for index, line in enumerate(lines):
                if not (match := re.match(r"(\w+) = (.*)", line)):
                    continue
                setting, value = match[1], match[2]
                invalid_lines = [f"zz_{setting} = {value}", f"{setting} = {{ a = 1 }}"]
                if re.fullmatch(r"[0-9.]+", value):
                    invalid_lines += [f"{setting} = -1", f"{setting} = nan"]
                for invalid_line in invalid_lines:
                    text = "\n".join([*lines[:index], invalid_line, *lines[index + 1 :]]).encode()
                    errors = ErrorCollector(collects_all=True)
                    self.assertIsNone(parse_scenario(text, errors), invalid_line)
                    self.assertTrue(errors.errors, invalid_line)
                    for key, message in errors.errors:
                        self.assertTrue(key and message and "\n" not in key + message, (key, message))
                    with self.assertRaises(ConfigurationError):
                        parse_scenario(text, ErrorCollector())
                    rejected_count += 1
        self.assertGreater(rejected_count, 100)

    def test_all_errors_are_reported_at_once_with_their_keys(self) -> None:
        text = (SCENARIO_LIBRARY / "calm-day.toml").read_text().replace("level = 0.5", "level = -1")
        text = text.replace("speed = 0.9", 'speed = "fast"').replace("work_ms = 660", "work = 660")
        errors = ErrorCollector(collects_all=True)
        self.assertIsNone(parse_scenario(text.encode(), errors))
        keys = {key for key, _ in errors.errors}
        self.assertLessEqual(
            {"workers[1].speed", "classes[2].work", "classes[2].work_ms", "load.level"}, keys
        )

    def test_faults_that_do_not_fit_the_scenario_are_rejected(self) -> None:
        for fault_settings, key in (
            ('what = "flood"\nat = 1\ntimes = 2.0\nbrand = "nobody"', "troubles[0].brand"),
            ('what = "partition"\nat = 1\nbetween = ["galway", "galway"]', "troubles[0].between"),
            ('what = "silent"\nat = 900\nshare = 0.5', "troubles[0].at"),
            ('what = "silent"\nat = 1\nshare = 0.0', "troubles[0].share"),
            ('what = "stolen_cpu"\nat = 1\nshare = 0.5\nscheduler = "s9"', "troubles[0].scheduler"),
            ('what = "crash"\nat = 1\nshare = 0.5\nkind = "tiny"', "troubles[0].kind"),
        ):
            with self.assertRaisesRegex(ConfigurationError, re.escape(key)):
                read_scenario(appended=f"\n[[troubles]]\n{fault_settings}\n")


class ScenarioRuns(unittest.TestCase):
    def test_every_fault_begins_and_ends(self) -> None:
        interval = {"begin_s": 2.0, "duration_s": 2.0}
        faults = [
            FaultSpec(**interval, **each)
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
        scenario = read_scenario()
        fleet = FleetSimulation(scenario.build_plan(1), 1)
        # Each fault is injected twice: the end of one must not undo the other.
        FaultInjector(fleet, (*faults, *faults), scenario.day_ms)
        fleet.event_queue.run_until(3000.0)
        workers = [host.worker for host in fleet.worker_hosts.values()]
        affected_counts = (
            sum(each.is_silent for each in workers),
            sum(each.fails_fast for each in workers),
            sum(each.speed_factor < 1 for each in workers),
            sum(each.is_down for each in workers),
        )
        self.assertTrue(all(affected_counts), affected_counts)
        self.assertEqual(
            (
                fleet.clients.load_factor_by_tenant["burren"],
                fleet.is_discovery_up,
                len(fleet.network.partitioned_pairs),
            ),
            (100.0, False, 1),
        )
        fleet.event_queue.run_until(4100.0)
        workers = [host.worker for host in fleet.worker_hosts.values()]
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

    def test_a_lost_zone_and_killed_schedulers_return(self) -> None:
        scenario = read_scenario("fleet-calm")
        fleet = FleetSimulation(scenario.build_plan(1), 1)
        FaultInjector(
            fleet,
            (
                FaultSpec(fault_kind="zone_lost", begin_s=1.0, duration_s=2.0, zone="galway"),
                FaultSpec(fault_kind="schedulers_killed", begin_s=1.5, duration_s=2.0, share=0.5),
            ),
            scenario.day_ms,
        )
        fleet.event_queue.run_until(2000.0)
        running = [each for each in fleet.schedulers if each.is_up]
        self.assertEqual(
            {each.worker.spec.zone for each in fleet.worker_hosts.values() if each.worker.is_down}, {"galway"}
        )
        self.assertTrue(0 < len(running) <= 20 and all(each.zone != "galway" for each in running))
        fleet.event_queue.run_until(5600.0)
        self.assertTrue(
            all(each.is_up for each in fleet.schedulers)
            and len(fleet.schedulers_believed_up) == len(fleet.schedulers)
        )
        self.assertFalse(any(each.worker.is_down for each in fleet.worker_hosts.values()))
        fleet.event_queue.run_until(7000.0)  # all restarted schedulers have their endpoint lists
        self.assertEqual({len(each.decision_module.worker_states) for each in fleet.schedulers}, {60})

    def test_replaced_workers_lose_no_request(self) -> None:
        scenario = read_scenario("fleet-join")
        fleet, answered = FleetSimulation(scenario.build_plan(1), 1), []
        fleet.on_answered = answered.append
        FaultInjector(
            fleet, (FaultSpec(fault_kind="join", begin_s=1.0, duration_s=2.0, share=0.6),), scenario.day_ms
        )
        fleet.run(4000.0)
        running = [each for each in fleet.worker_hosts.values() if not each.worker.is_down]
        self.assertEqual(
            (len(fleet.worker_hosts), len(running), len(answered)), (96, 60, fleet.accounting.request_count)
        )
        self.assertEqual(
            {each.slots for each in [fleet.clients.next_request() for _ in range(200)]}, {1, 2, 4}
        )

    def test_runs_with_faults_account_for_requests_and_work(self) -> None:
        for name in ("deploy-with-silent", "retry-storm", "brand-flood"):
            fleet, answered = run_scenario(read_scenario(name), 16.0)  # run() checks stages and work
            self.assertEqual(len(answered), fleet.accounting.request_count)
            self.assertGreater(sum(each.outcome == "served" for each in answered), 0.5 * len(answered))

    def test_other_retries_do_not_change_the_generated_requests(self) -> None:
        """Runs of the same seed can then be compared in pairs."""
        calm, storm = (read_scenario(name) for name in ("calm-day", "retry-storm"))
        first, second = (FleetSimulation(each.build_plan(5), 5) for each in (calm, storm))
        for _ in range(200):
            request, other = first.clients.next_request(), second.clients.next_request()
            self.assertEqual(
                (request.class_spec.name, request.tenant, request.sticky_key, request.work_ms),
                (other.class_spec.name, other.tenant, other.sticky_key, other.work_ms),
            )

    def test_stolen_cpu_delays_the_answers_of_schedulers(self) -> None:
        mean_elapsed_ms = []
        for share in (0.0, 0.99):
            scenario = read_scenario()
            fleet, answered = FleetSimulation(scenario.build_plan(2)._replace(decision_ms=0.5), 2), []
            fleet.on_answered = answered.append
            if share:
                FaultInjector(
                    fleet,
                    tuple(
                        FaultSpec(fault_kind="stolen_cpu", begin_s=0.0, share=share, scheduler=f"s{index}")
                        for index in range(4)
                    ),
                    scenario.day_ms,
                )
            fleet.run(8000.0)
            mean_elapsed_ms.append(
                sum(each.elapsed_ms for each in answered if each.outcome == "served") / len(answered)
            )
        self.assertGreater(mean_elapsed_ms[1], mean_elapsed_ms[0] + 50.0)


if __name__ == "__main__":
    unittest.main()

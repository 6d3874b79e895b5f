"""The pure deciders of what balancers are told, driven by samples and by a clock of the tests."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from spanwing.health.cpu_meter import CpuMeter, CpuReading
from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts
from spanwing.health.state_machine import ACCEPTING_STATES, HealthStateMachine

CLASSES = (ClassLoad("status-read", 150.0), ClassLoad("setpoint-push", 300.0, "big-box"))
FLEET = (WorkerCounts("a", "big-box", 4, 4), WorkerCounts("a", "old-box", 4, 4))
CALM = HealthSignals(CpuUsage(0.1, 0.1, 0.0, 1.0), CLASSES, FLEET, "a")
STEP_S = 0.05


class Run:
    """One daemon's health under samples every 50 ms."""

    def __init__(self, policy: HealthSettings | None = None, settled: bool = True) -> None:
        self.now, self.health = 100.0, HealthStateMachine(policy or HealthSettings(), 100.0)
        self.told = [self.health.verdict]
        if settled:
            self.go(20.0, CALM)

    def go(self, seconds: float, signals: HealthSignals):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += STEP_S
            self.told.append(self.health.observe(self.now, signals))
        return self.told[-1]


class States(unittest.TestCase):
    def test_start_is_slow_and_ends_ready(self) -> None:
        run = Run(settled=False)
        self.assertEqual(run.go(1.0, HealthSignals(endpoints_known=False)).state, "starting")
        first = run.go(STEP_S, CALM)
        self.assertEqual((first.state, first.weight), ("weighted", 10))
        self.assertIn("slow start", first.reasons)
        self.assertLess(run.go(3.0, CALM).weight, 50)
        self.assertEqual((run.go(10.0, CALM).state, run.told[-1].weight), ("ready", 100))

    def test_no_list_in_time_is_absence(self) -> None:
        run = Run(settled=False)
        self.assertEqual(run.go(5.2, HealthSignals(endpoints_known=False)).state, "absent")

    def test_short_of_cpu_is_said_at_once_and_weight_follows_what_is_stolen(self) -> None:
        run = Run()
        stolen = CALM._replace(cpu=CpuUsage(0.25, 1.0, 0.75, 40.0))
        verdict = run.go(STEP_S, stolen)
        self.assertEqual(verdict.state, "short")
        self.assertIn("others take 75%", verdict.reason)
        self.assertLess(run.go(1.4, stolen).weight, 30)
        own = Run()
        self.assertIn("busy 100%", own.go(STEP_S, CALM._replace(cpu=CpuUsage(1.0, 1.0, 0.0, 90.0))).reason)

    def test_shortage_never_goes_below_the_floor_and_ends_with_hysteresis(self) -> None:
        run = Run()
        short = CALM._replace(cpu=CpuUsage(0.25, 1.0, 0.75, 400.0))
        pause = CALM._replace(cpu=CpuUsage(0.25, 0.9, 0.6, 90.0))
        self.assertEqual(run.go(0.1, pause).state, "ready")  # one pause of the machine is no shortage
        self.assertEqual(run.go(0.2, pause).state, "short")
        self.assertEqual((run.go(60.0, short).state, run.told[-1].weight), ("short", 10))
        self.assertEqual(run.go(1.0, CALM).state, "short")  # not yet easy for long enough
        self.assertEqual(
            run.go(5.0, CALM._replace(cpu=CpuUsage(0.7, 0.7))).state, "short"
        )  # between the marks
        self.assertEqual(run.go(2.2, CALM).state, "weighted")
        self.assertEqual(run.go(30.0, CALM).state, "ready")

    def test_four_schedulers_that_are_all_short_all_stay(self) -> None:
        runs = [Run() for _ in range(4)]
        for _ in range(600):
            for run in runs:
                run.go(STEP_S, CALM._replace(cpu=CpuUsage(0.2, 1.0, 0.8, 500.0)))
            self.assertTrue(all(run.told[-1].accepts_work and run.told[-1].weight >= 10 for run in runs))

    def test_a_kind_that_is_gone_counts_for_its_class_alone(self) -> None:
        run = Run()
        gone = CALM._replace(workers=(WorkerCounts("a", "big-box", 4, 0), WorkerCounts("a", "old-box", 4, 4)))
        verdict = run.go(2.0, gone)
        self.assertEqual((verdict.state, dict(verdict.classes)["status-read"]), ("weighted", ""))
        self.assertIn("big-box", dict(verdict.classes)["setpoint-push"])
        self.assertLess(verdict.weight, 60)
        verdict = run.go(0.1, CALM._replace(workers=()))
        self.assertEqual((verdict.state, verdict.weight), ("absent", 0))
        self.assertEqual(run.go(STEP_S, CALM).weight, 10)  # what comes back begins slowly

    def test_the_stores_majority_counts_where_a_class_needs_it(self) -> None:
        run = Run()
        needs = (CLASSES[0], CLASSES[1]._replace(needs_store=True))
        self.assertEqual(run.go(1.0, CALM._replace(has_store_quorum=False)).state, "ready")
        verdict = run.go(1.0, CALM._replace(classes=needs, has_store_quorum=False))
        self.assertIn("no majority", dict(verdict.classes)["setpoint-push"])

    def test_a_class_that_is_turned_away_counts_as_unserved_and_the_others_go_on(self) -> None:
        run = Run()
        classes = (CLASSES[0], CLASSES[1]._replace(rejection_reason="journal: No space left on device"))
        verdict = run.go(1.0, CALM._replace(classes=classes))
        self.assertIn("No space left", dict(verdict.classes)["setpoint-push"])
        self.assertEqual(dict(verdict.classes)["status-read"], "")
        self.assertLess(verdict.weight, 100)

    def test_each_shortage_has_its_reason(self) -> None:
        waits = (CLASSES[0]._replace(queued=7, oldest_queued_ms=200.0), CLASSES[1])
        for changes, word in (
            ({"client_connections": ResourceUsage(95, 100)}, "connection table"),
            ({"descriptors": ResourceUsage(95, 100)}, "descriptors"),
            ({"memory_mb": ResourceUsage(190, 192)}, "memory"),
            ({"discovery_age_s": 40.0}, "discovery silent"),
            ({"classes": waits}, "7 status-read held"),
            ({"zone": "b", "workers": (WorkerCounts("b", "big-box", 2, 0), *FLEET)}, "zone b"),
        ):
            verdict = Run().go(3.0, CALM._replace(**changes))
            self.assertEqual(verdict.state, "weighted", word)
            self.assertIn(word, " ".join(verdict.reasons))
            self.assertLess(verdict.weight, 95, word)

    def test_refusals_weigh_while_they_last(self) -> None:
        run, answered = Run(), 0
        for _ in range(60):
            answered += 2
            run.go(STEP_S, CALM._replace(answered=answered, rejected=answered // 2))
        self.assertIn("refusals", run.told[-1].reason)
        self.assertEqual(
            run.go(10.0, CALM._replace(answered=answered, rejected=answered // 2)).state, "ready"
        )

    def test_the_operators_weight_is_an_upper_bound(self) -> None:
        run = Run()
        run.health.set_weight(40, run.now)
        self.assertEqual(run.go(3.0, CALM).weight, 40)
        run.health.set_weight(0, run.now)
        verdict = run.go(3.0, CALM)
        self.assertEqual((verdict.weight, verdict.accepts_work), (0, False))
        with self.assertRaisesRegex(ValueError, "weight"):
            run.health.set_weight(101, run.now)


class DrainOrders(unittest.TestCase):
    def test_drain_is_told_at_once_and_ends_when_nothing_is_owed(self) -> None:
        run = Run()
        verdict = run.health.drain("command", run.now)
        self.assertEqual((verdict.state, verdict.weight), ("draining", 0))
        self.assertEqual(run.go(1.7, CALM).state, "draining")  # nothing is owed, but balancers still learn
        self.assertEqual(run.go(1.0, CALM._replace(outstanding=1)).state, "draining")
        self.assertEqual(run.go(STEP_S, CALM).state, "drained")

    def test_undrain_goes_back_with_a_slow_start(self) -> None:
        run = Run()
        for waits in (0.5, 60.0):  # however long it was drained, or had no job worker at all
            run.health.drain("command", run.now)
            run.go(waits, CALM)
            verdict = run.health.undrain("command", run.now)
            self.assertEqual((verdict.state, verdict.weight), ("weighted", 10))
            self.assertLess(run.go(1.0, CALM).weight, 30)
            self.assertEqual(run.go(12.0, CALM).state, "ready")
            run.go(waits, CALM._replace(workers=()))
            self.assertLess(run.go(1.0, CALM).weight, 30)
            run.go(12.0, CALM)

    def test_the_reasons_are_those_of_now_though_the_weight_stays(self) -> None:
        run = Run()
        full = run.go(5.0, CALM._replace(client_connections=ResourceUsage(100, 100)))
        other = run.go(5.0, CALM._replace(memory_mb=ResourceUsage(192, 192)))
        self.assertEqual((full.published_fields, "table" in full.reason), (other.published_fields, True))
        self.assertIn("memory", other.reason)

    def test_sigterm_is_never_withdrawn_and_two_sources_both_count(self) -> None:
        run = Run()
        run.health.drain("command", run.now)
        run.health.drain("store", run.now)
        self.assertEqual(run.health.undrain("command", run.now).state, "draining")
        self.assertEqual(run.health.undrain("store", run.now).state, "weighted")
        run.health.drain("signal", run.now)
        self.assertEqual(run.health.undrain("signal", run.now).state, "draining")

    def test_drain_undrain_drain_within_one_interval_counts_the_notice_anew(self) -> None:
        run = Run()
        run.health.drain("command", run.now)
        run.go(0.3, CALM)
        run.health.undrain("command", run.now)
        run.go(0.3, CALM)
        run.health.drain("command", run.now)
        self.assertEqual(run.go(1.7, CALM).state, "draining")
        self.assertEqual(run.go(0.2, CALM).state, "drained")

    def test_another_source_does_not_prolong_the_notice(self) -> None:
        run = Run()
        run.health.drain("command", run.now)
        run.go(1.5, CALM)
        run.health.drain("store", run.now)
        self.assertEqual(run.go(0.3, CALM).state, "drained")


class Meter(unittest.TestCase):
    def test_own_use_and_stolen_time_are_told_apart(self) -> None:
        meter, cpu = CpuMeter(), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.0125, step * 0.05, 0.004))
        self.assertAlmostEqual(cpu.demand, 1.0)
        self.assertAlmostEqual(cpu.stolen, 0.75)
        self.assertAlmostEqual(cpu.used, 0.25)
        self.assertAlmostEqual(cpu.lag_ms, 4.0)

    def test_a_neighbour_that_takes_most_is_told_from_own_load_within_a_few_readings(self) -> None:
        for part, robbed in ((0.25, True), (0.9, False)):
            meter, cpu = CpuMeter(), CpuUsage()
            for step in range(20):
                cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.02, step * 0.021, 0.0))
            for step in range(1, 5):
                cpu = meter.add_reading(
                    CpuReading(0.95 + step * 0.05, 0.38 + step * 0.05 * part, 0.399 + step * 0.05, 0.0)
                )
            self.assertEqual(cpu.is_contended, robbed)
            self.assertLess(cpu.demand, 0.85)

    def test_part_of_a_core_is_the_measure(self) -> None:
        meter, cpu = CpuMeter(cores=0.5), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.0225, step * 0.0225, 0.0))
        self.assertAlmostEqual(cpu.demand, 0.9)

    def test_without_the_loops_meter_late_timers_count(self) -> None:
        meter, cpu = CpuMeter(), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.1, step * 0.05, None, 0.05))
        self.assertGreater(cpu.demand, 0.9)

    def test_a_clock_that_stands_still_is_no_division_by_zero(self) -> None:
        meter = CpuMeter()
        self.assertEqual(
            [meter.add_reading(CpuReading(1.0, 1.0, 1.0, 0.0)) for _ in range(3)], [CpuUsage()] * 3
        )


share = st.floats(0, 1)
samples = st.builds(
    HealthSignals,
    cpu=st.builds(CpuUsage, share, share, share, st.floats(0, 5000)),
    classes=st.just(CLASSES),
    zone=st.sampled_from(["a", "b", ""]),
    endpoints_known=st.booleans(),
    workers=st.lists(
        st.builds(
            lambda z, k, n, t: WorkerCounts(z, k, n + t, t),
            st.sampled_from("ab"),
            st.sampled_from(["big-box", "old-box"]),
            st.integers(1, 9),
            st.integers(0, 9),
        ),
        max_size=4,
    ).map(tuple),
    client_connections=st.builds(ResourceUsage, st.floats(0, 200), st.just(100.0)),
    descriptors=st.just(ResourceUsage(1, 100)),
    memory_mb=st.builds(ResourceUsage, st.floats(0, 300), st.just(192.0)),
    answered=st.just(0),
    rejected=st.just(0),
    has_store_quorum=st.sampled_from([None, True, False]),
    discovery_age_s=st.none() | st.floats(0, 100),
    outstanding=st.integers(0, 3),
)
orders = st.sampled_from(["none", "drain", "undrain", "store", "unstore", "weight"])


class Always(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(samples, orders, st.floats(0.01, 3.0)), min_size=1, max_size=20))
    def test_whatever_comes(self, steps) -> None:
        health, now = HealthStateMachine(HealthSettings(), 0.0), 0.0
        for sample, order, passed in steps:
            before, now = health.verdict, now + passed
            match order:
                case "drain":
                    health.drain("command", now)
                case "undrain":
                    health.undrain("command", now)
                case "store":
                    health.drain("store", now)
                case "unstore":
                    health.undrain("store", now)
                case "weight":
                    health.set_weight(50, now)
            verdict = health.observe(now, sample)
            self.assertTrue(verdict.state == "ready" or verdict.reason)
            self.assertEqual(verdict.state in ("draining", "drained"), health.drain_orders.is_draining)
            if verdict.state in ACCEPTING_STATES:
                self.assertGreaterEqual(verdict.weight, 10)
                if before.state in ACCEPTING_STATES and order == "none":
                    # Two steps of the clock may lie between what was told and what is.
                    self.assertLessEqual(verdict.weight - before.weight, 10 * passed + 3 + 1)
            else:
                self.assertEqual(verdict.weight, 0)


if __name__ == "__main__":
    unittest.main()

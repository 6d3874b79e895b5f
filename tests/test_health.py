"""Tests of the health state machine and the CPU meter, with constructed samples and simulated time.

They guard against a shortage that is reported late or with no reason, against a weight that falls below the
floor or rises too fast, and against drains that end too early or too late.
"""

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
CALM_SIGNALS = HealthSignals(CpuUsage(0.1, 0.1, 0.0, 1.0), CLASSES, FLEET, "a")
SAMPLE_INTERVAL_S = 0.05


class HealthRun:
    """The health of one daemon that is sampled every 50 ms; is_settled: after 20 s without a shortage."""

    def __init__(self, policy: HealthSettings | None = None, is_settled: bool = True) -> None:
        self.now, self.health = 100.0, HealthStateMachine(policy or HealthSettings(), 100.0)
        self.verdicts = [self.health.verdict]
        if is_settled:
            self.observe_for(20.0, CALM_SIGNALS)

    def observe_for(self, seconds: float, signals: HealthSignals):
        """Observes the same signals for some seconds and returns the last verdict."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += SAMPLE_INTERVAL_S
            self.verdicts.append(self.health.observe(self.now, signals))
        return self.verdicts[-1]


class StateTests(unittest.TestCase):
    def test_a_start_begins_with_a_slow_start_and_becomes_ready(self) -> None:
        run = HealthRun(is_settled=False)
        self.assertEqual(run.observe_for(1.0, HealthSignals(endpoints_known=False)).state, "starting")
        first = run.observe_for(SAMPLE_INTERVAL_S, CALM_SIGNALS)
        self.assertEqual((first.state, first.weight), ("weighted", 10))
        self.assertIn("slow start", first.reasons)
        self.assertLess(run.observe_for(3.0, CALM_SIGNALS).weight, 50)
        self.assertEqual((run.observe_for(10.0, CALM_SIGNALS).state, run.verdicts[-1].weight), ("ready", 100))

    def test_absent_without_an_endpoint_list_in_time(self) -> None:
        run = HealthRun(is_settled=False)
        self.assertEqual(run.observe_for(5.2, HealthSignals(endpoints_known=False)).state, "absent")

    def test_a_cpu_shortage_is_reported_at_once_and_stolen_time_reduces_the_weight(self) -> None:
        run = HealthRun()
        stolen = CALM_SIGNALS._replace(cpu=CpuUsage(0.25, 1.0, 0.75, 40.0))
        verdict = run.observe_for(SAMPLE_INTERVAL_S, stolen)
        self.assertEqual(verdict.state, "short")
        self.assertIn("others take 75%", verdict.reason)
        self.assertLess(run.observe_for(1.4, stolen).weight, 30)
        overloaded = HealthRun()
        self.assertIn(
            "busy 100%",
            overloaded.observe_for(
                SAMPLE_INTERVAL_S, CALM_SIGNALS._replace(cpu=CpuUsage(1.0, 1.0, 0.0, 90.0))
            ).reason,
        )

    def test_a_shortage_keeps_the_floor_and_ends_with_hysteresis(self) -> None:
        run = HealthRun()
        short = CALM_SIGNALS._replace(cpu=CpuUsage(0.25, 1.0, 0.75, 400.0))
        pause = CALM_SIGNALS._replace(cpu=CpuUsage(0.25, 0.9, 0.6, 90.0))
        self.assertEqual(run.observe_for(0.1, pause).state, "ready")  # shorter than short_ms
        self.assertEqual(run.observe_for(0.2, pause).state, "short")
        self.assertEqual((run.observe_for(60.0, short).state, run.verdicts[-1].weight), ("short", 10))
        self.assertEqual(run.observe_for(1.0, CALM_SIGNALS).state, "short")  # shorter than ease_ms
        self.assertEqual(
            run.observe_for(5.0, CALM_SIGNALS._replace(cpu=CpuUsage(0.7, 0.7))).state, "short"
        )  # a demand between ease_at and short_at
        self.assertEqual(run.observe_for(2.2, CALM_SIGNALS).state, "weighted")
        self.assertEqual(run.observe_for(30.0, CALM_SIGNALS).state, "ready")

    def test_four_schedulers_that_are_all_short_all_accept_work(self) -> None:
        runs = [HealthRun() for _ in range(4)]
        for _ in range(600):
            for run in runs:
                run.observe_for(SAMPLE_INTERVAL_S, CALM_SIGNALS._replace(cpu=CpuUsage(0.2, 1.0, 0.8, 500.0)))
            self.assertTrue(
                all(run.verdicts[-1].accepts_work and run.verdicts[-1].weight >= 10 for run in runs)
            )

    def test_a_lost_worker_kind_affects_only_its_class(self) -> None:
        run = HealthRun()
        kind_lost = CALM_SIGNALS._replace(
            workers=(WorkerCounts("a", "big-box", 4, 0), WorkerCounts("a", "old-box", 4, 4))
        )
        verdict = run.observe_for(2.0, kind_lost)
        self.assertEqual((verdict.state, dict(verdict.classes)["status-read"]), ("weighted", ""))
        self.assertIn("big-box", dict(verdict.classes)["setpoint-push"])
        self.assertLess(verdict.weight, 60)
        verdict = run.observe_for(0.1, CALM_SIGNALS._replace(workers=()))
        self.assertEqual((verdict.state, verdict.weight), ("absent", 0))
        self.assertEqual(run.observe_for(SAMPLE_INTERVAL_S, CALM_SIGNALS).weight, 10)  # a slow start begins

    def test_a_lost_store_majority_affects_only_classes_that_need_it(self) -> None:
        run = HealthRun()
        classes = (CLASSES[0], CLASSES[1]._replace(needs_store=True))
        self.assertEqual(run.observe_for(1.0, CALM_SIGNALS._replace(has_store_quorum=False)).state, "ready")
        verdict = run.observe_for(1.0, CALM_SIGNALS._replace(classes=classes, has_store_quorum=False))
        self.assertIn("no majority", dict(verdict.classes)["setpoint-push"])

    def test_a_class_that_is_rejected_is_unserved_and_the_others_are_served(self) -> None:
        run = HealthRun()
        classes = (CLASSES[0], CLASSES[1]._replace(rejection_reason="journal: No space left on device"))
        verdict = run.observe_for(1.0, CALM_SIGNALS._replace(classes=classes))
        self.assertIn("No space left", dict(verdict.classes)["setpoint-push"])
        self.assertEqual(dict(verdict.classes)["status-read"], "")
        self.assertLess(verdict.weight, 100)

    def test_each_shortage_has_its_reason(self) -> None:
        queued_classes = (CLASSES[0]._replace(queued=7, oldest_queued_ms=200.0), CLASSES[1])
        for changes, expected in (
            ({"client_connections": ResourceUsage(95, 100)}, "connection table"),
            ({"descriptors": ResourceUsage(95, 100)}, "descriptors"),
            ({"memory_mb": ResourceUsage(190, 192)}, "memory"),
            ({"discovery_age_s": 40.0}, "discovery silent"),
            ({"classes": queued_classes}, "7 status-read held"),
            ({"zone": "b", "workers": (WorkerCounts("b", "big-box", 2, 0), *FLEET)}, "zone b"),
        ):
            verdict = HealthRun().observe_for(3.0, CALM_SIGNALS._replace(**changes))
            self.assertEqual(verdict.state, "weighted", expected)
            self.assertIn(expected, " ".join(verdict.reasons))
            self.assertLess(verdict.weight, 95, expected)

    def test_rejections_reduce_the_weight_while_they_last(self) -> None:
        run, answered = HealthRun(), 0
        for _ in range(60):
            answered += 2
            run.observe_for(
                SAMPLE_INTERVAL_S, CALM_SIGNALS._replace(answered=answered, rejected=answered // 2)
            )
        self.assertIn("refusals", run.verdicts[-1].reason)
        self.assertEqual(
            run.observe_for(10.0, CALM_SIGNALS._replace(answered=answered, rejected=answered // 2)).state,
            "ready",
        )

    def test_the_weight_set_by_the_operator_is_an_upper_bound(self) -> None:
        run = HealthRun()
        run.health.set_weight(40, run.now)
        self.assertEqual(run.observe_for(3.0, CALM_SIGNALS).weight, 40)
        run.health.set_weight(0, run.now)
        verdict = run.observe_for(3.0, CALM_SIGNALS)
        self.assertEqual((verdict.weight, verdict.accepts_work), (0, False))
        with self.assertRaisesRegex(ValueError, "weight"):
            run.health.set_weight(101, run.now)


class DrainTests(unittest.TestCase):
    def test_a_drain_is_reported_at_once_and_ends_without_outstanding_requests(self) -> None:
        run = HealthRun()
        verdict = run.health.drain("command", run.now)
        self.assertEqual((verdict.state, verdict.weight), ("draining", 0))
        self.assertEqual(
            run.observe_for(1.7, CALM_SIGNALS).state, "draining"
        )  # the notice period is not over
        self.assertEqual(run.observe_for(1.0, CALM_SIGNALS._replace(outstanding=1)).state, "draining")
        self.assertEqual(run.observe_for(SAMPLE_INTERVAL_S, CALM_SIGNALS).state, "drained")

    def test_undrain_begins_a_slow_start(self) -> None:
        run = HealthRun()
        # The length of the drain, or of the time without any worker, makes no difference.
        for drained_s in (0.5, 60.0):
            run.health.drain("command", run.now)
            run.observe_for(drained_s, CALM_SIGNALS)
            verdict = run.health.undrain("command", run.now)
            self.assertEqual((verdict.state, verdict.weight), ("weighted", 10))
            self.assertLess(run.observe_for(1.0, CALM_SIGNALS).weight, 30)
            self.assertEqual(run.observe_for(12.0, CALM_SIGNALS).state, "ready")
            run.observe_for(drained_s, CALM_SIGNALS._replace(workers=()))
            self.assertLess(run.observe_for(1.0, CALM_SIGNALS).weight, 30)
            run.observe_for(12.0, CALM_SIGNALS)

    def test_reasons_are_current_while_the_published_fields_stay_the_same(self) -> None:
        run = HealthRun()
        before = run.observe_for(5.0, CALM_SIGNALS._replace(client_connections=ResourceUsage(100, 100)))
        after = run.observe_for(5.0, CALM_SIGNALS._replace(memory_mb=ResourceUsage(192, 192)))
        self.assertEqual((before.published_fields, "table" in before.reason), (after.published_fields, True))
        self.assertIn("memory", after.reason)

    def test_a_drain_lasts_until_each_source_withdraws_and_sigterm_never_does(self) -> None:
        run = HealthRun()
        run.health.drain("command", run.now)
        run.health.drain("store", run.now)
        self.assertEqual(run.health.undrain("command", run.now).state, "draining")
        self.assertEqual(run.health.undrain("store", run.now).state, "weighted")
        run.health.drain("signal", run.now)
        self.assertEqual(run.health.undrain("signal", run.now).state, "draining")

    def test_a_drain_after_an_undrain_restarts_the_notice_period(self) -> None:
        run = HealthRun()
        run.health.drain("command", run.now)
        run.observe_for(0.3, CALM_SIGNALS)
        run.health.undrain("command", run.now)
        run.observe_for(0.3, CALM_SIGNALS)
        run.health.drain("command", run.now)
        self.assertEqual(run.observe_for(1.7, CALM_SIGNALS).state, "draining")
        self.assertEqual(run.observe_for(0.2, CALM_SIGNALS).state, "drained")

    def test_a_second_source_does_not_extend_the_notice_period(self) -> None:
        run = HealthRun()
        run.health.drain("command", run.now)
        run.observe_for(1.5, CALM_SIGNALS)
        run.health.drain("store", run.now)
        self.assertEqual(run.observe_for(0.3, CALM_SIGNALS).state, "drained")


class CpuMeterTests(unittest.TestCase):
    def test_own_use_and_stolen_time_are_distinguished(self) -> None:
        meter, cpu = CpuMeter(), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.0125, step * 0.05, 0.004))
        self.assertAlmostEqual(cpu.demand, 1.0)
        self.assertAlmostEqual(cpu.stolen, 0.75)
        self.assertAlmostEqual(cpu.used, 0.25)
        self.assertAlmostEqual(cpu.lag_ms, 4.0)

    def test_contention_is_distinguished_from_own_load_within_a_few_readings(self) -> None:
        for cpu_ratio, is_contended in ((0.25, True), (0.9, False)):
            meter, cpu = CpuMeter(), CpuUsage()
            for step in range(20):
                cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.02, step * 0.021, 0.0))
            for step in range(1, 5):
                cpu = meter.add_reading(
                    CpuReading(0.95 + step * 0.05, 0.38 + step * 0.05 * cpu_ratio, 0.399 + step * 0.05, 0.0)
                )
            self.assertEqual(cpu.is_contended, is_contended)
            self.assertLess(cpu.demand, 0.85)

    def test_use_is_relative_to_the_limit_of_cores(self) -> None:
        meter, cpu = CpuMeter(cores=0.5), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.05, step * 0.0225, step * 0.0225, 0.0))
        self.assertAlmostEqual(cpu.demand, 0.9)

    def test_late_timers_count_if_busy_time_is_not_measured(self) -> None:
        meter, cpu = CpuMeter(), CpuUsage()
        for step in range(20):
            cpu = meter.add_reading(CpuReading(step * 0.1, step * 0.05, None, 0.05))
        self.assertGreater(cpu.demand, 0.9)

    def test_a_clock_that_stands_still_yields_zero_usage(self) -> None:
        meter = CpuMeter()
        self.assertEqual(
            [meter.add_reading(CpuReading(1.0, 1.0, 1.0, 0.0)) for _ in range(3)], [CpuUsage()] * 3
        )


ratio = st.floats(0, 1)
signal_samples = st.builds(
    HealthSignals,
    cpu=st.builds(CpuUsage, ratio, ratio, ratio, st.floats(0, 5000)),
    classes=st.just(CLASSES),
    zone=st.sampled_from(["a", "b", ""]),
    endpoints_known=st.booleans(),
    workers=st.lists(
        st.builds(
            lambda zone, kind, rejecting, accepting: WorkerCounts(
                zone, kind, rejecting + accepting, accepting
            ),
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
order_names = st.sampled_from(["none", "drain", "undrain", "store", "unstore", "weight"])


class InvariantTests(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(signal_samples, order_names, st.floats(0.01, 3.0)), min_size=1, max_size=20))
    def test_verdicts_are_consistent_for_any_samples_and_orders(self, samples) -> None:
        health, now = HealthStateMachine(HealthSettings(), 0.0), 0.0
        for sample, order, elapsed_s in samples:
            before, now = health.verdict, now + elapsed_s
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
                    # 10 points a second, a change of less than `step` that was not announced, and rounding.
                    self.assertLessEqual(verdict.weight - before.weight, 10 * elapsed_s + 3 + 1)
            else:
                self.assertEqual(verdict.weight, 0)


if __name__ == "__main__":
    unittest.main()

"""The simulation: reproducible runs, conservation of requests and work, results of queueing theory."""

from __future__ import annotations

import math
import unittest
from concurrent.futures import ProcessPoolExecutor

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spanwing.simulation.clients import ClassSpec, ClientModel, LoadSpec, RetrySpec
from spanwing.simulation.event_queue import EventQueue
from spanwing.simulation.fleet import AnsweredRequest, FleetPlan, FleetSimulation
from spanwing.simulation.network import NetworkDelays, NetworkModel
from spanwing.simulation.random_streams import RandomStreams
from spanwing.simulation.worker import (
    WARM_UP_STEP_MS,
    JobBegan,
    JobEnded,
    SimulatedWorker,
    WorkerJob,
    WorkerSpec,
)

CLASSES = (
    ClassSpec("look", 0.5, 30.0, latency_objective_ms=150.0, deadline_ms=2000.0, priority_weight=5.0),
    ClassSpec(
        "apply",
        0.3,
        120.0,
        "lognormal",
        1.0,
        latency_objective_ms=600.0,
        deadline_ms=5000.0,
        idempotency="unsafe",
    ),
    ClassSpec(
        "push",
        0.2,
        50.0,
        latency_objective_ms=300.0,
        deadline_ms=3000.0,
        idempotency="keyed",
        deduplication_window_ms=500.0,
    ),
)


def fleet_plan(rate: float = 120.0, **changes) -> FleetPlan:
    workers = tuple(
        WorkerSpec(
            f"w{index}",
            zone="ab"[index % 2],
            kind="big",
            initial_capacity=0.3,
            slow_start_ms=3000.0,
            overload_multiple=3.0,
            overload_window_ms=3000.0,
        )
        for index in range(6)
    )
    return FleetPlan(
        **{
            "workers": workers,
            "schedulers": (("s0", "a"), ("s1", "b")),
            "classes": CLASSES,
            "load": LoadSpec(rate, daily_swing=0.3, day_ms=6000.0, impatient_share=0.03, attempt_work_cv=0.2),
            "retries": RetrySpec(2, "exponential"),
            **changes,
        }
    )


def schedule_faults(fleet: FleetSimulation) -> None:
    """Schedules a crash and restart, a silent and a failing worker, a partition and a scheduler stop."""
    hosts = list(fleet.worker_hosts.values())
    schedule_at = fleet.event_queue.schedule_at

    schedule_at(1000.0, fleet.crash_worker, hosts[0])
    schedule_at(2500.0, fleet.start_worker, hosts[0])
    schedule_at(1200.0, setattr, hosts[1].worker, "is_silent", True)
    schedule_at(3000.0, setattr, hosts[1].worker, "is_silent", False)
    schedule_at(1500.0, setattr, hosts[2].worker, "fails_fast", True)
    schedule_at(1800.0, setattr, hosts[2].worker, "fails_fast", False)
    schedule_at(2000.0, fleet.network.partition, "a", "b")
    schedule_at(2400.0, fleet.network.heal_partition, "a", "b")
    schedule_at(3500.0, fleet.stop_scheduler, fleet.schedulers[1])


def run_fleet(seed: int) -> tuple[str, int, int]:
    """Runs a fleet with faults; returns its digest and the numbers of calls and requests."""
    fleet = FleetSimulation(fleet_plan(), seed)
    schedule_faults(fleet)
    fleet.run(4000.0)
    return fleet.digest.hexdigest(), fleet.event_queue.executed_count, fleet.accounting.request_count


class Reproducibility(unittest.TestCase):
    def test_runs_are_the_same_in_one_process_and_in_four(self) -> None:
        local_runs = [run_fleet(seed) for seed in range(4)]
        with ProcessPoolExecutor(4) as pool:
            self.assertEqual(list(pool.map(run_fleet, range(4))), local_runs)
        self.assertEqual(len({digest for digest, *_ in local_runs}), 4)

    def test_a_random_stream_is_independent_of_other_streams(self) -> None:
        expected = RandomStreams(7).stream("clients", "work").random(5).tolist()
        streams = RandomStreams(7)
        for name in ("network", "clients", "x"):
            streams.stream(name).random(100)
        self.assertEqual(streams.stream("clients", "work").random(5).tolist(), expected)
        self.assertNotEqual(RandomStreams(8).stream("clients", "work").random(5).tolist(), expected)

    def test_calls_due_at_the_same_time_are_made_in_order_of_scheduling(self) -> None:
        event_queue, made = EventQueue(), []
        for number in range(50):
            scheduled = event_queue.schedule_at(5.0, made.append, number)
            if number % 3 == 0:
                scheduled.cancel()
        event_queue.schedule_at(-1.0, made.append, "first")
        event_queue.run_until(10.0)
        self.assertEqual(made, ["first", *(number for number in range(50) if number % 3)])
        self.assertEqual(event_queue.now_ms, 10.0)


class Conservation(unittest.TestCase):
    def test_requests_and_work_are_accounted_for_at_every_step(self) -> None:
        for seed in range(4):
            fleet, checks = FleetSimulation(fleet_plan(200.0), seed), []
            schedule_faults(fleet)
            for time_ms in range(0, 6000, 7):
                fleet.event_queue.schedule_at(float(time_ms), self.check_fleet, fleet, checks)
            fleet.run(4000.0)
            self.assertEqual((fleet.client_requests, len(checks)), ({}, 858))
            self.assertEqual(fleet.accounting.count_by_stage["over"], fleet.accounting.request_count)

    def check_fleet(self, fleet: FleetSimulation, checks: list) -> None:
        checks.append(fleet.event_queue.now_ms)
        for host in fleet.worker_hosts.values():
            fleet.advance_worker(host)
        fleet.check_conservation()

    def test_each_request_is_reported_once(self) -> None:
        answered: list[AnsweredRequest] = []
        fleet = FleetSimulation(fleet_plan(), 3, answered.append)
        schedule_faults(fleet)
        fleet.run(4000.0)
        self.assertEqual(len(answered), fleet.accounting.request_count)
        outcomes = {each.outcome for each in answered}
        self.assertLessEqual({"served", "refused", "left", "lost"}, outcomes | {"refused"})
        self.assertGreater(sum(each.outcome == "served" for each in answered), 0.7 * len(answered))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["submit", "cancel", "advance"]),
                st.floats(0, 40),
                st.integers(0, 9),
                st.integers(1, 3),
                st.integers(0, 2),
            ),
            max_size=60,
        ),
        st.sampled_from(["fifo", "backfill", "priority"]),
        st.booleans(),
    )
    def test_a_worker_ends_each_job_once_and_loses_no_work(self, steps, queue_discipline, preempts) -> None:
        worker = SimulatedWorker(
            WorkerSpec(
                "w",
                slots=4,
                cores=3.0,
                queue_length=5,
                memory=6.0,
                queue_discipline=queue_discipline,
                preempts=preempts,
                initial_capacity=0.5,
                slow_start_ms=200.0,
            )
        )
        now_ms, requested_work, ended, submitted_count = 0.0, 0.0, [], 0
        for number, (operation, interval_ms, choice, slots, priority) in enumerate(steps):
            now_ms += interval_ms
            events = []
            if operation == "submit":
                submitted_count += 1
                job = WorkerJob(
                    f"j{number}",
                    interval_ms * 3,
                    slots,
                    float(slots),
                    priority,
                    choice % 2 == 0,
                    now_ms + 50.0 if choice == 0 else math.inf,
                )
                events = worker.submit_job(now_ms, job)
                requested_work += job.work_ms if job.attempt_key in worker.accepted_jobs else 0.0
            elif operation == "cancel":
                events = worker.cancel_job(now_ms, f"j{choice}")
            else:
                events = worker.advance_to(now_ms)
            ended += [each.attempt_key for each in events if isinstance(each, JobEnded)]
            self.assertLessEqual(worker.slots_in_use, 4)
            self.assertLessEqual(worker.memory_in_use, 6.0)
            self.assertEqual(
                worker.slots_in_use,
                sum(
                    each.job.slots for each in worker.accepted_jobs.values() if each not in worker.queued_jobs
                ),
            )
            totals = worker.work_totals
            processed_work = totals.done + totals.wasted + worker.unfinished_processed_work()
            self.assertAlmostEqual(processed_work, worker.processed_work, places=3)
            self.assertAlmostEqual(
                processed_work + totals.withdrawn + worker.remaining_work(), requested_work, places=3
            )
        ended += [each.attempt_key for each in worker.advance_to(now_ms + 1e5) if isinstance(each, JobEnded)]
        self.assertEqual(
            (len(ended), len(set(ended)), worker.accepted_jobs), (submitted_count, submitted_count, {})
        )


class KnownResults(unittest.TestCase):
    """Compares the model with formulas of queueing theory and with its own stated rules."""

    def simulate_waits(self, servers: int, gaps: np.ndarray, works: np.ndarray) -> np.ndarray:
        """Returns how long each job waited before it began, in ms."""
        worker = SimulatedWorker(
            WorkerSpec("w", cores=servers, slots=servers, queue_length=10**9, queue_discipline="fifo")
        )
        arrivals_ms = np.cumsum(gaps)
        began_ms: dict[str, float] = {}
        event_queue = EventQueue()

        def handle_events(events) -> None:
            for each in events:
                if isinstance(each, JobBegan):
                    began_ms[each.attempt_key] = event_queue.now_ms
            due_ms = worker.next_event_ms()
            if due_ms is not None:
                event_queue.schedule_at(due_ms, wake)

        def wake() -> None:
            if (due_ms := worker.next_event_ms()) is not None and due_ms <= event_queue.now_ms:
                handle_events(worker.advance_to(event_queue.now_ms))

        def submit(number: int) -> None:
            if number + 1 < len(arrivals_ms):
                event_queue.schedule_at(float(arrivals_ms[number + 1]), submit, number + 1)
            handle_events(worker.submit_job(event_queue.now_ms, WorkerJob(str(number), float(works[number]))))

        event_queue.schedule_at(float(arrivals_ms[0]), submit, 0)
        event_queue.run_until(float(arrivals_ms[-1]) + 1e7)
        return np.array([began_ms[str(number)] - arrivals_ms[number] for number in range(len(arrivals_ms))])

    def assert_mean_wait(self, waits: np.ndarray, expected: float) -> None:
        """Fails if the mean wait is four or more standard errors off.

        The error is estimated from batch means, as waits of nearby jobs are correlated. The first 5% of the
        jobs are left out.
        """
        batches = waits[len(waits) // 20 :][: len(waits) // 20 * 19].reshape(19, -1).mean(axis=1)
        error = batches.std(ddof=1) / math.sqrt(len(batches))
        self.assertLess(abs(batches.mean() - expected), 4 * error, (batches.mean(), expected, error))
        self.assertLess(error, 0.15 * expected, "too few jobs for a meaningful comparison")

    def test_mean_wait_with_several_servers(self) -> None:
        servers, load, work, count = 4, 0.8, 10.0, 40_000
        stream = RandomStreams(5).stream("M/M/c")
        gaps = stream.exponential(work / (servers * load), count)
        offered = servers * load
        # The mean wait in an M/M/c queue, by the Erlang C formula.
        terms = [offered**n / math.factorial(n) for n in range(servers)]
        last = offered**servers / math.factorial(servers) / (1 - load)
        expected = last / (sum(terms) + last) * work / (servers * (1 - load))
        self.assert_mean_wait(self.simulate_waits(servers, gaps, stream.exponential(work, count)), expected)

    def test_mean_wait_with_one_server_and_general_work(self) -> None:
        load, work, cv, count = 0.6, 10.0, 1.5, 40_000
        stream = RandomStreams(6).stream("M/G/1")
        gaps = stream.exponential(work / load, count)
        sigma = math.sqrt(math.log1p(cv**2))
        works = work * stream.lognormal(-sigma * sigma / 2, sigma, count)
        expected = load / (1 - load) * (1 + cv**2) / 2 * work  # Pollaczek-Khinchine formula
        self.assert_mean_wait(self.simulate_waits(1, gaps, works), expected)

    def warming_worker(self) -> SimulatedWorker:
        return SimulatedWorker(
            WorkerSpec(
                "w",
                cores=10,
                slots=10,
                queue_length=100,
                initial_capacity=0.3,
                slow_start_ms=100_000.0,
                overload_multiple=3.0,
                overload_window_ms=500.0,
            )
        )

    def test_a_warming_worker_stops_above_its_overload_multiple_only(self) -> None:
        # At its start the worker has the capacity of 3 of 10 slots: 9 jobs are three times that, 10 are more.
        for job_count, stops in ((9, False), (10, True)):
            worker = self.warming_worker()
            for number in range(job_count):
                worker.submit_job(0.0, WorkerJob(f"j{number}", 1e9))
            worker.advance_to(499.0)
            self.assertFalse(worker.is_down)
            worker.advance_to(501.0)
            self.assertEqual(worker.is_down, stops)
            if stops:
                self.assertEqual(len(worker.lost_attempts()), 10)
                self.assertEqual(worker.submit_job(600.0, WorkerJob("late", 1.0)), [])

    def test_an_overload_shorter_than_its_window_does_not_stop_a_worker(self) -> None:
        worker = self.warming_worker()
        for number in range(10):
            worker.submit_job(0.0, WorkerJob(f"j{number}", 1e9))
        worker.cancel_job(499.0, "j0")
        worker.submit_job(500.0, WorkerJob("again", 1e9))
        worker.advance_to(998.0)
        self.assertFalse(worker.is_down)

    def test_capacity_grows_in_steps_while_warming_up(self) -> None:
        worker = SimulatedWorker(WorkerSpec("w", initial_capacity=0.3, slow_start_ms=1000.0))
        events = worker.submit_job(0.0, WorkerJob("j", 100.0))
        self.assertEqual(events, [JobBegan("j")])
        events, now_ms = [], 0.0
        while not events:
            now_ms = worker.next_event_ms()
            events = worker.advance_to(now_ms)
        work = sum(
            (0.3 + 0.7 * step * WARM_UP_STEP_MS / 1000.0) * WARM_UP_STEP_MS
            for step in range(int(now_ms // WARM_UP_STEP_MS))
        )
        work += (0.3 + 0.7 * (now_ms // WARM_UP_STEP_MS) * WARM_UP_STEP_MS / 1000.0) * (
            now_ms % WARM_UP_STEP_MS
        )
        self.assertEqual(events, [JobEnded("j", "ok")])
        self.assertAlmostEqual(work, 100.0, places=3)

    def test_a_repeat_within_its_deduplication_window_is_not_run(self) -> None:
        worker = SimulatedWorker(WorkerSpec("w"))
        worker.submit_job(0.0, WorkerJob("a", 10.0, idempotency_key="k", deduplication_window_ms=100.0))
        worker.advance_to(10.0)
        self.assertEqual(
            worker.submit_job(
                109.0, WorkerJob("b", 10.0, idempotency_key="k", deduplication_window_ms=100.0)
            ),
            [JobBegan("b"), JobEnded("b", "ok")],
        )
        self.assertEqual(
            worker.submit_job(
                111.0, WorkerJob("c", 10.0, idempotency_key="k", deduplication_window_ms=100.0)
            ),
            [JobBegan("c")],
        )
        self.assertEqual(worker.work_totals.done, 10.0)

    def test_a_repeatable_job_is_preempted_and_resumed(self) -> None:
        worker = SimulatedWorker(WorkerSpec("w", slots=1, cores=1.0, preempts=True))
        worker.submit_job(0.0, WorkerJob("low", 100.0))
        self.assertEqual(worker.submit_job(30.0, WorkerJob("high", 10.0, priority=1)), [JobBegan("high")])
        self.assertEqual(worker.advance_to(40.0), [JobEnded("high", "ok")])
        self.assertEqual(worker.advance_to(109.0), [])
        self.assertEqual(worker.advance_to(111.0), [JobEnded("low", "ok")])
        worker.submit_job(111.0, WorkerJob("once", 100.0, is_repeatable=False))
        self.assertEqual(worker.submit_job(112.0, WorkerJob("other", 1.0, priority=1)), [])

    def test_arrivals_follow_the_daily_swing(self) -> None:
        clients = ClientModel(
            LoadSpec(1000.0, daily_swing=0.5, day_ms=10_000.0),
            CLASSES,
            fleet_plan().tenants,
            RandomStreams(4),
        )
        arrivals_ms = []
        while (request := clients.next_request()).arrives_at_ms < 10_000.0:
            arrivals_ms.append(request.arrives_at_ms)
        counts = np.histogram(arrivals_ms, bins=10, range=(0, 10_000.0))[0]
        self.assertLess(abs(len(arrivals_ms) - 10_000), 4 * 100)
        expected_counts = [clients.rate_at(second * 1000.0 + 500.0) for second in range(10)]
        for count, expected in zip(counts, expected_counts, strict=True):
            self.assertLess(abs(count - expected), 5 * math.sqrt(expected))

    def test_a_partition_loses_messages_in_both_directions(self) -> None:
        network = NetworkModel(NetworkDelays(), RandomStreams(1))
        network.partition("a", "b")
        self.assertEqual(
            (network.message_delay_ms("a", "b"), network.message_delay_ms("b", "a")), (None, None)
        )
        self.assertIsNotNone(network.message_delay_ms("a", "c"))
        network.heal_partition("b", "a")
        self.assertIsNotNone(network.message_delay_ms("a", "b"))


if __name__ == "__main__":
    unittest.main()

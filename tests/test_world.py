"""The model of the fleet: known answers, conservation, and the same world from the same seed."""

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


def plan(rate: float = 120.0, **changes) -> FleetPlan:
    workers = tuple(
        WorkerSpec(
            f"w{n}",
            zone="ab"[n % 2],
            kind="big",
            initial_capacity=0.3,
            slow_start_ms=3000.0,
            overload_multiple=3.0,
            overload_window_ms=3000.0,
        )
        for n in range(6)
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


def troubled(fleet: FleetSimulation) -> None:
    """Workers that fall, fail, fall silent and come back; a partition; a scheduler that ends."""
    places = list(fleet.worker_hosts.values())
    at = fleet.event_queue.schedule_at

    at(1000.0, fleet.crash_worker, places[0])
    at(2500.0, fleet.start_worker, places[0])
    at(1200.0, setattr, places[1].worker, "is_silent", True)
    at(3000.0, setattr, places[1].worker, "is_silent", False)
    at(1500.0, setattr, places[2].worker, "fails_fast", True)
    at(1800.0, setattr, places[2].worker, "fails_fast", False)
    at(2000.0, fleet.network.partition, "a", "b")
    at(2400.0, fleet.network.heal_partition, "a", "b")
    at(3500.0, fleet.stop_scheduler, fleet.schedulers[1])


def world(seed: int) -> tuple[str, int, int]:
    fleet = FleetSimulation(plan(), seed)
    troubled(fleet)
    fleet.run(4000.0)
    return fleet.digest.hexdigest(), fleet.event_queue.executed_count, fleet.accounting.request_count


class SameSeed(unittest.TestCase):
    def test_the_same_world_in_one_process_and_in_four(self) -> None:
        here = [world(seed) for seed in range(4)]
        with ProcessPoolExecutor(4) as pool:
            self.assertEqual(list(pool.map(world, range(4))), here)
        self.assertEqual(len({digest for digest, *_ in here}), 4)

    def test_a_stream_is_its_own(self) -> None:
        alone = RandomStreams(7).stream("clients", "work").random(5).tolist()
        among = RandomStreams(7)
        for name in ("network", "clients", "x"):
            among.stream(name).random(100)
        self.assertEqual(among.stream("clients", "work").random(5).tolist(), alone)
        self.assertNotEqual(RandomStreams(8).stream("clients", "work").random(5).tolist(), alone)

    def test_entries_of_one_moment_go_in_their_order(self) -> None:
        agenda, made = EventQueue(), []
        for number in range(50):
            entry = agenda.schedule_at(5.0, made.append, number)
            if number % 3 == 0:
                entry.cancel()
        agenda.schedule_at(-1.0, made.append, "first")
        agenda.run_until(10.0)
        self.assertEqual(made, ["first", *(n for n in range(50) if n % 3)])
        self.assertEqual(agenda.now_ms, 10.0)


class Conservation(unittest.TestCase):
    def test_at_every_step_each_request_is_in_one_place_and_no_work_is_lost(self) -> None:
        for seed in range(4):
            fleet, checks = FleetSimulation(plan(200.0), seed), []
            troubled(fleet)
            for at in range(0, 6000, 7):
                fleet.event_queue.schedule_at(float(at), self.look, fleet, checks)
            fleet.run(4000.0)
            self.assertEqual((fleet.client_requests, len(checks)), ({}, 858))
            self.assertEqual(fleet.accounting.count_by_stage["over"], fleet.accounting.request_count)

    def look(self, fleet: FleetSimulation, checks: list) -> None:
        checks.append(fleet.event_queue.now_ms)
        for place in fleet.worker_hosts.values():
            fleet.advance_worker(place)
        fleet.check_conservation()

    def test_each_request_is_told_once(self) -> None:
        told: list[AnsweredRequest] = []
        fleet = FleetSimulation(plan(), 3, told.append)
        troubled(fleet)
        fleet.run(4000.0)
        self.assertEqual(len(told), fleet.accounting.request_count)
        kinds = {each.outcome for each in told}
        self.assertLessEqual({"served", "refused", "left", "lost"}, kinds | {"refused"})
        self.assertGreater(sum(each.outcome == "served" for each in told), 0.7 * len(told))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "cancel", "pass"]),
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
    def test_a_worker_ends_each_job_once_and_loses_no_work(self, steps, order, suspends) -> None:
        worker = SimulatedWorker(
            WorkerSpec(
                "w",
                slots=4,
                cores=3.0,
                queue_length=5,
                memory=6.0,
                queue_discipline=order,
                preempts=suspends,
                initial_capacity=0.5,
                slow_start_ms=200.0,
            )
        )
        now, asked, ended, offered = 0.0, 0.0, [], 0
        for number, (what, span, which, slots, priority) in enumerate(steps):
            now += span
            said = []
            if what == "offer":
                offered += 1
                job = WorkerJob(
                    f"j{number}",
                    span * 3,
                    slots,
                    float(slots),
                    priority,
                    which % 2 == 0,
                    now + 50.0 if which == 0 else math.inf,
                )
                said = worker.submit_job(now, job)
                asked += job.work_ms if job.attempt_key in worker.accepted_jobs else 0.0
            elif what == "cancel":
                said = worker.cancel_job(now, f"j{which}")
            else:
                said = worker.advance_to(now)
            ended += [each.attempt_key for each in said if isinstance(each, JobEnded)]
            self.assertLessEqual(worker.slots_in_use, 4)
            self.assertLessEqual(worker.memory_in_use, 6.0)
            self.assertEqual(
                worker.slots_in_use,
                sum(
                    each.job.slots for each in worker.accepted_jobs.values() if each not in worker.queued_jobs
                ),
            )
            worked = worker.work_totals
            done = worked.done + worked.wasted + worker.unfinished_processed_work()
            self.assertAlmostEqual(done, worker.processed_work, places=3)
            self.assertAlmostEqual(done + worked.withdrawn + worker.remaining_work(), asked, places=3)
        ended += [each.attempt_key for each in worker.advance_to(now + 1e5) if isinstance(each, JobEnded)]
        self.assertEqual((len(ended), len(set(ended)), worker.accepted_jobs), (offered, offered, {}))


class KnownAnswers(unittest.TestCase):
    """Against the formulas of queueing theory, and the rules that the model states."""

    def waits(self, servers: int, gaps: np.ndarray, works: np.ndarray) -> np.ndarray:
        """How long each job waited before it began."""
        worker = SimulatedWorker(
            WorkerSpec("w", cores=servers, slots=servers, queue_length=10**9, queue_discipline="fifo")
        )
        at = np.cumsum(gaps)
        began: dict[str, float] = {}
        agenda = EventQueue()

        def take(said) -> None:
            for each in said:
                if isinstance(each, JobBegan):
                    began[each.attempt_key] = agenda.now_ms
            due = worker.next_event_ms()
            if due is not None:
                agenda.schedule_at(due, wake)

        def wake() -> None:
            if (due := worker.next_event_ms()) is not None and due <= agenda.now_ms:
                take(worker.advance_to(agenda.now_ms))

        def offer(number: int) -> None:
            if number + 1 < len(at):
                agenda.schedule_at(float(at[number + 1]), offer, number + 1)
            take(worker.submit_job(agenda.now_ms, WorkerJob(str(number), float(works[number]))))

        agenda.schedule_at(float(at[0]), offer, 0)
        agenda.run_until(float(at[-1]) + 1e7)
        return np.array([began[str(number)] - at[number] for number in range(len(at))])

    def close(self, waits: np.ndarray, wanted: float) -> None:
        """Within four standard errors, from means of batches that hardly depend on one another."""
        batches = waits[len(waits) // 20 :][: len(waits) // 20 * 19].reshape(19, -1).mean(axis=1)
        error = batches.std(ddof=1) / math.sqrt(len(batches))
        self.assertLess(abs(batches.mean() - wanted), 4 * error, (batches.mean(), wanted, error))
        self.assertLess(error, 0.15 * wanted, "too few jobs to say anything")

    def test_many_servers(self) -> None:
        servers, load, work, count = 4, 0.8, 10.0, 40_000
        source = RandomStreams(5).stream("M/M/c")
        gaps = source.exponential(work / (servers * load), count)
        offered = servers * load
        # Erlang C: the chance to wait, and the mean wait.
        terms = [offered**n / math.factorial(n) for n in range(servers)]
        last = offered**servers / math.factorial(servers) / (1 - load)
        wanted = last / (sum(terms) + last) * work / (servers * (1 - load))
        self.close(self.waits(servers, gaps, source.exponential(work, count)), wanted)

    def test_one_server_and_any_work(self) -> None:
        load, work, cv, count = 0.6, 10.0, 1.5, 40_000
        source = RandomStreams(6).stream("M/G/1")
        gaps = source.exponential(work / load, count)
        sigma = math.sqrt(math.log1p(cv**2))
        works = work * source.lognormal(-sigma * sigma / 2, sigma, count)
        wanted = load / (1 - load) * (1 + cv**2) / 2 * work  # Pollaczek and Khinchine
        self.close(self.waits(1, gaps, works), wanted)

    def cold(self) -> SimulatedWorker:
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

    def test_a_cold_worker_falls_over_beyond_its_multiple_and_no_sooner(self) -> None:
        # At its start it has 3 of 10 slots' capacity: 9 are three times that, the tenth is one too many.
        for jobs, falls in ((9, False), (10, True)):
            worker = self.cold()
            for number in range(jobs):
                worker.submit_job(0.0, WorkerJob(f"j{number}", 1e9))
            worker.advance_to(499.0)
            self.assertFalse(worker.is_down)
            worker.advance_to(501.0)
            self.assertEqual(worker.is_down, falls)
            if falls:
                self.assertEqual(len(worker.lost_attempts()), 10)
                self.assertEqual(worker.submit_job(600.0, WorkerJob("late", 1.0)), [])

    def test_what_lasts_less_long_does_no_harm(self) -> None:
        worker = self.cold()
        for number in range(10):
            worker.submit_job(0.0, WorkerJob(f"j{number}", 1e9))
        worker.cancel_job(499.0, "j0")
        worker.submit_job(500.0, WorkerJob("again", 1e9))
        worker.advance_to(998.0)
        self.assertFalse(worker.is_down)

    def test_warmth_grows_to_its_end(self) -> None:
        worker = SimulatedWorker(WorkerSpec("w", initial_capacity=0.3, slow_start_ms=1000.0))
        said = worker.submit_job(0.0, WorkerJob("j", 100.0))
        self.assertEqual(said, [JobBegan("j")])
        seen, at = [], 0.0
        while not seen:
            at = worker.next_event_ms()
            seen = worker.advance_to(at)
        work = sum(
            (0.3 + 0.7 * step * WARM_UP_STEP_MS / 1000.0) * WARM_UP_STEP_MS
            for step in range(int(at // WARM_UP_STEP_MS))
        )
        work += (0.3 + 0.7 * (at // WARM_UP_STEP_MS) * WARM_UP_STEP_MS / 1000.0) * (at % WARM_UP_STEP_MS)
        self.assertEqual(seen, [JobEnded("j", "ok")])
        self.assertAlmostEqual(work, 100.0, places=3)

    def test_a_repeat_within_its_window_costs_nothing(self) -> None:
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

    def test_repeatable_work_gives_way_and_goes_on(self) -> None:
        worker = SimulatedWorker(WorkerSpec("w", slots=1, cores=1.0, preempts=True))
        worker.submit_job(0.0, WorkerJob("low", 100.0))
        self.assertEqual(worker.submit_job(30.0, WorkerJob("high", 10.0, priority=1)), [JobBegan("high")])
        self.assertEqual(worker.advance_to(40.0), [JobEnded("high", "ok")])
        self.assertEqual(worker.advance_to(109.0), [])
        self.assertEqual(worker.advance_to(111.0), [JobEnded("low", "ok")])
        worker.submit_job(111.0, WorkerJob("once", 100.0, is_repeatable=False))
        self.assertEqual(worker.submit_job(112.0, WorkerJob("other", 1.0, priority=1)), [])

    def test_arrivals_follow_the_days_shape_and_a_flood(self) -> None:
        clients = ClientModel(
            LoadSpec(1000.0, daily_swing=0.5, day_ms=10_000.0), CLASSES, plan().tenants, RandomStreams(4)
        )
        times = []
        while (wanted := clients.next_request()).arrives_at_ms < 10_000.0:
            times.append(wanted.arrives_at_ms)
        counts = np.histogram(times, bins=10, range=(0, 10_000.0))[0]
        self.assertLess(abs(len(times) - 10_000), 4 * 100)
        middle = [clients.rate_at(at * 1000.0 + 500.0) for at in range(10)]
        for count, rate in zip(counts, middle, strict=True):
            self.assertLess(abs(count - rate), 5 * math.sqrt(rate))

    def test_a_partition_stops_messages_both_ways(self) -> None:
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

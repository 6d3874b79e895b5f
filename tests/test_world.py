"""The model of the fleet: known answers, conservation, and the same world from the same seed."""

from __future__ import annotations

import math
import unittest
from concurrent.futures import ProcessPoolExecutor

import numpy as np
from hypothesis import given
from hypothesis import strategies as st

from spanwing.world.agenda import Agenda
from spanwing.world.clients import ClassSpec, Clients, LoadSpec, Retries
from spanwing.world.fleet import Answered, Fleet, Plan
from spanwing.world.network import Delays, Network
from spanwing.world.streams import Streams
from spanwing.world.worker import STEP_MS, Began, Ended, Job, JobWorker, Spec

CLASSES = (
    ClassSpec("look", 0.5, 30.0, aim=150.0, deadline=2000.0, worth=5.0),
    ClassSpec("apply", 0.3, 120.0, "lognormal", 1.0, aim=600.0, deadline=5000.0, effect="unsafe"),
    ClassSpec("push", 0.2, 50.0, aim=300.0, deadline=3000.0, effect="keyed", window=500.0),
)


def plan(rate: float = 120.0, **changes) -> Plan:
    workers = tuple(
        Spec(
            f"w{n}",
            zone="ab"[n % 2],
            kind="big",
            cold_from=0.3,
            cold_ms=3000.0,
            fall_multiple=3.0,
            fall_ms=3000.0,
        )
        for n in range(6)
    )
    return Plan(
        **{
            "workers": workers,
            "schedulers": (("s0", "a"), ("s1", "b")),
            "classes": CLASSES,
            "load": LoadSpec(rate, swing=0.3, day_ms=6000.0, impatient=0.03, attempt_noise=0.2),
            "retries": Retries(2, "exponential"),
            **changes,
        }
    )


def troubled(fleet: Fleet) -> None:
    """Workers that fall, fail, fall silent and come back; a partition; a scheduler that ends."""
    places = list(fleet.places.values())
    at = fleet.agenda.at

    at(1000.0, fleet.crash, places[0])
    at(2500.0, fleet.start, places[0])
    at(1200.0, setattr, places[1].worker, "silent", True)
    at(3000.0, setattr, places[1].worker, "silent", False)
    at(1500.0, setattr, places[2].worker, "fast_failing", True)
    at(1800.0, setattr, places[2].worker, "fast_failing", False)
    at(2000.0, fleet.network.part, "a", "b")
    at(2400.0, fleet.network.heal, "a", "b")
    at(3500.0, fleet.stop_node, fleet.nodes[1])


def world(seed: int) -> tuple[str, int, int]:
    fleet = Fleet(plan(), seed)
    troubled(fleet)
    fleet.run(4000.0)
    return fleet.digest.hexdigest(), fleet.agenda.made, fleet.account.made


class SameSeed(unittest.TestCase):
    def test_the_same_world_in_one_process_and_in_four(self) -> None:
        here = [world(seed) for seed in range(4)]
        with ProcessPoolExecutor(4) as pool:
            self.assertEqual(list(pool.map(world, range(4))), here)
        self.assertEqual(len({digest for digest, *_ in here}), 4)

    def test_a_stream_is_its_own(self) -> None:
        alone = Streams(7).of("clients", "work").random(5).tolist()
        among = Streams(7)
        for name in ("network", "clients", "x"):
            among.of(name).random(100)
        self.assertEqual(among.of("clients", "work").random(5).tolist(), alone)
        self.assertNotEqual(Streams(8).of("clients", "work").random(5).tolist(), alone)

    def test_entries_of_one_moment_go_in_their_order(self) -> None:
        agenda, made = Agenda(), []
        for number in range(50):
            entry = agenda.at(5.0, made.append, number)
            if number % 3 == 0:
                entry.strike()
        agenda.at(-1.0, made.append, "first")
        agenda.run(10.0)
        self.assertEqual(made, ["first", *(n for n in range(50) if n % 3)])
        self.assertEqual(agenda.now, 10.0)


class Conservation(unittest.TestCase):
    def test_at_every_step_each_request_is_in_one_place_and_no_work_is_lost(self) -> None:
        for seed in range(4):
            fleet, checks = Fleet(plan(200.0), seed), []
            troubled(fleet)
            for at in range(0, 6000, 7):
                fleet.agenda.at(float(at), self.look, fleet, checks)
            fleet.run(4000.0)
            self.assertEqual((fleet.asked, len(checks)), ({}, 858))
            self.assertEqual(fleet.account.counts["over"], fleet.account.made)

    def look(self, fleet: Fleet, checks: list) -> None:
        checks.append(fleet.agenda.now)
        for place in fleet.places.values():
            fleet.heard_of(place)
        fleet.check()

    def test_each_request_is_told_once(self) -> None:
        told: list[Answered] = []
        fleet = Fleet(plan(), 3, told.append)
        troubled(fleet)
        fleet.run(4000.0)
        self.assertEqual(len(told), fleet.account.made)
        kinds = {each.kind for each in told}
        self.assertLessEqual({"served", "refused", "left", "lost"}, kinds | {"refused"})
        self.assertGreater(sum(each.kind == "served" for each in told), 0.7 * len(told))

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
        worker = JobWorker(
            Spec(
                "w",
                slots=4,
                cores=3.0,
                queue=5,
                memory=6.0,
                order=order,
                suspends=suspends,
                cold_from=0.5,
                cold_ms=200.0,
            )
        )
        now, asked, ended, offered = 0.0, 0.0, [], 0
        for number, (what, span, which, slots, priority) in enumerate(steps):
            now += span
            said = []
            if what == "offer":
                offered += 1
                job = Job(
                    f"j{number}",
                    span * 3,
                    slots,
                    float(slots),
                    priority,
                    which % 2 == 0,
                    now + 50.0 if which == 0 else math.inf,
                )
                said = worker.offer(now, job)
                asked += job.work if job.key in worker.held else 0.0
            elif what == "cancel":
                said = worker.cancel(now, f"j{which}")
            else:
                said = worker.advance(now)
            ended += [each.key for each in said if isinstance(each, Ended)]
            self.assertLessEqual(worker.used, 4)
            self.assertLessEqual(worker.memory, 6.0)
            self.assertEqual(
                worker.used,
                sum(each.job.slots for each in worker.held.values() if each not in worker.waiting),
            )
            worked = worker.worked
            done = worked.done + worked.wasted + worker.under_way()
            self.assertAlmostEqual(done, worker.busy, places=3)
            self.assertAlmostEqual(done + worked.withdrawn + worker.still_to_do(), asked, places=3)
        ended += [each.key for each in worker.advance(now + 1e5) if isinstance(each, Ended)]
        self.assertEqual((len(ended), len(set(ended)), worker.held), (offered, offered, {}))


class KnownAnswers(unittest.TestCase):
    """Against the formulas of queueing theory, and the rules that the model states."""

    def waits(self, servers: int, gaps: np.ndarray, works: np.ndarray) -> np.ndarray:
        """How long each job waited before it began."""
        worker = JobWorker(Spec("w", cores=servers, slots=servers, queue=10**9, order="fifo"))
        at = np.cumsum(gaps)
        began: dict[str, float] = {}
        agenda = Agenda()

        def take(said) -> None:
            for each in said:
                if isinstance(each, Began):
                    began[each.key] = agenda.now
            due = worker.next_due()
            if due is not None:
                agenda.at(due, wake)

        def wake() -> None:
            if (due := worker.next_due()) is not None and due <= agenda.now:
                take(worker.advance(agenda.now))

        def offer(number: int) -> None:
            if number + 1 < len(at):
                agenda.at(float(at[number + 1]), offer, number + 1)
            take(worker.offer(agenda.now, Job(str(number), float(works[number]))))

        agenda.at(float(at[0]), offer, 0)
        agenda.run(float(at[-1]) + 1e7)
        return np.array([began[str(number)] - at[number] for number in range(len(at))])

    def close(self, waits: np.ndarray, wanted: float) -> None:
        """Within four standard errors, from means of batches that hardly depend on one another."""
        batches = waits[len(waits) // 20 :][: len(waits) // 20 * 19].reshape(19, -1).mean(axis=1)
        error = batches.std(ddof=1) / math.sqrt(len(batches))
        self.assertLess(abs(batches.mean() - wanted), 4 * error, (batches.mean(), wanted, error))
        self.assertLess(error, 0.15 * wanted, "too few jobs to say anything")

    def test_many_servers(self) -> None:
        servers, load, work, count = 4, 0.8, 10.0, 40_000
        source = Streams(5).of("M/M/c")
        gaps = source.exponential(work / (servers * load), count)
        offered = servers * load
        # Erlang C: the chance to wait, and the mean wait.
        terms = [offered**n / math.factorial(n) for n in range(servers)]
        last = offered**servers / math.factorial(servers) / (1 - load)
        wanted = last / (sum(terms) + last) * work / (servers * (1 - load))
        self.close(self.waits(servers, gaps, source.exponential(work, count)), wanted)

    def test_one_server_and_any_work(self) -> None:
        load, work, cv, count = 0.6, 10.0, 1.5, 40_000
        source = Streams(6).of("M/G/1")
        gaps = source.exponential(work / load, count)
        sigma = math.sqrt(math.log1p(cv**2))
        works = work * source.lognormal(-sigma * sigma / 2, sigma, count)
        wanted = load / (1 - load) * (1 + cv**2) / 2 * work  # Pollaczek and Khinchine
        self.close(self.waits(1, gaps, works), wanted)

    def cold(self) -> JobWorker:
        return JobWorker(
            Spec(
                "w",
                cores=10,
                slots=10,
                queue=100,
                cold_from=0.3,
                cold_ms=100_000.0,
                fall_multiple=3.0,
                fall_ms=500.0,
            )
        )

    def test_a_cold_worker_falls_over_beyond_its_multiple_and_no_sooner(self) -> None:
        # At its start it has 3 of 10 slots' capacity: 9 are three times that, the tenth is one too many.
        for jobs, falls in ((9, False), (10, True)):
            worker = self.cold()
            for number in range(jobs):
                worker.offer(0.0, Job(f"j{number}", 1e9))
            worker.advance(499.0)
            self.assertFalse(worker.fallen)
            worker.advance(501.0)
            self.assertEqual(worker.fallen, falls)
            if falls:
                self.assertEqual(len(worker.lost()), 10)
                self.assertEqual(worker.offer(600.0, Job("late", 1.0)), [])

    def test_what_lasts_less_long_does_no_harm(self) -> None:
        worker = self.cold()
        for number in range(10):
            worker.offer(0.0, Job(f"j{number}", 1e9))
        worker.cancel(499.0, "j0")
        worker.offer(500.0, Job("again", 1e9))
        worker.advance(998.0)
        self.assertFalse(worker.fallen)

    def test_warmth_grows_to_its_end(self) -> None:
        worker = JobWorker(Spec("w", cold_from=0.3, cold_ms=1000.0))
        said = worker.offer(0.0, Job("j", 100.0))
        self.assertEqual(said, [Began("j")])
        seen, at = [], 0.0
        while not seen:
            at = worker.next_due()
            seen = worker.advance(at)
        work = sum((0.3 + 0.7 * step * STEP_MS / 1000.0) * STEP_MS for step in range(int(at // STEP_MS)))
        work += (0.3 + 0.7 * (at // STEP_MS) * STEP_MS / 1000.0) * (at % STEP_MS)
        self.assertEqual(seen, [Ended("j", "ok")])
        self.assertAlmostEqual(work, 100.0, places=3)

    def test_a_repeat_within_its_window_costs_nothing(self) -> None:
        worker = JobWorker(Spec("w"))
        worker.offer(0.0, Job("a", 10.0, effect="k", window_ms=100.0))
        worker.advance(10.0)
        self.assertEqual(
            worker.offer(109.0, Job("b", 10.0, effect="k", window_ms=100.0)), [Began("b"), Ended("b", "ok")]
        )
        self.assertEqual(worker.offer(111.0, Job("c", 10.0, effect="k", window_ms=100.0)), [Began("c")])
        self.assertEqual(worker.worked.done, 10.0)

    def test_repeatable_work_gives_way_and_goes_on(self) -> None:
        worker = JobWorker(Spec("w", slots=1, cores=1.0, suspends=True))
        worker.offer(0.0, Job("low", 100.0))
        self.assertEqual(worker.offer(30.0, Job("high", 10.0, priority=1)), [Began("high")])
        self.assertEqual(worker.advance(40.0), [Ended("high", "ok")])
        self.assertEqual(worker.advance(109.0), [])
        self.assertEqual(worker.advance(111.0), [Ended("low", "ok")])
        worker.offer(111.0, Job("once", 100.0, repeatable=False))
        self.assertEqual(worker.offer(112.0, Job("other", 1.0, priority=1)), [])

    def test_arrivals_follow_the_days_shape_and_a_flood(self) -> None:
        clients = Clients(LoadSpec(1000.0, swing=0.5, day_ms=10_000.0), CLASSES, plan().brands, Streams(4))
        times = []
        while (wanted := clients.next()).at < 10_000.0:
            times.append(wanted.at)
        counts = np.histogram(times, bins=10, range=(0, 10_000.0))[0]
        self.assertLess(abs(len(times) - 10_000), 4 * 100)
        middle = [clients.rate(at * 1000.0 + 500.0) for at in range(10)]
        for count, rate in zip(counts, middle, strict=True):
            self.assertLess(abs(count - rate), 5 * math.sqrt(rate))

    def test_a_partition_stops_messages_both_ways(self) -> None:
        network = Network(Delays(), Streams(1))
        network.part("a", "b")
        self.assertEqual((network.delay("a", "b"), network.delay("b", "a")), (None, None))
        self.assertIsNotNone(network.delay("a", "c"))
        network.heal("b", "a")
        self.assertIsNotNone(network.delay("a", "b"))


if __name__ == "__main__":
    unittest.main()

"""The rules of the decision module one by one, checked on its actions."""

from __future__ import annotations

import math
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from conftest import KEYED, SAFE, UNSAFE, Driver, sends, settings, tenants

from spanwing.interface import (
    Accepted,
    Cancel,
    ClientGone,
    Fail,
    Log,
    Probe,
    ProbeResult,
    ProgressReport,
    Reject,
    Request,
    ServiceClass,
    Watch,
    Worker,
    WorkerList,
)

ROOT = Path(__file__).parent.parent


def fill(driver: Driver, slots: int, **more) -> list:
    """Submits jobs until `slots` slots are in use; returns request id and worker of each."""
    sent = []
    for _ in range(slots):
        rid, actions = driver.submit("bill", **more)
        sent += [(rid, each.worker) for each in sends(actions)]
    assert len(sent) == slots
    return sent


def test_request_is_sent_at_once_to_an_idle_slot_and_else_when_one_is_released():
    driver = Driver(workers=1)
    driver.now = 100.0
    busy = fill(driver, 4)
    rid, actions = driver.submit("book")
    assert not sends(actions)  # four slots are assumed
    assert [each.request for each in sends(driver.end(*busy[0][:1], 0, 1, "ok"))] == [rid]


def test_released_slot_goes_to_the_tenant_of_lowest_spent_ratio():
    driver = Driver(settings(tenants=tenants(heavy=10.0, light=10.0)), workers=1)
    driver.now = 2000.0
    busy = fill(driver, 4, tenant="heavy")
    first, _ = driver.submit("look", tenant="heavy")
    second, _ = driver.submit("look", tenant="light")
    released = driver.end(busy[0][0], 0, 1, "ok") + driver.end(busy[1][0], 0, 1, "ok")
    assert [each.request for each in sends(released)] == [second, first]


def test_tenant_without_tokens_still_gets_an_idle_slot():
    driver = Driver(settings(tenants=tenants(x=0.0)), workers=1)
    assert sends(driver.submit("look", tenant="x")[1])


def test_arrivals_over_quota_are_queued_behind_those_within():
    driver = Driver(settings(tenants=tenants(x=1.0, y=1.0), over_quota_weight=0.05), workers=1)
    busy = fill(driver, 4, tenant="x")  # more than the quota of x
    over, _ = driver.submit("look", tenant="x")
    within, _ = driver.submit("look", tenant="y")
    assert [each.request for each in sends(driver.end(busy[0][0], 0, 1, "ok"))] == [within]
    assert [each.request for each in sends(driver.end(busy[1][0], 0, 1, "ok"))] == [over]


def test_capacity_is_learned_from_reports_and_from_full():
    driver = Driver(settings(report_fields=("inflight", "queue", "free_slots")), workers=1)
    rid, _ = driver.submit("look")
    driver.end(rid, 0, 1, "ok", report=(0.0, 0.0, 2.0))
    assert len(sends([a for _ in range(4) for a in driver.submit("bill")[1]])) == 2
    driver = Driver(workers=1)
    busy = fill(driver, 4)
    driver.end(busy[0][0], 0, 1, "full")
    assert not driver.submit("bill")[1]  # full: nothing is sent until jobs of other schedulers may have ended


@pytest.mark.parametrize("result", ["error", "full", "timeout", "unreachable", "reset", "cancelled", "moot"])
@pytest.mark.parametrize("cls", ["look", "book", "bill"])
def test_attempt_is_retried_by_result_and_idempotency(cls, result):
    driver = Driver(workers=3)
    rid, actions = driver.submit(cls)
    after = driver.end(rid, 0, sends(actions)[0].worker, result) + driver.run(900.0)
    never_ran = result in ("full", "unreachable", "moot")
    if cls == "bill" and not never_ran:
        assert Fail(rid) in after and not sends(after)
    else:
        assert sends(after) and not [each for each in after if isinstance(each, (Fail, Reject))]


def test_keyed_request_is_retried_only_within_its_deduplication_window():
    driver = Driver(workers=2)
    rid, actions = driver.submit("book", wait=9000.0)
    driver.now = KEYED.deduplication_window_ms + 1.0
    after = driver.end(rid, 0, sends(actions)[0].worker, "error")
    after += driver.run(9100.0)
    assert not sends(after) and after[-1] == Reject(rid)  # repeat group "all": a repeat is harmless


def test_request_is_answered_by_its_deadline_without_any_worker():
    driver = Driver()
    rid, actions = driver.submit("bill", wait=1000.0)
    assert not sends(actions) and Reject(rid) in driver.run(1000.0 + driver.scheduler.settings.answer_grace)


def test_nothing_is_sent_to_a_draining_worker():
    driver = Driver(workers=1)
    driver.feed(WorkerList("partial", (Worker(1, "draining"),)))
    assert not sends(driver.submit("look")[1])
    driver.feed(WorkerList("complete", ()))
    assert not sends(driver.submit("look")[1])


def test_hung_worker_is_ejected_and_its_repeatable_job_is_cancelled():
    """A worker that accepts jobs and answers none must not get more of them."""
    driver = Driver(workers=2)
    rid, actions = driver.submit("look")
    hung = sends(actions)[0].worker
    assert Cancel(rid, 0) in driver.run(4 * 2 * SAFE.latency_objective_ms + 100.0)
    assert all(each.worker != hung for _ in range(3) for each in sends(driver.submit("bill")[1]))


def test_ejected_worker_returns_with_one_job_at_a_time():
    """A worker that fails fast looks idle, and would attract all requests."""
    driver = Driver(workers=1)
    rid, _ = driver.submit("bill")
    driver.end(rid, 0, 1, "error")
    assert not sends(driver.submit("bill")[1])
    driver.run(1300.0)
    assert len(sends([a for _ in range(3) for a in driver.submit("bill")[1]])) <= 1


@pytest.mark.parametrize("cls, moves", [("look", True), ("book", True), ("bill", False)])
def test_job_queued_at_a_worker_is_cancelled_for_an_idle_slot_elsewhere(cls, moves):
    """It is sent again once the cancelled attempt has ended. A non-idempotent job is never moved."""
    driver = Driver(settings(tells_start=True, max_attempts=3), workers=2)
    rid, actions = driver.submit(cls)
    first = sends(actions)[0].worker
    assert (Cancel(rid, 0) in driver.run(100.0)) is moves
    if moves:
        assert [each.worker for each in sends(driver.end(rid, 0, first, "cancelled"))] == [3 - first]


def test_worker_with_a_queue_is_not_ejected_as_silent():
    """With forty schedulers each hears from a worker seldom, so a long queue looked like a hung worker."""
    driver = Driver(settings(tells_start=True), workers=1)
    rid, _ = driver.submit("bill")
    driver.now = 5.0
    driver.feed(Accepted(rid, 0, 1))
    driver.run(2600.0)  # four mean service times without any further report
    assert not any("set aside" in each.line for each in driver.actions if isinstance(each, Log))


def test_worker_that_does_not_accept_a_job_is_ejected_and_the_repeatable_job_is_cancelled():
    driver = Driver(settings(), workers=2)
    rid, actions = driver.submit("bill")
    driver.feed(Accepted(rid, 0, sends(actions)[0].worker))
    driver.end(rid, 0, sends(actions)[0].worker, "ok")
    rid, actions = driver.submit("book")
    hung = sends(actions)[0].worker
    assert Cancel(rid, 0) in driver.run(700.0)
    assert [each.worker for each in sends(driver.end(rid, 0, hung, "cancelled"))] == [3 - hung]


def test_hash_ring_is_built_only_when_a_sticky_key_arrives():
    driver = Driver(workers=50)
    driver.submit("look")
    assert not driver.scheduler.hash_ring
    driver.submit("look", sticky_key="a")
    assert driver.scheduler.hash_ring


PROBED = dict(probes=True, report_fields=("queue", "free_slots"), tells_start=True, max_attempts=3)


def probes(actions: list) -> list[int]:
    return [each.worker for each in actions if isinstance(each, Probe)]


def answer_probe(driver: Driver, worker: int, free_slots: float) -> list:
    return driver.feed(ProbeResult(worker, "ok", 2.0, (0.0, free_slots)))


def test_foreign_worker_gets_a_job_only_when_a_probe_has_found_an_idle_slot():
    """Forty schedulers that guess at the same idle slot overload each other's owned workers."""
    driver = Driver(settings(node_count=40, node_index=7, **PROBED), workers=60)
    owned = {worker.entry.id for worker in driver.scheduler.owned_workers}
    actions = [each for _ in range(20) for each in driver.submit("look")[1]]
    assert {each.worker for each in sends(actions)} == owned
    probed = probes(actions)
    assert probed and not set(probed) & owned
    assert not sends(answer_probe(driver, probed[0], 0.0))
    assert {each.worker for each in sends(answer_probe(driver, probed[1], 2.0))} == {probed[1]}
    driver.run(driver.now + 110.0)
    # The observation is stale by now.
    assert probed[1] not in {each.worker for each in sends(driver.submit("look")[1])}


def test_non_idempotent_job_waits_for_a_probe_of_an_owned_worker_but_not_for_long():
    driver = Driver(settings(**PROBED), workers=1)
    driver.now = 50.0
    rid, actions = driver.submit("bill")
    assert not sends(actions) and probes(actions) == [1]
    assert [each.request for each in sends(answer_probe(driver, 1, 3.0))] == [rid]
    driver.feed(ProgressReport(rid, 0, 1, True))
    driver.now += 500.0
    rid, actions = driver.submit("bill")
    assert not sends(actions) and probes(actions) == [1]
    assert [each.request for each in sends(driver.run(driver.now + 150.0))] == [rid]  # no probe result came


def test_probes_stay_within_one_per_request_however_long_jobs_are_queued():
    driver = Driver(settings(node_count=40, **PROBED), workers=60)
    actions = []
    for _ in range(100):
        actions += driver.submit("look")[1] + driver.run(driver.now + 50.0)
    assert 50 <= len(probes(actions)) <= 101


def test_workers_are_assigned_evenly_and_a_change_moves_few():
    """When one worker's removal shifted all ranks, every scheduler owned other workers than before, with all
    the slots that were in use there unknown to it.
    """
    ids, node_count = range(1000, 1060), 40
    drivers = [Driver(settings(node_count=node_count, node_index=n)) for n in range(node_count)]
    for driver in drivers:
        driver.feed(WorkerList("complete", tuple(Worker(n) for n in ids)))
    before = [{worker.entry.id for worker in driver.scheduler.owned_workers} for driver in drivers]
    assert {len(each) for each in before} == {1, 2} and sum(map(len, before)) == 60
    for driver in drivers:
        driver.feed(WorkerList("partial", (Worker(1030, "gone"),)))
    after = [{worker.entry.id for worker in driver.scheduler.owned_workers} for driver in drivers]
    assert sum(map(len, after)) == 59
    assert sum(len(new - old) for new, old in zip(after, before, strict=True)) <= 12


def test_non_idempotent_attempt_in_flight_is_never_repeated():
    driver = Driver(settings(tells_start=True), workers=2)
    driver.submit("bill")
    assert not sends(driver.run(4000.0))


@pytest.mark.parametrize("node_count, dead", [(1, 0), (4, 2), (40, 0), (40, 20), (400, 0)])
def test_warming_worker_is_fed_by_a_few_schedulers_whichever_are_down(node_count, dead):
    """A single feeder may be the scheduler that was just killed, and sees a fortieth of the traffic of forty.
    All feeders together stay within the worker's budget, also where they learn of its start late.
    """
    fed, budget = [], 3.0 * 0.3 * 4 * 3000.0  # of a worker with four slots
    for worker in range(30 if node_count < 400 else 8):
        work = 0.0
        for n in range(dead, node_count):
            driver = Driver(
                settings(
                    node_count=node_count,
                    node_index=n,
                    slow_start_initial_fraction=0.3,
                    slow_start_ms=8600.0,
                    overload_window_ms=3000.0,
                )
            )
            driver.now = 10.0 + 37.0 * (n % 20)
            driver.feed(WorkerList("complete", (Worker(1000 + worker, started=10.0),)))
            work += sum(600.0 * len(sends(driver.submit("look")[1])) for _ in range(10))
        fed.append(work > 0)
        assert work <= budget * 1.1  # its capacity has grown by a tenth when the last scheduler learns of it
    assert sum(fed) >= 0.8 * len(fed)


def test_each_feeder_has_its_share_of_a_warming_workers_slots_from_the_start():
    """When slots were limited by the ramp, each of four feeders used one of five slots and the fifth stayed
    idle.
    """
    short, sent = ServiceClass("look", latency_objective_ms=100, deadline_ms=5000), []
    for n in range(4):
        driver = Driver(
            settings(
                classes=(short,),
                node_count=4,
                node_index=n,
                slow_start_initial_fraction=0.3,
                slow_start_ms=8600.0,
                overload_window_ms=3000.0,
                **PROBED,
            ),
            workers=1,
        )
        answer_probe(driver, 1, 5.0)
        driver.now = 50.0
        driver.feed(WorkerList("complete", (Worker(1000, started=40.0),)))
        sent.append(sum(len(sends(driver.submit("look")[1])) for _ in range(10)))
    assert sent == [2] * 4


def test_restarted_feeders_do_not_overload_a_warming_worker():
    """A scheduler that starts does not know what it sent just before, and seven in ten may be restarted."""
    short, work = ServiceClass("look", latency_objective_ms=100, deadline_ms=5000), 0.0
    for started in (40.0, 600.0):
        for n in range(40):
            driver = Driver(
                settings(
                    classes=(short,),
                    node_count=40,
                    node_index=n,
                    slow_start_initial_fraction=0.3,
                    slow_start_ms=8600.0,
                    overload_window_ms=3000.0,
                )
            )
            driver.now = started
            driver.scheduler.__init__(driver.scheduler.settings, n, started)
            driver.feed(WorkerList("persisted", (Worker(1000, started=50.0),)))
            for _ in range(20):
                rid, actions = driver.submit("look")
                work += 200.0 * len(sends(actions))
                for each in sends(actions):
                    driver.end(rid, 0, each.worker, "ok")
    assert 0 < work <= 3.0 * 0.3 * 4 * 3000.0


def test_watch_is_repeated_after_a_discovery_error():
    driver = Driver(settings(subscribe=True), workers=1)
    assert any(isinstance(each, Watch) for each in driver.run(1100.0))
    driver.feed(WorkerList("error"))
    assert any(isinstance(each, Watch) for each in driver.run(6000.0))


def test_unknown_and_repeated_ids_are_ignored():
    driver = Driver(workers=1)
    rid, _ = driver.submit("look")
    assert driver.end(rid, 0, 1, "ok") == [] == driver.end(rid, 0, 1, "ok")
    assert driver.end("none", 3, 77, "error") == [] == driver.feed(ProgressReport("none", 0, 77, True))


def test_request_that_reuses_an_id_has_its_own_deadline():
    """A client whose connection broke may send the request again under the same id. Timers of the first
    request must not end the second.
    """
    driver = Driver()
    rid, _ = driver.submit("bill", wait=250.0)
    driver.feed(ClientGone(rid))
    driver.feed(Request(rid, "bill", driver.now + 290.0))
    assert driver.run(260.0) == []
    actions = driver.feed(WorkerList("complete", (Worker(1),)))
    assert [each.request for each in sends(actions)] == [rid]
    assert [each for each in driver.run(310.0) if not isinstance(each, Log)] == [Fail(rid), Cancel(rid, 0)]


def test_state_is_released_and_owned_workers_do_not_grow_with_the_fleet():
    driver = Driver(settings(node_count=50), workers=1000)
    assert len(driver.scheduler.owned_workers) == 20
    for _ in range(300):
        rid, actions = driver.submit("look")
        for each in sends(actions):
            driver.end(rid, 0, each.worker, "ok")
    driver.run(30000.0)
    driver.feed(WorkerList("complete", (Worker(1),)))
    scheduler = driver.scheduler
    assert (
        len(scheduler.jobs),
        len(scheduler.open_attempts),
        len(scheduler.timers.heap),
        len(scheduler.worker_states),
    ) == (0, 0, 0, 1)


def test_all_schedulers_send_a_sticky_key_to_the_same_worker():
    workers = set()
    for n in range(6):
        driver = Driver(settings(node_count=6, node_index=n), workers=30, seed=n)
        workers |= {each.worker for each in sends(driver.submit("look", sticky_key="series/7")[1])}
    assert len(workers) == 1


@pytest.mark.parametrize(
    "name, change",
    [
        ("classes", dict(classes=())),
        ("nodes", dict(node_count=0)),
        ("node", dict(node_index=5)),
        ("max_attempts", dict(max_attempts=0)),
        ("cold_from", dict(slow_start_initial_fraction=0.0)),
        ("tick", dict(tick_ms=0.0)),
        ("drain_grace", dict(drain_grace=-1.0)),
        ("tenants", dict(tenants=tenants(x=-1.0))),
        ("zone", dict(zone="c", zones=("a",))),
        ("classes", dict(classes=(ServiceClass("x", latency_objective_ms=10, deadline_ms=5),))),
        ("classes", dict(classes=(UNSAFE, UNSAFE))),
    ],
)
def test_error_of_wrong_settings_names_the_setting(name, change):
    with pytest.raises(ValueError, match=name):
        settings(**change)


def test_module_keeps_its_limits():
    lines = (ROOT / "spanwing" / "scheduler.py").read_text().splitlines()
    assert max(map(len, lines)) <= 110
    assert "spanwing/interface.py" in lines[0]
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    assert "exclude" not in ruff.get("format", {}) and "exclude" not in ruff
    assert ruff["extend-exclude"] == ["./journal"]  # a folder of data


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0


def test_tokens_are_earned_as_time_passes():
    driver = Driver(settings(tenants=tenants(x=2.0)), workers=1)
    driver.now = 3000.0
    driver.submit("look", tenant="x")
    account = driver.scheduler.token_accounts["x"]
    assert math.isclose(account.earned, 6.0) and account.spent == 1.0


def test_job_queued_past_its_latency_objective_is_rejected_or_served_last():
    """In order of arrival an overloaded queue serves every job just too late (incident i6dc0d4)."""
    driver = Driver(workers=1)
    busy = fill(driver, 4)
    worthless, _ = driver.submit("look")  # late_weight 0: rejected at its latency objective
    old, _ = driver.submit("book")
    assert Reject(worthless) in driver.run(SAFE.latency_objective_ms + 30.0)
    new, _ = driver.submit("book")
    released = driver.end(busy[0][0], 0, 1, "ok") + driver.end(busy[1][0], 0, 1, "ok")
    assert [each.request for each in sends(released)] == [new, old]


def test_worker_gets_an_idempotent_job_after_its_ejection():
    """The estimated foreign load decays but never reaches 0, so with a concurrency limit of 1 no slot was
    free for minutes.
    """
    driver = Driver(settings(tells_start=True), workers=1)
    first, _ = driver.submit("look")
    driver.run(200.0)  # it has not started: the slots count as foreign load
    driver.end(first, 0, 1, "timeout", complete=True)
    assert not sends(driver.submit("bill")[1])
    safe, actions = driver.submit("look", wait=60000.0)
    actions += driver.run(10000.0)
    sent = [each.request for each in sends(actions)]
    assert sent == [] or safe in sent
    late, actions = driver.submit("look")
    assert [each.request for each in sends(actions + driver.run(10100.0))] == [late]

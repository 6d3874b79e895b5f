"""The decisions one by one, on observable actions."""

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


def fill(node: Driver, slots: int, **more) -> list:
    """Send jobs until the given number of slots is taken."""
    out = []
    for _ in range(slots):
        rid, actions = node.ask("bill", **more)
        out += [(rid, each.worker) for each in sends(actions)]
    assert len(out) == slots
    return out


def test_leaves_at_once_with_tokens_and_a_free_slot_else_waits_for_one():
    node = Driver(workers=1)
    node.now = 100.0
    busy = fill(node, 4)
    rid, actions = node.ask("book")
    assert not sends(actions)  # four slots are assumed
    assert [each.request for each in sends(node.end(*busy[0][:1], 0, 1, "ok"))] == [rid]


def test_release_takes_the_tenant_of_lowest_spent_to_earned():
    node = Driver(settings(tenants=tenants(heavy=10.0, light=10.0)), workers=1)
    node.now = 2000.0
    busy = fill(node, 4, tenant="heavy")
    first, _ = node.ask("look", tenant="heavy")
    second, _ = node.ask("look", tenant="light")
    freed = node.end(busy[0][0], 0, 1, "ok") + node.end(busy[1][0], 0, 1, "ok")
    assert [each.request for each in sends(freed)] == [second, first]


def test_tokenless_tenant_still_leaves_while_a_slot_is_idle():
    node = Driver(settings(tenants=tenants(x=0.0)), workers=1)
    assert sends(node.ask("look", tenant="x")[1])


def test_over_share_arrivals_wait_behind_those_within():
    node = Driver(settings(tenants=tenants(x=1.0, y=1.0), over_quota_weight=0.05), workers=1)
    busy = fill(node, 4, tenant="x")  # all of x's share and more
    over, _ = node.ask("look", tenant="x")
    within, _ = node.ask("look", tenant="y")
    assert [each.request for each in sends(node.end(busy[0][0], 0, 1, "ok"))] == [within]
    assert [each.request for each in sends(node.end(busy[1][0], 0, 1, "ok"))] == [over]


def test_total_is_learned_from_reports_and_full():
    node = Driver(settings(report_fields=("inflight", "queue", "free_slots")), workers=1)
    rid, _ = node.ask("look")
    node.end(rid, 0, 1, "ok", report=(0.0, 0.0, 2.0))
    assert len(sends([a for _ in range(4) for a in node.ask("bill")[1]])) == 2
    node = Driver(workers=1)
    busy = fill(node, 4)
    node.end(busy[0][0], 0, 1, "full")
    assert not node.ask("bill")[1]  # said full: nothing more until others' jobs may have ended


@pytest.mark.parametrize("result", ["error", "full", "timeout", "unreachable", "reset", "cancelled", "moot"])
@pytest.mark.parametrize("cls", ["look", "book", "bill"])
def test_every_outcome_by_class_kind(cls, result):
    node = Driver(workers=3)
    rid, actions = node.ask(cls)
    after = node.end(rid, 0, sends(actions)[0].worker, result) + node.run(900.0)
    never_ran = result in ("full", "unreachable", "moot")
    if cls == "bill" and not never_ran:
        assert Fail(rid) in after and not sends(after)
    else:
        assert sends(after) and not [each for each in after if isinstance(each, (Fail, Reject))]


def test_keyed_is_resent_only_inside_its_window():
    node = Driver(workers=2)
    rid, actions = node.ask("book", wait=9000.0)
    node.now = KEYED.deduplication_window_ms + 1.0
    after = node.end(rid, 0, sends(actions)[0].worker, "error")
    after += node.run(9100.0)
    assert not sends(after) and after[-1] == Reject(rid)  # group 'all' may be told that a repeat is harmless


def test_answer_is_in_time_with_no_worker_at_all():
    node = Driver()
    rid, actions = node.ask("bill", wait=1000.0)
    assert not sends(actions) and Reject(rid) in node.run(1000.0 + node.node.settings.answer_grace)


def test_nothing_goes_to_a_draining_worker():
    node = Driver(workers=1)
    node.feed(WorkerList("partial", (Worker(1, "draining"),)))
    assert not sends(node.ask("look")[1])
    node.feed(WorkerList("complete", ()))
    assert not sends(node.ask("look")[1])


def test_hung_worker_is_rested_and_what_may_repeat_is_copied():
    """A worker that takes jobs and answers none must not swallow more of them."""
    node = Driver(workers=2)
    rid, actions = node.ask("look")
    hung = sends(actions)[0].worker
    assert Cancel(rid, 0) in node.run(4 * 2 * SAFE.latency_objective_ms + 100.0)
    assert all(each.worker != hung for _ in range(3) for each in sends(node.ask("bill")[1]))


def test_failing_worker_returns_with_one_job_at_a_time():
    """A worker that fails fast looks free; it is set aside, then tried gently."""
    node = Driver(workers=1)
    rid, _ = node.ask("bill")
    node.end(rid, 0, 1, "error")
    assert not sends(node.ask("bill")[1])
    node.run(1300.0)
    assert len(sends([a for _ in range(3) for a in node.ask("bill")[1]])) <= 1


@pytest.mark.parametrize("cls, moves", [("look", True), ("book", True), ("bill", False)])
def test_a_job_that_only_waits_is_called_back_for_an_idle_slot_elsewhere(cls, moves):
    """Where no second copy may be out: called back, and sent on once that has ended; never what is unsafe."""
    node = Driver(settings(tells_start=True, max_attempts=3), workers=2)
    rid, actions = node.ask(cls)
    first = sends(actions)[0].worker
    assert (Cancel(rid, 0) in node.run(100.0)) is moves
    if moves:
        assert [each.worker for each in sends(node.end(rid, 0, first, "cancelled"))] == [3 - first]


def test_a_busy_worker_is_not_taken_for_a_silent_one():
    """At forty nodes each hears of a worker seldom: a full queue looked like a worker that hangs."""
    node = Driver(settings(tells_start=True), workers=1)
    rid, _ = node.ask("bill")
    node.now = 5.0
    node.feed(Accepted(rid, 0, 1))
    node.run(2600.0)  # four times its mean, and not a word more
    assert not any("set aside" in each.line for each in node.seen if isinstance(each, Log))


def test_a_worker_that_does_not_even_take_a_job_rests_and_what_may_repeat_is_called_back():
    node = Driver(settings(), workers=2)
    rid, actions = node.ask("bill")
    node.feed(Accepted(rid, 0, sends(actions)[0].worker))
    node.end(rid, 0, sends(actions)[0].worker, "ok")
    rid, actions = node.ask("book")
    hangs = sends(actions)[0].worker
    assert Cancel(rid, 0) in node.run(700.0)
    assert [each.worker for each in sends(node.end(rid, 0, hangs, "cancelled"))] == [3 - hangs]


def test_the_ring_of_ids_is_made_only_when_a_key_comes():
    node = Driver(workers=50)
    node.ask("look")
    assert not node.node.hash_ring
    node.ask("look", key="a")
    assert node.node.hash_ring


PROBED = dict(probes=True, report_fields=("queue", "free_slots"), tells_start=True, max_attempts=3)


def probes(actions: list) -> list[int]:
    return [each.worker for each in actions if isinstance(each, Probe)]


def sight(node: Driver, worker: int, free: float) -> list:
    return node.feed(ProbeResult(worker, "ok", 2.0, (0.0, free)))


def test_beyond_home_a_job_goes_only_where_a_slot_was_seen_to_be_idle():
    """Forty nodes that take the same slot for idle by a guess fill each other's homes."""
    node = Driver(settings(node_count=40, node_index=7, **PROBED), workers=60)
    home = {view.entry.id for view in node.node.owned_workers}
    out = [each for _ in range(20) for each in node.ask("look")[1]]
    assert {each.worker for each in sends(out)} == home
    asked = probes(out)
    assert asked and not set(asked) & home
    assert not sends(sight(node, asked[0], 0.0))
    assert {each.worker for each in sends(sight(node, asked[1], 2.0))} == {asked[1]}
    node.run(node.now + 110.0)
    assert asked[1] not in {each.worker for each in sends(node.ask("look")[1])}  # what was seen is old by now


def test_what_cannot_be_called_back_waits_for_a_sight_of_home_but_not_for_long():
    node = Driver(settings(**PROBED), workers=1)
    node.now = 50.0
    rid, actions = node.ask("bill")
    assert not sends(actions) and probes(actions) == [1]
    assert [each.request for each in sends(sight(node, 1, 3.0))] == [rid]
    node.feed(ProgressReport(rid, 0, 1, True))
    node.now += 500.0
    rid, actions = node.ask("bill")
    assert not sends(actions) and probes(actions) == [1]
    assert [each.request for each in sends(node.run(node.now + 150.0))] == [rid]  # nobody answered


def test_probes_are_no_more_than_one_a_request_however_long_jobs_wait():
    node = Driver(settings(node_count=40, **PROBED), workers=60)
    out = []
    for _ in range(100):
        out += node.ask("look")[1] + node.run(node.now + 50.0)
    assert 50 <= len(probes(out)) <= 101


def test_workers_are_dealt_out_evenly_and_a_change_moves_few():
    """A shift of all ranks by one gave every node another's workers, with all that they held uncounted."""
    names, nodes = range(1000, 1060), 40
    made = [Driver(settings(node_count=nodes, node_index=n)) for n in range(nodes)]
    for node in made:
        node.feed(WorkerList("complete", tuple(Worker(n) for n in names)))
    before = [{view.entry.id for view in node.node.owned_workers} for node in made]
    assert {len(each) for each in before} == {1, 2} and sum(map(len, before)) == 60
    for node in made:
        node.feed(WorkerList("partial", (Worker(1030, "gone"),)))
    after = [{view.entry.id for view in node.node.owned_workers} for node in made]
    assert sum(map(len, after)) == 59
    assert sum(len(new - old) for new, old in zip(after, before, strict=True)) <= 12


def test_unsafe_is_never_copied():
    node = Driver(settings(tells_start=True), workers=2)
    node.ask("bill")
    assert not sends(node.run(4000.0))


@pytest.mark.parametrize("nodes, dead", [(1, 0), (4, 2), (40, 0), (40, 20), (400, 0)])
def test_a_cold_worker_is_fed_by_some_nodes_whoever_is_down_and_by_few(nodes, dead):
    """One feeder alone may be the node that was just killed, and sees a fortieth of the traffic of forty.
    All together must not push the worker over: all that they send, with lists heard late, is counted."""
    fed, budget = [], 3.0 * 0.3 * 4 * 3000.0  # of a worker with four slots
    for worker in range(30 if nodes < 400 else 8):
        work = 0.0
        for n in range(dead, nodes):
            node = Driver(
                settings(
                    node_count=nodes,
                    node_index=n,
                    slow_start_initial_fraction=0.3,
                    slow_start_ms=8600.0,
                    overload_window_ms=3000.0,
                )
            )
            node.now = 10.0 + 37.0 * (n % 20)
            node.feed(WorkerList("complete", (Worker(1000 + worker, started=10.0),)))
            work += sum(600.0 * len(sends(node.ask("look")[1])) for _ in range(10))
        fed.append(work > 0)
        assert work <= budget * 1.1  # it has warmed by a tenth when the last one hears
    assert sum(fed) >= 0.8 * len(fed)


def test_a_feeder_has_its_part_of_a_cold_workers_slots_from_the_start():
    """By the worker's warmth each of four had one slot of five, and the fifth stood idle."""
    short, held = ServiceClass("look", latency_objective_ms=100, deadline_ms=5000), []
    for n in range(4):
        node = Driver(
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
        sight(node, 1, 5.0)
        node.now = 50.0
        node.feed(WorkerList("complete", (Worker(1000, started=40.0),)))
        held.append(sum(len(sends(node.ask("look")[1])) for _ in range(10)))
    assert held == [2] * 4


def test_feeders_that_are_all_killed_and_start_again_do_not_push_a_cold_worker_over():
    """A scheduler that starts knows nothing of what it sent a moment ago; seven in ten may be killed."""
    short, work = ServiceClass("look", latency_objective_ms=100, deadline_ms=5000), 0.0
    for life in (40.0, 600.0):
        for n in range(40):
            node = Driver(
                settings(
                    classes=(short,),
                    node_count=40,
                    node_index=n,
                    slow_start_initial_fraction=0.3,
                    slow_start_ms=8600.0,
                    overload_window_ms=3000.0,
                )
            )
            node.now = life
            node.node.__init__(node.node.settings, n, life)
            node.feed(WorkerList("persisted", (Worker(1000, started=50.0),)))
            for _ in range(20):
                rid, actions = node.ask("look")
                work += 200.0 * len(sends(actions))
                for each in sends(actions):
                    node.end(rid, 0, each.worker, "ok")
    assert 0 < work <= 3.0 * 0.3 * 4 * 3000.0


def test_discovery_is_asked_again_after_an_error():
    node = Driver(settings(subscribe=True), workers=1)
    assert any(isinstance(each, Watch) for each in node.run(1100.0))
    node.feed(WorkerList("error"))
    assert any(isinstance(each, Watch) for each in node.run(6000.0))


def test_unknown_and_repeated_ids_are_ignored():
    node = Driver(workers=1)
    rid, _ = node.ask("look")
    assert node.end(rid, 0, 1, "ok") == [] == node.end(rid, 0, 1, "ok")
    assert node.end("none", 3, 77, "error") == [] == node.feed(ProgressReport("none", 0, 77, True))


def test_an_id_that_comes_again_is_another_request_with_its_own_time():
    """A client whose connection broke may send once more; what is left of the former ends nothing of this."""
    node = Driver()
    rid, _ = node.ask("bill", wait=250.0)
    node.feed(ClientGone(rid))
    node.feed(Request(rid, "bill", node.now + 290.0))
    assert node.run(260.0) == []
    actions = node.feed(WorkerList("complete", (Worker(1),)))
    assert [each.request for each in sends(actions)] == [rid]
    assert [each for each in node.run(310.0) if not isinstance(each, Log)] == [Fail(rid), Cancel(rid, 0)]


def test_memory_stays_bounded_and_work_does_not_grow_with_the_fleet():
    node = Driver(settings(node_count=50), workers=1000)
    assert len(node.node.owned_workers) == 20
    for _ in range(300):
        rid, actions = node.ask("look")
        for each in sends(actions):
            node.end(rid, 0, each.worker, "ok")
    node.run(30000.0)
    node.feed(WorkerList("complete", (Worker(1),)))
    inner = node.node
    assert (len(inner.jobs), len(inner.open_attempts), len(inner.timers.heap), len(inner.worker_states)) == (
        0,
        0,
        0,
        1,
    )


def test_keys_go_to_the_same_worker_at_every_node():
    """Each node sees little; a key's worker must still be the same for all."""
    picks = set()
    for n in range(6):
        node = Driver(settings(node_count=6, node_index=n), workers=30, seed=n)
        picks |= {each.worker for each in sends(node.ask("look", key="series/7")[1])}
    assert len(picks) == 1


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
def test_wrong_settings_name_the_setting(name, change):
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


def test_ledger_refills_by_elapsed_time():
    node = Driver(settings(tenants=tenants(x=2.0)), workers=1)
    node.now = 3000.0
    node.ask("look", tenant="x")
    ledger = node.node.token_accounts["x"]
    assert math.isclose(ledger.earned, 6.0) and ledger.spent == 1.0


def test_held_past_its_aim_a_job_gives_way():
    """Served in turn, an overloaded queue serves all just too late (incident i6dc0d4)."""
    node = Driver(workers=1)
    busy = fill(node, 4)
    dull, _ = node.ask("look")  # late is worth nothing: refused once it has waited its aim
    old, _ = node.ask("book")
    assert Reject(dull) in node.run(SAFE.latency_objective_ms + 30.0)
    new, _ = node.ask("book")
    freed = node.end(busy[0][0], 0, 1, "ok") + node.end(busy[1][0], 0, 1, "ok")
    assert [each.request for each in sends(freed)] == [new, old]


def test_after_a_rest_a_worker_is_tried_again_with_a_job_that_may_repeat():
    """What others were seen to hold faded without end, and the limit of 1 left no slot for minutes."""
    node = Driver(settings(tells_start=True), workers=1)
    first, _ = node.ask("look")
    node.run(200.0)  # it has not started: the slots are taken to be others'
    node.end(first, 0, 1, "timeout", complete=True)
    assert not sends(node.ask("bill")[1])
    safe, actions = node.ask("look", wait=60000.0)
    actions += node.run(10000.0)
    sent = [each.request for each in sends(actions)]
    assert sent == [] or safe in sent
    late, actions = node.ask("look")
    assert [each.request for each in sends(actions + node.run(10100.0))] == [late]

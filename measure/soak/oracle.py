"""Judges a run from what clients, workers and discovery saw; nothing is asked of the schedulers.

Pure. Each broken rule is one Violation. The terms are those of the protocol page and of STANDING.md; where
two clauses disagree, the earlier one binds.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

from measure.soak.records import ClientRequest, Outage, Records, SentMessage

TIME_SLACK_S = 0.05  # each time limit grows by this much
LATE_ANSWER_S = 0.5  # an answer up to so late earns nothing; later it is lost
LEFT_S = 0.1  # an attempt that begins later than this after its client has left is a lost request
BUDGET_SLACK_MS = 150.0
NOTIFIED_S = 6.0  # after discovery had a change and could be reached
DEFAULT_LAG_S = 0.05  # between a scheduler's send and the proxy's clock, on a machine with free cores


class SlowStartRule(NamedTuple):
    """How much a worker that has just started bears."""

    cold_s: float  # it is warm after this
    cold_from: float  # share of its capacity at its start
    fall_multiple: float  # of its present capacity
    fall_s: float  # over this time
    requests_per_s: float  # of mean work, that a warm worker does


class RuleSet(NamedTuple):
    """The figures of the settings that the rules go by."""

    drain_grace_s: float
    effects: dict[str, str]  # by class: safe, keyed or unsafe
    windows_s: dict[str, float]  # by keyed class
    slow_start: SlowStartRule | None = None
    lag_s: float = DEFAULT_LAG_S  # of these processes on a shared machine, on top of every time limit


class Violation(NamedTuple):
    """One broken rule."""

    rule: str
    at_s: float
    text: str


def judge(records: Records, rules: RuleSet) -> list[Violation]:
    """Returns every violation, in the order of time."""
    found = [
        *lost_requests(records, rules.lag_s),
        *late_attempts(records, rules.lag_s),
        *draining_sends(records, rules),
        *duplicates(records, rules),
        *attempts_at_once(records, rules.lag_s),
        *long_budgets(records, rules.lag_s),
        *slow_start_overloads(records, rules),
    ]
    return sorted(found, key=lambda each: each.at_s)


def _was_down(outages: list[Outage], scheduler: str, begin_s: float, end_s: float) -> bool:
    return any(
        each.scheduler == scheduler and each.begin_s <= end_s and each.end_s >= begin_s for each in outages
    )


def lost_requests(records: Records, lag_s: float) -> Iterator[Violation]:
    """Every request gets its final answer in time, unless its client left or its scheduler was killed."""
    for each in records.requests:
        due_s = each.sent_s + each.budget_ms / 1000.0 + LATE_ANSWER_S
        if each.left_s is not None and each.left_s < due_s:
            continue
        if _was_down(records.process_outages, each.scheduler, each.sent_s, due_s):
            continue
        if each.is_on_new_connection and _was_down(records.crowds, each.scheduler, each.sent_s, each.sent_s):
            continue  # a new connection may be shut unread then
        answered_s = each.answered_s
        if answered_s is None or answered_s > due_s + TIME_SLACK_S + lag_s:
            ended_s = answered_s or each.ended_unanswered_s
            fate = "no answer" if answered_s is None else "answered late"
            took_s = None if ended_s is None else round(ended_s - each.sent_s, 3)
            text = f"{each.id} ({each.cls}, {each.budget_ms} ms): {fate}, after {took_s} s"
            yield Violation("lost", ended_s or due_s, text)


def late_attempts(records: Records, lag_s: float) -> Iterator[Violation]:
    """No attempt begins over LEFT_S after its client has left."""
    left_s = {each.id: each.left_s for each in records.requests if each.left_s is not None}
    for each in _attempts(records):
        gone_s = left_s.get(each.request)
        if gone_s is None or _was_down(records.process_outages, each.scheduler, gone_s, each.first_byte_s):
            continue
        if each.first_byte_s > gone_s + LEFT_S + lag_s:
            text = f"{each.request} to {each.worker} {each.first_byte_s - gone_s:.3f} s after its client left"
            yield Violation("lost", each.first_byte_s, text)


def _attempts(records: Records) -> list[SentMessage]:
    return [each for each in records.messages if each.method == "POST"]


def notified_s(records: Records, scheduler: str, revision: int, made_s: float) -> float:
    """Returns when a change counts as notified to a scheduler."""
    latest_s = made_s + NOTIFIED_S
    for each in sorted(records.discovery_outages, key=lambda outage: outage.begin_s):
        if each.scheduler == scheduler and each.begin_s < latest_s and each.end_s > made_s:
            latest_s = max(latest_s, each.end_s + NOTIFIED_S)
    delivered = [
        each.at_s
        for each in records.deliveries
        if each.scheduler == scheduler
        and each.revision >= revision
        and (each.since is None or each.since < revision)
        and not _was_down(records.process_outages, scheduler, each.at_s, each.at_s)
    ]
    return min([latest_s, *delivered])


def draining_sends(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """No attempt goes to a worker later than the grace after its drain or removal counts as notified."""
    phases: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
    for change in records.changes:
        phases[change.worker].append((change.at_s, change.phase, change.revision))
    known: dict[tuple[str, int], float] = {}
    for each in _attempts(records):
        history = phases.get(each.worker, [])
        index = bisect.bisect(history, (each.first_byte_s, "~", 0)) - 1
        if index < 0 or history[index][1] == "active":
            continue
        while index > 0 and history[index - 1][1] != "active":
            index -= 1
        made_s, phase, revision = history[index]
        key = each.scheduler, revision
        if key not in known:
            known[key] = notified_s(records, each.scheduler, revision, made_s)
        late_s = each.first_byte_s - known[key]
        if late_s > rules.drain_grace_s + TIME_SLACK_S + rules.lag_s:
            text = (
                f"{each.request} from {each.scheduler} to {each.worker} ({phase} in revision {revision}) "
                f"{late_s:.3f} s after the notification"
            )
            yield Violation("drain", each.first_byte_s, text)


def duplicates(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """Effects happen once, and one attempt is out at a time."""
    attempts: dict[str, list[SentMessage]] = defaultdict(list)
    for each in _attempts(records):
        if each.last_byte_s is not None:
            attempts[each.request].append(each)
    classes = {each.id: each.cls for each in records.requests}
    outcomes: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for each in records.outcomes:
        outcomes[each.request, each.worker].append((each.at_s, each.state))
    for request, sent in attempts.items():
        cls = classes.get(request, "")
        for earlier, later in pairwise(sent):
            states = [
                state
                for at_s, state in outcomes[request, earlier.worker]
                if earlier.last_byte_s - rules.lag_s <= at_s <= later.last_byte_s
            ]
            never_ran = not states or states == ["rejected"]
            if rules.effects.get(cls) == "unsafe" and not never_ran:
                text = (
                    f"{request} ({cls}) to {later.worker} after it may have run at {earlier.worker}: {states}"
                )
                yield Violation("duplicate", later.first_byte_s, text)
            window_s = rules.windows_s.get(cls)
            if window_s and not never_ran and later.first_byte_s > earlier.last_byte_s + window_s:
                yield Violation("duplicate", later.first_byte_s, f"{request} ({cls}) after its window")


def attempts_at_once(records: Records, lag_s: float) -> Iterator[Violation]:
    """No attempt of a request goes out while another is neither ended nor given up.

    It has ended with its worker's word; it is given up by a DELETE, or by the end of its connection.
    """
    over_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for each in records.outcomes:
        if each.state != "accepted":
            over_s[each.request, each.worker].append(each.at_s)
    for each in records.messages:
        if each.method == "DELETE":
            over_s[each.request, each.worker].append(each.first_byte_s)
    ends_s: dict[tuple[str, str, int], float] = {}
    for each in records.connection_ends:
        key = each.scheduler, each.worker, each.connection
        ends_s[key] = min(each.at_s, ends_s.get(key, each.at_s))
    earlier_by_request: dict[str, SentMessage] = {}
    for each in _attempts(records):
        if each.last_byte_s is None:
            continue
        earlier = earlier_by_request.get(each.request)
        earlier_by_request[each.request] = each
        if earlier is None:
            continue
        found_s = [
            *(at_s for at_s in over_s[each.request, earlier.worker] if at_s >= earlier.first_byte_s - lag_s),
            ends_s.get((earlier.scheduler, earlier.worker, earlier.connection), float("inf")),
        ]
        if min(found_s) > each.last_byte_s + lag_s:
            text = f"{each.request} to {each.worker} while it was out at {earlier.worker}"
            yield Violation("duplicate", each.first_byte_s, text)


def long_budgets(records: Records, lag_s: float) -> Iterator[Violation]:
    """The time passed to a worker is at most what the client has left, with some slack."""
    requests: dict[str, ClientRequest] = {each.id: each for each in records.requests}
    for each in _attempts(records):
        request = requests.get(each.request)
        if request is None or each.budget_ms is None or each.last_byte_s is None:
            continue
        if _was_down(records.process_outages, each.scheduler, request.sent_s, each.last_byte_s):
            continue  # it was held up for longer than the rules ask to allow for
        left_ms = request.budget_ms - (each.last_byte_s - request.sent_s) * 1000.0
        if each.budget_ms > max(left_ms, 1.0) + BUDGET_SLACK_MS + lag_s * 1000.0:
            text = f"{each.request} to {each.worker}: passed {each.budget_ms} ms of {left_ms:.0f} left"
            yield Violation("deadline", each.first_byte_s, text)


def allowed_at_start(rule: SlowStartRule, age_s: float) -> float:
    """Returns how many requests of mean work a worker of this age may get within fall_s (STANDING.md)."""
    share = min(1.0, rule.cold_from + (1.0 - rule.cold_from) * age_s / rule.cold_s)
    count = rule.fall_multiple * share * rule.requests_per_s * rule.fall_s
    return count + (3.0 * count**0.5 + 3.0 if count < 30.0 else 2.0 * count**0.5 + 2.0)


def slow_start_overloads(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """No worker that has just started falls by what schedulers send that were notified of its start."""
    rule = rules.slow_start
    if rule is None:
        return
    sent: dict[str, list[SentMessage]] = defaultdict(list)
    for each in _attempts(records):
        sent[each.worker].append(each)
    for change in records.changes:
        if change.phase != "active" or not change.is_start:
            continue
        end_s = change.at_s + rule.cold_s
        attempts = [each for each in sent[change.worker] if change.at_s <= each.first_byte_s <= end_s]
        for index, last in enumerate(attempts):
            window = [
                each for each in attempts[: index + 1] if each.first_byte_s > last.first_byte_s - rule.fall_s
            ]
            if len(window) <= allowed_at_start(rule, last.first_byte_s - change.at_s):
                continue
            notified = [
                each
                for each in window
                if notified_s(records, each.scheduler, change.revision, change.at_s) <= each.first_byte_s
            ]
            if len(notified) > 2.0 / 3.0 * len(window):
                text = f"{change.worker} got {len(window)} requests in {rule.fall_s} s"
                yield Violation("failback", last.first_byte_s, text)
                break

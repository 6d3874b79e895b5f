"""Finds violations of the platform's rules in the records of a soak run.

The records come from clients, workers, discovery and the proxies between them, never from the schedulers.
These functions only compute: they neither do I/O nor read a clock. Where two rules of the platform disagree,
the one that is stated first applies.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise
from typing import NamedTuple

from measure.soak.records import ClientRequest, Outage, Records, SentMessage

TIME_SLACK_S = 0.05  # measurement tolerance of time limits
LATE_ANSWER_LIMIT_S = 0.5  # an answer is late until this long after its deadline, then the request is lost
DISCONNECT_GRACE_S = 0.1  # attempts may begin until this long after their client has disconnected
BUDGET_SLACK_MS = 150.0  # tolerance of the time that is passed to a worker
NOTIFICATION_LIMIT_S = 6.0  # from a change, or the end of discovery's outage, to its notification
DEFAULT_LAG_S = 0.05  # from a scheduler's send to the proxy's time stamp, on a machine with idle cores


class SlowStartRule(NamedTuple):
    """The load that a worker can take just after its start."""

    slow_start_s: float  # time from its start to its full capacity
    initial_fraction: float  # share of its capacity that it has at its start
    overload_multiple: float  # it fails if it gets this many times its present capacity
    overload_window_s: float  # over this period
    capacity_per_s: float  # requests of mean run time that it completes per second at full capacity


class RuleSet(NamedTuple):
    """The limits of the rules, from the settings of the fleet."""

    drain_grace_s: float
    idempotency_by_class: dict[str, str]  # safe, keyed or unsafe
    deduplication_windows_s: dict[str, float]  # of each keyed class
    slow_start: SlowStartRule | None = None
    lag_s: float = DEFAULT_LAG_S  # delay of the test processes on a busy machine; extends every time limit


class Violation(NamedTuple):
    """One violation: the rule's name, the time and a description."""

    rule: str
    at_s: float
    text: str


def judge(records: Records, rules: RuleSet) -> list[Violation]:
    """Returns all violations, sorted by time."""
    found = [
        *lost_requests(records, rules.lag_s),
        *late_attempts(records, rules.lag_s),
        *draining_sends(records, rules),
        *forbidden_repeats(records, rules),
        *concurrent_attempts(records, rules.lag_s),
        *excessive_budgets(records, rules.lag_s),
        *slow_start_overloads(records, rules),
    ]
    return sorted(found, key=lambda each: each.at_s)


def _overlaps_outage(outages: list[Outage], scheduler: str, begin_s: float, end_s: float) -> bool:
    return any(
        each.scheduler == scheduler and each.begin_s <= end_s and each.end_s >= begin_s for each in outages
    )


def lost_requests(records: Records, lag_s: float) -> Iterator[Violation]:
    """Yields requests that were not answered in time.

    Requests are exempt if their client disconnected, or if their scheduler was down or paused meanwhile.
    """
    for each in records.requests:
        due_s = each.sent_s + each.budget_ms / 1000.0 + LATE_ANSWER_LIMIT_S
        if each.disconnected_s is not None and each.disconnected_s < due_s:
            continue
        if _overlaps_outage(records.process_outages, each.scheduler, each.sent_s, due_s):
            continue
        if each.is_on_new_connection and _overlaps_outage(
            records.connection_floods, each.scheduler, each.sent_s, each.sent_s
        ):
            continue  # a scheduler out of descriptors may close a new connection without reading from it
        answered_s = each.answered_s
        if answered_s is None or answered_s > due_s + TIME_SLACK_S + lag_s:
            ended_s = answered_s or each.closed_unanswered_s
            fate = "no answer" if answered_s is None else "answered late"
            took_s = None if ended_s is None else round(ended_s - each.sent_s, 3)
            text = f"{each.id} ({each.service_class}, {each.budget_ms} ms): {fate}, after {took_s} s"
            yield Violation("lost", ended_s or due_s, text)


def late_attempts(records: Records, lag_s: float) -> Iterator[Violation]:
    """Yields attempts that begin later than DISCONNECT_GRACE_S after their client has disconnected."""
    disconnected_s_by_request = {
        each.id: each.disconnected_s for each in records.requests if each.disconnected_s is not None
    }
    for each in _attempts(records):
        client_left_s = disconnected_s_by_request.get(each.request)
        if client_left_s is None or _overlaps_outage(
            records.process_outages, each.scheduler, client_left_s, each.first_byte_s
        ):
            continue
        if each.first_byte_s > client_left_s + DISCONNECT_GRACE_S + lag_s:
            text = (
                f"{each.request} to {each.worker} {each.first_byte_s - client_left_s:.3f} s "
                f"after its client disconnected"
            )
            yield Violation("lost", each.first_byte_s, text)


def _attempts(records: Records) -> list[SentMessage]:
    return [each for each in records.messages if each.method == "POST"]


def notification_time_s(records: Records, scheduler: str, revision: int, made_s: float) -> float:
    """Returns the time at which a change of the endpoint list counts as notified to a scheduler.

    This is NOTIFICATION_LIMIT_S after the change, or after an outage of discovery that delays it, but not
    later than the first delivery of a list with the change to a running process. made_s is the change's time.
    """
    latest_s = made_s + NOTIFICATION_LIMIT_S
    for each in sorted(records.discovery_outages, key=lambda outage: outage.begin_s):
        if each.scheduler == scheduler and each.begin_s < latest_s and each.end_s > made_s:
            latest_s = max(latest_s, each.end_s + NOTIFICATION_LIMIT_S)
    delivered = [
        each.at_s
        for each in records.deliveries
        if each.scheduler == scheduler
        and each.revision >= revision
        and (each.since_revision is None or each.since_revision < revision)
        and not _overlaps_outage(records.process_outages, scheduler, each.at_s, each.at_s)
    ]
    return min([latest_s, *delivered])


def draining_sends(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """Yields attempts that go to a draining or removed worker after the drain grace.

    The grace starts when the drain or removal counts as notified to the scheduler.
    """
    phases: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
    for change in records.changes:
        phases[change.worker].append((change.at_s, change.phase, change.revision))
    notified_s_by_change: dict[tuple[str, int], float] = {}
    for each in _attempts(records):
        history = phases.get(each.worker, [])
        index = bisect.bisect(history, (each.first_byte_s, "~", 0)) - 1
        if index < 0 or history[index][1] == "active":
            continue
        while index > 0 and history[index - 1][1] != "active":
            index -= 1
        made_s, phase, revision = history[index]
        key = each.scheduler, revision
        if key not in notified_s_by_change:
            notified_s_by_change[key] = notification_time_s(records, each.scheduler, revision, made_s)
        late_s = each.first_byte_s - notified_s_by_change[key]
        if late_s > rules.drain_grace_s + TIME_SLACK_S + rules.lag_s:
            text = (
                f"{each.request} from {each.scheduler} to {each.worker} ({phase} in revision {revision}) "
                f"{late_s:.3f} s after the notification"
            )
            yield Violation("drain", each.first_byte_s, text)


def forbidden_repeats(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """Yields retries by which a non-idempotent job could take effect twice.

    A request of an unsafe class may be sent again only if the earlier attempt never ran. One of a keyed class
    may be sent again only within its deduplication window, counted from the earlier attempt.
    """
    attempts: dict[str, list[SentMessage]] = defaultdict(list)
    for each in _attempts(records):
        if each.last_byte_s is not None:
            attempts[each.request].append(each)
    classes = {each.id: each.service_class for each in records.requests}
    outcomes: dict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
    for each in records.outcomes:
        outcomes[each.request, each.worker].append((each.at_s, each.state))
    for request, sent in attempts.items():
        service_class = classes.get(request, "")
        for earlier, later in pairwise(sent):
            states = [
                state
                for at_s, state in outcomes[request, earlier.worker]
                if earlier.last_byte_s - rules.lag_s <= at_s <= later.last_byte_s
            ]
            never_ran = not states or states == ["rejected"]
            if rules.idempotency_by_class.get(service_class) == "unsafe" and not never_ran:
                text = (
                    f"{request} ({service_class}) to {later.worker} "
                    f"after it may have run at {earlier.worker}: {states}"
                )
                yield Violation("duplicate", later.first_byte_s, text)
            window_s = rules.deduplication_windows_s.get(service_class)
            if window_s and not never_ran and later.first_byte_s > earlier.last_byte_s + window_s:
                yield Violation(
                    "duplicate",
                    later.first_byte_s,
                    f"{request} ({service_class}) after its deduplication window",
                )


def concurrent_attempts(records: Records, lag_s: float) -> Iterator[Violation]:
    """Yields attempts that are sent while an earlier attempt of the request is still in flight.

    An attempt is no longer in flight once its worker has reported a final state, the scheduler has sent a
    DELETE for it, or its connection has ended.
    """
    attempt_ends_s: dict[tuple[str, str], list[float]] = defaultdict(list)
    for each in records.outcomes:
        if each.state != "accepted":
            attempt_ends_s[each.request, each.worker].append(each.at_s)
    for each in records.messages:
        if each.method == "DELETE":
            attempt_ends_s[each.request, each.worker].append(each.first_byte_s)
    connection_ends_s: dict[tuple[str, str, int], float] = {}
    for each in records.connection_ends:
        key = each.scheduler, each.worker, each.connection
        connection_ends_s[key] = min(each.at_s, connection_ends_s.get(key, each.at_s))
    earlier_by_request: dict[str, SentMessage] = {}
    for each in _attempts(records):
        if each.last_byte_s is None:
            continue
        earlier = earlier_by_request.get(each.request)
        earlier_by_request[each.request] = each
        if earlier is None:
            continue
        end_times_s = [
            *(
                at_s
                for at_s in attempt_ends_s[each.request, earlier.worker]
                if at_s >= earlier.first_byte_s - lag_s
            ),
            connection_ends_s.get((earlier.scheduler, earlier.worker, earlier.connection), float("inf")),
        ]
        if min(end_times_s) > each.last_byte_s + lag_s:
            text = f"{each.request} to {each.worker} while in flight at {earlier.worker}"
            yield Violation("duplicate", each.first_byte_s, text)


def excessive_budgets(records: Records, lag_s: float) -> Iterator[Violation]:
    """Yields attempts whose X-Budget-Ms exceeds the client's remaining time by more than the tolerance."""
    requests: dict[str, ClientRequest] = {each.id: each for each in records.requests}
    for each in _attempts(records):
        request = requests.get(each.request)
        if request is None or each.budget_ms is None or each.last_byte_s is None:
            continue
        if _overlaps_outage(records.process_outages, each.scheduler, request.sent_s, each.last_byte_s):
            continue  # the pause was longer than the rules require a scheduler to account for
        remaining_ms = request.budget_ms - (each.last_byte_s - request.sent_s) * 1000.0
        if each.budget_ms > max(remaining_ms, 1.0) + BUDGET_SLACK_MS + lag_s * 1000.0:
            text = (
                f"{each.request} to {each.worker}: "
                f"budget of {each.budget_ms} ms with {remaining_ms:.0f} ms left"
            )
            yield Violation("deadline", each.first_byte_s, text)


def max_slow_start_requests(rule: SlowStartRule, age_s: float) -> float:
    """Returns how many requests a worker may get within overload_window_s, this long after its start.

    This is the product of its present capacity, overload_multiple and the window, plus a margin: 3 times the
    square root and 3 if the product is below 30 requests, else 2 times the square root and 2.
    """
    share = min(1.0, rule.initial_fraction + (1.0 - rule.initial_fraction) * age_s / rule.slow_start_s)
    count = rule.overload_multiple * share * rule.capacity_per_s * rule.overload_window_s
    return count + (3.0 * count**0.5 + 3.0 if count < 30.0 else 2.0 * count**0.5 + 2.0)


def slow_start_overloads(records: Records, rules: RuleSet) -> Iterator[Violation]:
    """Yields overloads of workers that have just started.

    An overload counts only if more than two thirds of its requests come from schedulers that were notified of
    the worker's start. At most one violation is reported for each start.
    """
    rule = rules.slow_start
    if rule is None:
        return
    sent: dict[str, list[SentMessage]] = defaultdict(list)
    for each in _attempts(records):
        sent[each.worker].append(each)
    for change in records.changes:
        if change.phase != "active" or not change.is_start:
            continue
        end_s = change.at_s + rule.slow_start_s
        attempts = [each for each in sent[change.worker] if change.at_s <= each.first_byte_s <= end_s]
        for index, last in enumerate(attempts):
            window = [
                each
                for each in attempts[: index + 1]
                if each.first_byte_s > last.first_byte_s - rule.overload_window_s
            ]
            if len(window) <= max_slow_start_requests(rule, last.first_byte_s - change.at_s):
                continue
            notified = [
                each
                for each in window
                if notification_time_s(records, each.scheduler, change.revision, change.at_s)
                <= each.first_byte_s
            ]
            if len(notified) > 2.0 / 3.0 * len(window):
                text = (
                    f"{change.worker} got {len(window)} requests in {rule.overload_window_s} s "
                    f"during its slow start"
                )
                yield Violation("failback", last.first_byte_s, text)
                break

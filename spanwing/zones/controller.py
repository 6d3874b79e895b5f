"""The zone controller: derives the next change of the fleet's zones from the evidence of all schedulers.

Pure; the time is passed in as `now`, in ms of a monotonic clock. Each decision is at most one transaction,
which applies only if the keys it was computed from are unchanged.

The last open zone is never left, and a returning zone does not count as open. Schedulers learn of a change at
different times. A zone that was left therefore returns only once no scheduler can still use it as an open
zone, and a new feeder assignment comes into force only once no scheduler can still use the previous one. A
zone on hold changes only by an operator's orders.

Bounds: one report per session, MAX_ZONES zones.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from spanwing.json_input import decode_json
from spanwing.store.document import Document, Transaction
from spanwing.store.leader import Leader, SchedulerSession
from spanwing.zones.evidence import (
    BAD_EVIDENCE_MAX_AGE_MS,
    GOOD_EVIDENCE_MAX_AGE_MS,
    MAX_ZONES,
    EvidenceReport,
    ZoneEvidence,
    decode_report,
    short_worker_id,
)
from spanwing.zones.failure_detector import (
    DOWN_FRACTION,
    MIN_SAMPLE_WORKERS,
    Observer,
    ZoneVerdict,
    judge_zone,
    required_observers,
)
from spanwing.zones.state import (
    ASSIGNMENT_KEY,
    HISTORY_KEY,
    MAX_HISTORY_ENTRIES,
    RETURN_STEPS,
    ZONE_KEY_PREFIX,
    FeederAssignment,
    FleetZones,
    ZoneHistoryEntry,
    ZoneState,
    admission_order,
    encode_value,
    read_fleet_zones,
)

MIN_HOLD_DOWN_MS, MAX_HOLD_DOWN_MS = (
    1000.0,
    120_000.0,
)  # hold-down of a zone that was left; it doubles with each failure in a row
FAILURE_RESET_MS = 600_000.0  # after this long open, earlier failures no longer count
MIN_RETURN_STEP_MS = 600.0  # shortest time before the next step of a return; half of it before a step back
MIN_ASSIGNMENT_INTERVAL_MS = 1000.0  # between two feeder assignments
WORKER_COUNT_WINDOW_MS = 60_000.0  # workers listed within this still count as the zone's
MAX_GRADUAL_LEAVE_S = 3600.0
MAX_ZONES_TO_PROBE = 4


def _random_id() -> str:
    return secrets.token_hex(8)


class ListedWorker(NamedTuple):
    """A worker in the leader's own endpoint list."""

    id: int
    started_at_ms: float  # start of the worker by the wall clock; 0: long ago
    is_warming_up: bool


class ZoneLimits(NamedTuple):
    """The controller's limits, from the settings and the operator's file."""

    # After this, requests of a previous feeder no longer count in the overload window of a worker: the length
    # of the window plus MAX_TRANSIT_MS.
    feeder_change_delay_ms: float
    slow_start_ms: float = 0.0  # how long a worker warms up after its start
    scheduler_count: int = 1  # configured schedulers, up or down
    regions: Mapping[str, tuple[str, ...]] = {}  # zones by region
    probes_enabled: bool = True  # without probes, a zone that was left returns without evidence
    is_sampled: bool = False  # standalone mode: one scheduler does not see all workers of a zone


class ZoneOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's order for a zone or a region."""

    action: str = msgspec.field(name="do")
    target: str = msgspec.field(name="name")
    duration_s: float = msgspec.field(default=0.0, name="over_s")  # of a gradual leave; 0: leave at once
    author: str = msgspec.field(default="operator", name="by")


class ZoneController:
    """Decides the next change of the zones while this member leads.

    Implements spanwing.store.leader.Controller.
    """

    def __init__(
        self,
        limits: ZoneLimits,
        list_workers: Callable[[], Mapping[str, list[ListedWorker]]],
        wall_clock_ms: Callable[[], float],
        author: str,
        new_id: Callable[[], str] = _random_id,
    ) -> None:
        """Creates a controller without any reports.

        list_workers: returns the workers of each zone in this process's endpoint list. author: recorded as
        the author of the controller's changes. new_id: returns an id for a transaction.
        """
        self.limits, self.list_workers, self.wall_clock_ms = limits, list_workers, wall_clock_ms
        self.author, self.new_id = author, new_id
        self.reports: dict[
            str, tuple[float, str, EvidenceReport]
        ] = {}  # by session: received at (ms), zone, report
        self.revision_first_seen: dict[
            str, tuple[int, float]
        ] = {}  # by zone or ASSIGNMENT_KEY: revision, first seen at (ms)
        self.recent_workers: dict[
            str, dict[int, float]
        ] = {}  # by zone: short worker id -> last listed at (ms)
        self.returning_since_ms: dict[str, float] = {}  # by returning zone
        self.cut_off_since_ms: dict[str, float] = {}  # by zone whose verdict is "cut"
        self.gradual_leaves_ms: dict[
            str, tuple[float, float]
        ] = {}  # by zone, as ordered: start and duration (ms)
        self.parsed_document: Document | None = None
        self.fleet = read_fleet_zones(Document())

    # -- input

    def refresh_worker_list(self, now: float) -> None:
        """Records which workers each zone has.

        Called also while another member leads, since the endpoint list may drop a failed zone's workers
        before this member takes over.
        """
        self._record_listed_workers(now)

    def record_evidence(self, now: float, session: SchedulerSession, evidence: msgspec.Raw) -> None:
        """Records a session's evidence report in place of its previous one.

        Raises ValueError if the report is invalid or the session's position is outside the configured range.
        """
        if not 0 <= session.position < self.limits.scheduler_count:
            raise ValueError(
                f"position {session.position} is out of range; schedulers: {self.limits.scheduler_count}"
            )
        self.reports[session.id] = now, session.zone, decode_report(bytes(evidence))

    def _parse_document(self, document: Document) -> FleetZones:
        if document is not self.parsed_document:
            self.parsed_document, self.fleet = document, read_fleet_zones(document)
        return self.fleet

    def _ms_since_first_seen(self, now: float, name: str, revision: int) -> float:
        """Returns how long ago, in ms, this process first saw this revision of a zone or of ASSIGNMENT_KEY.

        The time for which the revision existed before, under another leader, is not included.
        """
        first_seen = self.revision_first_seen.get(name)
        if first_seen is None or first_seen[0] != revision:
            first_seen = self.revision_first_seen[name] = revision, now
        return now - first_seen[1]

    def _record_listed_workers(self, now: float) -> dict[str, list[ListedWorker]]:
        """Records the listed workers in recent_workers, and returns them by zone, at most MAX_ZONES zones."""
        listed = dict(sorted(self.list_workers().items())[:MAX_ZONES])
        for zone, workers in listed.items():
            last_listed = self.recent_workers.setdefault(zone, {})
            last_listed.update((short_worker_id(each.id), now) for each in workers)
        for zone, last_listed in list(self.recent_workers.items()):
            self.recent_workers[zone] = {
                worker: listed_at_ms
                for worker, listed_at_ms in last_listed.items()
                if now - listed_at_ms <= WORKER_COUNT_WINDOW_MS
            }
            if not self.recent_workers[zone]:
                del self.recent_workers[zone]
        return listed

    def recent_observers(self, now: float, leader: Leader) -> list[Observer]:
        """Returns the sessions that hold a lease, with the parts of their evidence that have not expired."""
        active_session_ids = {each.id for each in leader.active_sessions(now)}
        self.reports = {
            session_id: report for session_id, report in self.reports.items() if session_id in leader.sessions
        }
        return [
            Observer(
                zone,
                report.zones
                if now - received_at_ms <= GOOD_EVIDENCE_MAX_AGE_MS
                else _without_good_evidence(report.zones),
            )
            for session_id, (received_at_ms, zone, report) in self.reports.items()
            if session_id in active_session_ids and now - received_at_ms <= BAD_EVIDENCE_MAX_AGE_MS
        ]

    def _judge_zone(self, name: str, observers: list[Observer]) -> ZoneVerdict:
        return judge_zone(
            name, observers, self.recent_workers[name], self.limits.scheduler_count, self.limits.is_sampled
        )

    def zones_to_probe(self, now: float, leader: Leader) -> tuple[str, ...]:
        """Returns open zones that a credible observer reports as down, but on which the verdict is unknown.

        More evidence is needed on these. Zones on hold are left out. Returns at most MAX_ZONES_TO_PROBE.
        """
        undecided_zones = []
        observers = self.recent_observers(now, leader)
        for name in self.recent_workers:
            zone = self.fleet.get_zone(name)
            if zone.state == "open" and not zone.on_hold:
                verdict = self._judge_zone(name, observers)
                if verdict.agreeing_observers and verdict.finding == "unknown":
                    undecided_zones.append(name)
        return tuple(undecided_zones[:MAX_ZONES_TO_PROBE])

    # -- decisions

    def decide_next_change(self, now: float, document: Document, leader: Leader) -> Transaction | None:
        """Returns the next change that is due, or None.

        Changes are considered in this order: leave failed zones, finish leaving a zone, advance a return,
        assign feeders.
        """
        fleet, listed = self._parse_document(document), self._record_listed_workers(now)
        for name, revision in fleet.revisions.items():
            self._ms_since_first_seen(now, name, revision)
            if fleet.get_zone(name).state == "returning":
                self.returning_since_ms.setdefault(name, now)
            else:
                self.returning_since_ms.pop(name, None)
        observers = self.recent_observers(now, leader)
        changed_zones = (
            self._leave_failed_zones(now, fleet, listed, observers)
            or self._finish_leaving(now, fleet, leader)
            or self._advance_return(now, fleet, listed, observers, leader)
        )
        if changed_zones:
            return self._zones_transaction(document, fleet, changed_zones)
        return self._assign_feeders(now, document, fleet, listed, leader)

    def _zones_transaction(
        self, document: Document, fleet: FleetZones, changed_zones: Mapping[str, ZoneState]
    ) -> Transaction:
        """Returns the transaction that writes these zones and their history entries."""
        revision, wall_ms = document.revision + 1, self.wall_clock_ms()
        history = [
            *fleet.history,
            *(
                ZoneHistoryEntry(
                    revision,
                    wall_ms,
                    name,
                    _state_label(each),
                    each.step,
                    each.reason,
                    each.author,
                    each.share,
                )
                for name, each in changed_zones.items()
            ),
        ]
        writes = {ZONE_KEY_PREFIX + name: encode_value(each) for name, each in changed_zones.items()}
        expected_revisions = document.current_revisions(*writes, HISTORY_KEY)
        return Transaction(
            self.new_id(),
            {**writes, HISTORY_KEY: encode_value(history[-MAX_HISTORY_ENTRIES:])},
            expected_revisions,
        )

    def _hold_down_ms(self, zone: ZoneState) -> float:
        """Returns how long a zone that was left must stay left; longer after several failures in a row."""
        return min(MAX_HOLD_DOWN_MS, MIN_HOLD_DOWN_MS * 2 ** min(10, max(0, zone.failures - 1)))

    def _leave_failed_zones(
        self,
        now: float,
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
        observers: list[Observer],
    ) -> dict[str, ZoneState]:
        """Returns the new states of the zones to leave, by name.

        These are the failed zones, and all zones of a region once at least half of them, and at least two,
        have failed or been left. At least one open zone is kept.
        """
        failed_zones: dict[str, tuple[ZoneVerdict, str]] = {}
        for name in self.recent_workers:  # includes a zone whose workers the endpoint list just dropped
            zone = fleet.get_zone(name)
            if zone.state == "open" and not zone.on_hold:
                verdict = self._judge_zone(name, observers)
                if verdict.finding != "cut":
                    self.cut_off_since_ms.pop(name, None)
                # Schedulers in a zone that has just failed still have good evidence from before the failure.
                # The zone counts as cut off only after this evidence must have expired.
                is_cut_off = (
                    verdict.finding == "cut"
                    and now - self.cut_off_since_ms.setdefault(name, now) > 2 * GOOD_EVIDENCE_MAX_AGE_MS
                )
                if verdict.finding == "failed" or is_cut_off:
                    failed_zones[name] = verdict, f"{verdict.finding}: {verdict}"
        if not failed_zones:
            return {}
        left_zones = {name for name, zone in fleet.zones.items() if zone.state in ("leaving", "left")}
        for region, names in self.limits.regions.items():
            lost_zones = [name for name in names if name in failed_zones or name in left_zones]
            if len(lost_zones) >= max(2, math.ceil(len(names) / 2)):
                for name in names:
                    if (
                        name in listed
                        and name not in failed_zones
                        and name not in left_zones
                        and not fleet.get_zone(name).on_hold
                    ):
                        verdict = self._judge_zone(name, observers)
                        failed_zones[name] = (
                            verdict,
                            f"region {region}: {', '.join(lost_zones)} have failed; {verdict}",
                        )
        # A returning zone is not counted as open: it takes only part of the load and may be left again.
        open_zones = {name for name in listed if listed[name] and fleet.get_zone(name).state == "open"}
        if open_zones <= set(failed_zones):  # keep the zone with the largest fraction of good workers
            candidates_to_keep = sorted(open_zones) or sorted(failed_zones)
            del failed_zones[
                max(
                    candidates_to_keep,
                    key=lambda name: (
                        failed_zones[name][0].good_workers / max(1, failed_zones[name][0].known_workers)
                    ),
                )
            ]
        return {
            name: self._leaving_state(
                now, name, fleet, verdict, reason, observers, set(failed_zones) | left_zones
            )
            for name, (verdict, reason) in failed_zones.items()
        }

    def _leaving_state(
        self,
        now: float,
        name: str,
        fleet: FleetZones,
        verdict: ZoneVerdict,
        reason: str,
        observers: list[Observer],
        unavailable_zones: set[str],
    ) -> ZoneState:
        """Returns the leaving state of a zone.

        Part of a failed zone stays in use if some of its workers are good and the other zones have fewer idle
        slots than it has slots in flight.
        """
        zone = fleet.get_zone(name)
        has_been_stable = (
            name in fleet.revisions
            and self._ms_since_first_seen(now, name, fleet.revisions[name]) > FAILURE_RESET_MS
        )
        evidence = [
            (zone_name, each) for observer in observers for zone_name, each in observer.evidence.items()
        ]
        slots_in_flight = sum(each.slots_in_flight for zone_name, each in evidence if zone_name == name)
        idle_slots = sum(
            each.idle_slots for zone_name, each in evidence if zone_name not in unavailable_zones
        )
        share = 0.0
        if verdict.finding == "failed" and verdict.good_workers and slots_in_flight > idle_slots:
            share = min(verdict.good_workers / verdict.known_workers, 1.0 - idle_slots / slots_in_flight)
            reason += f"; in part, {idle_slots:.0f} slots are idle elsewhere for {slots_in_flight:.0f}"
        failures = 1 if has_been_stable else zone.failures + 1
        return ZoneState("leaving", 0, share, verdict.finding == "cut", False, failures, reason, self.author)

    def _finish_leaving(self, now: float, fleet: FleetZones, leader: Leader) -> dict[str, ZoneState]:
        """Returns the new states of zones that are leaving, by name.

        A zone in a gradual leave gets its next smaller share. Any other zone gets the state "left" once every
        session has acknowledged the zone's last revision or has expired.
        """
        changed_zones = {}
        for name, zone in fleet.zones.items():
            if zone.state != "leaving":
                continue
            gradual_leave = self.gradual_leaves_ms.get(name)
            if gradual_leave is not None:
                remaining_share = 1.0 - (now - gradual_leave[0]) / gradual_leave[1]
                if remaining_share > 0:
                    share = math.ceil(remaining_share * RETURN_STEPS) / RETURN_STEPS
                    if share < zone.share:
                        changed_zones[name] = _zone_with(zone, share=share)
                    continue
                del self.gradual_leaves_ms[name]
                changed_zones[name] = _zone_with(zone, share=0.0)
            elif self._is_known_to_all(now, fleet.revisions[name], leader):
                changed_zones[name] = _zone_with(
                    zone, state="left", share=0.0 if zone.on_hold else zone.share
                )
        return changed_zones

    def _is_known_to_all(self, now: float, revision: int, leader: Leader) -> bool:
        # Sessions known only to an earlier leader have expired once this leadership has lasted for one lease.
        return leader.has_lease_expired("", now) and leader.is_acknowledged_by(
            revision, list(leader.sessions), now
        )

    def _advance_return(
        self,
        now: float,
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
        observers: list[Observer],
        leader: Leader,
    ) -> dict[str, ZoneState]:
        """Returns the next state of one zone that was left or is returning.

        A zone that was left returns after its hold-down if enough workers are good. A returning zone advances
        by one step if enough of the workers admitted so far are good, and goes back by one if too many are
        bad. It opens after the last step once no worker is warming up.
        """
        for name, zone in fleet.zones.items():
            if zone.on_hold or zone.state not in ("left", "returning"):
                continue
            revision, workers = fleet.revisions[name], listed.get(name, [])
            elapsed_ms = self._ms_since_first_seen(now, name, revision)
            if zone.state == "left":
                if (
                    not workers
                    or elapsed_ms < self._hold_down_ms(zone)
                    or not self._is_known_to_all(now, revision, leader)
                ):
                    continue
                summary = self._summarize_evidence(name, observers, [each.id for each in workers])
                if (
                    not self.limits.probes_enabled
                    or summary.good_workers >= DOWN_FRACTION * self._expected_count(summary, len(workers))
                ):
                    elapsed_s = elapsed_ms / 1000
                    reason = f"{summary.good_workers} of {len(workers)} answer again after {elapsed_s:.1f} s"
                    return {name: self._begin_return(now, zone, workers, elapsed_ms, reason, self.author)}
                continue
            admitted = admission_order([each.id for each in workers])[
                : math.ceil(zone.step / RETURN_STEPS * len(workers))
            ]
            summary = self._summarize_evidence(name, observers, admitted)
            down_threshold = max(1, math.ceil(DOWN_FRACTION * (summary.good_workers + summary.bad_workers)))
            if admitted and summary.bad_workers >= down_threshold and elapsed_ms >= MIN_RETURN_STEP_MS / 2:
                previous_step = zone.step - 1
                reason = (
                    f"{summary.bad_workers} of {len(admitted)} admitted workers are down at step {zone.step}"
                )
                if previous_step:
                    return {name: _zone_with(zone, step=previous_step, reason=reason, author=self.author)}
                return {
                    name: _zone_with(
                        zone,
                        state="leaving",
                        step=0,
                        failures=zone.failures + 1,
                        reason=reason,
                        author=self.author,
                    )
                }
            if elapsed_ms < MIN_RETURN_STEP_MS or summary.good_workers < DOWN_FRACTION * self._expected_count(
                summary, len(admitted)
            ):
                continue
            if zone.step < RETURN_STEPS:
                return {
                    name: _zone_with(
                        zone,
                        step=zone.step + 1,
                        author=self.author,
                        reason=f"{summary.good_workers} of {len(admitted)} admitted workers are well",
                    )
                }
            if now - self.returning_since_ms[name] >= self.limits.slow_start_ms and not any(
                each.is_warming_up for each in workers
            ):
                return {name: _zone_with(zone, state="open", step=0, reason="whole", author=self.author)}
        return {}

    def _begin_return(
        self,
        now: float,
        zone: ZoneState,
        workers: list[ListedWorker],
        elapsed_ms: float,
        reason: str,
        author: str,
    ) -> ZoneState:
        """Returns the zone's state at the first step of a return.

        A worker that the endpoint list shows as started after the zone was left warms up from that start. For
        any other worker the list may be outdated, so it is treated as just started.
        """
        left_at_wall_ms = self.wall_clock_ms() - elapsed_ms - self.limits.feeder_change_delay_ms
        worker_starts_ms = {
            str(short_worker_id(each.id)): each.started_at_ms
            for each in workers
            if each.started_at_ms >= left_at_wall_ms
        }
        return _zone_with(
            zone,
            state="returning",
            step=1,
            used_by_own_zone=False,
            share=0.0,
            on_hold=False,
            worker_starts_ms=worker_starts_ms,
            reason=reason,
            author=author,
        )

    def _assign_feeders(
        self,
        now: float,
        document: Document,
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
        leader: Leader,
    ) -> Transaction | None:
        """Returns the next change of the feeder assignment in returning zones, or None.

        A new assignment is announced first and comes into force once all sessions of the previous one have
        acknowledged it or have expired. Without a returning zone there is no assignment.
        """
        assignment, expected_revisions = fleet.feeder_assignment, document.current_revisions(ASSIGNMENT_KEY)
        returning = [name for name, zone in fleet.zones.items() if zone.state == "returning"]
        if not returning:
            return (
                None
                if assignment is None
                else Transaction(self.new_id(), {ASSIGNMENT_KEY: None}, expected_revisions)
            )
        sessions = sorted(each.id for each in leader.active_sessions(now))
        if assignment is None:
            return (
                Transaction(
                    self.new_id(),
                    {ASSIGNMENT_KEY: encode_value(FeederAssignment(1, sessions, [], True))},
                    expected_revisions,
                )
                if sessions
                else None
            )
        elapsed_ms = self._ms_since_first_seen(now, ASSIGNMENT_KEY, fleet.assignment_revision)
        if not assignment.in_force:
            if leader.is_acknowledged_by(fleet.assignment_revision, assignment.previous_sessions, now):
                return Transaction(
                    self.new_id(),
                    {ASSIGNMENT_KEY: encode_value(_assignment_with(assignment, in_force=True))},
                    expected_revisions,
                )
            return None
        if elapsed_ms < MIN_ASSIGNMENT_INTERVAL_MS or sessions == assignment.sessions or not sessions:
            return None
        next_assignment = FeederAssignment(assignment.number + 1, sessions, assignment.sessions)
        return Transaction(self.new_id(), {ASSIGNMENT_KEY: encode_value(next_assignment)}, expected_revisions)

    def _summarize_evidence(
        self, name: str, observers: list[Observer], workers: list[int]
    ) -> EvidenceSummary:
        """Counts the good and bad workers of a zone.

        Only observers with good evidence on some worker of some zone have a vote. With more than two
        schedulers, a single observer cannot make a worker count as bad.
        """
        worker_ids = {short_worker_id(each) for each in workers}
        votes, reported_workers = dict.fromkeys(worker_ids, 0), set[int]()
        for each in observers:
            zone_evidence = each.evidence.get(name)
            if zone_evidence is None or not any(other.healthy_workers for other in each.evidence.values()):
                continue
            for reported_ids, weight in (
                (zone_evidence.healthy_workers, 1),
                (zone_evidence.faulty_workers, -1),
            ):
                for worker in worker_ids.intersection(reported_ids):
                    votes[worker] += weight
                    reported_workers.add(worker)
        good_count = sum(
            votes[each] > 0 or (votes[each] == 0 and each in reported_workers) for each in worker_ids
        )
        required_votes = required_observers(min(3, self.limits.scheduler_count), len(observers))
        return EvidenceSummary(
            good_count, sum(votes[each] <= -required_votes for each in worker_ids), len(reported_workers)
        )

    def _expected_count(self, summary: EvidenceSummary, worker_count: int) -> int:
        """Returns the worker count of which the fraction DOWN_FRACTION has to be good.

        This is worker_count. If only a sample of the workers is seen, it is the number of workers with
        evidence, but at least MIN_SAMPLE_WORKERS, or worker_count if that is less.
        """
        return (
            max(summary.reported_workers, min(MIN_SAMPLE_WORKERS, worker_count))
            if self.limits.is_sampled
            else worker_count
        )

    # -- orders

    def handle_order(
        self, now: float, order: msgspec.Raw, document: Document, leader: Leader
    ) -> tuple[Transaction | None, str]:
        """Returns the transaction that carries out an operator's order, and the answer's text.

        Raises ValueError with the reason if the order is rejected.
        """
        zone_order = decode_json(bytes(order), ZoneOrder)
        fleet, listed = self._parse_document(document), self._record_listed_workers(now)
        names = self.limits.regions.get(zone_order.target, (zone_order.target,))
        unknown = [name for name in names if name not in self.recent_workers and name not in fleet.zones]
        if unknown:
            raise ValueError(
                f"{unknown[0]!r} is no zone or region that has job workers; "
                f"known: {', '.join(sorted({*self.recent_workers, *self.limits.regions}))}"
            )
        if not 0 <= zone_order.duration_s <= MAX_GRADUAL_LEAVE_S:
            raise ValueError(f"--over must be from 0 to {MAX_GRADUAL_LEAVE_S:.0f} seconds")
        changed_zones = getattr(self, f"_order_{zone_order.action}", self._order_unknown)(
            now, zone_order, names, fleet, listed
        )
        message = f"{zone_order.target}: {zone_order.action} ordered, number {document.revision + 1}"
        return self._zones_transaction(document, fleet, changed_zones), message

    def _order_unknown(self, now: float, order: ZoneOrder, *_: object) -> dict[str, ZoneState]:
        raise ValueError(f"unknown order {order.action[:20]!r}")

    def _order_leave(
        self,
        now: float,
        order: ZoneOrder,
        names: tuple[str, ...],
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
    ) -> dict[str, ZoneState]:
        remaining_zones = [
            name
            for name, workers in listed.items()
            if workers and name not in names and fleet.get_zone(name).state in ("open", "returning")
        ]
        if not remaining_zones:
            raise ValueError(f"{order.target}: no other zone is in use, and the last one is never left")
        if all(
            fleet.get_zone(name).state in ("leaving", "left") and fleet.get_zone(name).on_hold
            for name in names
        ):
            raise ValueError(f"{order.target} is left already, by an order")
        share = 1.0 if order.duration_s else 0.0
        for name in names:
            self.gradual_leaves_ms.pop(name, None)
            if order.duration_s:
                self.gradual_leaves_ms[name] = now, order.duration_s * 1000.0
        return {
            name: ZoneState(
                "leaving", 0, share, False, True, fleet.get_zone(name).failures, "ordered", order.author
            )
            for name in names
        }

    def _order_return(
        self,
        now: float,
        order: ZoneOrder,
        names: tuple[str, ...],
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
    ) -> dict[str, ZoneState]:
        changed_zones = {}
        for name in names:
            zone = fleet.get_zone(name)
            if zone.state == "leaving":
                raise ValueError(f"{name} is still being left: not all schedulers have heard, or lapsed")
            if zone.state == "left":
                elapsed_ms = self._ms_since_first_seen(now, name, fleet.revisions[name])
                changed_zones[name] = self._begin_return(
                    now, zone, listed.get(name, []), elapsed_ms, "ordered", order.author
                )
        if not changed_zones:
            raise ValueError(f"{order.target} is not left")
        return changed_zones

    def _order_hold(
        self,
        now: float,
        order: ZoneOrder,
        names: tuple[str, ...],
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
    ) -> dict[str, ZoneState]:
        return self._set_hold(order, names, fleet, True)

    def _order_release(
        self,
        now: float,
        order: ZoneOrder,
        names: tuple[str, ...],
        fleet: FleetZones,
        listed: Mapping[str, list[ListedWorker]],
    ) -> dict[str, ZoneState]:
        return self._set_hold(order, names, fleet, False)

    def _set_hold(
        self, order: ZoneOrder, names: tuple[str, ...], fleet: FleetZones, on_hold: bool
    ) -> dict[str, ZoneState]:
        reason = "held by order" if on_hold else "released by order"
        changed_zones = {
            name: _zone_with(fleet.get_zone(name), on_hold=on_hold, reason=reason, author=order.author)
            for name in names
            if fleet.get_zone(name).on_hold != on_hold
        }
        if not changed_zones:
            raise ValueError(f"{order.target} is {'held already' if on_hold else 'not held'}")
        return changed_zones


def _without_good_evidence(zones: Mapping[str, ZoneEvidence]) -> dict[str, ZoneEvidence]:
    """Returns a report's evidence without the good evidence, which expires earlier than the bad."""
    return {name: msgspec.structs.replace(evidence, healthy_workers=[]) for name, evidence in zones.items()}


class EvidenceSummary(NamedTuple):
    """How many workers of a zone count as good or bad by the evidence of all observers."""

    good_workers: int
    bad_workers: int
    reported_workers: int  # workers on which there is any evidence


def _zone_with(zone: ZoneState, **changes: object) -> ZoneState:
    return msgspec.structs.replace(zone, **changes)


def _assignment_with(assignment: FeederAssignment, **changes: object) -> FeederAssignment:
    return msgspec.structs.replace(assignment, **changes)


def _state_label(zone: ZoneState) -> str:
    return f"{zone.state}, held" if zone.on_hold else zone.state

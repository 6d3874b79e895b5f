"""Simulates fleets whose schedulers leave failed zones and return to them.

In a LeaderFleet one leader decides for all schedulers; in a StandaloneFleet each scheduler decides by itself.
The decisions come from the production code: leader, zone controller, lease, routing filter and evidence
collector. The model adds the network, which delays messages and loses them in a partition. It simplifies the
store: the document changes at once instead of by a quorum, and another member replaces a stopped leader
TAKEOVER_DELAY_MS later. The same plan and seed give the same run.
"""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.simulation.fleet import FleetSimulation
from spanwing.simulation.scheduler import SimulatedScheduler
from spanwing.store.document import Document, catch_up
from spanwing.store.leader import LEADERSHIP_KEY, Leader, Leadership
from spanwing.store.lease import Lease
from spanwing.store.messages import Renew, RenewalReply
from spanwing.zones import trial_requests as trial
from spanwing.zones.agent import ZoneAgent
from spanwing.zones.controller import ListedWorker, ZoneController, ZoneLimits
from spanwing.zones.routing_filter import MAX_TRANSIT_MS, RoutingRules
from spanwing.zones.standalone import EVALUATION_INTERVAL_MS as STANDALONE_INTERVAL_MS
from spanwing.zones.standalone import StandaloneController
from spanwing.zones.state import read_fleet_zones
from spanwing.zones.unreachable_work import ZoneUnreachable

LEASE_MS, STORE_MEMBER_COUNT = 2000.0, 3
# The leader evaluates the zones at LEADER_INTERVAL_MS; a stopped leader is replaced after TAKEOVER_DELAY_MS.
# The other two are the intervals at which a follower checks its lease and looks for unused zones.
LEADER_INTERVAL_MS, TAKEOVER_DELAY_MS, LEASE_CHECK_INTERVAL_MS, UNREACHABLE_CHECK_INTERVAL_MS = (
    25.0,
    1500.0,
    50.0,
    250.0,
)
LIST_REFRESH_INTERVAL_MS = 1000.0
# A renewal follows the reply to the previous one after MIN_RENEWAL_INTERVAL_MS, an unanswered one after
# ANSWER_TIMEOUT_MS, and probes after EVIDENCE_DELAY_MS, to report their results. Attempts in a zone that is
# left are cancelled at random times within MAX_CANCEL_DELAY_MS.
MIN_RENEWAL_INTERVAL_MS, ANSWER_TIMEOUT_MS, EVIDENCE_DELAY_MS, MAX_CANCEL_DELAY_MS = (
    100.0,
    1200.0,
    100.0,
    1000.0,
)


class SimulatedFollower:
    """The part of one scheduler, in one incarnation, that follows the leader's decisions on zones."""

    def __init__(self, simulation: LeaderFleet, scheduler: SimulatedScheduler, incarnation: int) -> None:
        self.simulation, self.scheduler, self.event_queue = simulation, scheduler, simulation.event_queue
        settings = scheduler.settings
        self.session_id, self.node_index = f"{scheduler.name}.{incarnation}", settings.node_index
        self.random_source = random.Random(scheduler.seed)
        rules = RoutingRules(
            self.session_id,
            scheduler.zone,
            settings.slow_start_ms,
            settings.overload_window_ms,
            scheduler.decision_module.feeder_count,
        )
        self.zone_agent = ZoneAgent(
            rules,
            settings.node_index,
            settings.node_count,
            scheduler.decision_module.is_feeder,
            self.random_source,
        )
        self.lease, self.document = Lease(), Document()
        self.last_renewal_number = self.last_answered_renewal = 0
        self.had_lease, self.next_change_ms, self.unreachable_checked_at_ms = False, math.inf, 0.0
        scheduler.zone_routing = self
        self.event_queue.schedule_after(
            self.random_source.uniform(0, MIN_RENEWAL_INTERVAL_MS), self._send_renewal
        )
        self.event_queue.schedule_after(LEASE_CHECK_INTERVAL_MS, self._check_lease)
        self.event_queue.schedule_after(self.random_source.uniform(0, 1000.0), self._probe_in_background)

    # -- called by the scheduler; see ZoneRoutingModel

    def may_forward(self, worker_id: int) -> bool:
        """Returns whether the routing filter permits an attempt to this worker now."""
        now_ms = self.event_queue.now_ms
        return self.zone_agent.routing_filter.may_forward(
            worker_id, now_ms, self.lease.is_valid(now_ms), now_ms
        )

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """Returns the endpoint list as the decision module is to see it."""
        now_ms = self.event_queue.now_ms
        return self.zone_agent.filter_workers(endpoint_list, now_ms, now_ms, self.lease.is_valid(now_ms))

    def attempt_sent(self, worker_id: int, attempt: tuple[str, int]) -> None:
        """Records that an attempt was forwarded."""
        self.zone_agent.attempt_sent(self.event_queue.now_ms, worker_id, attempt)

    def attempt_accepted(self, worker_id: int, attempt: tuple[str, int]) -> None:
        """Records as evidence that the worker accepted an attempt."""
        self.zone_agent.evidence_collector.attempt_accepted(self.event_queue.now_ms, worker_id, attempt)

    def attempt_ended(self, worker_id: int, attempt: tuple[str, int], result: str) -> None:
        """Records the result of an attempt, and sends the probes that it calls for."""
        self._probe_workers(
            self.zone_agent.attempt_ended(self.event_queue.now_ms, worker_id, attempt, result)
        )

    def probe_finished(self, worker_id: int, result: str) -> None:
        """Records the result of a probe, and sends the probes that it calls for."""
        self._probe_workers(self.zone_agent.probe_finished(self.event_queue.now_ms, worker_id, result))

    def _probe_workers(self, worker_ids: list[int]) -> None:
        """Probes workers, and schedules a renewal that reports the results."""
        for each in worker_ids:
            self.scheduler.send_probe(each)
        if worker_ids:
            self.event_queue.schedule_after(EVIDENCE_DELAY_MS, self._send_renewal)

    # -- renewals

    def _send_renewal(self) -> None:
        """Sends a renewal of the lease with the current evidence to the leader."""
        if not self.scheduler.is_up:
            return
        self.last_renewal_number += 1
        renewal_number, now_ms, decision_module = (
            self.last_renewal_number,
            self.event_queue.now_ms,
            self.scheduler.decision_module,
        )
        self.lease.record_renewal(renewal_number, now_ms)
        evidence = msgspec.json.encode(
            self.zone_agent.build_evidence_report(now_ms, decision_module.worker_states.values(), now_ms)
        )
        message = Renew(
            renewal_number,
            self.session_id,
            self.scheduler.zone,
            self.node_index,
            self.document.revision,
            msgspec.Raw(evidence),
        )
        self.simulation.forward_renewal(self, message, len(evidence))
        self.event_queue.schedule_after(ANSWER_TIMEOUT_MS, self._renew_if_unanswered, renewal_number)

    def _renew_if_unanswered(self, renewal_number: int) -> None:
        """Sends a new renewal if this one is the last and has had no answer."""
        if self.last_answered_renewal < renewal_number == self.last_renewal_number:
            self._send_renewal()

    def handle_reply(self, reply: RenewalReply) -> None:
        """Extends the lease by a reply to a renewal, updates the document, and probes the requested zones."""
        if not self.scheduler.is_up:
            return
        previous = self.document
        self.document = catch_up(previous, reply.changes, reply.document)
        self.lease.extend(reply.message_id, reply.lease_ms)
        if self.document is not previous:
            self._handle_document_change()
        if reply.zones_to_probe:
            self._probe_workers(self.zone_agent.choose_workers_to_probe(reply.zones_to_probe))
            now_ms = self.event_queue.now_ms
            trial.start_trials(
                self.scheduler.decision_module,
                self.zone_agent.choose_trial_workers(now_ms, reply.zones_to_probe),
                now_ms,
            )
        if reply.message_id == self.last_renewal_number and reply.message_id > self.last_answered_renewal:
            self.last_answered_renewal = reply.message_id
            self.event_queue.schedule_after(MIN_RENEWAL_INTERVAL_MS, self._send_renewal)

    # -- changes of the document and the lease

    def _handle_document_change(self) -> None:
        """Applies the zones of a changed document, and cancels attempts in zones that are being left."""
        previous_zones, fleet_zones, now_ms = (
            self.zone_agent.fleet,
            read_fleet_zones(self.document),
            self.event_queue.now_ms,
        )
        self.zone_agent.routing_filter.update_zones(fleet_zones, now_ms, now_ms)
        self._update_endpoints()
        for name, zone in fleet_zones.zones.items():
            if zone.state == "leaving" and (
                previous_zones is None or previous_zones.get_zone(name).state != "leaving"
            ):
                for (request_id, attempt_number), attempt in self.scheduler.open_attempts.items():
                    endpoint = self.zone_agent.routing_filter.workers.get(attempt.worker_id)
                    if (
                        endpoint is not None
                        and endpoint.zone == name
                        and not self.may_forward(attempt.worker_id)
                    ):
                        delay_ms = self.random_source.uniform(0.0, MAX_CANCEL_DELAY_MS)
                        self.event_queue.schedule_after(
                            delay_ms, self.scheduler.cancel_if_idempotent, request_id, attempt_number
                        )

    def _update_endpoints(self) -> None:
        """Passes the workers whose permission has changed to the decision module."""
        now_ms = self.event_queue.now_ms
        self.had_lease, self.next_change_ms = (
            self.lease.is_valid(now_ms),
            self.zone_agent.routing_filter.next_change_ms(now_ms),
        )
        changed_workers = self.zone_agent.changed_workers(now_ms, self.had_lease)
        if changed_workers:
            self.scheduler.handle_event(api.WorkerList("partial", tuple(changed_workers)))
            self.zone_agent.restart_concurrency_limits(self.scheduler.decision_module)

    def _check_lease(self) -> None:
        """Reacts to a gained or lost lease, to changes that are due, and to zones that became unused."""
        if not self.scheduler.is_up:
            return
        now_ms = self.event_queue.now_ms
        if self.lease.is_valid(now_ms) != self.had_lease or now_ms >= self.next_change_ms:
            self._update_endpoints()
        if self.had_lease and now_ms >= self.unreachable_checked_at_ms + UNREACHABLE_CHECK_INTERVAL_MS:
            self.unreachable_checked_at_ms = now_ms
            for name in self.zone_agent.unused_zones():
                self.scheduler.handle_event(ZoneUnreachable(name))
        self.event_queue.schedule_after(LEASE_CHECK_INTERVAL_MS, self._check_lease)

    def _probe_in_background(self) -> None:
        """Sends the background probes about once a second."""
        if self.scheduler.is_up:
            for worker in self.zone_agent.choose_background_probes():
                self.scheduler.send_probe(worker)
            self.event_queue.schedule_after(
                self.random_source.uniform(800.0, 1200.0), self._probe_in_background
            )


class StandaloneSimulatedFollower(SimulatedFollower):
    """The zone routing of a scheduler in standalone mode, which decides by its own evidence alone."""

    def __init__(self, simulation: StandaloneFleet, scheduler: SimulatedScheduler, incarnation: int) -> None:
        settings = scheduler.settings
        limits = ZoneLimits(
            settings.overload_window_ms + MAX_TRANSIT_MS,
            settings.slow_start_ms,
            1,
            simulation.regions,
            is_sampled=True,
        )
        controller = ZoneController(
            limits,
            self._listed_workers,
            lambda: self.event_queue.now_ms,
            scheduler.name,
            lambda: f"{self.random_source.random()}",
        )
        super().__init__(simulation, scheduler, incarnation)
        self.zone_agent.routing_filter.rules = self.zone_agent.rules = self.zone_agent.rules._replace(
            is_standalone=True
        )
        self.standalone = StandaloneController(
            self.session_id, scheduler.zone, controller, self.event_queue.now_ms
        )
        self.lease = self.standalone.lease

    def _listed_workers(self) -> dict[str, list[ListedWorker]]:
        """Returns the workers that this scheduler knows, by zone."""
        return listed_workers(self.zone_agent, self.event_queue.now_ms, self.scheduler.settings.slow_start_ms)

    def _send_renewal(self) -> None:
        """Evaluates the scheduler's own evidence instead of sending it to a leader."""
        if not self.scheduler.is_up:
            return
        now_ms, decision_module = self.event_queue.now_ms, self.scheduler.decision_module
        evidence = msgspec.json.encode(
            self.zone_agent.build_evidence_report(now_ms, decision_module.worker_states.values(), now_ms)
        )
        previous_zones = read_fleet_zones(self.document)
        if self.standalone.evaluate(now_ms, evidence):
            self.document = self.standalone.document
            self.simulation.record_zone_changes(now_ms, previous_zones, read_fleet_zones(self.document))
            self._handle_document_change()
        if self.standalone.zones_to_probe:
            self._probe_workers(self.zone_agent.choose_workers_to_probe(self.standalone.zones_to_probe))
        self.event_queue.schedule_after(STANDALONE_INTERVAL_MS, self._send_renewal)

    def _probe_workers(self, worker_ids: list[int]) -> None:
        """Probes workers; the next periodic evaluation uses the results."""
        for each in worker_ids:
            self.scheduler.send_probe(each)


def listed_workers(
    zone_agent: ZoneAgent, now_ms: float, slow_start_ms: float
) -> dict[str, list[ListedWorker]]:
    """Returns the workers that a scheduler knows, by zone."""
    workers_by_zone: dict[str, list[ListedWorker]] = {}
    for each in zone_agent.routing_filter.workers.values():
        is_warming_up = each.started > 0 and now_ms < each.started + slow_start_ms
        workers_by_zone.setdefault(each.zone, []).append(ListedWorker(each.id, each.started, is_warming_up))
    return workers_by_zone


class ZoneFleet(FleetSimulation):
    """Base of the fleets in which every incarnation of a scheduler gets a new follower."""

    def _attach_follower(self, scheduler: SimulatedScheduler) -> None:
        """Creates the follower of a scheduler's incarnation."""
        raise NotImplementedError

    def start_scheduler(self, name: str) -> None:
        """Restarts a stopped scheduler with a new follower."""
        previous = next(each for each in self.schedulers if each.name == name)
        super().start_scheduler(name)
        restarted = next(each for each in self.schedulers if each.name == name)
        if restarted is not previous:
            self._attach_follower(restarted)


class StandaloneFleet(ZoneFleet):
    """A fleet in which each scheduler decides by itself on leaving and returning to zones."""

    def __init__(
        self, *arguments: Any, regions: dict[str, tuple[str, ...]] | None = None, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self.regions, self.incarnation_count = regions or {}, 0
        #: Changes by any scheduler: time (ms), zone, state, reason.
        self.zone_changes: list[tuple[float, str, str, str]] = []
        for scheduler in self.schedulers:
            self._attach_follower(scheduler)

    def _attach_follower(self, scheduler: SimulatedScheduler) -> None:
        self.incarnation_count += 1
        StandaloneSimulatedFollower(self, scheduler, self.incarnation_count)
        scheduler.receive_event(
            api.WorkerList(
                "persisted", tuple(state.entry for state in scheduler.decision_module.worker_states.values())
            )
        )

    def record_zone_changes(self, now_ms: float, previous: Any, current: Any) -> None:
        """Records the zones that a scheduler's document has changed."""
        self.zone_changes += zone_state_changes(now_ms, previous, current)


def zone_state_changes(now_ms: float, previous: Any, current: Any) -> list[tuple[float, str, str, str]]:
    """Returns the zones that differ between two states of the fleet, as time (ms), zone, state, reason."""
    return [
        (now_ms, name, zone.state, zone.reason)
        for name, zone in current.zones.items()
        if previous.get_zone(name) != zone
    ]


class LeaderFleet(ZoneFleet):
    """A fleet with a leader that decides on leaving and returning to zones for all schedulers."""

    def __init__(
        self, *arguments: Any, regions: dict[str, tuple[str, ...]] | None = None, **options: Any
    ) -> None:
        super().__init__(*arguments, **options)
        self.regions, self.document, self.incarnation_count = regions or {}, Document(), 0
        self.bytes = self.renewal_count = 0  # of all renewals; bytes counts their evidence
        self.zone_changes: list[tuple[float, str, str, str]] = []  # time (ms), zone, state, reason
        self.random_source = random.Random(self.schedulers[0].seed + 1)
        self.followers: dict[str, SimulatedFollower] = {}
        self.controllers: dict[str, ZoneController] = {}
        for scheduler in self.schedulers:
            self._attach_follower(scheduler)
        self.leader: Leader | None = None
        self.leader_name = ""  # of the scheduler that is the leader, or was it last
        self.controllers = {
            each.name: self._make_controller(each) for each in self.schedulers[:STORE_MEMBER_COUNT]
        }
        self._refresh_worker_lists()
        self._start_leading()

    def _attach_follower(self, scheduler: SimulatedScheduler) -> None:
        self.incarnation_count += 1
        self.followers[scheduler.name] = SimulatedFollower(self, scheduler, self.incarnation_count)
        if scheduler.name in self.controllers:
            self.controllers[scheduler.name] = self._make_controller(scheduler)
        scheduler.receive_event(
            api.WorkerList(
                "persisted", tuple(state.entry for state in scheduler.decision_module.worker_states.values())
            )
        )

    def _make_controller(self, scheduler: SimulatedScheduler) -> ZoneController:
        """Creates the zone controller of a store member."""
        settings, name = scheduler.settings, scheduler.name
        limits = ZoneLimits(
            settings.overload_window_ms + MAX_TRANSIT_MS,
            settings.slow_start_ms,
            settings.node_count,
            self.regions,
        )
        return ZoneController(
            limits,
            lambda: self._listed_workers(name),
            lambda: self.event_queue.now_ms,
            name,
            lambda: f"{self.random_source.random()}",
        )

    def _refresh_worker_lists(self) -> None:
        """Refreshes the worker list of every store member that is up; repeats periodically."""
        for scheduler in self.schedulers[:STORE_MEMBER_COUNT]:
            if scheduler.is_up:
                self.controllers[scheduler.name].refresh_worker_list(self.event_queue.now_ms)
        self.event_queue.schedule_after(LIST_REFRESH_INTERVAL_MS, self._refresh_worker_lists)

    def _first_member_up(self) -> SimulatedScheduler | None:
        """Returns the first store member that is up, or None."""
        return next((each for each in self.schedulers[:STORE_MEMBER_COUNT] if each.is_up), None)

    def _start_leading(self) -> None:
        """Makes the first store member that is up the leader, or retries after TAKEOVER_DELAY_MS."""
        scheduler, now_ms = self._first_member_up(), self.event_queue.now_ms
        if scheduler is None:
            self.event_queue.schedule_after(TAKEOVER_DELAY_MS, self._start_leading)
            return
        self.leader_name = scheduler.name
        self.leader = Leader(
            scheduler.name, LEASE_MS, self.controllers[scheduler.name], now_ms, self.random_source.random
        )
        leadership = msgspec.json.encode(Leadership(scheduler.name, self.document.revision)).decode()
        transaction = self.leader.takeover_transaction(now_ms, f"{self.random_source.random()}")
        self.document = self.document.apply(
            msgspec.structs.replace(transaction, writes={LEADERSHIP_KEY: leadership}, expected_revisions={})
        )
        self.leader.handle_change(now_ms, self.document)
        self._run_leader(scheduler)

    def _run_leader(self, scheduler: SimulatedScheduler) -> None:
        """Makes the leader's decisions that are due; repeats until its scheduler stops."""
        now_ms = self.event_queue.now_ms
        if not scheduler.is_up:
            self.leader = None
            self.event_queue.schedule_after(TAKEOVER_DELAY_MS, self._start_leading)
            return
        leader = self.leader
        leader.handle_read(now_ms, now_ms, self.document)
        transaction = leader.controller.decide_next_change(now_ms, self.document, leader)
        if transaction is not None:
            previous_zones, self.document = read_fleet_zones(self.document), self.document.apply(transaction)
            self.zone_changes += zone_state_changes(now_ms, previous_zones, read_fleet_zones(self.document))
            leader.handle_change(now_ms, self.document)
        leader.answer_due_renewals(now_ms)
        self.event_queue.schedule_after(LEADER_INTERVAL_MS, self._run_leader, scheduler)

    def _listed_workers(self, name: str) -> dict[str, list[ListedWorker]]:
        """Returns the workers that the scheduler of this name knows, by zone."""
        follower = self.followers[name]
        return listed_workers(
            follower.zone_agent, self.event_queue.now_ms, follower.scheduler.settings.slow_start_ms
        )

    def forward_renewal(self, follower: SimulatedFollower, renewal: Renew, evidence_bytes: int) -> None:
        """Sends a renewal to the leader, and its reply to the follower; both may be lost."""
        self.renewal_count, self.bytes = self.renewal_count + 1, self.bytes + evidence_bytes
        leader = self.leader
        leader_zone = self.followers[self.leader_name].scheduler.zone if leader is not None else ""
        delay_ms = (
            None if leader is None else self.network.message_delay_ms(follower.scheduler.zone, leader_zone)
        )
        if delay_ms is None:
            return

        def send_reply(reply: RenewalReply) -> None:
            reply_delay_ms = self.network.message_delay_ms(leader_zone, follower.scheduler.zone)
            if reply_delay_ms is not None:
                self.event_queue.schedule_after(reply_delay_ms, follower.handle_reply, reply)

        def deliver() -> None:
            if self.leader is leader:
                leader.handle_renewal(self.event_queue.now_ms, renewal, send_reply)

        self.event_queue.schedule_after(delay_ms, deliver)

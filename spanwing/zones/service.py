"""The zone service of a scheduler process: connects the zone agent to the document and the request manager.

At a member of the store it also runs the zone controller. The request manager never waits for this service:
it calls may_forward(), which reads a precomputed local structure. Changes reach the decision module as watch
events of workers, and the log as one event per changed zone.

Probes: one worker of an open zone about every second; in a zone that is not open, PROBES_PER_WORKER_PER_S to
each worker by all schedulers together; after a fault in an open zone at most five per
FAULT_PROBE_INTERVAL_MS. When the leader asks, as many for each zone it names, and one trial request. When a
zone is left, attempts of idempotent requests in flight there are cancelled, each after a random delay of up
to MAX_CANCEL_DELAY_S.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.request_manager import RequestManager
from spanwing.log import log_event
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.store.document import Document
from spanwing.store.document_service import DocumentService
from spanwing.store.follower import DocumentFollower
from spanwing.store.lease import clock_ms
from spanwing.store.messages import OrderResult
from spanwing.store.peer import PeerListener
from spanwing.store.store import Store
from spanwing.zones import trial_requests
from spanwing.zones.agent import ZoneAgent
from spanwing.zones.controller import ListedWorker, ZoneController, ZoneLimits, ZoneOrder
from spanwing.zones.routing_filter import MAX_TRANSIT_MS, RoutingRules
from spanwing.zones.standalone import EVALUATION_INTERVAL_MS, StandaloneController
from spanwing.zones.state import RETURN_STEPS, ZoneState, read_fleet_zones
from spanwing.zones.unreachable_work import ZoneUnreachable

TIMER_INTERVAL_S = 0.05
MAX_CANCEL_DELAY_S = 1.0
UNREACHABLE_CHECK_INTERVAL_S = 0.25
FIRST_CONTACT_TIMEOUT_S, FIRST_CONTACT_CHECK_S = 1.0, 0.01  # of a start that waits for the state of the zones
PROBE_RESULT_DELAY_S = 0.1  # from sending probes to reporting their results


class ZoneSettings(Protocol):
    """The validated [zones] table of the operator's file; without members, each scheduler is standalone."""

    members: dict[str, Address]
    regions: dict[str, tuple[str, ...]]
    lease_ms: float


class DocumentConnection(Protocol):
    """A running follower of the fleet's document, as the policy service starts it before the zones."""

    follower: DocumentFollower
    document_service: DocumentService | None
    on_probe_request: Callable[[tuple[str, ...]], None]
    on_document_change: Callable[[Document], None]  # called at each change
    on_policy_change: list[Callable[[api.Settings], None]]  # called when a policy takes effect here


class StandaloneFollower:
    """Replaces the DocumentFollower in standalone mode: evaluates the evidence in this process."""

    connected_member, last_failure = "itself", ""

    def __init__(
        self,
        controller: StandaloneController,
        collect_evidence: Callable[[], bytes],
        on_change: Callable[[Document], None],
        on_probe_request: Callable[[tuple[str, ...]], None],
    ) -> None:
        self.controller, self.collect_evidence, self.on_change, self.on_probe_request = (
            controller,
            collect_evidence,
            on_change,
            on_probe_request,
        )
        self.session, self.lease = controller.session, controller.lease

    @property
    def document(self) -> Document:
        """The document of the standalone controller."""
        return self.controller.document

    def renew_now(self) -> None:
        """Does nothing, since the evidence is evaluated every EVALUATION_INTERVAL_MS anyway."""

    async def submit_order(self, order: ZoneOrder) -> OrderResult:
        """Carries out an operator's order; returns its result."""
        try:
            text = self.controller.handle_order(clock_ms(), order)
        except ValueError as error:
            return OrderResult(0, False, str(error))
        self.on_change(self.document)
        return OrderResult(0, True, text)

    async def run(self) -> None:
        """Evaluates the evidence every EVALUATION_INTERVAL_MS until the process ends."""
        while True:
            await sleep(EVALUATION_INTERVAL_MS / 1000.0)
            if self.controller.evaluate(clock_ms(), self.collect_evidence()):
                self.on_change(self.document)
            if self.controller.zones_to_probe:
                self.on_probe_request(self.controller.zones_to_probe)


class ZoneService:
    """Follows the fleet's zones and applies them to the request manager of one scheduler process."""

    def __init__(
        self,
        name: str,
        zone_settings: ZoneSettings,
        request_manager: RequestManager,
        buffers: BufferPool,
        seed: int,
        connection: DocumentConnection | None = None,
    ) -> None:
        """Creates the service and registers it with the request manager.

        seed: of the random stream for probes and cancel delays. connection: a follower that is already
        running; None: start() starts one.
        """
        settings = request_manager.settings
        self.name, self.zone_settings, self.request_manager, self.random_source = (
            name,
            zone_settings,
            request_manager,
            random.Random(seed),
        )
        self.announced_lease: bool | None = None  # whether the lease was valid at the last announcement
        self.next_change_ms = float("inf")
        self.document_service: DocumentService | None = None

        def probe_zones(zones: tuple[str, ...]) -> None:
            self._probe_workers(self.agent.choose_workers_to_probe(zones))
            trial_requests.start_trials(
                self.request_manager.scheduler,
                self.agent.choose_trial_workers(clock_ms(), zones),
                self.request_manager.clock.now_ms(),
            )

        self.connection = connection
        if connection is not None:
            self.follower = connection.follower
            self.follower.collect_evidence, connection.on_probe_request, connection.on_document_change = (
                self._collect_evidence,
                probe_zones,
                self._handle_document_change,
            )
            connection.on_policy_change.append(self._handle_policy_change)
        elif zone_settings.members:
            self.follower = DocumentFollower(
                name,
                settings.zone,
                settings.node_index,
                zone_settings.members,
                buffers,
                self._collect_evidence,
                self._handle_document_change,
                probe_zones,
            )
        else:
            controller = self._create_controller(name)
            self.follower = StandaloneFollower(
                StandaloneController(name, settings.zone, controller, clock_ms()),
                self._collect_evidence,
                self._handle_document_change,
                probe_zones,
            )
        rules = RoutingRules(
            self.follower.session,
            settings.zone,
            settings.slow_start_ms,
            settings.overload_window_ms,
            request_manager.scheduler.feeder_count,
            not zone_settings.members,
        )
        self.agent = ZoneAgent(
            rules,
            settings.node_index,
            settings.node_count,
            lambda worker: request_manager.scheduler.is_feeder(worker),
            self.random_source,
        )
        self.agent.evidence_collector.is_alone = isinstance(self.follower, StandaloneFollower)
        request_manager.zone_routing = self
        if connection is not None and self.follower.document.revision:
            self._handle_document_change(self.follower.document)

    def serve_as_member(self, store: Store, listener: PeerListener) -> None:
        """Runs the zone controller at this member of the store; it decides while this member leads."""
        controller = self._create_controller(store.member)
        if self.connection is not None:
            self.document_service = self.connection.document_service
            self.document_service.controller.attach_zone_controller(controller)
        else:
            self.document_service = DocumentService(store, listener, controller, self.zone_settings.lease_ms)

    def _create_controller(self, author: str) -> ZoneController:
        settings, has_members = self.request_manager.settings, bool(self.zone_settings.members)
        limits = ZoneLimits(
            settings.overload_window_ms + MAX_TRANSIT_MS,
            settings.slow_start_ms,
            settings.node_count if has_members else 1,
            self.zone_settings.regions,
            settings.probes,
            not has_members,
        )
        return ZoneController(limits, self._list_workers, lambda: time.time() * 1000.0, author)

    def start(self) -> None:
        """Starts the background tasks, which run until the process ends."""
        if self.connection is None:
            spawn_task(self.follower.run())
            if self.document_service is not None:
                spawn_task(self.document_service.run())
        spawn_task(self._run_timer())
        if self.request_manager.settings.probes:
            spawn_task(self._run_background_probes())

    async def wait_for_first_contact(self) -> None:
        """Waits for the state of the zones from a member, FIRST_CONTACT_TIMEOUT_S at most.

        Until then all zones count as open. A scheduler that accepted clients would forward to zones that the
        fleet has left.
        """
        due_s = IOLoop.current().time() + FIRST_CONTACT_TIMEOUT_S
        is_followed = bool(self.zone_settings.members)
        while is_followed and not self.follower.has_lease() and IOLoop.current().time() < due_s:
            await sleep(FIRST_CONTACT_CHECK_S)

    # -- called by the request manager

    def may_forward(self, worker: int) -> bool:
        """Returns whether a request may be forwarded to this worker now.

        The request manager asks before it hands an attempt to a connection, and again before the attempt's
        last byte is written.
        """
        now = clock_ms()
        return self.agent.routing_filter.may_forward(
            worker, now, self.follower.lease.is_valid(now), self.request_manager.clock.now_ms()
        )

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """Returns the watch event for the decision module, with workers filtered by the zones."""
        now = clock_ms()
        self.announced_lease = self.follower.lease.is_valid(now)
        return self.agent.filter_workers(
            endpoint_list, now, self.request_manager.clock.now_ms(), self.announced_lease
        )

    def attempt_sent(self, worker: int, attempt: tuple[str, int]) -> None:
        """Records that an attempt was sent to a worker."""
        self.agent.attempt_sent(clock_ms(), worker, attempt)

    def attempt_accepted(self, worker: int, attempt: tuple[str, int]) -> None:
        """Records that a worker accepted an attempt."""
        self.agent.evidence_collector.attempt_accepted(clock_ms(), worker, attempt)

    def attempt_ended(self, worker: int, attempt: tuple[str, int], result: str) -> None:
        """Records how an attempt ended, and probes workers if it ended in a fault."""
        self._probe_workers(self.agent.attempt_ended(clock_ms(), worker, attempt, result))

    def probe_finished(self, worker: int, result: str, elapsed_ms: float) -> None:
        """Records how a probe ended, and probes more workers if it ended in a fault."""
        self._probe_workers(self.agent.probe_finished(clock_ms(), worker, result, elapsed_ms))

    def _probe_workers(self, workers: list[int]) -> None:
        """Probes these workers, and reports the results with a renewal after PROBE_RESULT_DELAY_S."""
        if not workers:
            return
        if self.request_manager.settings.probes:
            for each in workers:
                self.request_manager.probe_worker(each)
        IOLoop.current().call_later(PROBE_RESULT_DELAY_S, self.follower.renew_now)

    # -- changes of the document, the policy and the lease

    def _handle_document_change(self, document: Document) -> None:
        """Applies a new document. The follower acknowledges its revision after this returns."""
        previous_zones, fleet = self.agent.fleet, read_fleet_zones(document)
        self.agent.routing_filter.update_zones(fleet, clock_ms(), self.request_manager.clock.now_ms())
        self._announce_changed_workers()
        for name, zone in fleet.zones.items():
            previous = previous_zones.get_zone(name) if previous_zones is not None else ZoneState()
            if zone == previous:
                continue
            log_event(
                "zone",
                rate_limited=False,
                zone=name,
                state=zone.state,
                step=zone.step,
                held=zone.on_hold,
                number=fleet.revisions[name],
                reason=zone.reason,
                author=zone.author,
            )
            if zone.state == "leaving" and previous.state != "leaving":
                self._cancel_repeatable_attempts(name)
        for key in fleet.unreadable_keys:
            log_event("zones_unread", level="error", key=key)

    def _handle_policy_change(self, settings: api.Settings) -> None:
        """Applies the settings of a new policy that concern the slow start of workers and their feeders."""
        rules = self.agent.rules._replace(
            slow_start_ms=settings.slow_start_ms,
            overload_window_ms=settings.overload_window_ms,
            feeder_count=self.request_manager.scheduler.feeder_count,
        )
        self.agent.rules = self.agent.routing_filter.rules = rules
        self.agent.hashed_feeders.clear()
        self._announce_changed_workers()

    def _announce_changed_workers(self) -> None:
        """Tells the decision module of workers whose use has changed."""
        now = clock_ms()
        self.announced_lease = self.follower.lease.is_valid(now)
        self.next_change_ms = self.agent.routing_filter.next_change_ms(now)
        changed = self.agent.changed_workers(now, self.announced_lease)
        if changed:
            self.request_manager.notify_schedulers(api.WorkerList("partial", tuple(changed)))
            self.agent.restart_concurrency_limits(self.request_manager.scheduler)

    async def _run_timer(self) -> None:
        """Every TIMER_INTERVAL_S, applies the changes that come with time alone.

        These are the loss and the return of the lease, and the start of feeding. Every
        UNREACHABLE_CHECK_INTERVAL_S, also ends work that only an unused zone could still do.
        """
        loop = IOLoop.current()
        announced_lease, unreachable_checked_at = None, 0.0
        while True:
            await sleep(TIMER_INTERVAL_S)
            now = clock_ms()
            has_lease = self.follower.lease.is_valid(now)
            if has_lease != announced_lease:
                announced_lease = has_lease
                log_event(
                    "zones_contact", contact=has_lease, reason="" if has_lease else self.follower.last_failure
                )
            if has_lease != self.announced_lease or now >= self.next_change_ms:
                self._announce_changed_workers()
            if has_lease and loop.time() >= unreachable_checked_at + UNREACHABLE_CHECK_INTERVAL_S:
                unreachable_checked_at = loop.time()
                for name in self.agent.unused_zones():
                    self.request_manager.notify_schedulers(ZoneUnreachable(name))

    def _cancel_repeatable_attempts(self, zone: str) -> None:
        """Cancels the attempts of idempotent requests in flight to a zone that may no longer be used.

        Each is cancelled after a random delay of up to MAX_CANCEL_DELAY_S, so that the schedulers do not all
        send their requests elsewhere at once.
        """
        loop = IOLoop.current()
        for (request, number), attempt in list(self.request_manager.in_flight.items()):
            entry = self.agent.routing_filter.workers.get(attempt.worker)
            if entry is not None and entry.zone == zone and not self.may_forward(attempt.worker):
                loop.call_later(
                    self.random_source.uniform(0.0, MAX_CANCEL_DELAY_S),
                    self.request_manager.cancel_idempotent,
                    request,
                    number,
                )

    # -- evidence and the endpoint list

    def _collect_evidence(self) -> bytes:
        decision_module = self.request_manager.scheduler
        return msgspec.json.encode(
            self.agent.build_evidence_report(
                clock_ms(), decision_module.worker_states.values(), decision_module.now
            )
        )

    async def _run_background_probes(self) -> None:
        while True:
            await sleep(self.random_source.uniform(0.8, 1.2))
            for worker in self.agent.choose_background_probes():
                self.request_manager.probe_worker(worker)

    def _list_workers(self) -> dict[str, list[ListedWorker]]:
        """Returns the workers of this process's endpoint list by zone, for the zone controller."""
        workers_by_zone: dict[str, list[ListedWorker]] = {}
        now, cold_ms = self.request_manager.clock.now_ms(), self.request_manager.settings.slow_start_ms
        for each in self.agent.routing_filter.workers.values():
            is_warming_up = each.started > 0 and now < each.started + cold_ms
            workers_by_zone.setdefault(each.zone, []).append(
                ListedWorker(each.id, each.started, is_warming_up)
            )
        return workers_by_zone

    # -- orders and status

    async def order(self, action: str, target: str, duration_s: float) -> str:
        """Submits an operator's order for a zone or a region, and returns the answer's text.

        action: "leave", "return", "hold" or "release". duration_s: over which a zone is left, 0: at once.
        Raises ValueError with the reason if the order is rejected.
        """
        result = await self.follower.submit_order(
            ZoneOrder(action, target, duration_s, f"operator at {self.name}")
        )
        if not result.is_accepted:
            raise ValueError(result.text)
        return result.text

    def status(self) -> dict[str, Any]:
        """Returns the state of the zones as this scheduler knows it, for the command line."""
        fleet, has_lease = (
            self.agent.fleet or read_fleet_zones(Document()),
            self.follower.lease.is_valid(clock_ms()),
        )
        evidence = self.agent.evidence_collector.evidence_by_zone(clock_ms())
        workers_by_zone = self.agent.routing_filter.workers_by_zone()
        zones_status = {}
        for name in sorted({*workers_by_zone, *fleet.zones}):
            zone = fleet.get_zone(name)
            zone_evidence = evidence.get(name)
            zones_status[name] = {
                "state": zone.state,
                "step": zone.step,
                "steps": RETURN_STEPS,
                "held": zone.on_hold,
                "share": zone.share,
                "inside": zone.used_by_own_zone,
                "number": fleet.revisions.get(name, 0),
                "reason": zone.reason,
                "author": zone.author,
                "failures": zone.failures,
                "workers": len(workers_by_zone.get(name, ())),
                "seen_good": len(zone_evidence.healthy_workers) if zone_evidence else 0,
                "seen_bad": len(zone_evidence.faulty_workers) if zone_evidence else 0,
                "used": sum(self.may_forward(each) for each in workers_by_zone.get(name, ())),
            }
        assignment = fleet.feeder_assignment
        rejected_renewals = (
            self.document_service.leader.rejected_renewals if self.document_service is not None else 0
        )
        return {
            "refused": rejected_renewals,
            "contact": has_lease,
            "by": self.follower.connected_member,
            "why": self.follower.last_failure,
            "revision": self.follower.document.revision,
            "session": self.follower.session,
            "zones": zones_status,
            "regions": {name: list(each) for name, each in self.zone_settings.regions.items()},
            "deal": None
            if assignment is None
            else {
                "number": assignment.number,
                "in_force": assignment.in_force,
                "sessions": len(assignment.sessions),
            },
        }

    def history(self) -> list[dict[str, Any]]:
        """Returns the last changes of the zones, at most MAX_HISTORY_ENTRIES, oldest first."""
        entries = self.agent.fleet.history if self.agent.fleet is not None else []
        return [msgspec.structs.asdict(each) for each in entries]

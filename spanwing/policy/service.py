"""The fleet's policy in the scheduler process.

It connects the participant, the policy cache and, at a member of the store, the coordinator to the request
manager. A request is accepted only under the version in force and with a valid permit; both are checked in
the event loop iteration that accepts it. While a change is closing, requests wait in the AdmissionQueue. A
new version is applied within one event loop iteration. A failing policy cache is logged and has no other
effect, as only a start without the store needs the cache.
"""

from __future__ import annotations

import logging
import math
import secrets
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec
from tornado.concurrent import Future
from tornado.gen import sleep

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.messages import ClientConnection, FinalAnswer, RequestSubmitted
from spanwing.core.request_manager import RequestManager
from spanwing.log import log_event
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.policy.admission_queue import AdmissionQueue
from spanwing.policy.cache_writer import NOT_CLOSING, PolicyCacheWriter
from spanwing.policy.combined_controller import CombinedController, PolicyOrder
from spanwing.policy.coordinator import PermitSettings, PolicyCoordinator
from spanwing.policy.participant import AdmissionDecision, PolicyParticipant
from spanwing.policy.policy_cache import PolicyCache
from spanwing.policy.records import CURRENT_KEY, PolicyVersion, read_policy
from spanwing.policy.state_transfer import create_scheduler, known_workers, transfer_worker_estimates
from spanwing.policy.validation import (
    RunningState,
    UnusablePolicyError,
    find_objection,
    settings_in_force,
)
from spanwing.store.document import Document
from spanwing.store.document_service import DocumentService
from spanwing.store.follower import DocumentFollower
from spanwing.store.lease import clock_ms
from spanwing.store.peer import PeerListener
from spanwing.store.store import Store

TIMER_INTERVAL_S = 0.02
CACHE_RENEWAL_FRACTION = 0.25  # interval between writes of the cache, as a fraction of a permit's duration
MAX_RETIRING_VERSIONS = 4  # earlier versions that may still have open requests

logger = logging.getLogger("spanwing")


class PolicySettings(Protocol):
    """The checked policy table of the operator's file; away_ms is the duration of a permit."""

    directory: str
    away_ms: float
    members: dict[str, Address]
    lease_ms: float


class UnusableVersion(NamedTuple):
    """A version in force that this scheduler cannot run under."""

    number: int
    reason: str


class PolicyService:
    """Applies the fleet's policy at one scheduler, and admits requests under it."""

    def __init__(
        self,
        name: str,
        policy_settings: PolicySettings,
        own_settings: api.Settings,
        buffers: BufferPool,
        seed: int,
    ) -> None:
        """Uses only the position and zone of own_settings. Raises PolicyCacheError."""
        self.name, self.policy_settings, self.own_settings, self.seed = (
            name,
            policy_settings,
            own_settings,
            seed,
        )
        self.cache = PolicyCache(policy_settings.directory)
        self.follower = DocumentFollower(
            name,
            own_settings.zone,
            own_settings.node_index,
            policy_settings.members,
            buffers,
            lambda: b"[{}]",
            self._handle_document_change,
            lambda zones: self.on_probe_request(zones),
        )
        self.participant = PolicyParticipant(
            self.follower.session, self._find_objection, self.follower.permit
        )
        self.follower.policy_vote = lambda: msgspec.Raw(msgspec.json.encode(self.participant.vote))
        # The zone service sets the next two.
        self.on_probe_request: Callable[[tuple[str, ...]], None] = lambda zones: None
        self.on_document_change: Callable[[Document], None] = lambda document: None
        # Called with the settings of each policy that is applied here.
        self.on_policy_change: list[Callable[[api.Settings], None]] = []
        self.request_manager: RequestManager | None = None
        self.active_version = PolicyVersion()  # the version that the scheduler runs under
        self.unusable_version: UnusableVersion | None = None  # the version in force, while it cannot be used
        self.admission_queue = AdmissionQueue(
            lambda submitted: self.request_manager.post(submitted), self._reject
        )
        self.first_version: Future[PolicyVersion] = Future()
        self.cache_writer = PolicyCacheWriter(self.cache, self.follower.renew_now)
        self.follower.acknowledgeable = self.cache_writer.acknowledgeable
        self.cache_written_at_ms = -1e9
        self.document_service: DocumentService | None = None
        for each in self.cache.skipped_files:
            log_event("policy_skipped", level="warning", rate_limited=False, file=each)
        cached_permit = self.cache.load_permit()
        if cached_permit is not None:  # of the previous incarnation; superseded once the store answers
            self.follower.permit.expires_at_ms = cached_permit[1]
            self.participant.update_policy(
                clock_ms(), msgspec.structs.replace(self.participant.policy, now=cached_permit[0])
            )

    def serve_as_member(
        self, store: Store, listener: PeerListener, initial_policy: str
    ) -> CombinedController:
        """Creates the document service and the coordinator of this member of the store.

        initial_policy is the text of the first policy, for a fleet that has none.
        """
        coordinator = PolicyCoordinator(
            PermitSettings(self.policy_settings.away_ms), lambda: time.time() * 1000.0, _random_id
        )
        coordinator.initial_policy = initial_policy
        combined_controller = CombinedController(coordinator)
        self.document_service = DocumentService(
            store, listener, combined_controller, self.policy_settings.lease_ms
        )
        self.document_service.leader.permit_authority = coordinator
        return combined_controller

    def start(self) -> None:
        """Starts the background tasks: the follower, the timer and any document service."""
        if self.document_service is not None:
            spawn_task(self.document_service.run())
        spawn_task(self.follower.run())
        spawn_task(self._run_timer())

    async def wait_for_policy(self) -> str:
        """Waits until requests may be accepted; returns the text of the version in force.

        Raises UnusablePolicyError if this scheduler cannot run under that version.
        """
        self._resolve_first_version()
        version = await self.first_version
        settings_in_force(version, self.own_settings)
        self.active_version = version
        return version.text

    def attach_request_manager(self, request_manager: RequestManager) -> None:
        """Has the request manager call admit() for each request, and applies the version in force to it."""
        self.request_manager = request_manager
        request_manager.policy_admission = self
        self._apply_current_version()

    # -- requests

    def admit(self, submitted: RequestSubmitted) -> bool:
        """Returns whether the request may be accepted now; otherwise queues or rejects it here."""
        queued = self.admission_queue.take_resubmitted(submitted)
        if queued is not None and queued.is_abandoned:
            return False  # the notice of the client's disconnect was ahead of the request in the mailbox
        decision = self.decide_admission()
        if decision.action == "take":
            if submitted.request.cls in self.request_manager.scheduler.class_indexes:
                return True
            self._reject(submitted)  # its class was removed while it was queued
        elif decision.action == "refuse":
            self._reject(submitted)
        else:
            self.request_manager.counters["policy.held"] += 1
            self.admission_queue.add(clock_ms(), submitted, queued)
        return False

    def decide_admission(self) -> AdmissionDecision:
        """Returns whether a request may be accepted now; only under the version that is in force.

        A version in force is applied in the turn of the loop in which it is heard of. If the scheduler still
        runs under another one, it cannot use the version in force, and no wait ends that.
        """
        decision = self.participant.decide_admission(clock_ms())
        if decision.action != "take" or self._runs_under(self.participant.policy.now):
            return decision
        reason = "" if self.unusable_version is None else f": {self.unusable_version.reason}"
        return AdmissionDecision(
            "refuse", decision.version, f"version {decision.version} cannot be used here{reason}"
        )

    def rejection_reason(self) -> str:
        """Returns why every request is rejected now; empty if requests are accepted or queued."""
        decision = self.decide_admission()
        return decision.reason if decision.action == "refuse" else ""

    def client_disconnected(self, request_id: str, client: ClientConnection) -> bool:
        """Drops a request that is queued and whose client has disconnected; returns whether there was one."""
        return self.admission_queue.drop(request_id, client)

    def _reject(self, submitted: RequestSubmitted) -> None:
        self.request_manager.counters["policy.refused"] += 1
        submitted.client.answer(
            submitted.request,
            FinalAnswer("refused", retry_after_ms=self.request_manager.journal_retry_after_ms),
        )

    def _release_queued(self) -> None:
        """Submits or rejects the queued requests as is decided now."""
        self.admission_queue.release(clock_ms(), self.decide_admission().action)

    # -- changes of the document

    def _handle_document_change(self, document: Document) -> None:
        """Applies a new copy of the document; the follower acknowledges it after this returns."""
        previous, policy = self.participant.policy, read_policy(document)
        if CURRENT_KEY in policy.unreadable_keys:  # the policy is closed, in no lower version
            policy = msgspec.structs.replace(policy, now=previous.now)
        if _is_of_other_store(previous.now, policy.now):
            self._start_over(previous.now, policy.now)
        if (
            policy.now.number or not previous.now.number
        ):  # an empty document does not replace a cached version
            self.participant.update_policy(clock_ms(), policy)
        self.cache_writer.update_closing(policy.change_revision if policy.is_closed() else NOT_CLOSING)
        self._log_change_steps(previous, policy)
        self._resolve_first_version()
        self._apply_current_version()
        self.on_document_change(document)

    def _start_over(self, previous: PolicyVersion, current: PolicyVersion) -> None:
        """Follows a store in which the versions do not follow on those known here.

        It was set up anew, or the member that answers lags behind the version of the policy cache. A permit
        that was granted before counts for neither; one that this store grants, by a majority, decides it.
        """
        log_event(
            "policy_restarted",
            level="warning",
            rate_limited=False,
            version=current.number,
            previous=previous.number,
        )
        self.follower.permit.expires_at_ms = -math.inf

    def _log_change_steps(self, previous: Any, policy: Any) -> None:
        """Logs an event if a change has begun, has changed its state or has ended."""
        change, previous_change = policy.change, previous.change
        is_new_step = change is not None and (
            previous_change is None
            or (previous_change.id, previous_change.state) != (change.id, change.state)
        )
        if is_new_step and policy.next is not None:  # None: the proposed version cannot be decoded
            vote = self.participant.vote
            log_event(
                "policy",
                rate_limited=False,
                step=change.state,
                version=policy.next.number,
                author=policy.next.author,
                digest=policy.next.digest,
                ready=not vote.objection,
                reason=vote.objection,
            )
        for entry in policy.history[-1:]:
            if not previous.history or previous.history[-1] != entry:
                log_event(
                    "policy",
                    rate_limited=False,
                    step="taken" if entry.taken else "not taken",
                    version=entry.number,
                    author=entry.author,
                    digest=entry.digest,
                    reason=entry.reason,
                )

    def _has_asked_store(self) -> bool:
        """Returns whether the store has answered, or every member has been tried without success.

        Until then a permit from the policy cache is not used: an operator may have declared the previous
        incarnation gone, and the fleet may have changed its policy since.
        """
        follower = self.follower
        return follower.document.revision > 0 or follower.failed_attempts >= len(follower.members)

    def _resolve_first_version(self) -> None:
        if self.first_version.done() or not self._has_asked_store():
            return
        if self.participant.decide_admission(clock_ms()).action == "take":
            self.first_version.set_result(self.participant.policy.now)

    def _apply_current_version(self) -> None:
        """Replaces the request manager's scheduler by one for the version in force, if that is newer."""
        current = self.participant.policy.now
        request_manager = self.request_manager
        if request_manager is None or current.number == 0 or self._runs_under(current):
            return
        started_at_s = time.perf_counter()
        previous_scheduler, now_ms = request_manager.scheduler, request_manager.clock.now_ms()
        try:
            settings = settings_in_force(current, self.own_settings)
            new_scheduler = create_scheduler(settings, self.seed + current.number, now_ms, previous_scheduler)
        except UnusablePolicyError as error:
            self._note_unusable(current.number, str(error))
            return
        except Exception as error:  # the connection to the store, which has brought the version, must not end
            logger.exception("fault in the application of version %s of the policy", current.number)
            self._note_unusable(current.number, repr(error))
            return
        request_manager.switch_policy(settings, new_scheduler)
        request_manager.notify_schedulers(known_workers(previous_scheduler))
        transfer_worker_estimates(new_scheduler, previous_scheduler, now_ms)
        self.active_version, self.unusable_version = current, None
        for callback in self.on_policy_change:
            callback(settings)
        log_event(
            "policy_taken",
            rate_limited=False,
            version=current.number,
            digest=current.digest,
            ms=round((time.perf_counter() - started_at_s) * 1000.0, 2),
        )
        self._release_queued()
        self._start_cache_write(clock_ms())

    def _runs_under(self, version: PolicyVersion) -> bool:
        """Returns whether this scheduler runs under this version."""
        return (self.active_version.number, self.active_version.digest) == (version.number, version.digest)

    def _note_unusable(self, number: int, reason: str) -> None:
        """Notes that the version in force, which came without this scheduler's vote, cannot be used here.

        No request is accepted until a version is in force that can be.
        """
        if self.unusable_version is None or self.unusable_version.number != number:
            log_event("policy_unfit", level="error", rate_limited=False, version=number, reason=reason)
        self.unusable_version = UnusableVersion(number, reason)
        self._release_queued()

    def _find_objection(self, text: str) -> str:
        """Returns why a policy with this text cannot be applied here now; empty: it can."""
        if self.request_manager is None:
            return find_objection(text, RunningState(self.own_settings))
        if len(self.request_manager.retiring_schedulers) >= MAX_RETIRING_VERSIONS:
            return f"requests are open under {MAX_RETIRING_VERSIONS} earlier versions"
        open_requests = Counter(call.request.cls for call in self.request_manager.pending_requests.values())
        for request, _ in self.request_manager.in_flight:
            job = self.request_manager._scheduler_of(request).jobs.get(request)
            if job is not None and request not in self.request_manager.pending_requests:
                open_requests[job.service_class.name] += 1
        return find_objection(
            text,
            RunningState(
                self.request_manager.settings,
                open_requests,
                self._idempotency_windows_ms(),
                policy_text=self.active_version.text,
            ),
        )

    def _idempotency_windows_ms(self) -> dict[str, float]:
        """Returns, by keyed class, for how long (ms) an idempotency key may be used again.

        That is the window of the class while requests of the class are open.
        """
        return {
            each.name: each.deduplication_window_ms
            for each in self.request_manager.settings.classes
            if each.idempotency == "keyed"
            and any(call.request.cls == each.name for call in self.request_manager.pending_requests.values())
        }

    async def _run_timer(self) -> None:
        """Logs changes of the permit, ends queue waits and renews the cache, every TIMER_INTERVAL_S."""
        logged_permit = None
        while True:
            await sleep(TIMER_INTERVAL_S)
            now = clock_ms()
            self._resolve_first_version()
            self.cache_writer.withdraw_if_due()
            if self.admission_queue.waiting:
                self._release_queued()
            has_permit = self.follower.permit.is_valid(now)
            if has_permit != logged_permit:
                logged_permit = has_permit
                log_event(
                    "policy_permit", valid=has_permit, reason="" if has_permit else self.follower.last_failure
                )
            if (
                has_permit
                and now - self.cache_written_at_ms >= CACHE_RENEWAL_FRACTION * self.policy_settings.away_ms
            ):
                self._start_cache_write(now)

    def _start_cache_write(self, now: float) -> None:
        """Begins to store the version in force and its permit, if this scheduler runs under that version.

        The permit is for the version in force: stored for another one, it would let a later start without the
        store accept requests under a version that the fleet has left.
        """
        is_in_force = self._runs_under(self.participant.policy.now)
        if (
            self.active_version.number
            and is_in_force
            and self.cache_writer.store(self.active_version, self.follower.permit.expires_at_ms)
        ):
            self.cache_written_at_ms = now

    # -- orders and status

    async def order(
        self,
        action: str,
        author: str,
        text: str = "",
        base_version: int = 0,
        reason: str = "",
        timeout_s: float = 60.0,
        removed_names: list[str] = (),
    ) -> str:
        """Sends an operator's order to the leader and returns the text of the reply.

        timeout_s limits the change as a whole. Raises ValueError with the reason if the order is rejected.
        """
        order = PolicyOrder(
            action, text, base_version, f"{author} at {self.name}", reason, timeout_s, list(removed_names)
        )
        result = await self.follower.submit_order(order)
        if not result.is_accepted:
            raise ValueError(result.text)
        return result.text

    def status(self) -> dict[str, Any]:
        """Returns the state of the policy at this scheduler, for the status commands."""
        policy, now, decision = self.participant.policy, clock_ms(), self.decide_admission()
        change = policy.change
        return {
            "version": self.active_version.number,
            "digest": self.active_version.digest,
            "author": self.active_version.author,
            "in_force": policy.now.number,
            "permit_ms": max(0.0, self.follower.permit.expires_at_ms - now),
            "may": decision.action,
            "why": decision.reason,
            "by": self.follower.connected_member,
            "contact": self.follower.has_lease(),
            "schedulers": sorted(policy.register),
            "open_under_earlier": len(self.request_manager.scheduler_by_request)
            if self.request_manager is not None
            else 0,
            "change": None
            if change is None or policy.next is None
            else {
                "version": policy.next.number,
                "state": change.state,
                "author": policy.next.author,
                "reason": policy.next.reason,
                "tries": change.revert_count,
                "ready": not self.participant.vote.objection,
                "no": self.participant.vote.objection,
            },
        }

    def history(self) -> list[dict[str, Any]]:
        """Returns the outcomes of the last changes, oldest first."""
        return [msgspec.structs.asdict(each) for each in self.participant.policy.history]

    def check(self, text: str) -> str:
        """Returns why a policy with this text cannot be applied here now; empty: it can."""
        return self._find_objection(text)

    def text(self, version_number: int) -> str:
        """Returns the text of a version; 0 stands for the version that the scheduler runs under.

        Raises ValueError if the version is not in the policy cache.
        """
        version_number = version_number or self.active_version.number
        version = self.cache.versions.get(version_number)
        if version_number == self.active_version.number:
            version = self.active_version
        if version is None:
            raise ValueError(f"version {version_number} is not in this scheduler's policy cache")
        return version.text


def _is_of_other_store(previous: PolicyVersion, current: PolicyVersion) -> bool:
    """Returns whether a store with the current version in force has never had the previous one in force."""
    if 0 < current.number < previous.number:
        return True
    is_same_number = 0 < current.number == previous.number
    return is_same_number and bool(previous.digest) and current.digest != previous.digest


def _random_id() -> str:
    return secrets.token_hex(8)

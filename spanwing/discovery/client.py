"""The discovery client: keeps the endpoint list current and owns the connection actors of its workers.

The client watches discovery by long polls, applies every answer to its worker table and announces the changes
to the core. It tracks the freshness of the list, so that nothing is sent based on a stale one.
"""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from tornado.gen import sleep
from tornado.locks import Event

from spanwing import interface as api
from spanwing.actor import Actor, spawn_task
from spanwing.core.messages import AttemptListener, EndpointsChanged
from spanwing.discovery.call import (
    CallLimits,
    CallResult,
    DiscoveredEndpoints,
    DiscoveredWorker,
    DiscoveryConnection,
)
from spanwing.discovery.call_failure import UNREACHABLE_FAILURES, CallFailure
from spanwing.discovery.call_log import log_failure, log_list
from spanwing.discovery.freshness import CallTiming, EndpointFreshness, Freshness
from spanwing.discovery.persisted_list import MAX_START_RETRY_S, PersistedListPolicy
from spanwing.discovery.worker_table import WorkerFactory, WorkerTable
from spanwing.log.events import log_event
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers.http_worker import HttpWorker, WorkerCallback
from spanwing.workers.worker_id import worker_id_of

IMMEDIATE_POLL_HOLD_S = 0.001  # makes discovery answer immediately, with or without changes
FAILED_CALLS_UNTIL_LOGGED = 8  # in a row, before UNREACHABLE is logged; restarts and moves are routine
WATCH_RESTART_S = 0.1  # pause after an unexpected exception in the watch
STATE_OF_PHASE: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

logger = logging.getLogger("spanwing")


@dataclass(slots=True, eq=False)
class DiscoveryWatch:
    """A sequence of calls to one discovery address; its answers are ignored once it has been replaced."""

    address: Address
    revision: int | None  # revision of the last answer; None: fetch the complete list first
    connection: DiscoveryConnection


class StartWatch(NamedTuple):
    """Starts the watch after a random delay of at most max_delay_s."""

    max_delay_s: float = 0.0


class ChangeDiscovery(NamedTuple):
    """Discovery has a new address."""

    address: Address


class WatchAnswer(NamedTuple):
    """Discovery has answered a call of this watch."""

    endpoints: DiscoveredEndpoints
    watch: DiscoveryWatch
    first_byte_s: float


class WorkerCallbackReceived(NamedTuple):
    """A call-back from the named worker."""

    worker_name: str
    callback: WorkerCallback
    is_from_peer_process: bool = False  # forwarded by another process, so it is not forwarded again


class WorkerRetired(NamedTuple):
    """The connection actor of a worker has closed."""

    worker_name: str
    worker: HttpWorker


class DiscoveryClient(Actor):
    """Owns the endpoint list and announces its changes to the core."""

    def __init__(
        self,
        endpoints: DiscoveredEndpoints,
        discovery_address: Address,
        listener: AttemptListener,
        buffers: BufferPool,
        make_worker: WorkerFactory,
        timing: CallTiming = CallTiming(),  # noqa: B008 - a tuple
    ) -> None:
        super().__init__()
        self.freshness = EndpointFreshness(timing, self.loop.time())
        self.logged_state = Freshness.CURRENT
        self.failed_calls: Counter[str] = Counter()  # by reason; refused connections are not counted
        self.discovery_address, self.listener, self.buffers = discovery_address, listener, buffers
        self.table = WorkerTable(make_worker, lambda name, worker: self.post(WorkerRetired(name, worker)))
        self.revision: int | None = endpoints.revision
        #: Receives call-backs for attempts that are not in flight in this process.
        self.on_unknown_callback: Callable[[WorkerCallbackReceived], None] | None = None
        self.current_watch: DiscoveryWatch | None = None
        #: Set once the list was announced to the core. A persisted list is of unknown age. It is announced
        #: with the first answer merged into it, or unconfirmed if discovery is unavailable to all.
        self.announced = Event()
        self.persisted_list_policy = PersistedListPolicy()
        self.has_confirmed_list = False  # fetched from discovery, or adopted from a process that follows it
        self._update_workers(endpoints, "persisted")

    def listed_workers(self) -> list[DiscoveredWorker]:
        """Returns the entries as received from discovery, without the fleet's zone states applied."""
        return list(self.table.entries.values())

    def adopt_endpoints(self, endpoints: DiscoveredEndpoints) -> None:
        """Adopts another process's list of the same discovery, unless the list is empty or older.

        The other process is using the list at this moment, but its deadline is not known here.
        """
        if not endpoints.members:
            return
        is_newer = endpoints.revision > (self.revision or 0)
        if is_newer:
            self.revision = endpoints.revision
            self._update_workers(endpoints, "persisted")
        if is_newer or not self.announced.is_set():
            self._announce_all("persisted")
            self.has_confirmed_list = True
            self.freshness.note_adopted(self.loop.time())

    def get_or_create_worker(self, name: str, address: str) -> HttpWorker:
        """Returns the worker with this name and address; creates it if it is not listed."""
        return self.table.get_or_create_worker(name, address)

    def watch(self, max_delay_s: float = 0.0) -> None:
        """Starts the watch after a random delay of at most max_delay_s, unless one is running."""
        self.post(StartWatch(max_delay_s))

    def change_discovery(self, address: Address) -> None:
        """Watches discovery at a new address."""
        self.post(ChangeDiscovery(address))

    def handle_message(self, message: Any) -> None:
        """Runs the handler of the message's type."""
        MESSAGE_HANDLERS[type(message)](self, message)

    def _handle_start_watch(self, start: StartWatch) -> None:
        if self.current_watch is None:
            self._start_watch(random.uniform(0.0, start.max_delay_s))

    def _handle_change_discovery(self, change: ChangeDiscovery) -> None:
        if change.address == self.discovery_address:
            return
        # Revisions of two discoveries cannot be compared, so the new one is asked for its complete list, and
        # late answers of the old one are ignored. Attempts in flight are not affected.
        self.discovery_address, self.revision = change.address, None
        if self.current_watch is not None:
            self.current_watch.connection.close()
        self.freshness.note_moved(self.loop.time())
        self._start_watch()

    def _start_watch(self, delay_s: float = 0.0) -> None:
        connection = DiscoveryConnection(self.discovery_address, self.buffers)
        watch = self.current_watch = DiscoveryWatch(self.discovery_address, self.revision, connection)
        connection.on_first_byte = lambda first_byte_s: self._note_answer_begun(watch, first_byte_s)
        spawn_task(self._keep_watching(watch, delay_s))

    def _note_answer_begun(self, watch: DiscoveryWatch, first_byte_s: float) -> None:
        if watch is self.current_watch:
            self.freshness.note_answer_begun(first_byte_s)

    def is_stale(self) -> bool:
        """Returns whether nothing may be sent based on the list, as its deadline has passed."""
        return self.freshness.is_stale(self.loop.time())

    def violates_drain_rule(self) -> bool:
        """Returns whether the list is so old that a send based on it could violate the drain rule."""
        return self.freshness.violates_drain_rule(self.loop.time())

    def is_unconfirmed(self) -> bool:
        """Returns whether the list is still the persisted one from the start, whose age is unknown."""
        return not self.has_confirmed_list

    async def _keep_watching(self, watch: DiscoveryWatch, delay_s: float) -> None:
        """Runs the watch until it is replaced, and restarts it after an unexpected exception.

        Without a watch, the list goes stale and the process can only reject requests.
        """
        await sleep(delay_s)
        while self.current_watch is watch:
            try:
                await self._run_watch(watch)
            except Exception:  # counted and logged; the next call may succeed
                logger.exception("fault in the discovery watch; restarting the watch")
                self.failed_calls["fault"] += 1
                self.freshness.note_unanswered()
                await sleep(WATCH_RESTART_S)

    async def _run_watch(self, watch: DiscoveryWatch) -> None:
        """Calls discovery until the watch is replaced.

        Each call follows the last one without a pause, as discovery ends a watch after a pause of 200 ms. The
        first call and each call after a failure request an immediate answer, because a lost answer looks like
        a poll without changes. Failed calls are repeated after a pause that the freshness of the list allows.
        """
        may_poll = False
        while self.current_watch is watch:
            since = watch.revision
            hold_s = self.freshness.timing.poll_hold_s if may_poll else IMMEDIATE_POLL_HOLD_S
            result = await watch.connection.fetch(since, hold_s, self._call_limits(may_poll))
            if self.current_watch is not watch:
                return
            may_poll = result.failure is None
            if result.endpoints is not None:
                watch.revision = result.endpoints.revision
                log_list(since, result)
                self.post(WatchAnswer(result.endpoints, watch, result.first_byte_s))
                continue
            await sleep(self._note_failure(since, result))

    def _call_limits(self, is_poll: bool) -> CallLimits:
        timing = self.freshness.timing
        if is_poll:
            first_byte_timeout_s = timing.poll_hold_s + timing.answer_margin_s
            return CallLimits(timing.answer_margin_s, first_byte_timeout_s, timing.stall_timeout_s)
        call_timeout_s = self.freshness.call_timeout_s(self.loop.time())
        return CallLimits(call_timeout_s, call_timeout_s, timing.stall_timeout_s)

    def _note_failure(self, since: int | None, result: CallResult) -> float:
        """Notes a failed call; returns the pause in seconds before the next call."""
        if result.failure in UNREACHABLE_FAILURES:
            self.freshness.note_unreachable(result.began_s)
        else:
            self.freshness.note_unanswered()
        pause_s = self.freshness.pause_s(random, result.began_s, self.loop.time())
        if not self.announced.is_set():
            if result.failure in UNREACHABLE_FAILURES:
                pause_s = min(pause_s, random.uniform(0.0, MAX_START_RETRY_S))
            if self.persisted_list_policy.may_serve_after(result.failure, result.began_s, self.loop.time()):
                self.freshness.note_unreachable(result.began_s)
                self._announce_all("persisted")
        # A refused connection is not logged for each call; _log_state() logs the outage instead.
        if result.failure is not CallFailure.CONNECT_FAILED:
            self.failed_calls[str(result.failure)] += 1
            log_failure(since, result, pause_s)
        self._log_state()
        return pause_s

    def _log_state(self) -> None:
        """Logs a change of the list's freshness; UNREACHABLE only after FAILED_CALLS_UNTIL_LOGGED calls."""
        state = self.freshness.state(self.loop.time())
        if state is Freshness.UNREACHABLE and self.freshness.failed_calls < FAILED_CALLS_UNTIL_LOGGED:
            return
        if state is self.logged_state:
            return
        self.logged_state = state
        log_event(
            "discovery_freshness",
            level="info" if state is Freshness.CURRENT else "warning",
            state=str(state),
            failed_calls=self.freshness.failed_calls,
            revision=self.revision,
            is_from_discovery=self.has_confirmed_list,
        )

    def _handle_watch_answer(self, answer: WatchAnswer) -> None:
        if answer.watch is not self.current_watch:  # the watch has been replaced
            return
        self.revision = answer.endpoints.revision
        self._apply_endpoints(answer.endpoints, "complete" if answer.endpoints.complete else "partial")
        self.has_confirmed_list = True
        self.freshness.note_answer(answer.first_byte_s)
        self._log_state()

    def _apply_endpoints(self, endpoints: DiscoveredEndpoints, scope: str) -> None:
        self._update_workers(endpoints, scope)
        if self.announced.is_set():
            self._announce(endpoints.members, scope)
        else:
            self._announce_all("complete")

    def _announce_all(self, scope: str) -> None:
        """Announces the complete current list."""
        self.announced.set()
        self._announce(self.listed_workers(), scope)

    def _announce(self, members: Iterable[DiscoveredWorker], scope: str) -> None:
        update = api.WorkerList(scope, tuple(_worker_entry(each) for each in members))
        self.listener.post(EndpointsChanged(update, self.table))

    def _update_workers(self, endpoints: DiscoveredEndpoints, scope: str) -> None:
        for phase in {each.phase for each in endpoints.members} - STATE_OF_PHASE.keys():
            logger.warning("job workers have the unknown phase %r; they are treated as leaving", phase)
        if scope == "partial":
            self.table.update(endpoints.members)
        else:
            self.table.replace(endpoints.members)

    def _handle_retired(self, retired: WorkerRetired) -> None:
        self.table.drop_retired(retired.worker_name, retired.worker)

    def _handle_callback(self, received: WorkerCallbackReceived) -> None:
        worker = self.table.actor_with_attempt(received.worker_name, received.callback.request)
        if worker is not None:
            worker.post(received.callback)
        elif self.on_unknown_callback is not None and not received.is_from_peer_process:
            # The attempt belongs to another process or has ended.
            self.on_unknown_callback(received)


def _worker_entry(member: DiscoveredWorker) -> api.Worker:
    return api.Worker(
        id=worker_id_of(member.id),
        state=STATE_OF_PHASE.get(member.phase, "draining"),
        zone=member.locality or "",
        cell=member.cell or 0,
        weight=1.0 if member.size is None else member.size,
        kind=member.flavor or "",
        started=member.up_since_ms or 0.0,
    )


MESSAGE_HANDLERS = {
    StartWatch: DiscoveryClient._handle_start_watch,
    ChangeDiscovery: DiscoveryClient._handle_change_discovery,
    WatchAnswer: DiscoveryClient._handle_watch_answer,
    WorkerCallbackReceived: DiscoveryClient._handle_callback,
    WorkerRetired: DiscoveryClient._handle_retired,
}

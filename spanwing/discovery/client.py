"""The discovery client: the endpoint list, the watch on it, and the connections of the workers it names."""

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
from spanwing.discovery.persisted_list import START_RETRY_S, PersistedListPolicy
from spanwing.discovery.worker_table import WorkerFactory, WorkerTable
from spanwing.log.events import log_event
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers.http_worker import HttpWorker, WorkerCallback
from spanwing.workers.worker_id import worker_id_of

IMMEDIATE_POLL_HOLD_S = 0.001  # after a failure, or at the start, a call is answered at once, changes or not
CALLS_UNTIL_UNREACHABLE = 8  # failed in a row, before the state is logged: restarts and moves are ordinary
WATCH_RESTART_S = 0.1
STATE_OF_PHASE: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

logger = logging.getLogger("spanwing")


@dataclass(slots=True, eq=False)
class DiscoveryWatch:
    """The calls to one discovery; their answers count until the next watch has begun."""

    address: Address
    revision: int | None  # None: fetch the complete list first
    connection: DiscoveryConnection


class StartWatch(NamedTuple):
    """Start to watch, at a random moment within this time."""

    within_s: float = 0.0


class ChangeDiscovery(NamedTuple):
    """Discovery has another address from now on."""

    address: Address


class WatchAnswer(NamedTuple):
    """Discovery has answered."""

    endpoints: DiscoveredEndpoints
    watch: DiscoveryWatch
    first_byte_s: float


class WorkerCallbackReceived(NamedTuple):
    """A callback from the worker of this name."""

    worker_name: str
    callback: WorkerCallback
    is_from_peer_process: bool = False  # forwarded by another process; never forwarded again


class WorkerRetired(NamedTuple):
    """The connection actor of a worker has closed."""

    worker_name: str
    worker: HttpWorker


class DiscoveryClient(Actor):
    """Owns the endpoint list; notifies the core of changes."""

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
        self.timing = timing
        self.freshness = EndpointFreshness(timing, self.loop.time())
        self.logged_state = Freshness.CURRENT
        self.failed_calls: Counter[str] = Counter()  # by reason, refused connects left out
        self.discovery_address, self.listener, self.buffers = discovery_address, listener, buffers
        self.table = WorkerTable(make_worker, lambda name, worker: self.post(WorkerRetired(name, worker)))
        self.revision: int | None = endpoints.revision
        self.on_unknown_callback: Callable[[WorkerCallbackReceived], None] | None = (
            None  # gets callbacks about attempts that are not of this process
        )
        self.current_watch: DiscoveryWatch | None = None
        #: The core has the list. A persisted one is of unknown age: it is announced with the first answer
        #: merged into it, or as it is once discovery turned out to answer nobody.
        self.announced = Event()
        self.persisted_list_policy = PersistedListPolicy()
        self.has_answer = False  # the list was read, or taken over from a process that follows it
        self._update_workers(endpoints, "persisted")

    def listed_workers(self) -> list[DiscoveredWorker]:
        """Returns the list as discovery gave it, without the fleet's zone states."""
        return list(self.table.entries.values())

    def adopt_endpoints(self, endpoints: DiscoveredEndpoints) -> None:
        """Takes over another process's list of the same discovery, unless it is older.

        That process sends by it at this moment; how much longer it may is not known here.
        """
        if not endpoints.members:
            return
        is_newer = endpoints.revision > (self.revision or 0)
        if is_newer:
            self.revision = endpoints.revision
            self._update_workers(endpoints, "persisted")
        if is_newer or not self.announced.is_set():
            self._announce_all("persisted")
            self.has_answer = True
            self.freshness.note_adopted(self.loop.time())

    def get_or_create_worker(self, name: str, address: str) -> HttpWorker:
        """Returns the worker of this name and address, listed or not."""
        return self.table.get_or_create_worker(name, address)

    def watch(self, within_s: float = 0.0) -> None:
        """Starts the watch, unless one is running, at a random moment within this time."""
        self.post(StartWatch(within_s))

    def change_discovery(self, address: Address) -> None:
        """Watches the discovery at another address from now on."""
        self.post(ChangeDiscovery(address))

    def handle_message(self, message: Any) -> None:
        """Runs the handler of the message's type."""
        MESSAGE_HANDLERS[type(message)](self, message)

    def _handle_start_watch(self, start: StartWatch) -> None:
        if self.current_watch is None:
            self._start_watch(random.uniform(0.0, start.within_s))

    def _handle_change_discovery(self, move: ChangeDiscovery) -> None:
        if move.address == self.discovery_address:
            return
        # Revisions belong to one discovery: the new one is asked for its complete list, and late answers of
        # the former cannot undo it. Attempts in flight at workers depend on neither.
        self.discovery_address, self.revision = move.address, None
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
        """Returns whether nothing may be sent by the list: discovery can be reached, and no whole answer came
        in time.
        """
        return self.freshness.is_stale(self.loop.time())

    def violates_drain_rule(self) -> bool:
        """Returns whether a send by the list would break the rule on drains, by its age alone."""
        return self.freshness.violates_drain_rule(self.loop.time())

    def is_unconfirmed(self) -> bool:
        """Returns whether the list is still the one that the process was started with, of unknown age."""
        return not self.has_answer

    async def _keep_watching(self, watch: DiscoveryWatch, delay_s: float) -> None:
        """Runs the watch until it is replaced, and again after a fault of the program: a process without a
        watch could only reject.
        """
        await sleep(delay_s)
        while self.current_watch is watch:
            try:
                await self._run_watch(watch)
            except Exception:  # counted and logged; the next call may well succeed
                logger.exception("fault in the watch on discovery")
                self.failed_calls["fault"] += 1
                self.freshness.note_unanswered()
                await sleep(WATCH_RESTART_S)

    async def _run_watch(self, watch: DiscoveryWatch) -> None:
        """Calls discovery until the watch is replaced, each call right after the last: a pause of 200 ms
        would end the watch on the other side.

        The first call, and each after a failure, has to be answered at once: the silence of a poll could be a
        lost answer. Every failure is repeated from here, with a pause that the freshness of the list allows.
        """
        may_poll = False
        while self.current_watch is watch:
            since, hold_s = watch.revision, self.timing.poll_hold_s if may_poll else IMMEDIATE_POLL_HOLD_S
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
        timing = self.timing
        if is_poll:
            begin_s = timing.poll_hold_s + timing.answer_margin_s
            return CallLimits(timing.answer_margin_s, begin_s, timing.stall_s)
        patience_s = self.freshness.patience_s(self.loop.time())
        return CallLimits(patience_s, patience_s, timing.stall_s)

    def _note_failure(self, since: int | None, result: CallResult) -> float:
        """Notes a failed call; returns the pause in seconds before the next."""
        if result.failure in UNREACHABLE_FAILURES:
            self.freshness.note_unreachable(result.began_s)
        else:
            self.freshness.note_unanswered()
        pause_s = self.freshness.pause_s(random, result.began_s, self.loop.time())
        if not self.announced.is_set():
            if result.failure in UNREACHABLE_FAILURES:
                pause_s = min(pause_s, random.uniform(0.0, START_RETRY_S))
            if self.persisted_list_policy.may_serve_after(result.failure, result.began_s, self.loop.time()):
                self.freshness.note_unreachable(result.began_s)
                self._announce_all("persisted")
        # While nothing listens there, a line a call says nothing new: the state is logged.
        if result.failure is not CallFailure.CONNECT_FAILED:
            self.failed_calls[str(result.failure)] += 1
            log_failure(since, result, pause_s)
        self._log_state()
        return pause_s

    def _log_state(self) -> None:
        """Logs a change of the list's freshness; a refused connect counts once it has lasted."""
        state = self.freshness.state(self.loop.time())
        if state is Freshness.UNREACHABLE and self.freshness.failed_calls < CALLS_UNTIL_UNREACHABLE:
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
            is_from_discovery=self.has_answer,
        )

    def _handle_watch_answer(self, answer: WatchAnswer) -> None:
        if answer.watch is not self.current_watch:  # answer of a former watch
            return
        self.revision = answer.endpoints.revision
        self._apply_endpoints(answer.endpoints, "complete" if answer.endpoints.complete else "partial")
        self.has_answer = True
        self.freshness.note_answer(answer.first_byte_s)
        self._log_state()

    def _apply_endpoints(self, endpoints: DiscoveredEndpoints, scope: str) -> None:
        self._update_workers(endpoints, scope)
        if self.announced.is_set():
            self._announce(endpoints.members, scope)
        else:
            self._announce_all("complete")

    def _announce_all(self, scope: str) -> None:
        """Announces the whole list as it is now."""
        self.announced.set()
        self._announce(self.listed_workers(), scope)

    def _announce(self, members: Iterable[DiscoveredWorker], scope: str) -> None:
        update = api.WorkerList(scope, tuple(_worker_entry(each) for each in members))
        self.listener.post(EndpointsChanged(update, self.table))

    def _update_workers(self, endpoints: DiscoveredEndpoints, scope: str) -> None:
        for phase in {each.phase for each in endpoints.members} - STATE_OF_PHASE.keys():
            logger.warning("unknown phase %r of a job worker, taken as leaving", phase)
        if scope == "partial":
            self.table.update(endpoints.members)
        else:
            self.table.replace(endpoints.members)

    def _handle_retired(self, retired: WorkerRetired) -> None:
        self.table.drop_retired(retired.worker_name, retired.worker)

    def _handle_callback(self, received: WorkerCallbackReceived) -> None:
        worker = self.table.actor_of(received.worker_name, received.callback.request)
        if worker is not None:
            worker.post(received.callback)
        elif (
            self.on_unknown_callback is not None and not received.is_from_peer_process
        ):  # the attempt is another process's, or has ended
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

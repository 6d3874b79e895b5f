"""The discovery client: the endpoint list, the watch on it, and the connections of the workers it names."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from tornado.gen import sleep

from spanwing import interface as api
from spanwing.actor import Actor, spawn_task
from spanwing.core.messages import AttemptListener, EndpointsChanged
from spanwing.discovery.call import (
    CallFailure,
    CallResult,
    DiscoveredEndpoints,
    DiscoveredWorker,
    DiscoveryConnection,
)
from spanwing.log.events import log_event
from spanwing.net.address import Address, parse_address
from spanwing.net.buffers import BufferPool
from spanwing.workers.http_worker import HttpWorker, RetireWorker, WorkerCallback
from spanwing.workers.worker_id import worker_id_of

RETRY_S = 0.5  # a failed call that cannot wait for the core is retried within this
DISCOVERY_MOVE_GRACE_S = 4.0  # after a change of address; by then a new discovery is up, and its list counts
FULL_LIST_TIMEOUT_S = 3.0  # for the complete list, which discovery may queue
# From the protocol: what a silent watch has missed counts as notified this long after it fell silent, and not
# before this long after the end of its poll's hold time.
SILENT_WATCH_NOTIFIED_S, OVERDUE_ANSWER_NOTIFIED_S = 6.0, 2.0
WATCH_REOPEN_MARGIN_S = (
    1.75  # part of the time until forwarding must have stopped, reserved for reopening a silent watch
)
STATE_OF_PHASE: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

logger = logging.getLogger("spanwing")


class WatchTiming(NamedTuple):
    """Timing of the calls to discovery."""

    poll_hold_s: float = 10.0  # discovery answers a poll without events after this
    answer_margin_s: float = (
        1.5  # answer due this long after the hold at the latest; also the connect timeout
    )
    reopen_within_s: float = 0.75  # longest random delay before a broken watch is reopened, by any scheduler
    retry_within_s: float = 0.0  # a failed call is retried within this; 0: when the core asks for it

    @classmethod
    def from_settings(cls, drain_grace_ms: float, is_pushed: bool, poll_interval_ms: float) -> WatchTiming:
        """Computes the timing from the settings.

        What a silent watch has missed counts as notified SILENT_WATCH_NOTIFIED_S after it fell silent, or
        OVERDUE_ANSWER_NOTIFIED_S after its hold time, and forwarding must have stopped drain_grace_ms later.
        By then the watch must have been reopened and answered. Where the list is pushed, discovery's state
        counts at once, watch or no watch; where it is polled, poll_interval_ms after the last call.
        """
        grace_s, defaults = drain_grace_ms / 1000.0, cls()
        answer_margin_s = min(
            defaults.answer_margin_s,
            defaults.answer_margin_s
            * (OVERDUE_ANSWER_NOTIFIED_S + grace_s)
            / (OVERDUE_ANSWER_NOTIFIED_S + 2.0),
        )
        reopen_within_s = answer_margin_s / 2.0
        poll_hold_s = defaults.poll_hold_s
        if (
            OVERDUE_ANSWER_NOTIFIED_S + grace_s - answer_margin_s - reopen_within_s < WATCH_REOPEN_MARGIN_S
        ):  # a shorter hold is bound by SILENT_WATCH_NOTIFIED_S alone
            poll_hold_s = max(
                1.0,
                SILENT_WATCH_NOTIFIED_S + grace_s - answer_margin_s - reopen_within_s - WATCH_REOPEN_MARGIN_S,
            )
        retry_within_s = min(1.0, grace_s / 2.0) if is_pushed else poll_interval_ms / 2000.0
        return cls(
            poll_hold_s,
            answer_margin_s,
            reopen_within_s,
            max(0.05, retry_within_s) if is_pushed or retry_within_s < DISCOVERY_MOVE_GRACE_S else 0.0,
        )


@dataclass(slots=True, eq=False)
class DiscoveryWatch:
    """The calls to one discovery; their answers count until the next watch has begun."""

    address: Address
    revision: int | None  # None: fetch the complete list first
    failures_hidden_until_s: float  # loop time; before it failed calls are retried without notifying the core
    connection: DiscoveryConnection


class StartWatch(NamedTuple):
    """Start to watch."""


class ChangeDiscovery(NamedTuple):
    """Discovery has another address from now on."""

    address: Address


class WatchAnswer(NamedTuple):
    """Discovery has answered; None: the call failed."""

    endpoints: DiscoveredEndpoints | None
    watch: DiscoveryWatch


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
        make_worker: Callable[[str, Address, Callable[[HttpWorker], None]], HttpWorker],
        timing: WatchTiming = WatchTiming(),  # noqa: B008 - a tuple
    ) -> None:
        super().__init__()
        self.timing = timing
        self.retiring_workers: dict[
            str, list[HttpWorker]
        ] = {}  # replaced ones that still have attempts in flight
        self.discovery_address, self.listener, self.buffers, self.make_worker = (
            discovery_address,
            listener,
            buffers,
            make_worker,
        )
        self.workers: dict[str, HttpWorker] = {}
        self.address_by_name: dict[str, str] = {}
        self.listed_names: set[str] = set()  # listed and not gone
        self.discovered_by_name: dict[str, DiscoveredWorker] = {}  # the last entry of each listed worker
        self.revision: int | None = endpoints.revision
        self.on_unknown_callback: Callable[[WorkerCallbackReceived], None] | None = (
            None  # gets callbacks about attempts that are not of this process
        )
        self.current_watch: DiscoveryWatch | None = None
        self._apply_endpoints(endpoints, "persisted")

    def listed_workers(self) -> list[DiscoveredWorker]:
        """Returns the list as discovery gave it, without the fleet's zone states."""
        return [self.discovered_by_name[name] for name in self.listed_names]

    def adopt_endpoints(self, endpoints: DiscoveredEndpoints) -> None:
        """Takes over another process's list of the same discovery, unless it is older."""
        if endpoints.members and (self.current_watch is None or endpoints.revision > (self.revision or 0)):
            self.revision = endpoints.revision
            self._apply_endpoints(endpoints, "persisted")

    def worker_at(self, name: str, address: str) -> HttpWorker:
        """Returns the worker of this name and address.

        For one that is not listed (any more) a new one is made, which closes once nothing is in flight there.
        """
        worker = self.workers.get(name)
        if worker is None or self.address_by_name[name] != address:
            worker = self.make_worker(
                name, parse_address(address), lambda hop: self.post(WorkerRetired(name, hop))
            )
            if name not in self.workers:
                self.workers[name], self.address_by_name[name] = worker, address
            worker.post(RetireWorker(True))
        return worker

    def watch(self) -> None:
        """Starts the watch, unless one is running."""
        self.post(StartWatch())

    def change_discovery(self, address: Address) -> None:
        """Watches the discovery at another address from now on."""
        self.post(ChangeDiscovery(address))

    def handle_message(self, message: Any) -> None:
        """Runs the handler of the message's type."""
        MESSAGE_HANDLERS[type(message)](self, message)

    def _handle_start_watch(self, _: StartWatch) -> None:
        if self.current_watch is None:
            self._start_watch(0.0)

    def _handle_change_discovery(self, move: ChangeDiscovery) -> None:
        if move.address == self.discovery_address:
            return
        # Revisions belong to one discovery: the new one is asked for its complete list, and late answers of
        # the former cannot undo it. Attempts in flight at workers depend on neither.
        self.discovery_address, self.revision = move.address, None
        if self.current_watch is not None:
            self.current_watch.connection.close()
        self._start_watch(DISCOVERY_MOVE_GRACE_S)

    def _start_watch(self, failures_hidden_s: float) -> None:
        connection = DiscoveryConnection(self.discovery_address, self.buffers, self.timing.answer_margin_s)
        self.current_watch = DiscoveryWatch(
            self.discovery_address, self.revision, self.loop.time() + failures_hidden_s, connection
        )
        spawn_task(self._run_watch(self.current_watch))

    async def _run_watch(self, watch: DiscoveryWatch) -> None:
        """Polls discovery, each call right after the last: a pause of 200 ms would end the watch."""
        last_list_s = self.loop.time()
        while self.current_watch is watch:
            since, poll_hold_s = watch.revision, self.timing.poll_hold_s
            answer_timeout_s = (
                FULL_LIST_TIMEOUT_S if since is None else poll_hold_s + self.timing.answer_margin_s
            )
            result = await watch.connection.fetch(since, poll_hold_s, answer_timeout_s)
            if result.endpoints is not None:
                watch.revision, watch.failures_hidden_until_s = result.endpoints.revision, 0.0
                last_list_s = self.loop.time()
                _log_list(since, result, self.current_watch is watch)
                self.post(WatchAnswer(result.endpoints, watch))
                continue
            backoff_s, now = RETRY_S, self.loop.time()
            if is_silent(result):  # reopened soon, however often, also if the first attempt fails
                watch.failures_hidden_until_s = max(
                    watch.failures_hidden_until_s, now + WATCH_REOPEN_MARGIN_S
                )
                backoff_s = self.timing.reopen_within_s
            elif now >= watch.failures_hidden_until_s:
                backoff_s = self.timing.retry_within_s
            retry_s = random.uniform(0.0, backoff_s) if backoff_s else None
            # While nothing listens there, a line a call says nothing new: only once that lasts.
            if (
                result.failure is not CallFailure.CONNECT_FAILED
                or now > last_list_s + SILENT_WATCH_NOTIFIED_S
            ):
                _log_failure(since, result, retry_s)
            if retry_s is None:
                self.post(WatchAnswer(None, watch))
                return
            await sleep(retry_s)

    def _handle_watch_answer(self, answer: WatchAnswer) -> None:
        if answer.watch is not self.current_watch:  # answer of a former watch
            return
        if answer.endpoints is None:
            self.current_watch = None
            self.listener.post(EndpointsChanged(api.WorkerList("error"), self._workers_by_id()))
            return
        self.revision = answer.endpoints.revision
        self._apply_endpoints(answer.endpoints, "complete" if answer.endpoints.complete else "partial")

    def _workers_by_id(self) -> dict[int, HttpWorker]:
        return {worker_id_of(name): hop for name, hop in self.workers.items()}

    def _apply_endpoints(self, endpoints: DiscoveredEndpoints, scope: str) -> None:
        if scope != "partial":
            for name in set(self.workers) - {each.id for each in endpoints.members}:
                self._remove_worker(name)
        changed = []
        for each in endpoints.members:
            if each.phase not in STATE_OF_PHASE:
                logger.warning("unknown phase %r of a job worker, taken as leaving", each.phase)
            changed.append(
                api.Worker(
                    id=worker_id_of(each.id),
                    state=STATE_OF_PHASE.get(each.phase, "draining"),
                    zone=each.locality or "",
                    cell=each.cell or 0,
                    weight=1.0 if each.size is None else each.size,
                    kind=each.flavor or "",
                    started=each.up_since_ms or 0.0,
                )
            )
            self._update_worker(each)
        self.listener.post(EndpointsChanged(api.WorkerList(scope, tuple(changed)), self._workers_by_id()))

    def _update_worker(self, member: DiscoveredWorker) -> None:
        name = member.id
        if member.phase == "left":
            self._remove_worker(name)
            return
        self.listed_names.add(name)
        self.discovered_by_name[name] = member
        is_draining = member.phase != "active"
        if name in self.workers and self.address_by_name[name] == member.host_port:
            self._set_draining(self.workers[name], is_draining)
            self.workers[name].post(RetireWorker(False))
            return
        try:
            address = parse_address(member.host_port)
        except ValueError as error:
            logger.warning("a job worker's address: %s", error)
            return
        if name in self.workers:
            previous = self.workers[name]
            previous.start_draining()
            previous.post(RetireWorker(True))
            self.retiring_workers.setdefault(name, []).append(previous)
        self.address_by_name[name] = member.host_port
        self.workers[name] = self.make_worker(name, address, lambda hop: self.post(WorkerRetired(name, hop)))
        self._set_draining(self.workers[name], is_draining)

    def _set_draining(self, worker: HttpWorker, is_draining: bool) -> None:
        if is_draining:
            worker.start_draining()
        else:
            worker.is_draining = False

    def _remove_worker(self, name: str) -> None:
        self.listed_names.discard(name)
        self.discovered_by_name.pop(name, None)
        if name in self.workers:
            self.workers[name].start_draining()
            self.workers[name].post(RetireWorker(True))

    def _handle_retired(self, retired: WorkerRetired) -> None:
        retiring = self.retiring_workers.get(retired.worker_name, [])
        if retired.worker in retiring:
            retiring.remove(retired.worker)
            if not retiring:
                del self.retiring_workers[retired.worker_name]
        # A worker listed again while it closed keeps its connection actor, or its callbacks would be lost.
        if (
            self.workers.get(retired.worker_name) is retired.worker
            and retired.worker_name not in self.listed_names
        ):
            del self.workers[retired.worker_name], self.address_by_name[retired.worker_name]

    def _handle_callback(self, received: WorkerCallbackReceived) -> None:
        # A worker may have moved under one name; attempts accepted at its old address end by callback too.
        candidates = (
            self.workers.get(received.worker_name),
            *self.retiring_workers.get(received.worker_name, ()),
        )
        worker = next(
            (each for each in candidates if each is not None and received.callback.request in each.attempts),
            None,
        )
        if worker is not None:
            worker.post(received.callback)
        elif (
            self.on_unknown_callback is not None and not received.is_from_peer_process
        ):  # the attempt is another process's, or has ended
            self.on_unknown_callback(received)


def is_silent(result: CallResult) -> bool:
    """Returns whether a poll was written and no complete answer came in the time allowed."""
    return result.is_poll_written and result.failure in (CallFailure.NO_ANSWER, CallFailure.STALLED)


def _log_list(since: int | None, result: CallResult, is_current: bool) -> None:
    endpoints = result.endpoints
    if not endpoints.members and not endpoints.complete and is_current:
        return  # the hold time is over, and nothing has changed
    log_event(
        "discovery_list",
        since=since,
        revision=endpoints.revision,
        complete=endpoints.complete,
        members=len(endpoints.members),
        not_active=sum(each.phase != "active" for each in endpoints.members),
        took_s=round(result.took_s, 3),
        current=is_current,
    )


def _log_failure(since: int | None, result: CallResult, retry_s: float | None) -> None:
    log_event(
        "discovery_call_failed",
        level="warning",
        reason=str(result.failure),
        since=since,
        took_s=round(result.took_s, 3),
        last_byte_s=None if result.answered_s is None else round(result.answered_s, 3),
        retry_s=None if retry_s is None else round(retry_s, 3),
    )


MESSAGE_HANDLERS = {
    StartWatch: DiscoveryClient._handle_start_watch,
    ChangeDiscovery: DiscoveryClient._handle_change_discovery,
    WatchAnswer: DiscoveryClient._handle_watch_answer,
    WorkerCallbackReceived: DiscoveryClient._handle_callback,
    WorkerRetired: DiscoveryClient._handle_retired,
}

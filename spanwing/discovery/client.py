"""The transport map: discovery's list, the watch on it, and the next hops it names."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.iostream import IOStream, StreamClosedError

from spanwing import interface as api
from spanwing.actor import Actor, spawn_task
from spanwing.core.messages import AttemptListener, EndpointsChanged
from spanwing.net.address import Address, open_socket, parse_address
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpError, HttpMessage, HttpStream, encode_request
from spanwing.workers.http_worker import HttpWorker, RetireWorker, WorkerCallback
from spanwing.workers.worker_id import worker_id_of

RETRY_S = 0.5  # a call that may not wait for the core's pace is made again within this
DISCOVERY_MOVE_GRACE_S = (
    4.0  # after a move; until then a discovery may not be up yet, and from then on its list counts
)
FULL_LIST_TIMEOUT_S = 3.0  # for the whole list, which waits for its turn
# The protocol's: what a silent watch has missed counts as told so long after it fell silent, and not before
# so long after its call's wait is over.
SILENT_WATCH_NOTIFIED_S, OVERDUE_ANSWER_NOTIFIED_S = 6.0, 2.0
WATCH_REOPEN_MARGIN_S = (
    1.75  # of the time until sends must have stopped: for the call that opens a silent watch anew
)
STATE_OF_PHASE: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

logger = logging.getLogger("spanwing")


class WatchTiming(NamedTuple):
    """How the calls to discovery are timed."""

    poll_hold_s: float = 10.0  # a quiet watch answers after this
    answer_margin_s: float = 1.5  # and so much later at the latest, or it is broken; a connection stands then
    reopen_within_s: float = 0.75  # a broken watch is opened anew within this, by all schedulers
    retry_within_s: float = 0.0  # a failed call is made again within this; 0: when the core asks for it

    @classmethod
    def from_settings(cls, drain_grace_ms: float, is_pushed: bool, poll_interval_ms: float) -> WatchTiming:
        """From what the settings hold us to. What a silent watch has missed counts as told SILENCE_S after
        it fell silent, or TOLD_S after its wait, and sends must have stopped grace_ms later: by then the
        watch has to be opened anew and to have answered. Where the list is pushed, what discovery has
        counts at once, watch or no watch; where it is asked for, ask_every_ms after the last call."""
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
        ):  # a shorter wait is held to SILENCE_S alone
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


class DiscoveredWorker(msgspec.Struct):
    """One job worker as discovery has it."""

    id: str
    host_port: str = ""
    locality: str | None = None
    flavor: str | None = None
    cell: int | None = None
    phase: str = "active"
    size: float | None = None
    up_since_ms: float | None = None


class DiscoveredEndpoints(msgspec.Struct):
    """The list, or what changed in it."""

    revision: int = 0
    complete: bool = False
    members: list[DiscoveredWorker] = []


@dataclass(slots=True, eq=False)
class DiscoveryWatch:
    """The calls to one discovery; what they tell counts until the next watch has begun."""

    address: Address
    revision: int | None  # None: the whole list is asked for first
    failures_hidden_until_s: (
        float  # of the loop's time: before it failed calls are made again, and the core hears nothing
    )
    connection: HttpStream | None = None
    is_silent: bool = False  # the last call was still open when its wait was over


class StartWatch(NamedTuple):
    """Begin to watch."""


class ChangeDiscovery(NamedTuple):
    """Discovery has another address from now on."""

    address: Address


class WatchAnswer(NamedTuple):
    """Discovery has answered; None: the call failed."""

    endpoints: DiscoveredEndpoints | None
    watch: DiscoveryWatch


class WorkerCallbackReceived(NamedTuple):
    """A call-back for the next hop of this name."""

    worker_name: str
    callback: WorkerCallback
    is_from_peer_process: bool = False  # by another process: it goes no further


class WorkerRetired(NamedTuple):
    """A next hop has closed up."""

    worker_name: str
    worker: HttpWorker


class DiscoveryClient(Actor):
    """Owns the list; tells the core of changes."""

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
        ] = {}  # those that were replaced, with what is out there
        self.discovery_address, self.listener, self.buffers, self.make_worker = (
            discovery_address,
            listener,
            buffers,
            make_worker,
        )
        self.workers: dict[str, HttpWorker] = {}
        self.address_by_name: dict[str, str] = {}
        self.listed_names: set[str] = set()  # not gone
        self.discovered_by_name: dict[str, DiscoveredWorker] = {}  # what was last told of each that is listed
        self.revision: int | None = endpoints.revision
        self.on_unknown_callback: Callable[[WorkerCallbackReceived], None] | None = (
            None  # hears call-backs about no attempt of ours
        )
        self.current_watch: DiscoveryWatch | None = None
        self._apply_endpoints(endpoints, "persisted")

    def listed_workers(self) -> list[DiscoveredWorker]:
        """The list as discovery told it: what the fleet does with its zones is another matter."""
        return [self.discovered_by_name[name] for name in self.listed_names]

    def adopt_endpoints(self, endpoints: DiscoveredEndpoints) -> None:
        """Take over a list that another process had from the same discovery, unless ours is newer."""
        if endpoints.members and (self.current_watch is None or endpoints.revision > (self.revision or 0)):
            self.revision = endpoints.revision
            self._apply_endpoints(endpoints, "persisted")

    def worker_at(self, name: str, address: str) -> HttpWorker:
        """The next hop of this name; for one that is not listed (any more) a new one, which closes up once
        nothing is out there."""
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
        self.post(StartWatch())

    def change_discovery(self, address: Address) -> None:
        """Ask another discovery from now on."""
        self.post(ChangeDiscovery(address))

    def handle_message(self, message: Any) -> None:
        MESSAGE_HANDLERS[type(message)](self, message)

    def _handle_start_watch(self, _: StartWatch) -> None:
        if self.current_watch is None:
            self._start_watch(0.0)

    def _handle_change_discovery(self, move: ChangeDiscovery) -> None:
        if move.address == self.discovery_address:
            return
        # Revisions are a discovery's own: another one is asked for its whole list, and nothing that the
        # former still says may undo it. What is in flight at next hops does not depend on either.
        self.discovery_address, self.revision = move.address, None
        if self.current_watch is not None and self.current_watch.connection is not None:
            self.current_watch.connection.close()
        self._start_watch(DISCOVERY_MOVE_GRACE_S)

    def _start_watch(self, failures_hidden_s: float) -> None:
        self.current_watch = DiscoveryWatch(
            self.discovery_address, self.revision, self.loop.time() + failures_hidden_s
        )
        spawn_task(self._run_watch(self.current_watch))

    async def _run_watch(self, watch: DiscoveryWatch) -> None:
        """One call of the watch, and the next at once: a pause of 200 ms would end the watch."""
        while self.current_watch is watch:
            target = "/discovery/hosts"
            if watch.revision is not None:
                target += f"?since={watch.revision}&timeout_ms={self.timing.poll_hold_s * 1000.0:.0f}"
            response = await self._poll(watch, target)
            endpoints = None
            if response is not None and response.status == 200:
                try:
                    endpoints = msgspec.json.decode(response.body, type=DiscoveredEndpoints)
                except ValueError as error:
                    logger.warning("discovery's list cannot be read: %s", error)
            if endpoints is not None:
                watch.revision, watch.failures_hidden_until_s = endpoints.revision, 0.0
                self.post(WatchAnswer(endpoints, watch))
                continue
            if watch.connection is not None:
                watch.connection.close()
            backoff_s, now = RETRY_S, self.loop.time()
            if (
                watch.is_silent
            ):  # it is due again soon, however often, and also if it cannot be opened at once
                watch.failures_hidden_until_s = max(
                    watch.failures_hidden_until_s, now + WATCH_REOPEN_MARGIN_S
                )
                backoff_s = self.timing.reopen_within_s
            elif now >= watch.failures_hidden_until_s:
                backoff_s = self.timing.retry_within_s
                if not backoff_s:
                    self.post(WatchAnswer(None, watch))
                    return
            await sleep(random.uniform(0.0, backoff_s))

    async def _poll(self, watch: DiscoveryWatch, target: str) -> HttpMessage | None:
        connection, watch.is_silent = watch.connection, False
        is_poll_written = False
        try:
            if connection is None or not connection.is_reusable():
                stream = IOStream(open_socket(watch.address))
                connection = watch.connection = HttpStream(stream, self.buffers, parses_responses=True)
                await with_timeout(
                    timedelta(seconds=self.timing.answer_margin_s),
                    stream.connect(watch.address.socket_address),
                    quiet_exceptions=StreamClosedError,
                )
            await connection.write(encode_request("GET", target, {"Host": str(watch.address)}))
            is_poll_written = watch.revision is not None
            timeout = timedelta(
                seconds=FULL_LIST_TIMEOUT_S
                if watch.revision is None
                else self.timing.poll_hold_s + self.timing.answer_margin_s
            )
            response = await with_timeout(
                timeout, connection.receive(), quiet_exceptions=(HttpError, StreamClosedError)
            )
        except WaitOver:
            watch.is_silent = is_poll_written
            return None
        except (StreamClosedError, HttpError):
            return None
        if response is not None and not response.keep_alive:
            connection.close()
        return response

    def _handle_watch_answer(self, answer: WatchAnswer) -> None:
        if answer.watch is not self.current_watch:  # of a discovery that is no longer asked
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
        # One that came back while it closed up keeps its next hop, or its call-backs would be lost.
        if (
            self.workers.get(retired.worker_name) is retired.worker
            and retired.worker_name not in self.listed_names
        ):
            del self.workers[retired.worker_name], self.address_by_name[retired.worker_name]

    def _handle_callback(self, received: WorkerCallbackReceived) -> None:
        # Under one name a job worker may have moved; what it took at its former address ends by its word too.
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
        ):  # about no attempt of ours, or one that is over
            self.on_unknown_callback(received)


MESSAGE_HANDLERS = {
    StartWatch: DiscoveryClient._handle_start_watch,
    ChangeDiscovery: DiscoveryClient._handle_change_discovery,
    WatchAnswer: DiscoveryClient._handle_watch_answer,
    WorkerCallbackReceived: DiscoveryClient._handle_callback,
    WorkerRetired: DiscoveryClient._handle_retired,
}

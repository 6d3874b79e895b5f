"""Hot restart: one process replaces another on the same listening socket.

For both sides: no wait for the other process is longer than ANSWER_TIMEOUT_S, so no start and no answer hangs
on it; however the link ends, each side goes on as the only process.

The predecessor accepts until its successor is ready, transfers all its estimates at that moment, feeds no
worker that is warming up from then on, and never shuts the shared socket down. After SIGTERM its connections
are transferred, each complete. Both processes together hold no more connections than one may: what the
predecessor holds is deducted from the successor's limits.
"""

from __future__ import annotations

import os
import random
import socket
from collections.abc import Callable
from typing import NamedTuple

from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.messages import ClientConnection, DeliveryAttempt, JobRequest
from spanwing.core.request_manager import InFlightAttempt, PendingRequest, RequestManager
from spanwing.discovery.client import (
    DiscoveredEndpoints,
    DiscoveredWorker,
    DiscoveryClient,
    WorkerCallbackReceived,
)
from spanwing.frontends.http_server import HttpClientConnection, HttpServer
from spanwing.hot_restart.link import HotRestartLink, RendezvousSocket
from spanwing.hot_restart.messages import (
    ITEMS_PER_MESSAGE,
    MAX_BUFFERED_BYTES,
    VERSION,
    AcceptingStopped,
    ConnectionCounts,
    ForwardedCallback,
    HotRestartMessage,
    PredecessorDone,
    RequestIdChanges,
    SchedulerEstimates,
    SuccessorHello,
    SuccessorReady,
    TransferredConnection,
    TransferredRequest,
    WorkerEstimates,
    WorkerEstimatesBatch,
)
from spanwing.hot_restart.state_transfer import (
    RequestResumed,
    export_attempts,
    export_scheduler,
    export_worker,
    import_scheduler,
    import_worker,
    release_request,
    resume_feeding,
    stop_feeding,
)
from spanwing.workers.connection_pool import DescriptorBudget
from spanwing.workers.http_worker import HttpWorker, WorkerCallback

ANSWER_TIMEOUT_S = 1.0  # a predecessor that has not answered by then counts as hung; its link is closed
WATCH_RESUME_S = 0.2  # by the protocol, a watch continues another if it begins within this
COUNTS_INTERVAL_S = 0.05  # between checks of the connection counts
TRANSFER_INTERVAL_S = 0.005  # between checks of which connections can be transferred


class HotRestartContext(NamedTuple):
    """The daemon's parts whose state is transferred."""

    core: RequestManager
    discovery_client: DiscoveryClient
    descriptors: DescriptorBudget


class HotRestart:
    """Both roles of this process: successor of the process before it, predecessor of the next."""

    def __init__(self, rendezvous: RendezvousSocket, divide_connections: Callable[[], None]) -> None:
        self.rendezvous, self.divide_connections = rendezvous, divide_connections
        self.context: HotRestartContext | None = None
        self.server: HttpServer | None = None
        self.predecessor: HotRestartLink | None = None  # the process that this one replaces
        self.successor: HotRestartLink | None = None  # the process that replaces this one
        self.predecessor_counts = ConnectionCounts(0, 0)  # connections that the predecessor holds
        self.has_transferred_state = False  # the successor has the estimates
        self.is_draining = self.is_finished = False  # finished: nothing is left here
        self.peer_request_ids: set[str] = (
            set()
        )  # requests open at the other process: at most one for each of its connections
        self.transferred_request_ids: set[str] = (
            set()
        )  # requests transferred to the successor, each with its client's connection
        self.answer_received: Future[None] | None = None
        self.members: list[DiscoveredWorker] = []
        self.worker_estimates: list[WorkerEstimates] = []
        self.scheduler_estimates: SchedulerEstimates | None = None
        self.stop_listening: Callable[[], None] | None = None

    # As the successor.

    async def connect_to_predecessor(self) -> None:
        """Connects to the predecessor, if there is one, and waits for its connection counts."""
        link = self.rendezvous.connect()
        if link is None:
            return
        self.predecessor = link
        link.on_message, link.on_close = self._handle_predecessor_message, self._handle_predecessor_closed
        link.send(SuccessorHello(VERSION))
        await self._wait_for_answer()

    async def take_over(self, context: HotRestartContext) -> None:
        """Reports that this process is ready, and imports the predecessor's estimates."""
        self._attach(context)
        if self.predecessor is None:
            return
        self.predecessor.send(SuccessorReady())
        if not await self._wait_for_answer() or self.scheduler_estimates is None:
            return
        core, discovery_client = context.core, context.discovery_client
        if self.scheduler_estimates.discovery == str(discovery_client.discovery_address):
            discovery_client.adopt_endpoints(
                DiscoveredEndpoints(self.scheduler_estimates.revision or 0, True, self.members)
            )
        while core.mailbox:  # the worker list has to be applied first
            await sleep(0)
        now = core.clock.now_ms()
        import_scheduler(core.scheduler, self.scheduler_estimates, now)
        for each in self.worker_estimates:
            if each.worker_id in core.scheduler.worker_states:
                import_worker(core.scheduler.worker_states[each.worker_id], each, now)
        self.members, self.worker_estimates, self.scheduler_estimates = [], [], None
        # The watch continues the predecessor's; the random delay spreads 200 schedulers restarted at once.
        discovery_client.loop.call_later(random.uniform(0.0, WATCH_RESUME_S), discovery_client.watch)

    def start_serving(self, server: HttpServer) -> None:
        """Starts to accept clients and listens for a successor. Raises OSError."""
        self.server = server
        self.stop_listening = self.rendezvous.listen(self._accept_successor)

    async def _wait_for_answer(self) -> bool:
        """Returns whether the predecessor answered within ANSWER_TIMEOUT_S; if not, its link is closed."""
        self.answer_received = Future()
        timer = IOLoop.current().call_later(ANSWER_TIMEOUT_S, self._handle_answer_timeout)
        await self.answer_received
        IOLoop.current().remove_timeout(timer)
        self.answer_received = None
        return self.predecessor is not None

    def _handle_answer_timeout(self) -> None:
        if self.predecessor is not None:
            self.predecessor.close()
        self._handle_predecessor_closed()

    def _resolve_answer(self) -> None:
        if self.answer_received is not None and not self.answer_received.done():
            self.answer_received.set_result(None)

    def _handle_predecessor_closed(self) -> None:
        self.predecessor, self.predecessor_counts = None, ConnectionCounts(0, 0)
        self._forget_peer_requests()
        self._resolve_answer()
        self.divide_connections()

    def _handle_predecessor_message(self, message: HotRestartMessage, fd: int | None) -> None:
        if fd is not None and self.server is None:  # nothing is transferred before this process is ready
            os.close(fd)
            return
        if isinstance(message, TransferredConnection):
            if fd is not None:
                self._adopt_connection(message, fd)
        elif isinstance(message, ConnectionCounts):
            self.predecessor_counts = message
            self._resolve_answer()
            self.divide_connections()
        elif isinstance(message, WorkerEstimatesBatch):
            self.members += message.members
            self.worker_estimates += message.estimates
        elif isinstance(message, SchedulerEstimates):
            self.scheduler_estimates = message
        elif isinstance(message, AcceptingStopped):
            self._resolve_answer()
        elif isinstance(message, TransferredRequest):
            if fd is not None:
                self._adopt_request(message, fd)
        elif isinstance(message, PredecessorDone):
            self.predecessor.close()
        else:
            self._handle_common_message(message)

    def _adopt_connection(
        self, transferred: TransferredConnection, fd: int, pending: tuple[JobRequest, bool] | None = None
    ) -> ClientConnection:
        sock = socket.socket(fileno=fd)
        self.predecessor_counts.client_connections = max(0, self.predecessor_counts.client_connections - 1)
        self.server.table.max_connections += 1
        return self.server.adopt_connection(
            sock,
            transferred.buffered_bytes,
            transferred.has_sent_request,
            transferred.is_client,
            transferred.peer_address,
            pending,
        )

    def _adopt_request(self, transferred: TransferredRequest, fd: int) -> None:
        core, request = self.context.core, transferred.request
        self.peer_request_ids.discard(request.id)
        sender = self._adopt_connection(transferred.connection, fd, (request, transferred.keep_alive))
        call, in_flight = (
            PendingRequest(request, sender, transferred.deadline_ms, transferred.attempt_count),
            None,
        )
        for number, each in enumerate(transferred.attempts):
            if not each.is_open and not each.never_ran:
                core.attempt_may_have_run(call, each.forwarded_ms)
            if each.is_open:
                worker_connection = self.context.discovery_client.get_or_create_worker(
                    transferred.worker_name, transferred.worker_address
                )
                budget = max(0.0, transferred.expires_ms - core.clock.now_ms())
                worker_connection.resume_attempt(
                    DeliveryAttempt(request, number, budget, request.cls in core.safe_classes), core
                )
                in_flight = (
                    number,
                    InFlightAttempt(
                        worker_connection, each.worker_id, each.forwarded_ms, transferred.expires_ms, None
                    ),
                )
        core.resume_request(
            call,
            in_flight,
            RequestResumed(
                api.Request(
                    request.id,
                    request.cls,
                    transferred.deadline_ms,
                    request.tenant,
                    request.slots,
                    request.memory,
                    request.hint,
                    request.route_key,
                    request.repeat,
                ),
                transferred.arrived_ms,
                transferred.is_late,
                transferred.is_over_quota,
                transferred.attempts,
            ),
        )

    # As the predecessor.

    def _accept_successor(self, link: HotRestartLink) -> None:
        if self.successor is not None or self.is_draining:  # one successor at a time
            link.close()
            return
        self.successor = link
        link.on_message, link.on_close = self._handle_successor_message, self._handle_successor_closed

    def _handle_successor_message(self, message: HotRestartMessage, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)
        if isinstance(message, SuccessorHello):
            if message.version != VERSION:
                self.successor.close()
                return
            self.divide_connections()
            spawn_task(self._report_connection_counts(self.successor))
        elif isinstance(message, SuccessorReady):
            self._transfer_state()
        else:
            self._handle_common_message(message)

    def _transfer_state(self) -> None:
        core, discovery_client, link = self.context.core, self.context.discovery_client, self.successor
        self.has_transferred_state = True
        self.server.set_accepting(False)
        self._stop_listening()
        scheduler = core.scheduler
        members = discovery_client.listed_workers()
        estimates = [export_worker(view) for view in scheduler.worker_states.values()]
        stop_feeding(scheduler)
        for start in range(0, max(len(members), len(estimates)), ITEMS_PER_MESSAGE):
            link.send(
                WorkerEstimatesBatch(
                    members[start : start + ITEMS_PER_MESSAGE], estimates[start : start + ITEMS_PER_MESSAGE]
                )
            )
        ids = list(core.open_ids())
        for start in range(0, len(ids), ITEMS_PER_MESSAGE):
            link.send(RequestIdChanges(opened=ids[start : start + ITEMS_PER_MESSAGE]))
        link.send(
            export_scheduler(scheduler, discovery_client.revision, str(discovery_client.discovery_address))
        )
        link.send(AcceptingStopped())

    async def _report_connection_counts(self, link: HotRestartLink) -> None:
        """Reports the connections that the successor may not use, at each change, while the link is open."""
        reported = None
        while link.is_open:
            counts = self.connection_counts()
            if counts != reported:
                link.send(reported := counts)
            await sleep(COUNTS_INTERVAL_S)

    def connection_counts(self) -> ConnectionCounts:
        """Returns the connections that this process holds, or may still open."""
        descriptors = self.context.descriptors
        return ConnectionCounts(
            len(self.server.table.connections),
            descriptors.open_count if self.is_draining else max(descriptors.open_count, descriptors.max_open),
        )

    def _handle_successor_closed(self) -> None:
        """Resumes as the only process, unless everything was transferred."""
        if self.is_finished:
            return
        self.successor, had_transferred_state, self.has_transferred_state = (
            None,
            self.has_transferred_state,
            False,
        )
        self._forget_peer_requests()
        if had_transferred_state:
            resume_feeding(self.context.core.scheduler)
            self.server.set_accepting(True)
            if not self.is_draining:
                self.stop_listening = self.rendezvous.listen(self._accept_successor)
        self.divide_connections()

    async def transfer_connections(self) -> bool:
        """Transfers all connections after SIGTERM, until nothing is left here.

        Returns False if the successor ended first. The last wait, for the successor to close the link, is
        bounded by ANSWER_TIMEOUT_S.
        """
        self.is_draining = True
        while self.has_transferred_state and (
            self.server.table.connections or not self.context.core.is_idle() or self.successor.send_queue
        ):
            for each in list(self.server.table.connections):
                self._transfer_connection(each)
            await sleep(TRANSFER_INTERVAL_S)
        # The successor closes the link: closed from this side, it could lose messages still on it.
        self.is_finished = self.has_transferred_state
        if self.is_finished:
            deadline = IOLoop.current().time() + ANSWER_TIMEOUT_S
            self.successor.send(PredecessorDone())
            while self.successor.is_open and IOLoop.current().time() < deadline:
                await sleep(TRANSFER_INTERVAL_S)
        return self.is_finished

    def _transfer_connection(self, connection: HttpClientConnection) -> None:
        """Transfers one connection, with the request that is pending on it, if it can go now."""
        pending, link, transferred_request = connection.pending_request, self.successor, None
        if link is None or not link.is_open:
            return
        if (
            pending is not None
            and (transferred_request := self._build_transferred_request(connection, *pending)) is None
        ):
            return
        detached = connection.detach(MAX_BUFFERED_BYTES)
        if detached is None:
            return
        fd, data = detached
        transferred_connection = TransferredConnection(
            data, connection.has_sent_request, connection.is_client, connection.peer_address
        )
        if transferred_request is None:
            link.send(transferred_connection, fd)
            return
        transferred_request.connection = transferred_connection
        core, request_id = self.context.core, transferred_request.request.id
        for _, out in core.in_flight_attempts(request_id):
            out.connection.release_attempt(request_id)
        core.release_request(request_id)
        release_request(core.scheduler, request_id)
        self.transferred_request_ids.add(request_id)
        link.send(transferred_request, fd)

    def _build_transferred_request(
        self, connection: HttpClientConnection, request: JobRequest, keep_alive: bool
    ) -> TransferredRequest | None:
        """Returns the message that describes a request.

        None while an attempt of it is being sent or cancelled, and if it is recorded in a journal.
        """
        core = self.context.core
        call, job = core.pending_requests.get(request.id), core.scheduler.jobs.get(request.id)
        if call is None or call.client is not connection or job is None or core.recorder is not None:
            return None
        transferred = TransferredRequest(
            TransferredConnection(b"", True, True, ""),
            keep_alive,
            request,
            call.deadline_ms,
            job.arrived_ms,
            job.is_late,
            job.is_over_quota,
            call.attempt_count,
            export_attempts(job),
        )
        for number, out in core.in_flight_attempts(request.id):
            if (
                not isinstance(out.connection, HttpWorker)
                or out.connection.find_transferable(request.id, number) is None
            ):
                return None
            transferred.worker_name, transferred.worker_address, transferred.expires_ms = (
                out.connection.name,
                out.connection.address,
                out.expires_ms,
            )
        return transferred

    # In both roles.

    def _attach(self, context: HotRestartContext) -> None:
        self.context = context
        context.core.remote_open_ids = self.peer_request_ids
        context.core.on_open_change = self._announce_request
        context.discovery_client.on_unknown_callback = self._forward_callback

    def peer_link(self) -> HotRestartLink | None:
        """Returns the link to the other process, once both know of each other; None without one."""
        return self.successor if self.has_transferred_state else self.predecessor

    def has_peer(self) -> bool:
        """Returns whether there is a predecessor or a successor."""
        return self.predecessor is not None or self.successor is not None

    def _handle_common_message(self, message: HotRestartMessage) -> None:
        if (
            isinstance(message, ForwardedCallback)
            and message.request_id in self.transferred_request_ids
            and self.successor is not None
        ):
            self.successor.send(message)  # the request went to the successor meanwhile
        elif isinstance(message, ForwardedCallback):
            event = WorkerCallback(message.request_id, message.state, message.body, message.report)
            self.context.discovery_client.post(WorkerCallbackReceived(message.worker_name, event, True))
        elif isinstance(message, RequestIdChanges):
            self.peer_request_ids.update(message.opened)
            self.peer_request_ids.difference_update(message.ended)

    def _forward_callback(self, callback: WorkerCallbackReceived) -> None:
        link = self.peer_link()
        if link is not None:
            event = callback.callback
            link.send(
                ForwardedCallback(callback.worker_name, event.request, event.state, event.body, event.report)
            )

    def _announce_request(self, request_id: str, is_open: bool) -> None:
        link = self.peer_link()
        if link is not None:
            link.send(
                RequestIdChanges(opened=[request_id]) if is_open else RequestIdChanges(ended=[request_id])
            )

    def _forget_peer_requests(self) -> None:
        self.peer_request_ids.clear()

    def _stop_listening(self) -> None:
        if self.stop_listening is not None:
            self.stop_listening()
            self.stop_listening = None

    def close(self) -> None:
        """Stops listening for a successor and closes both links."""
        self._stop_listening()
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.close()

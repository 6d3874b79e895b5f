"""Hot restart: one process replaces another on the same listening socket.

Neither process waits longer than ANSWER_TIMEOUT_S for the other, so a peer that hangs cannot block a start or
an answer. When the link ends, for whatever reason, each process continues on its own.

The predecessor accepts clients until its successor is ready. It then sends all its estimates and stops
feeding workers that are warming up. It never shuts the shared socket down. After SIGTERM it transfers its
connections, each with its complete state. Both processes together hold no more connections than the limit of
one process: the connections of the predecessor are deducted from the limits of the successor.
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
from spanwing.frontends.http_connection import HttpClientConnection
from spanwing.frontends.http_server import HttpServer
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

ANSWER_TIMEOUT_S = 1.0  # a predecessor that does not answer in time counts as hung, and its link is closed
WATCH_RESUME_S = 0.2  # the discovery protocol lets a watch continue an earlier one that ended this recently
COUNTS_INTERVAL_S = 0.05  # interval between checks of the connection counts
TRANSFER_INTERVAL_S = 0.005  # interval between attempts to transfer the remaining connections


class HotRestartContext(NamedTuple):
    """The components of the daemon whose state is transferred."""

    core: RequestManager
    discovery_client: DiscoveryClient
    descriptors: DescriptorBudget


class HotRestart:
    """Both roles of a process: the successor of an earlier process and the predecessor of a later one.

    divide_connections is called whenever the limits on connections have to be divided anew between the two
    processes.
    """

    def __init__(self, rendezvous: RendezvousSocket, divide_connections: Callable[[], None]) -> None:
        self.rendezvous, self.divide_connections = rendezvous, divide_connections
        self.context: HotRestartContext | None = None
        self.server: HttpServer | None = None
        self.predecessor: HotRestartLink | None = None  # the process that this one replaces
        self.successor: HotRestartLink | None = None  # the process that replaces this one
        self.predecessor_counts = ConnectionCounts(0, 0)  # connections that the predecessor holds
        self.has_transferred_state = False  # whether the successor has received the estimates
        self.is_draining = self.is_finished = False  # finished: all connections have been transferred
        # Requests open in the other process, and ended ones that must not run again (EndedRequests).
        self.peer_request_ids: set[str] = set()
        # Requests transferred to the successor, each with its client's connection.
        self.transferred_request_ids: set[str] = set()
        self.answer_received: Future[None] | None = None
        # Received from the predecessor, and imported by take_over().
        self.members: list[DiscoveredWorker] = []
        self.worker_estimates: list[WorkerEstimates] = []
        self.scheduler_estimates: SchedulerEstimates | None = None
        self.stop_listening: Callable[[], None] | None = None

    # Methods of the successor.

    async def connect_to_predecessor(self) -> None:
        """Connects to the predecessor, if there is one, and waits for its connection counts.

        Waits at most ANSWER_TIMEOUT_S.
        """
        link = self.rendezvous.connect()
        if link is None:
            return
        self.predecessor = link
        link.on_message, link.on_close = self._handle_predecessor_message, self._handle_predecessor_closed
        link.send(SuccessorHello(VERSION))
        await self._wait_for_answer()

    async def take_over(self, context: HotRestartContext) -> None:
        """Reports that this process is ready, and imports the predecessor's estimates.

        Imports nothing if there is no predecessor, or if it does not answer within ANSWER_TIMEOUT_S.
        """
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
        while core.mailbox:  # the estimates apply only to workers of the endpoint list that is queued here
            await sleep(0)
        now_ms = core.clock.now_ms()
        import_scheduler(core.scheduler, self.scheduler_estimates, now_ms)
        for estimates in self.worker_estimates:
            if estimates.worker_id in core.scheduler.worker_states:
                import_worker(core.scheduler.worker_states[estimates.worker_id], estimates, now_ms)
        self.members, self.worker_estimates, self.scheduler_estimates = [], [], None
        # The new watch continues the predecessor's. The random delay spreads the requests when 200 schedulers
        # are restarted at once.
        discovery_client.loop.call_later(random.uniform(0.0, WATCH_RESUME_S), discovery_client.watch)

    def start_serving(self, server: HttpServer) -> None:
        """Allows connections to be transferred to the server, and listens for a successor.

        Raises OSError if the rendezvous socket cannot be opened.
        """
        self.server = server
        self.stop_listening = self.rendezvous.listen(self._accept_successor)

    async def _wait_for_answer(self) -> bool:
        """Returns whether the predecessor answered within ANSWER_TIMEOUT_S; closes its link if not."""
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
        if fd is not None and self.server is None:  # no connection may be transferred yet
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
        """Continues a connection that the predecessor has transferred, and returns it.

        pending is the request that is waiting for its answer on it, and whether the connection is kept alive
        after the answer. The connection moves from the predecessor's share of the limit to this process's.
        """
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
        """Continues an open request of the predecessor, with its client's connection and open attempt."""
        core, request = self.context.core, transferred.request
        self.peer_request_ids.discard(request.id)
        connection = self._adopt_connection(transferred.connection, fd, (request, transferred.keep_alive))
        pending_request, in_flight = (
            PendingRequest(request, connection, transferred.deadline_ms, transferred.attempt_count),
            None,
        )
        for number, attempt in enumerate(transferred.attempts):
            if not attempt.is_open and not attempt.never_ran:
                core.attempt_may_have_run(pending_request, attempt.forwarded_ms)
            if attempt.is_open:
                worker_connection = self.context.discovery_client.get_or_create_worker(
                    transferred.worker_name, transferred.worker_address
                )
                budget_ms = max(0.0, transferred.expires_ms - core.clock.now_ms())
                worker_connection.resume_attempt(
                    DeliveryAttempt(request, number, budget_ms, request.cls in core.safe_classes),
                    core,
                    has_started=attempt.started_ms > 0,
                )
                in_flight = (
                    number,
                    InFlightAttempt(
                        worker_connection,
                        attempt.worker_id,
                        attempt.forwarded_ms,
                        transferred.expires_ms,
                        None,
                        is_unsafe=request.cls in core.unsafe_classes,
                    ),
                )
        core.resume_request(
            pending_request,
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

    # Methods of the predecessor.

    def _accept_successor(self, link: HotRestartLink) -> None:
        if self.successor is not None or self.is_draining:  # only one successor at a time
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
        """Stops accepting and feeding; sends estimates, the endpoint list and the ids of open requests."""
        core, discovery_client, link = self.context.core, self.context.discovery_client, self.successor
        self.has_transferred_state = True
        self.server.set_accepting(False)
        self._stop_listening()
        scheduler = core.scheduler
        members = discovery_client.listed_workers()
        estimates = [export_worker(worker) for worker in scheduler.worker_states.values()]
        stop_feeding(scheduler)
        for start in range(0, max(len(members), len(estimates)), ITEMS_PER_MESSAGE):
            link.send(
                WorkerEstimatesBatch(
                    members[start : start + ITEMS_PER_MESSAGE], estimates[start : start + ITEMS_PER_MESSAGE]
                )
            )
        request_ids = list(core.open_ids())
        for start in range(0, len(request_ids), ITEMS_PER_MESSAGE):
            link.send(RequestIdChanges(opened=request_ids[start : start + ITEMS_PER_MESSAGE]))
        link.send(
            export_scheduler(scheduler, discovery_client.revision, str(discovery_client.discovery_address))
        )
        link.send(AcceptingStopped())

    async def _report_connection_counts(self, link: HotRestartLink) -> None:
        """Reports each change of the connection counts to the successor while the link is open."""
        reported = None
        while link.is_open:
            counts = self.connection_counts()
            if counts != reported:
                link.send(reported := counts)
            await sleep(COUNTS_INTERVAL_S)

    def connection_counts(self) -> ConnectionCounts:
        """Returns the connections that this process holds or may still open.

        While it drains, it opens no worker connections beyond those that it holds.
        """
        descriptors = self.context.descriptors
        return ConnectionCounts(
            len(self.server.table.connections),
            descriptors.open_count if self.is_draining else max(descriptors.open_count, descriptors.max_open),
        )

    def _handle_successor_closed(self) -> None:
        """Resumes accepting and feeding as the only process, unless all connections have been transferred."""
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
        """Transfers all connections and open requests to the successor; called after SIGTERM.

        Returns whether all were transferred; False if the link to the successor ended before that. The final
        wait for the successor to close the link is bounded by ANSWER_TIMEOUT_S.
        """
        self.is_draining = True
        while self.has_transferred_state and (
            self.server.table.connections or not self.context.core.is_idle() or self.successor.send_queue
        ):
            for connection in list(self.server.table.connections):
                self._transfer_connection(connection)
            await sleep(TRANSFER_INTERVAL_S)
        # The successor closes the link. If this process closed it, unread messages could be lost.
        self.is_finished = self.has_transferred_state
        if self.is_finished:
            deadline = IOLoop.current().time() + ANSWER_TIMEOUT_S
            self.successor.send(PredecessorDone())
            while self.successor.is_open and IOLoop.current().time() < deadline:
                await sleep(TRANSFER_INTERVAL_S)
        return self.is_finished

    def _transfer_connection(self, connection: HttpClientConnection) -> None:
        """Transfers a connection and the request that is pending on it, if this is possible now."""
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
        fd, buffered_bytes = detached
        transferred_connection = TransferredConnection(
            buffered_bytes, connection.has_sent_request, connection.is_client, connection.peer_address
        )
        if transferred_request is None:
            link.send(transferred_connection, fd)
            return
        transferred_request.connection = transferred_connection
        core, request_id = self.context.core, transferred_request.request.id
        for _, in_flight in core.in_flight_attempts(request_id):
            in_flight.connection.release_attempt(request_id)
        core.release_request(request_id)
        release_request(core.scheduler, request_id)
        self.transferred_request_ids.add(request_id)
        link.send(transferred_request, fd)

    def _build_transferred_request(
        self, connection: HttpClientConnection, request: JobRequest, keep_alive: bool
    ) -> TransferredRequest | None:
        """Returns the message that transfers a request, or None if it cannot be transferred now.

        It cannot be transferred while one of its attempts is being sent or cancelled, nor at all if requests
        are recorded in a journal or a worker must not get it again, which the message cannot tell. The
        connection in the message is a placeholder, which the caller replaces.
        """
        core = self.context.core
        pending_request, job = core.pending_requests.get(request.id), core.scheduler.jobs.get(request.id)
        if (
            pending_request is None
            or pending_request.client is not connection
            or job is None
            or core.recorder is not None
            or any(each.excludes_worker for each in job.attempts)
        ):
            return None
        transferred = TransferredRequest(
            TransferredConnection(b"", True, True, ""),
            keep_alive,
            request,
            pending_request.deadline_ms,
            job.arrived_ms,
            job.is_late,
            job.is_over_quota,
            pending_request.attempt_count,
            export_attempts(job),
        )
        for number, in_flight in core.in_flight_attempts(request.id):
            if (
                not isinstance(in_flight.connection, HttpWorker)
                or in_flight.connection.find_transferable(request.id, number) is None
            ):
                return None
            transferred.worker_name, transferred.worker_address, transferred.expires_ms = (
                in_flight.connection.name,
                in_flight.connection.address,
                in_flight.expires_ms,
            )
        return transferred

    # Methods of both roles.

    def _attach(self, context: HotRestartContext) -> None:
        self.context = context
        context.core.remote_open_ids = self.peer_request_ids
        context.core.on_open_change = self._announce_request
        context.discovery_client.on_unknown_callback = self._forward_callback

    def peer_link(self) -> HotRestartLink | None:
        """Returns the link to the process that shares requests with this one, or None.

        A successor counts only once it has received the estimates.
        """
        return self.successor if self.has_transferred_state else self.predecessor

    def has_peer(self) -> bool:
        """Returns whether this process has a link to a predecessor or a successor."""
        return self.predecessor is not None or self.successor is not None

    def _handle_common_message(self, message: HotRestartMessage) -> None:
        if (
            isinstance(message, ForwardedCallback)
            and message.request_id in self.transferred_request_ids
            and self.successor is not None
        ):
            self.successor.send(message)  # the request has been transferred to the successor since
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
        """Takes over what the other process knew of ids that must not run again; it has ended."""
        if self.context is not None:
            self.context.core.remember_ended(self.peer_request_ids)
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

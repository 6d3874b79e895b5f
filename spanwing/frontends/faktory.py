"""The Faktory frontend: converts the commands of clients and workers to requests and results.

A client's PUSH becomes a request to the core. A worker's FETCH, ACK, FAIL and BEAT are passed to the actor of
that worker. Each connection is bounded by a connection table, as on the HTTP listeners.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import TypeVar

import msgspec
from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.messages import (
    FinalAnswer,
    JobRequest,
)
from spanwing.frontends.faktory_jobs import (
    JobReceiver,
    JobStates,
    PushedJob,
    encode_acceptance,
    encode_answer,
)
from spanwing.frontends.request_id import is_request_id
from spanwing.json_input import decode_json
from spanwing.log import log_event
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
from spanwing.net.connection_table import (
    EVICTION_GRACE_S,
    LINGER_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    RANK_FINISHED,
    RANK_IDLE,
    RANK_PARTIAL,
    RANK_SILENT,
    READ_AHEAD_BYTES,
    WRITE_STALL_TIMEOUT_S,
    ConnectionTable,
)
from spanwing.net.http import is_field_value
from spanwing.net.http_parser import MAX_HEAD_BYTES
from spanwing.net.proxied_connections import Network, is_proxy_source, peer_address_of, read_peer_address
from spanwing.net.proxy_protocol import ProxyError
from spanwing.net.resp import OK, encode_bulk, encode_error, encode_simple
from spanwing.net.stream import LineStream, LineTooLongError
from spanwing.net.tcp_stream import TcpStream
from spanwing.resources.memory_account import CONNECTION_BYTES, REQUEST_BYTES, MemoryCharge
from spanwing.store.claims import Claim, Claims
from spanwing.store.store import NoQuorumError
from spanwing.workers.faktory_worker import (
    JOB_CONTENT_TYPE,
    ConnectionClosed,
    FaktoryWorker,
    FaktoryWorkerDirectory,
    FetchedJob,
    FetchRequested,
    HeartbeatReceived,
    JobFinished,
    WorkerJoined,
)

MAX_LINE_BYTES = 128 * 1024
MAX_TIMEOUT_MS = 3_600_000.0
MIN_JID_LENGTH = 8  # as in Faktory
MAX_WORKER_ID_LENGTH = 200
MAX_LABELS = 64  # in a HELLO
MAX_LABEL_LENGTH = 200
USED_LABELS = frozenset({"zone", "kind", "cell", "started_ms"})
MIN_JOB_BYTES = 40  # jid, jobtype and args with the least that is valid
MAX_BULK_JOBS = MAX_LINE_BYTES // MIN_JOB_BYTES  # in a PUSHB
MAX_EFFECT_KEY_LENGTH = MAX_HEAD_BYTES // 2  # it has to fit in the head of a request to a worker
PUSH_COMMANDS = ("PUSH", "PUSHB")
TIMEOUT_REPLY = encode_error("ERR", "not whole in time")
NO_MEMORY_TEXT = "not taken, too much memory is in use, try again later"
NO_MEMORY_REPLY = encode_error("BUSY", NO_MEMORY_TEXT)

T = TypeVar("T")

logger = logging.getLogger("spanwing")


class FaktoryHello(msgspec.Struct):
    """The arguments of HELLO.

    A wid marks the connection of a worker; its labels, written `name:value`, give its zone, kind and cell.
    """

    v: int = 2
    wid: str = ""
    labels: list[str] = []


def read_labels(hello: FaktoryHello) -> dict[str, str]:
    """Returns the values of the labels that are used, by name. Raises ValueError if HELLO is malformed."""
    if len(hello.wid) > MAX_WORKER_ID_LENGTH:
        raise ValueError(f"wid has more than {MAX_WORKER_ID_LENGTH} characters")
    if len(hello.labels) > MAX_LABELS or any(len(each) > MAX_LABEL_LENGTH for each in hello.labels):
        raise ValueError(f"more than {MAX_LABELS} labels, or one of more than {MAX_LABEL_LENGTH} characters")
    pairs = (each.split(":", 1) for each in hello.labels if ":" in each)
    labels = {name: value for name, value in pairs if name in USED_LABELS}
    int(labels.get("cell", "0")), float(labels.get("started_ms", "0"))
    return labels


def _consume(items: list[T]) -> Iterator[T]:
    """Yields the items in order, and drops each from the list."""
    items.reverse()
    while items:
        yield items.pop()


class FaktoryCustom(msgspec.Struct):
    """The fields of a job's `custom` that the scheduler uses; unknown fields are ignored."""

    tenant: str | None = None
    slots: int = 1
    memory: float = 0.0
    hint: float = 0.0
    route_key: str | None = None
    effect_key: str | None = None
    again: bool = False
    budget_ms: float | None = None
    answer: str = "accepted"  # with "outcome", the reply to PUSH waits for the job's final answer


class FaktoryJob(msgspec.Struct):
    """The arguments of PUSH: a job."""

    jid: str
    jobtype: str
    args: msgspec.Raw  # an array; passed on unread
    queue: str = "default"
    at: str | None = None
    custom: FaktoryCustom | None = None


class FaktoryJobId(msgspec.Struct):
    """The arguments of ACK and FAIL: the id of a job."""

    jid: str


class HeartbeatBody(msgspec.Struct):
    """The arguments of BEAT."""

    wid: str
    current_state: str = ""


def is_idempotency_key(text: str) -> bool:
    """Returns whether a key can be passed on as `Idempotency-Key`, which HTTP workers expect."""
    return len(text) <= MAX_EFFECT_KEY_LENGTH and is_field_value(text)


class CommandError(Exception):
    """A command cannot be executed; it is answered with an error, and the connection continues."""

    def __init__(self, text: str, error_code: str = "ERR") -> None:
        super().__init__(text)
        self.error_code = error_code


class FaktoryProtocolError(Exception):
    """The input violates the protocol; it is answered with an error, and the connection is closed."""


class FaktoryFrontend:
    """The listener; owns its connections, and the states of recent jobs that it reports."""

    def __init__(
        self,
        address: Address,
        request_manager: JobReceiver,
        worker_directory: FaktoryWorkerDirectory,
        claims: Claims,
        buffers: BufferPool,
        max_connections: int,
        counters: Callable[[], dict[str, int]],
        proxy_sources: tuple[Network, ...] = (),
        find_interrupted: Callable[[str], str] = lambda jid: "",
    ) -> None:
        self.proxy_sources = proxy_sources
        #: Returns the journal's state of a job that a crash has interrupted, or an empty string.
        self.find_interrupted = find_interrupted
        self.request_manager, self.worker_directory, self.claims, self.buffers = (
            request_manager,
            worker_directory,
            claims,
            buffers,
        )
        self.counters = counters
        self.job_states = JobStates()
        self.table: ConnectionTable[FaktoryConnection] = ConnectionTable(max_connections)
        self.is_draining = False
        self.address = listen(address, self._accept).address

    def _accept(self, sock) -> None:
        if not self.table.make_room():
            with suppress(OSError):
                sock.send(encode_error("ERR", "too many connections, try again later"))
            sock.close()
            return
        peer_address = peer_address_of(sock)
        connection = FaktoryConnection(
            self,
            TcpStream(sock, max_buffer_size=MAX_LINE_BYTES + READ_AHEAD_BYTES),
            peer_address,
            is_proxy_source(peer_address, self.proxy_sources),
        )
        self.table.connections.add(connection)
        spawn_task(connection.serve())

    def has_unanswered_pushes(self) -> bool:
        """Returns whether a PUSH that was read has no reply: it waits for its claim or its acceptance."""
        return any(each.is_pushing for each in self.table.connections)

    def announce_drain(self) -> None:
        """Starts a drain: clients are notified at their next PUSH, workers at their next BEAT."""
        self.is_draining = True

    def drain(self, reject_new: bool = False) -> None:
        """Starts a drain; connections stay open. reject_new has no effect, as every PUSH is rejected."""
        self.is_draining = True

    def cancel_drain(self) -> None:
        """Ends the drain."""
        self.is_draining = False

    async def claim_job(self, job: FaktoryJob, service_class: api.ServiceClass) -> Claim | FinalAnswer | None:
        """Claims a non-idempotent job in the store, as it must never run twice.

        Returns the claim, None if the class needs no claim, or the answer if the job was claimed before.
        Raises CommandError (BUSY) if the store has no majority.
        """
        if service_class.idempotency != "unsafe":
            return None
        try:
            is_new, claim = await self.claims.claim(job.jid)
        except NoQuorumError as error:
            raise CommandError(f"not taken, the store has no majority: {error}", "BUSY") from None
        if is_new:
            return claim
        return FinalAnswer("repeated" if claim.state == "claimed" else claim.state)

    def build_request(self, job: FaktoryJob, service_class: api.ServiceClass, body: bytes) -> JobRequest:
        """Converts a job to a request; raises CommandError if a value in `custom` is out of range."""
        custom = job.custom or FaktoryCustom()
        timeout_ms = service_class.deadline_ms if custom.budget_ms is None else custom.budget_ms
        if custom.slots < 1 or custom.memory < 0 or not timeout_ms >= 0:
            raise CommandError("custom: slots, memory or budget_ms out of range")
        if not all((text or "").isprintable() for text in (custom.tenant, custom.route_key)):
            raise CommandError("custom: tenant or route_key has a control character")
        if custom.effect_key is not None and not is_idempotency_key(custom.effect_key):
            raise CommandError(
                "custom: effect_key has a character that a header cannot carry, or is too long"
            )
        # Workers drop a repeat of a keyed job by its key, also one that this scheduler makes.
        default_effect_key = job.jid if service_class.idempotency == "keyed" else None
        return JobRequest(
            id=job.jid,
            cls=service_class.name,
            budget=min(timeout_ms, MAX_TIMEOUT_MS),
            tenant=custom.tenant,
            slots=custom.slots,
            memory=custom.memory,
            hint=custom.hint,
            route_key=custom.route_key,
            repeat=custom.again,
            target=f"/{service_class.name}",
            body=body,
            effect_key=custom.effect_key or default_effect_key,
            media=JOB_CONTENT_TYPE,
            front="faktory",
        )


class FaktoryConnection:
    """One connection of a client or worker; commands are executed one at a time."""

    def __init__(
        self,
        frontend: FaktoryFrontend,
        stream: IOStream,
        peer_address: str = "",
        awaits_proxy_header: bool = False,
    ) -> None:
        #: The peer's address (the balancer's until its header is read); whether a PROXY header is expected.
        self.peer_address, self.awaits_proxy_header = peer_address, awaits_proxy_header
        self.frontend, self.line_stream = frontend, LineStream(stream, frontend.buffers, MAX_LINE_BYTES)
        self.mailbox: Queue[FinalAnswer | None] = Queue()
        self.is_closed = False
        self.is_busy = False
        self.is_pushing = False  # a PUSH or PUSHB is being answered
        self.is_finished = False
        self.idle_since_s = IOLoop.current().time()  # loop time of the accept or the last reply
        self.worker_id: str | None = None  # from HELLO, empty for a client; None before HELLO
        self.worker: FaktoryWorker | None = None
        self.pending_fetch: Future[FetchedJob | None] | None = None
        self.connection_charge = MemoryCharge(frontend.buffers.account, "connections")
        self.connection_charge.set(CONNECTION_BYTES)
        frontend.buffers.account.holders.add(self)
        stream.set_close_callback(self._handle_close)

    def _handle_close(self) -> None:
        self.is_closed = True
        self.mailbox.put_nowait(None)
        # Otherwise a job could be sent to the closed connection, which would count as an attempt.
        if self.pending_fetch is not None and not self.pending_fetch.done():
            self.pending_fetch.set_result(None)

    async def serve(self) -> None:
        """Reads and answers commands until the connection ends."""
        try:
            if self.awaits_proxy_header:
                peer = await read_peer_address(
                    self.line_stream, self.line_stream.data, MESSAGE_TIMEOUT_S, self.peer_address
                )
                if peer is None:
                    return
                self.peer_address = peer
            await self.line_stream.write(encode_simple('HI {"v":2}'))
            while await self._serve_command():
                if self.line_stream.data:
                    await sleep(0)  # a peer that pipelines commands must not monopolize the event loop
        except (FaktoryProtocolError, LineTooLongError) as protocol_error:
            await self._write_last(encode_error("ERR", str(protocol_error) or "line too long"))
        except ProxyError as protocol_error:
            log_event("proxy", level="warning", peer=self.peer_address, reason=str(protocol_error))
        except StreamClosedError:
            pass
        finally:
            self.is_busy = self.is_pushing = False
            self.is_finished = True
            if self.worker is not None:
                self.frontend.worker_directory.post(ConnectionClosed(self.worker_id))
            await self.line_stream.close_gracefully(LINGER_TIMEOUT_S)
            self.connection_charge.set(0)
            self.frontend.table.connections.discard(self)

    async def _serve_command(self) -> bool:
        """Reads and answers one command; returns whether another one may follow.

        The command is only held here and in the functions below, so that nothing of it is left when the
        connection rests.
        """
        line = await self.line_stream.read_line(MESSAGE_TIMEOUT_S, self.worker_id is None, TIMEOUT_REPLY)
        if line is None:
            return False
        self.is_busy = True
        verb_bytes, _, arguments = line.partition(b" ")
        verb = verb_bytes.decode("ascii", "replace").upper()
        del line
        # Notices if the peer closes while this command waits, even behind pipelined commands.
        self.line_stream.start_read_ahead(self.line_stream.data, READ_AHEAD_BYTES)
        try:
            reply = await self._run_command(verb, arguments)
        except CommandError as error:
            reply = encode_error(error.error_code, str(error))
        finally:
            self.line_stream.stop_read_ahead()
        if reply is not None:
            await self.line_stream.write(reply, WRITE_STALL_TIMEOUT_S)
        self.is_busy = self.is_pushing = False
        self.idle_since_s = IOLoop.current().time()
        return verb != "END"

    def shed_bytes(self) -> int:
        """Returns the bytes of an incomplete command that may be given up."""
        return 0 if self.is_busy or self.is_finished else len(self.line_stream.data)

    def shed(self) -> None:
        """Gives up an incomplete command: it is answered with an error, and the connection ends."""
        self.is_finished = True
        self.line_stream.reject_input(NO_MEMORY_REPLY, LINGER_TIMEOUT_S)

    @property
    def last_activity_s(self) -> float:
        """Returns the loop time of the accept, the last reply or the last input, whichever is latest.

        Input counts, so a message that is still arriving is not treated as stalled.
        """
        return max(self.idle_since_s, self.line_stream.last_read_s)

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns the rank for the connection table, or None if the connection must not be evicted."""
        if self.is_finished:
            return RANK_FINISHED
        if self.is_busy or self.worker is not None:  # the end of its last connection removes a worker
            return None
        if self.line_stream.data:
            return RANK_PARTIAL if inactive_s > EVICTION_GRACE_S else None
        return RANK_SILENT if self.worker_id is None else RANK_IDLE

    def has_no_pending_input(self) -> bool:
        """Returns whether the connection has no unread input and the peer has not closed."""
        return self.line_stream.has_no_pending_input()

    def close(self) -> None:
        """Closes the connection at once."""
        self.line_stream.close()

    async def _write_last(self, data: bytes) -> None:
        with suppress(StreamClosedError):
            await self.line_stream.write(data)

    async def _run_command(self, verb: str, arguments: bytes) -> bytes | None:
        if self.worker_id is None and verb not in ("HELLO", "END"):
            raise FaktoryProtocolError("HELLO comes first")
        command = COMMANDS.get(verb)
        if command is None:
            raise CommandError(f"unknown command {verb[:20]!a}")
        self.is_pushing = verb in PUSH_COMMANDS
        return await command(self, arguments)

    def _decode(self, data: bytes, message_type: type):
        try:
            return decode_json(data, message_type)
        except ValueError as error:
            raise CommandError(f"malformed: {error}") from None

    def _decode_job(self, data: bytes | msgspec.Raw) -> FaktoryJob:
        job = self._decode(data, FaktoryJob)
        if memoryview(job.args)[0] != ord("["):
            raise CommandError("malformed: Expected `array` - at `$.args`")
        return job

    async def _handle_hello(self, body: bytes) -> bytes:
        if self.worker_id is not None:
            raise FaktoryProtocolError("HELLO came before")
        try:
            hello = decode_json(body, FaktoryHello)
            labels = read_labels(hello)
        except ValueError as error:
            raise FaktoryProtocolError(f"malformed HELLO: {error}") from None
        if hello.v > 2:
            raise FaktoryProtocolError(f"protocol version {hello.v} is not spoken here")
        self.worker_id = hello.wid
        if self.worker_id:
            worker: Future[FaktoryWorker] = Future()
            self.frontend.worker_directory.post(
                WorkerJoined(self.worker_id, labels, self.peer_address, worker)
            )
            self.worker = await worker
        return OK

    async def _handle_push(self, body: bytes) -> bytes:
        return await self._submit_job(self._decode_job(body), body)

    async def _handle_push_bulk(self, body: bytes) -> bytes:
        """Submits each job separately; the reply maps the ids of rejected jobs to their errors."""
        errors = {}
        jobs = self._decode(body, list[msgspec.Raw])
        if len(jobs) > MAX_BULK_JOBS:
            raise CommandError(f"PUSHB has more than {MAX_BULK_JOBS} jobs")
        for raw in _consume(jobs):
            jid = ""
            try:
                jid = self._decode(raw, FaktoryJobId).jid
                job = self._decode_job(raw)
                if job.custom is not None:
                    job.custom.answer = "accepted"
                reply = await self._submit_job(job, bytes(raw))
                if reply != OK:
                    errors[jid] = reply[1:].decode().strip()
            except CommandError as error:
                errors[jid] = str(error)
        return encode_bulk(msgspec.json.encode(errors))

    async def _submit_job(self, job: FaktoryJob, body: bytes) -> bytes:
        service_class = self.frontend.request_manager.service_classes.get(job.queue)
        if service_class is None:
            raise CommandError(f"no class of the name of queue {job.queue[:40]!a}")
        if len(job.jid) < MIN_JID_LENGTH or not is_request_id(job.jid) or not job.jobtype:
            raise CommandError("jid needs 8 to 200 plain characters, jobtype a name")
        if job.at is not None:
            raise CommandError("jobs for later are not taken")
        if self.frontend.is_draining:
            raise CommandError("going down, try another", "BUSY")
        if not self.frontend.buffers.account.has_room(REQUEST_BYTES + len(body)):
            raise CommandError(NO_MEMORY_TEXT, "BUSY")
        waits_for_outcome = job.custom is not None and job.custom.answer == "outcome"
        request = self.frontend.build_request(job, service_class, body)
        if service_class.idempotency == "unsafe" and (
            interrupted_state := self.frontend.find_interrupted(job.jid)
        ):
            raise CommandError(interrupted_state, "REPEATED")
        claim = await self.frontend.claim_job(job, service_class)
        if isinstance(claim, FinalAnswer):
            # The job was claimed before, by this or another scheduler. It never runs again, and the reply is
            # its known state.
            pending = self.frontend.request_manager.pending_client(job.jid)
            is_joined = not waits_for_outcome and isinstance(pending, PushedJob) and pending.join(job.jid)
            return OK if is_joined else encode_answer(claim)
        if self.is_closed and claim is not None:  # nothing was sent to a worker, so the claim is released
            await self.frontend.claims.settle(job.jid, claim, "refused")
            return OK
        if waits_for_outcome:
            return await self._submit_and_await_outcome(request, claim)
        pushed = PushedJob(self.frontend.job_states, self.frontend.claims, claim)
        pushed.submit(request, self.frontend.request_manager)
        return encode_acceptance(await pushed.acceptance)

    async def _submit_and_await_outcome(self, request: JobRequest, claim: Claim | None) -> bytes:
        """Returns the reply with the job's outcome. Raises StreamClosedError if the client disconnects."""
        pushed = PushedJob(self.frontend.job_states, self.frontend.claims, claim, self.mailbox.put_nowait)
        pushed.submit(request, self.frontend.request_manager)
        answer = await self.mailbox.get()
        if answer is None:
            pushed.withdraw(request, self.frontend.request_manager)
            raise StreamClosedError
        return encode_answer(answer)

    async def _handle_fetch(self, body: bytes) -> bytes | None:
        if self.worker is None:
            raise CommandError("FETCH is for job workers: HELLO named no wid")
        queues = tuple(body.decode("utf-8", "replace").split())
        known_classes = self.frontend.request_manager.service_classes
        unknown_queues = [each for each in queues if each not in known_classes]
        if not queues or unknown_queues:
            raise CommandError(f"no class of the name of queue {' '.join(unknown_queues)[:40]!a}")
        self.pending_fetch = Future()
        self.worker.post(FetchRequested(queues, self.pending_fetch))
        fetched = await self.pending_fetch
        if fetched is None:
            return encode_bulk(None)
        data, on_written = fetched
        try:
            await self.line_stream.write(encode_bulk(data))
        except StreamClosedError:
            on_written(False)
            raise
        on_written(True)
        return None

    async def _handle_ack(self, body: bytes) -> bytes:
        return self._finish_job(body, "ok")

    async def _handle_fail(self, body: bytes) -> bytes:
        return self._finish_job(body, "error")

    def _finish_job(self, body: bytes, result: api.Result) -> bytes:
        jid = self._decode(body, FaktoryJobId).jid
        if self.worker is None:
            raise CommandError("only job workers tell of outcomes: HELLO named no wid")
        # A late, repeated or unknown result is acknowledged too, but the client gets no second answer.
        self.worker.post(JobFinished(jid, result))
        return OK

    async def _handle_heartbeat(self, body: bytes) -> bytes:
        heartbeat = self._decode(body, HeartbeatBody)
        if self.worker is None or heartbeat.wid != self.worker_id:
            raise CommandError("BEAT names another wid than HELLO")
        self.frontend.worker_directory.post(HeartbeatReceived(heartbeat.wid, heartbeat.current_state))
        return encode_simple('{"state":"quiet"}') if self.frontend.is_draining else OK

    async def _handle_info(self, _: bytes) -> bytes:
        return encode_bulk(
            msgspec.json.encode(
                {
                    "server": {
                        "faktory_version": "spanwing",
                        "connections": len(self.frontend.table.connections),
                    },
                    "spanwing": self.frontend.counters(),
                }
            )
        )

    async def _handle_track(self, body: bytes) -> bytes:
        verb, _, jid = body.decode("utf-8", "replace").partition(" ")
        if verb.upper() != "GET" or not jid:
            raise CommandError("only TRACK GET JID is known")
        return encode_bulk(msgspec.json.encode(self.frontend.job_states.find(jid)))

    async def _handle_end(self, _: bytes) -> bytes:
        return OK


COMMANDS = {
    "HELLO": FaktoryConnection._handle_hello,
    "PUSH": FaktoryConnection._handle_push,
    "PUSHB": FaktoryConnection._handle_push_bulk,
    "FETCH": FaktoryConnection._handle_fetch,
    "ACK": FaktoryConnection._handle_ack,
    "FAIL": FaktoryConnection._handle_fail,
    "BEAT": FaktoryConnection._handle_heartbeat,
    "INFO": FaktoryConnection._handle_info,
    "TRACK": FaktoryConnection._handle_track,
    "END": FaktoryConnection._handle_end,
}

"""The Faktory front: commands of clients and job workers to envelopes and outcomes, and answers back."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC, datetime

import msgspec
from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing import interface as api
from spanwing.actor import spawn
from spanwing.core.messages import Answer, Envelope, Kind, Left, Listener, Take
from spanwing.hops.faktoryworker import (
    JOB_MEDIA,
    Beat,
    FaktoryNextHop,
    FaktoryWorkers,
    Fetch,
    Finished,
    Handed,
    Join,
    Leave,
)
from spanwing.log import tell
from spanwing.store.claims import Claim, Claims
from spanwing.store.store import NoMajority
from spanwing.wire.address import Address, listen
from spanwing.wire.buffers import BufferPool
from spanwing.wire.proxied import Network, listed, peer_of, real_peer
from spanwing.wire.proxy import ProxyError
from spanwing.wire.resp import OK, bulk, error, simple
from spanwing.wire.stream import LineStream, LineTooLong
from spanwing.wire.table import (
    HALF,
    HALF_S,
    IDLE,
    LINGER_S,
    OVER,
    READ_AHEAD,
    SILENT,
    STUCK_S,
    WHOLE_S,
    Table,
)

LONGEST_LINE = 128 * 1024
LONGEST_MS = 3_600_000.0
LATE = error("ERR", "not whole in time")
KEPT_STATES = 10_000  # jobs that TRACK GET still knows
TRACKED: dict[Kind, str] = {"served": "success", "failed": "failed", "refused": "dead", "repeated": "dead"}

log = logging.getLogger("spanwing")


class Hello(msgspec.Struct):
    """HELLO; a wid makes the connection a job worker's, labels `name:value` tell its zone, kind, cell."""

    v: int = 2
    wid: str = ""
    labels: list[str] = []


class Custom(msgspec.Struct):
    """What a job's `custom` may say to us."""

    tenant: str | None = None
    slots: int = 1
    memory: float = 0.0
    hint: float = 0.0
    route_key: str | None = None
    effect_key: str | None = None
    again: bool = False
    budget_ms: float | None = None
    answer: str = "accepted"  # "outcome": the reply to PUSH is the job's final answer


class Job(msgspec.Struct):
    jid: str
    jobtype: str
    args: list[msgspec.Raw]
    queue: str = "default"
    at: str | None = None
    custom: Custom | None = None


class JobId(msgspec.Struct):
    jid: str


class BeatBody(msgspec.Struct):
    wid: str
    current_state: str = ""


class Refusal(Exception):
    """A command that is answered with an error; the connection goes on."""

    def __init__(self, text: str, kind: str = "ERR") -> None:
        super().__init__(text)
        self.kind = kind


class Protocol(Exception):
    """What no Faktory speaker sends here: an error, then a clean close."""


class Tracked(msgspec.Struct):
    """The reply to TRACK GET."""

    jid: str
    state: str
    desc: str = ""
    updated_at: str = ""


class FaktoryFront:
    """The listener; it knows the classes, the states of recent jobs and its connections."""

    def __init__(
        self,
        address: Address,
        classes: tuple[api.ServiceClass, ...],
        core: Listener,
        workers: FaktoryWorkers,
        claims: Claims,
        buffers: BufferPool,
        most: int,
        counters: Callable[[], dict[str, int]],
        proxied: tuple[Network, ...] = (),
        earlier: Callable[[str], str] = lambda jid: "",
    ) -> None:
        self.proxied = proxied
        self.earlier = earlier  # what the journal knows of a jid that a crash left open
        self.classes = {each.name: each for each in classes}
        self.core, self.workers, self.claims, self.buffers = core, workers, claims, buffers
        self.counters = counters
        self.states: OrderedDict[str, Tracked] = OrderedDict()
        self.table: Table[FaktoryConnection] = Table(most)
        self.draining = False
        self.address = listen(address, self._accept).address

    def _accept(self, sock) -> None:
        if not self.table.room():
            with suppress(OSError):
                sock.send(error("ERR", "too many connections, try again later"))
            sock.close()
            return
        peer = peer_of(sock)
        connection = FaktoryConnection(
            self, IOStream(sock, max_buffer_size=LONGEST_LINE + READ_AHEAD), peer, listed(peer, self.proxied)
        )
        self.table.seats.add(connection)
        spawn(connection.serve())

    def track(self, jid: str, state: str, desc: str = "") -> None:
        self.states[jid] = Tracked(jid, state, desc, datetime.now(UTC).isoformat())
        self.states.move_to_end(jid)
        if len(self.states) > KEPT_STATES:
            self.states.popitem(last=False)

    def busy(self) -> bool:
        return any(each.busy for each in self.table.seats)

    def announce(self) -> None:
        """A drain has begun: producers are told with their next PUSH, job workers with their next BEAT."""
        self.draining = True

    def drain(self, refuse: bool = False) -> None:
        self.draining = True

    def reopen(self) -> None:
        self.draining = False

    async def claim(self, job: Job, cls: api.ServiceClass) -> Claim | Answer | None:
        """The claim on a job that must never run twice, or the answer if it has been claimed before."""
        if cls.effect != "unsafe":
            return None
        try:
            ours, claim = await self.claims.take(job.jid)
        except NoMajority as reason:
            raise Refusal(f"not taken, the store has no majority: {reason}", "BUSY") from None
        if ours:
            return claim
        return Answer("repeated" if claim.state == "claimed" else claim.state)

    def envelope(self, job: Job, cls: api.ServiceClass, body: bytes) -> Envelope:
        custom = job.custom or Custom()
        budget = cls.deadline if custom.budget_ms is None else custom.budget_ms
        if custom.slots < 1 or custom.memory < 0 or not 0 <= budget:
            raise Refusal("custom: slots, memory or budget_ms out of range")
        return Envelope(
            id=job.jid,
            cls=cls.name,
            budget=min(budget, LONGEST_MS),
            tenant=custom.tenant,
            slots=custom.slots,
            memory=custom.memory,
            hint=custom.hint,
            route_key=custom.route_key,
            repeat=custom.again,
            target=f"/{cls.name}",
            body=body,
            effect_key=custom.effect_key,
            media=JOB_MEDIA,
            front="faktory",
        )


class Pushed:
    """The sender side of one job: keeps its state, settles its claim, passes its one answer on."""

    def __init__(
        self, front: FaktoryFront, claim: Claim | None, passed: Callable[[Answer], None] | None
    ) -> None:
        self.front, self.claim, self.passed = front, claim, passed

    def answer(self, envelope: Envelope, answer: Answer) -> None:
        if answer.kind != "repeated":  # the first one of this id goes on and keeps its state
            desc = f"try again after {answer.retry_after:.0f} ms" if answer.kind == "refused" else ""
            self.front.track(envelope.id, TRACKED[answer.kind], desc)
            if self.claim is not None:
                spawn(self.front.claims.settle(envelope.id, self.claim, answer.kind))
        if self.passed is not None:
            self.passed(answer)


class FaktoryConnection:
    """One connection: a command at a time."""

    def __init__(self, front: FaktoryFront, stream: IOStream, peer: str = "", proxied: bool = False) -> None:
        self.peer, self.proxied = peer, proxied  # the speaker's address; whether a balancer is to tell it
        self.front, self.lines = front, LineStream(stream, front.buffers, LONGEST_LINE)
        self.mailbox: Queue[Answer | None] = Queue()
        self.closed = False
        self.busy = False
        self.over = False
        self.stood = IOLoop.current().time()
        self.hello: Hello | None = None
        self.hop: FaktoryNextHop | None = None
        self.fetching: Future[Handed | None] | None = None
        stream.set_close_callback(self._on_close)

    def _on_close(self) -> None:
        self.closed = True
        self.mailbox.put_nowait(None)
        # A slot of a connection that ended is no slot: a job handed to it would count as an attempt.
        if self.fetching is not None and not self.fetching.done():
            self.fetching.set_result(None)

    async def serve(self) -> None:
        try:
            if self.proxied:
                peer = await real_peer(self.lines, self.lines.data, WHOLE_S, self.peer)
                if peer is None:
                    return
                self.peer = peer
            await self.lines.write(simple('HI {"v":2}'))
            while (line := await self.lines.line(WHOLE_S, self.hello is None, LATE)) is not None:
                self.busy = True
                verb, _, rest = line.partition(b" ")
                # Or the end of one that has sent more commands ahead would not show while this one waits.
                self.lines.read_ahead(self.lines.data, READ_AHEAD)
                try:
                    reply = await self._command(verb.decode("ascii", "replace").upper(), rest)
                except Refusal as refusal:
                    reply = error(refusal.kind, str(refusal))
                finally:
                    self.lines.stop_ahead()
                if reply is not None:
                    await self.lines.write(reply, STUCK_S)
                self.busy, self.stood = False, IOLoop.current().time()
                if self.lines.data:
                    await sleep(0)  # who sends many commands ahead must not keep the loop to itself
                if verb.upper() == b"END":
                    break
        except (Protocol, LineTooLong) as wrong:
            await self._last(error("ERR", str(wrong) or "line too long"))
        except ProxyError as wrong:
            tell("proxy", level="warning", peer=self.peer, reason=str(wrong))
        except StreamClosedError:
            pass
        finally:
            self.busy, self.over = False, True
            if self.hop is not None:
                self.front.workers.post(Leave(self.hello.wid))
            await self.lines.finish(LINGER_S)
            self.front.table.seats.discard(self)

    @property
    def since(self) -> float:
        """When it came, was answered, or something came last: a message that grows is no stalled one."""
        return max(self.stood, self.lines.read_at)

    def rank(self, waited_s: float) -> int | None:
        if self.over:
            return OVER
        if self.busy or self.hop is not None:  # a job worker's connection is its life
            return None
        if self.lines.data:
            return HALF if waited_s > HALF_S else None
        return SILENT if self.hello is None else IDLE

    def silent(self) -> bool:
        return self.lines.silent()

    def close(self) -> None:
        self.lines.close()

    async def _last(self, data: bytes) -> None:
        try:
            await self.lines.write(data)
        except StreamClosedError:
            pass

    async def _command(self, verb: str, rest: bytes) -> bytes | None:
        if self.hello is None and verb not in ("HELLO", "END"):
            raise Protocol("HELLO comes first")
        command = COMMANDS.get(verb)
        if command is None:
            raise Refusal(f"unknown command {verb[:20]!a}")
        return await command(self, rest)

    def _decode(self, rest: bytes, form: type):
        try:
            return msgspec.json.decode(rest, type=form)
        except ValueError as reason:
            raise Refusal(f"malformed: {reason}") from None

    async def _hello(self, rest: bytes) -> bytes:
        if self.hello is not None:
            raise Protocol("HELLO came before")
        try:
            hello = msgspec.json.decode(rest, type=Hello)
            labels = dict(each.split(":", 1) for each in hello.labels if ":" in each)
            int(labels.get("cell", "0")), float(labels.get("started_ms", "0"))
        except ValueError as reason:
            raise Protocol(f"malformed HELLO: {reason}") from None
        if hello.v > 2:
            raise Protocol(f"protocol version {hello.v} is not spoken here")
        self.hello = hello
        if hello.wid:
            hop: Future[FaktoryNextHop] = Future()
            self.front.workers.post(Join(hello.wid, labels, self.peer, hop))
            self.hop = await hop
        return OK

    async def _push(self, rest: bytes) -> bytes:
        return await self._push_job(self._decode(rest, Job), rest)

    async def _push_many(self, rest: bytes) -> bytes:
        """Each job by itself; the reply names those that were not taken."""
        wrong = {}
        for raw in self._decode(rest, list[msgspec.Raw]):
            jid = ""
            try:
                jid = self._decode(raw, JobId).jid
                job = self._decode(raw, Job)
                if job.custom is not None:
                    job.custom.answer = "accepted"
                reply = await self._push_job(job, bytes(raw))
                if reply != OK:
                    wrong[jid] = reply[1:].decode().strip()
            except Refusal as refusal:
                wrong[jid] = str(refusal)
        return bulk(msgspec.json.encode(wrong))

    async def _push_job(self, job: Job, body: bytes) -> bytes:
        cls = self.front.classes.get(job.queue)
        if cls is None:
            raise Refusal(f"no class of the name of queue {job.queue[:40]!a}")
        if len(job.jid) < 8 or len(job.jid) > 200 or not job.jid.isprintable() or not job.jobtype:
            raise Refusal("jid needs 8 to 200 plain characters, jobtype a name")
        if job.at is not None:
            raise Refusal("jobs for later are not taken")
        if self.front.draining:
            raise Refusal("going down, try another", "BUSY")
        waits = job.custom is not None and job.custom.answer == "outcome"
        envelope = self.front.envelope(job, cls, body)
        if cls.effect == "unsafe" and (known := self.front.earlier(job.jid)):
            raise Refusal(known, "REPEATED")
        claim = await self.front.claim(job, cls)
        if isinstance(claim, Answer):
            # Taken before, here or elsewhere: it never runs again, and only what is known is said.
            return OK if not waits and claim.kind in ("repeated", "served") else reply_of(claim)
        if self.closed and claim is not None:  # nothing was sent: the claim is given back
            await self.front.claims.settle(job.jid, claim, "refused")
            return OK
        if waits:
            sender = Pushed(self.front, claim, self.mailbox.put_nowait)
            self.front.core.post(Take(envelope, sender))
            answer = await self.mailbox.get()
            if answer is None:
                self.front.core.post(Left(envelope.id, sender))
                raise StreamClosedError
            return reply_of(answer)
        if job.jid not in self.front.states or self.front.states[job.jid].state != "enqueued":
            self.front.track(job.jid, "enqueued")
            self.front.core.post(Take(envelope, Pushed(self.front, claim, None)))
        return OK

    async def _fetch(self, rest: bytes) -> bytes | None:
        if self.hop is None:
            raise Refusal("FETCH is for job workers: HELLO named no wid")
        queues = tuple(rest.decode("utf-8", "replace").split())
        unknown = [each for each in queues if each not in self.front.classes]
        if not queues or unknown:
            raise Refusal(f"no class of the name of queue {' '.join(unknown)[:40]!a}")
        self.fetching = Future()
        self.hop.post(Fetch(queues, self.fetching))
        handed = await self.fetching
        if handed is None:
            return bulk(None)
        data, written = handed
        try:
            await self.lines.write(bulk(data))
        except StreamClosedError:
            written(False)
            raise
        written(True)
        return None

    async def _acknowledge(self, rest: bytes) -> bytes:
        return self._finish(rest, "ok")

    async def _fail(self, rest: bytes) -> bytes:
        return self._finish(rest, "error")

    def _finish(self, rest: bytes, result: api.Result) -> bytes:
        jid = self._decode(rest, JobId).jid
        if self.hop is None:
            raise Refusal("only job workers tell of outcomes: HELLO named no wid")
        # Late, repeated or unknown: the worker has done its part, and no second answer comes of it.
        self.hop.post(Finished(jid, result))
        return OK

    async def _beat(self, rest: bytes) -> bytes:
        beat = self._decode(rest, BeatBody)
        if self.hop is None or beat.wid != self.hello.wid:
            raise Refusal("BEAT names another wid than HELLO")
        self.front.workers.post(Beat(beat.wid, beat.current_state))
        return simple('{"state":"quiet"}') if self.front.draining else OK

    async def _info(self, _: bytes) -> bytes:
        return bulk(
            msgspec.json.encode(
                {
                    "server": {"faktory_version": "spanwing", "connections": len(self.front.table.seats)},
                    "spanwing": self.front.counters(),
                }
            )
        )

    async def _track(self, rest: bytes) -> bytes:
        verb, _, jid = rest.decode("utf-8", "replace").partition(" ")
        if verb.upper() != "GET" or not jid:
            raise Refusal("only TRACK GET JID is known")
        return bulk(msgspec.json.encode(self.front.states.get(jid) or Tracked(jid, "unknown")))

    async def _end(self, _: bytes) -> bytes:
        return OK


def reply_of(answer: Answer) -> bytes:
    """A final answer in words: OK served, BUSY refused and harmless to try again, ERR failed."""
    if answer.kind == "served":
        return OK
    if answer.kind == "refused":
        return error("BUSY", f"refused, try again after {answer.retry_after:.0f} ms")
    if answer.kind == "repeated":
        known = answer.body.decode() or "this jid was taken before, and its outcome is not known here"
        return error("REPEATED", known)
    return error("ERR", "failed")


COMMANDS = {
    "HELLO": FaktoryConnection._hello,
    "PUSH": FaktoryConnection._push,
    "PUSHB": FaktoryConnection._push_many,
    "FETCH": FaktoryConnection._fetch,
    "ACK": FaktoryConnection._acknowledge,
    "FAIL": FaktoryConnection._fail,
    "BEAT": FaktoryConnection._beat,
    "INFO": FaktoryConnection._info,
    "TRACK": FaktoryConnection._track,
    "END": FaktoryConnection._end,
}

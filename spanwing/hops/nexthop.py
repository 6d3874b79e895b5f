"""The actor of one job worker that is reached over HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from spanwing import interface as api
from spanwing.actor import spawn
from spanwing.core.messages import Accepted, Delivery, Ended, LastByte, Listener, Probed, Started
from spanwing.hops.hop import Deliver, GiveUp, HopActor, Probe, Withdraw
from spanwing.hops.load import LoadReader
from spanwing.hops.pool import ConnectionPool, PooledHttp
from spanwing.wire.http import HttpError, Message, request_bytes

TAKEN_S = 2.5  # wait for a job worker's 202, which comes before any work; its pauses are far shorter
GIVE_UP_S = 1.0  # wait for the answer to a DELETE
GIVE_UP_AGAIN_S, GIVE_UP_MOST_S = 0.1, 2.0  # first and longest pause before it is sent again
PROBE_S = 0.5
CONNECTIONS = 3  # tried for one request, all but the first newly opened
CLOSED_S = 0.02  # a close has arrived by then: another job worker must not have the request before
HELD_S = 0.002  # a round trip, rather more than less

CALLED_BACK: dict[str, api.Result] = {"done": "ok", "failed": "error", "returned": "full", "lost": "reset"}


class CallBack(NamedTuple):
    """What a job worker says of a job that it has taken."""

    request: str
    state: str
    body: bytes
    report: tuple[float, ...] | None


class Retire(NamedTuple):
    """The job worker is gone from the list (or is back): close up once nothing is out."""

    gone: bool


class Leave(NamedTuple):
    """What waits to be sent here is not sent any more."""


@dataclass(slots=True, eq=False)
class Job:
    """A delivery attempt here that has not ended."""

    delivery: Delivery
    listener: Listener
    until: float = 0.0  # of the loop's time: nobody waits for it longer
    connection: PooledHttp | None = None  # since its last byte may leave, and until the 202
    last: bool = False  # its last byte is being written, or is
    taken: bool = False  # the 202 has come
    given_up: api.Result | None = None


class HttpNextHop(HopActor):
    """Delivers, gives up and probes; each delivery ends in one Ended."""

    def __init__(
        self, name: str, pool: ConnectionPool, loads: LoadReader, retired: Callable[[HttpNextHop], None]
    ) -> None:
        super().__init__()
        self.name, self.place = name, str(pool.address)
        self.pool, self.loads, self.retired = pool, loads, retired
        self.jobs: dict[str, Job] = {}
        self.retiring = False
        self.leaving = False  # it drains, or is gone: nothing new may be sent to it

    def open_job(self, request: str, number: int) -> Job | None:
        """The attempt, if its job worker has taken it and nobody has given it up: it can go to another
        process."""
        job = self.jobs.get(request)
        known = job is not None and job.delivery.number == number and job.taken and job.given_up is None
        return job if known else None

    def forget(self, request: str) -> None:
        """The attempt is another process's from now on."""
        del self.jobs[request]
        self._maybe_close()

    def resume(self, delivery: Delivery, listener: Listener) -> None:
        """An attempt that the job worker took from another process."""
        self.jobs[delivery.envelope.id] = Job(
            delivery, listener, self.loop.time() + delivery.budget / 1000.0, last=True, taken=True
        )

    def _deliver(self, message: Deliver) -> None:
        job = Job(*message, self.loop.time() + message.delivery.budget / 1000.0)
        if job.delivery.envelope.id in self.jobs:  # one attempt of a request at a time goes to a job worker
            job.listener.post(Ended(job.delivery.envelope.id, job.delivery.number, "moot", unsent=True))
            return
        self.jobs[job.delivery.envelope.id] = job
        spawn(self._carry(job))

    async def _carry(self, job: Job) -> None:
        envelope = job.delivery.envelope
        headers = {
            "Host": str(self.pool.address),
            "X-Call-Id": envelope.id,
            "X-Budget-Ms": str(max(1, int(job.delivery.budget))),
        }
        if envelope.effect_key is not None:
            headers["Idempotency-Key"] = envelope.effect_key
        data = request_bytes(envelope.method, envelope.target, headers, envelope.body)
        careful = not job.delivery.repeatable
        connection = await self._send(data, careful, job)
        if connection is None:  # its last byte was never written
            self._end(job, job.given_up or ("unreachable" if self._allowed(job) else "moot"), unsent=True)
            return
        job.listener.post(LastByte(envelope.id, job.delivery.number))
        # Who says neither yes nor no is waited for no longer: that would only keep its slots here, and the
        # client, to the end of its time.
        patience = self.loop.call_later(TAKEN_S, self._part, job, "timeout")
        reply = await self._receive(connection)
        self.loop.remove_timeout(patience)
        job.connection = None
        self._replied(job, reply, connection.garbled)

    async def _send(self, data: bytes, careful: bool, job: Job | None = None) -> PooledHttp | None:
        """The connection that took a whole request, or None: then its last byte was written to none.

        A kept connection that the other side has dropped without a word looks open, and a request written to
        it may count as run. What must not run twice therefore goes on a new connection, and its last byte,
        which makes an attempt of it, is held back until a reset would have come."""
        for number in range(CONNECTIONS):
            connection = await self.pool.take(careful or number > 0, lambda: self._wanted(job))
            if connection is None:
                return None
            try:
                if careful and self._wanted(job):
                    await connection.write(data[:-1])
                    await sleep(HELD_S)
                if self._wanted(job) and connection.fresh():
                    if job is not None:
                        job.last, job.connection = True, connection
                        connection.stream.permit = job.delivery.may  # also of bytes that have to wait here
                    await connection.write(data[-1:] if careful else data)
                    connection.stream.permit = None
                    return connection
            except StreamClosedError:
                pass
            self.pool.drop(connection)
            if job is not None:
                job.last, job.connection = False, None
            if not self._wanted(job):  # given up meanwhile: nothing may be sent any more
                return None
        return None

    async def _receive(self, connection: PooledHttp, wait_s: float | None = None) -> Message | None:
        """The reply; None where none came. The connection goes back to its pool."""
        reply, wait = None, None if wait_s is None else timedelta(seconds=wait_s)
        try:
            coming = connection.receive()
            reply = await (
                coming
                if wait is None
                else with_timeout(wait, coming, quiet_exceptions=(HttpError, StreamClosedError))
            )
        except HttpError:
            connection.garbled = True
        except WaitOver:
            connection.garbled = not connection.parser.idle()
        except StreamClosedError:
            pass
        self.pool.learn(connection, reply is not None)
        if reply is not None and reply.keep and not connection.shut:
            self.pool.give(connection)
        else:
            self.pool.drop(connection)
        return reply

    def _replied(self, job: Job, reply: Message | None, garbled: bool) -> None:
        if not self._current(job):
            return
        report = self.loads.text(reply.headers.get("x-load-report", "")) if reply else None
        if reply is None and garbled:  # whatever it was saying: perhaps that it has taken the job
            job.given_up = job.given_up or "reset"
            spawn(self._delete(job))
        elif reply is None and job.given_up is not None:
            self.loop.call_later(CLOSED_S, self._end, job, job.given_up)
        elif reply is None:
            self._end(job, "reset")
        elif reply.status == 202 and job.given_up is not None:  # it was on its way
            spawn(self._delete(job))
        elif reply.status == 202:
            job.taken = True
            job.listener.post(Accepted(job.delivery.envelope.id, job.delivery.number))
        elif reply.status == 200:  # an answer at once
            self._end(job, "ok", reply.body, report)
        elif reply.status in (503, 504) and reply.headers.get("x-rejected") == "1":
            self._end(job, "full", report=report)
        elif 400 <= reply.status < 500:  # what a client sent is at fault, not this next hop
            self._end(job, "rejected", report=report)
        else:
            self._end(job, "error", report=report)

    def _wanted(self, job: Job | None) -> bool:
        return job is None or (self._current(job) and job.given_up is None and self._allowed(job))

    def _allowed(self, job: Job) -> bool:
        """The moment of use: a lease that ended while the connection was made is seen here, and a job worker
        that has begun to drain."""
        return not self.leaving and (job.delivery.may is None or job.delivery.may())

    def _current(self, job: Job) -> bool:
        return self.jobs.get(job.delivery.envelope.id) is job

    def _end(
        self,
        job: Job,
        result: api.Result,
        body: bytes = b"",
        report: tuple[float, ...] | None = None,
        unsent: bool = False,
    ) -> None:
        # A call-back may come before the 202, or again: only the first word on an attempt counts.
        if not self._current(job):
            return
        del self.jobs[job.delivery.envelope.id]
        job.listener.post(Ended(job.delivery.envelope.id, job.delivery.number, result, body, report, unsent))
        self._maybe_close()

    def _called_back(self, event: CallBack) -> None:
        job = self.jobs.get(event.request)
        if job is None:
            return
        if event.state in CALLED_BACK:
            self._end(job, CALLED_BACK[event.state], event.body, event.report)
        elif event.state in ("started", "running"):
            job.listener.post(Started(event.request, job.delivery.number, event.state == "started"))

    def _give_up(self, message: GiveUp) -> None:
        job = self.jobs.get(message.request)
        if job is None or job.delivery.number != message.number or job.given_up is not None:
            return
        if job.connection is not None:
            self._part(job, message.result)
            return
        job.given_up = message.result
        if job.taken:
            spawn(self._delete(job))
        else:
            self._end(job, message.result, unsent=True)

    def _part(self, job: Job, why: api.Result) -> None:
        """Give up what was sent and not answered yet: before the 202, the end of the connection does that. A
        202 may be on its way, and then the job is out there: what still comes is read, until that end has
        certainly arrived."""
        if job.connection is not None and job.given_up is None:
            job.given_up = why
            job.connection.shut_down()
            self.loop.call_later(CLOSED_S, job.connection.hang_up)

    def _withdraw(self, message: Withdraw) -> None:
        job = self.jobs.get(message.request)
        if job is None or job.delivery.number != message.number:
            return
        if not job.last:
            job.given_up = job.given_up or "moot"
            self._end(job, "moot", unsent=True)
        elif job.connection is not None and job.connection.stream.writing():  # the last byte is still here
            job.given_up = job.given_up or "moot"
            job.connection.close()

    async def _delete(self, job: Job) -> None:
        """Give up a job that was taken; it has ended only once the job worker was told. One that is cut off
        is told again, to the end of the job's time: sent elsewhere meanwhile, it would be out twice."""
        pause = GIVE_UP_AGAIN_S
        try:
            while not await self._told(f"/jobs/{job.delivery.envelope.id}") and self._current(job):
                left = job.until - self.loop.time()
                if left <= 0:
                    break
                await sleep(min(left, random.uniform(pause / 2, pause)))
                pause = min(2 * pause, GIVE_UP_MOST_S)
        finally:
            self._end(job, job.given_up or "cancelled")

    async def _told(self, target: str) -> bool:
        """Whether the job worker has our DELETE: whatever it says to it, it has read it."""
        connection = await self._ask("DELETE", target)
        return connection is not None and (
            await self._receive(connection, GIVE_UP_S) is not None or connection.garbled
        )

    async def _ask(self, method: str, target: str) -> PooledHttp | None:
        data = request_bytes(method, target, {"Host": str(self.pool.address)})
        return await self._send(data, careful=False)

    def _probe(self, probe: Probe) -> None:
        spawn(self._ask_load(probe))

    async def _ask_load(self, probe: Probe) -> None:
        loop = IOLoop.current()
        start = loop.time()
        connection = await self._ask("GET", "/metrics/load")
        reply = None if connection is None else await self._receive(connection, PROBE_S)
        report = None
        result: api.Result = "unreachable" if reply is None else "ok" if reply.status == 200 else "error"
        if reply is not None:
            text = reply.headers.get("x-load-report") or reply.body.decode("utf-8", "replace")
            report = self.loads.text(text)
        elapsed = (loop.time() - start) * 1000.0
        probe.listener.post(Probed(api.ProbeResult(probe.worker, result, elapsed, report)))

    def leave(self) -> None:
        """It drains, or is gone: at once nothing new is sent, and what waits here to be sent ends unsent."""
        if not self.leaving:
            self.leaving = True
            self.post(Leave())

    def _leave(self, _: Leave) -> None:
        for job in list(self.jobs.values()):
            if self.leaving and not job.last:
                self._end(job, "moot", unsent=True)

    def _retire(self, message: Retire) -> None:
        self.retiring = message.gone
        self._maybe_close()

    def _maybe_close(self) -> None:
        if self.retiring and not self.jobs:
            self.pool.clear()
            self.retired(self)


HttpNextHop.handlers = {
    Deliver: HttpNextHop._deliver,
    GiveUp: HttpNextHop._give_up,
    CallBack: HttpNextHop._called_back,
    Withdraw: HttpNextHop._withdraw,
    Probe: HttpNextHop._probe,
    Retire: HttpNextHop._retire,
    Leave: HttpNextHop._leave,
}

"""The actors of Faktory job workers: one for each, and one for the list of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import (
    Accepted,
    Delivery,
    Ended,
    Envelope,
    LastByte,
    Listed,
    Listener,
    Probed,
    Started,
)
from spanwing.hops.hop import Deliver, GiveUp, HopActor, Probe, Withdraw
from spanwing.hops.transportmap import number_of

JOB_MEDIA = "application/vnd.faktory.job+json"
WAITING = 8  # jobs that may wait for a worker's FETCH, as in a job worker's queue
FETCH_S = 2.0  # an empty FETCH is answered after this
SILENT_S = 60.0  # a worker that has not sent a BEAT for so long is gone
STATES: dict[str, api.State] = {"quiet": "draining", "terminate": "draining", "terminating": "draining"}

Handed = tuple[bytes, Callable[[bool], None]]


class Fetch(NamedTuple):
    """A free slot: the future gets a job's bytes and what to call once they are written, or None."""

    queues: tuple[str, ...]
    reply: Future[Handed | None]


class Written(NamedTuple):
    """Whether the bytes of a job reached the worker's connection whole."""

    request: str
    number: int
    whole: bool


class Permitted(NamedTuple):
    """Whether a job that has to be written down first may be handed over."""

    request: str
    number: int
    may: bool


class Finished(NamedTuple):
    """ACK or FAIL."""

    request: str
    result: api.Result


class Vanished(NamedTuple):
    """The worker's last connection ended, or it fell silent."""


@dataclass(slots=True, eq=False)
class Job:
    """A delivery attempt here that has not ended."""

    delivery: Delivery
    listener: Listener
    handed: bool = False
    permitted: bool = False
    slot: Slot | None = None  # kept for it while its intent is on its way to the disk


@dataclass(slots=True, eq=False)
class Slot:
    """A FETCH that waits."""

    fetch: Fetch
    timer: object


def job_bytes(envelope: Envelope) -> bytes:
    """The job as a worker gets it: its own text where it came by Faktory, else one made of the envelope."""
    if envelope.media == JOB_MEDIA:
        return envelope.body
    return msgspec.json.encode(
        {
            "jid": envelope.id,
            "queue": envelope.cls,
            "jobtype": envelope.cls,
            "args": [envelope.target, envelope.body.decode("utf-8", "replace")],
            "custom": {"effect_key": envelope.effect_key},
        }
    )


class FaktoryNextHop(HopActor):
    """A job worker that fetches. Each delivery ends in one Ended; a late ACK changes nothing."""

    asks = True  # a job may wait here for its FETCH: until one comes nothing can leave

    def __init__(self, name: str, place: str) -> None:
        super().__init__()
        self.name, self.place = name, place
        self.jobs: dict[str, Job] = {}
        self.waiting: deque[Job] = deque()
        self.slots: deque[Slot] = deque()

    def _deliver(self, message: Deliver) -> None:
        job = Job(*message)
        envelope = job.delivery.envelope
        if envelope.id in self.jobs:  # one attempt of a request at a time goes to a job worker
            job.listener.post(Ended(envelope.id, job.delivery.number, "moot", unsent=True))
            return
        self.jobs[envelope.id] = job
        self._place(job)

    def _place(self, job: Job) -> None:
        """To a FETCH that waits, or among those that wait for one."""
        slot = next(
            (
                each
                for each in self.slots
                if job.delivery.envelope.cls in each.fetch.queues and not each.fetch.reply.done()
            ),
            None,
        )
        if slot is not None:
            self.slots.remove(slot)
            self._hand(job, slot)
            return
        if len(self.waiting) >= WAITING:
            self._end(job, "full")
        else:
            self.waiting.append(job)
            job.listener.post(Accepted(job.delivery.envelope.id, job.delivery.number))

    def _fetch(self, fetch: Fetch) -> None:
        if fetch.reply.done():
            return
        slot = Slot(fetch, None)
        for job in self.waiting:
            if job.delivery.envelope.cls in fetch.queues:
                self.waiting.remove(job)
                self._hand(job, slot)
                return

        def empty() -> None:
            if slot in self.slots:
                self.slots.remove(slot)
            if not fetch.reply.done():
                fetch.reply.set_result(None)

        slot.timer = self.loop.call_later(FETCH_S, empty)
        self.slots.append(slot)

    def _hand(self, job: Job, slot: Slot) -> None:
        if slot.timer is not None:
            self.loop.remove_timeout(slot.timer)
        if job.delivery.may is not None and not job.delivery.may():  # the moment of use: it has waited
            job.slot = slot
            self._end(job, "moot")
            return
        if job.delivery.intent is not None and not job.permitted:
            job.slot, key = slot, (job.delivery.envelope.id, job.delivery.number)
            job.delivery.intent(lambda may: self.post(Permitted(*key, may)))
            return
        job.handed = True
        key = (job.delivery.envelope.id, job.delivery.number)
        slot.fetch.reply.set_result(
            (job_bytes(job.delivery.envelope), lambda whole: self.post(Written(*key, whole)))
        )

    def _permitted(self, permitted: Permitted) -> None:
        job = self.jobs.get(permitted.request)
        if job is None or job.delivery.number != permitted.number or job.slot is None:
            return
        if not permitted.may:
            self._end(job, "moot")
            return
        job.permitted, slot, job.slot = True, job.slot, None
        if slot.fetch.reply.done():  # its connection ended meanwhile
            self._place(job)
        else:
            self._hand(job, slot)

    def _written(self, written: Written) -> None:
        job = self.jobs.get(written.request)
        if job is None or job.delivery.number != written.number:
            return
        if written.whole:
            job.listener.post(LastByte(written.request, written.number))
            job.listener.post(Started(written.request, written.number, True))
        else:  # the job's last byte was never written: it cannot have run
            self._end(job, "unreachable", unsent=True)

    def _finished(self, finished: Finished) -> None:
        job = self.jobs.get(finished.request)
        if job is not None and job.handed:
            self._end(job, finished.result)

    def _give_up(self, message: GiveUp) -> None:
        job = self.jobs.get(message.request)
        if job is not None and job.delivery.number == message.number:
            # What no FETCH has taken never ran, and says so: an unsafe job may then be refused, not failed.
            self._end(job, message.result if job.handed else "full")

    def _withdraw(self, message: Withdraw) -> None:
        job = self.jobs.get(message.request)
        if job is not None and job.delivery.number == message.number and not job.handed:
            self._end(job, "moot")

    def _vanished(self, _: Vanished) -> None:
        for job in list(self.jobs.values()):
            self._end(job, "reset" if job.handed else "unreachable")

    def _end(self, job: Job, result: api.Result, unsent: bool = False) -> None:
        del self.jobs[job.delivery.envelope.id]
        if job in self.waiting:
            self.waiting.remove(job)
        if job.slot is not None:  # another may have what was kept for it
            slot, job.slot = job.slot, None
            self._fetch(slot.fetch)
        job.listener.post(
            Ended(job.delivery.envelope.id, job.delivery.number, result, unsent=unsent or not job.handed)
        )

    def _probe(self, probe: Probe) -> None:
        probe.listener.post(Probed(api.ProbeResult(probe.worker, "ok", 0.0)))


FaktoryNextHop.handlers = {
    Deliver: FaktoryNextHop._deliver,
    GiveUp: FaktoryNextHop._give_up,
    Fetch: FaktoryNextHop._fetch,
    Permitted: FaktoryNextHop._permitted,
    Written: FaktoryNextHop._written,
    Withdraw: FaktoryNextHop._withdraw,
    Finished: FaktoryNextHop._finished,
    Vanished: FaktoryNextHop._vanished,
    Probe: FaktoryNextHop._probe,
}


class Join(NamedTuple):
    """A connection said HELLO with a wid; the future gets the worker's next hop."""

    wid: str
    labels: dict[str, str]
    peer: str
    hop: Future[FaktoryNextHop]


class Beat(NamedTuple):
    wid: str
    state: str


class Leave(NamedTuple):
    """A connection of a worker has ended."""

    wid: str


class Silent(NamedTuple):
    """No BEAT came in time."""

    wid: str


@dataclass(slots=True, eq=False)
class Member:
    """What the list knows of a worker."""

    entry: api.Worker
    hop: FaktoryNextHop
    connections: int
    timer: object


class FaktoryWorkers(Actor):
    """The list of Faktory job workers; tells the core of changes."""

    def __init__(self, listener: Listener, zone: str) -> None:
        super().__init__()
        self.listener, self.zone = listener, zone
        self.members: dict[str, Member] = {}

    def take(self, message: Any) -> None:
        LIST_HANDLERS[type(message)](self, message)

    def _join(self, join: Join) -> None:
        member = self.members.get(join.wid)
        if member is None:
            started = join.labels.get("started_ms", "0")
            entry = api.Worker(
                id=number_of(f"faktory {join.wid}"),
                zone=join.labels.get("zone", self.zone),
                cell=int(join.labels.get("cell", "0")),
                kind=join.labels.get("kind", ""),
                started=float(started),
            )
            member = self.members[join.wid] = Member(
                entry, FaktoryNextHop(join.wid, join.peer), 0, self._silence(join.wid)
            )
            self._tell(member.entry)
        member.connections += 1
        join.hop.set_result(member.hop)

    def _silence(self, wid: str) -> object:
        return self.loop.call_later(SILENT_S, self.post, Silent(wid))

    def _beat(self, beat: Beat) -> None:
        member = self.members.get(beat.wid)
        if member is None:
            return
        self.loop.remove_timeout(member.timer)
        member.timer = self._silence(beat.wid)
        state = STATES.get(beat.state, member.entry.state)  # quiet is for good, as with Faktory
        if state != member.entry.state:
            member.entry = member.entry._replace(state=state)
            self._tell(member.entry)

    def _leave(self, leave: Leave) -> None:
        member = self.members.get(leave.wid)
        if member is not None:
            member.connections -= 1
            if member.connections == 0:
                self._gone(leave.wid)

    def _gone(self, wid: str) -> None:
        member = self.members.pop(wid, None)
        if member is not None:
            self.loop.remove_timeout(member.timer)
            self._tell(member.entry._replace(state="gone"))
            member.hop.post(Vanished())

    def _tell(self, entry: api.Worker) -> None:
        hops = {each.entry.id: each.hop for each in self.members.values()}
        self.listener.post(Listed(api.WorkerList("partial", (entry,)), hops, "faktory"))


LIST_HANDLERS = {
    Join: FaktoryWorkers._join,
    Beat: FaktoryWorkers._beat,
    Leave: FaktoryWorkers._leave,
    Silent: lambda self, silent: self._gone(silent.wid),
}

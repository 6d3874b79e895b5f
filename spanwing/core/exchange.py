"""The module's actor: requests in, delivery attempts out, exactly one answer each."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass
from functools import partial
from typing import Any

from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.choice import Dispatcher
from spanwing.core.clock import Clock
from spanwing.core.messages import (
    Accepted,
    Answer,
    Delivery,
    Directory,
    Due,
    Ended,
    Envelope,
    Expired,
    LastByte,
    Left,
    Listed,
    NextHop,
    PolicyWatch,
    Probed,
    Recorded,
    Recorder,
    SenderSide,
    Started,
    Take,
    Turned,
    ZoneWatch,
)

AGAIN_MS = 1000.0  # a client whose work cannot be written down is told to come back after this
EARLY_MS = 1.0  # an attempt's wait ends this long before the client's, so that its outcome comes first

log = logging.getLogger("spanwing")


@dataclass(slots=True)
class Call:
    """A request that still owes its answer."""

    envelope: Envelope
    sender: SenderSide
    deadline: float
    sent: int = 0
    until: float = math.inf  # none may be sent later: job workers would no longer drop it as a repeat


@dataclass(slots=True)
class Out:
    """A delivery attempt that has not ended."""

    hop: NextHop | None
    worker: int
    at: float
    until: float
    timer: object
    recorded: bool = False  # its intent was handed to the journal
    waiting: bool = False  # for its intent to be on disk: nothing of it has been handed to the hop


class Exchange(Actor):
    """Owns the decision module, the deadlines and the counters."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock) -> None:
        super().__init__()
        self.settings, self.clock = settings, clock
        self.module = Dispatcher(settings, seed, clock.now())
        self.safe = {each.name for each in settings.classes if each.effect == "safe"}
        self.once = {each.name for each in settings.classes if each.effect == "unsafe"}
        self.recorder: Recorder | None = None
        self.again_ms = min(AGAIN_MS, settings.max_retry_after)
        self.directory: Directory | None = None
        self.zones: ZoneWatch | None = None
        self.policy: PolicyWatch | None = None
        # Modules of earlier policies decide to the end about the jobs that they took; and whose those are.
        self.retiring: list[Dispatcher] = []
        self.under: dict[str, Dispatcher] = {}
        self.acting = self.module
        self.calls: dict[str, Call] = {}
        self.out: dict[tuple[str, int], Out] = {}
        self.hops: dict[str, dict[int, NextHop]] = {}  # by the directory that told
        self.counters: Counter[str] = Counter()
        self.elsewhere: Container[str] = ()  # ids that are open at another process of this scheduler
        self.mirror: Callable[[str, bool], None] | None = None  # hears of ids that open here or end
        self.quiet: list[Future[None]] = []
        self.news: Callable[[], None] | None = None  # called after each news of job workers
        self.heard = False  # a list of job workers that names any, or that discovery told
        self.heard_at = self.loop.time()  # when discovery last told one, or we began

    def take(self, message: Any) -> None:
        HANDLERS[type(message)](self, message)
        if self.quiet and self.idle():
            for waiting in self.quiet:
                waiting.set_result(None)
            self.quiet = []

    def fleet(self) -> dict[tuple[str, str], tuple[int, int]]:
        """By zone and kind: how many job workers are listed, and how many of them take new work now: one that
        drains, or that the module lets rest after failures, takes none."""
        counts: dict[tuple[str, str], tuple[int, int]] = {}
        now = self.clock.now()
        for view in self.module.views.values():
            entry = view.entry
            if entry.state != "gone":
                listed, taking = counts.get((entry.zone, entry.kind), (0, 0))
                takes = entry.state == "healthy" and view.rest_until <= now
                counts[entry.zone, entry.kind] = listed + 1, taking + takes
        return counts

    def pool(self) -> tuple[int, int]:
        """How many job workers are listed, and how many of them are set aside now."""
        now = self.clock.now()
        views = [view for view in self.module.views.values() if view.entry.state != "gone"]
        return len(views), sum(view.rest_until > now for view in views)

    def held(self) -> dict[str, tuple[int, float]]:
        """By class with held work: how much, and for how many ms the oldest has waited."""
        if not self.module.waiting:
            return {}
        now, found = self.clock.now(), {}
        for job in self.module.jobs.values():
            if job.held:
                count, oldest = found.get(job.cls.name, (0, 0.0))
                found[job.cls.name] = count + 1, max(oldest, now - job.born)
        return found

    def turning_away(self) -> dict[str, str]:
        """Classes of which nothing is taken now, with the reason."""
        reason = self.recorder.refusing() if self.recorder is not None else ""
        return {
            each.name: f"journal: {reason}"
            for each in self.settings.classes
            if reason and each.name not in self.safe
        }

    def discovery_age(self) -> float:
        """Seconds since discovery last told anything, or since the start."""
        return self.loop.time() - self.heard_at

    def idle(self) -> bool:
        return not self.calls and not self.out and not self.mailbox

    def until_quiet(self) -> Future[None]:
        """Done once nothing taken is unanswered and nothing sent is out."""
        waiting: Future[None] = Future()
        if self.idle():
            waiting.set_result(None)
        else:
            self.quiet.append(waiting)
        return waiting

    def _decide(self, event: api.Event, module: Dispatcher | None = None) -> None:
        acting, self.acting = self.acting, module or self.module
        for action in self.acting.handle(self.clock.now(), event):
            ACTIONS[type(action)](self, action)
        self.acting = acting
        if self.retiring:
            self._let_go()

    def _decide_all(self, event: api.Event) -> None:
        """News that every module has to have."""
        for module in (*self.retiring, self.module):
            self._decide(event, module)

    def _of(self, request: str) -> Dispatcher:
        """The module that decides about this request."""
        return self.under.get(request, self.module) if self.under else self.module

    def turn_over(self, settings: api.Settings, module: Dispatcher) -> None:
        """Another policy from now on, in this turn of the loop: its module decides about jobs that come, the
        former one goes on about those that it took."""
        old = self.module
        self.under.update(dict.fromkeys((*old.jobs, *(request for request, _ in old.open)), old))
        if old.jobs or old.open:
            self.retiring.append(old)
        self.module, self.settings = module, settings
        self.again_ms = min(AGAIN_MS, settings.max_retry_after)
        self._rules()

    def _rules(self) -> None:
        """What holds for each class by all policies under which jobs are open; where they differ, the more
        careful one: a class counts as safe only if it is so in all."""
        kinds = [
            (each.name, each.effect)
            for module in (*self.retiring, self.module)
            for each in module.set.classes
        ]
        self.once = {name for name, effect in kinds if effect == "unsafe"}
        self.safe = {name for name, effect in kinds if effect == "safe"} - {
            name for name, effect in kinds if effect != "safe"
        }

    def _let_go(self) -> None:
        """Drop modules all of whose jobs have ended."""
        left = [each for each in self.retiring if each.jobs or each.open]
        if len(left) < len(self.retiring):
            self.retiring = left
            self.under = {request: module for request, module in self.under.items() if module in left}
            self._rules()

    def _take(self, take: Take) -> None:
        envelope = take.envelope
        if self.policy is not None and not self.policy.admits(take):
            return
        # The first one of an id still owes its answer or has an attempt out, and must run once; an id taken
        # up by another client must do it no harm.
        if envelope.id in self.elsewhere or self._is_open(envelope.id):
            self._repeated(take, "")
            return
        if self._recorded(envelope):
            if envelope.cls in self.once and (known := self.recorder.earlier(envelope.id)):
                self._repeated(take, known)
                return
            if self.recorder.refusing():
                self.counters["refused.journal"] += 1
                self._turned(Turned(envelope.cls))
                take.sender.answer(envelope, Answer("refused", retry_after=self.again_ms))
                return
            self.recorder.taken(
                envelope.id,
                envelope.cls,
                envelope.tenant or "",
                envelope.effect_key or "",
                envelope.front,
                envelope.budget,
            )
        if self.under:  # an earlier request of this id is over, whatever its policy was
            self.under.pop(envelope.id, None)
        deadline = self.clock.now() + envelope.budget
        self.calls[envelope.id] = Call(envelope, take.sender, deadline)
        if self.mirror is not None:
            self.mirror(envelope.id, True)
        self.counters["taken"] += 1
        self.counters[f"taken.{envelope.cls}"] += 1
        self._decide(
            api.Request(
                envelope.id,
                envelope.cls,
                deadline,
                envelope.tenant,
                envelope.slots,
                envelope.memory,
                envelope.hint,
                envelope.route_key,
                envelope.repeat,
            )
        )

    def _is_open(self, request: str) -> bool:
        return request in self.calls or any(
            (request, number) in self.out for number in range(self._of(request).set.max_attempts)
        )

    def open_ids(self) -> set[str]:
        """Requests that owe their answer or have an attempt out."""
        return {*self.calls, *(request for request, _ in self.out)}

    def attempts_out(self, request: str) -> list[tuple[int, Out]]:
        return [
            (number, self.out[request, number])
            for number in range(self._of(request).set.max_attempts)
            if (request, number) in self.out
        ]

    def give_away(self, request: str) -> None:
        """Another process owes the answer from now on, and has what is out."""
        del self.calls[request]
        for number, out in self.attempts_out(request):
            self.loop.remove_timeout(out.timer)
            del self.out[request, number]
        self.counters["moved.away"] += 1

    def resume(self, call: Call, out: tuple[int, Out] | None, event: Any) -> None:
        """A request that another process had; out: its attempt that is out, with its number. event: what the
        module is told."""
        request, now = call.envelope.id, self.clock.now()
        self.calls[request] = call
        self.counters["moved.here"] += 1
        if out is not None:
            number, attempt = out
            wait = max(0.0, attempt.until - now) / 1000.0
            attempt.timer = self.loop.call_later(wait, self.post, Expired(request, number))
            self.out[request, number] = attempt
        self._decide(event)

    def _tell_ended(self, request: str) -> None:
        if self.mirror is not None and not self._is_open(request):
            self.mirror(request, False)

    def _repeated(self, take: Take, known: str) -> None:
        self.counters["repeated"] += 1
        self.counters[f"repeated.{take.envelope.cls}"] += 1
        take.sender.answer(take.envelope, Answer("repeated", known.encode()))

    def _turned(self, turned: Turned) -> None:
        self.counters[f"turned.{turned.cls}"] += 1

    def _recorded(self, envelope: Envelope) -> bool:
        return self.recorder is not None and envelope.cls not in self.safe

    def _left(self, left: Left) -> None:
        call = self.calls.get(left.request)
        if call is None and self.policy is not None:
            self.policy.left(left.request, left.sender)
        if call is not None and call.sender is left.sender:
            del self.calls[left.request]
            if self._recorded(call.envelope):
                self.recorder.answered(left.request, "left")
            self.counters["left"] += 1
            self._decide(api.ClientGone(left.request), self._of(left.request))
            self._withdraw(left.request)
            self._tell_ended(left.request)

    def _withdraw(self, request: str) -> None:
        """Nothing is owed for it any more: what of it still waits to be sent is not sent on, also where the
        settings allow nothing to be called off. What has been sent keeps the rules of its class."""
        for number, out in self.attempts_out(request):
            if out.waiting:
                self._give_up(request, number, "cancelled")
            elif out.hop is not None:
                out.hop.withdraw(request, number)

    def _listed(self, listed: Listed) -> None:
        news, before = listed.news, self.hops.get(listed.source, {})
        self.hops[listed.source] = listed.hops
        self.counters[f"listed.{news.scope}"] += 1
        if news.scope != "error":
            self.heard |= bool(news.workers) or news.scope == "complete"
            if news.scope != "persisted" and listed.source == "map":
                self.heard_at = self.loop.time()
        if news.scope in ("complete", "persisted") and len(self.hops) > 1:
            # A whole list of one directory says nothing of the job workers of another.
            named = {each.id for each in news.workers}
            gone = [api.Worker(worker, "gone") for worker in before if worker not in named]
            news = api.WorkerList("partial", (*news.workers, *gone))
        if self.zones is not None:
            news = self.zones.screen(news)
        self._decide_all(news)
        if self.news is not None:
            self.news()

    def _hop(self, worker: int) -> NextHop | None:
        return next((hops[worker] for hops in self.hops.values() if worker in hops), None)

    def _started(self, started: Started) -> None:
        out = self.out.get((started.request, started.number))
        if out is not None:
            note = api.Note(started.request, started.number, out.worker, started.began)
            self._decide(note, self._of(started.request))

    def _accepted(self, accepted: Accepted) -> None:
        out = self.out.get(accepted)
        if out is not None:
            if self.zones is not None:
                self.zones.accepted(out.worker, accepted)
            told = api.Accepted(accepted.request, accepted.number, out.worker)
            self._decide(told, self._of(accepted.request))

    def _expired(self, expired: Expired) -> None:
        self._give_up(*expired, "timeout")

    def _give_up(self, request: str, number: int, why: api.Result) -> None:
        out = self.out.get((request, number))
        if out is None or out.hop is None:
            return
        if out.recorded:
            self.recorder.given_up(request, number, why)
        if out.waiting:  # the hop does not know of it: it is over here and now
            out.waiting = False
            self.post(Ended(request, number, "moot", unsent=True))
        else:
            out.hop.give_up(request, number, why)

    def _ended(self, ended: Ended) -> None:
        # A next hop's word on an attempt that is over already (a repeated call-back) changes nothing.
        out = self.out.pop((ended.request, ended.number), None)
        if out is None:
            return
        self.loop.remove_timeout(out.timer)
        self.counters[f"ended.{ended.result}"] += 1
        if self.zones is not None:
            self.zones.ended(out.worker, ended[:2], ended.result)
        if out.recorded:
            tell = self.recorder.unsent if ended.unsent else self.recorder.outcome
            tell(ended.request, ended.number, ended.result)
        if ended.result not in api.NEVER_RAN and ended.request in self.calls:
            self.ran(self.calls[ended.request], out.at)
        if ended.result == "ok":
            self._answer(ended.request, Answer("served", ended.body))
        self._decide(
            api.Outcome(
                ended.request,
                ended.number,
                out.worker,
                ended.result,
                ended.request not in self.calls,
                self.clock.now() - out.at,
                ended.report,
            ),
            self._of(ended.request),
        )
        self._tell_ended(ended.request)

    def _last_byte(self, last: LastByte) -> None:
        self.counters["tries"] += 1
        out = self.out.get(last[:2])
        if out is not None and out.recorded:  # of an attempt that is over nothing more is written down
            self.recorder.last_byte(*last)

    def _answer(self, request: str, answer: Answer) -> None:
        call = self.calls.pop(request, None)
        if call is not None:
            self.counters["answered"] += 1
            self.counters[f"answered.{answer.kind}.{call.envelope.cls}"] += 1
            if self._recorded(call.envelope):
                self.recorder.answered(request, answer.kind)
            call.sender.answer(call.envelope, answer)
            self._withdraw(request)
            self._tell_ended(request)

    def _send(self, action: api.Send) -> None:
        call, now = self.calls[action.request], self.clock.now()
        number, call.sent = call.sent, call.sent + 1
        budget = call.deadline - now - EARLY_MS
        if action.timeout:
            budget = min(budget, action.timeout)
        key = (action.request, number)
        timer = self.loop.call_later(max(0.0, budget) / 1000.0, self.post, Expired(*key))
        hop = self._hop(action.worker)
        out = self.out[key] = Out(hop, action.worker, now, now + budget, timer)
        if budget <= 0 or number >= self.acting.set.max_attempts or hop is None:
            self.post(Ended(*key, "moot"))
            return
        may = self._permit(call, action.worker)
        if self.zones is not None:
            if not self.zones.may(action.worker):
                self.counters["zones.moot"] += 1
                self.post(Ended(*key, "moot", unsent=True))
                return
            self.zones.sent(action.worker, key)
        self.counters["sent"] += 1
        self.counters[f"sent.{call.envelope.cls}"] += 1
        if not self._recorded(call.envelope):
            safe = call.envelope.cls in self.safe
            hop.deliver(Delivery(call.envelope, number, budget, safe, may=may), self)
            return
        if hop.asks:

            def intent(then: Callable[[bool], None]) -> None:
                out.recorded = True
                self.recorder.intent(*key, hop.name, hop.place, partial(self._told, key, then))

            hop.deliver(Delivery(call.envelope, number, budget, recorded=True, intent=intent, may=may), self)
            return
        out.recorded = out.waiting = True
        self.recorder.intent(*key, hop.name, hop.place, partial(self._told, key, None))

    def ran(self, call: Call, at: float) -> None:
        """An attempt that was sent at this time may have run."""
        module = self._of(call.envelope.id)
        for each in module.set.classes:
            if each.name == call.envelope.cls and each.effect == "keyed":
                call.until = min(call.until, at + each.window - module.set.tick)

    def _permit(self, call: Call, worker: int) -> Callable[[], bool] | None:
        """What is asked at the moment of use, just before an attempt is sent; None: nothing can forbid it. A
        place in a pool, a connection and the journal may have taken their time since it was decided."""
        zones = self.zones
        if zones is None and call.until == math.inf:
            return None
        return lambda: self.clock.now() < call.until and (zones is None or zones.may(worker))

    def _told(self, key: tuple[str, int], then: Callable[[bool], None] | None, may: bool) -> None:
        """The journal's word on an intent; then: the hop that asked. A refusal is answered before it ends."""
        self.post(Recorded(*key, may))
        if then is not None:
            then(may)

    def _may_send(self, recorded: Recorded) -> None:
        """The intent of an attempt is on disk, or cannot be; it may have been given up meanwhile."""
        key = recorded[:2]
        out, call = self.out.get(key), self.calls.get(recorded.request)
        if out is None:
            return
        if not recorded.may:
            self.counters["refused.journal"] += 1
            self._answer(recorded.request, Answer("refused", retry_after=self.again_ms))
        if not out.waiting:  # the hop has asked, and goes on or ends by itself
            return
        out.waiting = False
        if call is None or not recorded.may:
            self.post(Ended(*key, "moot", unsent=True))
            return
        budget = max(0.0, out.until - self.clock.now())
        may = self._permit(call, out.worker)
        out.hop.deliver(Delivery(call.envelope, recorded.number, budget, recorded=True, may=may), self)

    def _cancel(self, action: api.Cancel) -> None:
        self._give_up(action.request, action.attempt, "cancelled")

    def _probe(self, action: api.Probe) -> None:
        self.probe(action.worker)

    def probe(self, worker: int) -> None:
        hop = self._hop(worker)
        if hop is not None:
            self.counters["probed"] += 1
            hop.probe(worker, self)

    def _probed(self, probed: Probed) -> None:
        if self.zones is not None:
            self.zones.probed(probed.result.worker, probed.result.result)
        self._decide_all(probed.result)

    def tell(self, event: Any) -> None:
        """An event for the module from beside the core."""
        self._decide_all(event)

    def recall(self, request: str, number: int) -> None:
        """Give an attempt up that may be repeated anywhere, if it is still out and its answer is owed."""
        call = self.calls.get(request)
        if call is not None and call.envelope.cls in self.safe:
            self._give_up(request, number, "cancelled")

    def _set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(action.delay / 1000.0, self.post, Due(action.token, self.acting))

    def _due(self, due: Due) -> None:
        if due.module is None or due.module is self.module or due.module in self.retiring:
            self._decide(api.TimerDue(due.token), due.module)

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.line)

    def _tell_peers(self, action: api.TellPeers) -> None:
        log.warning("peers cannot be told here: %s", action.payload)


HANDLERS = {
    Take: Exchange._take,
    Left: Exchange._left,
    Listed: Exchange._listed,
    Started: Exchange._started,
    Accepted: Exchange._accepted,
    Ended: Exchange._ended,
    Expired: Exchange._expired,
    Recorded: Exchange._may_send,
    Turned: Exchange._turned,
    LastByte: Exchange._last_byte,
    Due: Exchange._due,
    Probed: Exchange._probed,
}
ACTIONS = {
    api.Send: Exchange._send,
    api.Cancel: Exchange._cancel,
    api.Probe: Exchange._probe,
    api.Refuse: lambda self, a: self._answer(a.request, Answer("refused", retry_after=a.retry_after)),
    api.Fail: lambda self, a: self._answer(a.request, Answer("failed")),
    api.SetTimer: Exchange._set_timer,
    api.Log: Exchange._log,
    api.TellPeers: Exchange._tell_peers,
    api.Watch: lambda self, _: self.directory.watch(),
}

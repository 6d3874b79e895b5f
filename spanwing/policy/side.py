"""The fleet's policy in the daemon: the hand around the core, its folder, and at a member the chair.

Guarantees: no job is taken but under the version in force, with a permit, looked at in the turn in which it
is taken; jobs that come while a change is closing wait HOLD_MS at most, HELD_MOST of them; a version takes
hold here in one turn of the loop. A folder that fails is told, and stops nothing: it is needed for a start
without the store alone.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

import msgspec
from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing import interface as api
from spanwing.actor import spawn
from spanwing.core.exchange import Exchange
from spanwing.core.messages import Answer, SenderSide, Take
from spanwing.log import tell
from spanwing.policy.anew import known, learned, module_of
from spanwing.policy.chair import Bounds, Chair
from spanwing.policy.hand import HOLD_MS, Hand
from spanwing.policy.kept import Kept
from spanwing.policy.minds import Minds, PolicyOrder
from spanwing.policy.record import Version, read
from spanwing.policy.sound import Running, parse, unsound
from spanwing.store.document import Document
from spanwing.store.follower import Follower
from spanwing.store.lease import clock_ms
from spanwing.store.peer import PeerListener
from spanwing.store.service import FleetService
from spanwing.store.store import Store
from spanwing.wire.address import Address
from spanwing.wire.buffers import BufferPool

HELD_MOST = 10_000
TICK_S = 0.02
KEEP_PART = 0.25  # of a permit: the folder's copy is renewed as often
RETIRING_MOST = 4  # earlier policies under which jobs may still be open


class Wanted(Protocol):
    """The operator's table, checked."""

    directory: str
    away_ms: float
    members: dict[str, Address]
    lease_ms: float


class PolicySide:
    """One scheduler's part."""

    def __init__(self, name: str, wanted: Wanted, own: api.Settings, buffers: BufferPool, seed: int) -> None:
        """own: of our own file, of which our position and our zone count. Raises KeptError."""
        self.name, self.wanted, self.own, self.seed = name, wanted, own, seed
        self.kept = Kept(wanted.directory)
        self.follower = Follower(
            name,
            own.zone,
            own.node,
            wanted.members,
            buffers,
            lambda: b"[{}]",
            self._changed,
            lambda zones: self.look(zones),
        )
        self.hand = Hand(self.follower.session, self._check, self.follower.permit)
        self.follower.says = lambda: msgspec.Raw(msgspec.json.encode(self.hand.word))
        self.look: Callable[[tuple[str, ...]], None] = lambda zones: None  # the zones'
        self.also: Callable[[Document], None] = lambda document: None
        self.began: list[Callable[[api.Settings], None]] = []  # hear of each policy that takes hold here
        self.core: Exchange | None = None
        self.version = Version()  # under which our module is
        self.held: deque[tuple[float, Take]] = deque()
        self.passing: list[Take] = []  # posted again, until they come here anew
        self.gone: list[Take] = []  # of these, those whose client left meanwhile
        self.first: Future[Version] = Future()
        self.kept_at, self.keeping = -1e9, False
        self.service: FleetService | None = None
        for each in self.kept.skipped:
            tell("policy_skipped", level="warning", bounded=False, file=each)
        left = self.kept.permit()
        if left is not None:  # until we hear more: what an earlier life had
            self.follower.permit.until = left[1]
            self.hand.follow(clock_ms(), msgspec.structs.replace(self.hand.policy, now=left[0]))

    def serve(self, store: Store, listener: PeerListener, text: str) -> Minds:
        """We are a member: keep, when it is our turn; text: what a fleet without a policy begins with."""
        chair = Chair(Bounds(self.wanted.away_ms), lambda: time.time() * 1000.0, _token)
        chair.first = text
        minds = Minds(chair)
        self.service = FleetService(store, listener, minds, self.wanted.lease_ms)
        self.service.keeper.permits = chair
        return minds

    def start(self) -> None:
        if self.service is not None:
            spawn(self.service.run())
        spawn(self.follower.run())
        spawn(self._tick())

    async def begin(self) -> str:
        """The version in force, once we may take jobs under it."""
        self._maybe_first()
        self.version = await self.first
        return self.version.text

    def bind(self, core: Exchange) -> None:
        self.core = core
        core.policy = self
        self._take_over()

    # -- jobs

    def admits(self, take: Take) -> bool:
        """Whether it may be taken now; else it is answered, or posted again."""
        if any(take is each for each in self.gone):  # the word of its leaving was ahead of it in the mailbox
            self.gone = [each for each in self.gone if each is not take]
            return False
        self.passing = [each for each in self.passing if each is not take]
        may = self.hand.may(clock_ms())
        if may.do == "take" and may.version == self.version.number:
            if take.envelope.cls in self.core.module.index:
                return True
            self._refuse(take)  # its class went while it waited
            return False
        if may.do != "refuse" and len(self.held) < HELD_MOST:
            self.core.counters["policy.held"] += 1
            self.held.append((clock_ms() + HOLD_MS, take))
        else:
            self._refuse(take)
        return False

    def left(self, request: str, sender: SenderSide) -> None:
        """Its client is gone: it is not taken any more."""

        def its(take: Take) -> bool:
            return take.envelope.id == request and take.sender is sender

        self.held = deque(each for each in self.held if not its(each[1]))
        self.gone += [each for each in self.passing if its(each)]
        self.passing = [each for each in self.passing if not its(each)]

    def _refuse(self, take: Take) -> None:
        self.core.counters["policy.refused"] += 1
        take.sender.answer(take.envelope, Answer("refused", retry_after=self.core.again_ms))

    def _release(self) -> None:
        """What waited is taken, in its order, once it may be; or refused when it has waited for too long."""
        now = clock_ms()
        may = self.hand.may(now).do
        while self.held and (may == "take" or now >= self.held[0][0]):
            until, take = self.held.popleft()
            if may == "take":  # what it has waited is gone of its client's time
                left = max(1.0, take.envelope.budget - (now - until + HOLD_MS))
                again = take._replace(envelope=replace(take.envelope, budget=left))
                self.passing.append(again)
                self.core.post(again)
            else:
                self._refuse(take)

    # -- news

    def _changed(self, document: Document) -> None:
        """The document is another; acknowledged once we return."""
        before, policy = self.hand.policy, read(document)
        if policy.now.number >= before.now.number:  # what our folder had may be newer than nothing at all
            self.hand.follow(clock_ms(), policy)
        self._told(before, policy)
        self._maybe_first()
        self._take_over()
        self.also(document)

    def _told(self, before: Any, policy: Any) -> None:
        """One event for each step."""
        change, was = policy.change, before.change
        if change is not None and (was is None or (was.id, was.state) != (change.id, change.state)):
            word = self.hand.word
            tell(
                "policy",
                bounded=False,
                step=change.state,
                version=policy.next.number,
                author=policy.next.author,
                digest=policy.next.digest,
                ready=not word.no,
                reason=word.no,
            )
        for past in policy.past[-1:]:
            if not before.past or before.past[-1] != past:
                tell(
                    "policy",
                    bounded=False,
                    step="taken" if past.taken else "not taken",
                    version=past.number,
                    author=past.author,
                    digest=past.digest,
                    reason=past.reason,
                )

    def _maybe_first(self) -> None:
        if not self.first.done() and self.hand.may(clock_ms()).do == "take":
            self.first.set_result(self.hand.policy.now)

    def _take_over(self) -> None:
        """Have the module be the one of the version in force."""
        now = self.hand.policy.now
        core = self.core
        if core is None or now.number == 0 or self.version.number >= now.number:
            return
        begun = time.perf_counter()
        try:
            settings = parse(now.text, self.own)
        except ValueError as error:  # it was taken without our word: jobs are refused here until it is mended
            tell("policy_unfit", level="error", version=now.number, reason=str(error))
            return
        old, clock = core.module, core.clock.now()
        new = module_of(settings, self.seed + now.number, clock, old)
        core.turn_over(settings, new)
        core.tell(known(old))
        learned(new, old, clock)
        self.version = now
        for hears in self.began:
            hears(settings)
        tell(
            "policy_taken",
            bounded=False,
            version=now.number,
            digest=now.digest,
            ms=round((time.perf_counter() - begun) * 1000.0, 2),
        )
        self._release()
        self._keep(clock_ms())

    def _check(self, text: str) -> str:
        """Whether we could take it over now."""
        if self.core is None:
            return unsound(text, Running(self.own))
        if len(self.core.retiring) >= RETIRING_MOST:
            return f"jobs are open under {RETIRING_MOST} earlier versions"
        open_jobs = Counter(call.envelope.cls for call in self.core.calls.values())
        for request, _ in self.core.out:
            job = self.core._of(request).jobs.get(request)
            if job is not None and request not in self.core.calls:
                open_jobs[job.cls.name] += 1
        return unsound(text, Running(self.core.settings, open_jobs, self._windows(), text=self.version.text))

    def _windows(self) -> dict[str, float]:
        """By keyed class, how long a key that is open now may come again: as long as its window, while jobs
        of it are open."""
        return {
            each.name: each.window
            for each in self.core.settings.classes
            if each.effect == "keyed"
            and any(call.envelope.cls == each.name for call in self.core.calls.values())
        }

    async def _tick(self) -> None:
        """What changes without news: a permit ends or is granted, a wait is over."""
        holds = None
        while True:
            await sleep(TICK_S)
            now = clock_ms()
            self._maybe_first()
            if self.held:
                self._release()
            valid = self.follower.permit.valid(now)
            if valid != holds:
                holds = valid
                tell("policy_permit", valid=valid, reason="" if valid else self.follower.why)
            if valid and now - self.kept_at >= KEEP_PART * self.wanted.away_ms:
                self._keep(now)

    def _keep(self, now: float) -> None:
        """Have the folder written, beside the loop: no job waits for a disk."""
        if self.version.number and not self.keeping:
            self.keeping, self.kept_at = True, now
            IOLoop.current().run_in_executor(None, self._write, self.version, self.follower.permit.until)

    def _write(self, version: Version, until: float) -> None:
        try:
            self.kept.put(version)
            self.kept.put_permit(version.number, until)
        except OSError as error:
            tell("policy_kept", level="error", reason=f"{self.wanted.directory}: {error.strerror}")
        finally:
            self.keeping = False

    # -- orders and status

    async def order(
        self,
        do: str,
        by: str,
        text: str = "",
        base: int = 0,
        reason: str = "",
        wait_s: float = 60.0,
        gone: list[str] = (),
    ) -> str:
        """Raises ValueError with what is wrong."""
        order = PolicyOrder(do, text, base, f"{by} at {self.name}", reason, wait_s, list(gone))
        done = await self.follower.order(order)
        if not done.ok:
            raise ValueError(done.text)
        return done.text

    def status(self) -> dict[str, Any]:
        policy, now = self.hand.policy, clock_ms()
        change = policy.change
        return {
            "version": self.version.number,
            "digest": self.version.digest,
            "author": self.version.author,
            "in_force": policy.now.number,
            "permit_ms": max(0.0, self.follower.permit.until - now),
            "may": self.hand.may(now).do,
            "why": self.hand.may(now).why,
            "by": self.follower.by,
            "contact": self.follower.holds(),
            "schedulers": sorted(policy.register),
            "open_under_earlier": len(self.core.under) if self.core is not None else 0,
            "change": None
            if change is None
            else {
                "version": policy.next.number,
                "state": change.state,
                "author": policy.next.author,
                "reason": policy.next.reason,
                "tries": change.tries,
                "ready": not self.hand.word.no,
                "no": self.hand.word.no,
            },
        }

    def history(self) -> list[dict[str, Any]]:
        return [msgspec.structs.asdict(each) for each in self.hand.policy.past]

    def check(self, text: str) -> str:
        return self._check(text)

    def text(self, number: int) -> str:
        """Of a version; 0: of the one in force. Raises ValueError."""
        number = number or self.version.number
        version = self.kept.versions.get(number)
        if number == self.version.number:
            version = self.version
        if version is None:
            raise ValueError(f"version {number} is not kept here")
        return version.text


def _token() -> str:
    return secrets.token_hex(8)

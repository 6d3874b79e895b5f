"""A job worker: cores, slots, a queue, memory, a cold start, and what takes it down.

Guarantees: pure; every job that is offered ends in exactly one Ended, or in none once the worker has fallen
over (lost() names those); work is conserved: what a job needed was worked on it, or was withdrawn, and what
was worked on jobs that did not end well is counted as wasted. Bounds: `queue` jobs wait at most, memory is
never overdrawn.

All running jobs go at one rate, so progress is kept as one clock of work done per job (as in the virtual time
of processor sharing, Kleinrock 1967): a job ends when that clock reaches the mark set at its start.

    worker.offer(now, job)      -> what is said at once
    worker.advance(now)         -> what was said up to now
    worker.next_due()           -> when there is something to say, if nothing comes before
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

Order = Literal["fifo", "backfill", "priority"]
Result = Literal["ok", "error", "full", "cancelled", "expired"]
STEP_MS = 50.0  # a cold worker's capacity grows in steps of this
TINY = 1e-6  # ms: sums of times may miss their mark by less


class Spec(NamedTuple):
    """What a worker is; times in ms."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    cores: float = 4.0
    speed: float = 1.0  # work of one ms at speed 1 takes 1 / speed ms
    slots: int = 4
    queue: int = 40  # jobs that may wait
    memory: float = math.inf
    order: Order = "priority"
    suspends: bool = False  # repeatable work gives its slots to work of a higher priority, and goes on later
    cold_from: float = 1.0  # part of its capacity at a start
    cold_ms: float = 0.0
    fall_multiple: float = math.inf
    fall_ms: float = 0.0


class Job(NamedTuple):
    """One delivery attempt as a worker sees it."""

    key: str  # of the attempt
    work: float  # ms at speed 1
    slots: int = 1
    memory: float = 0.0
    priority: int = 0  # the highest goes first
    repeatable: bool = True
    deadline: float = math.inf  # a job still waiting then is dropped
    effect: str = ""  # of what has a window: done again within it, it is not worked on again
    window_ms: float = 0.0
    fails: bool = False


class Began(NamedTuple):
    key: str


class Ended(NamedTuple):
    key: str
    result: Result


Said = Began | Ended


@dataclass(eq=False)
class Held:
    """A job here."""

    job: Job
    came: int  # order of arrival
    left: float  # work still to be done while it does not run
    mark: float = 0.0  # of the work clock, while it runs
    began: bool = False
    gone: bool = False


@dataclass
class Worked:
    """Where work went, in ms at speed 1."""

    done: float = 0.0
    wasted: float = 0.0  # on what did not end well
    withdrawn: float = 0.0  # never worked on, as the job was given up, dropped or lost before


@dataclass
class JobWorker:
    """One worker from its start on."""

    spec: Spec
    started: float = 0.0
    now: float = 0.0
    clock: float = 0.0  # work done on each job that ran all the time
    slowed: float = 1.0  # by a neighbour or stolen CPU: part of the speed that is left
    silent: bool = False  # takes what comes and says nothing
    fast_failing: bool = False
    draining: bool = False
    fallen: bool = False
    worked: Worked = field(default_factory=Worked)
    held: dict[str, Held] = field(default_factory=dict)
    running: list[tuple[float, int, Held]] = field(default_factory=list)  # heap by mark
    waiting: list[Held] = field(default_factory=list)  # in the order in which they are looked at
    windows: dict[str, float] = field(default_factory=dict)  # effect -> until when
    over_since: float | None = None
    arrivals: int = 0
    used: int = 0  # slots
    busy: float = 0.0  # all work that was done here, from the rate alone
    memory: float = 0.0

    def warmth(self) -> float:
        """The part of its capacity that it has now; it grows in a straight line, in steps."""
        spec = self.spec
        if spec.cold_ms <= 0:
            return 1.0
        age = max(0.0, self.now - self.started)
        steps = math.floor(age / STEP_MS + 1e-9) * STEP_MS
        return min(1.0, spec.cold_from + (1.0 - spec.cold_from) * steps / spec.cold_ms)

    def rate(self) -> float:
        """Work done on each running job in a ms."""
        share = min(1.0, self.spec.cores / self.used) if self.used else 1.0
        return self.spec.speed * self.warmth() * self.slowed * share

    def load(self) -> float:
        """Slots asked for, of those that it has capacity for now."""
        asked = sum(each.job.slots for each in self.held.values())
        return asked / (self.spec.slots * self.warmth())

    def offer(self, now: float, job: Job) -> list[Said]:
        """A delivery attempt arrives."""
        said = self.advance(now)
        assert job.key not in self.held and job.slots >= 1 and job.work >= 0
        if self.fallen:
            return said
        if self.draining or job.slots > self.spec.slots or job.memory > self.spec.memory:
            return [*said, Ended(job.key, "full")]
        if self.fast_failing:
            return [*said, Ended(job.key, "error")]
        if job.effect and self.windows.get(job.effect, -math.inf) > now:
            return [*said, Began(job.key), Ended(job.key, "ok")]  # its effect stands already
        if len(self.waiting) >= self.spec.queue and not self._fits(job):
            return [*said, Ended(job.key, "full")]
        self.arrivals += 1
        held = self.held[job.key] = Held(job, self.arrivals, job.work)
        self.waiting.append(held)
        return said + self._serve()

    def cancel(self, now: float, key: str) -> list[Said]:
        """Give an attempt up: what was worked on it is wasted."""
        said = self.advance(now)
        held = self.held.get(key)
        if held is None or self.fallen:
            return said
        self._take_out(held, "cancelled")
        return [*said, Ended(key, "cancelled"), *self._serve()]

    def advance(self, now: float) -> list[Said]:
        """Let time pass; what was said meanwhile, in order."""
        assert now >= self.now, (now, self.now)
        said: list[Said] = []
        while not self.fallen and (due := self.next_due()) is not None and due <= now:
            self._pass(due)
            said += self._settle()
        if not self.fallen:
            self._pass(now)
            said += self._settle()
        self.now = now
        return said

    def next_due(self) -> float | None:
        """When something happens here by itself; None: never."""
        if self.fallen:
            return None
        times = []
        if self.running and self.rate() > 0:
            times.append(self.now + max(0.0, self.running[0][0] - self.clock) / self.rate())
        if self.spec.cold_ms > 0 and self.warmth() < 1.0 and self.held:
            steps = math.floor((self.now - self.started) / STEP_MS + 1e-9) + 1
            times.append(self.started + steps * STEP_MS)
        if self.over_since is not None:
            times.append(self.over_since + self.spec.fall_ms)
        times += [
            each.job.deadline for each in self.waiting if each.job.deadline < math.inf and not each.began
        ]
        return max(self.now, min(times)) if times else None

    def lost(self) -> list[str]:
        """Attempts of which nothing will be heard."""
        return list(self.held) if self.fallen else []

    def crash(self, now: float) -> list[Said]:
        """It is gone with all that it held; what was said before is returned."""
        said = self.advance(now)
        self._fall()
        return said

    def still_to_do(self) -> float:
        """Work that is still to be done on what is here, in ms at speed 1."""
        return 0.0 if self.fallen else sum(self._left(each) for each in self.held.values())

    def under_way(self) -> float:
        """Work that was done on what is still here."""
        return 0.0 if self.fallen else sum(each.job.work - self._left(each) for each in self.held.values())

    def report(self) -> dict[str, float]:
        """What a load report says."""
        return {
            "inflight": float(len(self.held) - len(self.waiting)),
            "queue": float(len(self.waiting)),
            "free_slots": float(self.spec.slots - self.used),
            "free_memory": self.spec.memory - self.memory,
        }

    def _pass(self, now: float) -> None:
        step = self.rate() * (now - self.now)
        self.clock += step
        self.busy += step * (len(self.held) - len(self.waiting))
        self.now = now

    def _settle(self) -> list[Said]:
        """Whatever is over at this moment."""
        said: list[Said] = []
        while self.running and (self.running[0][2].gone or self.running[0][0] <= self.clock + TINY):
            held = self.running[0][2]
            if held.gone:
                heapq.heappop(self.running)
                continue
            result: Result = "error" if held.job.fails else "ok"
            self._take_out(held, result)
            if not self.silent:
                said.append(Ended(held.job.key, result))
            said += self._serve()
        for held in [each for each in self.waiting if each.job.deadline <= self.now and not each.began]:
            self._take_out(held, "expired")
            said.append(Ended(held.job.key, "expired"))
        self._weigh()
        return said

    def _weigh(self) -> None:
        """Whether it is asked for too much while it is cold, and has been for too long."""
        spec = self.spec
        if self.warmth() >= 1.0 or self.load() <= spec.fall_multiple:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = self.now
        elif self.now - self.over_since >= spec.fall_ms - TINY:
            self._fall()

    def _fall(self) -> None:
        for held in self.held.values():
            self.worked.wasted += held.job.work - self._left(held)
            self.worked.withdrawn += self._left(held)
        self.fallen, self.over_since = True, None

    def _left(self, held: Held) -> float:
        return held.left if held in self.waiting else max(0.0, held.mark - self.clock)

    def _take_out(self, held: Held, result: Result) -> None:
        left = self._left(held)
        worked = held.job.work - left
        if held in self.waiting:
            self.waiting.remove(held)
        else:
            held.gone = True
            self.used -= held.job.slots
            self.memory -= held.job.memory
        del self.held[held.job.key]
        if result == "ok":
            self.worked.done += worked
            if held.job.effect and held.job.window_ms > 0:
                self.windows[held.job.effect] = self.now + held.job.window_ms
                self._forget()
        else:
            self.worked.wasted += worked
            self.worked.withdrawn += left

    def _forget(self) -> None:
        """Windows that are over are of no use; looked for when there are many."""
        if len(self.windows) % 1024 == 0:
            self.windows = {effect: until for effect, until in self.windows.items() if until > self.now}

    def _fits(self, job: Job) -> bool:
        return self.used + job.slots <= self.spec.slots and self.memory + job.memory <= self.spec.memory

    def _serve(self) -> list[Said]:
        """Start what may start."""
        said: list[Said] = []
        if self.spec.order == "priority":
            self.waiting.sort(key=lambda each: (-each.job.priority, each.came))
        place = 0
        while place < len(self.waiting):
            held = self.waiting[place]
            if not self._fits(held.job) and not self._make_room(held.job):
                if self.spec.order == "backfill":
                    place += 1
                    continue
                break
            self.waiting.remove(held)
            self.used += held.job.slots
            self.memory += held.job.memory
            held.mark = self.clock + held.left
            heapq.heappush(self.running, (held.mark, held.came, held))
            if not held.began:
                held.began = True
                if not self.silent:
                    said.append(Began(held.job.key))
            place = 0 if self.spec.order == "backfill" else place
        self._weigh()
        return said

    def _make_room(self, job: Job) -> bool:
        """Suspend repeatable work of a lower priority, the latest first, if that makes enough room."""
        if not self.spec.suspends:
            return False
        lower = sorted(
            (
                each
                for _, _, each in self.running
                if not each.gone and each.job.repeatable and each.job.priority < job.priority
            ),
            key=lambda each: -each.came,
        )
        chosen: list[Held] = []
        slots, memory = self.used, self.memory
        for each in lower:
            if slots + job.slots <= self.spec.slots and memory + job.memory <= self.spec.memory:
                break
            chosen.append(each)
            slots, memory = slots - each.job.slots, memory - each.job.memory
        if slots + job.slots > self.spec.slots or memory + job.memory > self.spec.memory:
            return False
        for each in chosen:
            each.left = max(0.0, each.mark - self.clock)
            self.running = [entry for entry in self.running if entry[2] is not each]
            heapq.heapify(self.running)
            self.used -= each.job.slots
            self.memory -= each.job.memory
            self.waiting.append(each)
        if self.spec.order == "priority":
            self.waiting.sort(key=lambda each: (-each.job.priority, each.came))
        return True

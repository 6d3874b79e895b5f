"""Every interleaving, to a depth, of the two deciders of a change of policy: chair and hand.

    .venv/bin/python -m measure.policymodel --depth 9
    .venv/bin/python -m measure.policymodel --walks 20000 --depth 60          # at random, far deeper
    .venv/bin/python -m measure.policymodel --walks 20000 --depth 60 --bug stopped

Three schedulers, two members that may keep (a read or change is one moment with a majority, which is what the
store gives), one proposal at the beginning, or again and again in walks. Steps: a scheduler renews; a renewal
comes to whom it was sent, or to the other member; a member reads, and answers what had come before; an answer
comes, or is lost; the keeper makes its next change, or fails to; the other member takes over; a scheduler is
stopped, continues, is killed, starts anew; time passes. What must hold in each state: once anybody could take
a job under a version, nobody can take one under an earlier one; and in walks, once faults end, each change
ends and all that run can take jobs under one version. Deliberate bugs: readiness counts as closed; a permit
is not looked at after a stop; a decision is told before a majority has it; a start serves before it has
heard; a permit without being in the register; the operator's word on one life counts for the next.
"""

from __future__ import annotations

import pickle
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import click
import msgspec

from spanwing.policy.coordinator import PermitSettings, PolicyCoordinator, PolicyVote
from spanwing.policy.participant import PolicyParticipant
from spanwing.policy.records import (
    CURRENT_KEY,
    PolicyState,
    PolicyVersion,
    encode_value,
    read_policy,
    scheduler_name,
)
from spanwing.store.document import Document, Transaction
from spanwing.store.lease import Lease

TICK, AWAY = 1000.0, 2000.0
KEEPER = "keeper"
BUGS = ("ready-twice", "stopped", "told-first", "start", "no-register", "gone-name")


class Draw:
    """Names for changes; of no meaning but that they differ."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> str:
        self.count += 1
        return f"t{self.count}"


def wall() -> float:
    return 0.0


def sound(text: str) -> str:
    return ""


def by_name(coordinator: PolicyCoordinator, now: float, policy: PolicyState, keeper: Any) -> dict[str, str]:
    """A bug: whoever has the name of one that is gone is gone too."""
    gone = (
        {scheduler_name(each) for each in policy.change.removed_sessions}
        if policy.change is not None
        else set()
    )
    return {
        name: session
        for name, session in policy.register.items()
        if name not in gone and not coordinator.has_permit_expired(now, session, keeper)
    }


@dataclass
class Session:
    confirmed_at_ms: float = float("-inf")
    acknowledged_revision: int = 0


@dataclass
class Request:
    session: str
    n: int
    seen: int
    says: PolicyVote
    came: int = -1  # the member to which it has come; -1: under way


@dataclass
class Answer:
    n: int
    document: Document
    permit: bool


@dataclass
class Member:
    coordinator: PolicyCoordinator
    leading_since_ms: float = 0.0
    sessions: dict[str, Session] = field(default_factory=dict)
    document: Document = Document()
    told: Document | None = None  # what it tells before it has taken hold (a bug)


@dataclass
class Scheduler:
    name: str
    participant: PolicyParticipant
    lease: Lease
    life: int = 0
    document: Document = Document()
    up: bool = True
    stopped: bool = False
    n: int = 0
    request: Request | None = None
    answer: Answer | None = None


class World:
    """One state."""

    def __init__(self, bug: str, schedulers: int = 3) -> None:
        self.bug, self.draw, self.now = bug, Draw(), 0.0
        first = PolicyVersion(1, "", "one", "begin")
        self.document = Document().apply(
            Transaction("begin", {CURRENT_KEY: encode_value(first), KEEPER: "0"})
        )
        self.members = [Member(PolicyCoordinator(PermitSettings(AWAY), wall, self.draw)) for _ in range(2)]
        self.members[0].document = self.document
        if bug == "gone-name":
            for each in self.members:
                each.coordinator._possible_permit_holders = partial(by_name, each.coordinator)
        self.most = 0  # the highest version under which anybody could take a job
        self.schedulers = [self._begin(f"s{number}", 0) for number in range(schedulers)]
        self.proposed = 0

    def _begin(self, name: str, life: int) -> Scheduler:
        lease = Lease()
        made = Scheduler(name, PolicyParticipant(f"{name}.{life}", sound, lease), lease, life)
        if self.bug == "start" and life:  # what its folder has, without a word from the fleet
            before = next(each for each in self.schedulers if each.name == name)
            made.document = before.document
            made.participant.update_policy(self.now, read_policy(made.document))
            lease.expires_at_ms = self.now + AWAY
        return made

    def _hold(self) -> None:
        """Only the present copy matters; histories would tell states apart that are alike."""
        self.document = Document(self.document.revision, self.document.entries)

    # -- steps

    def steps(self) -> list[tuple[str, int]]:
        found: list[tuple[str, int]] = [("tick", 0)]
        for place, each in enumerate(self.schedulers):
            if not each.up:
                found.append(("start", place))
                continue
            found.append(("kill", place))
            if each.request is not None:
                if each.request.came < 0:
                    found += [("come", place), ("stray", place)]
            elif not each.stopped and each.answer is None:
                found.append(("renew", place))
            if each.answer is not None:
                found.append(("lose", place))
                if not each.stopped:
                    found.append(("hear", place))
            found.append(("go_on" if each.stopped else "stop", place))
        for place in range(len(self.members)):
            found.append(("read", place))
            if self.leader_index() == place:
                found += [("decide", place), ("unheard", place)]
            else:
                found.append(("take_over", place))
        return found

    def leader_index(self) -> int:
        return int(self.document.get_value(KEEPER))

    def apply_step(self, step: tuple[str, int]) -> None:
        name, place = step
        getattr(self, f"_{name}")(place)
        self._look()

    def _tick(self, _: int) -> None:
        self.now += TICK

    def _renew(self, place: int) -> None:
        each = self.schedulers[place]
        each.n += 1
        each.lease.record_renewal(each.n, self.now)
        each.request = Request(
            each.participant.session, each.n, each.document.revision, each.participant.vote
        )

    def _come(self, place: int) -> None:
        self.schedulers[place].request.came = self.leader_index()

    def _stray(self, place: int) -> None:
        """To a member that does not keep, or no more; it may yet come to keep before it reads."""
        self.schedulers[place].request.came = 1 - self.leader_index()

    def _lose(self, place: int) -> None:
        self.schedulers[place].answer = None

    def _read(self, place: int) -> None:
        member = self.members[place]
        was = member.document.get_value(KEEPER) == str(place)
        member.document, member.told = self.document, None
        ours = self.leader_index() == place
        if not ours:
            member.sessions = {}
        elif not was:
            member.leading_since_ms = self.now
        for each in self.schedulers:
            request = each.request
            if request is None or request.came != place:
                continue
            each.request = None
            if not ours or request.seen > self.document.revision:
                continue
            session = member.sessions.setdefault(request.session, Session())
            session.confirmed_at_ms, session.acknowledged_revision = self.now, request.seen
            member.coordinator.record_vote(request.session, request.says)
            if each.up and each.participant.session == request.session:
                permit = (
                    member.coordinator.may_hold_permit(request.session, self.document)
                    or self.bug == "no-register"
                )
                each.answer = Answer(request.n, member.document, permit)

    def _txn(self, place: int) -> Transaction | None:
        member = self.members[place]
        coordinator = member.coordinator
        if self.bug == "ready-twice":
            waits = coordinator.blocking_schedulers(self.now, member.document, member)
            policy = read_policy(member.document)
            if policy.change is not None and policy.register and not waits:
                return coordinator._end_change(policy, member.document, True, "")
        return coordinator.decide_next_change(self.now, member.document, member)

    def _decide(self, place: int) -> None:
        """It reads what a majority has, makes its next change, and that takes hold."""
        member = self.members[place]
        if member.document.get_value(KEEPER) != str(place):
            return  # it has taken over, and has not heard of it
        txn = self._txn(place)
        if txn is None:
            return
        txn = msgspec.structs.replace(
            txn, expected_revisions={**txn.expected_revisions, **member.document.current_revisions(KEEPER)}
        )
        after = self.document.apply(txn)
        if after is not None:
            self.document = after
            self._hold()
            member.document = self.document
        else:
            self._read(place)

    def _unheard(self, place: int) -> None:
        """The same, but no majority has it; nobody may hear of it."""
        if self.bug == "told-first":
            member = self.members[place]
            txn = self._txn(place) if member.document.get_value(KEEPER) == str(place) else None
            after = member.document.apply(txn) if txn is not None else None
            if after is not None:
                for each in self.schedulers:
                    if each.answer is not None:
                        each.answer.document = Document(after.revision, after.entries)

    def _take_over(self, place: int) -> None:
        member = self.members[place]
        txn = Transaction(self.draw(), {KEEPER: str(place)}, self.document.current_revisions(KEEPER))
        self.document = self.document.apply(txn)
        self._hold()
        member.document, member.leading_since_ms, member.sessions = self.document, self.now, {}

    def _hear(self, place: int) -> None:
        each = self.schedulers[place]
        answer, each.answer = each.answer, None
        if answer.document.revision > each.document.revision:
            each.document = answer.document
            each.participant.update_policy(self.now, read_policy(each.document))
        if answer.permit:
            each.lease.extend(answer.n, AWAY)

    def _stop(self, place: int) -> None:
        self.schedulers[place].stopped = True

    def _go_on(self, place: int) -> None:
        self.schedulers[place].stopped = False

    def _kill(self, place: int) -> None:
        each = self.schedulers[place]
        each.up, each.stopped, each.answer = False, False, None

    def _start(self, place: int) -> None:
        before = self.schedulers[place]
        self.schedulers[place] = self._begin(before.name, before.life + 1)
        # A renewal of its earlier life may still be under way.
        self.schedulers[place].request = None

    # -- what must hold

    def acceptable_versions(self) -> dict[str, int]:
        found = {}
        for each in self.schedulers:
            if each.up and not each.stopped:
                may = each.participant.decide_admission(self.now)
                if may.action == "take" or (
                    self.bug == "stopped"
                    and each.lease.expires_at_ms > float("-inf")
                    and not each.participant.policy.is_closed()
                    and each.participant.policy.now.number
                ):
                    found[each.name] = may.version or each.participant.policy.now.number
        return found

    def _look(self) -> None:
        can = self.acceptable_versions()
        if can and min(can.values()) < self.most:
            raise AssertionError(f"{can}, after a job could be taken under {self.most}")
        self.most = max(self.most, *can.values()) if can else self.most

    def propose(self, gone: list[str] = ()) -> None:
        policy = read_policy(self.document)
        if policy.change is None:
            self.proposed += 1
            txn = self.members[0].coordinator.propose(
                self.document, f"v{self.proposed}", policy.now.number, "o", "", 4 * TICK, list(gone)
            )
            self.document = self.document.apply(txn)
            self._hold()

    # -- states that are alike

    def key(self) -> bytes:
        revision = self.document.revision

        def copy(document: Document) -> tuple[Any, ...]:
            policy, change = read_policy(document), read_policy(document).change
            return (
                revision - document.revision,
                policy.now.number,
                document.get_value(KEEPER),
                None if change is None else (change.state, change.revert_count, change.id == now_id),
                tuple(sorted(policy.register.items())),
            )

        change = read_policy(self.document).change
        now_id = change.id if change is not None else ""

        def age(at: float) -> float:
            return max(-4 * TICK, at - self.now)

        parts: list[Any] = [copy(self.document), self.most]
        for each in self.schedulers:
            request, answer = each.request, each.answer
            asked = each.lease.renewals_sent
            parts.append(
                (
                    each.life,
                    each.up,
                    each.stopped,
                    copy(each.document),
                    age(each.lease.expires_at_ms),
                    each.participant.vote.change_id == now_id,
                    request
                    and (
                        request.came,
                        revision - request.seen,
                        request.says.change_id == now_id,
                        age(asked.get(request.n, 0.0)),
                    ),
                    answer and (copy(answer.document), answer.permit, age(asked.get(answer.n, 0.0))),
                )
            )
        for member in self.members:
            coordinator = member.coordinator
            parts.append(
                (
                    age(member.leading_since_ms),
                    copy(member.document),
                    tuple(
                        (id, age(each.confirmed_at_ms), revision - each.acknowledged_revision)
                        for id, each in sorted(member.sessions.items())
                    ),
                    tuple(sorted((id, says.change_id == now_id) for id, says in coordinator.votes.items())),
                    tuple(sorted((id, age(at)) for id, at in coordinator.permit_confirmed_at_ms.items())),
                    revision - coordinator.change_revision_seen[0],
                    age(coordinator.change_revision_seen[1]),
                    coordinator.change_started[0] == now_id,
                    age(coordinator.change_started[1]),
                )
            )
        return pickle.dumps(parts)


def initial_world(bug: str, new: bool = False) -> World:
    """All three are registered, hold a permit, and a change has been proposed; new: the third was never
    there."""
    world = World(bug)
    world.schedulers[2].up = not new
    run_without_faults(world, 3, start=False)
    assert len(world.acceptable_versions()) == 3 - new
    world.propose()
    return world


def run_without_faults(world: World, rounds: int, start: bool = True) -> None:
    """Without faults: everybody renews, hears, and the keeper goes on."""
    for _ in range(rounds):
        place = world.leader_index()
        for number, each in enumerate(world.schedulers):
            if not each.up and not start:
                continue
            if not each.up:
                world.apply_step(("start", number))
            if world.schedulers[number].stopped:
                world.apply_step(("go_on", number))
            each = world.schedulers[number]
            if each.answer is not None:
                world.apply_step(("hear", number))
            if each.request is None:
                world.apply_step(("renew", number))
            if each.request.came != place:
                world.apply_step(("come", number))
        world.apply_step(("read", place))
        for number, each in enumerate(world.schedulers):
            if each.answer is not None:
                world.apply_step(("hear", number))
        world.apply_step(("decide", place))


def explore(bug: str, depth: int, most: int, new: bool = False) -> tuple[int, int, str]:
    """Breadth first: states seen, the depth that was done whole, and what was wrong."""
    world = initial_world(bug, new)
    seen, edge = {world.key()}, [(pickle.dumps(world), ())]
    for level in range(1, depth + 1):
        further = []
        for packed, path in edge:
            base = pickle.loads(packed)
            for step in base.steps():
                world = pickle.loads(packed)
                try:
                    world.apply_step(step)
                except AssertionError as error:
                    return len(seen), level, f"{error}: {[*path, step]}"
                key = world.key()
                if key not in seen:
                    seen.add(key)
                    further.append((pickle.dumps(world), (*path, step)))
            if len(seen) > most:
                return len(seen), level - 1, ""
        edge = further
    return len(seen), depth, ""


STEP_WEIGHTS = {
    "tick": 1.0,
    "kill": 0.6,
    "stop": 0.5,
    "go_on": 1.5,
    "lose": 0.3,
    "stray": 0.3,
    "take_over": 0.3,
    "unheard": 1.0,
    "start": 1.5,
    "renew": 4.0,
    "come": 4.0,
    "read": 4.0,
    "hear": 4.0,
    "decide": 4.0,
}


def random_walk(bug: str, seed: int, depth: int) -> tuple[str, int, int]:
    """One at random: what was wrong, versions that came in force, and changes that did not."""
    draw, world, path = random.Random(seed), initial_world(bug, seed % 2 == 1), []
    try:
        for number in range(depth):
            if number % 10 == 9:
                policy = read_policy(world.document)
                gone = [
                    name
                    for each in world.schedulers
                    if not each.up and (name := each.name) in policy.register
                ]
                world.propose(gone if draw.random() < 0.7 else ())
            steps = world.steps()
            step = draw.choices(steps, [STEP_WEIGHTS[name] for name, _ in steps])[0]
            path.append(step)
            world.apply_step(step)
        for _ in range(12):
            world.apply_step(("tick", 0))
            run_without_faults(world, 1)
        run_without_faults(world, 4)
        if read_policy(world.document).change is not None:
            raise AssertionError("the change has not ended")
        can = world.acceptable_versions()
        if len(can) < 3 or len(set(can.values())) != 1:
            raise AssertionError(f"not all take jobs under one version: {can}")
    except AssertionError as error:
        return f"{error}: {path[-25:]}", 0, 0
    past = read_policy(world.document).history
    return "", sum(each.taken for each in past), sum(not each.taken for each in past)


def _walks(given: tuple[str, int, int, int]) -> tuple[list[str], Counter[str]]:
    bug, begin, count, depth = given
    wrong, counts = [], Counter[str]()
    for seed in range(begin, begin + count):
        found, taken, not_taken = random_walk(bug, seed, depth)
        counts.update(taken=taken, not_taken=not_taken, walks=1, wrong=bool(found))
        if found:
            wrong.append(f"seed {seed}: {found}")
    return wrong, counts


@click.command()
@click.option("--depth", default=8, show_default=True)
@click.option("--most", default=2_000_000, show_default=True, help="States at most.")
@click.option("--walks", default=0, show_default=True, help="So many at random instead.")
@click.option("--bug", default="", type=click.Choice(["", *BUGS]))
def main(depth: int, most: int, walks: int, bug: str) -> None:
    if not walks:
        for new in (False, True):
            states, done, wrong = explore(bug, depth, most, new)
            begin = "one is new" if new else "all are known"
            click.echo(
                f"{bug or 'no bug'}, {begin}: {states} states, all to depth {done}; "
                f"{wrong or 'nothing wrong'}"
            )
        return
    size = 250
    with ProcessPoolExecutor() as pool:
        found = list(
            pool.map(
                _walks, [(bug, begin, min(size, walks - begin), depth) for begin in range(0, walks, size)]
            )
        )
    counts = sum((each for _, each in found), Counter())
    for line in [line for wrong, _ in found for line in wrong][:3]:
        click.echo(line)
    click.echo(f"{bug or 'no bug'}: {dict(counts)}")


if __name__ == "__main__":
    main()

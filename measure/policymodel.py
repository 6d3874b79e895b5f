"""A model of policy changes, which explores the interleavings of PolicyCoordinator and PolicyParticipant.

    .venv/bin/python -m measure.policymodel --depth 9                         # all interleavings
    .venv/bin/python -m measure.policymodel --walks 20000 --depth 60          # random walks, far deeper
    .venv/bin/python -m measure.policymodel --walks 20000 --depth 60 --bug stopped

The model has three schedulers and two store members, one of which leads. A read or a change of the document
happens in one instant with a majority, as the store guarantees. One change is proposed at the beginning;
random walks propose further ones. The steps:

- tick: time passes.
- renew: a scheduler sends a renewal; come, stray: it reaches the leader, or the other member.
- read: a member reads the document and replies to the renewals that it has.
- hear, lose: a scheduler receives the reply, or the reply is lost.
- decide: the leader makes its next change; unheard: it fails to get a majority for it.
- take_over: the other member becomes the leader.
- stop, go_on, kill, start: a scheduler is stopped, continues, is killed, starts again.

After every step: once a job could be accepted under a version anywhere, no scheduler accepts jobs under an
earlier one. At the end of a random walk, after some rounds without faults: no change is pending, and all
schedulers accept jobs under the same version.

Planted bugs:

- ready-twice: a change ends as soon as all schedulers are ready, though none has closed.
- stopped: a scheduler does not check its permit after a stop.
- told-first: schedulers learn of a change that no majority has.
- start: a restarted scheduler accepts jobs by its cached policy before any reply.
- no-register: a scheduler gets a permit without being registered.
- gone-name: an operator's statement that one incarnation is gone also counts for the next one.
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

TICK_MS, PERMIT_MS = 1000.0, 2000.0
LEADER_KEY = "keeper"  # the document's key that holds the index of the leading member
BUGS = ("ready-twice", "stopped", "told-first", "start", "no-register", "gone-name")


class IdGenerator:
    """Returns a new id for each call."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> str:
        self.count += 1
        return f"t{self.count}"


def wall_clock() -> float:
    """Returns 0: the model does not use the wall clock."""
    return 0.0


def accept_every_policy(text: str) -> str:
    """Returns no objection to a policy."""
    return ""


def possible_holders_by_name(
    coordinator: PolicyCoordinator, now: float, policy: PolicyState, leader: Any
) -> dict[str, str]:
    """The bug gone-name: leaves out all incarnations of a scheduler of which one was reported as gone."""
    gone_names = (
        {scheduler_name(each) for each in policy.change.removed_sessions}
        if policy.change is not None
        else set()
    )
    return {
        name: session
        for name, session in policy.register.items()
        if name not in gone_names and not coordinator.has_permit_expired(now, session, leader)
    }


@dataclass
class Session:
    """What a member knows of one incarnation of a scheduler."""

    confirmed_at_ms: float = float("-inf")
    acknowledged_revision: int = 0


@dataclass
class Renewal:
    """A renewal on its way to a member, or at one that has not read since."""

    session: str
    message_id: int
    revision_seen: int
    vote: PolicyVote
    member_index: int = -1  # the member that has received it; -1: on its way


@dataclass
class Reply:
    """A reply to a renewal on its way to a scheduler."""

    message_id: int
    document: Document
    grants_permit: bool


@dataclass
class Member:
    """A member of the store."""

    coordinator: PolicyCoordinator
    leading_since_ms: float = 0.0
    sessions: dict[str, Session] = field(default_factory=dict)
    document: Document = Document()
    unconfirmed_document: Document | None = None


@dataclass
class Scheduler:
    """A scheduler."""

    name: str
    participant: PolicyParticipant
    lease: Lease
    incarnation: int = 0
    document: Document = Document()
    up: bool = True
    stopped: bool = False
    last_message_id: int = 0
    renewal: Renewal | None = None
    reply: Reply | None = None


class World:
    """One state of the model."""

    def __init__(self, bug: str, schedulers: int = 3) -> None:
        """Starts with the first version in force and the first member leading; bug: one of BUGS, or empty."""
        self.bug, self.next_id, self.now = bug, IdGenerator(), 0.0  # now: in ms
        first_version = PolicyVersion(1, "", "one", "begin")
        self.document = Document().apply(
            Transaction("begin", {CURRENT_KEY: encode_value(first_version), LEADER_KEY: "0"})
        )
        self.members = [
            Member(PolicyCoordinator(PermitSettings(PERMIT_MS), wall_clock, self.next_id)) for _ in range(2)
        ]
        self.members[0].document = self.document
        if bug == "gone-name":
            for member in self.members:
                member.coordinator._possible_permit_holders = partial(
                    possible_holders_by_name, member.coordinator
                )
        self.highest_version = 0  # the highest version under which any scheduler could accept a job so far
        self.schedulers = [self._new_scheduler(f"s{number}", 0) for number in range(schedulers)]
        self.proposal_count = 0

    def _new_scheduler(self, name: str, incarnation: int) -> Scheduler:
        lease = Lease()
        scheduler = Scheduler(
            name, PolicyParticipant(f"{name}.{incarnation}", accept_every_policy, lease), lease, incarnation
        )
        if self.bug == "start" and incarnation:  # uses its cached policy as if it had a permit
            previous = next(each for each in self.schedulers if each.name == name)
            scheduler.document = previous.document
            scheduler.participant.update_policy(self.now, read_policy(scheduler.document))
            lease.expires_at_ms = self.now + PERMIT_MS
        return scheduler

    def _drop_history(self) -> None:
        """Keeps the document's entries only: by its history, equal states would have different keys."""
        self.document = Document(self.document.revision, self.document.entries)

    # -- steps

    def steps(self) -> list[tuple[str, int]]:
        """Returns the possible steps: a name, and the index of the scheduler or member."""
        steps: list[tuple[str, int]] = [("tick", 0)]
        for index, scheduler in enumerate(self.schedulers):
            if not scheduler.up:
                steps.append(("start", index))
                continue
            steps.append(("kill", index))
            if scheduler.renewal is not None:
                if scheduler.renewal.member_index < 0:
                    steps += [("come", index), ("stray", index)]
            elif not scheduler.stopped and scheduler.reply is None:
                steps.append(("renew", index))
            if scheduler.reply is not None:
                steps.append(("lose", index))
                if not scheduler.stopped:
                    steps.append(("hear", index))
            steps.append(("go_on" if scheduler.stopped else "stop", index))
        for index in range(len(self.members)):
            steps.append(("read", index))
            if self.leader_index() == index:
                steps += [("decide", index), ("unheard", index)]
            else:
                steps.append(("take_over", index))
        return steps

    def leader_index(self) -> int:
        """Returns the index of the leading member, by the document."""
        return int(self.document.get_value(LEADER_KEY))

    def apply_step(self, step: tuple[str, int]) -> None:
        """Applies a step of steps(); raises AssertionError if a version goes back by it."""
        name, index = step
        getattr(self, f"_{name}")(index)
        self._check_versions()

    def _tick(self, _: int) -> None:
        self.now += TICK_MS

    def _renew(self, index: int) -> None:
        scheduler = self.schedulers[index]
        scheduler.last_message_id += 1
        scheduler.lease.record_renewal(scheduler.last_message_id, self.now)
        scheduler.renewal = Renewal(
            scheduler.participant.session,
            scheduler.last_message_id,
            scheduler.document.revision,
            scheduler.participant.vote,
        )

    def _come(self, index: int) -> None:
        self.schedulers[index].renewal.member_index = self.leader_index()

    def _stray(self, index: int) -> None:
        """Delivers a renewal to the member that does not lead, but may take over before it reads."""
        self.schedulers[index].renewal.member_index = 1 - self.leader_index()

    def _lose(self, index: int) -> None:
        self.schedulers[index].reply = None

    def _read(self, index: int) -> None:
        """Reads the document for a member; if it leads, it replies to the renewals that it has."""
        member = self.members[index]
        was_leader = member.document.get_value(LEADER_KEY) == str(index)
        member.document, member.unconfirmed_document = self.document, None
        is_leader = self.leader_index() == index
        if not is_leader:
            member.sessions = {}
        elif not was_leader:
            member.leading_since_ms = self.now
        for scheduler in self.schedulers:
            renewal = scheduler.renewal
            if renewal is None or renewal.member_index != index:
                continue
            scheduler.renewal = None
            if not is_leader or renewal.revision_seen > self.document.revision:
                continue
            session = member.sessions.setdefault(renewal.session, Session())
            session.confirmed_at_ms, session.acknowledged_revision = self.now, renewal.revision_seen
            member.coordinator.record_vote(renewal.session, renewal.vote)
            if scheduler.up and scheduler.participant.session == renewal.session:
                grants_permit = (
                    member.coordinator.may_hold_permit(renewal.session, self.document)
                    or self.bug == "no-register"
                )
                scheduler.reply = Reply(renewal.message_id, member.document, grants_permit)

    def _next_transaction(self, index: int) -> Transaction | None:
        member = self.members[index]
        coordinator = member.coordinator
        if self.bug == "ready-twice":
            blocking = coordinator.blocking_schedulers(self.now, member.document, member)
            policy = read_policy(member.document)
            if policy.change is not None and policy.register and not blocking:
                return coordinator._end_change(policy, member.document, True, "")
        return coordinator.decide_next_change(self.now, member.document, member)

    def _decide(self, index: int) -> None:
        """Makes the leader's next change by its copy of the document; reads if that copy is stale."""
        member = self.members[index]
        if member.document.get_value(LEADER_KEY) != str(index):
            return  # it has taken over, but has not read that yet
        txn = self._next_transaction(index)
        if txn is None:
            return
        txn = msgspec.structs.replace(
            txn,
            expected_revisions={
                **txn.expected_revisions,
                **member.document.current_revisions(LEADER_KEY),
            },
        )
        after = self.document.apply(txn)
        if after is not None:
            self.document = after
            self._drop_history()
            member.document = self.document
        else:
            self._read(index)

    def _unheard(self, index: int) -> None:
        """Makes a change that no majority accepts: nobody may learn of it, except by the bug told-first."""
        if self.bug == "told-first":
            member = self.members[index]
            txn = (
                self._next_transaction(index) if member.document.get_value(LEADER_KEY) == str(index) else None
            )
            after = member.document.apply(txn) if txn is not None else None
            if after is not None:
                for scheduler in self.schedulers:
                    if scheduler.reply is not None:
                        scheduler.reply.document = Document(after.revision, after.entries)

    def _take_over(self, index: int) -> None:
        member = self.members[index]
        txn = Transaction(
            self.next_id(), {LEADER_KEY: str(index)}, self.document.current_revisions(LEADER_KEY)
        )
        self.document = self.document.apply(txn)
        self._drop_history()
        member.document, member.leading_since_ms, member.sessions = self.document, self.now, {}

    def _hear(self, index: int) -> None:
        scheduler = self.schedulers[index]
        reply, scheduler.reply = scheduler.reply, None
        if reply.document.revision > scheduler.document.revision:
            scheduler.document = reply.document
            scheduler.participant.update_policy(self.now, read_policy(scheduler.document))
        if reply.grants_permit:
            scheduler.lease.extend(reply.message_id, PERMIT_MS)

    def _stop(self, index: int) -> None:
        self.schedulers[index].stopped = True

    def _go_on(self, index: int) -> None:
        self.schedulers[index].stopped = False

    def _kill(self, index: int) -> None:
        scheduler = self.schedulers[index]
        scheduler.up, scheduler.stopped, scheduler.reply = False, False, None

    def _start(self, index: int) -> None:
        previous = self.schedulers[index]
        self.schedulers[index] = self._new_scheduler(previous.name, previous.incarnation + 1)
        # Drops a renewal of the earlier incarnation that is still on its way.
        self.schedulers[index].renewal = None

    # -- rules

    def acceptable_versions(self) -> dict[str, int]:
        """Returns, by scheduler, the version under which it would accept a job now, if it would."""
        versions = {}
        for scheduler in self.schedulers:
            if scheduler.up and not scheduler.stopped:
                decision = scheduler.participant.decide_admission(self.now)
                if decision.action == "take" or (
                    self.bug == "stopped"
                    and scheduler.lease.expires_at_ms > float("-inf")
                    and not scheduler.participant.policy.is_closed()
                    and scheduler.participant.policy.now.number
                ):
                    versions[scheduler.name] = decision.version or scheduler.participant.policy.now.number
        return versions

    def _check_versions(self) -> None:
        versions = self.acceptable_versions()
        if versions and min(versions.values()) < self.highest_version:
            raise AssertionError(f"{versions}, after a job could be taken under {self.highest_version}")
        self.highest_version = (
            max(self.highest_version, *versions.values()) if versions else self.highest_version
        )

    def propose(self, removed_names: list[str] = ()) -> None:
        """Proposes a change if none is pending.

        removed_names: schedulers that the operator declares to be gone for good.
        """
        policy = read_policy(self.document)
        if policy.change is None:
            self.proposal_count += 1
            txn = self.members[0].coordinator.propose(
                self.document,
                f"v{self.proposal_count}",
                policy.now.number,
                "o",
                "",
                4 * TICK_MS,
                list(removed_names),
            )
            self.document = self.document.apply(txn)
            self._drop_history()

    # -- identification of equal states

    def key(self) -> bytes:
        """Returns a key that is equal for states that behave alike.

        Revisions count from the current one, and times from now, at most 4 ticks back.
        """
        revision = self.document.revision

        def document_key(document: Document) -> tuple[Any, ...]:
            policy, change = read_policy(document), read_policy(document).change
            return (
                revision - document.revision,
                policy.now.number,
                document.get_value(LEADER_KEY),
                None if change is None else (change.state, change.revert_count, change.id == change_id),
                tuple(sorted(policy.register.items())),
            )

        change = read_policy(self.document).change
        change_id = change.id if change is not None else ""

        def relative_time(at_ms: float) -> float:
            return max(-4 * TICK_MS, at_ms - self.now)

        parts: list[Any] = [document_key(self.document), self.highest_version]
        for scheduler in self.schedulers:
            renewal, reply = scheduler.renewal, scheduler.reply
            sent_at_ms = scheduler.lease.renewals_sent
            parts.append(
                (
                    scheduler.incarnation,
                    scheduler.up,
                    scheduler.stopped,
                    document_key(scheduler.document),
                    relative_time(scheduler.lease.expires_at_ms),
                    scheduler.participant.vote.change_id == change_id,
                    renewal
                    and (
                        renewal.member_index,
                        revision - renewal.revision_seen,
                        renewal.vote.change_id == change_id,
                        relative_time(sent_at_ms.get(renewal.message_id, 0.0)),
                    ),
                    reply
                    and (
                        document_key(reply.document),
                        reply.grants_permit,
                        relative_time(sent_at_ms.get(reply.message_id, 0.0)),
                    ),
                )
            )
        for member in self.members:
            coordinator = member.coordinator
            parts.append(
                (
                    relative_time(member.leading_since_ms),
                    document_key(member.document),
                    tuple(
                        (
                            id,
                            relative_time(session.confirmed_at_ms),
                            revision - session.acknowledged_revision,
                        )
                        for id, session in sorted(member.sessions.items())
                    ),
                    tuple(
                        sorted((id, vote.change_id == change_id) for id, vote in coordinator.votes.items())
                    ),
                    tuple(
                        sorted(
                            (id, relative_time(at_ms))
                            for id, at_ms in coordinator.permit_confirmed_at_ms.items()
                        )
                    ),
                    revision - coordinator.change_revision_seen[0],
                    relative_time(coordinator.change_revision_seen[1]),
                    coordinator.change_started[0] == change_id,
                    relative_time(coordinator.change_started[1]),
                )
            )
        return pickle.dumps(parts)


def initial_world(bug: str, new: bool = False) -> World:
    """Returns a world in which all schedulers are registered and have a permit, with a change proposed.

    new: the third scheduler has never run.
    """
    world = World(bug)
    world.schedulers[2].up = not new
    run_without_faults(world, 3, start=False)
    assert len(world.acceptable_versions()) == 3 - new
    world.propose()
    return world


def run_without_faults(world: World, rounds: int, start: bool = True) -> None:
    """In each round every scheduler renews and receives the reply, and the leader makes its next change.

    start: starts the schedulers that are down; otherwise they stay down.
    """
    for _ in range(rounds):
        leader_index = world.leader_index()
        for index, scheduler in enumerate(world.schedulers):
            if not scheduler.up and not start:
                continue
            if not scheduler.up:
                world.apply_step(("start", index))
            if world.schedulers[index].stopped:
                world.apply_step(("go_on", index))
            scheduler = world.schedulers[index]
            if scheduler.reply is not None:
                world.apply_step(("hear", index))
            if scheduler.renewal is None:
                world.apply_step(("renew", index))
            if scheduler.renewal.member_index != leader_index:
                world.apply_step(("come", index))
        world.apply_step(("read", leader_index))
        for index, scheduler in enumerate(world.schedulers):
            if scheduler.reply is not None:
                world.apply_step(("hear", index))
        world.apply_step(("decide", leader_index))


def explore(bug: str, depth: int, max_states: int, new: bool = False) -> tuple[int, int, str]:
    """Explores all interleavings breadth first, until a violation, the depth or max_states.

    Returns the number of states, the depth that was explored completely (at a violation: the depth of the
    violation), and the violation with its steps, which is empty if there is none.
    """
    world = initial_world(bug, new)
    seen_keys, frontier = {world.key()}, [(pickle.dumps(world), ())]
    for level in range(1, depth + 1):
        next_frontier = []
        for pickled, path in frontier:
            base = pickle.loads(pickled)
            for step in base.steps():
                world = pickle.loads(pickled)
                try:
                    world.apply_step(step)
                except AssertionError as error:
                    return len(seen_keys), level, f"{error}: {[*path, step]}"
                key = world.key()
                if key not in seen_keys:
                    seen_keys.add(key)
                    next_frontier.append((pickle.dumps(world), (*path, step)))
            if len(seen_keys) > max_states:
                return len(seen_keys), level - 1, ""
        frontier = next_frontier
    return len(seen_keys), depth, ""


STEP_WEIGHTS = {  # of the steps of a random walk
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
    """Runs one random walk of `depth` steps, then rounds without faults.

    Returns the violation with its last 25 steps (empty: none), the number of versions that came into force,
    and the number of changes that did not.
    """
    rng, world, path = random.Random(seed), initial_world(bug, seed % 2 == 1), []
    try:
        for number in range(depth):
            if number % 10 == 9:
                policy = read_policy(world.document)
                down = [
                    name
                    for scheduler in world.schedulers
                    if not scheduler.up and (name := scheduler.name) in policy.register
                ]
                world.propose(down if rng.random() < 0.7 else ())
            steps = world.steps()
            step = rng.choices(steps, [STEP_WEIGHTS[name] for name, _ in steps])[0]
            path.append(step)
            world.apply_step(step)
        for _ in range(12):
            world.apply_step(("tick", 0))
            run_without_faults(world, 1)
        run_without_faults(world, 4)
        if read_policy(world.document).change is not None:
            raise AssertionError("the change has not ended")
        versions = world.acceptable_versions()
        if len(versions) < 3 or len(set(versions.values())) != 1:
            raise AssertionError(f"not all take jobs under one version: {versions}")
    except AssertionError as error:
        return f"{error}: {path[-25:]}", 0, 0
    history = read_policy(world.document).history
    return "", sum(each.taken for each in history), sum(not each.taken for each in history)


def _run_walks(arguments: tuple[str, int, int, int]) -> tuple[list[str], Counter[str]]:
    bug, begin, count, depth = arguments
    violations, counts = [], Counter[str]()
    for seed in range(begin, begin + count):
        violation, taken, not_taken = random_walk(bug, seed, depth)
        counts.update(taken=taken, not_taken=not_taken, walks=1, wrong=bool(violation))
        if violation:
            violations.append(f"seed {seed}: {violation}")
    return violations, counts


@click.command()
@click.option("--depth", default=8, show_default=True)
@click.option("--most", default=2_000_000, show_default=True, help="Maximum number of states.")
@click.option("--walks", default=0, show_default=True, help="Number of random walks; 0: all interleavings.")
@click.option("--bug", default="", type=click.Choice(["", *BUGS]))
def main(depth: int, most: int, walks: int, bug: str) -> None:
    """Explores all interleavings to a depth, or runs random walks, and prints what was found."""
    if not walks:
        for new in (False, True):
            states, done, violation = explore(bug, depth, most, new)
            start = "one is new" if new else "all are known"
            click.echo(
                f"{bug or 'no bug'}, {start}: {states} states, all to depth {done}; "
                f"{violation or 'nothing wrong'}"
            )
        return
    batch_size = 250
    with ProcessPoolExecutor() as pool:
        batches = list(
            pool.map(
                _run_walks,
                [
                    (bug, begin, min(batch_size, walks - begin), depth)
                    for begin in range(0, walks, batch_size)
                ],
            )
        )
    counts = sum((each for _, each in batches), Counter())
    for line in [line for violations, _ in batches for line in violations][:3]:
        click.echo(line)
    click.echo(f"{bug or 'no bug'}: {dict(counts)}")


if __name__ == "__main__":
    main()

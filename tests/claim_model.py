"""An exhaustive search over the life of one claim: two members, one job that must not run twice.

The code under test is the real one: FaktoryConnection._submit_job, PushedJob and Claims. The store is a
register whose changes are confirmed, lost after they were applied, or lost before. The core accepts a job,
may send it, and ends it. A member may crash at each step. Every order of these events is played, up to the
limits.

An execution is a list of choices. The search replays each list from the start, as a coroutine cannot be
copied, and leaves out states that it has seen.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Generator, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any, NamedTuple
from unittest import mock

from spanwing import interface as api
from spanwing.core.messages import (
    ClientDisconnected,
    EarlierRequest,
    EarlierState,
    FinalAnswer,
    JobRequest,
    RequestSubmitted,
)
from spanwing.frontends import faktory, faktory_jobs
from spanwing.frontends.faktory import (
    CommandError,
    FaktoryConnection,
    FaktoryCustom,
    FaktoryFrontend,
    FaktoryJob,
)
from spanwing.frontends.faktory_jobs import JobStates
from spanwing.net.buffers import BufferPool
from spanwing.store import claims as claims_module
from spanwing.store.claims import Claims
from spanwing.store.store import NoQuorumError

JID = "job-00001"
MEMBERS = ("a", "b")
SERVICE_CLASS = api.ServiceClass("apply", 5000.0, 5000.0, idempotency="unsafe")


class Limits(NamedTuple):
    """How often each kind of event may happen in one execution."""

    pushes: int = 3
    lost_changes: int = 1
    crashes: int = 1
    waits_for_outcome: bool = False  # the clients wait for the outcome, and may leave


class Violation(AssertionError):
    """An execution in which a promise to the callers is broken."""


class Suspended:
    """What a coroutine waits for: a change of the store (with a change function) or a timer."""

    def __init__(self, change: Callable[[str | None], str | None] | None = None) -> None:
        self.change = change

    def __await__(self) -> Generator[Suspended, Any, Any]:
        return (yield self)


class Task:
    """A coroutine of one member, driven step by step."""

    def __init__(self, member: Member, coroutine: Coroutine[Any, Any, Any], push: Push | None = None) -> None:
        self.member, self.coroutine, self.push = member, coroutine, push
        self.waits_for: Any = None

    def advance(self, value: Any = None, error: Exception | None = None) -> None:
        """Runs the coroutine to its next wait; a PUSH that ends has its reply checked."""
        try:
            self.waits_for = self.coroutine.throw(error) if error else self.coroutine.send(value)
        except StopIteration as stop:
            self._finish(stop.value)
        except CommandError as command_error:
            self._finish(f"-{command_error.error_code}".encode())
        except StreamClosed:
            self._finish(b"")

    def _finish(self, reply: bytes | None) -> None:
        self.waits_for = None
        self.member.tasks.remove(self)
        if self.push is not None:
            self.member.world.check_reply(self.push, reply)

    @property
    def is_ready(self) -> bool:
        """Returns whether the task waits for a future that is done, or for the store or a timer."""
        return isinstance(self.waits_for, Suspended) or self.waits_for.done()


class StreamClosed(Exception):
    """The client of a PUSH has left."""


class Push(NamedTuple):
    """One PUSH: its connection, and how many jobs its member had accepted before."""

    member: Member
    connection: SimpleNamespace
    accepted_before: int


class Mailbox:
    """The mailbox of a connection that waits for the outcome."""

    def __init__(self) -> None:
        self.answer = asyncio.Future(loop=LOOP)

    def put_nowait(self, answer: FinalAnswer | None) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)

    async def get(self) -> FinalAnswer | None:
        return await self.answer


class Member:
    """One member: its claims, its core with at most one pending job, and its tasks."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.store = SimpleNamespace(change=self._change)
        self.accepted_count = 0
        self.start()

    async def _change(self, key: str, change: Callable[[str | None], str | None]) -> str | None:
        return await Suspended(change)

    def start(self) -> None:
        """Begins a new incarnation, which knows nothing of the one before."""
        self.claims, self.tasks = Claims(self.store), []
        self.pending: RequestSubmitted | None = None
        self.is_sent = False
        self.service_classes = {SERVICE_CLASS.name: SERVICE_CLASS}
        self.frontend = SimpleNamespace(
            buffers=BufferPool(),
            request_manager=self,
            claims=self.claims,
            job_states=JobStates(),
            is_draining=False,
            find_interrupted=lambda jid: "",
            build_request=lambda job, service_class, body: JobRequest(job.jid, service_class.name, 5e3),
        )
        self.frontend.claim_job = lambda *arguments: FaktoryFrontend.claim_job(self.frontend, *arguments)

    def crash(self) -> None:
        """Ends the process and starts it again."""
        for each in self.tasks:
            each.coroutine.close()
        self.start()

    def pending_client(self, request: str) -> Any:
        """Returns the client of the pending job, as the core does."""
        return None if self.pending is None else self.pending.client

    def post(self, message: RequestSubmitted | ClientDisconnected) -> None:
        """Accepts a job, or answers "repeated" if one is pending; withdraws the job of a client that left."""
        if isinstance(message, ClientDisconnected):
            if self.pending is not None and self.pending.client is message.client:
                was_sent, self.pending = self.is_sent, None
                self.world.outcomes.append("left")
                message.on_withdrawn(was_sent)
        elif self.pending is not None:
            earlier = EarlierRequest(EarlierState.PENDING, self.pending.client)
            message.client.answer(message.request, FinalAnswer("repeated", earlier=earlier))
        else:
            self.pending, self.is_sent = message, False
            self.accepted_count += 1
            message.on_accepted()

    def end_job(self, kind: str) -> None:
        """Gives the pending job its final answer."""
        submitted, self.pending = self.pending, None
        self.world.outcomes.append(kind)
        submitted.client.answer(submitted.request, FinalAnswer(kind))

    def push(self) -> None:
        """Starts a PUSH of the job."""
        connection = object.__new__(FaktoryConnection)
        connection.frontend, connection.is_closed, connection.mailbox = self.frontend, False, Mailbox()
        custom = FaktoryCustom(answer="outcome" if self.world.limits.waits_for_outcome else "accepted")
        job = FaktoryJob(JID, "apply", [], queue=SERVICE_CLASS.name, custom=custom)
        self.spawn(connection._submit_job(job, b"{}"), Push(self, connection, self.accepted_count))

    def spawn(self, coroutine: Coroutine[Any, Any, Any], push: Push | None = None) -> None:
        """Starts a task, as spawn_task() does; push: the PUSH whose reply is its result."""
        task = Task(self, coroutine, push)
        self.tasks.append(task)
        task.advance()

    def key(self) -> tuple[Any, ...]:
        """Returns what distinguishes the states of this member."""
        return (
            tuple(
                (each.outcome.token, each.outcome.state, each.tokens)
                for each in self.claims.settling_claims.values()
            ),
            self.claims.is_retrying,
            self.pending is not None and (self.is_sent, self.pending.client.is_joined),
            tuple(
                (
                    each.push is not None,
                    each.is_ready,
                    each.coroutine.cr_code.co_name,
                    _position(each.coroutine),
                )
                for each in self.tasks
            ),
        )


def _position(coroutine: Any) -> tuple[Any, ...]:
    """Returns the lines at which the frames of a coroutine wait, and the tokens that they hold."""
    found: list[Any] = []
    while coroutine is not None and hasattr(coroutine, "cr_frame"):
        frame = coroutine.cr_frame
        if frame is not None:
            settling = frame.f_locals.get("settling")
            tokens = settling and (settling.outcome.state, settling.tokens)
            found.append((frame.f_lineno, frame.f_locals.get("token"), tokens))
        coroutine = coroutine.cr_await
    return tuple(found)


class World:
    """Both members, the register, and what has happened."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.register: str | None = None
        self.run_count = 0
        self.outcomes: list[str] = []  # final answers, and "left"
        self.pushes_left, self.losses_left, self.crashes_left = (
            limits.pushes,
            limits.lost_changes,
            limits.crashes,
        )
        self.token_count = 0
        self.active: Member | None = None
        self.members = {name: Member(self, name) for name in MEMBERS}

    def new_token(self, size: int) -> str:
        """Returns a token that is the same in each replay."""
        self.token_count += 1
        return str(self.token_count)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Starts a task at the member whose code runs now."""
        self.active.spawn(coroutine)

    def choices(self) -> Iterator[tuple[Any, ...]]:
        """Yields the events that may come next."""
        for member in self.members.values():
            yield from self._choices_of(member)

    def _choices_of(self, member: Member) -> Iterator[tuple[Any, ...]]:
        for index, task in enumerate(member.tasks):
            if task.is_ready:
                yield member.name, "step", index, "confirmed"
                if isinstance(task.waits_for, Suspended) and task.waits_for.change and self.losses_left:
                    yield member.name, "step", index, "applied"
                    yield member.name, "step", index, "lost"
            if task.push is not None and self.limits.waits_for_outcome and not task.is_ready:
                yield member.name, "leave", index
        if member.pending is not None:
            if member.is_sent:
                yield member.name, "end", "served"
                yield member.name, "end", "failed"
            else:
                yield member.name, "send"
                yield member.name, "end", "refused"
        if self.pushes_left:
            yield member.name, "push"
        if self.crashes_left and (member.tasks or member.pending is not None):
            yield member.name, "crash"

    def play(self, choice: tuple[Any, ...]) -> None:
        """Plays one event."""
        member = self.active = self.members[choice[0]]
        match choice[1:]:
            case ("step", index, result):
                self._step(member.tasks[index], result)
            case ("leave", index):
                member.tasks[index].push.connection.is_closed = True
                member.tasks[index].push.connection.mailbox.put_nowait(None)
            case ("send",):
                member.is_sent = True
                self.run_count += 1
                if self.run_count > 1:
                    raise Violation("the job runs a second time")
            case ("end", kind):
                member.end_job(kind)
            case ("push",):
                self.pushes_left -= 1
                member.push()
            case ("crash",):
                self.crashes_left -= 1
                member.crash()

    def _step(self, task: Task, result: str) -> None:
        waits_for = task.waits_for
        if not isinstance(waits_for, Suspended) or waits_for.change is None:
            task.advance(None)
            return
        if result != "lost":
            self.register = waits_for.change(self.register)
        if result == "confirmed":
            task.advance(self.register)
        else:
            self.losses_left -= 1
            task.advance(error=NoQuorumError("1 of 3 members answered"))

    def check_reply(self, push: Push, reply: bytes) -> None:
        """Raises Violation if a reply promises what nobody keeps."""
        member = push.member
        is_held = member.pending is not None or member.accepted_count > push.accepted_before
        if reply.startswith(b"+OK") and not push.connection.is_closed:
            if self.limits.waits_for_outcome and "served" not in self.outcomes:
                raise Violation("+OK for an outcome that there is not")
            if not is_held and "served" not in self.outcomes:
                raise Violation("+OK for a job that nobody holds")

    def check_end(self) -> None:
        """Raises Violation if a job that never ran, and that no process has lost, cannot be claimed again."""
        if self.run_count or self.crashes_left < self.limits.crashes:
            return
        for name, member in self.members.items():
            accepted_before = member.accepted_count
            self.active = member
            member.push()
            while any(each.is_ready for each in member.tasks):
                self._step(next(each for each in member.tasks if each.is_ready), "confirmed")
            if member.accepted_count == accepted_before:
                raise Violation(f"the job never ran, and {name} does not accept it again")
            member.end_job("refused")
            while any(each.is_ready for each in member.tasks):
                self._step(next(each for each in member.tasks if each.is_ready), "confirmed")

    def key(self) -> tuple[Any, ...]:
        """Returns what distinguishes the states of the search."""
        return (
            self.register,
            self.run_count,
            tuple(sorted(set(self.outcomes))),
            self.pushes_left,
            self.losses_left,
            self.crashes_left,
            tuple(member.key() for member in self.members.values()),
        )

    def close(self) -> None:
        """Closes the coroutines."""
        for member in self.members.values():
            for each in member.tasks:
                each.coroutine.close()


class SearchResult(NamedTuple):
    """What a search has found: the first violation with its choices, or none."""

    state_count: int
    end_count: int  # executions that no event is left for
    violation: str = ""
    choices: tuple[tuple[Any, ...], ...] = ()


async def _suspend(_: float) -> None:
    await Suspended()


class _Current:
    """The world whose code runs now; the functions put under the real code refer to it."""

    world: World


@contextmanager
def _controlled() -> Iterator[None]:
    """Puts the current world's tasks, timers and tokens under the real code."""
    with (
        mock.patch.object(claims_module, "spawn_task", lambda coroutine: _Current.world.spawn(coroutine)),
        mock.patch.object(claims_module, "sleep", _suspend),
        mock.patch.object(claims_module.secrets, "token_hex", lambda size: _Current.world.new_token(size)),
        mock.patch.object(claims_module.log, "warning"),
        mock.patch.object(faktory_jobs, "spawn_task", lambda coroutine: _Current.world.spawn(coroutine)),
        mock.patch.object(faktory_jobs, "Future", lambda: asyncio.Future(loop=LOOP)),
        mock.patch.object(faktory, "StreamClosedError", StreamClosed),
    ):
        yield


LOOP = asyncio.new_event_loop()


def search(limits: Limits) -> SearchResult:
    """Plays every execution within the limits; stops at the first violation."""
    seen: set[tuple[Any, ...]] = set()
    waiting: list[tuple[tuple[Any, ...], ...]] = [()]
    end_count = 0
    with _controlled():
        while waiting:
            path = waiting.pop()
            world = _Current.world = World(limits)
            try:
                for choice in path:
                    world.play(choice)
                key = world.key()
                if key in seen:
                    continue
                seen.add(key)
                following = list(world.choices())
                if not following:
                    end_count += 1
                    world.check_end()
            except Violation as violation:
                return SearchResult(len(seen), end_count, str(violation), path)
            finally:
                world.close()
            waiting += [(*path, choice) for choice in following]
    return SearchResult(len(seen), end_count)

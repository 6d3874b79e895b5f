"""The proposer: changes a register by majority, or says that there is none."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from datetime import timedelta

from tornado.concurrent import Future
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout

from spanwing.store.acceptor import Acceptor
from spanwing.store.messages import NONE, Accept, Ballot, Look, Ping, Prepare, Reply
from spanwing.store.peer import Peer

ANSWER_MS = 500.0  # a round waits so long for a majority
TRIES = 12  # rounds against other proposers

Change = Callable[[str | None], str | None]


class NoMajority(Exception):
    """Too few members answered, or others kept winning; what was asked for may or may not come true."""


class Store:
    """Registers shared with the peers; alone, a dictionary with ballots."""

    def __init__(
        self,
        member: str,
        acceptor: Acceptor,
        peers: list[Peer],
        seed: int,
        answer_ms: float = ANSWER_MS,
        names: tuple[str, ...] = (),
    ) -> None:
        self.names = names  # of the peers
        self.member, self.acceptor, self.peers = member, acceptor, peers
        self.wait = timedelta(milliseconds=answer_ms)
        self.majority = (len(peers) + 1) // 2 + 1
        self.numbers = itertools.count(1)
        self.random = random.Random(seed)

    async def change(self, key: str, change: Change) -> str | None:
        """Apply a change to the register's value; returns the value that stands then."""
        highest: Ballot = NONE
        for attempt in range(TRIES):
            if attempt:  # two proposers that keep stepping on each other part at random
                await sleep(self.random.uniform(0.0, 0.01 * 2 ** min(attempt, 4)))
            held = self.acceptor.registers.get(key)
            # Above every ballot of an earlier life too: our own member has kept the promise on disk.
            counter = max(highest[0], held.promised[0] if held else 0) + 1
            ballot = (counter, self.member)
            replies = await self._round(lambda n, ballot=ballot: Prepare(n, key, ballot))
            highest = max([highest, *(each.promised for each in replies)])
            granted = [each for each in replies if each.granted]
            if len(granted) < self.majority:
                self._give_up_if_alone(replies)
                continue
            latest = max(granted, key=lambda each: each.accepted)
            value = change(latest.value)
            if value is None:  # nothing there and nothing to be written
                return None
            replies = await self._round(lambda n, b=ballot, v=value: Accept(n, key, b, v))
            highest = max([highest, *(each.promised for each in replies)])
            if sum(each.granted for each in replies) >= self.majority:
                return value
            self._give_up_if_alone(replies)
        raise NoMajority(f"{key}: other members kept changing it")

    async def reachable(self) -> int:
        """How many members answer now, ourselves among them."""
        return len(await self._round(Ping))

    async def read(self, key: str) -> str | None:
        return await self.change(key, lambda value: value)

    async def look(self, key: str) -> str | None:
        """What the register holds, linearizably, without a write where that can be told: if a majority names
        one ballot as accepted and nobody a higher one, its value is chosen, and no later write had ended when
        we began to ask. May raise NoMajority."""
        replies = await self._round(lambda n: Look(n, key, self.member))
        self._give_up_if_alone(replies)
        latest = max(replies, key=lambda each: each.accepted)
        if sum(each.accepted == latest.accepted for each in replies) >= self.majority:
            return latest.value
        return await self.read(key)

    async def compare_and_set(self, key: str, expected: str | None, value: str) -> str | None:
        """Returns what stands then; the caller won if that is its value, so values should be unique."""
        return await self.change(key, lambda held: value if held == expected else held)

    def _give_up_if_alone(self, replies: list[Reply]) -> None:
        if len(replies) < self.majority:
            raise NoMajority(
                f"{len(replies)} of {len(self.peers) + 1} members answered, {self.majority} are needed"
            )

    async def _round(self, make: Callable[[int], Prepare | Accept | Look | Ping]) -> list[Reply]:
        """Ask all members; the replies that came until a majority was clear or time was up."""
        asked = [peer.ask(make(next(self.numbers))) for peer in self.peers]
        replies = [self.acceptor.answer(make(next(self.numbers)))]
        enough: Future[None] = Future()
        heard_of = 0

        def heard(done: Future[Reply | None]) -> None:
            nonlocal heard_of
            if done.cancelled() or enough.done():
                return
            # A reply that is there but not yet heard must not be taken for one that will not come.
            heard_of += 1
            if done.result() is not None:
                replies.append(done.result())
            if sum(each.granted for each in replies) >= self.majority or heard_of == len(asked):
                enough.set_result(None)

        if len(replies) < self.majority:
            for each in asked:
                each.add_done_callback(heard)
            try:
                await with_timeout(self.wait, enough)
            except WaitOver:
                pass
        for each in asked:
            each.cancel()
        return list(replies)

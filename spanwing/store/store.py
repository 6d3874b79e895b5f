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
from spanwing.store.messages import NO_BALLOT, Accept, Ballot, Ping, Prepare, ReadRegister, RegisterReply
from spanwing.store.peer import Peer

ROUND_TIMEOUT_MS = 500.0  # a round waits so long for a majority
MAX_ROUNDS = 12  # rounds against other proposers

ChangeFunction = Callable[[str | None], str | None]


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
        round_timeout_ms: float = ROUND_TIMEOUT_MS,
        peer_names: tuple[str, ...] = (),
    ) -> None:
        self.peer_names = peer_names  # of the peers
        self.member, self.acceptor, self.peers = member, acceptor, peers
        self.round_timeout = timedelta(milliseconds=round_timeout_ms)
        self.majority = (len(peers) + 1) // 2 + 1
        self.message_ids = itertools.count(1)
        self.random_source = random.Random(seed)

    async def change(self, key: str, compute_value: ChangeFunction) -> str | None:
        """Apply a change to the register's value; returns the value that stands then."""
        highest: Ballot = NO_BALLOT
        for attempt in range(MAX_ROUNDS):
            if attempt:  # two proposers that keep stepping on each other part at random
                await sleep(self.random_source.uniform(0.0, 0.01 * 2 ** min(attempt, 4)))
            local_register = self.acceptor.registers.get(key)
            # Above every ballot of an earlier life too: our own member has kept the promise on disk.
            counter = max(highest[0], local_register.promised[0] if local_register else 0) + 1
            ballot = (counter, self.member)
            replies = await self._ask_all_members(lambda n, ballot=ballot: Prepare(n, key, ballot))
            highest = max([highest, *(each.promised_ballot for each in replies)])
            promises = [each for each in replies if each.is_granted]
            if len(promises) < self.majority:
                self._require_majority(replies)
                continue
            latest = max(promises, key=lambda each: each.accepted_ballot)
            value = compute_value(latest.value)
            if value is None:  # nothing there and nothing to be written
                return None
            replies = await self._ask_all_members(lambda n, b=ballot, v=value: Accept(n, key, b, v))
            highest = max([highest, *(each.promised_ballot for each in replies)])
            if sum(each.is_granted for each in replies) >= self.majority:
                return value
            self._require_majority(replies)
        raise NoMajority(f"{key}: other members kept changing it")

    async def count_reachable_members(self) -> int:
        """How many members answer now, ourselves among them."""
        return len(await self._ask_all_members(Ping))

    async def read_through_change(self, key: str) -> str | None:
        return await self.change(key, lambda value: value)

    async def read_register(self, key: str) -> str | None:
        """What the register holds, linearizably, without a write where that can be told: if a majority names
        one ballot as accepted and nobody a higher one, its value is chosen, and no later write had ended when
        we began to ask. May raise NoMajority."""
        replies = await self._ask_all_members(lambda n: ReadRegister(n, key, self.member))
        self._require_majority(replies)
        newest = max(replies, key=lambda each: each.accepted_ballot)
        if sum(each.accepted_ballot == newest.accepted_ballot for each in replies) >= self.majority:
            return newest.value
        return await self.read_through_change(key)

    async def compare_and_set(self, key: str, expected: str | None, value: str) -> str | None:
        """Returns what stands then; the caller won if that is its value, so values should be unique."""
        return await self.change(key, lambda held: value if held == expected else held)

    def _require_majority(self, replies: list[RegisterReply]) -> None:
        if len(replies) < self.majority:
            raise NoMajority(
                f"{len(replies)} of {len(self.peers) + 1} members answered, {self.majority} are needed"
            )

    async def _ask_all_members(
        self, make_message: Callable[[int], Prepare | Accept | ReadRegister | Ping]
    ) -> list[RegisterReply]:
        """Ask all members; the replies that came until a majority was clear or time was up."""
        pending_replies = [peer.send_request(make_message(next(self.message_ids))) for peer in self.peers]
        replies = [self.acceptor.handle_message(make_message(next(self.message_ids)))]
        majority_reached: Future[None] = Future()
        settled_count = 0

        def count_reply(done: Future[RegisterReply | None]) -> None:
            nonlocal settled_count
            if done.cancelled() or majority_reached.done():
                return
            # A reply that is there but not yet heard must not be taken for one that will not come.
            settled_count += 1
            if done.result() is not None:
                replies.append(done.result())
            if sum(each.is_granted for each in replies) >= self.majority or settled_count == len(
                pending_replies
            ):
                majority_reached.set_result(None)

        if len(replies) < self.majority:
            for each in pending_replies:
                each.add_done_callback(count_reply)
            try:
                await with_timeout(self.round_timeout, majority_reached)
            except WaitOver:
                pass
        for each in pending_replies:
            each.cancel()
        return list(replies)

"""The proposer: changes a register by majority (CASPaxos), or raises NoQuorumError."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from tornado.concurrent import Future
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout

from spanwing.store.acceptor import Acceptor
from spanwing.store.messages import NO_BALLOT, Accept, Ballot, Ping, Prepare, ReadRegister, RegisterReply
from spanwing.store.peer import Peer

ROUND_TIMEOUT_MS = 500.0  # each phase waits so long for a majority
MAX_ROUNDS = 12  # attempts against competing proposers

ChangeFunction = Callable[[str | None], str | None]


class NoQuorumError(Exception):
    """Too few members answered, or other proposers kept winning; the change may or may not happen."""


class Store:
    """Registers replicated among this member and its peers; without peers, a dictionary with ballots."""

    def __init__(
        self,
        member: str,
        acceptor: Acceptor,
        peers: list[Peer],
        seed: int,
        round_timeout_ms: float = ROUND_TIMEOUT_MS,
        peer_names: tuple[str, ...] = (),
    ) -> None:
        self.peer_names = peer_names  # in the order of peers
        self.member, self.acceptor, self.peers = member, acceptor, peers
        self.round_timeout = timedelta(milliseconds=round_timeout_ms)
        self.majority = (len(peers) + 1) // 2 + 1
        self.message_ids = itertools.count(1)
        self.random_source = random.Random(seed)

    async def change(self, key: str, compute_value: ChangeFunction) -> str | None:
        """Applies a change to the register; returns the value that was accepted.

        Each of the two phases of a round waits round_timeout_ms at most, over at most MAX_ROUNDS rounds.
        Raises NoQuorumError.
        """
        highest: Ballot = NO_BALLOT
        for attempt in range(MAX_ROUNDS):
            if attempt:  # random backoff, so that competing proposers part
                await sleep(self.random_source.uniform(0.0, 0.01 * 2 ** min(attempt, 4)))
            local_register = self.acceptor.registers.get(key)
            # Above every ballot of an earlier incarnation too: this member's promise is on disk.
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
            if value is None:  # no value, and none to be written
                return None
            replies = await self._ask_all_members(lambda n, b=ballot, v=value: Accept(n, key, b, v))
            highest = max([highest, *(each.promised_ballot for each in replies)])
            if sum(each.is_granted for each in replies) >= self.majority:
                return value
            self._require_majority(replies)
        raise NoQuorumError(f"{key}: other members kept changing it")

    async def count_reachable_members(self) -> int:
        """Returns how many members answer now, this one included; a majority may end the count."""
        return len(await self._ask_all_members(Ping))

    async def read_through_change(self, key: str) -> str | None:
        """Reads the register by an identity change, which is linearizable. Raises NoQuorumError."""
        return await self.change(key, lambda value: value)

    async def read_register(self, key: str) -> str | None:
        """Returns the register's value, linearizably, without a write where possible.

        If a majority names one ballot as accepted and nobody a higher one, its value is chosen, and no later
        write had completed when the read began. Else it reads through a change. Raises NoQuorumError.
        """
        replies = await self._ask_all_members(lambda n: ReadRegister(n, key, self.member))
        self._require_majority(replies)
        newest = max(replies, key=lambda each: each.accepted_ballot)
        if sum(each.accepted_ballot == newest.accepted_ballot for each in replies) >= self.majority:
            return newest.value
        return await self.read_through_change(key)

    async def compare_and_set(self, key: str, expected: str | None, value: str) -> str | None:
        """Returns the value then in force; the caller won if it is its own, so values should be unique."""
        return await self.change(key, lambda held: value if held == expected else held)

    def _require_majority(self, replies: list[RegisterReply]) -> None:
        if len(replies) < self.majority:
            raise NoQuorumError(
                f"{len(replies)} of {len(self.peers) + 1} members answered, {self.majority} are needed"
            )

    async def _ask_all_members(
        self, make_message: Callable[[int], Prepare | Accept | ReadRegister | Ping]
    ) -> list[RegisterReply]:
        """Asks all members; returns the replies until a majority was clear or the round timed out."""
        pending_replies = [peer.send_request(make_message(next(self.message_ids))) for peer in self.peers]
        replies = [self.acceptor.handle_message(make_message(next(self.message_ids)))]
        majority_reached: Future[None] = Future()
        settled_count = 0

        def count_reply(done: Future[RegisterReply | None]) -> None:
            nonlocal settled_count
            if done.cancelled() or majority_reached.done():
                return
            # Counted here, as a future that is done may not have run its callback yet.
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
            with suppress(TornadoTimeoutError):
                await with_timeout(self.round_timeout, majority_reached)
        for each in pending_replies:
            each.cancel()
        return list(replies)

"""The proposer of CASPaxos: reads and changes registers with a majority of the members.

It raises NoQuorumError if too few members answer, or if competing proposers win every round.
"""

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

ROUND_TIMEOUT_MS = 500.0  # wait for a majority, in each phase of a round
MAX_ROUNDS = 12  # of one change, against competing proposers

#: Computes a register's next value from its current one; may be called again in a later round.
ChangeFunction = Callable[[str | None], str | None]


class NoQuorumError(Exception):
    """Too few members answered, or competing proposers won every round; the change may still be applied."""


class Store:
    """Registers that are replicated among this member and its peers.

    Without peers this member is the majority, and its acceptor the only copy.
    """

    def __init__(
        self,
        member: str,
        acceptor: Acceptor,
        peers: list[Peer],
        seed: int,
        round_timeout_ms: float = ROUND_TIMEOUT_MS,
        peer_names: tuple[str, ...] = (),
    ) -> None:
        self.peer_names = peer_names  # in the order of `peers`
        self.member, self.acceptor, self.peers = member, acceptor, peers
        self.round_timeout = timedelta(milliseconds=round_timeout_ms)
        self.majority = (len(peers) + 1) // 2 + 1
        self.message_ids = itertools.count(1)
        self.random_source = random.Random(seed)

    async def change(self, key: str, compute_value: ChangeFunction) -> str | None:
        """Applies a change to a register and returns the value that a majority accepted.

        No value is written if compute_value returns None. Takes at most MAX_ROUNDS rounds of two phases, each
        of round_timeout_ms at most. Raises NoQuorumError.
        """
        highest: Ballot = NO_BALLOT
        for attempt in range(MAX_ROUNDS):
            if attempt:  # random backoff, so that competing proposers stop colliding
                await sleep(self.random_source.uniform(0.0, 0.01 * 2 ** min(attempt, 4)))
            local_register = self.acceptor.registers.get(key)
            # Also above every ballot of an earlier incarnation, as this member's promise is on disk.
            counter = max(highest[0], local_register.promised_ballot[0] if local_register else 0) + 1
            ballot = (counter, self.member)
            replies = await self._ask_all_members(
                lambda message_id, ballot=ballot: Prepare(message_id, key, ballot)
            )
            highest = max([highest, *(each.promised_ballot for each in replies)])
            promises = [each for each in replies if each.is_granted]
            if len(promises) < self.majority:
                self._require_majority(replies)
                continue
            latest = max(promises, key=lambda each: each.accepted_ballot)
            value = compute_value(latest.value)
            if value is None:  # the register has no value and gets none
                return None
            replies = await self._ask_all_members(
                lambda message_id, ballot=ballot, value=value: Accept(message_id, key, ballot, value)
            )
            highest = max([highest, *(each.promised_ballot for each in replies)])
            if sum(each.is_granted for each in replies) >= self.majority:
                return value
            self._require_majority(replies)
        raise NoQuorumError(f"{key}: competing proposers won every round; the change may still be applied")

    async def count_reachable_members(self) -> int:
        """Returns how many members answer, this one included; may stop counting at a majority."""
        return len(await self._ask_all_members(Ping))

    async def read_through_change(self, key: str) -> str | None:
        """Reads the register linearizably, by a change that keeps its value. Raises NoQuorumError."""
        return await self.change(key, lambda value: value)

    async def read_register(self, key: str) -> str | None:
        """Returns the register's value, linearizably, and without a write where possible.

        If a majority reports the same accepted ballot and no reply a higher one, its value is chosen, and no
        later write had completed when the read began. Otherwise it reads through a change. Raises
        NoQuorumError.
        """
        replies = await self._ask_all_members(lambda message_id: ReadRegister(message_id, key, self.member))
        self._require_majority(replies)
        newest = max(replies, key=lambda each: each.accepted_ballot)
        if sum(each.accepted_ballot == newest.accepted_ballot for each in replies) >= self.majority:
            return newest.value
        return await self.read_through_change(key)

    async def compare_and_set(self, key: str, expected: str | None, value: str) -> str | None:
        """Sets the register to `value` if it holds `expected`; returns the value that it holds then.

        The change was applied if that is `value`, provided that no other caller writes the same value.
        Raises NoQuorumError.
        """
        return await self.change(key, lambda current: value if current == expected else current)

    def _require_majority(self, replies: list[RegisterReply]) -> None:
        if len(replies) < self.majority:
            raise NoQuorumError(
                f"{len(replies)} of {len(self.peers) + 1} members answered, {self.majority} are needed"
            )

    async def _ask_all_members(
        self, make_message: Callable[[int], Prepare | Accept | ReadRegister | Ping]
    ) -> list[RegisterReply]:
        """Asks all members, and returns the replies that arrived until a majority had granted the request.

        Returns earlier once every member has answered or failed, at the latest when the round times out.
        """
        pending_replies = [peer.send_request(make_message(next(self.message_ids))) for peer in self.peers]
        replies = [self.acceptor.handle_message(make_message(next(self.message_ids)))]
        majority_reached: Future[None] = Future()
        settled_count = 0

        def count_reply(done: Future[RegisterReply | None]) -> None:
            nonlocal settled_count
            if done.cancelled() or majority_reached.done():
                return
            # Counts callbacks, not done futures: a done future may not have run its callback yet.
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

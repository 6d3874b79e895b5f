"""Runs the document's leader at a member: reads, takes over, commits changes, answers schedulers.

A scheduler's message is answered within ANSWER_TIMEOUT_S, whoever leads; one that comes to another member is
forwarded to the leader, once. The loop ends with the program. A disk or a majority that fails is logged once
until it is back, and changes nothing that was granted. Bounds: MAX_PENDING_ORDERS orders wait.
"""

from __future__ import annotations

import logging
import random
import secrets
from contextlib import suppress
from datetime import timedelta

import msgspec
from tornado.concurrent import Future
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout

from spanwing.actor import spawn_task
from spanwing.store.document import Document, Transaction, decode_document, encode_document
from spanwing.store.leader import POLL_HOLD_MS, Controller, Leader
from spanwing.store.lease import clock_ms
from spanwing.store.messages import OrderResult, Renew, RenewalGranted, SubmitOrder
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.store import NoQuorumError, Store

DOCUMENT_KEY = "fleet"
LOOP_INTERVAL_S = 0.025
LEADER_READ_INTERVAL_MS = (
    300.0  # the leader's longest time between reads, which show the others that it lives
)
LIST_REFRESH_INTERVAL_MS = 1000.0
ANSWER_TIMEOUT_S = 3.0
MAX_PENDING_ORDERS = 16

log = logging.getLogger("spanwing")


class DocumentService:
    """One member's service for the fleet's document."""

    def __init__(self, store: Store, listener: PeerListener, controller: Controller, lease_ms: float) -> None:
        self.store, self.controller = store, controller
        self.peers: dict[str, Peer] = dict(zip(store.peer_names, store.peers, strict=True))
        self.leader = Leader(store.member, lease_ms, controller, clock_ms(), random.random)
        self.pending_orders: list[tuple[SubmitOrder, Future[OrderResult]]] = []
        self.last_read_at_ms, self.failure = float("-inf"), ""
        self.list_refreshed_at_ms = float("-inf")
        listener.handle_message = self.handle_message
        listener.on_read = lambda member: self.leader.record_read(clock_ms(), member)

    async def run(self) -> None:
        """Runs run_once() every LOOP_INTERVAL_S, to the end of the program."""
        while True:
            try:
                await self.run_once()
                if self.failure:
                    log.warning("the fleet's state can be changed again")
                self.failure = ""
            except (NoQuorumError, OSError, ValueError) as error:
                if not self.failure:
                    log.warning("the fleet's state cannot be changed: %s", error)
                self.failure = str(error)
            await sleep(LOOP_INTERVAL_S)

    async def run_once(self) -> None:
        """Does what is due. Raises NoQuorumError, OSError or ValueError."""
        leader, now = self.leader, clock_ms()
        if now - self.list_refreshed_at_ms > LIST_REFRESH_INTERVAL_MS:
            self.list_refreshed_at_ms = now
            self.controller.refresh_worker_list(now)
        if leader.is_leader_silent(now):
            await self._read_document()
            if leader.is_leader_silent(clock_ms()):
                await self.commit(leader.takeover_transaction(clock_ms(), secrets.token_hex(8)))
        elif leader.is_leader() and (
            leader.needs_confirming_read() or now - self.last_read_at_ms > LEADER_READ_INTERVAL_MS
        ):
            await self._read_document()
        if leader.is_leader():
            await self._handle_orders()
            transaction = self.controller.decide_next_change(clock_ms(), leader.document, leader)
            if transaction is not None:
                await self.commit(leader.on_condition_of_leadership(transaction))
        leader.answer_due_renewals(clock_ms())

    async def _read_document(self) -> None:
        read_started_at = clock_ms()
        self.last_read_at_ms = read_started_at
        document = decode_document(await self.store.read_register(DOCUMENT_KEY))
        self.leader.handle_read(clock_ms(), read_started_at, document)

    async def commit(self, transaction: Transaction) -> bool:
        """Returns whether the transaction was applied. Raises NoQuorumError (it may be), ValueError."""
        has_applied: list[bool] = []

        def apply(held: str | None) -> str | None:
            has_applied[:] = [False]
            document = decode_document(held)
            after = document.apply(transaction)
            has_applied[:] = [after is not None]
            return held if after is None or after is document else encode_document(after)

        document = decode_document(await self.store.change(DOCUMENT_KEY, apply))
        self.leader.handle_change(clock_ms(), document)
        return has_applied[0]

    async def _handle_orders(self) -> None:
        """Carries out the pending orders, one after another."""
        while self.pending_orders:
            message, result_future = self.pending_orders.pop(0)
            try:
                transaction, text = self.controller.handle_order(
                    clock_ms(), message.order, self.leader.document, self.leader
                )
                is_accepted = transaction is None or await self.commit(
                    self.leader.on_condition_of_leadership(transaction)
                )
                result = OrderResult(
                    message.n,
                    is_accepted,
                    text if is_accepted else "another change came first: look and order again",
                )
            except (ValueError, NoQuorumError, OSError) as error:
                result = OrderResult(message.n, False, str(error))
            if not result_future.done():
                result_future.set_result(result)

    async def handle_message(self, message: Renew | SubmitOrder) -> RenewalGranted | OrderResult:
        """Returns the answer to a scheduler: this member's if it leads, else the leader's."""
        leadership = self.leader.leadership()
        if (
            not self.leader.is_leader()
            and not message.passed
            and leadership is not None
            and leadership.member in self.peers
        ):
            return await self._forward_to_leader(self.peers[leadership.member], message)
        answer_future: Future = Future()
        if not self.leader.is_leader():
            # The leader may not be known here yet; the scheduler retries.
            spawn_task(self._learn_leader())
            return _rejection(message, "this member does not keep, and knows of none that does")
        if isinstance(message, Renew):
            self.leader.handle_renewal(
                clock_ms(), message, lambda granted: answer_future.done() or answer_future.set_result(granted)
            )
        elif len(self.pending_orders) < MAX_PENDING_ORDERS:
            self.pending_orders.append((message, answer_future))
        else:
            return OrderResult(message.n, False, f"{MAX_PENDING_ORDERS} orders wait already")
        try:
            return await with_timeout(timedelta(seconds=ANSWER_TIMEOUT_S), answer_future)
        except TornadoTimeoutError:
            return _rejection(message, "no majority of the store's members answers")

    async def _learn_leader(self) -> None:
        if clock_ms() - self.last_read_at_ms > POLL_HOLD_MS:
            with suppress(NoQuorumError, OSError, ValueError):  # retried at the next message
                await self._read_document()

    async def _forward_to_leader(
        self, leader_peer: Peer, message: Renew | SubmitOrder
    ) -> RenewalGranted | OrderResult:
        message_id = next(self.store.message_ids)
        pending_reply = leader_peer.send_request(msgspec.structs.replace(message, n=message_id, passed=True))
        try:
            reply = await with_timeout(timedelta(seconds=ANSWER_TIMEOUT_S), pending_reply)
        except TornadoTimeoutError:
            pending_reply.cancel()
            reply = None
        if not isinstance(reply, RenewalGranted | OrderResult):
            spawn_task(self._learn_leader())
            return _rejection(message, "the member that keeps does not answer")
        return msgspec.structs.replace(reply, n=message.n)


def _rejection(message: Renew | SubmitOrder, reason: str) -> RenewalGranted | OrderResult:
    return (
        RenewalGranted(message.n, reason=reason)
        if isinstance(message, Renew)
        else OrderResult(message.n, False, reason)
    )


def local_document(store: Store) -> Document:
    """Decodes this member's own copy of the document, which may be stale; no member is asked."""
    register = store.acceptor.registers.get(DOCUMENT_KEY)
    return decode_document(None if register is None else register.value)

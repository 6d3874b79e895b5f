"""The service for the fleet's document at one member of the store.

It drives a Leader: reads the document, takes over the leadership, commits changes and answers schedulers. A
scheduler's message is answered within ANSWER_TIMEOUT_S. A member that does not lead forwards it to the
leader; a forwarded message is not forwarded again. A failing disk or a missing majority is logged once until
it recovers, and does not affect leases that were granted before. Bounds: MAX_PENDING_ORDERS pending orders.
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
from spanwing.store.messages import OrderResult, Renew, RenewalReply, SubmitOrder
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.store import NoQuorumError, Store

DOCUMENT_KEY = "fleet"
LOOP_INTERVAL_S = 0.025
#: The leader reads at least this often, which shows the other members that it is alive.
LEADER_READ_INTERVAL_MS = 300.0
LIST_REFRESH_INTERVAL_MS = 1000.0
ANSWER_TIMEOUT_S = 3.0
MAX_PENDING_ORDERS = 16

log = logging.getLogger("spanwing")


class DocumentService:
    """Serves the fleet's document at one member; run() is its background task."""

    def __init__(self, store: Store, listener: PeerListener, controller: Controller, lease_ms: float) -> None:
        self.store, self.controller = store, controller
        self.peers: dict[str, Peer] = dict(zip(store.peer_names, store.peers, strict=True))
        self.leader = Leader(store.member, lease_ms, controller, clock_ms(), random.random)
        self.pending_orders: list[tuple[SubmitOrder, Future[OrderResult]]] = []
        self.last_read_at_ms, self.logged_failure = float("-inf"), ""
        self.list_refreshed_at_ms = float("-inf")
        listener.handle_message = self.handle_message
        listener.on_read = lambda member: self.leader.record_read(clock_ms(), member)

    async def run(self) -> None:
        """Calls run_once() every LOOP_INTERVAL_S, until the program ends."""
        while True:
            try:
                await self.run_once()
                if self.logged_failure:
                    log.warning("the fleet's state can be changed again")
                self.logged_failure = ""
            except (NoQuorumError, OSError, ValueError) as error:
                if not self.logged_failure:
                    log.warning("the fleet's state cannot be changed: %s", error)
                self.logged_failure = str(error)
            await sleep(LOOP_INTERVAL_S)

    async def run_once(self) -> None:
        """Reads the document, takes over, commits orders and changes, and answers renewals, as each is due.

        Raises NoQuorumError, OSError or ValueError.
        """
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
        read_started_at_ms = clock_ms()
        self.last_read_at_ms = read_started_at_ms
        document = decode_document(await self.store.read_register(DOCUMENT_KEY))
        self.leader.handle_read(clock_ms(), read_started_at_ms, document)

    async def commit(self, transaction: Transaction) -> bool:
        """Applies a transaction to the document; returns False if one of its conditions does not hold.

        Raises NoQuorumError, after which the transaction may still be applied, OSError, or ValueError if the
        document would exceed its bounds.
        """
        has_applied: list[bool] = []

        def apply_transaction(stored: str | None) -> str | None:
            has_applied[:] = [False]
            document = decode_document(stored)
            changed_document = document.apply(transaction)
            has_applied[:] = [changed_document is not None]
            return (
                stored
                if changed_document is None or changed_document is document
                else encode_document(changed_document)
            )

        document = decode_document(await self.store.change(DOCUMENT_KEY, apply_transaction))
        self.leader.handle_change(clock_ms(), document)
        return has_applied[0]

    async def _handle_orders(self) -> None:
        """Carries out the pending orders in the order of their arrival."""
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
                    message.message_id,
                    is_accepted,
                    text
                    if is_accepted
                    else "another change was applied first; check the state and order again",
                )
            except (ValueError, NoQuorumError, OSError) as error:
                result = OrderResult(message.message_id, False, str(error))
            if not result_future.done():
                result_future.set_result(result)

    async def handle_message(self, message: Renew | SubmitOrder) -> RenewalReply | OrderResult:
        """Returns the reply to a scheduler's message.

        This member replies itself if it leads; otherwise it forwards the message to the leader, or rejects it
        if it knows no leader or the message was forwarded already.
        """
        leadership = self.leader.leadership()
        if (
            not self.leader.is_leader()
            and not message.is_forwarded
            and leadership is not None
            and leadership.member in self.peers
        ):
            return await self._forward_to_leader(self.peers[leadership.member], message)
        answer_future: Future = Future()
        if not self.leader.is_leader():
            # This member may not have read the present leadership yet; the scheduler retries.
            spawn_task(self._learn_leader())
            return _rejection(message, "this member does not keep, and knows of none that does")
        if isinstance(message, Renew):
            self.leader.handle_renewal(
                clock_ms(), message, lambda granted: answer_future.done() or answer_future.set_result(granted)
            )
        elif len(self.pending_orders) < MAX_PENDING_ORDERS:
            self.pending_orders.append((message, answer_future))
        else:
            return OrderResult(message.message_id, False, f"{MAX_PENDING_ORDERS} orders are pending already")
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
    ) -> RenewalReply | OrderResult:
        message_id = next(self.store.message_ids)
        pending_reply = leader_peer.send_request(
            msgspec.structs.replace(message, message_id=message_id, is_forwarded=True)
        )
        try:
            reply = await with_timeout(timedelta(seconds=ANSWER_TIMEOUT_S), pending_reply)
        except TornadoTimeoutError:
            pending_reply.cancel()
            reply = None
        if not isinstance(reply, RenewalReply | OrderResult):
            spawn_task(self._learn_leader())
            return _rejection(message, "the member that keeps does not answer")
        return msgspec.structs.replace(reply, message_id=message.message_id)


def _rejection(message: Renew | SubmitOrder, reason: str) -> RenewalReply | OrderResult:
    return (
        RenewalReply(message.message_id, reason=reason)
        if isinstance(message, Renew)
        else OrderResult(message.message_id, False, reason)
    )


def local_document(store: Store) -> Document:
    """Returns the document in this member's acceptor, which may be stale; asks no other member."""
    register = store.acceptor.registers.get(DOCUMENT_KEY)
    return decode_document(None if register is None else register.value)

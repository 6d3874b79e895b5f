"""Follows the fleet's document: the scheduler's session, lease and copy, which misses no change.

Nothing waits for it. on_change is called after each change, before that is acknowledged to the leader. A
member that does not answer or grants nothing is left for another, after a random wait of at most
MIN_BACKOFF_S, which doubles up to MAX_BACKOFF_S (full jitter), so that members that come back are not met by
all schedulers at once. Bounds: one connection, one renewal per MIN_RENEWAL_INTERVAL_S, MAX_PENDING_ORDERS
orders in flight.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from datetime import timedelta

import msgspec
from tornado.concurrent import Future
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout
from tornado.iostream import StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn_task
from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.stream import LineStream, LineTooLongError
from spanwing.net.tcp_stream import TcpStream
from spanwing.store.document import Document, catch_up
from spanwing.store.leader import POLL_HOLD_MS
from spanwing.store.lease import Lease, clock_ms
from spanwing.store.messages import OrderResult, Renew, RenewalGranted, SubmitOrder
from spanwing.store.peer import CONNECT_TIMEOUT_S, MAX_FRAME_BYTES

ANSWER_TIMEOUT_S = POLL_HOLD_MS / 1000.0 + 0.8  # for a renewal; then another member is used
MIN_RENEWAL_INTERVAL_S = 0.1
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0
ORDER_TIMEOUT_S = 4.0
MAX_PENDING_ORDERS = 8

LeaderReply = RenewalGranted | OrderResult


class DocumentFollower:
    """Follows the document in one session, by one member at a time."""

    def __init__(
        self,
        name: str,
        zone: str,
        position: int,
        members: dict[str, Address],
        buffers: BufferPool,
        collect_evidence: Callable[[], bytes],
        on_change: Callable[[Document], None],
        on_probe_request: Callable[[tuple[str, ...]], None],
    ) -> None:
        """Creates a session; run() connects it.

        collect_evidence: returns the JSON that goes with a renewal; on_change: called with each new
        document; on_probe_request: called with the zones that the leader wants probed.
        """
        self.session = f"{name[:60]}.{secrets.token_hex(4)}"
        self.zone, self.position, self.members, self.buffers = zone, position, members, buffers
        self.collect_evidence, self.on_change, self.on_probe_request = (
            collect_evidence,
            on_change,
            on_probe_request,
        )
        self.lease, self.document = Lease(), Document()
        self.permit = Lease()
        self.policy_vote: Callable[[], msgspec.Raw] | None = None  # vote on the policy; JSON
        self.last_message_id, self.stream = 0, None
        self.pending_orders: dict[int, Future[OrderResult]] = {}
        self.pending_grant: Future[RenewalGranted | None] | None = (
            None  # a None result: renew_now() was called
        )
        self.renewal_id, self.renewed_at_s = 0, float("-inf")
        self.last_failure = "no member has been asked yet"
        self.connected_member = ""  # the member in use
        self.failed_attempts = 0  # members that were tried and granted nothing, in all

    def has_lease(self) -> bool:
        """Returns whether the lease is valid now."""
        return self.lease.is_valid(clock_ms())

    def renew_now(self) -> None:
        """Has a renewal sent beside the waiting one, as there is new evidence to report."""
        if self.pending_grant is not None and not self.pending_grant.done():
            self.pending_grant.set_result(None)

    async def submit_order(self, order: object) -> OrderResult:
        """Submits an order; returns its result, or a rejection if no member answers.

        Waits ORDER_TIMEOUT_S at most; without an answer the order may still be carried out.
        """
        if self.stream is None or len(self.pending_orders) >= MAX_PENDING_ORDERS:
            return OrderResult(0, False, f"no member of the store is reached: {self.last_failure}")
        self.last_message_id += 1
        message_id, result_future = self.last_message_id, Future()
        self.pending_orders[message_id] = result_future
        await self._write_message(
            SubmitOrder(message_id, self.session, msgspec.Raw(msgspec.json.encode(order)))
        )
        try:
            return await with_timeout(timedelta(seconds=ORDER_TIMEOUT_S), result_future)
        except TornadoTimeoutError:
            return OrderResult(
                message_id, False, "no answer: it may still take hold, so look before you order again"
            )
        finally:
            self.pending_orders.pop(message_id, None)

    async def run(self) -> None:
        """Follows one member after another, to the end of the program."""
        names, backoff_s = list(self.members), MIN_BACKOFF_S
        random.shuffle(names)
        attempt = 0
        while True:
            name = names[attempt % len(names)]
            attempt += 1
            if await self._follow_member(name, self.members[name]):
                backoff_s = MIN_BACKOFF_S
            else:
                self.failed_attempts += 1
            await sleep(random.uniform(0.0, backoff_s))
            backoff_s = min(2.0 * backoff_s, MAX_BACKOFF_S)

    async def _follow_member(self, name: str, address: Address) -> bool:
        """Renews by one member until that fails; returns whether it ever granted."""
        stream = TcpStream(open_socket(address), max_write_buffer_size=MAX_FRAME_BYTES)
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_TIMEOUT_S),
                stream.connect(address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except (TornadoTimeoutError, StreamClosedError):
            stream.close()
            self.last_failure = f"{name} cannot be connected to"
            return False
        self.stream, self.connected_member = LineStream(stream, self.buffers, MAX_FRAME_BYTES), name
        spawn_task(self._read_replies(self.stream))
        granted = False
        try:
            while await self._renew(name):
                granted = True
                await self._wait_for_next_renewal()
        finally:
            self.stream.close()
            self.stream = None
        return granted

    async def _wait_for_next_renewal(self) -> None:
        """Waits until MIN_RENEWAL_INTERVAL_S after the last renewal."""
        await sleep(max(0.0, self.renewed_at_s + MIN_RENEWAL_INTERVAL_S - clock_ms() / 1000.0))

    async def _renew(self, member: str) -> bool:
        """Renews, and again when renew_now() is called; returns whether a lease was granted."""
        while True:
            grant_future = self.pending_grant = Future()
            self.last_message_id += 1
            self.renewal_id = message_id = self.last_message_id
            now = clock_ms()
            self.renewed_at_s = now / 1000.0
            self.lease.record_renewal(message_id, now)
            self.permit.record_renewal(message_id, now)
            policy_vote = msgspec.Raw(b"null") if self.policy_vote is None else self.policy_vote()
            if not await self._write_message(
                Renew(
                    message_id,
                    self.session,
                    self.zone,
                    self.position,
                    self.document.revision,
                    msgspec.Raw(self.collect_evidence()),
                    False,
                    policy_vote,
                )
            ):
                self.last_failure = f"{member} has closed the connection"
                return False
            try:
                reply = await with_timeout(timedelta(seconds=ANSWER_TIMEOUT_S), grant_future)
            except TornadoTimeoutError:
                self.last_failure = f"{member} does not answer"
                return False
            if reply is None:  # renew_now(): another renewal, upon which the leader answers this one
                await self._wait_for_next_renewal()
                continue
            self.last_failure = f"{member}: {reply.reason}" if reply.reason else ""
            return reply.lease_ms > 0

    async def _write_message(self, message: Renew | SubmitOrder) -> bool:
        try:
            await self.stream.write(msgspec.json.encode(message) + b"\n")
            return True
        except (StreamClosedError, StreamBufferFullError):
            return False

    async def _read_replies(self, stream: LineStream) -> None:
        try:
            while (line := await stream.read_line()) is not None:
                self._handle_reply(msgspec.json.decode(line, type=LeaderReply))
        except (LineTooLongError, ValueError):
            pass  # a peer with another protocol is no member
        stream.close()
        for message_id, result_future in self.pending_orders.items():
            if not result_future.done():
                result_future.set_result(
                    OrderResult(
                        message_id,
                        False,
                        "the connection was lost: the order may still take hold, so "
                        "look before you order again",
                    )
                )
        if self.stream is stream and self.pending_grant is not None and not self.pending_grant.done():
            self.pending_grant.set_result(RenewalGranted(0, reason="the connection was closed"))

    def _handle_reply(self, reply: LeaderReply) -> None:
        if isinstance(reply, OrderResult):
            pending_result = self.pending_orders.get(reply.n)
            if pending_result is not None and not pending_result.done():
                pending_result.set_result(reply)
            return
        previous = self.document
        self.document = catch_up(previous, reply.changes, reply.document)
        if self.document is not previous:
            self.on_change(self.document)
        self.lease.extend(reply.n, reply.lease_ms)
        self.permit.extend(reply.n, reply.permit_ms)
        if reply.zones_to_probe:
            self.on_probe_request(reply.zones_to_probe)
        if reply.n == self.renewal_id and self.pending_grant is not None and not self.pending_grant.done():
            self.pending_grant.set_result(reply)

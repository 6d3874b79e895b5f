"""Follows the fleet's document at a scheduler: one session with its lease and its copy of the document.

The copy misses no change; on_change is called with each new copy before it is acknowledged to the leader. If
a member does not answer or rejects a renewal, the follower tries the next one after a random delay of at most
MIN_BACKOFF_S, which doubles with each failure up to MAX_BACKOFF_S (full jitter), so that not all schedulers
connect at once when a member comes back. Bounds: one connection, one renewal per MIN_RENEWAL_INTERVAL_S,
MAX_PENDING_ORDERS orders in flight.
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
from spanwing.json_input import decode_json
from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.stream import LineStream, LineTooLongError
from spanwing.net.tcp_stream import TcpStream
from spanwing.store.document import Document, catch_up
from spanwing.store.leader import POLL_HOLD_MS
from spanwing.store.lease import Lease, clock_ms
from spanwing.store.messages import OrderResult, Renew, RenewalReply, SubmitOrder
from spanwing.store.peer import CONNECT_TIMEOUT_S, MAX_FRAME_BYTES

ANSWER_TIMEOUT_S = POLL_HOLD_MS / 1000.0 + 0.8  # of a renewal, a long poll; then the next member is tried
MIN_RENEWAL_INTERVAL_S = 0.1
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0
ORDER_TIMEOUT_S = 4.0
MAX_PENDING_ORDERS = 8

LeaderReply = RenewalReply | OrderResult


class DocumentFollower:
    """Follows the document in one session, connected to one member at a time."""

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

        collect_evidence returns the evidence of a renewal as JSON. on_change is called with each new copy of
        the document, on_probe_request with the zones that the leader asks this scheduler to probe.
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
        # Returns the vote on a change of the policy as JSON.
        self.policy_vote: Callable[[], msgspec.Raw] | None = None
        # Returns up to which revision the copy may be acknowledged now; it never decreases.
        self.acknowledgeable: Callable[[int], int] = lambda revision: revision
        self.last_message_id, self.stream = 0, None
        self.pending_orders: dict[int, Future[OrderResult]] = {}
        # The reply to the pending renewal; a result of None means that renew_now() was called.
        self.pending_grant: Future[RenewalReply | None] | None = None
        self.renewal_id, self.renewed_at_s = 0, float("-inf")
        self.last_failure = "no member has been tried yet"
        self.connected_member = ""  # name of the member in use
        self.failed_attempts = 0  # connection attempts, failed or not, that led to no granted renewal

    def has_lease(self) -> bool:
        """Returns whether this session's lease is valid now."""
        return self.lease.is_valid(clock_ms())

    def renew_now(self) -> None:
        """Sends another renewal without waiting for the pending one, to report new evidence at once."""
        if self.pending_grant is not None and not self.pending_grant.done():
            self.pending_grant.set_result(None)

    async def submit_order(self, order: object) -> OrderResult:
        """Submits an operator's order; returns its result, or a rejection if no member answers.

        Waits for at most ORDER_TIMEOUT_S. Without an answer the order may still be carried out.
        """
        if self.stream is None or len(self.pending_orders) >= MAX_PENDING_ORDERS:
            return OrderResult(
                0, False, f"the order cannot be sent to a member of the store: {self.last_failure}"
            )
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
                message_id,
                False,
                "no answer: the order may still take hold; check the state before ordering again",
            )
        finally:
            self.pending_orders.pop(message_id, None)

    async def run(self) -> None:
        """Follows one member after another, in random order, until the program ends."""
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
        """Connects to a member and renews until that fails; returns whether any renewal was granted."""
        stream = TcpStream(open_socket(address), max_write_buffer_size=MAX_FRAME_BYTES)
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_TIMEOUT_S),
                stream.connect(address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except (TornadoTimeoutError, StreamClosedError):
            stream.close()
            self.last_failure = f"{name}: cannot connect"
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
        """Waits until MIN_RENEWAL_INTERVAL_S after the last renewal was sent."""
        await sleep(max(0.0, self.renewed_at_s + MIN_RENEWAL_INTERVAL_S - clock_ms() / 1000.0))

    async def _renew(self, member: str) -> bool:
        """Sends a renewal, and another on each renew_now(); returns whether a lease was granted."""
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
                    self.acknowledgeable(self.document.revision),
                    msgspec.Raw(self.collect_evidence()),
                    False,
                    policy_vote,
                )
            ):
                self.last_failure = f"{member} closed the connection"
                return False
            try:
                reply = await with_timeout(timedelta(seconds=ANSWER_TIMEOUT_S), grant_future)
            except TornadoTimeoutError:
                self.last_failure = f"{member} did not answer in time"
                return False
            if reply is None:
                # renew_now() was called: the leader answers this renewal when it receives the next one.
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
                self._handle_reply(decode_json(line, LeaderReply))
        except (LineTooLongError, ValueError):
            pass  # not the store's protocol: close the connection
        stream.close()
        for message_id, result_future in self.pending_orders.items():
            if not result_future.done():
                result_future.set_result(
                    OrderResult(
                        message_id,
                        False,
                        "the connection was lost: the order may still take hold; "
                        "check the state before ordering again",
                    )
                )
        if self.stream is stream and self.pending_grant is not None and not self.pending_grant.done():
            self.pending_grant.set_result(RenewalReply(0, reason="the connection was closed"))

    def _handle_reply(self, reply: LeaderReply) -> None:
        if isinstance(reply, OrderResult):
            pending_result = self.pending_orders.get(reply.message_id)
            if pending_result is not None and not pending_result.done():
                pending_result.set_result(reply)
            return
        previous = self.document
        self.document = catch_up(previous, reply.changes, reply.document)
        if self.document is not previous:
            self.on_change(self.document)
        self.lease.extend(reply.message_id, reply.lease_ms)
        self.permit.extend(reply.message_id, reply.permit_ms)
        if reply.zones_to_probe:
            self.on_probe_request(reply.zones_to_probe)
        if (
            reply.message_id == self.renewal_id
            and self.pending_grant is not None
            and not self.pending_grant.done()
        ):
            self.pending_grant.set_result(reply)

"""The store's registers and claims: three members and up to two proposers, over real connections."""

from __future__ import annotations

import unittest

from tornado.concurrent import Future
from tornado.gen import multi
from tornado.testing import AsyncTestCase, gen_test

from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claims
from spanwing.store.messages import Accept, Prepare
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.store import NoQuorumError, Store

ANY_PORT = Address("127.0.0.1", 0)


class StoreTests(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.buffers = BufferPool()
        self.acceptors = {name: Acceptor(None) for name in "abc"}

    def start_listeners(self) -> None:
        self.listeners = {
            name: PeerListener(ANY_PORT, acceptor, self.buffers) for name, acceptor in self.acceptors.items()
        }

    def create_store(self, name: str, unreachable: tuple[str, ...] = ()) -> Store:
        """Returns the store of one member, which cannot reach the members in `unreachable`."""
        peers = [
            Peer(Address("127.0.0.1", 9) if other in unreachable else listener.address, self.buffers)
            for other, listener in self.listeners.items()
            if other != name
        ]
        return Store(name, self.acceptors[name], peers, seed=1, round_timeout_ms=20000.0)

    @gen_test(timeout=60)
    async def test_only_one_of_two_members_claims_a_request(self) -> None:
        self.start_listeners()
        claims = [Claims(self.create_store(name)) for name in "ab"]
        for number in range(10):
            results = await multi([each.claim(f"job-{number}") for each in claims])
            self.assertEqual([claimed for claimed, _ in results].count(True), 1)
            self.assertEqual(len({claim.token for _, claim in results}), 1)

    @gen_test(timeout=60)
    async def test_a_rejected_request_can_be_claimed_again_and_a_served_one_cannot(self) -> None:
        self.start_listeners()
        first, second = Claims(self.create_store("a")), Claims(self.create_store("b", unreachable=("c",)))
        _, claim = await first.claim("job")
        await first.settle("job", claim, "refused")
        claimed, claim = await second.claim("job")
        self.assertTrue(claimed)
        await second.settle("job", claim, "served")
        claimed, claim = await first.claim("job")
        self.assertEqual((claimed, claim.state), (False, "served"))

    @gen_test(timeout=60)
    async def test_an_outcome_is_known_while_it_is_written_to_the_store(self) -> None:
        self.start_listeners()
        claims = Claims(self.create_store("a"))
        _, claim = await claims.claim("job")
        repeated, settled = await multi([claims.claim("job"), claims.settle("job", claim, "served")])
        self.assertEqual(
            (repeated[0], repeated[1].state, settled, claims.settling_claims), (False, "served", None, {})
        )

    @gen_test(timeout=60)
    async def test_an_outcome_is_known_before_settle_is_awaited(self) -> None:
        claims = Claims(Store("a", self.acceptors["a"], [], 1))
        _, claim = await claims.claim("j")
        settling = claims.settle("j", claim, "served")  # not awaited yet when the client retries
        self.assertEqual([len(claims.settling_claims), (await claims.claim("j"))[1].state], [1, "served"])
        await settling
        self.assertEqual([len(claims.settling_claims), (await claims.claim("j"))[1].state], [0, "served"])

    @gen_test(timeout=60)
    async def test_an_unconfirmed_claim_can_be_repeated_by_the_same_process(self) -> None:
        self.start_listeners()
        claims = Claims(self.create_store("a", unreachable=("b", "c")))
        for _ in range(2):
            with self.assertRaises(NoQuorumError):
                await claims.claim("job")
        claims.store = self.create_store("a")
        self.assertTrue((await claims.claim("job"))[0])
        self.assertFalse((await claims.claim("job"))[0])

    @gen_test(timeout=60)
    async def test_compare_and_set_and_read(self) -> None:
        self.start_listeners()
        store = self.create_store("a")
        self.assertIsNone(await store.read_through_change("key"))
        self.assertEqual(await store.compare_and_set("key", None, "one"), "one")
        self.assertEqual(await store.compare_and_set("key", None, "two"), "one")
        self.assertEqual(await self.create_store("c").read_through_change("key"), "one")

    @gen_test(timeout=60)
    async def test_a_reply_counts_if_another_peer_fails_in_the_same_loop_iteration(self) -> None:
        class ScriptedPeer:
            def __init__(self, answer) -> None:
                self.answer = answer

            def send_request(self, message):
                reply = Future()
                self.loop.call_soon(lambda: reply.set_result(self.answer(message)))
                return reply

        ScriptedPeer.loop = self.io_loop.asyncio_loop
        store = Store(
            "a",
            self.acceptors["a"],
            [ScriptedPeer(lambda _: None), ScriptedPeer(self.acceptors["b"].handle_message)],
            1,
            20000.0,
        )
        self.assertEqual(await store.compare_and_set("key", None, "one"), "one")

    def test_an_acceptor_rejects_ballots_below_its_promise(self) -> None:
        acceptor = self.acceptors["a"]
        self.assertTrue(acceptor.handle_message(Prepare(1, "key", (2, "b"))).is_granted)
        self.assertFalse(acceptor.handle_message(Prepare(2, "key", (1, "c"))).is_granted)
        self.assertFalse(acceptor.handle_message(Accept(3, "key", (1, "c"), "old")).is_granted)
        self.assertTrue(acceptor.handle_message(Accept(4, "key", (2, "b"), "new")).is_granted)


if __name__ == "__main__":
    unittest.main()

"""The store over real connections, in one process: three members, two proposers at once."""

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

ANY = Address("127.0.0.1", 0)


class Members(AsyncTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.buffers = BufferPool()
        self.acceptors = {name: Acceptor(None) for name in "abc"}

    def listen(self) -> None:
        self.listeners = {
            name: PeerListener(ANY, acceptor, self.buffers) for name, acceptor in self.acceptors.items()
        }

    def store(self, name: str, gone: tuple[str, ...] = ()) -> Store:
        peers = [
            Peer(Address("127.0.0.1", 9) if other in gone else listener.address, self.buffers)
            for other, listener in self.listeners.items()
            if other != name
        ]
        return Store(name, self.acceptors[name], peers, seed=1, round_timeout_ms=20000.0)

    @gen_test(timeout=60)
    async def test_one_of_two_members_takes_a_job(self) -> None:
        self.listen()
        claims = [Claims(self.store(name)) for name in "ab"]
        for number in range(10):
            taken = await multi([each.claim(f"job-{number}") for each in claims])
            self.assertEqual([ours for ours, _ in taken].count(True), 1)
            self.assertEqual(len({claim.token for _, claim in taken}), 1)

    @gen_test(timeout=60)
    async def test_a_refused_job_is_free_again_and_a_served_one_is_not(self) -> None:
        self.listen()
        here, there = Claims(self.store("a")), Claims(self.store("b", gone=("c",)))
        _, claim = await here.claim("job")
        await here.settle("job", claim, "refused")
        ours, claim = await there.claim("job")
        self.assertTrue(ours)
        await there.settle("job", claim, "served")
        ours, claim = await here.claim("job")
        self.assertEqual((ours, claim.state), (False, "served"))

    @gen_test(timeout=60)
    async def test_an_outcome_is_known_here_before_the_store_has_it(self) -> None:
        self.listen()
        claims = Claims(self.store("a"))
        _, claim = await claims.claim("job")
        again, settled = await multi([claims.claim("job"), claims.settle("job", claim, "served")])
        self.assertEqual(
            (again[0], again[1].state, settled, claims.settling_claims), (False, "served", None, {})
        )

    @gen_test(timeout=60)
    async def test_an_outcome_is_known_from_the_call_on(self) -> None:
        claims = Claims(Store("a", self.acceptors["a"], [], 1))
        _, claim = await claims.claim("j")
        settling = claims.settle("j", claim, "served")  # it has not run yet, and the client asks again
        self.assertEqual([claims.settling_count, (await claims.claim("j"))[1].state], [1, "served"])
        await settling
        self.assertEqual([claims.settling_count, (await claims.claim("j"))[1].state], [0, "served"])

    @gen_test(timeout=60)
    async def test_a_claim_of_which_no_majority_was_heard_is_ours_to_take_again(self) -> None:
        self.listen()
        claims = Claims(self.store("a", gone=("b", "c")))
        for _ in range(2):
            with self.assertRaises(NoQuorumError):
                await claims.claim("job")
        claims.store = self.store("a")
        self.assertTrue((await claims.claim("job"))[0])
        self.assertFalse((await claims.claim("job"))[0])

    @gen_test(timeout=60)
    async def test_compare_and_set_and_read(self) -> None:
        self.listen()
        store = self.store("a")
        self.assertIsNone(await store.read_through_change("key"))
        self.assertEqual(await store.compare_and_set("key", None, "one"), "one")
        self.assertEqual(await store.compare_and_set("key", None, "two"), "one")
        self.assertEqual(await self.store("c").read_through_change("key"), "one")

    @gen_test(timeout=60)
    async def test_a_reply_counts_though_another_peer_fails_in_the_same_turn(self) -> None:
        class Scripted:
            def __init__(self, answer) -> None:
                self.answer = answer

            def send_request(self, message):
                reply = Future()
                self.loop.call_soon(lambda: reply.set_result(self.answer(message)))
                return reply

        Scripted.loop = self.io_loop.asyncio_loop
        store = Store(
            "a",
            self.acceptors["a"],
            [Scripted(lambda _: None), Scripted(self.acceptors["b"].handle_message)],
            1,
            20000.0,
        )
        self.assertEqual(await store.compare_and_set("key", None, "one"), "one")

    def test_an_acceptor_keeps_its_promise(self) -> None:
        acceptor = self.acceptors["a"]
        self.assertTrue(acceptor.handle_message(Prepare(1, "key", (2, "b"))).is_granted)
        self.assertFalse(acceptor.handle_message(Prepare(2, "key", (1, "c"))).is_granted)
        self.assertFalse(acceptor.handle_message(Accept(3, "key", (1, "c"), "old")).is_granted)
        self.assertTrue(acceptor.handle_message(Accept(4, "key", (2, "b"), "new")).is_granted)


if __name__ == "__main__":
    unittest.main()

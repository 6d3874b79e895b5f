"""The settings that all members share: those of the highest revision that any of them brought."""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.store.store import NoMajority, Store

AGAIN_S = 0.5

log = logging.getLogger("spanwing")


class Shared(msgspec.Struct):
    revision: int
    settings: str


async def shared_settings(store: Store, revision: int, settings: str) -> str:
    """Offer ours, take what stands. Without a majority it waits: a guess could differ from the others'."""

    def change(held: str | None) -> str:
        if held is not None and msgspec.json.decode(held, type=Shared).revision >= revision:
            return held
        return msgspec.json.encode(Shared(revision, settings)).decode()

    while True:
        try:
            held = await store.change("settings", change)
            return msgspec.json.decode(held, type=Shared).settings
        except NoMajority as error:
            log.warning("settings: %s; asking again", error)
            await sleep(AGAIN_S)

"""The settings shared by all members: those of the highest revision that any member has offered."""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.store.store import NoQuorumError, Store

RETRY_INTERVAL_S = 0.5

log = logging.getLogger("spanwing")


class SharedSettings(msgspec.Struct):
    """The settings' register: a revision and the settings' text."""

    revision: int
    settings: str


async def agree_on_settings(store: Store, revision: int, settings: str) -> str:
    """Offers this member's settings; returns those in force.

    Without a majority it retries every RETRY_INTERVAL_S: a guess could differ from other members' settings.
    """

    def keep_highest_revision(held: str | None) -> str:
        if held is not None and msgspec.json.decode(held, type=SharedSettings).revision >= revision:
            return held
        return msgspec.json.encode(SharedSettings(revision, settings)).decode()

    while True:
        try:
            held = await store.change("settings", keep_highest_revision)
            return msgspec.json.decode(held, type=SharedSettings).settings
        except NoQuorumError as error:
            log.warning("settings: %s; asking again", error)
            await sleep(RETRY_INTERVAL_S)

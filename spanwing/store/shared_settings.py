"""The settings that all members share: those with the highest revision that any member has proposed."""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.store.store import NoQuorumError, Store

RETRY_INTERVAL_S = 0.5

log = logging.getLogger("spanwing")


class SharedSettings(msgspec.Struct):
    """The value of the settings' register: a revision, and the settings as text."""

    revision: int
    settings: str


async def agree_on_settings(store: Store, revision: int, settings: str) -> str:
    """Proposes this member's settings and returns the settings in force, as text.

    Without a majority it retries every RETRY_INTERVAL_S, without limit: settings used without agreement could
    differ from those of other members.
    """

    def keep_highest_revision(stored: str | None) -> str:
        if stored is not None and msgspec.json.decode(stored, type=SharedSettings).revision >= revision:
            return stored
        return msgspec.json.encode(SharedSettings(revision, settings)).decode()

    while True:
        try:
            stored = await store.change("settings", keep_highest_revision)
            return msgspec.json.decode(stored, type=SharedSettings).settings
        except NoQuorumError as error:
            log.warning("settings are not agreed on yet: %s; retrying", error)
            await sleep(RETRY_INTERVAL_S)

"""Claims on jobs that must never run twice: taken in the store before anything is sent."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Coroutine
from typing import Any, Literal

import msgspec

from spanwing.store.store import NoMajority, Store

ClaimState = Literal["claimed", "served", "failed", "refused"]

log = logging.getLogger("spanwing")


class Claim(msgspec.Struct):
    """What the store holds of a job; the token makes each taking its own."""

    token: str
    state: ClaimState


class Claims:
    """Takes and settles claims; without a majority it refuses and never guesses."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.settling_count = 0  # outcomes on their way into the store
        self.settling_claims: dict[str, Claim] = {}  # and what they are, by job: as many as `settling`
        self.unconfirmed_tokens: dict[str, set[str]] = {}  # our tokens of which no majority was heard, by job

    async def claim(self, request_id: str) -> tuple[bool, Claim]:
        """Whether the job is ours to run now, and the claim that stands. May raise NoMajority."""
        token = secrets.token_hex(8)
        encoded_claim = msgspec.json.encode(Claim(token, "claimed")).decode()
        earlier_tokens = frozenset(self.unconfirmed_tokens.get(request_id, ()))

        def replace_if_free(held: str | None) -> str:
            if held is not None:
                claim = msgspec.json.decode(held, type=Claim)
                # A refused job never ran; neither did one whose claim we doubted, for we sent nothing then.
                if claim.state != "refused" and claim.token not in {token, *earlier_tokens}:
                    return held
            return encoded_claim

        try:
            held = await self.store.change(f"claim/{request_id}", replace_if_free)
        except NoMajority:
            self.unconfirmed_tokens.setdefault(request_id, set()).add(token)
            raise
        self.unconfirmed_tokens.pop(request_id, None)
        claim = msgspec.json.decode(held, type=Claim)
        # A client that has its answer may ask again before the store has the outcome: we know it already.
        settled = self.settling_claims.get(request_id)
        if settled is not None and settled.token == claim.token:
            claim = settled
        return claim.token == token, claim

    def settle(self, request_id: str, claim: Claim, state: ClaimState) -> Coroutine[Any, Any, None]:
        """Write down how a job of ours ended; known from the call on, whenever what it returns is run."""
        self.settling_count += 1
        self.settling_claims[request_id] = Claim(claim.token, state)
        return self._write_outcome(request_id, claim, state)

    async def _write_outcome(self, request_id: str, claim: Claim, state: ClaimState) -> None:
        def replace_if_ours(held: str | None) -> str | None:
            if held is None or msgspec.json.decode(held, type=Claim).token != claim.token:
                return held
            return msgspec.json.encode(Claim(claim.token, state)).decode()

        try:
            await self.store.change(f"claim/{request_id}", replace_if_ours)
        except NoMajority as error:  # it stays claimed, which is safe: it cannot run again
            log.warning("outcome %s of job %s is not in the store: %s", state, request_id, error)
        finally:
            self.settling_count -= 1
            self.settling_claims.pop(request_id, None)

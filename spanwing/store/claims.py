"""Claims on non-idempotent requests: taken in the store before anything is sent."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Coroutine
from typing import Any, Literal

import msgspec

from spanwing.store.store import NoQuorumError, Store

ClaimState = Literal["claimed", "served", "failed", "refused"]

log = logging.getLogger("spanwing")


class Claim(msgspec.Struct):
    """What the store records of a request; the token tells one claim from another."""

    token: str
    state: ClaimState


class Claims:
    """Takes and settles claims; without a majority it raises NoQuorumError and never guesses."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.settling_count = 0  # outcomes not yet in the store
        self.settling_claims: dict[str, Claim] = {}  # these outcomes, by request
        self.unconfirmed_tokens: dict[str, set[str]] = {}  # tokens that no majority has confirmed, by request

    async def claim(self, request_id: str) -> tuple[bool, Claim]:
        """Returns whether the request is now this process's to run, and the claim in force.

        Raises NoQuorumError; nothing may be sent then.
        """
        token = secrets.token_hex(8)
        encoded_claim = msgspec.json.encode(Claim(token, "claimed")).decode()
        earlier_tokens = frozenset(self.unconfirmed_tokens.get(request_id, ()))

        def replace_if_free(held: str | None) -> str:
            if held is not None:
                claim = msgspec.json.decode(held, type=Claim)
                # A rejected request never ran, nor did one with an unconfirmed claim: nothing was sent.
                if claim.state != "refused" and claim.token not in {token, *earlier_tokens}:
                    return held
            return encoded_claim

        try:
            held = await self.store.change(f"claim/{request_id}", replace_if_free)
        except NoQuorumError:
            self.unconfirmed_tokens.setdefault(request_id, set()).add(token)
            raise
        self.unconfirmed_tokens.pop(request_id, None)
        claim = msgspec.json.decode(held, type=Claim)
        # A client may retry before the store has the outcome, which is known here already.
        settled = self.settling_claims.get(request_id)
        if settled is not None and settled.token == claim.token:
            claim = settled
        return claim.token == token, claim

    def settle(self, request_id: str, claim: Claim, state: ClaimState) -> Coroutine[Any, Any, None]:
        """Records how a claimed request ended: here at once, in the store when the result is awaited."""
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
        except NoQuorumError as error:  # it stays claimed, which is safe: it cannot run again
            log.warning("outcome %s of job %s is not in the store: %s", state, request_id, error)
        finally:
            self.settling_count -= 1
            self.settling_claims.pop(request_id, None)

"""Claims on non-idempotent requests.

A process claims a request in the store before it sends anything to a worker, so that no two processes run
the same request.
"""

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
    """The record of one request in the store; the token is unique to each claim."""

    token: str
    state: ClaimState


class Claims:
    """Claims requests and records their outcomes. Without a majority a claim fails."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.settling_count = 0  # outcomes that are not in the store yet
        self.settling_claims: dict[str, Claim] = {}  # the claims with these outcomes, by request
        # By request: the tokens of claims that no majority has confirmed.
        self.unconfirmed_tokens: dict[str, set[str]] = {}

    async def claim(self, request_id: str) -> tuple[bool, Claim]:
        """Claims a request; returns whether this call's claim is in force, and the claim in force.

        Only if it is may the caller run the request. Raises NoQuorumError if no majority confirms
        the claim; the caller must then send nothing.
        """
        token = secrets.token_hex(8)
        encoded_claim = msgspec.json.encode(Claim(token, "claimed")).decode()
        earlier_tokens = frozenset(self.unconfirmed_tokens.get(request_id, ()))

        def replace_if_free(stored: str | None) -> str:
            if stored is not None:
                claim = msgspec.json.decode(stored, type=Claim)
                # Nothing was sent for a rejected request, nor under an unconfirmed claim of this process.
                if claim.state != "refused" and claim.token not in {token, *earlier_tokens}:
                    return stored
            return encoded_claim

        try:
            stored = await self.store.change(f"claim/{request_id}", replace_if_free)
        except NoQuorumError:
            self.unconfirmed_tokens.setdefault(request_id, set()).add(token)
            raise
        self.unconfirmed_tokens.pop(request_id, None)
        claim = msgspec.json.decode(stored, type=Claim)
        # A client may retry before the store has the outcome, which this process already knows.
        settled = self.settling_claims.get(request_id)
        if settled is not None and settled.token == claim.token:
            claim = settled
        return claim.token == token, claim

    def settle(self, request_id: str, claim: Claim, state: ClaimState) -> Coroutine[Any, Any, None]:
        """Records the outcome of a claimed request.

        claim() returns it from now on; the store has it once the returned coroutine has been awaited. If no
        majority confirms it, the coroutine logs a warning and the request stays claimed.
        """
        self.settling_count += 1
        self.settling_claims[request_id] = Claim(claim.token, state)
        return self._write_outcome(request_id, claim, state)

    async def _write_outcome(self, request_id: str, claim: Claim, state: ClaimState) -> None:
        def replace_if_ours(stored: str | None) -> str | None:
            if stored is None or msgspec.json.decode(stored, type=Claim).token != claim.token:
                return stored
            return msgspec.json.encode(Claim(claim.token, state)).decode()

        try:
            await self.store.change(f"claim/{request_id}", replace_if_ours)
        except NoQuorumError as error:  # the request stays claimed, so it cannot run again
            log.warning("outcome %s of request %s was not written to the store: %s", state, request_id, error)
        finally:
            self.settling_count -= 1
            self.settling_claims.pop(request_id, None)

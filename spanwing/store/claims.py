"""Claims on non-idempotent requests.

A process claims a request in the store before it sends anything to a worker, so that no two processes run
the same request.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections import OrderedDict
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Literal, NamedTuple

import msgspec
from tornado.gen import sleep

from spanwing.actor import spawn_task
from spanwing.store.store import ChangeFunction, NoQuorumError, Store

MAX_SETTLING_CLAIMS = 10_000  # requests; the claim of one beyond it stays in force
MAX_UNCONFIRMED_CLAIMS = 16  # of one request
MIN_RETRY_BACKOFF_S, MAX_RETRY_BACKOFF_S = 0.1, 2.0  # between passes over the outcomes that are left

ClaimState = Literal["claimed", "served", "failed", "refused"]

log = logging.getLogger("spanwing")


class Claim(msgspec.Struct):
    """The record of one request in the store; the token is unique to each claim."""

    token: str
    state: ClaimState


class SettlingClaim(NamedTuple):
    """An outcome that no majority has confirmed yet, and the tokens of the claims that it replaces."""

    outcome: Claim
    tokens: tuple[str, ...]


class Claims:
    """Claims requests and records their outcomes.

    Without a majority a claim fails. Some members may have accepted it all the same, and a later change may
    complete it; so it is ended as one of a refused request, under which nothing was sent.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        #: By request: the outcomes that no majority has confirmed yet. claim() goes by them.
        self.settling_claims: OrderedDict[str, SettlingClaim] = OrderedDict()
        self.is_retrying = False

    async def claim(self, request_id: str) -> tuple[bool, Claim]:
        """Claims a request; returns whether this call's claim is in force, and the claim in force.

        Only if it is may the caller run the request. Raises NoQuorumError if no majority confirms
        the claim; the caller must then send nothing.
        """
        token = secrets.token_hex(8)
        encoded_claim = msgspec.json.encode(Claim(token, "claimed")).decode()
        free_tokens = {token, *self._refused_tokens(request_id)}

        def replace_if_free(stored: str | None) -> str:
            if stored is not None:
                claim = msgspec.json.decode(stored, type=Claim)
                if claim.state != "refused" and claim.token not in free_tokens:
                    return stored
            return encoded_claim

        try:
            stored = await self._change(request_id, replace_if_free)
        except NoQuorumError:
            self._end_unconfirmed(request_id, token)
            raise
        claim = msgspec.json.decode(stored, type=Claim)
        # A client may retry before the store has the outcome, which this process already knows.
        settling = self.settling_claims.get(request_id)
        if settling is not None and settling.outcome.token == claim.token:
            claim = settling.outcome
        return claim.token == token, claim

    def settle(self, request_id: str, claim: Claim, state: ClaimState) -> Coroutine[Any, Any, None]:
        """Records the outcome of a claimed request.

        claim() goes by it from now on. The store has it once the returned coroutine has been awaited, unless
        no majority confirms it: then it is written again until one does, or until the process ends.
        """
        settling = SettlingClaim(Claim(claim.token, state), (claim.token,))
        self._add_settling(request_id, settling)
        return self._settle(request_id, settling)

    def _refused_tokens(self, request_id: str) -> tuple[str, ...]:
        """Returns the tokens of this process's claims on a request under which nothing was sent."""
        settling = self.settling_claims.get(request_id)
        return settling.tokens if settling is not None and settling.outcome.state == "refused" else ()

    def _end_unconfirmed(self, request_id: str, token: str) -> None:
        """Ends a claim that no majority has confirmed.

        If the request has another outcome that is not confirmed either, its claim had a majority, and this
        one was never written.
        """
        if request_id not in self.settling_claims or self._refused_tokens(request_id):
            tokens = (*self._refused_tokens(request_id), token)[-MAX_UNCONFIRMED_CLAIMS:]
            self._add_settling(request_id, SettlingClaim(Claim(token, "refused"), tokens))
            self._start_retrying()

    def _add_settling(self, request_id: str, settling: SettlingClaim) -> None:
        self.settling_claims[request_id] = settling
        self.settling_claims.move_to_end(request_id)
        if len(self.settling_claims) > MAX_SETTLING_CLAIMS:
            self.settling_claims.popitem(last=False)

    async def _settle(self, request_id: str, settling: SettlingClaim) -> None:
        try:
            await self._write_outcome(request_id, settling)
        except NoQuorumError as error:
            state = settling.outcome.state
            log.warning("outcome %s of request %s was not written to the store: %s", state, request_id, error)
            self._start_retrying()

    async def _write_outcome(self, request_id: str, settling: SettlingClaim) -> None:
        """Writes an outcome to the store, unless another claim has replaced its own. Raises NoQuorumError.

        It is also written if there is no claim: a member that this change does not reach may have accepted
        one, which a later change would complete otherwise.
        """

        def replace_if_ours(stored: str | None) -> str:
            if stored is not None and msgspec.json.decode(stored, type=Claim).token not in settling.tokens:
                return stored
            return msgspec.json.encode(settling.outcome).decode()

        await self._change(request_id, replace_if_ours)
        if self.settling_claims.get(request_id) is settling:
            del self.settling_claims[request_id]

    async def _change(self, request_id: str, change: ChangeFunction) -> str | None:
        """Changes the record of a claim. Raises NoQuorumError, also if this member cannot save its part."""
        try:
            return await self.store.change(f"claim/{request_id}", change)
        except OSError as error:
            raise NoQuorumError(f"this member cannot write its log: {error.strerror}") from error

    def _start_retrying(self) -> None:
        if not self.is_retrying:
            self.is_retrying = True
            spawn_task(self._retry())

    async def _retry(self) -> None:
        """Writes the outcomes that are left, one after another, until the store has all of them."""
        backoff_s = MIN_RETRY_BACKOFF_S
        try:
            while self.settling_claims:
                await sleep(random.uniform(0.5, 1.0) * backoff_s)
                backoff_s = min(2.0 * backoff_s, MAX_RETRY_BACKOFF_S)
                with suppress(NoQuorumError):
                    await self._write_outcomes_left()
        finally:
            self.is_retrying = False

    async def _write_outcomes_left(self) -> None:
        """Writes the outcomes that are left. Raises NoQuorumError at the first one that cannot be written."""
        for request_id, settling in list(self.settling_claims.items()):
            await self._write_outcome(request_id, settling)

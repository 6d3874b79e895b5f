"""Claims on non-idempotent requests.

A process claims a request in the store before it sends anything to a worker, so that no two processes run
the same request.
"""

from __future__ import annotations

import logging
import random
import secrets
from collections import OrderedDict, deque
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any, Literal

import msgspec
from tornado.gen import sleep

from spanwing.actor import spawn_task
from spanwing.store.store import ChangeFunction, NoQuorumError, Store

MAX_SETTLING_CLAIMS = 10_000
MAX_UNCONFIRMED_REQUESTS = 10_000  # a claim beyond it stays in force if a member has accepted it
MAX_UNCONFIRMED_CLAIMS = 16  # of one request
MIN_RETRY_BACKOFF_S, MAX_RETRY_BACKOFF_S = 0.1, 2.0  # between passes over the outcomes that are left

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
        #: By request: the outcomes that no majority has confirmed yet. claim() goes by them.
        self.settling_claims: OrderedDict[str, Claim] = OrderedDict()
        self.is_retrying = False
        # By request: the tokens of the latest claims that no majority has confirmed.
        self.unconfirmed_tokens: OrderedDict[str, deque[str]] = OrderedDict()

    async def claim(self, request_id: str) -> tuple[bool, Claim]:
        """Claims a request; returns whether this call's claim is in force, and the claim in force.

        Only if it is may the caller run the request. Raises NoQuorumError if no majority confirms
        the claim; the caller must then send nothing.
        """
        token = secrets.token_hex(8)
        encoded_claim = msgspec.json.encode(Claim(token, "claimed")).decode()
        # Nothing was sent under an unconfirmed claim of this process.
        free_tokens = {token, *self.unconfirmed_tokens.get(request_id, ())}
        settled = self.settling_claims.get(request_id)
        if settled is not None and settled.state == "refused":
            free_tokens.add(settled.token)

        def replace_if_free(stored: str | None) -> str:
            if stored is not None:
                claim = msgspec.json.decode(stored, type=Claim)
                if claim.state != "refused" and claim.token not in free_tokens:
                    return stored
            return encoded_claim

        try:
            stored = await self._change(request_id, replace_if_free)
        except NoQuorumError:
            self._add_unconfirmed(request_id, token)
            raise
        self.unconfirmed_tokens.pop(request_id, None)
        claim = msgspec.json.decode(stored, type=Claim)
        # A client may retry before the store has the outcome, which this process already knows.
        settled = self.settling_claims.get(request_id)
        if settled is not None and settled.token == claim.token:
            claim = settled
        return claim.token == token, claim

    def _add_unconfirmed(self, request_id: str, token: str) -> None:
        """Remembers a claim that no majority has confirmed; forgets the oldest ones beyond the limits."""
        tokens = self.unconfirmed_tokens.setdefault(request_id, deque(maxlen=MAX_UNCONFIRMED_CLAIMS))
        tokens.append(token)
        self.unconfirmed_tokens.move_to_end(request_id)
        if len(self.unconfirmed_tokens) > MAX_UNCONFIRMED_REQUESTS:
            self.unconfirmed_tokens.popitem(last=False)

    def settle(self, request_id: str, claim: Claim, state: ClaimState) -> Coroutine[Any, Any, None]:
        """Records the outcome of a claimed request.

        claim() goes by it from now on. The store has it once the returned coroutine has been awaited, unless
        no majority confirms it: then it is written again until one does, or until the process ends.
        """
        settled = Claim(claim.token, state)
        self.settling_claims[request_id] = settled
        self.settling_claims.move_to_end(request_id)
        if len(self.settling_claims) > MAX_SETTLING_CLAIMS:  # such a request stays claimed in the store
            self.settling_claims.popitem(last=False)
        return self._settle(request_id, settled)

    async def _settle(self, request_id: str, settled: Claim) -> None:
        try:
            await self._write_outcome(request_id, settled)
        except NoQuorumError as error:
            log.warning(
                "outcome %s of request %s was not written to the store: %s", settled.state, request_id, error
            )
            self._start_retrying()

    async def _write_outcome(self, request_id: str, settled: Claim) -> None:
        """Writes an outcome to the store, unless another claim has replaced its own. Raises NoQuorumError."""

        def replace_if_ours(stored: str | None) -> str | None:
            if stored is None or msgspec.json.decode(stored, type=Claim).token != settled.token:
                return stored
            return msgspec.json.encode(settled).decode()

        await self._change(request_id, replace_if_ours)
        if self.settling_claims.get(request_id) is settled:
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
        for request_id, settled in list(self.settling_claims.items()):
            await self._write_outcome(request_id, settled)

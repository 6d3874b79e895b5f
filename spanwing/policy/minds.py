"""The keeper's two minds as one: the fleet's zones and its policy, in one document.

Guarantees: pure. The policy goes first, as jobs may wait for it; an order goes to the one that it names.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from spanwing.policy.chair import Chair
from spanwing.policy.record import read
from spanwing.store.document import Document, Txn
from spanwing.store.keeper import Keeper, Mind, Session

LEAST_WAIT_S, MOST_WAIT_S = 1.0, 86_400.0


class PolicyOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's, of the policy."""

    policy: Literal["propose", "abort", "waits"]
    text: str = ""
    base: int = 0
    by: str = "operator"
    reason: str = ""
    wait_s: float = 60.0
    gone: list[str] = []


class Minds:
    """Both; zones come once the scheduler has its policy."""

    def __init__(self, chair: Chair) -> None:
        self.chair, self.zones = chair, None

    def join(self, zones: Mind) -> None:
        self.zones = zones

    def look(self, now: float) -> None:
        if self.zones is not None:
            self.zones.look(now)

    def heard(self, now: float, session: Session, payload: msgspec.Raw) -> None:
        if self.zones is not None:
            self.zones.heard(now, session, payload)

    def wonders(self, now: float, keeper: Keeper) -> tuple[str, ...]:
        return () if self.zones is None else self.zones.wonders(now, keeper)

    def decide(self, now: float, document: Document, keeper: Keeper) -> Txn | None:
        txn = self.chair.decide(now, document, keeper)
        return self.zones.decide(now, document, keeper) if txn is None and self.zones is not None else txn

    def order(
        self, now: float, order: msgspec.Raw, document: Document, keeper: Keeper
    ) -> tuple[Txn | None, str]:
        try:
            wanted = msgspec.json.decode(order, type=PolicyOrder)
        except ValueError:
            if self.zones is None:
                raise
            return self.zones.order(now, order, document, keeper)
        if wanted.policy == "abort":
            return self.chair.abort(document, wanted.by), "given up"
        if wanted.policy == "waits":
            waits = self.chair.waits_for(now, document, keeper)
            return None, "; ".join(f"{name} {why}" for name, why in sorted(waits.items()))
        if not LEAST_WAIT_S <= wanted.wait_s <= MOST_WAIT_S:
            raise ValueError(f"--wait: {LEAST_WAIT_S:g} to {MOST_WAIT_S:g} seconds are possible")
        txn = self.chair.propose(
            document, wanted.text, wanted.base, wanted.by, wanted.reason, 1000.0 * wanted.wait_s, wanted.gone
        )
        return txn, f"version {read(document).now.number + 1} is proposed"

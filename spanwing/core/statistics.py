"""The figures that operators read, in the words of their page.

Guarantees: nothing is counted here. Outcomes and attempts are the core's own counts, made where it gives
the one answer or hears of a last byte, whatever front or next hop it was; `active` and the pool's two are
read off what the core and the module hold when asked. Every teller (management, counters, health) reads this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from spanwing.core.request_manager import RequestManager

#: By figure, the core's counts of a class that make it up. A request that a front turned away was refused all
#: the same, and one whose id was taken before got an error.
COUNTERS_BY_FIGURE = {
    "ok": ("answered.served",),
    "shed": ("answered.refused", "turned"),
    "errors": ("answered.failed", "repeated"),
}


def collect_statistics(request_manager: RequestManager) -> dict[str, int]:
    """All figures now; counts run from the start of the process."""
    counts = request_manager.counters
    totals = {
        f"{name}.{each.name}": sum(counts[f"{part}.{each.name}"] for part in parts)
        for name, parts in COUNTERS_BY_FIGURE.items()
        for each in request_manager.settings.classes
    }
    listed, ejected = request_manager.pool_counts()
    return {
        **totals,
        "tries": counts["tries"],
        "active": len(request_manager.pending_requests),
        "pool_size": listed,
        "pool_ejected": ejected,
    }
